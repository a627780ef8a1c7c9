"""The program's phases, from start to exit, as named states of one object.

Owns the actors, the order in which they start and end, and the signals. It must never take part in serving,
and never end while an answer can still be owed.
"""

from __future__ import annotations

import asyncio
import errno
import gc
import signal
import time
import traceback
from dataclasses import fields, replace
from enum import Enum
from pathlib import Path
from typing import Any

from shelfhaven import config
from shelfhaven.backends.agent import Agent
from shelfhaven.backends.ledger import Ledger
from shelfhaven.config import Config
from shelfhaven.fronts.jsonrpc import Names, RouterConnection
from shelfhaven.fronts.listener import Fronts, Listener
from shelfhaven.server import messages as m
from shelfhaven.server.core import Core
from shelfhaven.server.descriptors import Descriptors
from shelfhaven.server.log import Log
from shelfhaven.server.members import Members

LISTEN_TRIES, LISTEN_PAUSE = 30, 0.1  # seconds between tries
CLOSING_PART = 0.16  # of the time to leave: what is left when the listener is closed
CLOSING_MOST = 0.8  # seconds
ANSWERED_PART = 0.4  # of that time is left when the module has answered all, so that answers get out
CROSSING = 0.1  # seconds after `shutdown` in which a request may still cross it
PEERS = ("agent", "ledger", "members")  # whose addresses a new configuration file changes
LOOK = 1.0  # seconds between lines on the load
WATCH = 0.02  # seconds between looks at what is still open while closing


class Phase(Enum):
    """Where the program is between start and exit."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    CLOSING = "closing"
    ENDED = "ended"


NEXT = {
    Phase.STARTING: {Phase.SERVING},
    Phase.SERVING: {Phase.DRAINING},
    Phase.DRAINING: {Phase.CLOSING},
    Phase.CLOSING: {Phase.ENDED},
    Phase.ENDED: set(),
}


class App:
    """One real app server."""

    def __init__(self, first: Config, log: Log, path: Path | None = None) -> None:
        self.config, self.log, self.path = first, log, path
        self.phase = Phase.STARTING
        descriptors = Descriptors(first.limits.sockets)
        self.core = Core(first, log)
        self.agent = Agent(first.agent, self.core.put, log)
        self.ledger = Ledger(first.ledger, descriptors, self.core.put, log)
        self.members = Members(first.members, first.name, log)
        names = Names(first)
        self.listener = Listener(
            first.listen, descriptors, lambda s, _: RouterConnection(s, names, self.core.put, log), log
        )
        self.listeners = [self.listener]
        runners = [self.agent] * len(first.classes)
        self.core.connect(runners, self.ledger, self.members, Fronts(self.listeners))
        self.leave = asyncio.Event()
        self.stop_at = self.closing = 0.0
        self.look: asyncio.TimerHandle | None = None

    def _enter(self, phase: Phase) -> None:
        if phase not in NEXT[self.phase]:
            raise RuntimeError(f"{self.phase.value} is not followed by {phase.value}")
        self.phase = phase
        self.log.event("phase", phase=phase.value)

    async def run(self) -> None:
        """Serve until the notice to leave, then leave safely."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.notice)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        for key in self.config.unsupported:
            self.log.event("unsupported", key=f"settings.{key}")
        loop.set_exception_handler(self._unhandled)
        await self._listen()
        self.members.start()
        link = loop.create_task(self.agent.run())
        gc.freeze()  # what the start made stays; collections need not walk it
        self._enter(Phase.SERVING)
        self._look(loop.time())
        await self.leave.wait()
        await self._drain()
        await self._close()
        if self.look:
            self.look.cancel()
        self.agent.end()
        self.ledger.end()
        self.members.end()
        link.cancel()
        await asyncio.gather(link, return_exceptions=True)
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})  # the loop's end gives its handler back
        self._enter(Phase.ENDED)

    def _look(self, due: float) -> None:
        """Log what this server believes of its load, and how late the loop is."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        here = {"late_ms": round((now - due) * 1000, 1), "connections": len(self.listener.connections)}
        self.log.event("load", **here, calls=len(self.ledger.open), **self.core.load_now())
        self.look = loop.call_at(now + LOOK, self._look, now + LOOK)

    def _unhandled(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """What no actor caught is logged; the loop goes on."""
        error = context.get("exception")
        trace = "".join(traceback.format_exception(error)) if error else ""
        self.log.event("unhandled", message=context.get("message"), error=trace)

    async def _listen(self) -> None:
        """Listen; a process that had the address before may need a moment to be gone."""
        for tries_left in range(LISTEN_TRIES - 1, -1, -1):
            try:
                return self.listener.start()
            except OSError as error:
                if not tries_left or error.errno != errno.EADDRINUSE:
                    raise
            await asyncio.sleep(LISTEN_PAUSE)

    def reload(self) -> None:
        """Take the peers' new addresses from the file; a faulty one leaves everything as it is.

        Names, limits and settings belong to the process: they change with its next start.
        """
        if self.path is None:
            return
        try:
            new = config.load(self.path)
        except config.ConfigError as error:
            self.log.event("reload_refused", error=str(error))
            return
        moved = [key for key in PEERS if getattr(new, key) != getattr(self.config, key)]
        fixed = [f.name for f in fields(new) if f.name not in (*PEERS, "seed")]
        kept = [key for key in fixed if getattr(new, key) != getattr(self.config, key)]
        self.config = replace(self.config, **{key: getattr(new, key) for key in PEERS})
        self.log.event("reloaded", moved=moved, kept_until_restart=kept)
        self.agent.move(new.agent)
        self.ledger.move(new.ledger)
        self.members.move(new.members)

    def notice(self) -> None:
        """The notice to leave; a second one changes nothing."""
        if self.leave.is_set():
            return
        stop = self.config.stop
        self.stop_at = time.monotonic() + stop
        self.closing = min(CLOSING_MOST, CLOSING_PART * stop)
        self.core.put(m.Leave(stop - ANSWERED_PART * self.closing))
        self.leave.set()

    async def _drain(self) -> None:
        """Go on answering, new connections too, until the end is near."""
        self._enter(Phase.DRAINING)
        self.listener.leave()
        await asyncio.sleep(max(0.0, self.stop_at - self.closing - time.monotonic()))

    async def _close(self) -> None:
        """Close the listener, let what crosses that be answered, and end the connections that remain."""
        self._enter(Phase.CLOSING)
        self.listener.close()
        quiet_since = time.monotonic()
        while self.listener.connections and (now := time.monotonic()) < self.stop_at - WATCH:
            if self.listener.open_requests():
                quiet_since = now
            elif now - quiet_since > CROSSING:
                break
            await asyncio.sleep(WATCH)
        self.listener.end()
