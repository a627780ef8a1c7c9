"""Measures the cost of uwsgi requests and the gain from the pool: `python -m benchmarks.uwsgi [--quick]`.

uwsgi and JSON-RPC are measured side by side, with backend stubs of this repository. `--base DIR` names a
checkout of an earlier version whose start-up and memory are measured too. The last line of output is JSON
with every figure.
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

from benchmarks.backend_faults import BackendFault, fault_gain_figures, serve_round_robin
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
CONCURRENCY = 16  # of the closed loop that measures cost
ROUTER_CONNECTIONS = 4  # that share the JSON-RPC requests of the closed loop
COST_MAX_CONCURRENT = 64  # concurrent runs while cost is measured: no request has to wait
LATENCY_MEAN_RUN_S = 0.02  # while added latency is measured
LATENCY_REQUESTS_PER_S = 300.0
OVERLOAD_TOLERANCE_S = 0.25
PRIORITY_WEIGHTS = {"balance": 1.0, "topup": 3.0}
IDLE_CONNECTIONS = 1000  # while memory is measured


# Cost of a request


@contextlib.asynccontextmanager
async def open_routers(address: Address) -> AsyncIterator[list[Router]]:
    """Open router connections just before they are used, since the node closes silent ones."""
    routers = [Router(*await connect(address)) for _ in range(ROUTER_CONNECTIONS)]
    try:
        yield routers
    finally:
        for router in routers:
            await router.close()


async def send_by_uwsgi(gateways: Address, number: int) -> None:
    """Send one request on a new connection."""
    reply = await ask(gateways, "GET", f"/balance/{number}")
    assert reply.status == 200, reply


async def send_by_kept_connection(free_connections: asyncio.Queue[Connection], number: int) -> None:
    """Send one request on a free keep-alive connection."""
    connection = await free_connections.get()
    connection.writer.write(uwsgi.encode(variables("GET", f"/balance/{number}")))
    assert (await read_reply(connection.reader)).status == 200
    free_connections.put_nowait(connection)


async def send_by_jsonrpc(routers: Iterator[Router], number: int) -> None:
    """Send one request on the next router's connection."""
    router = next(routers)
    router.request(number + 1, "balance", org="")
    assert "result" in await router.wait_for_answer(number + 1)


async def cpu_by_protocol(count: int, rounds: int) -> dict[str, list[float]]:
    """Return the CPU seconds of the node per request by protocol, one value for each round."""
    cpu_seconds_by_protocol: dict[str, list[float]] = {"uwsgi": [], "uwsgi_kept": [], "jsonrpc": []}
    gateways = reserved_address()
    keep_alive_address = reserved_address()
    routers = reserved_address()
    async with started(new_backends(BACKENDS, 0.0)) as backends:
        text = operator_file(backends, gateways, routers, COST_MAX_CONCURRENT)
        text += KEEP_ALIVE_LISTENER.format(address=keep_alive_address)
        async with run_node(text, routers) as node:
            free_connections: asyncio.Queue[Connection] = asyncio.Queue()
            for _ in range(CONCURRENCY):
                free_connections.put_nowait(await connect(keep_alive_address))

            async def cpu_per_request(send: Callable[[int], Awaitable[None]]) -> float:
                """Run a closed loop; return the CPU seconds of the node per request."""
                before = cpu_seconds(node.pid)
                await closed_loop(count, CONCURRENCY, send)
                return (cpu_seconds(node.pid) - before) / count

            for _ in range(rounds):
                cpu_seconds_by_protocol["uwsgi"].append(
                    await cpu_per_request(partial(send_by_uwsgi, gateways))
                )
                cpu_seconds_by_protocol["uwsgi_kept"].append(
                    await cpu_per_request(partial(send_by_kept_connection, free_connections))
                )
                async with open_routers(routers) as connections:
                    cpu_seconds_by_protocol["jsonrpc"].append(
                        await cpu_per_request(partial(send_by_jsonrpc, cycle(connections)))
                    )
            await node.shut_down()
    return cpu_seconds_by_protocol


async def cost_figures(count: int, rounds: int) -> Figures:
    """Measure the CPU time of the node per request by protocol; medians over rounds."""
    cpu_seconds_by_protocol = await cpu_by_protocol(count, rounds)
    medians = {name: statistics.median(values) for name, values in cpu_seconds_by_protocol.items()}
    return {
        "cost_ratio": round(
            _median_ratio(cpu_seconds_by_protocol["uwsgi"], cpu_seconds_by_protocol["jsonrpc"]), 2
        ),
        "cost_ratio_kept": round(
            _median_ratio(cpu_seconds_by_protocol["uwsgi_kept"], cpu_seconds_by_protocol["jsonrpc"]), 2
        ),
        "cpu_ms_uwsgi": round(medians["uwsgi"] * 1000, 3),
        "cpu_ms_jsonrpc": round(medians["jsonrpc"] * 1000, 3),
        "requests_per_s_of_a_core": round(1 / medians["uwsgi"]),
    }


def _median_ratio(numerators: Sequence[float], denominators: Sequence[float]) -> float:
    pairs = zip(numerators, denominators, strict=True)
    return statistics.median(numerator / denominator for numerator, denominator in pairs)


# Latency and memory


