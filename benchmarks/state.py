"""The durable key store: `python -m benchmarks.state [--quick]`.

Real `serve` processes on loopback, side by side in one run: the cost of recording keyed runs with each
`sync`, commits per request under load, the cost of a snapshot beside a running node, what a node serves after
a start that restores saved estimates. The file alone: recovery time by the number of keys, memory, bytes per
key, also after an hour of keys in emulated time. Power loss at every call of a recorded sequence, on a disk
in memory. The last line is JSON with every figure.
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
from shelfhaven.state.previous_incarnation import PreviousIncarnation
from shelfhaven.state.records import KeyRecord, PutRecord, RunState, encode_label
from shelfhaven.state.store import Store

NO_FILE = "off"
SYNC_MODES = (NO_FILE, "none", "every", "each")
LABEL = encode_label("topup", "one", "a-key-of-usual-length")
CONCURRENCY = 16  # requests at a node, under load
RESULT = b"x" * 100
REQUEST_RATE = 40  # requests a second at a node that has restarted
IN_TIME = 0.5  # seconds within which an answer after a restart counts
WARM_UP = 6.0  # seconds in which a node learns which backends are slow
SNAPSHOT_LOAD = 3.0  # seconds of load during which a snapshot is made
LOG_INTERVAL = 1.1  # seconds after which a node has logged its counts
FILL_BATCH = 10_000  # keys written in one transaction
LOOKUPS = 1000
MAX_CONCURRENT = 32  # runs of a node
BACKENDS = 6
SLOW_BACKENDS = 3
SLOWDOWN = 20.0  # of a slow backend
NAME_WIDTH = 18  # of the printed table
FAR_FUTURE = 1e9  # seconds on the boot's clock


def digest(number: int) -> bytes:
    """The digest of a key."""
    return hashlib.blake2b(number.to_bytes(8, "big"), digest_size=16).digest()


def put(number: int, expires_at: float) -> PutRecord:
    """The mutation that writes a key with its result."""
    return PutRecord(KeyRecord(digest(number), RunState.SERVED, 1, expires_at, LABEL, RESULT))


def milliseconds(seconds: float, digits: int) -> float:
    """A duration as it is printed."""
    return round(1000 * seconds, digits)


# Processes


@contextlib.asynccontextmanager
async def nodes() -> AsyncIterator[dict[str, FleetNode]]:
    """One node for each `sync` and one without a file, in front of one backend."""
    store = EtcdStub(port_count=1)
    backend = BackendStub("v", [], 256)
    await store.start()
    await backend.start()
    changes: FileValues = {"topup": 'deadline="1500ms" window="4s"', "at_once": MAX_CONCURRENT}
    try:
        async with fleet(len(SYNC_MODES), store.port, [backend.address], **changes) as made:
            by_mode = dict(zip(SYNC_MODES, made.nodes.values(), strict=True))
            made.values["key_store"] = key_file_setting(made, by_mode)
            await made.start_all()
            await soon(lambda: all(node.ready_after() is not None for node in by_mode.values()))
            yield by_mode
    finally:
        backend.stop()
        await store.stop()


def key_file_setting(made: Fleet, by_mode: dict[str, FleetNode]) -> Callable[[FleetNode], str]:
    """What a node's file says of the key file."""
    mode_of = {node.name: mode for mode, node in by_mode.items()}

    def setting(node: FleetNode) -> str:
        """The node `keys` of the node's file."""
        mode = mode_of[node.name]
        file = made.folder / f"{node.name}.keys"
        return "" if mode == NO_FILE else f'keys file="{file}" sync="{mode}"'

    return setting


async def request_duration(node: FleetNode, key: str) -> float | None:
    """Seconds that a keyed request took; None unless it was served."""
    began = time.perf_counter()
    reply = await node.ask("POST", "/topup", b"100", HTTP_IDEMPOTENCY_KEY=key)
    return time.perf_counter() - began if reply.status == 200 else None


def process_id(node: FleetNode) -> int:
    """The process id of a node that was started."""
    assert node.process
    return node.process.pid


def logged_count(node: FleetNode, name: str) -> int:
    """The sum of a count over the lines on the load that a node has logged."""
    return sum(line["keys_file"].get(name, 0) for line in node.events("load") if "keys_file" in line)


