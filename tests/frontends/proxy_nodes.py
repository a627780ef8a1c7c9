"""A server with a listener of proxies and stub proxies, for the tests of proxy frontends."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

from shelfhaven.lab.backend_stub import ExecutedRun
from shelfhaven.lab.callers import STEP_TIMEOUT_S
from shelfhaven.lab.ports import reserved_address
from shelfhaven.lab.proxy import ProxiedRequest, ProxyStub, Upstream, UpstreamResponse
from tests.frontends.nodes import FrontendNode


class ProxyNode(FrontendNode):
    """A server with a listener of proxies beside the others.

    Attributes:
        forwarded: what the stub proxies have forwarded.
        made: the stub proxies, to be closed at the end.
    """

    def __init__(self, **changes: Any) -> None:
        self.proxies = reserved_address()
        consult = changes.pop("consult", "")
        listen = f'\nlisten "p" protocol="extproc" address="{self.proxies}" mapping="m" {consult}'
        super().__init__(1, listen=listen, **changes)
        self.forwarded: list[ExecutedRun] = []
        self.made: list[ProxyStub] = []

    def proxy(self, **changes: Any) -> ProxyStub:
        """Make a stub proxy of this server."""
        proxy = ProxyStub(self.proxies.port, self.forwarded, **changes)
        self.made.append(proxy)
        return proxy


@contextlib.asynccontextmanager
async def running_proxy_node(**changes: Any) -> AsyncIterator[ProxyNode]:
    """A running server with one backend; ended with the context if it still runs."""
    running = ProxyNode(**changes)
    await running.start()
    try:
        yield running
    finally:
        for proxy in running.made:
            await proxy.close()
        if not running.running.done():
            running.running.cancel()
        await asyncio.gather(running.running, return_exceptions=True)
        for processor in running.app.processors:
            await processor.end()
        running.backends[0].stop()
        running.folder.cleanup()


async def ask_until_forwarded(proxy: ProxyStub) -> None:
    """Ask until a request goes on: after a fault some may be rejected for a while."""
    async with asyncio.timeout(STEP_TIMEOUT_S):
        while not (exchange := await proxy.ask("GET", "/balance/1")).forwarded:
            assert exchange.reply
            assert exchange.reply.status == 503
            await asyncio.sleep(0.05)


def upstream_waiting_for(event: asyncio.Event) -> Upstream:
    """Return an upstream server that answers once the event is set."""

    async def upstream(_: ProxiedRequest) -> UpstreamResponse:
        await event.wait()
        return UpstreamResponse(200, b"slow")

    return upstream
