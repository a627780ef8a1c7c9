"""Measures the durable key store: `python -m benchmarks.state [--quick]`.

Real `serve` processes on loopback, side by side, show the cost of recording keyed runs with each `sync` mode,
the commits per request under load, the cost of a snapshot of a running node, and what a node serves after a
start that restores saved estimates. The store by itself shows recovery time by the number of keys, memory,
and bytes per key, also after an hour of expiring keys in emulated time. Power loss is simulated at every call
of a recorded sequence, on an in-memory disk. The last line of output is JSON with every figure.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import os
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from pathlib import Path

import click
import orjson

from benchmarks.measuring import Figures, Table, cpu_seconds, print_figures, resident_bytes
from shelfhaven.lab.backend_stub import BackendStub
from shelfhaven.lab.election_fleet import soon
from shelfhaven.lab.etcd_stub import EtcdStub
from shelfhaven.lab.fleet import FileValues, Fleet, FleetNode, fleet
from shelfhaven.lab.state_crashes import search
from shelfhaven.server.key_digests import UNKNOWN_LOCATION
from shelfhaven.state.previous_incarnation import PreviousIncarnation
from shelfhaven.state.records import KeyRecord, PutRecord, RunState, encode_label
from shelfhaven.state.store import Store

NO_FILE = "off"
SYNC_MODES = (NO_FILE, "none", "every", "each")
LABEL = encode_label("topup", "one", "a-key-of-usual-length")
CONCURRENCY = 16  # of requests to a node under load
RESULT = b"x" * 100
REQUEST_RATE = 40  # requests per second sent to a restarted node
LATENCY_OBJECTIVE = 0.5  # seconds, after a restart
WARM_UP_LOAD = 6.0  # seconds of load in which a node learns which backends are slow
SNAPSHOT_LOAD_DURATION = 3.0  # seconds
LOG_WAIT = 1.1  # seconds until a node has logged its counts
FILL_BATCH = 10_000  # keys per transaction
LOOKUP_COUNT = 1000
MAX_CONCURRENT = 32  # concurrent runs of a node
BACKENDS = 6
SLOW_BACKENDS = 3
SLOWDOWN = 20.0  # factor on the run duration of a slow backend
NAME_WIDTH = 18  # columns for the row names of the printed table
FAR_FUTURE = 1e9  # seconds on the clock that counts from boot


def digest(number: int) -> bytes:
    """Return the digest of a numbered key."""
    return hashlib.blake2b(number.to_bytes(8, "big"), digest_size=16).digest()


def put_record(number: int, expires_at: float) -> PutRecord:
    """Return the mutation that writes a numbered key with its result."""
    return PutRecord(KeyRecord(digest(number), RunState.SERVED, 1, expires_at, LABEL, RESULT))


def rounded_milliseconds(seconds: float, digits: int) -> float:
    """Convert a duration to milliseconds, rounded for printing."""
    return round(1000 * seconds, digits)


# Processes


@contextlib.asynccontextmanager
async def run_nodes() -> AsyncIterator[dict[str, FleetNode]]:
    """Run a node for each `sync` mode and one without a key file, in front of one backend."""
    store = EtcdStub(port_count=1)
    backend = BackendStub("v", [], 256)
    await store.start()
    await backend.start()
    changes: FileValues = {"topup": 'deadline="1500ms" window="4s"', "at_once": MAX_CONCURRENT}
    try:
        async with fleet(len(SYNC_MODES), store.port, [backend.address], **changes) as node_fleet:
            nodes_by_mode = dict(zip(SYNC_MODES, node_fleet.nodes.values(), strict=True))
            node_fleet.values["key_store"] = key_file_setting(node_fleet, nodes_by_mode)
            await node_fleet.start_all()
            await soon(lambda: all(node.ready_after() is not None for node in nodes_by_mode.values()))
            yield nodes_by_mode
    finally:
        backend.stop()
        await store.stop()


def key_file_setting(node_fleet: Fleet, nodes_by_mode: dict[str, FleetNode]) -> Callable[[FleetNode], str]:
    """Return a function that gives each node its key store setting."""
    mode_of = {node.name: mode for mode, node in nodes_by_mode.items()}

    def key_store_setting(node: FleetNode) -> str:
        """Return the `keys` entry of a node's operator configuration."""
        mode = mode_of[node.name]
        file = node_fleet.folder / f"{node.name}.keys"
        return "" if mode == NO_FILE else f'keys file="{file}" sync="{mode}"'

    return key_store_setting


