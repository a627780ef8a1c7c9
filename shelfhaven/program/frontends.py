"""The components for frontends: listeners for routers and gateways, listeners for proxies, and mappings.

Only the frontend for routers is imported at once. The others, with the libraries that they use, are imported
only if the operator configuration asks for them.
"""

from __future__ import annotations

import asyncio
import errno
from typing import TYPE_CHECKING

from shelfhaven.config import Address, Config
from shelfhaven.frontends.connection import Connection
from shelfhaven.frontends.jsonrpc import ClassAndTenantIndex, RouterConnection
from shelfhaven.frontends.listener import ConnectionFactory, Listener
from shelfhaven.program.component import Component, Files, StatusFields
from shelfhaven.server.core import Core
from shelfhaven.server.descriptors import Descriptors
from shelfhaven.server.log import Log
from shelfhaven.server.receive_buffers import ReceiveBuffers, buffer_limit

if TYPE_CHECKING:  # at run time imported only if there is an operator configuration
    from pathlib import Path

    from shelfhaven.backends.proxy import ProxyRunner
    from shelfhaven.frontends.consulting import ProxyListener
    from shelfhaven.frontends.stream import DetachableStream
    from shelfhaven.operator_config import Listen, Operator
    from shelfhaven.routing.request_mapping import MappingSettings, RequestMapping

MAX_LISTEN_ATTEMPTS = 200  # 20 seconds in total, which the previous process may take to free the address
LISTEN_RETRY_INTERVAL_S = 0.1
# of the stop time, during which proxies may still connect; what they have sent gets its verdict in the rest
DRAIN_LISTENING_FRACTION = 0.5


class Listeners(Component):
    """Listeners for routers and gateways, whose connections this process handles without a library."""

    def __init__(self, config: Config, core: Core, descriptors: Descriptors, log: Log) -> None:
        self.config = config
        self.core = core
        self.descriptors = descriptors
        memory_limit = buffer_limit(config.limits.memory_mb)
        self.receive_buffers: ReceiveBuffers[Connection] = ReceiveBuffers(memory_limit)
        self.log = log
        self.listeners: list[Listener] = []
        if config.listen:
            self.add_router_listener(config.listen, 0)

    def add_router_listener(self, address: Address | Path, max_connections: int) -> None:
        """Add a listener for routers; `max_connections` 0 sets no limit but that of the descriptors."""
        index = ClassAndTenantIndex(self.config)

        def make_connection(stream: DetachableStream, _peer: str) -> RouterConnection:
            """Create the connection of a router."""
            return RouterConnection(stream, index, self.core.put, self.log)

        self._add(address, make_connection, max_connections)

    def add_gateway_listener(self, listen: Listen, mapping: RequestMapping) -> None:
        """Add a listener for gateways."""
        from shelfhaven.frontends.uwsgi import GatewayConnection

        def make_connection(stream: DetachableStream, peer: str) -> GatewayConnection:
            """Create the connection of a gateway."""
            return GatewayConnection(stream, peer, listen, mapping, self.core.put, self.log)

        self._add(listen.address, make_connection, listen.max_connections)

    def _add(self, address: Address | Path, make_connection: ConnectionFactory, max_connections: int) -> None:
        listener = Listener(
            address, self.descriptors, make_connection, self.log, max_connections, self.receive_buffers
        )
        self.listeners.append(listener)

    async def start(self) -> None:
        """Start all listeners."""
        for listener in self.listeners:
            await self._listen(listener)

    async def _listen(self, listener: Listener) -> None:
        """Start a listener; retry while the address is still in use by the previous process."""
        for attempts_left in range(MAX_LISTEN_ATTEMPTS - 1, -1, -1):
            try:
                listener.start()
            except OSError as error:
                if not attempts_left or error.errno != errno.EADDRINUSE:
                    raise
            else:
                return
            await asyncio.sleep(LISTEN_RETRY_INTERVAL_S)

    def begin_drain(self) -> None:
        """Begin the drain of all listeners."""
        for listener in self.listeners:
            listener.begin_drain()

    def stop_listening(self, _left: float) -> None:
        """Accept no new connections; those that are open stay open."""
        for listener in self.listeners:
            listener.stop_listening()

    def open_requests(self) -> int:
        """Return the number of unanswered requests."""
        return sum(listener.open_requests() for listener in self.listeners)

    def has_connections(self) -> bool:
        """Return whether a connection is open."""
        return any(listener.connections for listener in self.listeners)

    async def disconnect(self, left: float) -> None:
        """Close all connections within `left` seconds."""
        await asyncio.gather(*(listener.close_connections(left) for listener in self.listeners))

    def status(self) -> StatusFields:
        """Return the number of open connections, for the log."""
        return {"connections": sum(len(listener.connections) for listener in self.listeners)}