async def under_load(node: FleetNode, name: str, seconds: float) -> Figures:
    """Keyed requests at a fixed concurrency, for a time."""
    durations: list[float] = []
    began = time.perf_counter()
    end = began + seconds
    cpu_before = cpu_seconds(process_id(node))

    async def run_caller(number: int) -> None:
        """Send requests one after another until the end."""
        count = 0
        while time.perf_counter() < end:
            count += 1
            duration = await request_duration(node, f"{name}-{number}-{count}-{began}")
            if duration is not None:
                durations.append(duration)

    commits_before = logged_count(node, "commits")
    await asyncio.gather(*(run_caller(number) for number in range(CONCURRENCY)))
    cpu = cpu_seconds(process_id(node)) - cpu_before
    await asyncio.sleep(LOG_INTERVAL)
    durations.sort()
    served = len(durations)
    return {
        "a_second": round(served / seconds),
        "p50_ms": milliseconds(durations[served // 2], 2),
        "p99_ms": milliseconds(durations[int(served * 0.99)], 2),
        "cpu_ms_a_request": milliseconds(cpu / served, 3),
        "commits_a_request": round((logged_count(node, "commits") - commits_before) / served, 3),
    }


async def sync_modes(requests: int, seconds: float) -> dict[str, Figures]:
    """Each `sync` beside a node without a file, in turn: alone, under load, and during a snapshot."""
    found: dict[str, Figures] = {}
    async with nodes() as by_mode:
        alone = await alone_durations(by_mode, requests)
        for mode, node in by_mode.items():
            found[mode] = await under_load(node, mode, seconds)
            found[mode]["alone_p50_ms"] = milliseconds(statistics.median(alone[mode]), 3)
        found["during_snapshot"] = await during_snapshot(by_mode["each"])
        for mode, node in by_mode.items():
            found[mode]["resident_mb"] = round(resident_bytes(process_id(node)) / 1e6, 1)
    return found


async def alone_durations(by_mode: dict[str, FleetNode], requests: int) -> dict[str, list[float]]:
    """Seconds of requests that come one at a time, by the node's `sync`."""
    alone: dict[str, list[float]] = {mode: [] for mode in by_mode}
    for number in range(requests):
        for mode, node in by_mode.items():
            duration = await request_duration(node, f"alone-{mode}-{number}")
            if duration is not None:
                alone[mode].append(duration)
    return alone


async def during_snapshot(node: FleetNode) -> Figures:
    """A node under load while its file is copied."""
    with tempfile.TemporaryDirectory() as folder:
        load = asyncio.ensure_future(under_load(node, "shot", SNAPSHOT_LOAD))
        await asyncio.sleep(0.5)
        result = await node.command("state", "snapshot", f"{folder}/shot")
        return {**await load, "snapshot_code": result.exit_code}


@dataclass(frozen=True, slots=True)
class RestartCase:
    """A restart: with a key file, whose saved estimates are restored, or without; seconds of absence."""

    has_file: bool
    absence: float


RESTART_CASES = {"warm": RestartCase(True, 0.0), "cold": RestartCase(False, 0.0)}
STALE_CASE = {"stale": RestartCase(True, 60.0)}


async def restart(case: RestartCase, seconds: float) -> float:
    """Kill and restart a node that knows which backends are slow; the fraction served in time afterwards."""
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
        async with fleet(1, store.port, addresses, at_once=MAX_CONCURRENT) as made:
            made.values["key_store"] = f'keys file="{made.folder / "keys"}"' if case.has_file else ""
            (node,) = made.nodes.values()
            await start_node(made, node, case)
            await fraction_in_time(node, WARM_UP)
            await made.kill(node)
            await asyncio.sleep(case.absence)
            await start_node(made, node, case)
            return await fraction_in_time(node, seconds)
    finally:
        for backend in backends:
            backend.stop()
        await store.stop()


async def start_node(made: Fleet, node: FleetNode, case: RestartCase) -> None:
    """Start a node and wait until it has read its keys."""
    await made.start(node)
    await soon(lambda: node.events("phase") and (not case.has_file or node.events("keys_loaded")))


async def fraction_in_time(node: FleetNode, seconds: float) -> float:
    """The fraction of requests, coming at a fixed rate, that is served in time."""
    in_time: list[bool] = []

    async def send(number: int) -> None:
        """Send one request, and record whether it was served in time."""
        began = time.perf_counter()
        status = 0
        with contextlib.suppress(OSError, ValueError):
            status = (await node.ask("GET", f"/balance/{number}")).status
        in_time.append(status == 200 and time.perf_counter() - began < IN_TIME)

    tasks = []
    for number in range(int(seconds * REQUEST_RATE)):
        tasks.append(asyncio.ensure_future(send(number)))
        await asyncio.sleep(1 / REQUEST_RATE)
    await asyncio.gather(*tasks)
    return in_time.count(True) / len(in_time)


async def restarts(rounds: int, seconds: float) -> Figures:
    """Restarts with saved estimates, without, and with estimates of a minute ago; medians."""
    cases = RESTART_CASES | (STALE_CASE if rounds > 1 else {})
    found: dict[str, list[float]] = {name: [] for name in cases}
    for _ in range(rounds):
        fractions = await asyncio.gather(*(restart(case, seconds) for case in cases.values()))
        for name, fraction in zip(cases, fractions, strict=True):
            found[name].append(fraction)
    return {f"{name}_in_time": round(statistics.median(values), 3) for name, values in found.items()}


# The file alone


def fill(path: Path, count: int) -> None:
    """Write a file with a number of keys."""
    store = Store(path, False)
    store.begin(0.0, "b", "")
    for first in range(0, count, FILL_BATCH):
        numbers = range(first, min(count, first + FILL_BATCH))
        store.commit([put(number, FAR_FUTURE) for number in numbers], 1, 1.0)
    store.close()


def recover_in_new_process(path: Path) -> Figures:
    """Recover a file in a new process, so that the memory that this adds can be measured."""
    command = [sys.executable, "-m", "benchmarks.state", "--start-of", str(path)]
    output = subprocess.run(command, check=True, capture_output=True)
    return dict(orjson.loads(output.stdout))


def recover(path: Path) -> Figures:
    """Open a file and read every key: seconds, memory, and the slowest lookup."""
    memory_before = resident_bytes(os.getpid())
    began = time.perf_counter()
    store = Store(path, True)
    is_consistent = store.is_consistent()
    previous = PreviousIncarnation()
    store.begin(1.0, "b", "")
    for page in store.pages(1.0):
        for expiry in page:
            if expiry:
                previous.add(expiry.digest, expiry.expires_at)
    seconds = time.perf_counter() - began
    memory = resident_bytes(os.getpid()) - memory_before
    store.close()
    return {
        "keys": len(previous.prefixes),
        "sound": is_consistent,
        "recovery_s": round(seconds, 3),
        "recovery_mb": round(memory / 1e6, 1),
        "lookup_worst_ms": milliseconds(slowest_lookup(previous), 3),
    }


def slowest_lookup(previous: PreviousIncarnation) -> float:
    """Seconds of the slowest of many lookups."""
    slowest = 0.0
    for number in range(LOOKUPS):
        began = time.perf_counter()
        previous.remaining(2.0, digest(number))
        slowest = max(slowest, time.perf_counter() - began)
    return slowest


def churn(path: Path, seconds: int, rate: int, key_ttl: int) -> Figures:
    """Keys come and expire for an emulated time: the bytes on the disk for each live key."""
    store = Store(path, False)
    store.begin(0.0, "b", "")
    for now in range(seconds):
        numbers = range(now * rate, (now + 1) * rate)
        store.commit([put(number, now + float(key_ttl)) for number in numbers], 1, float(now))
        store.purge(float(now))
    store.database.execute("PRAGMA wal_checkpoint(truncate)").fetchall()
    live = store.count()
    store.close()
    return {"live": live, "bytes_a_live_key": round(path.stat().st_size / live), "emulated_s": seconds}


@dataclass(frozen=True, slots=True)
class Extent:
    """How much is measured; times in seconds."""

    requests_alone: int
    load_seconds: float
    restart_rounds: int
    restart_seconds: float
    key_counts: tuple[int, ...]
    churn_seconds: int


QUICK = Extent(50, 2.0, 1, 3.0, (10_000, 100_000), 120)
FULL = Extent(400, 10.0, 3, 10.0, (10_000, 100_000, 1_000_000), 3600)


def measure(extent: Extent) -> Figures:
    """All figures, each printed once it is known."""
    table = Table(NAME_WIDTH)
    modes = asyncio.run(sync_modes(extent.requests_alone, extent.load_seconds))
    for mode, figures in modes.items():
        table.add(mode, figures)
    table.add("restart", asyncio.run(restarts(extent.restart_rounds, extent.restart_seconds)))
    with tempfile.TemporaryDirectory() as folder:
        for count in extent.key_counts:
            path = Path(folder) / f"k{count}"
            fill(path, count)
            bytes_per_key = round(path.stat().st_size / count)
            table.add(f"start {count}", recover_in_new_process(path) | {"bytes_a_key": bytes_per_key})
        table.add("churn", churn(Path(folder) / "churn", extent.churn_seconds, 100, 60))
    crashes = search(3)
    breaches = len(crashes.violations)
    table.add("crashes", {"calls": crashes.calls, "points": crashes.images, "rules_broken": breaches})
    return table.rows


@click.command()
@click.option("--quick", is_flag=True, help="Few requests, up to 100,000 keys: under 40 s.")
@click.option("--start-of", "recovered_file", type=click.Path(path_type=Path), hidden=True)
def main(quick: bool, recovered_file: Path | None) -> None:
    """Print each figure once it is known, and all of them as JSON last."""
    print_figures(recover(recovered_file) if recovered_file else measure(QUICK if quick else FULL))


if __name__ == "__main__":
    os.environ.setdefault("PYTHONUNBUFFERED", "1")
    main()