async def added_latency(seconds: float, rate: float) -> Figures:
    """Measure the latency that the node adds to that of a backend, from the intended time of sending."""
    gateways = reserved_address()
    routers = reserved_address()
    direct = latency_histogram()
    through_node = latency_histogram()
    random = Random(5)

    async def send(address: Address, intended_at: float) -> float | None:
        """Return the latency of one request, or None if it was not served."""
        reply = await ask(address, "GET", f"/balance/{random.random()}")
        return time.monotonic() - intended_at if reply.status == 200 else None

    async def send_both(backend: Address, arrival: Arrival) -> None:
        """Send one request through the node and one directly to a backend."""
        latencies = await asyncio.gather(
            send(gateways, arrival.intended_at), send(backend, arrival.intended_at)
        )
        for histogram, latency in zip((through_node, direct), latencies, strict=True):
            if latency is not None:
                record_latency(histogram, latency)

    async with started(new_backends(BACKENDS, LATENCY_MEAN_RUN_S)) as backends:
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
    """Measure the memory of an idle connection by protocol."""
    gateways = reserved_address()
    routers = reserved_address()
    figures: Figures = {}
    async with started(new_backends(1, 0.0)) as backends:
        text = operator_file(backends, gateways, routers, keep_alive=True)
        async with run_node(text, routers) as node:
            by_protocol = {
                "uwsgi": (gateways, request_on_gateway_connection),
                "jsonrpc": (routers, ping_on_router_connection),
            }
            for protocol, (address, use_connection) in by_protocol.items():
                before = resident_bytes(node.pid)
                connections = [
                    await use_connection(await connect(address), number) for number in range(count)
                ]
                added_kib = (resident_bytes(node.pid) - before) / count / 1024
                figures[f"kb_per_connection_{protocol}"] = round(added_kib, 1)
                for connection in connections:
                    connection.writer.close()
            await node.shut_down()
    return figures


async def request_on_gateway_connection(connection: Connection, number: int) -> Connection:
    """Send one request on a gateway connection and wait for its answer."""
    connection.writer.write(uwsgi.encode(variables("GET", f"/balance/{number}")))
    assert (await read_reply(connection.reader)).status == 200
    return connection


async def ping_on_router_connection(connection: Connection, _number: int) -> Connection:
    """Send one health check on a router connection and wait for its answer."""
    router = Router(*connection)
    router.send({"jsonrpc": "2.0", "id": 1, "method": "alive"})
    await router.wait_for_answer(1)
    return connection


# Overload


def weight_in_time(attempts: Sequence[Attempt], protocol: str, seconds: float) -> float:
    """Return the priority weight per second of requests served within their objective, each counted once."""
    served_in_time = {
        (attempt.class_name, attempt.identity): PRIORITY_WEIGHTS[attempt.class_name]
        for attempt in attempts
        if attempt.protocol == protocol
        for answer in attempt.answers
        if answer.kind is AnswerKind.SERVED and answer.at <= attempt.objective_at
    }
    return sum(served_in_time.values()) / seconds


class OverloadCase(NamedTuple):
    """One case of the overload measurement; `load` is a multiple of the capacity."""

    load: float
    protocol: str


async def overload_figures(seconds: float) -> Figures:
    """Compare the weight in time at twice the capacity with that at capacity, with all backends healthy."""
    protocols = ("uwsgi", "jsonrpc")
    violations: list[str] = []
    weights: dict[OverloadCase, float] = {}
    for load in (1.0, 2.0):
        result = await demo.run_scenario(seconds, load, 3, progress=False, with_server_outage=False)
        violations += checker.find_violations(result.attempts, result.runs, OVERLOAD_TOLERANCE_S)
        if result.exit_code:
            violations.append(f"the node ended with {result.exit_code}")
        for protocol in protocols:
            weights[OverloadCase(load, protocol)] = weight_in_time(result.attempts, protocol, seconds)
    figures: Figures = {}
    for protocol in protocols:
        ratio = weights[OverloadCase(2.0, protocol)] / weights[OverloadCase(1.0, protocol)]
        figures[f"overload_kept_{protocol}"] = round(ratio, 2)
    return figures | {"rules_broken": len(violations), "first_broken": violations[:3]}


async def measure(quick: bool, base: Path | None) -> Figures:
    """Make all measurements, with progress on standard error."""
    report = Report()
    seconds = 3.0 if quick else 20.0
    await report.add("cost of a request", cost_figures(600 if quick else 3000, 3 if quick else 5))
    await report.add("added latency", added_latency(seconds, LATENCY_REQUESTS_PER_S))
    await report.add("memory of idle connections", memory_per_connection(IDLE_CONNECTIONS))
    await report.add("one backend slow", fault_gain_figures(seconds, BackendFault.SLOW))
    await report.add("one backend dead", fault_gain_figures(seconds, BackendFault.DEAD))
    await report.add("overload", overload_figures(seconds))
    starts = 3 if quick else 7
    report.figures["start"] = await measure_starts(None, starts)
    if base:
        report.figures["start_base"] = await measure_starts(base, starts)
    return report.figures


@click.command()
@click.option("--quick", is_flag=True)
@click.option(
    "--base",
    type=click.Path(path_type=Path, exists=True),
    help="Checkout of an earlier version to compare with.",
)
@click.option("--round-robin", "baseline", hidden=True, is_flag=True)
@click.argument("path", required=False)
def main(quick: bool, base: Path | None, baseline: bool, path: str | None) -> None:
    """Run the benchmark and print its figures as one line of JSON."""
    if baseline and path:
        serve_round_robin(path)
        return
    print_figures(asyncio.run(measure(quick, base)))


if __name__ == "__main__":
    main()
