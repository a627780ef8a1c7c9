"""The platform's peers as a component: the agent's link, the calls to the ledger, the load reports."""

from __future__ import annotations

import asyncio

from shelfhaven.backends.agent import Agent
from shelfhaven.backends.ledger import Ledger
from shelfhaven.config import Config
from shelfhaven.program.component import Component, Files, StatusFields
from shelfhaven.server.core import Core
from shelfhaven.server.descriptors import Descriptors
from shelfhaven.server.log import Log
from shelfhaven.server.status_reporter import StatusReporter

PEERS = ("agent", "ledger", "members")  # whose addresses a new configuration file changes


class Peers(Component):
    """Agent, ledger and membership service."""

    def __init__(self, first: Config, core: Core, descriptors: Descriptors, log: Log) -> None:
        self.agent = Agent(first.agent, core.put, log)
        self.ledger = Ledger(first.ledger, descriptors, core.put, log)
        self.members = StatusReporter(first.members, first.name, log)
        self.link: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to report the load, and to connect to the agent."""
        self.members.start()
        self.link = asyncio.get_running_loop().create_task(self.agent.run())

    def reload(self, _old: Files, new: Files) -> list[str]:
        """Use the peers' changed addresses."""
        self.agent.set_address(new.config.agent)
        self.ledger.set_address(new.config.ledger)
        self.members.set_address(new.config.members)
        return []

    async def stop(self) -> None:
        """Close all connections."""
        self.agent.end()
        self.ledger.end()
        self.members.end()
        if self.link:
            self.link.cancel()
            await asyncio.gather(self.link, return_exceptions=True)

    def status(self) -> StatusFields:
        """The open calls to the ledger, for the log."""
        return {"calls": len(self.ledger.connections)}
