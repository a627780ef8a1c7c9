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
from typing import TYPE_CHECKING, Any

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

if TYPE_CHECKING:  # imported only where an operator's file is given
    from shelfhaven.backends.proxy import ProxyRunner
    from shelfhaven.backends.uwsgi import Pools
    from shelfhaven.fronts.extproc import Processor
    from shelfhaven.fronts.subrequest import Subrequests
    from shelfhaven.operatorfile import Listen, Operator
    from shelfhaven.routing.mapping import Mapping

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


def load(path: Path | None, operator_path: Path | None) -> tuple[Config, Operator | None]:
    """Read and check all files of a node: all are good, or ConfigError is raised."""
    platform = config.load(path) if path else None
    if operator_path:
        from shelfhaven import operatorfile

        return operatorfile.load(operator_path, platform)
    if platform is None:
        raise config.ConfigError("neither a platform's configuration nor an operator's file is given")
    return platform, None


class App:
    """One real app server.

    `path` is the platform's configuration file, None away from the platform; `operator` what the operator's
    file at `operator_path` tells, None without one. All are read again at SIGHUP.
    """

    def __init__(
        self,
        first: Config,
        log: Log,
        path: Path | None = None,
        operator: Operator | None = None,
        operator_path: Path | None = None,
    ) -> None:
        self.config, self.log, self.path = first, log, path
        self.operator, self.operator_path = operator, operator_path
        self.phase = Phase.STARTING
        self.descriptors = Descriptors(first.limits.sockets)
        self.core = Core(first, log)
        self.agent = Agent(first.agent, self.core.put, log)
        self.ledger = Ledger(first.ledger, self.descriptors, self.core.put, log)
        self.members = Members(first.members, first.name, log)
        self.pools: Pools | None = None
        self.proxies: ProxyRunner | None = None
        self.processors: list[Processor | Subrequests] = []
        self.mappings: dict[str, Mapping] = {}
        self.listeners: list[Listener] = []
        if first.listen:
            self.listeners.append(self._routers(first.listen, 0))
        if operator:
            self._add(operator)
        self.core.connect(self._runners(), self.ledger, self.members, Fronts(self.listeners))
        self.leave = asyncio.Event()
        self.stop_at = self.closing = 0.0
        self.look: asyncio.TimerHandle | None = None

    @property
    def listener(self) -> Listener:
        """The first listener: the routers' on the platform."""
        return self.listeners[0]

    def _routers(self, address: config.Address | Path, most: int) -> Listener:
        names = Names(self.config)
        tell, log = self.core.put, self.log
        make = lambda stream, _: RouterConnection(stream, names, tell, log)  # noqa: E731
        return Listener(address, self.descriptors, make, log, most)

    def _add(self, operator: Operator) -> None:
        """What the operator's file brings beside the platform's peers."""
        from shelfhaven.backends.uwsgi import Pools
        from shelfhaven.routing.mapping import Mapping

        first, log = self.config, self.log
        self.mappings = {name: Mapping(rules) for name, rules in operator.mappings.items()}
        for listen in operator.listens:
            if listen.protocol == "jsonrpc":
                self.listeners.append(self._routers(listen.address, listen.most))
            elif listen.protocol in ("extproc", "subrequest"):
                self._consulted(listen)
            else:
                self.listeners.append(self._gateways(listen))
        if operator.pools or self.proxies:
            gauges = first.settings.gauges
            beside = [self.proxies.load] if self.proxies else []
            tell = self.core.put
            self.pools = Pools(operator.pools, gauges, self.descriptors, tell, log, first.seed, beside)

    def _consulted(self, listen: Listen) -> None:
        """A listener for proxies; gRPC is imported only for one that speaks it."""
        from shelfhaven.backends.proxy import ProxyRunner

        kind: type[Processor] | type[Subrequests]
        if listen.protocol == "extproc":
            from shelfhaven.fronts.extproc import Processor as kind
        else:
            from shelfhaven.fronts.subrequest import Subrequests as kind

        tell, log = self.core.put, self.log
        if self.proxies is None:
            self.proxies = ProxyRunner(self.config.settings.cores, tell, log)
        good = lambda: self.core.good and not self.core.draining  # noqa: E731
        mapping = self.mappings[listen.mapping]
        cores = self.config.limits.cores
        self.processors.append(kind(listen, mapping, self.proxies, tell, log, good, cores))

    def _gateways(self, listen: Listen) -> Listener:
        from shelfhaven.fronts.uwsgi import GatewayConnection

        mapping, tell, log = self.mappings[listen.mapping], self.core.put, self.log
        make = lambda stream, peer: GatewayConnection(stream, peer, listen, mapping, tell, log)  # noqa: E731
        return Listener(listen.address, self.descriptors, make, log, listen.most)

    def _runners(self) -> list[m.Runner]:
        """By class: the pool that the operator's file gives it, else the agent."""
        pools = self.pools
        rest: m.Runner = self.agent if self.config.agent or not pools else pools
        return [pools if pools and cls in pools.by_class else rest for cls in self.config.classes]

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
        if self.pools and not self.config.agent:
            self.pools.start()
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
        if self.pools:
            self.pools.end()
        link.cancel()
        await asyncio.gather(link, return_exceptions=True)
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})  # the loop's end gives its handler back
        self._enter(Phase.ENDED)

    def _look(self, due: float) -> None:
        """Log what this server believes of its load, and how late the loop is."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        connections = sum(len(listener.connections) for listener in self.listeners)
        here: dict[str, Any] = {"late_ms": round((now - due) * 1000, 1), "connections": connections}
        if self.pools:
            here["pools"] = self.pools.load_now()
        if self.processors:
            here["proxies"] = [processor.load_now() for processor in self.processors]
        self.log.event("load", **here, calls=len(self.ledger.open), **self.core.load_now())
        self.look = loop.call_at(now + LOOK, self._look, now + LOOK)

    def _unhandled(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """What no actor caught is logged; the loop goes on."""
        error = context.get("exception")
        trace = "".join(traceback.format_exception(error)) if error else ""
        self.log.event("unhandled", message=context.get("message"), error=trace)

    async def _listen(self) -> None:
        """Listen; a process that had an address before may need a moment to be gone."""
        for listener in self.listeners:
            await self._listen_on(listener)
        for processor in self.processors:
            await processor.start()

    async def _listen_on(self, listener: Listener) -> None:
        for tries_left in range(LISTEN_TRIES - 1, -1, -1):
            try:
                return listener.start()
            except OSError as error:
                if not tries_left or error.errno != errno.EADDRINUSE:
                    raise
            await asyncio.sleep(LISTEN_PAUSE)

    def reload(self) -> None:
        """Take the peers' new addresses from the file; a faulty one leaves everything as it is.

        Names, limits and settings belong to the process: they change with its next start.
        """
        if self.path is None and self.operator_path is None:
            return
        try:
            new, operator = load(self.path, self.operator_path)
        except config.ConfigError as error:
            self.log.event("reload_refused", error=str(error))
            return
        moved = [key for key in PEERS if getattr(new, key) != getattr(self.config, key)]
        fixed = [f.name for f in fields(new) if f.name not in (*PEERS, "seed")]
        kept = [key for key in fixed if getattr(new, key) != getattr(self.config, key)]
        if operator and self.operator:
            kept += self._update(operator)
        self.config = replace(self.config, **{key: getattr(new, key) for key in PEERS})
        self.log.event("reloaded", moved=moved, kept_until_restart=kept)
        self.agent.move(new.agent)
        self.ledger.move(new.ledger)
        self.members.move(new.members)

    def _update(self, operator: Operator) -> list[str]:
        """Take mappings and pools of a new operator's file; what needs a restart is named."""
        assert self.operator
        old, kept = self.operator, []
        if operator.listens != old.listens:
            kept.append("listen")
        for name, mapping in self.mappings.items():
            rules = operator.mappings.get(name)
            if rules and rules.tenants == mapping.settings.tenants and rules.keyed == mapping.settings.keyed:
                mapping.update(rules)
            elif rules != mapping.settings:
                kept.append(f"mapping {name}")
        classes = [{cls for pool in o.pools.values() for cls in pool.runs} for o in (old, operator)]
        if self.pools and classes[0] == classes[1]:
            self.pools.update(operator.pools)
        elif old.pools != operator.pools:  # a class would change its runner
            kept.append("pool")
            operator = replace(operator, pools=old.pools)
        self.operator = operator
        return kept

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
        for listener in self.listeners:
            listener.leave()
        for processor in self.processors:
            processor.leave()
        await asyncio.sleep(max(0.0, self.stop_at - self.closing - time.monotonic()))

    async def _close(self) -> None:
        """Close the listener, let what crosses that be answered, and end the connections that remain."""
        self._enter(Phase.CLOSING)
        for listener in self.listeners:
            listener.close()
        for processor in self.processors:
            processor.close(max(0.0, self.stop_at - 2 * WATCH - time.monotonic()))
        quiet_since = time.monotonic()
        while self._connected() and (now := time.monotonic()) < self.stop_at - WATCH:
            open_ = sum(listener.open_requests() for listener in self.listeners)
            if open_ + sum(processor.open_requests() for processor in self.processors):
                quiet_since = now
            elif now - quiet_since > CROSSING:
                break
            await asyncio.sleep(WATCH)
        for listener in self.listeners:
            listener.end()
        for processor in self.processors:
            await processor.end()

    def _connected(self) -> bool:
        streams = any(processor.open_requests() for processor in self.processors)
        return streams or any(listener.connections for listener in self.listeners)
