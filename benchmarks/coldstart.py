"""Measures the load of a cold start on the list service and on backends.

Run with `python -m benchmarks.coldstart [--quick]`. Fleets of 10 to 10,000 nodes are simulated in virtual
time (the real `Member` of each node with simulated links and a simulated list service); smaller fleets of
real `serve` processes are measured on loopback. The baselines are nodes that poll the list service
immediately and back off exponentially, and pools without slow start. The last line of output is JSON with
every figure.
"""

from __future__ import annotations

import asyncio
import contextlib
import statistics
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from enum import Enum
from http import HTTPStatus
from random import Random
from typing import NamedTuple

import click

from benchmarks.coldstart_simulation import (
    MAX_REQUESTS_PER_S,
    RESTARTS,
    registration_time,
    restart_figures,
    start_figures,
    starts_by_size,
)
from benchmarks.measuring import Figures, Report, announce, arrivals, print_figures
from shelfhaven.lab.backend_stub import BackendStub, ExecutedRun, started
from shelfhaven.lab.callers import NOT_REACHED
from shelfhaven.lab.etcd_stub import EtcdStub
from shelfhaven.lab.fleet import Fleet, FleetNode, fleet
from shelfhaven.lab.naive_member import NaiveMember
from shelfhaven.lab.waiting import wait_until
from shelfhaven.membership.member import Member

BACKENDS = 6
BACKEND_WORKERS = 4096
SATURATION = 8  # concurrent requests of one backend beyond which its runs slow down
MEAN_RUN_S = 0.2
CAPACITY = BACKENDS * SATURATION / MEAN_RUN_S  # requests a second
CALLER_TIMEOUT_S = 1.5
LATENCY_OBJECTIVE_S = 0.5
NEW_NODE_REQUESTS_PER_S = 10  # sent to a new node
DONOR_REQUESTS_PER_S = 40.0  # sent to the peer from which a new node gets its estimates
DONOR_LOAD_S = 2.5
LEARNING_RUN_S = 0.05
SLOW_BACKENDS = 3
SLOWDOWN = 20.0  # factor on the run duration of a slow backend
POLL_INTERVAL_S = 0.02
NODE_TIMEOUT_S = 10.0  # until one node is ready
READY_TIMEOUT_S = 30.0  # until all nodes are ready
PROCESS_MARGIN_S = 30.0
PROCESS_DEADLINE_FACTOR = 4  # allowed multiple of the ideal registration time
SAME_SIZE_DEADLINE_S = 200.0  # of the simulation with as many nodes as there are processes
LIST_SERVICE_SETTINGS = """asks {asks}
    expected {count}
    every "1s"
    lease "10s"
    list-within "{within}"
    proof-within "300ms"
    rise "5s"
"""


# Processes


async def becomes_true(condition: Callable[[], object], timeout: float) -> bool:
    """Return whether a condition becomes true before the timeout."""
    try:
        await wait_until(condition, timeout, POLL_INTERVAL_S)
    except TimeoutError:
        return False
    return True


def new_backends(count: int, saturation: int, mean_run_s: float) -> list[BackendStub]:
    """Create backends that saturate independently and share one log of runs."""
    log: list[ExecutedRun] = []
    return [
        BackendStub(f"v{number}", log, BACKEND_WORKERS, mean_run_s, seed=number, saturation=saturation)
        for number in range(count)
    ]


class Testbed(NamedTuple):
    """A fleet with its list service and its backends."""

    fleet: Fleet
    store: EtcdStub
    backends: list[BackendStub]


@contextlib.asynccontextmanager
async def run_testbed(count: int, pool: str) -> AsyncIterator[Testbed]:
    """Create a fleet that is not started, a rate-limited list service and backends that saturate."""
    store = EtcdStub(rate=MAX_REQUESTS_PER_S)
    list_service_settings = LIST_SERVICE_SETTINGS.format(asks=MAX_REQUESTS_PER_S, count=count, within="10s")
    async with started(new_backends(BACKENDS, SATURATION, MEAN_RUN_S)) as backends:
        await store.start()
        addresses = [backend.address for backend in backends]
        try:
            async with fleet(count, store.port, addresses, pool=pool, more=list_service_settings) as nodes:
                yield Testbed(nodes, store, backends)
        finally:
            await store.stop()


def _listed_nodes(store: EtcdStub) -> int:
    return sum(b"/nodes/" in key for key in store.kvs)


async def process_figures(count: int) -> Figures:
    """Measure a start of real processes, and a restart while the list service is down."""
    async with run_testbed(count, "") as testbed:
        figures = await process_start_figures(testbed, count)
        served = await served_without_list_service(testbed)
        figures["service_down_served"] = round(served / count, 3)
    same_size = start_figures(count, Member, SAME_SIZE_DEADLINE_S)
    figures["emulated_same_size"] = {"peak": same_size["peak"], "listed_last_s": same_size["last_s"]}
    return figures