async def request_duration(node: FleetNode, key: str) -> float | None:
    """Return the seconds that a keyed request took, or None if it was not served."""
    started_at = time.perf_counter()
    reply = await node.ask("POST", "/topup", b"100", HTTP_IDEMPOTENCY_KEY=key)
    return time.perf_counter() - started_at if reply.status == 200 else None


def process_id(node: FleetNode) -> int:
    """Return the process id of a started node."""
    assert node.process
    return node.process.pid


def logged_count(node: FleetNode, name: str) -> int:
    """Return the sum of a key file count over all `load` events of a node."""
    return sum(line["keys_file"].get(name, 0) for line in node.events("load") if "keys_file" in line)


async def under_load(node: FleetNode, name: str, seconds: float) -> Figures:
    """Send keyed requests at a fixed concurrency for a time."""
    durations: list[float] = []
    started_at = time.perf_counter()
    ends_at = started_at + seconds
    cpu_before = cpu_seconds(process_id(node))

    async def run_caller(number: int) -> None:
        """Send requests one after another until the end."""
        count = 0
        while time.perf_counter() < ends_at:
            count += 1
            duration = await request_duration(node, f"{name}-{number}-{count}-{started_at}")
            if duration is not None:
                durations.append(duration)

    commits_before = logged_count(node, "commits")
    await asyncio.gather(*(run_caller(number) for number in range(CONCURRENCY)))
    cpu = cpu_seconds(process_id(node)) - cpu_before
    await asyncio.sleep(LOG_WAIT)
    durations.sort()
    served = len(durations)
    return {
        "a_second": round(served / seconds),
        "p50_ms": rounded_milliseconds(durations[served // 2], 2),
        "p99_ms": rounded_milliseconds(durations[int(served * 0.99)], 2),
        "cpu_ms_a_request": rounded_milliseconds(cpu / served, 3),
        "commits_a_request": round((logged_count(node, "commits") - commits_before) / served, 3),
    }


async def sync_mode_figures(requests: int, seconds: float) -> dict[str, Figures]:
    """Measure each `sync` mode, and no key file: single requests, requests under load, and a snapshot."""
    figures: dict[str, Figures] = {}
    async with run_nodes() as nodes_by_mode:
        alone = await durations_without_load(nodes_by_mode, requests)
        for mode, node in nodes_by_mode.items():
            figures[mode] = await under_load(node, mode, seconds)
            figures[mode]["alone_p50_ms"] = rounded_milliseconds(statistics.median(alone[mode]), 3)
        figures["during_snapshot"] = await during_snapshot(nodes_by_mode["each"])
        for mode, node in nodes_by_mode.items():
            figures[mode]["resident_mb"] = round(resident_bytes(process_id(node)) / 1e6, 1)
    return figures


async def durations_without_load(
    nodes_by_mode: dict[str, FleetNode], requests: int
) -> dict[str, list[float]]:
    """Return the durations of requests sent one at a time, by the `sync` mode of the node."""
    alone: dict[str, list[float]] = {mode: [] for mode in nodes_by_mode}
    for number in range(requests):
        for mode, node in nodes_by_mode.items():
            duration = await request_duration(node, f"alone-{mode}-{number}")
            if duration is not None:
                alone[mode].append(duration)
    return alone


async def during_snapshot(node: FleetNode) -> Figures:
    """Measure a node under load while a snapshot of its key file is made."""
    with tempfile.TemporaryDirectory() as folder:
        load = asyncio.ensure_future(under_load(node, "shot", SNAPSHOT_LOAD_DURATION))
        await asyncio.sleep(0.5)
        result = await node.command("state", "snapshot", f"{folder}/shot")
        return {**await load, "snapshot_code": result.exit_code}


@dataclass(frozen=True, slots=True)
class RestartCase:
    """A restart after `absence` seconds, with a key file whose saved estimates are restored, or without."""

    has_file: bool
    absence: float


RESTART_CASES = {"warm": RestartCase(True, 0.0), "cold": RestartCase(False, 0.0)}
STALE_CASE = {"stale": RestartCase(True, 60.0)}


async def in_time_fraction_after_restart(case: RestartCase, seconds: float) -> float:
    """Restart a node that knows which backends are slow; return the fraction it then serves in time."""
    store = EtcdStub(port_count=1)
    backends = [
        BackendStub(f"v{n}", [], 16, 0.05, seed=n, slowdown=SLOWDOWN if n < SLOW_BACKENDS else 1.0)
        for n in range(BACKENDS)
    ]
    await store.start()
    for backend in backends:
        await backend.start()
    try:
        addresses = [backend.address for backend in backends]
        async with fleet(1, store.port, addresses, at_once=MAX_CONCURRENT) as node_fleet:
            node_fleet.values["key_store"] = (
                f'keys file="{node_fleet.folder / "keys"}"' if case.has_file else ""
            )
            (node,) = node_fleet.nodes.values()
            await start_node(node_fleet, node, case)
            await fraction_in_time(node, WARM_UP_LOAD)
            await node_fleet.kill(node)
            await asyncio.sleep(case.absence)
            await start_node(node_fleet, node, case)
            return await fraction_in_time(node, seconds)
    finally:
        for backend in backends:
            backend.stop()
        await store.stop()


async def start_node(node_fleet: Fleet, node: FleetNode, case: RestartCase) -> None:
    """Start a node and wait until it runs and has loaded its keys, if it has a key file."""
    await node_fleet.start(node)
    await soon(lambda: node.events("phase") and (not case.has_file or node.events("keys_loaded")))


async def fraction_in_time(node: FleetNode, seconds: float) -> float:
    """Send requests at a fixed rate; return the fraction that is served in time."""
    in_time: list[bool] = []

    async def send(number: int) -> None:
        """Send one request and record whether it was served in time."""
        started_at = time.perf_counter()
        status = 0
        with contextlib.suppress(OSError, ValueError):
            status = (await node.ask("GET", f"/balance/{number}")).status
        in_time.append(status == 200 and time.perf_counter() - started_at < LATENCY_OBJECTIVE)

    tasks = []
    for number in range(int(seconds * REQUEST_RATE)):
        tasks.append(asyncio.ensure_future(send(number)))
        await asyncio.sleep(1 / REQUEST_RATE)
    await asyncio.gather(*tasks)
    return in_time.count(True) / len(in_time)


async def restart_figures(rounds: int, seconds: float) -> Figures:
    """Compare restarts with, without and with outdated saved estimates; medians over rounds."""
    cases = RESTART_CASES | (STALE_CASE if rounds > 1 else {})
    fractions_by_case: dict[str, list[float]] = {name: [] for name in cases}
    for _ in range(rounds):
        fractions = await asyncio.gather(
            *(in_time_fraction_after_restart(case, seconds) for case in cases.values())
        )
        for name, fraction in zip(cases, fractions, strict=True):
            fractions_by_case[name].append(fraction)
    return {
        f"{name}_in_time": round(statistics.median(values), 3) for name, values in fractions_by_case.items()
    }


# Key file without a node


def write_keys(path: Path, count: int) -> None:
    """Write a key file with `count` keys."""
    store = Store(path, False)
    store.begin(0.0, "b", "")
    for first in range(0, count, FILL_BATCH):
        numbers = range(first, min(count, first + FILL_BATCH))
        store.commit([put_record(number, FAR_FUTURE) for number in numbers], 1, 1.0)
    store.close()


def recover_in_new_process(path: Path) -> Figures:
    """Recover a key file in a new process, so that the memory this takes can be measured."""
    command = [sys.executable, "-m", "benchmarks.state", "--start-of", str(path)]
    output = subprocess.run(command, check=True, capture_output=True)
    return dict(orjson.loads(output.stdout))


def recover(path: Path) -> Figures:
    """Open a key file and read every key; measure time, memory and the slowest lookup."""
    memory_before = resident_bytes(os.getpid())
    started_at = time.perf_counter()
    store = Store(path, True)
    is_consistent = store.is_consistent()
    previous = PreviousIncarnation()
    store.begin(1.0, "b", "")
    for page in store.pages(1.0):
        for expiry in page:
            if expiry:
                previous.add(expiry.digest, expiry.expires_at)
    seconds = time.perf_counter() - started_at
    memory = resident_bytes(os.getpid()) - memory_before
    store.close()
    return {
        "keys": len(previous.prefixes),
        "sound": is_consistent,
        "recovery_s": round(seconds, 3),
        "recovery_mb": round(memory / 1e6, 1),
        "lookup_worst_ms": rounded_milliseconds(slowest_lookup(previous), 3),
    }


def slowest_lookup(previous: PreviousIncarnation) -> float:
    """Return the seconds of the slowest of many lookups."""
    slowest = 0.0
    for number in range(LOOKUP_COUNT):
        started_at = time.perf_counter()
        previous.find(2.0, digest(number) + UNKNOWN_LOCATION, (digest(number),), 0.0)
        slowest = max(slowest, time.perf_counter() - started_at)
    return slowest


def churn_figures(path: Path, seconds: int, rate: int, key_ttl: int) -> Figures:
    """Write and expire keys for an emulated time; measure the bytes on disk per live key."""
    store = Store(path, False)
    store.begin(0.0, "b", "")
    for now in range(seconds):
        numbers = range(now * rate, (now + 1) * rate)
        store.commit([put_record(number, now + float(key_ttl)) for number in numbers], 1, float(now))
        store.purge(float(now))
    store.database.execute("PRAGMA wal_checkpoint(truncate)").fetchall()
    live = store.count()
    store.close()
    return {"live": live, "bytes_a_live_key": round(path.stat().st_size / live), "emulated_s": seconds}


@dataclass(frozen=True, slots=True)
class BenchmarkSize:
    """Amount of work in the benchmark; times in seconds."""

    requests_alone: int
    load_seconds: float
    restart_rounds: int
    restart_seconds: float
    key_counts: tuple[int, ...]
    churn_seconds: int


QUICK = BenchmarkSize(50, 2.0, 1, 3.0, (10_000, 100_000), 120)
FULL = BenchmarkSize(400, 10.0, 3, 10.0, (10_000, 100_000, 1_000_000), 3600)


def measure(size: BenchmarkSize) -> Figures:
    """Make all measurements and print each row when it is known."""
    table = Table(NAME_WIDTH)
    modes = asyncio.run(sync_mode_figures(size.requests_alone, size.load_seconds))
    for mode, figures in modes.items():
        table.add(mode, figures)
    table.add("restart", asyncio.run(restart_figures(size.restart_rounds, size.restart_seconds)))
    with tempfile.TemporaryDirectory() as folder:
        for count in size.key_counts:
            path = Path(folder) / f"k{count}"
            write_keys(path, count)
            bytes_per_key = round(path.stat().st_size / count)
            table.add(f"start {count}", recover_in_new_process(path) | {"bytes_a_key": bytes_per_key})
        table.add("churn", churn_figures(Path(folder) / "churn", size.churn_seconds, 100, 60))
    crashes = search(3)
    breaches = len(crashes.violations)
    table.add("crashes", {"calls": crashes.calls, "points": crashes.images, "rules_broken": breaches})
    return table.rows


@click.command()
@click.option("--quick", is_flag=True, help="Few requests, up to 100,000 keys: under 40 s.")
@click.option("--start-of", "recovered_file", type=click.Path(path_type=Path), hidden=True)
def main(quick: bool, recovered_file: Path | None) -> None:
    """Run the benchmark: print each row when it is known, then all figures as JSON."""
    print_figures(recover(recovered_file) if recovered_file else measure(QUICK if quick else FULL))


if __name__ == "__main__":
    os.environ.setdefault("PYTHONUNBUFFERED", "1")
    main()
