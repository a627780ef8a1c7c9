"""Costs of uwsgi callers and backends, and gains of the pool: `python -m benchmarks.uwsgi [--quick]`.

Both protocols are measured in one run, on backend stubs of this repository; the last line is JSON with every
figure. `--base DIR` is a checkout of an earlier version, whose memory and start are measured beside.
"""

from __future__ import annotations

import asyncio
import contextlib
import statistics
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator, Sequence
from functools import partial
from itertools import cycle
from pathlib import Path
from random import Random
from typing import NamedTuple

import click

from benchmarks.backend_faults import BackendFault, gain_with_fault, serve_round_robin
from benchmarks.measuring import (
    Arrival,
    Figures,
    Report,
    arrivals,
    closed_loop,
    cpu_seconds,
    latency_histogram,
    percentile_ms,
    print_figures,
    record_latency,
    resident_bytes,
)
from benchmarks.node_start import measure_starts
from benchmarks.uwsgi_node import BACKENDS, new_backends, operator_file
from shelfhaven.config import Address
from shelfhaven.lab import checker, demo
from shelfhaven.lab.backend_stub import started
from shelfhaven.lab.callers import Connection, Router, ask, connect, read_reply, variables
from shelfhaven.lab.checker import AnswerKind, Attempt
from shelfhaven.lab.node import run_node
from shelfhaven.lab.ports import reserved_address
from shelfhaven.protocol import uwsgi

KEEP_ALIVE_LISTENER = 'listen "k" protocol="uwsgi" address="{address}" mapping="m" keep=true within="60s"\n'
CONCURRENCY = 16  # requests of the closed loop that measures cost
ROUTERS = 4  # connections that its JSON-RPC requests are spread over
COST_MAX_CONCURRENT = 64  # runs of the node whose cost is measured: no request waits
ADDED_RUN_S = 0.02  # mean duration of a run where the node's latency is measured
ADDED_RATE = 300.0  # requests a second
OVERLOAD_TOLERANCE_S = 0.25
PRIORITY_WEIGHTS = {"balance": 1.0, "topup": 3.0}
CONNECTIONS = 1000  # whose memory is measured


# Cost of a request


@contextlib.asynccontextmanager
async def open_routers(address: Address) -> AsyncIterator[list[Router]]:
    """Routers' connections, opened only when they are used: the node closes one that stays silent."""
    routers = [Router(*await connect(address)) for _ in range(ROUTERS)]
    try:
        yield routers
    finally:
        for router in routers:
            await router.close()


async def send_by_uwsgi(gateways: Address, number: int) -> None:
    """Send one request on a connection of its own."""
    reply = await ask(gateways, "GET", f"/balance/{number}")
    assert reply.status == 200, reply


async def send_by_kept_connection(free: asyncio.Queue[Connection], number: int) -> None:
    """Send one request on a free one of the connections that stay open."""
    connection = await free.get()
    connection.writer.write(uwsgi.encode(variables("GET", f"/balance/{number}")))
    assert (await read_reply(connection.reader)).status == 200
    free.put_nowait(connection)


async def send_by_jsonrpc(routers: Iterator[Router], number: int) -> None:
    """Send one request on the next router's connection."""
    router = next(routers)
    router.request(number + 1, "balance", org="")
    assert "result" in await router.wait_for_answer(number + 1)


