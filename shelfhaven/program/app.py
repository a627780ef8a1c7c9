"""The server process: its phases from start to exit, its signal handlers and the reload of its configuration.

`App` owns the components and calls their life-cycle methods in order. It takes no part in handling requests.
A shutdown answers all requests that were received, as far as the stop time of the configuration allows.
"""

from __future__ import annotations

import asyncio
import gc
import math
import signal
import time
import traceback
from collections.abc import Mapping
from dataclasses import fields, replace
from enum import Enum
from pathlib import Path
from types import FrameType
from typing import TYPE_CHECKING

from shelfhaven import config
from shelfhaven.frontends.listener import Listener, ListenerGroup
from shelfhaven.program.component import Files, StatusFields, load
from shelfhaven.program.composition import Dependencies, compose
from shelfhaven.program.frontends import Listeners, Proxies
from shelfhaven.program.peers import RELOADABLE_KEYS, Peers
from shelfhaven.server import messages
from shelfhaven.server.core import Core
from shelfhaven.server.descriptors import Descriptors
from shelfhaven.server.log import Log

if TYPE_CHECKING:  # at run time imported only if there is an operator configuration
    from shelfhaven.backends.uwsgi_runner import UwsgiRunner
    from shelfhaven.frontends.consulting import ProxyListener
    from shelfhaven.program.membership import MembershipComponent

CLOSING_FRACTION = 0.16  # length of the closing phase, as a fraction of the configured stop time
MAX_CLOSING_S = 0.8
SENDING_FRACTION = 0.4  # last part of the closing phase, reserved for sending answers
QUIET_PERIOD_S = 0.1  # time without an open request after which none sent before the close is still in flight
STATUS_INTERVAL_S = 1.0  # between `load` log lines
CLOSE_POLL_S = 0.02  # between checks for open requests and connections in the closing phase


