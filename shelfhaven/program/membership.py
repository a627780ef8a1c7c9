"""The membership as a component: what it tells the pools, and what they tell it."""

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

POOLS = "pools/"  # prefix of the keys of servers, pools/POOL/SERVER; their values are "ADDRESS ZONE"
HALF_HEALTH_LAG_S = 0.1  # event-loop lag that halves the weight of what a node knows


class Node(NodeEnvironment):
    """The node around the membership."""

    def __init__(self, core: Core, peers: Peers, pools: PoolsComponent | None, log: Log) -> None:
        self.core = core
        self.peers = peers
        self.pools = pools
        self.log = log
        if pools:
            pools.with_endpoint_list = self.with_list
        self.items: dict[str, Endpoint] = {}
        self.watchers: list[Callable[[dict[str, Endpoint]], None]] = []  # of the list
        self.loop_lag = 0.0  # seconds by which the event loop was late at the last update
        self.update_due_at = time.monotonic() + READINESS_INTERVAL_S

    def _pools_by_name(self) -> dict[str, Pool]:
        return self.pools.by_name() if self.pools else {}

    def is_runner_connected(self) -> bool:
        """Whether the agent's link is up, where there is an agent."""
        return self.core.config.agent is None or self.peers.agent.up

    def health(self) -> float:
        """How well the node is, from 0 to 1."""
        serving = self.core.healthy and not self.core.draining
        return (1.0 if serving else 0.0) / (1.0 + self.loop_lag / HALF_HEALTH_LAG_S)

    def overload_factor(self) -> float:
        """The strain of the most overloaded pool; 1 for none."""
        return max(
            (pool.slow_start.overload_factor for pool in self._pools_by_name().values() if pool.slow_start),
            default=1.0,
        )

    def backend_knowledge(self) -> BackendKnowledge:
        """What the pools know of their servers, by "POOL/SERVER"."""
        now = time.monotonic()
        return {
            f"{name}/{server}": knowledge
            for name, pool in self._pools_by_name().items()
            for server, knowledge in warm_start.to_json_values(warm_start.estimates_of(now, pool)).items()
        }

    def apply_backend_knowledge(
        self, knowledge: Mapping[str, warm_start.BackendEstimate], health: float
    ) -> int:
        """Use what a peer knows of servers as priors; returns for how many it was used."""
        now = time.monotonic()
        used = 0
        for name, pool in self._pools_by_name().items():
            prefix = f"{name}/"
            of_pool = {
                key.removeprefix(prefix): known for key, known in knowledge.items() if key.startswith(prefix)
            }
            used += warm_start.apply_estimates(now, pool, of_pool, health)
        if self.pools:
            for actor in self.pools.runner.pools.values():
                actor.flush()
        return used

    def fleet_changed(self, cold_fraction: float, size: int, overload_factor: float) -> None:
        """Measure the event loop's lag, and tell the pools' slow starts of the fleet."""
        now = time.monotonic()
        self.loop_lag = max(0.0, now - self.update_due_at)
        self.update_due_at = now + READINESS_INTERVAL_S
        for pool in self._pools_by_name().values():
            if pool.slow_start:
                pool.slow_start.update(now, cold_fraction, size, overload_factor)

    def has_backend_answered(self) -> bool:
        """Whether a server has answered since the start."""
        return any(
            backend.latency_samples
            for pool in self._pools_by_name().values()
            for backend in pool.backends.values()
        )

    def list_changed(self, items: Mapping[str, Endpoint]) -> None:
        """Pass the list on to its watchers and to the pools that take their servers from it."""
        self.items = dict(items)
        for watcher in self.watchers:
            watcher(self.items)
        if self.pools and any(config.from_list for config in self.pools.configs.values()):
            self.pools.runner.update(self.with_list(self.pools.configs))

    def with_list(self, configs: Mapping[str, PoolConfig]) -> dict[str, PoolConfig]:
        """The pools with the servers that the list names, where it names any."""
        return {name: self._with_list(config) for name, config in configs.items()}

    def _with_list(self, config: PoolConfig) -> PoolConfig:
        if not config.from_list:
            return config
        prefix = f"{POOLS}{config.name}/"
        servers: dict[str, SocketAddress] = {}
        zones: dict[str, str] = {}
        for key, item in self.items.items():
            if not key.startswith(prefix):
                continue
            written, _, zone = item.value.partition(" ")
            try:
                address = parse_address(written)
            except ValueError as error:
                self.log.event("list_entry", key=key, error=str(error))
                continue
            servers[str(address)] = address
            if zone:
                zones[str(address)] = zone
        return replace(config, servers=servers, zones=zones) if servers else config


class MembershipComponent(Component):
    """Runs the membership, and makes the node's readiness depend on it."""

    def __init__(
        self, operator: Operator, core: Core, peers: Peers, pools: PoolsComponent | None, log: Log
    ) -> None:
        assert operator.membership
        self.node = Node(core, peers, pools, log)
        self.actor = Membership(operator.membership, core.config.name, core.config.seed, self.node, log)
        core.ready = self._ready

    def _ready(self) -> bool:
        return self.actor.readiness.ready

    async def start(self) -> None:
        """Start the actor."""
        self.actor.start()

    def reload(self, _old: Files, new: Files) -> list[str]:
        """Use a changed operator's file; returns what needs a restart."""
        if new.operator is None or new.operator.membership is None:
            return ["membership"]
        return self.actor.reconfigure(new.operator.membership)

    def begin_drain(self) -> None:
        """Remove the node's registration."""
        self.actor.deregister()

    async def stop(self) -> None:
        """Stop the actor."""
        await self.actor.end()

    def status(self) -> StatusFields:
        """The membership's state for the log."""
        return {"membership": self.actor.load_now()}