async def process_start_figures(testbed: Testbed, count: int) -> Figures:
    """Measure the first start of all processes."""
    nodes = testbed.fleet
    started_at = time.monotonic()
    await nodes.start_all()
    started_after = time.monotonic() - started_at
    deadline = PROCESS_MARGIN_S + PROCESS_DEADLINE_FACTOR * registration_time(count)
    listed = await becomes_true(lambda: _listed_nodes(testbed.store) == count, deadline)
    listed_after = time.monotonic() - started_at
    ready = sorted(at for node in nodes.running() if (at := node.ready_after()) is not None)
    known = await becomes_true(lambda: nodes.all_know(count), READY_TIMEOUT_S)
    known_after = time.monotonic() - started_at
    return {
        "processes": count,
        "processes_started_s": round(started_after, 1),
        "asks_per_s_peak": testbed.store.peak_request_rate(),
        "asks": dict(testbed.store.requests_by_method),
        "bytes_out": testbed.store.bytes_out,
        "watches": testbed.store.watches,
        "listed_last_s": round(listed_after, 1) if listed else None,
        "ready_median_s": round(ready[len(ready) // 2], 2) if ready else None,
        "all_know_s": round(known_after, 1) if known else None,
    }


async def served_without_list_service(testbed: Testbed) -> int:
    """Restart all nodes while the list service is down; return how many serve a request afterwards."""
    nodes = testbed.fleet
    await testbed.store.stop()
    for node in nodes.running():
        await nodes.kill(node)
    await nodes.start_all()
    await becomes_true(
        lambda: all(node.ready_after() is not None for node in nodes.running()), READY_TIMEOUT_S
    )
    running = nodes.running()
    served = 0
    for first in range(0, len(running), SATURATION):  # in batches that do not saturate the backends
        requests = (node.ask("GET", "/balance/1") for node in running[first : first + SATURATION])
        served += sum(reply.status == HTTPStatus.OK for reply in await asyncio.gather(*requests))
    return served


# Backends


class Callers:
    """Sends requests to random nodes at a given rate, each with the timeout of a caller."""

    def __init__(self, nodes: Fleet, seed: int) -> None:
        self.nodes = nodes
        self.random = Random(seed)
        self.sent = 0
        self.served = 0
        self.rejected = 0
        self.other = 0
        self.served_by_second: Counter[int] = Counter()  # keyed by the second in which the request was sent
        self.pending: set[asyncio.Task[None]] = set()

    async def _send(self, node: FleetNode, second: int) -> None:
        reply = NOT_REACHED
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                reply = await node.ask("GET", f"/balance/{self.sent}")
        if reply.status == HTTPStatus.OK:
            self.served += 1
            self.served_by_second[second] += 1
        elif reply.status == HTTPStatus.SERVICE_UNAVAILABLE:
            self.rejected += 1
        else:
            self.other += 1

    async def send_at_rate(self, rate: float, seconds: float) -> None:
        """Send requests as a Poisson process, then wait until all of them end."""
        async for arrival in arrivals(seconds, rate, self.random):
            running = self.nodes.running()
            if not running:
                continue
            self.sent += 1
            task = asyncio.ensure_future(self._send(self.random.choice(running), int(arrival.elapsed)))
            self.pending.add(task)
            task.add_done_callback(self.pending.discard)
        while self.pending:
            await asyncio.gather(*self.pending)


SLOW_START = f'ramp bears={SATURATION} connects={SATURATION / MEAN_RUN_S:g} rise="4s"'


class CrowdResult(NamedTuple):
    """Outcome of a flash crowd that meets a cold fleet."""

    callers: Callers
    peak_in_progress: int  # runs, summed over all backends
    saturated_samples: int  # samples with a backend above twice its saturation


async def run_flash_crowd(count: int, seconds: float, load: float, pool: str) -> CrowdResult:
    """Send requests to a fleet that has just started; `load` is a multiple of its capacity."""
    async with run_testbed(count, pool) as testbed:
        nodes = testbed.fleet
        await nodes.start_all()
        await becomes_true(lambda: all(node.events("phase") for node in nodes.running()), READY_TIMEOUT_S)
        callers = Callers(nodes, 5)
        peak = 0
        saturated_samples = 0
        sending = asyncio.ensure_future(callers.send_at_rate(load * CAPACITY, seconds))
        while not sending.done():
            in_progress = [backend.in_progress for backend in testbed.backends]
            peak = max(peak, sum(in_progress))
            saturated_samples += max(in_progress) > 2 * SATURATION
            await asyncio.sleep(POLL_INTERVAL_S)
        await sending
    return CrowdResult(callers, peak, saturated_samples)


def crowd_figures(result: CrowdResult, seconds: float) -> Figures:
    """Return the figures of a flash crowd."""
    callers = result.callers
    half = seconds / 2
    served_later = sum(served for second, served in callers.served_by_second.items() if second >= half)
    return {
        "below_peak_ratio": round(result.peak_in_progress / (BACKENDS * SATURATION), 2),
        "knee_passed": result.saturated_samples,
        "served": callers.served,
        "asked": callers.sent,
        "refused": callers.rejected,
        "other": callers.other,
        "served_a_second_of_capacity_later": round(served_later / half / CAPACITY, 2),
    }


async def slow_start_figures(count: int, seconds: float, load: float) -> Figures:
    """Compare a flash crowd at a cold fleet with slow start and without."""
    ours = await run_flash_crowd(count, seconds, load, SLOW_START)
    baseline = await run_flash_crowd(count, seconds, load, "")
    gain = ours.callers.served / max(1, baseline.callers.served)
    return {
        "below": {
            "ours": crowd_figures(ours, seconds),
            "naive": crowd_figures(baseline, seconds),
            "served_over_naive": round(gain, 2),
        }
    }


class WarmStart(Enum):
    """The estimates of its backends with which a new node starts."""

    LEARNED = "learned"  # taken from a peer
    COLD = "cold"  # none
    STALE = "stale"  # taken from a peer, but outdated


async def in_time_fraction_after_start(warm_start: WarmStart, requests: int) -> float:
    """Return the fraction that a new node serves in time with three of six backends slow."""
    store = EtcdStub()
    list_service_settings = LIST_SERVICE_SETTINGS.format(asks=MAX_REQUESTS_PER_S, count=2, within="3s")
    async with started(new_backends(BACKENDS, 0, LEARNING_RUN_S)) as backends:
        await store.start()
        for backend in backends[:SLOW_BACKENDS]:
            backend.slowdown = SLOWDOWN
        addresses = [backend.address for backend in backends]
        async with fleet(2, store.port, addresses, more=list_service_settings, seeds=1) as nodes:
            donor, new_node = nodes.nodes.values()
            if warm_start is not WarmStart.COLD:
                await nodes.start(donor)
                await becomes_true(donor.ready_after, NODE_TIMEOUT_S)
                await Callers(nodes, 3).send_at_rate(DONOR_REQUESTS_PER_S, DONOR_LOAD_S)
            if warm_start is WarmStart.STALE:
                for number, backend in enumerate(backends):
                    backend.slowdown = 1.0 if number < SLOW_BACKENDS else SLOWDOWN
            await nodes.start(new_node)
            await becomes_true(new_node.ready_after, NODE_TIMEOUT_S)
            served = await count_served_in_time(new_node, requests)
        await store.stop()
    return served / requests


async def count_served_in_time(node: FleetNode, requests: int) -> int:
    """Send requests one after another at a fixed rate; return how many are served in time."""
    served = 0
    for number in range(requests):
        started_at = time.monotonic()
        reply = await node.ask("GET", f"/balance/{number}")
        served += reply.status == HTTPStatus.OK and time.monotonic() - started_at < LATENCY_OBJECTIVE_S
        await asyncio.sleep(max(0.0, 1 / NEW_NODE_REQUESTS_PER_S - (time.monotonic() - started_at)))
    return served


async def warm_start_figures(seconds: float, rounds: int) -> Figures:
    """Measure what a new node serves in its first seconds, by its estimates; medians over rounds."""
    requests = int(seconds * NEW_NODE_REQUESTS_PER_S)
    served: dict[WarmStart, list[float]] = {warm_start: [] for warm_start in WarmStart}
    for _ in range(rounds):
        fractions = await asyncio.gather(
            *(in_time_fraction_after_start(warm_start, requests) for warm_start in WarmStart)
        )
        for warm_start, fraction in zip(WarmStart, fractions, strict=True):
            served[warm_start].append(fraction)
    medians = {warm_start: statistics.median(fractions) for warm_start, fractions in served.items()}
    cold = medians[WarmStart.COLD]
    return {
        "warm_gain": round(medians[WarmStart.LEARNED] / max(0.01, cold), 2),
        "stale_loss": round(cold - medians[WarmStart.STALE], 3),
        "in_time": {warm_start.value: round(median, 3) for warm_start, median in medians.items()},
    }


async def measure(quick: bool) -> Figures:
    """Make all measurements, with progress on standard error."""
    report = Report()
    report.figures["asks_per_s"] = MAX_REQUESTS_PER_S
    announce("list service requests by fleet size, in virtual time")
    sizes = (10, 100, 300) if quick else (10, 100, 1000, 3000, 10_000)
    report.figures |= starts_by_size(sizes, sizes[:3])
    announce("restarts of part of the fleet, in virtual time")
    for name, restart in RESTARTS.items():
        report.figures[name] = restart_figures(100 if quick else 300, restart, Member)
        if not quick:
            report.figures[f"{name}, naive"] = restart_figures(300, restart, NaiveMember)
    await report.add("processes", process_figures(24 if quick else 200))
    await report.add(
        "flash crowd, with and without slow start", slow_start_figures(24, 4.0 if quick else 30.0, 1.5)
    )
    await report.add("warm start", warm_start_figures(3.0 if quick else 10.0, 1 if quick else 5))
    return report.figures


@click.command()
@click.option("--quick", is_flag=True)
def main(quick: bool) -> None:
    """Run the benchmark and print its figures as one line of JSON."""
    print_figures(asyncio.run(measure(quick)))


if __name__ == "__main__":
    main()
