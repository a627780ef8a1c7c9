"""Measures the gain from a processor before an overloaded service; part of `benchmarks.extproc`."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from typing import NamedTuple

from benchmarks.extproc_node import VERDICT_TIMEOUT_S, operator_file
from benchmarks.measuring import Figures, arrivals
from shelfhaven.lab.backend_stub import ExecutedRun
from shelfhaven.lab.node import run_node
from shelfhaven.lab.ports import reserved_address
from shelfhaven.lab.proxy import ProxiedRequest, ProxyStub, UpstreamResponse

SERVICE_WORKERS = 8
MEAN_RUN_S = 0.05
SATURATION = 16  # requests in progress beyond which runs slow down
TOPUP_EVERY = 4  # one top-up per this many requests
PRIORITY_WEIGHTS = {"topup": 3.0, "balance": 1.0}
LATENCY_OBJECTIVE_S = 0.5
DRAIN_TIMEOUT_S = 20.0  # for the requests that are still open after the last arrival
UNLIMITED = 1 << 30


class SaturatingService:
    """A service whose runs slow down in proportion to the requests in progress beyond its saturation."""

    def __init__(self, seed: int) -> None:
        self.workers = asyncio.Semaphore(SERVICE_WORKERS)
        self.in_progress = 0
        self.random = Random(seed)

    async def serve(self, _: ProxiedRequest) -> UpstreamResponse:
        """Occupy a worker for a random time."""
        self.in_progress += 1
        try:
            async with self.workers:
                slowdown = max(1.0, self.in_progress / SATURATION)
                await asyncio.sleep(MEAN_RUN_S * slowdown * (0.5 + self.random.random()))
            return UpstreamResponse(200, b"done")
        finally:
            self.in_progress -= 1


class ProcessorResult(NamedTuple):
    """Priority weight served in time, and the number of repeated runs of keyed requests."""

    weight_in_time: float
    duplicate_runs: int


# Takes a request's number; returns whether it was served.
Send = Callable[[int, SaturatingService], Awaitable[bool]]


def is_topup(number: int) -> bool:
    """Return whether the request with this number is a top-up."""
    return number % TOPUP_EVERY == 0


async def send_through_proxy(proxy: ProxyStub, number: int, _service: SaturatingService) -> bool:
    """Send a request through a proxy that consults the node."""
    if is_topup(number):
        body = str(number).encode()
        request = await proxy.ask("POST", "/topup", body, **{"idempotency-key": str(number)})
    else:
        request = await proxy.ask("GET", f"/balance/{number}")
    return bool(request.forwarded and request.reply and request.reply.status == 200)


class ConcurrencyLimiter:
    """Sends requests directly to the service and rejects those beyond a concurrency limit."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.in_flight = 0

    async def send(self, _number: int, service: SaturatingService) -> bool:
        """Send a request, or reject it when the limit is reached."""
        if self.in_flight >= self.limit:
            return False
        self.in_flight += 1
        await service.serve(ProxiedRequest("", "", b"", {}))
        self.in_flight -= 1
        return True


async def weight_in_time(seconds: float, rate: float, service: SaturatingService, send: Send) -> float:
    """Send requests at a rate; return the priority weight of those that were served in time."""
    total = 0.0

    async def send_one(number: int) -> None:
        """Send one request and add its weight if it was served in time."""
        nonlocal total
        started_at = time.monotonic()
        served = await send(number, service)
        if served and time.monotonic() - started_at < LATENCY_OBJECTIVE_S:
            total += PRIORITY_WEIGHTS["topup" if is_topup(number) else "balance"]

    tasks = [
        asyncio.ensure_future(send_one(arrival.number))
        async for arrival in arrivals(seconds, rate, Random(9))
    ]
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(DRAIN_TIMEOUT_S):
            await asyncio.gather(*tasks)
    return total


async def run_behind_processor(seconds: float, rate: float) -> ProcessorResult:
    """Load the service behind a proxy that consults a node."""
    service = SaturatingService(3)
    log: list[ExecutedRun] = []
    proxies = reserved_address()
    async with run_node(operator_file(proxies, reserved_address(), SERVICE_WORKERS), proxies):
        proxy = ProxyStub(proxies.port, log, verdict_timeout=VERDICT_TIMEOUT_S)
        proxy.upstream = service.serve
        weight = await weight_in_time(seconds, rate, service, partial(send_through_proxy, proxy))
        await proxy.close()
    keyed = [run.body for run in log if run.key]
    return ProcessorResult(weight, len(keyed) - len(set(keyed)))


async def overload_figures(seconds: float, load: float) -> Figures:
    """Compare the weight served in time with that of an unprotected service and of a concurrency limit."""
    rate = load * SERVICE_WORKERS / MEAN_RUN_S
    processor, unprotected, limit = await asyncio.gather(
        run_behind_processor(seconds, rate),
        weight_in_time(seconds, rate, SaturatingService(3), ConcurrencyLimiter(UNLIMITED).send),
        weight_in_time(seconds, rate, SaturatingService(3), ConcurrencyLimiter(2 * SERVICE_WORKERS).send),
    )
    weights = {"processor": processor.weight_in_time, "nothing": unprotected, "limit": limit}
    return {
        "worth_over_nothing": round(weights["processor"] / max(1.0, weights["nothing"]), 2),
        "worth_over_fixed_limit": round(weights["processor"] / max(1.0, weights["limit"]), 2),
        "worth": {name: round(weight) for name, weight in weights.items()},
        "run_twice": processor.duplicate_runs,
    }
