"""Proxies that consult in a flood while the node drains: each consultation ends with a verdict."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable

import grpc

from shelfhaven.lab.proxy import ProxyStub
from shelfhaven.program.app import Phase
from tests.frontends.proxy_nodes import ProxyNode, running_proxy_node
from tests.peers import run_async

PROXIES = 4
CONSULTATIONS_OF_A_PROXY = 30  # in progress at a time
STOP = "1500ms"
STOP_S = 1.5
CONSULT = 'verdict="1s"'
VERDICT_TIMEOUT_S = 2.0  # of the stub proxies, which with the node share one process and so are slow
VERDICT = "verdict"


class Flood:
    """Consultations of several proxies, and how they ended.

    Attributes:
        endings: number of consultations by their ending: `VERDICT`, a gRPC status, or None for a timeout.
        slowest: time until the slowest verdict in seconds.
    """

    def __init__(self, node: ProxyNode) -> None:
        self.proxies = [node.new_proxy(verdict_timeout=VERDICT_TIMEOUT_S) for _ in range(PROXIES)]
        self.endings: Counter[str | None] = Counter()
        self.slowest = 0.0

    async def consult(self, proxy: ProxyStub) -> grpc.StatusCode | None:
        """Consult once; return the status of a stream that ended with an error."""
        request = await proxy.ask("GET", "/balance/1")
        if request.verdict_latency is not None:
            self.endings[VERDICT] += 1
            self.slowest = max(self.slowest, request.verdict_latency)
        else:
            self.endings[request.stream_status.name if request.stream_status else None] += 1
        return request.stream_status

    async def consult_until_refused(self, proxy: ProxyStub) -> None:
        """Consult again after each verdict, until the node accepts no streams."""
        while await self.consult(proxy) is not grpc.StatusCode.UNAVAILABLE:
            pass

    async def consult_at_intervals(self, proxy: ProxyStub, interval: float) -> None:
        """Consult at intervals without waiting for verdicts, until the node accepts no streams."""
        pending: set[asyncio.Task[grpc.StatusCode | None]] = set()
        while not self.endings[grpc.StatusCode.UNAVAILABLE.name]:
            pending.add(asyncio.ensure_future(self.consult(proxy)))
            await asyncio.sleep(interval)
        await asyncio.gather(*pending)


async def drain_during(node: ProxyNode, flood: Callable[[], Awaitable[object]]) -> float:
    """Send the notice to stop while a flood is under way; return the seconds that the drain took."""
    flooding = asyncio.ensure_future(flood())
    await asyncio.sleep(0.3)
    os.kill(os.getpid(), signal.SIGTERM)
    noticed_at = time.monotonic()
    await node.task
    duration = time.monotonic() - noticed_at
    await flooding
    assert node.app.phase is Phase.ENDED
    return duration


def test_each_consultation_of_a_flood_gets_a_verdict_while_the_node_drains() -> None:
    """Guards against streams that the gRPC library resets when the listener announces its end."""

    async def check() -> None:
        async with running_proxy_node(stop=STOP, consult=CONSULT) as node:
            flood = Flood(node)
            callers = [
                flood.consult_until_refused(proxy)
                for proxy in flood.proxies
                for _ in range(CONSULTATIONS_OF_A_PROXY)
            ]
            duration = await drain_during(node, lambda: asyncio.gather(*callers))
            assert set(flood.endings) == {VERDICT, grpc.StatusCode.UNAVAILABLE.name}, flood.endings
            assert flood.endings[VERDICT] > len(callers)
            assert duration < STOP_S + 0.2

    run_async(check)


def test_proxies_that_do_not_wait_for_verdicts_get_them_in_time_and_do_not_prolong_the_drain() -> None:
    """Guards against responses that are held too long for streams that never cease to arrive."""

    async def check() -> None:
        async with running_proxy_node(stop=STOP, consult=CONSULT) as node:
            flood = Flood(node)
            budget = node.app.proxy_listeners[0].settings.verdict_budget
            duration = await drain_during(node, lambda: flood.consult_at_intervals(flood.proxies[0], 0.01))
            assert flood.endings[VERDICT] > 30
            assert flood.slowest < budget + 0.1
            assert duration < STOP_S + 0.2

    run_async(check)
