"""A server with a listener for proxies, and stub proxies, for the tests of the proxy frontends."""

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
    """A server with a listener for proxies in addition to those for gateways and routers.

    Attributes:
        proxy_address: address of the listener for proxies.
        forwarded: the requests that the stub proxies have forwarded.
        stub_proxies: the stub proxies, which are closed when the node ends.
    """

    def __init__(self, **changes: Any) -> None:
        self.proxy_address = reserved_address()
        consult = changes.pop("consult", "")
        listen = f'\nlisten "p" protocol="extproc" address="{self.proxy_address}" mapping="m" {consult}'
        super().__init__(1, listen=listen, **changes)
        self.forwarded: list[ExecutedRun] = []
        self.stub_proxies: list[ProxyStub] = []

    def new_proxy(self, **changes: Any) -> ProxyStub:
        """Return a new stub proxy of this server."""
        proxy = ProxyStub(self.proxy_address.port, self.forwarded, **changes)
        self.stub_proxies.append(proxy)
        return proxy


@contextlib.asynccontextmanager
async def running_proxy_node(**changes: Any) -> AsyncIterator[ProxyNode]:
    """Run a server with one backend within a context."""
    node = ProxyNode(**changes)
    await node.start()
    try:
        yield node
    finally:
        for proxy in node.stub_proxies:
            await proxy.close()
        if not node.task.done():
            node.task.cancel()
        await asyncio.gather(node.task, return_exceptions=True)
        for processor in node.app.proxy_listeners:
            await processor.end(0.0)
        node.backends[0].stop()
        node.folder.cleanup()


async def ask_until_forwarded(proxy: ProxyStub) -> None:
    """Repeat a request until it is forwarded: after a fault the server may reject some for a while."""
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
