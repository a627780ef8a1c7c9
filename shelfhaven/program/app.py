"""The phases of the server process, from start to exit, as named states of one object.

Owns the components, the order in which they start and stop, and the signals.  It takes no part in serving,
and never ends while an answer can still be outstanding.
"""

from __future__ import annotations

import asyncio
import gc
import signal
import time
import traceback
from collections.abc import Mapping
from dataclasses import fields, replace
from enum import Enum
from pathlib import Path
from typing import TYPE_CHECKING

from shelfhaven import config
from shelfhaven.frontends.listener import Listener, ListenerGroup
from shelfhaven.program.component import Files, StatusFields, load
from shelfhaven.program.composition import Foundation, compose
from shelfhaven.program.frontends import Listeners, Proxies
from shelfhaven.program.peers import PEERS, Peers
from shelfhaven.server import messages
from shelfhaven.server.core import Core
from shelfhaven.server.descriptors import Descriptors
from shelfhaven.server.log import Log

if TYPE_CHECKING:  # imported only where an operator's file is given
    from shelfhaven.backends.uwsgi_runner import UwsgiRunner
    from shelfhaven.frontends.consulting import ProxyListener
    from shelfhaven.program.membership import MembershipComponent

CLOSING_FRACTION = 0.16  # of the time until the process is stopped: what is left when the listeners close
MAX_CLOSING_S = 0.8
ANSWERED_FRACTION = 0.4  # of that time is left when all is answered, so that answers are sent
QUIET_PERIOD_S = 0.1  # without an open request, after which none is in flight that was sent before the close
STATUS_INTERVAL_S = 1.0  # between `load` lines of the log
CLOSE_POLL_S = 0.02  # between checks of what is still open while closing


