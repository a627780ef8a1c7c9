"""The component for membership of a fleet, and its connection to the pools of the node."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from dataclasses import replace

from shelfhaven.config import parse_address
from shelfhaven.membership.actor import READINESS_INTERVAL_S, Membership
from shelfhaven.membership.list_version import Endpoint
from shelfhaven.membership.node_environment import BackendKnowledge, NodeEnvironment
from shelfhaven.operator_config import Operator, PoolConfig
from shelfhaven.operator_config.reader import SocketAddress
from shelfhaven.program.component import Component, Files, StatusFields
from shelfhaven.program.peers import Peers
from shelfhaven.program.pools import PoolsComponent
from shelfhaven.routing import warm_start
from shelfhaven.routing.pool import Pool
from shelfhaven.server.core import Core
from shelfhaven.server.log import Log

# Prefix of the endpoint list keys of backends, which are "pools/POOL/SERVER". The value is "ADDRESS" or
# "ADDRESS ZONE".
POOL_KEY_PREFIX = "pools/"
HALF_HEALTH_LAG_S = 0.1  # event loop lag that halves the node's health, which weights its estimates


class LocalNode(NodeEnvironment):
    """Connects the membership to the core, the peers and the pools of this node."""

    def __init__(self, core: Core, peers: Peers, pools: PoolsComponent | None, log: Log) -> None:
        self.core = core
        self.peers = peers
        self.pools = pools
        self.log = log
        if pools:
            pools.with_listed_servers = self.with_listed_servers
        self.items: dict[str, Endpoint] = {}
        self.watchers: list[Callable[[dict[str, Endpoint]], None]] = []  # called with each changed list
        self.loop_lag = 0.0  # seconds by which the last update of the fleet was late
        self.update_due_at = time.monotonic() + READINESS_INTERVAL_S

    def _pools_by_name(self) -> dict[str, Pool]:
        return self.pools.by_name() if self.pools else {}

    def is_runner_connected(self) -> bool:
        """Return whether the agent is connected; True if there is none."""
        return self.core.config.agent is None or self.peers.agent.up

    def health(self) -> float:
        """Return the node's health: 0 if unhealthy or draining, else 1 reduced by the event loop's lag."""
        is_serving = self.core.healthy and not self.core.draining
        return (1.0 if is_serving else 0.0) / (1.0 + self.loop_lag / HALF_HEALTH_LAG_S)

    def overload_factor(self) -> float:
        """Return the overload factor of the most overloaded pool; 1 without pools."""
        return max(
            (pool.slow_start.overload_factor for pool in self._pools_by_name().values() if pool.slow_start),
            default=1.0,
        )

    def backend_knowledge(self) -> BackendKnowledge:
        """Return the pools' estimates of their backends, by "POOL/SERVER"."""
        now = time.monotonic()
        return {
            f"{name}/{server}": estimate
            for name, pool in self._pools_by_name().items()
            for server, estimate in warm_start.to_json_values(warm_start.estimates_of(now, pool)).items()
        }

    def apply_backend_knowledge(
        self, knowledge: Mapping[str, warm_start.BackendEstimate], health: float
    ) -> int:
        """Use a peer's estimates of backends as priors; return the number of those applied."""
        now = time.monotonic()
        applied_count = 0
        for name, pool in self._pools_by_name().items():
            prefix = f"{name}/"
            pool_estimates = {
                key.removeprefix(prefix): estimate
                for key, estimate in knowledge.items()
                if key.startswith(prefix)
            }
            applied_count += warm_start.apply_estimates(now, pool, pool_estimates, health)
        if self.pools:
            for actor in self.pools.runner.pools.values():
                actor.flush()
        return applied_count

    def fleet_changed(self, cold_fraction: float, size: int, overload_factor: float) -> None:
        """Measure the lag of the event loop, and update the slow start of each pool."""
        now = time.monotonic()
        self.loop_lag = max(0.0, now - self.update_due_at)
        self.update_due_at = now + READINESS_INTERVAL_S
        for pool in self._pools_by_name().values():
            if pool.slow_start:
                pool.slow_start.update(now, cold_fraction, size, overload_factor)

    def has_backend_answered(self) -> bool:
        """Return whether a backend has answered since the start."""
        return any(
            backend.latency_samples
            for pool in self._pools_by_name().values()
            for backend in pool.backends.values()
        )

    def list_changed(self, items: Mapping[str, Endpoint]) -> None:
        """Pass the endpoint list to its watchers, and its backends to the pools that use them."""
        self.items = dict(items)
        for watcher in self.watchers:
            watcher(self.items)
        if self.pools and any(config.from_list for config in self.pools.configs.values()):
            self.pools.runner.update(self.with_listed_servers(self.pools.configs))

    def with_listed_servers(self, configs: Mapping[str, PoolConfig]) -> dict[str, PoolConfig]:
        """Return the configurations with the listed servers, for pools that use the list and have any."""
        return {name: self._with_listed_servers(config) for name, config in configs.items()}

    def _with_listed_servers(self, config: PoolConfig) -> PoolConfig:
        if not config.from_list:
            return config
        prefix = f"{POOL_KEY_PREFIX}{config.name}/"
        servers: dict[str, SocketAddress] = {}
        zones: dict[str, str] = {}
        for key, item in self.items.items():
            if not key.startswith(prefix):
                continue
            address_text, _, zone = item.value.partition(" ")
            try:
                address = parse_address(address_text)
            except ValueError as error:
                self.log.event("list_entry", key=key, error=str(error))
                continue
            servers[str(address)] = address
            if zone:
                zones[str(address)] = zone
        return replace(config, servers=servers, zones=zones) if servers else config


class MembershipComponent(Component):
    """Runs the membership, which also decides whether the node is ready."""

    def __init__(
        self, operator: Operator, core: Core, peers: Peers, pools: PoolsComponent | None, log: Log
    ) -> None:
        assert operator.membership
        self.node = LocalNode(core, peers, pools, log)
        self.actor = Membership(operator.membership, core.config.name, core.config.seed, self.node, log)
        core.ready = self._ready

    def _ready(self) -> bool:
        return self.actor.readiness.ready

    async def start(self) -> None:
        """Start the membership."""
        self.actor.start()

    def reload(self, _old: Files, new: Files) -> list[str]:
        """Apply the changed settings of the membership."""
        if new.operator is None or new.operator.membership is None:
            return ["membership"]
        return self.actor.reconfigure(new.operator.membership)

    def begin_drain(self) -> None:
        """Remove the node from the endpoint list."""
        self.actor.deregister()

    async def stop(self) -> None:
        """Stop the membership."""
        await self.actor.end()

    def status(self) -> StatusFields:
        """Return the state of the membership, for the log."""
        return {"membership": self.actor.load_now()}
