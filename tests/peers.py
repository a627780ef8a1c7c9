"""Runs a server together with stubs of the services that it connects to."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import os
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

import orjson

from shelfhaven import config
from shelfhaven.lab.callers import STEP_TIMEOUT_S, Router, until
from shelfhaven.lab.platform import Agent, Ledger, Members
from shelfhaven.lab.ports import reserved_port
from shelfhaven.program.app import App
from shelfhaven.program.component import Files
from shelfhaven.server.log import Log
from tests.test_config import CONFIG

NULL = os.open(os.devnull, os.O_WRONLY)


class ServerUnderTest:
    """A server in this process, with stubs of its agent, ledger and membership service."""

    def __init__(self) -> None:
        self.agent, self.ledger, self.members = Agent(), Ledger(), Members()
        self.app: App
        self.app_task: asyncio.Task[None]
        self.folder = tempfile.TemporaryDirectory()
        self.path: Path
        self.data: dict[str, Any]

    async def start(self, agent_up: bool = True, **changes: Any) -> None:
        await self.agent.start()
        if not agent_up:
            self.agent.stop()
        await self.ledger.start()
        data = copy.deepcopy(CONFIG)
        domain_changes = changes.pop("domain", {})
        data["settings"]["domain"].update(domain_changes)
        data["settings"]["classes"][0].update({"deadline": 6.0, "on-time": 4.0})
        data.update(changes)
        for key, port in (
            ("listen", reserved_port()),
            ("agent", self.agent.port),
            ("members", self.members.port),
        ):
            data[key] = f"127.0.0.1:{port}"
        data["ledger"] = f"127.0.0.1:{self.ledger.port}"
        self.data = data
        self.path = Path(self.folder.name) / "config.json"
        self.rewrite_config()
        self.app = App(Files(config.load(self.path)), Log("test", NULL), self.path)
        self.app_task = asyncio.get_running_loop().create_task(self.app.run())
        await until(lambda: self.app.listener.socket)
        if agent_up:
            await until(lambda: self.app.peers.agent.up)

    def rewrite_config(self, **changes: Any) -> None:
        """Change keys of the configuration file."""
        self.data |= changes
        self.path.write_bytes(orjson.dumps(self.data))

    async def running_request(self) -> tuple[Router, str]:
        """Return a router whose request 1 runs until the test ends it, and the id of that attempt."""
        self.agent.on_launch = self.agent.keep_running
        router = await self.router()
        attempt_id = router.request(1)
        await until(lambda: self.agent.launched)
        return router, attempt_id

    async def router(self) -> Router:
        address = self.app.config.listen
        assert address
        return Router(*await asyncio.open_connection(address.host, address.port))


@contextlib.asynccontextmanager
async def running_server(**changes: Any) -> AsyncIterator[ServerUnderTest]:
    """Start a server, and cancel it at the end of the context if it still runs."""
    server = ServerUnderTest()
    await server.start(**changes)
    try:
        yield server
    finally:
        if not server.app_task.done():
            server.app_task.cancel()
        await asyncio.gather(server.app_task, return_exceptions=True)
        server.folder.cleanup()


def run_async(test: Callable[[], Awaitable[None]]) -> None:
    """Run an asynchronous test in an event loop of its own, with a timeout."""

    async def run_with_timeout() -> None:
        async with asyncio.timeout(3 * STEP_TIMEOUT_S):
            await test()

    asyncio.run(run_with_timeout())