class Mappings(Component):
    """The mappings of the requests of gateways and proxies; a reload changes their rules."""

    def __init__(self, operator: Operator) -> None:
        from shelfhaven.routing.request_mapping import RequestMapping

        self.by_name = {name: RequestMapping(rules) for name, rules in operator.mappings.items()}

    def reload(self, old: Files, new: Files) -> list[str]:
        """Update each mapping; return those whose changes take effect only at a restart.

        The classes stay those of the start of the process: the new rules are told their positions there.
        """
        assert new.operator
        pending_restart: list[str] = []
        for name, mapping in self.by_name.items():
            rules = new.operator.mappings.get(name)
            if rules:
                rules = rules.with_classes(new.config.classes, old.config.classes)
            if rules and _can_update(mapping.settings, rules):
                mapping.update(rules)
            elif rules != mapping.settings:
                pending_restart.append(f"mapping {name}")
        return pending_restart


def _can_update(current: MappingSettings, new: MappingSettings) -> bool:
    """Return whether the rules keep what other components depend on, and what identifies a request.

    A repeat that comes after the reload could not be told from its original by other variables.
    """
    return (
        new.tenants == current.tenants
        and new.idempotent_classes == current.idempotent_classes
        and new.identity_variables == current.identity_variables
    )


class Proxies(Component):
    """Listeners for proxies, and the runner that represents the requests that the proxies run."""

    def __init__(
        self, core: Core, descriptors: Descriptors, receive_buffers: ReceiveBuffers[Connection], log: Log
    ) -> None:
        from shelfhaven.backends.proxy import ProxyRunner
        from shelfhaven.routing.stream_admission import LoadShedder

        self.core = core
        self.descriptors = descriptors
        self.receive_buffers = receive_buffers
        self.log = log
        self.runner: ProxyRunner = ProxyRunner(core.config.settings.cores, core.put, log)
        self.load_shedder = LoadShedder(core.config.limits.cores)
        self.proxy_listeners: list[ProxyListener] = []

    def add_listener(self, listen: Listen, mapping: RequestMapping) -> None:
        """Add a listener; gRPC is imported only for the external processing protocol."""
        from shelfhaven.frontends.consulting import ProxyListenerContext
        from shelfhaven.operator_config import ListenProtocol

        context = ProxyListenerContext(
            runner=self.runner,
            notify_core=self.core.put,
            log=self.log,
            is_healthy=self._is_healthy,
            load_shedder=self.load_shedder,
            descriptors=self.descriptors,
            receive_buffers=self.receive_buffers,
            memory_mb=self.core.config.limits.memory_mb,
        )
        if listen.protocol is ListenProtocol.EXTERNAL_PROCESSING:
            from shelfhaven.frontends.extproc import ExternalProcessingListener

            self.proxy_listeners.append(ExternalProcessingListener(listen, mapping, context))
        else:
            from shelfhaven.frontends.subrequest import SubrequestListener

            self.proxy_listeners.append(SubrequestListener(listen, mapping, context))

    def _is_healthy(self) -> bool:
        """Return whether health checks of proxies succeed."""
        return self.core.healthy and self.core.ready() and not self.core.draining

    async def start(self) -> None:
        """Start all listeners."""
        for proxy_listener in self.proxy_listeners:
            await proxy_listener.start()

    def begin_drain(self) -> None:
        """Begin the drain of all listeners, which stop listening before the closing phase."""
        stop = self.core.config.stop
        listening_time = DRAIN_LISTENING_FRACTION * stop
        for proxy_listener in self.proxy_listeners:
            proxy_listener.begin_drain()
        asyncio.get_running_loop().call_later(listening_time, self.stop_listening, stop - listening_time)

    def stop_listening(self, left: float) -> None:
        """Accept no new consultations; those that are open may finish within `left` seconds."""
        for proxy_listener in self.proxy_listeners:
            proxy_listener.stop_listening(left)

    def open_requests(self) -> int:
        """Return the number of open consultations."""
        return sum(proxy_listener.open_requests() for proxy_listener in self.proxy_listeners)

    def has_connections(self) -> bool:
        """Return whether a proxy is connected that may still get a verdict."""
        return any(proxy_listener.has_connections() for proxy_listener in self.proxy_listeners)

    async def disconnect(self, left: float) -> None:
        """Close all connections of proxies within `left` seconds."""
        await asyncio.gather(*(proxy_listener.end(left) for proxy_listener in self.proxy_listeners))

    def status(self) -> StatusFields:
        """Return the load of each listener, for the log."""
        return {"proxies": [proxy_listener.load_now() for proxy_listener in self.proxy_listeners]}
