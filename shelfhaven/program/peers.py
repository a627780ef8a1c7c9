"""The component for the platform's services: the agent, the ledger and the membership service."""

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

# Keys of the platform configuration, all of them addresses, that take effect at a reload.
RELOADABLE_KEYS = ("agent", "ledger", "members")


class Peers(Component):
    """Connections to the agent, the ledger and the membership service."""

    def __init__(self, config: Config, core: Core, descriptors: Descriptors, log: Log) -> None:
        self.agent = Agent(config.agent, core.put, log)
        self.ledger = Ledger(config.ledger, descriptors, core.put, log)
        self.members = StatusReporter(config.members, config.name, log)
        self.agent_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start reporting the load and connecting to the agent."""
        self.members.start()
        self.agent_task = asyncio.get_running_loop().create_task(self.agent.run())

    def reload(self, _old: Files, new: Files) -> list[str]:
        """Connect to changed addresses."""
        self.agent.set_address(new.config.agent)
        self.ledger.set_address(new.config.ledger)
        self.members.set_address(new.config.members)
        return []

    async def stop(self) -> None:
        """Close all connections."""
        self.agent.end()
        self.ledger.end()
        self.members.end()
        if self.agent_task:
            self.agent_task.cancel()
            await asyncio.gather(self.agent_task, return_exceptions=True)

    def status(self) -> StatusFields:
        """Return the number of open calls to the ledger, for the log."""
        return {"calls": len(self.ledger.connections)}