async def cpu_by_protocol(count: int, rounds: int) -> dict[str, list[float]]:
    """CPU seconds of the node for a request by each protocol, in turn; one figure for each round."""
    spent: dict[str, list[float]] = {"uwsgi": [], "uwsgi_kept": [], "jsonrpc": []}
    gateways = reserved_address()
    kept = reserved_address()
    routers = reserved_address()
    async with started(new_backends(BACKENDS, 0.0)) as backends:
        text = operator_file(backends, gateways, routers, COST_MAX_CONCURRENT)
        text += KEEP_ALIVE_LISTENER.format(address=kept)
        async with run_node(text, routers) as node:
            free: asyncio.Queue[Connection] = asyncio.Queue()
            for _ in range(CONCURRENCY):
                free.put_nowait(await connect(kept))

            async def cpu_per_request(send: Callable[[int], Awaitable[None]]) -> float:
                """CPU seconds of the node for one of the requests of a closed loop."""
                before = cpu_seconds(node.pid)
                await closed_loop(count, CONCURRENCY, send)
                return (cpu_seconds(node.pid) - before) / count

            for _ in range(rounds):
                spent["uwsgi"].append(await cpu_per_request(partial(send_by_uwsgi, gateways)))
                spent["uwsgi_kept"].append(await cpu_per_request(partial(send_by_kept_connection, free)))
                async with open_routers(routers) as links:
                    spent["jsonrpc"].append(await cpu_per_request(partial(send_by_jsonrpc, cycle(links))))
            await node.shut_down()
    return spent


async def cost(count: int, rounds: int) -> Figures:
    """CPU of the node for a request by each protocol: medians over rounds."""
    spent = await cpu_by_protocol(count, rounds)
    medians = {name: statistics.median(values) for name, values in spent.items()}
    return {
        "cost_ratio": round(_median_ratio(spent["uwsgi"], spent["jsonrpc"]), 2),
        "cost_ratio_kept": round(_median_ratio(spent["uwsgi_kept"], spent["jsonrpc"]), 2),
        "cpu_ms_uwsgi": round(medians["uwsgi"] * 1000, 3),
        "cpu_ms_jsonrpc": round(medians["jsonrpc"] * 1000, 3),
        "requests_per_s_of_a_core": round(1 / medians["uwsgi"]),
    }


def _median_ratio(numerators: Sequence[float], denominators: Sequence[float]) -> float:
    pairs = zip(numerators, denominators, strict=True)
    return statistics.median(numerator / denominator for numerator, denominator in pairs)


# What the node adds


async def added_latency(seconds: float, rate: float) -> Figures:
    """Latency through the node over that of the backend itself, from the intended time of sending."""
    gateways = reserved_address()
    routers = reserved_address()
    direct = latency_histogram()
    through_node = latency_histogram()
    random = Random(5)

    async def send(address: Address, intended_at: float) -> float | None:
        """Latency of one request; None unless it was served."""
        reply = await ask(address, "GET", f"/balance/{random.random()}")
        return time.monotonic() - intended_at if reply.status == 200 else None

    async def send_both(backend: Address, arrival: Arrival) -> None:
        """Send one request through the node and one past it."""
        latencies = await asyncio.gather(
            send(gateways, arrival.intended_at), send(backend, arrival.intended_at)
        )
        for histogram, latency in zip((through_node, direct), latencies, strict=True):
            if latency is not None:
                record_latency(histogram, latency)

    async with started(new_backends(BACKENDS, ADDED_RUN_S)) as backends:
        addresses = cycle([Address("127.0.0.1", backend.port) for backend in backends])
        async with run_node(operator_file(backends, gateways, routers), routers) as node:
            tasks = [
                asyncio.ensure_future(send_both(next(addresses), arrival))
                async for arrival in arrivals(seconds, rate, random)
            ]
            await asyncio.gather(*tasks)
            await node.shut_down()
    return {
        f"added_p{percentile}_ms": round(
            percentile_ms(through_node, percentile) - percentile_ms(direct, percentile), 2
        )
        for percentile in (50, 99)
    }


async def memory_per_connection(count: int) -> Figures:
    """Memory of an open, idle connection, by protocol."""
    gateways = reserved_address()
    routers = reserved_address()
    figures: Figures = {}
    async with started(new_backends(1, 0.0)) as backends:
        text = operator_file(backends, gateways, routers, keep_alive=True)
        async with run_node(text, routers) as node:
            by_protocol = {"uwsgi": (gateways, use_gateway), "jsonrpc": (routers, use_router)}
            for protocol, (address, use) in by_protocol.items():
                before = resident_bytes(node.pid)
                connections = [await use(await connect(address), number) for number in range(count)]
                added_kib = (resident_bytes(node.pid) - before) / count / 1024
                figures[f"kb_per_connection_{protocol}"] = round(added_kib, 1)
                for connection in connections:
                    connection.writer.close()
            await node.shut_down()
    return figures


