"""A server with listeners for gateways and routers, and stub backends, for the tests of the frontends."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import tempfile
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from shelfhaven import operator_config
from shelfhaven.config import Address
from shelfhaven.lab.backend_stub import BackendStub, ExecutedRun
from shelfhaven.lab.callers import Reply, Router, ask, connect, until
from shelfhaven.lab.ports import reserved_address
from shelfhaven.program.app import App, Phase
from shelfhaven.program.component import Files
from shelfhaven.server.log import Log
from tests.peers import NULL

OPERATOR_FILE = """
node "n1" stop="{stop}"
work at-once={at_once} memory="{memory}" {{
    class "balance" aim="600ms" deadline="{deadline}" repeat="safe"
    class "topup" aim="600ms" deadline="{deadline}" worth=3 repeat="keyed" window="8s"
    class "order" aim="600ms" deadline="{deadline}" repeat="once"
    tenant "retail"
    tenant "bank"
}}
mapping "m" {{
    route "topup" method="POST" path="{topup_path}"
    route "order" method="POST" path="/order/*"
    route "balance" path="/balance/*"
    tenant default="retail"
    caller variable="HTTP_X_GATEWAY"
    pass "HTTP_X_TRACE"
    {mapping}
}}
listen "g" protocol="uwsgi" address="{gateway_address}" mapping="m" within="300ms" body-most="2KB" {listen}
listen "r" protocol="jsonrpc" address="{router_address}"
pool "p" {{
{servers}
    runs "topup"
    runs "order"
    runs "balance" method="GET" path="/balance/any"
    {pool}
}}
"""


class FrontendNode:
    """A server with listeners for gateways and routers, and its stub backends.

    Attributes:
        runs: the runs that the backends have executed.
        template_values: the values filled into `OPERATOR_FILE`.
        app: the server, once started.
        task: the task that runs the server, once started.
    """

    def __init__(self, backend_count: int, **template_values: Any) -> None:
        self.runs: list[ExecutedRun] = []
        self.backends = [BackendStub(f"v{number}", self.runs) for number in range(backend_count)]
        self.folder = tempfile.TemporaryDirectory()
        self.path = Path(self.folder.name) / "operator.kdl"
        self.gateway_address: Address | Path = reserved_address()
        self.router_address = reserved_address()
        self.template_values: dict[str, Any] = {
            "stop": "2s", "at_once": 16, "memory": "64MB", "deadline": "3s", "pool": "", "listen": "",
            "topup_path": "/topup", "mapping": "",
        } | template_values  # fmt: skip
        self.app: App
        self.task: asyncio.Task[None]

    def write_operator_file(self, backends: list[BackendStub] | None = None, **template_values: Any) -> None:
        """Write the operator's file, with changed template values and other backends if given."""
        self.template_values |= template_values
        listed = self.backends if backends is None else backends
        gateway_address = (
            f"unix:{self.gateway_address}" if isinstance(self.gateway_address, Path) else self.gateway_address
        )
        servers = "\n".join(f'    server "{backend.address}"' for backend in listed)
        text = OPERATOR_FILE.format(
            gateway_address=gateway_address,
            router_address=self.router_address,
            servers=servers,
            **self.template_values,
        )
        self.path.write_text(text)

    async def start(self) -> None:
        """Start the backends and the server, and wait until it serves."""
        for backend in self.backends:
            await backend.start()
        self.write_operator_file()
        loaded = operator_config.load(self.path)
        self.app = App(Files(loaded.config, loaded.operator), Log("test", NULL), None, self.path)
        self.task = asyncio.get_running_loop().create_task(self.app.run())
        await until(lambda: self.app.phase is Phase.SERVING and self.app.core.started)

    async def ask(self, method: str, path: str, body: bytes = b"", **variables: str) -> Reply:
        """Send a request as a gateway, with further uwsgi variables, and return the reply."""
        return await ask(self.gateway_address, method, path, body, **variables)

    async def topup(self, key: str, body: bytes = b"five", **variables: str) -> Reply:
        """Send a request with an idempotency key as a gateway, and return the reply."""
        return await self.ask("POST", "/topup", body, HTTP_IDEMPOTENCY_KEY=key, **variables)

    async def connect_router(self) -> Router:
        """Connect as a router."""
        return Router(*await connect(self.router_address))

    def send_topup(self, router: Router, ref: int, key: str, org: str = "retail") -> None:
        """Send the request of `topup` as a router, without waiting for the answer."""
        router.request(ref, "topup", dedupe=key, org=org, body=base64.b64encode(b"five").decode())

    def run_count(self, body: bytes) -> int:
        """Return how often a request with this body was run."""
        return sum(run.body == body for run in self.runs)


@contextlib.asynccontextmanager
async def running_node(backend_count: int = 1, **template_values: Any) -> AsyncIterator[FrontendNode]:
    """Run a server within a context."""
    node = FrontendNode(backend_count, **template_values)
    await node.start()
    try:
        yield node
    finally:
        if not node.task.done():
            node.task.cancel()
        await asyncio.gather(node.task, return_exceptions=True)
        for backend in node.backends:
            backend.stop()
        node.folder.cleanup()


def result_body(message: dict[str, Any]) -> bytes:
    """Return the decoded body of the result in an answer to a router."""
    return base64.b64decode(message["result"]["body"])