class Phase(Enum):
    """Phases of the process."""

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
    """One server process.

    `path` is the platform's configuration file, None away from the platform; `operator_path` the operator's
    file, None without one. Both are read again at SIGHUP.
    """

    def __init__(
        self, files: Files, log: Log, path: Path | None = None, operator_path: Path | None = None
    ) -> None:
        self.files = files
        self.log = log
        self.path = path
        self.operator_path = operator_path
        self.phase = Phase.STARTING
        self.core = Core(files.config, log)
        self.descriptors = Descriptors(files.config.limits.sockets)
        self.peers = Peers(files.config, self.core, self.descriptors, log)
        self.frontends = Listeners(files.config, self.core, self.descriptors, log)
        foundation = Foundation(self.core, self.descriptors, self.peers, self.frontends, log)
        self.composition = compose(foundation, files.operator)
        self.components = self.composition.ordered
        listeners = ListenerGroup(self.listeners)
        self.core.actors.connect(self._runners(), self.peers.ledger, self.peers.members, listeners)
        self.drain_requested = asyncio.Event()
        self.stop_at = 0.0  # on the monotonic clock, once a drain was requested
        self.closing_time = 0.0  # seconds before `stop_at` at which the listeners close
        self.status_timer: asyncio.TimerHandle | None = None

    @property
    def config(self) -> config.Config:
        """The configuration in force."""
        return self.files.config

    @property
    def proxies(self) -> Proxies | None:
        """The listeners for proxies as one component, None without any."""
        return self.composition.proxies

    @property
    def processors(self) -> list[ProxyListener]:
        """All listeners for proxies."""
        return self.proxies.processors if self.proxies else []

    @property
    def pools(self) -> UwsgiRunner | None:
        """The pools of uwsgi servers, None without any."""
        return self.composition.pools.runner if self.composition.pools else None

    @property
    def membership(self) -> MembershipComponent | None:
        """The membership of a fleet, None without one."""
        return self.composition.membership

    @property
    def listeners(self) -> list[Listener]:
        """All listening sockets but those for proxies."""
        return self.frontends.listeners

    @property
    def listener(self) -> Listener:
        """The first listener: the routers' on the platform."""
        return self.listeners[0]

    def _runners(self) -> list[messages.Runner]:
        """Return the runner of each class: the pool that the operator's file gives it, else the agent."""
        pools = self.pools
        rest: messages.Runner = self.peers.agent if self.config.agent or not pools else pools
        return [pools if pools and cls in pools.pool_by_class else rest for cls in self.config.classes]

    def _enter(self, phase: Phase) -> None:
        if phase not in NEXT[self.phase]:
            raise RuntimeError(f"{self.phase.value} is not followed by {phase.value}")
        self.phase = phase
        self.log.event("phase", phase=phase.value)

    async def run(self) -> None:
        """Serve until a drain is requested, then shut down gracefully."""
        loop = asyncio.get_running_loop()
        self._handle_signals(loop)
        for key in self.config.unsupported:
            self.log.event("unsupported", key=f"settings.{key}")
        loop.set_exception_handler(self._unhandled)
        for component in self.components:
            await component.start()
        gc.freeze()  # what the start made stays; collections need not walk it
        self._enter(Phase.SERVING)
        self._log_status(loop.time())
        await self.drain_requested.wait()
        await self._drain()
        await self._close()
        if self.status_timer:
            self.status_timer.cancel()
        for component in self.components:
            await component.stop()
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})  # the loop's end gives its handler back
        self._enter(Phase.ENDED)

    def _handle_signals(self, loop: asyncio.AbstractEventLoop) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_drain)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        # whoever started this process may have left them blocked: a drain would never begin
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP, signal.SIGTERM, signal.SIGINT})

    def _log_status(self, due: float) -> None:
        """Log the status of all components, and how late the event loop is."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        status: StatusFields = {}
        for component in self.components:
            status |= component.status()
        late_ms = round((now - due) * 1000, 1)
        self.log.event("load", late_ms=late_ms, **status, **self.core.load_now())
        self.status_timer = loop.call_at(now + STATUS_INTERVAL_S, self._log_status, now + STATUS_INTERVAL_S)

    def _unhandled(self, _: asyncio.AbstractEventLoop, context: Mapping[str, object]) -> None:
        """Log what no actor caught; the loop goes on."""
        error = context.get("exception")
        trace = "".join(traceback.format_exception(error)) if isinstance(error, BaseException) else ""
        self.log.event("unhandled", message=context.get("message"), error=trace)

    def reload(self) -> None:
        """Take the peers' new addresses from the file; a faulty one leaves everything as it is.

        Names, limits and settings belong to the process: they change with its next start.
        """
        if self.path is None and self.operator_path is None:
            return
        try:
            new = load(self.path, self.operator_path)
        except config.ConfigError as error:
            self.log.event("reload_refused", error=str(error))
            return
        old = self.files
        moved = [key for key in PEERS if getattr(new.config, key) != getattr(old.config, key)]
        unchanged = _fixed_keys(old, new)
        for component in self.components:
            unchanged += component.reload(old, new)
        in_force = replace(old.config, **{key: getattr(new.config, key) for key in PEERS})
        self.files = Files(in_force, new.operator)
        self.log.event("reloaded", moved=moved, kept_until_restart=unchanged)

    def request_drain(self) -> None:
        """Begin the graceful shutdown; a second request changes nothing."""
        if self.drain_requested.is_set():
            return
        stop = self.config.stop
        self.stop_at = time.monotonic() + stop
        self.closing_time = min(MAX_CLOSING_S, CLOSING_FRACTION * stop)
        self.core.put(messages.BeginDrain(stop - ANSWERED_FRACTION * self.closing_time))
        self.drain_requested.set()

    async def _drain(self) -> None:
        """Go on answering, on new connections too, until shortly before the process is stopped."""
        self._enter(Phase.DRAINING)
        for component in self.components:
            component.begin_drain()
        await asyncio.sleep(max(0.0, self.stop_at - self.closing_time - time.monotonic()))

    async def _close(self) -> None:
        """Close the listeners, answer requests that were sent before, and end the remaining connections."""
        self._enter(Phase.CLOSING)
        for component in self.components:
            component.stop_listening(max(0.0, self.stop_at - 2 * CLOSE_POLL_S - time.monotonic()))
        quiet_since = time.monotonic()
        while self._connected() and (now := time.monotonic()) < self.stop_at - CLOSE_POLL_S:
            if any(component.open_requests() for component in self.components):
                quiet_since = now
            elif now - quiet_since > QUIET_PERIOD_S:
                break
            await asyncio.sleep(CLOSE_POLL_S)
        for component in self.components:
            await component.disconnect(max(0.0, self.stop_at - CLOSE_POLL_S - time.monotonic()))

    def _connected(self) -> bool:
        return any(component.has_connections() for component in self.components)


def _fixed_keys(old: Files, new: Files) -> list[str]:
    """Return what differs and takes effect only at a restart, by the names that the log uses."""
    names = [field.name for field in fields(new.config)]
    fixed = [name for name in names if name not in (*PEERS, "seed")]
    changed = [key for key in fixed if getattr(new.config, key) != getattr(old.config, key)]
    if new.operator is None:
        return changed
    if old.operator and new.operator.listens != old.operator.listens:
        changed.append("listen")
    if new.operator.singleton_tasks and not (old.operator and old.operator.singleton_tasks):
        changed.append("duties")
    if new.operator.zones and not (old.operator and old.operator.zones):
        changed.append("zones")
    if new.operator.state and not (old.operator and old.operator.state):
        changed.append("keys")
    return changed