async def use_gateway(connection: Connection, number: int) -> Connection:
    """Have one request answered on a gateway's connection."""
    connection.writer.write(uwsgi.encode(variables("GET", f"/balance/{number}")))
    assert (await read_reply(connection.reader)).status == 200
    return connection


async def use_router(connection: Connection, _number: int) -> Connection:
    """Have one health check answered on a router's connection."""
    router = Router(*connection)
    router.send({"jsonrpc": "2.0", "id": 1, "method": "alive"})
    await router.wait_for_answer(1)
    return connection


# Overload


def weight_in_time(attempts: Sequence[Attempt], protocol: str, seconds: float) -> float:
    """Priority weight per second of what was served within its objective; a request counts once."""
    served_in_time = {
        (attempt.class_name, attempt.identity): PRIORITY_WEIGHTS[attempt.class_name]
        for attempt in attempts
        if attempt.protocol == protocol
        for answer in attempt.answers
        if answer.kind is AnswerKind.SERVED and answer.at <= attempt.objective_at
    }
    return sum(served_in_time.values()) / seconds


class LoadAndProtocol(NamedTuple):
    """A part of the overload measurement; `load` in times the capacity."""

    load: float
    protocol: str


async def overload(seconds: float) -> Figures:
    """Weight in time at twice the capacity over that at capacity, with all backends healthy."""
    protocols = ("uwsgi", "jsonrpc")
    violations: list[str] = []
    weights: dict[LoadAndProtocol, float] = {}
    for load in (1.0, 2.0):
        result = await demo.run_scenario(seconds, load, 3, progress=False, with_server_outage=False)
        violations += checker.find_violations(result.attempts, result.runs, OVERLOAD_TOLERANCE_S)
        if result.exit_code:
            violations.append(f"the node ended with {result.exit_code}")
        for protocol in protocols:
            weights[LoadAndProtocol(load, protocol)] = weight_in_time(result.attempts, protocol, seconds)
    figures: Figures = {}
    for protocol in protocols:
        ratio = weights[LoadAndProtocol(2.0, protocol)] / weights[LoadAndProtocol(1.0, protocol)]
        figures[f"overload_kept_{protocol}"] = round(ratio, 2)
    return figures | {"rules_broken": len(violations), "first_broken": violations[:3]}


async def measure(quick: bool, base: Path | None) -> Figures:
    """All figures, with progress."""
    report = Report()
    seconds = 3.0 if quick else 20.0
    await report.add("cost of a request", cost(600 if quick else 3000, 3 if quick else 5))
    await report.add("what the node adds", added_latency(seconds, ADDED_RATE))
    await report.add("memory of connections", memory_per_connection(CONNECTIONS))
    await report.add("one server slow", gain_with_fault(seconds, BackendFault.SLOW))
    await report.add("one server dead", gain_with_fault(seconds, BackendFault.DEAD))
    await report.add("overload", overload(seconds))
    starts = 3 if quick else 7
    report.figures["start"] = await measure_starts(None, starts)
    if base:
        report.figures["start_base"] = await measure_starts(base, starts)
    return report.figures


@click.command()
@click.option("--quick", is_flag=True)
@click.option("--base", type=click.Path(path_type=Path, exists=True), help="An earlier version.")
@click.option("--round-robin", "baseline", hidden=True, is_flag=True)
@click.argument("path", required=False)
def main(quick: bool, base: Path | None, baseline: bool, path: str | None) -> None:
    """Measure, and print one line of JSON."""
    if baseline and path:
        serve_round_robin(path)
        return
    print_figures(asyncio.run(measure(quick, base)))


if __name__ == "__main__":
    main()
