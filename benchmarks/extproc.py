"""Measures the cost of verdicts and the gain from external processing.

Run with `python -m benchmarks.extproc [--quick]`.
Open-loop load comes from separate processes, and its latency counts from the intended time of sending. The
proxies and the service behind them are stubs of this repository. The last line of output is JSON with every
figure.
"""

from __future__ import annotations

import asyncio
import contextlib
import statistics
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import NamedTuple, TypedDict

import click
import orjson

from benchmarks.extproc_node import LONG_VERDICT_TIMEOUT_S, VERDICT_TIMEOUT_S, operator_file
from benchmarks.measuring import (
    MIB,
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
from benchmarks.service_overload import overload_figures
from shelfhaven.config import Address
from shelfhaven.lab.callers import Connection, connect, read_reply
from shelfhaven.lab.node import NodeProcess, run_node
from shelfhaven.lab.ports import reserved_address
from shelfhaven.lab.proxy import ProxiedRequest, ProxyStub, UpstreamResponse

CONCURRENCY = 8  # of the closed loop that measures cost
PAUSE_S = 0.02  # between the requests of one caller; without it the node rejects streams
COST_ROUNDS = 3
OCCUPIED_RETRY_S = 0.01  # between attempts to occupy the slot
WORKER_PROCESSES = 4  # that generate the load of an open loop
MEMORY_STREAMS = 1000
MEMORY_TIMEOUT_S = 10.0  # of a proxy for a verdict while memory is measured
STREAM_INTERVAL_S = 0.005  # between the openings of two streams
STREAM_SETTLING_S = 0.5  # until all streams are open
LOADS = (0.5, 0.8, 1.0, 1.5)  # multiples of the verdict rate of one core
PERCENTILES = (50, 99, 99.9)


# Cost of a verdict


@contextlib.asynccontextmanager
async def occupied_slot(proxies: Address) -> AsyncIterator[None]:
    """Occupy a node's only slot, for a run or for a stream, until the context ends."""
    released = asyncio.Event()
    forwarded = asyncio.Event()
    occupant = ProxyStub(proxies.port, [], verdict_timeout=LONG_VERDICT_TIMEOUT_S)

    async def serve_when_released(_: ProxiedRequest) -> UpstreamResponse:
        """Answer once the context ends."""
        forwarded.set()
        await released.wait()
        return UpstreamResponse(200, b"")

    occupant.upstream = serve_when_released
    request = asyncio.ensure_future(occupant.ask("GET", "/balance/0"))
    try:
        async with asyncio.timeout(LONG_VERDICT_TIMEOUT_S):
            while not forwarded.is_set():  # the slot of the previous request may not be free yet
                if request.done():
                    request = asyncio.ensure_future(occupant.ask("GET", "/balance/0"))
                await asyncio.sleep(OCCUPIED_RETRY_S)
        yield
    finally:
        released.set()
        await request
        await occupant.close()


# Takes a request's number; returns whether its outcome was the expected one.
Sender = Callable[[int], Awaitable[bool]]


@dataclass
class ExchangeCost:
    """CPU cost of one kind of exchange.

    Attributes:
        node: the node whose CPU time is counted.
        send: sends one request.
        occupied_address: listener of the node whose only slot is occupied meanwhile, if any.
        cpu_by_round: CPU seconds of the node per request, one value for each round.
        unexpected_outcomes: number of exchanges whose outcome was not the expected one.
    """

    node: NodeProcess
    send: Sender
    occupied_address: Address | None
    cpu_by_round: list[float]
    unexpected_outcomes: int = 0

    async def measure_round(self, count: int) -> None:
        """Send `count` requests in a closed loop."""
        slot = occupied_slot(self.occupied_address) if self.occupied_address else contextlib.nullcontext()
        async with slot:
            before = cpu_seconds(self.node.pid)
            await closed_loop(count, CONCURRENCY, self._send_one, PAUSE_S)
            self.cpu_by_round.append((cpu_seconds(self.node.pid) - before) / count)

    async def _send_one(self, number: int) -> None:
        self.unexpected_outcomes += not await self.send(number)

    @property
    def median(self) -> float:
        """Median CPU seconds of the node per request."""
        return statistics.median(self.cpu_by_round)


async def send_by_proxy(proxy: ProxyStub, expect_forwarded: bool, number: int) -> bool:
    """Send one request through a proxy; return whether the verdict was the expected one."""
    request = await proxy.ask("GET", f"/balance/{number}")
    return request.forwarded is expect_forwarded


async def send_by_subrequest(free_connections: asyncio.Queue[Connection], number: int) -> bool:
    """Send one subrequest on a free connection; return whether it was admitted."""
    connection = await free_connections.get()
    connection.writer.write(b"GET /balance/%d HTTP/1.1\r\nHost: x\r\n\r\n" % number)
    reply = await read_reply(connection.reader)
    free_connections.put_nowait(connection)
    return reply.status == 200


class CostNodes(NamedTuple):
    """A node with free capacity, one limited to a single run and one limited to a single stream."""

    idle: NodeProcess
    idle_address: Address
    subrequests_address: Address
    one_run: NodeProcess
    one_run_address: Address
    one_stream: NodeProcess
    one_stream_address: Address


@contextlib.asynccontextmanager
async def run_cost_nodes() -> AsyncIterator[CostNodes]:
    """Run the three nodes whose CPU cost is measured."""
    idle_address = reserved_address()
    subrequests_address = reserved_address()
    one_run_address = reserved_address()
    one_stream_address = reserved_address()
    one_run_file = operator_file(one_run_address, reserved_address(), max_concurrent=1)
    one_stream_file = operator_file(one_stream_address, reserved_address(), max_streams=1)
    async with (
        run_node(operator_file(idle_address, subrequests_address), idle_address) as idle,
        run_node(one_run_file, one_run_address) as one_run,
        run_node(one_stream_file, one_stream_address) as one_stream,
    ):
        yield CostNodes(
            idle, idle_address, subrequests_address, one_run, one_run_address, one_stream, one_stream_address
        )


async def measure_costs(count: int, rounds: int) -> Figures:
    """Measure CPU per continued stream, rejected stream, stream beyond the stream limit, and subrequest.

    The figure "other_ends" counts exchanges with an unexpected outcome (on a slow machine a verdict may be
    late); their CPU time stays in the cost of their kind.
    """
    async with run_cost_nodes() as nodes:
        continued = ProxyStub(nodes.idle_address.port, [], verdict_timeout=LONG_VERDICT_TIMEOUT_S)
        rejected = ProxyStub(nodes.one_run_address.port, [], verdict_timeout=LONG_VERDICT_TIMEOUT_S)
        limited = ProxyStub(nodes.one_stream_address.port, [], verdict_timeout=LONG_VERDICT_TIMEOUT_S)
        free_connections: asyncio.Queue[Connection] = asyncio.Queue()
        for _ in range(CONCURRENCY):
            free_connections.put_nowait(await connect(nodes.subrequests_address))
        rows = {
            "continued": ExchangeCost(nodes.idle, partial(send_by_proxy, continued, True), None, []),
            "rejected": ExchangeCost(
                nodes.one_run, partial(send_by_proxy, rejected, False), nodes.one_run_address, []
            ),
            "limited": ExchangeCost(
                nodes.one_stream, partial(send_by_proxy, limited, False), nodes.one_stream_address, []
            ),
            "subrequest": ExchangeCost(nodes.idle, partial(send_by_subrequest, free_connections), None, []),
        }
        for _ in range(rounds):
            for row in rows.values():
                await row.measure_round(count)
        for proxy in (continued, rejected, limited):
            await proxy.close()
    return cost_figures(rows)


def cost_figures(rows: dict[str, ExchangeCost]) -> Figures:
    """Return costs relative to that of a continued stream."""
    continued = rows["continued"].median
    return {
        "verdicts_per_s": round(1 / continued),
        "cpu_ms_continued": round(1000 * continued, 3),
        "refusal_cost_ratio": round(rows["rejected"].median / continued, 2),
        "turned_away_cost_ratio": round(rows["limited"].median / continued, 2),
        "http_cost_ratio": round(rows["subrequest"].median / continued, 2),
        "other_ends": sum(row.unexpected_outcomes for row in rows.values()),
    }


# Open loops


class WorkerResult(TypedDict):
    """The result that one process of an open loop prints as JSON."""

    asked: int
    forwarded: int
    refused: int
    without: int  # requests without a verdict
    missed: int  # verdicts after the proxy's timeout
    hist: str  # latencies as an encoded HDR histogram


async def run_worker(port: int, rate: float, seconds: float, seed: int) -> None:
    """Generate the load of one process of an open loop and print the result."""
    proxy = ProxyStub(port, [], verdict_timeout=VERDICT_TIMEOUT_S)
    histogram = latency_histogram()
    result = WorkerResult(asked=0, forwarded=0, refused=0, without=0, missed=0, hist="")

    async def send_one(intended_at: float) -> None:
        """Send one request and count its verdict."""
        request = await proxy.ask("GET", "/balance/1")
        if request.verdict_latency is None:
            result["without"] += 1
            return
        result["forwarded" if request.forwarded else "refused"] += 1
        result["missed"] += request.verdict_latency > VERDICT_TIMEOUT_S
        record_latency(histogram, request.consulted_at - intended_at + request.verdict_latency)

    tasks = []
    async for arrival in arrivals(seconds, rate, Random(seed)):
        result["asked"] += 1
        tasks.append(asyncio.ensure_future(send_one(arrival.intended_at)))
    await asyncio.gather(*tasks)
    await proxy.close()
    result["hist"] = histogram.encode().decode()
    print(orjson.dumps(result).decode())


async def worker_results(port: int, rate: float, seconds: float) -> list[WorkerResult]:
    """Run an open loop that is spread over several processes."""
    command = [sys.executable, "-m", "benchmarks.extproc", "--worker"]
    processes = []
    for seed in range(WORKER_PROCESSES):
        arguments = [str(port), str(rate / WORKER_PROCESSES), str(seconds), str(seed)]
        processes.append(
            await asyncio.create_subprocess_exec(*command, *arguments, stdout=asyncio.subprocess.PIPE)
        )
    return [orjson.loads((await process.communicate())[0]) for process in processes]


async def open_loop(seconds: float, verdicts_per_s: float, load: float) -> Figures:
    """Measure verdict latency; `load` is a multiple of the verdict rate of one core."""
    proxies = reserved_address()
    async with run_node(operator_file(proxies, reserved_address()), proxies):
        results = await worker_results(proxies.port, load * verdicts_per_s, seconds)
    histogram = latency_histogram()
    for result in results:
        histogram.decode_and_add(result["hist"])
    figures: Figures = {
        f"p{percentile}_ms": round(percentile_ms(histogram, percentile), 2) for percentile in PERCENTILES
    }
    figures |= {
        "asked": sum(result["asked"] for result in results),
        "refused": sum(result["refused"] for result in results),
        "without": sum(result["without"] for result in results),
        "missed": sum(result["missed"] for result in results),
    }
    return {f"at_{round(100 * load)}": figures}


# Memory


async def memory_of_streams(count: int) -> Figures:
    """Measure the memory that open streams take."""
    proxies = reserved_address()
    released = asyncio.Event()

    async def serve_when_released(_: ProxiedRequest) -> UpstreamResponse:
        """Answer once memory has been measured."""
        await released.wait()
        return UpstreamResponse(200, b"")

    async with run_node(operator_file(proxies, reserved_address()), proxies) as node:
        proxy = ProxyStub(proxies.port, [], verdict_timeout=MEMORY_TIMEOUT_S)
        await proxy.ask("GET", "/balance/0")
        before = resident_bytes(node.pid)
        proxy.upstream = serve_when_released
        requests = []
        for number in range(count):
            requests.append(asyncio.ensure_future(proxy.ask("GET", f"/balance/{number}")))
            await asyncio.sleep(STREAM_INTERVAL_S)
        await asyncio.sleep(STREAM_SETTLING_S)
        open_streams = len(proxy.log) - 1  # without the first request; rejected streams are not in the log
        after = resident_bytes(node.pid)
        released.set()
        await asyncio.gather(*requests)
        await proxy.close()
    return {
        "mb_per_1000_streams": round((after - before) / MIB * 1000 / open_streams, 1),
        "mb_at_start": round(before / MIB, 1),
    }


async def measure(quick: bool) -> Figures:
    """Make all measurements, with progress on standard error."""
    report = Report()
    seconds = 3.0 if quick else 15.0
    await report.add("costs", measure_costs(300 if quick else 2000, COST_ROUNDS))
    verdicts_per_s = report.figures["verdicts_per_s"]
    assert isinstance(verdicts_per_s, int)
    await report.add("memory", memory_of_streams(MEMORY_STREAMS))
    for load in LOADS:
        await report.add(f"verdict latency at {load:.0%}", open_loop(seconds, verdicts_per_s, load))
    await report.add("service at twice its capacity", overload_figures(2 * seconds, 2.0))
    return report.figures


@click.command()
@click.option("--quick", is_flag=True)
@click.option("--worker", nargs=4, type=float, hidden=True)
def main(quick: bool, worker: tuple[float, float, float, float] | None) -> None:
    """Run the benchmark and print its figures as one line of JSON."""
    if worker:
        port, rate, seconds, seed = worker
        asyncio.run(run_worker(int(port), rate, seconds, int(seed)))
        return
    print_figures(asyncio.run(measure(quick)))


if __name__ == "__main__":
    main()