class Phase(Enum):
    """Phase of the server process."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    CLOSING = "closing"
    ENDED = "ended"


NEXT_PHASES = {  # the phases that may follow each phase
    Phase.STARTING: {Phase.SERVING},
    Phase.SERVING: {Phase.DRAINING},
    Phase.DRAINING: {Phase.CLOSING},
    Phase.CLOSING: {Phase.ENDED},
    Phase.ENDED: set(),
}


class App:
    """One server process.

    `path` is the platform configuration file and `operator_path` the operator configuration file; None for
    one that is not used. SIGHUP reloads both.
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
        dependencies = Dependencies(self.core, self.descriptors, self.peers, self.frontends, log)
        self.composition = compose(dependencies, files.operator)
        self.components = self.composition.components
        listeners = ListenerGroup(self.listeners)
        self.core.actors.connect(self._runners(), self.peers.ledger, self.peers.members, listeners)
        self.drain_requested = asyncio.Event()
        self.noticed_at = math.inf  # when a signal to drain was received, on the monotonic clock
        self.stop_at = 0.0  # deadline of the shutdown on the monotonic clock, 0 until a drain is requested
        self.closing_duration = 0.0  # seconds: the listeners close this long before `stop_at`
        self.status_timer: asyncio.TimerHandle | None = None

    @property
    def config(self) -> config.Config:
        """The node configuration in force."""
        return self.files.config

    @property
    def proxies(self) -> Proxies | None:
        """The component that holds the proxy listeners, None if there are none."""
        return self.composition.proxies

    @property
    def proxy_listeners(self) -> list[ProxyListener]:
        """All proxy listeners."""
        return self.proxies.proxy_listeners if self.proxies else []

    @property
    def pools(self) -> UwsgiRunner | None:
        """The runner of the uwsgi pools, None if there are none."""
        return self.composition.pools.runner if self.composition.pools else None

    @property
    def membership(self) -> MembershipComponent | None:
        """The membership component, None if the node belongs to no fleet."""
        return self.composition.membership

    @property
    def listeners(self) -> list[Listener]:
        """All listeners for routers and gateways."""
        return self.frontends.listeners

    @property
    def listener(self) -> Listener:
        """The first listener; on the platform, the one for routers."""
        return self.listeners[0]

    def _runners(self) -> list[messages.Runner]:
        """Return the runner of each class: the pools for a class that is assigned to a pool, else the agent.

        Without an agent the pools run all classes.
        """
        pools = self.pools
        default_runner: messages.Runner = self.peers.agent if self.config.agent or not pools else pools
        return [
            pools if pools and cls in pools.pool_by_class else default_runner for cls in self.config.classes
        ]

    def _enter(self, phase: Phase) -> None:
        if phase not in NEXT_PHASES[self.phase]:
            raise RuntimeError(f"{self.phase.value} is not followed by {phase.value}")
        self.phase = phase
        self.log.event("phase", phase=phase.value)

    async def run(self) -> None:
        """Serve until a drain is requested, then shut down gracefully."""
        loop = asyncio.get_running_loop()
        self._handle_signals(loop)
        for key in self.config.unsupported:
            self.log.event("unsupported", key=f"settings.{key}")
        loop.set_exception_handler(self._log_unhandled)
        for component in self.components:
            await component.start()
        gc.freeze()  # startup objects live until the exit: exclude them from garbage collections
        self._enter(Phase.SERVING)
        self._log_status(loop.time())
        await self.drain_requested.wait()
        await self._drain()
        await self._close()
        if self.status_timer:
            self.status_timer.cancel()
        for component in self.components:
            await component.stop()
        # closing the event loop restores the default handler of SIGHUP, which would kill the process
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
        self._enter(Phase.ENDED)

    def _handle_signals(self, loop: asyncio.AbstractEventLoop) -> None:
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.request_drain)
            # runs at once, while the event loop may be held up before it calls `request_drain`
            signal.signal(signal_number, self._record_notice)
            signal.siginterrupt(signal_number, False)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        # the parent process may have blocked these signals, and a drain would never begin
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP, signal.SIGTERM, signal.SIGINT})

    def _log_status(self, due_at: float) -> None:
        """Log the status of all components and the delay of the event loop; repeated at an interval."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        status: StatusFields = {}
        for component in self.components:
            status |= component.status()
        late_ms = round((now - due_at) * 1000, 1)
        self.log.event("load", late_ms=late_ms, **status, **self.core.load_now())
        self.status_timer = loop.call_at(now + STATUS_INTERVAL_S, self._log_status, now + STATUS_INTERVAL_S)

    def _log_unhandled(self, _: asyncio.AbstractEventLoop, context: Mapping[str, object]) -> None:
        """Log an exception that no actor caught; the event loop continues."""
        error = context.get("exception")
        trace = "".join(traceback.format_exception(error)) if isinstance(error, BaseException) else ""
        self.log.event("unhandled", message=context.get("message"), error=trace)

    def reload(self) -> None:
        """Read the configuration files again and apply what can change at run time.

        Of the platform configuration these are the addresses of the peers; its other values take effect at
        the next start. An invalid file is logged and changes nothing.
        """
        if self.path is None and self.operator_path is None:
            return
        try:
            new = load(self.path, self.operator_path)
        except config.ConfigError as error:
            self.log.event("reload_refused", error=str(error))
            return
        old = self.files
        changed_addresses = [
            key for key in RELOADABLE_KEYS if getattr(new.config, key) != getattr(old.config, key)
        ]
        pending_restart = _changes_pending_restart(old, new)
        for component in self.components:
            pending_restart += component.reload(old, new)
        config_in_force = replace(old.config, **{key: getattr(new.config, key) for key in RELOADABLE_KEYS})
        self.files = Files(config_in_force, new.operator)
        self.log.event("reloaded", moved=changed_addresses, kept_until_restart=pending_restart)

    def _record_notice(self, _signal_number: int, _frame: FrameType | None) -> None:
        """Record when the first notice was received."""
        self.noticed_at = min(self.noticed_at, time.monotonic())

    def request_drain(self) -> None:
        """Begin the graceful shutdown; has no effect if it has begun already."""
        if self.drain_requested.is_set():
            return
        stop_time = self.config.stop
        noticed_at = min(self.noticed_at, time.monotonic())
        self.stop_at = noticed_at + stop_time
        self.closing_duration = min(MAX_CLOSING_S, CLOSING_FRACTION * stop_time)
        answer_by = self.stop_at - SENDING_FRACTION * self.closing_duration
        self.core.put(messages.BeginDrain(noticed_at, answer_by))
        self.drain_requested.set()

    async def _drain(self) -> None:
        """Keep answering requests, also on new connections, until the closing phase begins."""
        self._enter(Phase.DRAINING)
        for component in self.components:
            component.begin_drain()
        await asyncio.sleep(max(0.0, self.stop_at - self.closing_duration - time.monotonic()))

    async def _close(self) -> None:
        """Close the listeners, answer the requests that were sent before, and close the connections."""
        self._enter(Phase.CLOSING)
        for component in self.components:
            component.stop_listening(max(0.0, self.stop_at - 2 * CLOSE_POLL_S - time.monotonic()))
        quiet_since = time.monotonic()
        while self._has_connections() and (now := time.monotonic()) < self.stop_at - CLOSE_POLL_S:
            if any(component.open_requests() for component in self.components):
                quiet_since = now
            elif now - quiet_since > QUIET_PERIOD_S:
                break
            await asyncio.sleep(CLOSE_POLL_S)
        for component in self.components:
            await component.disconnect(max(0.0, self.stop_at - CLOSE_POLL_S - time.monotonic()))

    def _has_connections(self) -> bool:
        return any(component.has_connections() for component in self.components)


def _changes_pending_restart(old: Files, new: Files) -> list[str]:
    """Return the keys, as named in the files and the log, whose changes take effect only at a restart."""
    config_keys = [field.name for field in fields(new.config)]
    fixed_keys = [key for key in config_keys if key not in (*RELOADABLE_KEYS, "seed")]
    changed = [key for key in fixed_keys if getattr(new.config, key) != getattr(old.config, key)]
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
