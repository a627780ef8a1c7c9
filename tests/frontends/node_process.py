"""A node as a process with a listener of each protocol, and clients that measure what others cost them."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from shelfhaven.config import Address
from shelfhaven.lab.backend_stub import BackendStub, ExecutedRun
from shelfhaven.lab.callers import STEP_TIMEOUT_S, Router, ask, connect, read_reply
from shelfhaven.lab.flood_client import FloodKind
from shelfhaven.lab.node import NodeProcess, run_node
from shelfhaven.lab.ports import reserved_address
from shelfhaven.lab.proxy import ProxyStub
from shelfhaven.lab.stream_flood_client import StreamFloodKind

MEMORY_LIMIT_MB = 96  # of the node under test
DEADLINE_S = 1.5  # of the class "balance"
VERDICT_TIMEOUT_S = 0.3  # of the listeners for proxies
PAUSE_S = 0.02  # of a well-behaved client between its requests
MEMORY_CHECK_INTERVAL_S = 0.05
KB_PER_MB = 1024

OPERATOR_FILE = """
node "clearing-1" stop="{stop}" memory="{memory_mb}MB" descriptors={descriptors}
work at-once={at_once} memory="64MB" {{
    class "balance" aim="500ms" deadline="1500ms" repeat="safe"
    class "topup" aim="1s" deadline="4s" worth=3 repeat="keyed" window="8s"
    tenant "retail"
}}
mapping "m" {{
    route "topup" method="POST" path="/topup"
    route "balance" method="GET" path="/balance/*"
    tenant default="retail"
    caller variable="HTTP_X_GATEWAY"
}}
listen "g" protocol="uwsgi" address="{gateways}" mapping="m" keep=true {uwsgi}
listen "r" protocol="jsonrpc" address="{routers}"
listen "s" protocol="subrequest" address="{subrequests}" mapping="m" lease="300ms" verdict="300ms"
listen "p" protocol="extproc" address="{streams}" mapping="m" lease="300ms" verdict="300ms"
pool "p" {{
    server "{backend}"
    runs "topup"
    runs "balance" method="GET" path="/balance/any"
}}
"""


@dataclass
class NodeUnderTest:
    """A node process and its backend, which runs in this process.

    Attributes:
        runs: the runs that the backend has executed.
    """

    process: NodeProcess
    backend: BackendStub
    gateways: Address
    routers: Address
    subrequests: Address
    streams: Address
    runs: list[ExecutedRun] = field(default_factory=list)

    def memory_mb(self) -> float:
        """Return the resident memory of the process."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / KB_PER_MB
        raise AssertionError("the process has ended")

    async def peak_memory_mb(self, seconds: float) -> float:
        """Return the largest resident memory within a time."""
        peak = 0.0
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            peak = max(peak, self.memory_mb())
            await asyncio.sleep(MEMORY_CHECK_INTERVAL_S)
        return peak


@contextlib.asynccontextmanager
async def running_process(
    at_once: int = 16,
    stop: str = "5s",
    uwsgi: str = "",
    descriptors: int = 1024,
    memory_mb: int = MEMORY_LIMIT_MB,
) -> AsyncIterator[NodeUnderTest]:
    """Run a node with listeners for all protocols."""
    runs: list[ExecutedRun] = []
    backend = BackendStub("b", runs, workers=64)
    await backend.start()
    addresses = {name: reserved_address() for name in ("gateways", "routers", "subrequests", "streams")}
    text = OPERATOR_FILE.format(
        stop=stop,
        memory_mb=memory_mb,
        descriptors=descriptors,
        at_once=at_once,
        uwsgi=uwsgi,
        backend=backend.address,
        **addresses,
    )
    try:
        async with run_node(text, addresses["routers"]) as process:
            for address in addresses.values():
                await _accepted(address)
            yield NodeUnderTest(process, backend, **addresses, runs=runs)
    finally:
        backend.stop()


async def _accepted(address: Address) -> None:
    """Wait until a listener accepts connections."""
    async with asyncio.timeout(STEP_TIMEOUT_S):
        while True:
            with contextlib.suppress(ConnectionRefusedError):
                _, writer = await connect(address)
                writer.close()
                return
            await asyncio.sleep(PAUSE_S)


@dataclass
class ClientReport:
    """What a well-behaved client saw.

    Attributes:
        slowest: longest time to an answer in seconds.
        answers: number of answers by kind.
    """

    slowest: float = 0.0
    answers: Counter[str] = field(default_factory=Counter)


class WellBehavedClients:
    """One client of each protocol, which asks again and again, on new connections where it is not gRPC.

    Attributes:
        reports: by protocol.
        proxy: the client that asks by gRPC streams.
    """

    proxy: ProxyStub

    def __init__(self, node: NodeUnderTest) -> None:
        self.node = node
        self.reports: dict[str, ClientReport] = {}

    async def run(self, seconds: float) -> None:
        """Ask for a time, by all protocols at once."""
        asks: dict[str, Callable[[], Awaitable[str]]] = {
            "jsonrpc": self._ask_as_router,
            "uwsgi": self._ask_as_gateway,
            "subrequest": self._ask_as_proxy,
            "extproc": self._ask_by_stream,
        }
        self.proxy = ProxyStub(self.node.streams.port, [], verdict_timeout=2 * DEADLINE_S)
        ends_at = time.monotonic() + seconds
        await asyncio.gather(*(self._ask_until(ends_at, name, asking) for name, asking in asks.items()))
        await self.proxy.close()

    async def _ask_until(self, ends_at: float, name: str, asking: Callable[[], Awaitable[str]]) -> None:
        report = self.reports[name] = ClientReport()
        while time.monotonic() < ends_at:
            started_at = time.monotonic()
            try:
                kind = await asyncio.wait_for(asking(), 2 * DEADLINE_S)
            except TimeoutError:
                kind = "none"
            report.answers[kind] += 1
            report.slowest = max(report.slowest, time.monotonic() - started_at)
            await asyncio.sleep(PAUSE_S)

    async def _ask_as_router(self) -> str:
        router = Router(*await connect(self.node.routers))
        try:
            router.request(1, "balance", org="retail", body=base64.b64encode(b"ask").decode())
            answer = await router.wait_for_answer(1)
            return "served" if "result" in answer else "rejected"
        finally:
            await router.close()

    async def _ask_as_gateway(self) -> str:
        reply = await ask(self.node.gateways, "GET", "/balance/1")
        return "served" if reply.status == 200 else f"status {reply.status}"

    async def _ask_as_proxy(self) -> str:
        reader, writer = await connect(self.node.subrequests)
        try:
            writer.write(b"GET /balance/1 HTTP/1.1\r\nHost: x\r\n\r\n")
            reply = await read_reply(reader)
            return "served" if reply.status == 200 else f"status {reply.status}"
        finally:
            writer.close()

    async def _ask_by_stream(self) -> str:
        exchange = await self.proxy.ask("GET", "/balance/1")
        if exchange.forwarded:
            return "served"
        return f"status {exchange.reply.status}" if exchange.reply else "none"


@contextlib.asynccontextmanager
async def flooding(
    address: Address, kind: FloodKind | StreamFloodKind, seconds: float, reads_answers: bool = True
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run a client that floods a listener, in a process of its own, within a context."""
    module = "flood_client" if isinstance(kind, FloodKind) else "stream_flood_client"
    options = [] if reads_answers else ["unread"]
    arguments: list[Any] = ["-m", f"shelfhaven.lab.{module}", address.port, kind.value, seconds, *options]
    process = await asyncio.create_subprocess_exec(sys.executable, *map(str, arguments))
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
