"""The component for failover between zones.

It measures this node's load for the gossip, passes the traffic policy to the pools, makes the node unready
while it must reject work, and, if configured, reserves idempotency keys across zones.
"""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import replace
from random import Random

from shelfhaven.consensus.store import ConsensusStore
from shelfhaven.failover.actor import FailoverActor, FailoverEndpoint
from shelfhaven.failover.controller import FailoverController
from shelfhaven.failover.controller_task import FailoverTask, NodeIdentity
from shelfhaven.failover.gossip import Gossip
from shelfhaven.failover.load_digest import LoadDigest
from shelfhaven.failover.measurements import LoadMeter, NodeCounters
from shelfhaven.failover.members import MemberLocation
from shelfhaven.failover.traffic_policy import TrafficPolicy
from shelfhaven.idempotency.claimant import ClaimantIdentity
from shelfhaven.idempotency.quorum_client import QuorumClient
from shelfhaven.membership.endpoint_registry import nodes_of
from shelfhaven.membership.list_version import Endpoint
from shelfhaven.operator_config import Operator
from shelfhaven.operator_config.zones import ZonesConfig
from shelfhaven.program.component import Component, Files, StatusFields
from shelfhaven.program.membership import MembershipComponent
from shelfhaven.program.pools import PoolsComponent
from shelfhaven.server.core import Core
from shelfhaven.server.log import Log

STORE_READERS = 5  # nodes, the first by rank, that read the store on behalf of all


class FailoverComponent(Component):
    """Takes part in the gossip, applies the traffic policy and reserves keys."""

    def __init__(
        self,
        operator: Operator,
        core: Core,
        membership: MembershipComponent,
        pools: PoolsComponent | None,
        log: Log,
    ) -> None:
        assert operator.zones
        self.config: ZonesConfig = operator.zones
        self.core = core
        self.membership = membership
        self.pools = pools
        self.log = log
        self.load_meter = LoadMeter()
        self.priority_weights = {
            cls: settings.priority_weight
            for cls, settings in zip(core.config.classes, core.config.settings.classes, strict=True)
        }
        self.regions: dict[str, str] = dict(self.config.regions)  # by zone; the endpoint list adds to them
        self.actor = self._make_actor()
        self.actor.on_policy_change = self._apply_policy
        self.controller: FailoverController | None = None
        self.quorum_client = self._make_quorum_client()
        ready = core.ready
        core.ready = lambda: ready() and not self.actor.rejects_work()

    def _make_actor(self) -> FailoverActor:
        node = self.membership.actor
        identity = node.identity
        own_digest = LoadDigest(identity.name, identity.zone, identity.address, incarnation=time.time_ns())
        random = Random(self.core.config.seed ^ time.time_ns())
        gossip = Gossip(self.config.gossip, own_digest, time.monotonic(), random)
        endpoint = FailoverEndpoint(
            node.config.listen, node.config.secret, node.peer_rpc, node.config.peer_timeout
        )
        return FailoverActor(endpoint, gossip, self._measure, self.log)

    def _make_quorum_client(self) -> QuorumClient | None:
        if not self.config.reservations or not self.pools:
            return None
        node = self.membership.actor
        identity = ClaimantIdentity(node.identity.name, node.identity.address, time.time_ns())
        client = QuorumClient(
            self.config.reservations, identity, self.actor.send, node.peer_rpc, self.core.put, self.log,
        )  # fmt: skip
        self.actor.on_reservation_datagram = client.receive
        self.pools.runner.reservations = client
        self.core.keys.reserved_in_fleet = True
        return client

    def set_store(self, store: ConsensusStore) -> None:
        """Set the consensus store, which holds the traffic policy."""
        self.actor.store = store

    def make_controller_task(self) -> FailoverTask:
        """Create the singleton task that runs the failover controller."""
        assert self.actor.store
        self.controller = FailoverController(self.config.controller, self.regions)
        own_digest = self.actor.gossip.own_digest
        identity = NodeIdentity(own_digest.name, own_digest.zone)
        return FailoverTask(self.actor.store, self.controller, self.actor, identity, self.log)

    async def start(self) -> None:
        """Start the gossip and the reservation of keys."""
        self.membership.node.watchers.append(self._update_members)
        self._update_members(self.membership.node.items)
        self._apply_policy(None)
        await self.actor.start()
        if self.quorum_client:
            self.quorum_client.start()

    def _update_members(self, items: Mapping[str, Endpoint]) -> None:
        nodes = nodes_of(items)
        self.actor.update_members({node.name: MemberLocation(node.zone, node.address) for node in nodes})
        # update in place: the controller and the pools share this dictionary
        self.regions.update({node.zone: node.region for node in nodes if node.region}, **self.config.regions)
        node_ranking = self.membership.actor.member.fleet.nodes
        own_key = self.membership.actor.identity.key
        # without an endpoint list there is no ranking, so each node reads the store
        self.actor.reads_store = not nodes or node_ranking.is_among_first(own_key, STORE_READERS)

    def _apply_policy(self, policy: TrafficPolicy | None) -> None:
        if self.pools:
            zone = self.actor.gossip.own_digest.zone
            self.pools.runner.prefer_zone(zone, self.config.locality, self.regions, policy)

    def _measure(self, digest: LoadDigest) -> LoadDigest:
        """Return this node's digest with its current load."""
        return self.load_meter.measure(digest, self._counters())

    def _counters(self) -> NodeCounters:
        ready = self.membership.actor.readiness.ready
        counters = NodeCounters(
            answers=self.core.answer_counts,
            run_results={},
            running=self.core.running_count(),
            capacity=float(self.core.config.settings.cores),
            warm_fraction=1.0 if ready else 0.0,
            health=self.membership.node.health(),
            priority_weights=self.priority_weights,
        )
        if self.pools is None:
            return counters
        runner = self.pools.runner
        # backends in other zones count toward the capacity of those zones
        local_capacity = runner.local_capacity()
        load = runner.load_by_class()
        return replace(
            counters,
            run_results=runner.local_results(),
            capacity=counters.capacity if local_capacity is None else min(local_capacity, counters.capacity),
            warm_fraction=runner.slow_start_progress() if ready else 0.0,
            running_by_class=load.in_flight,
            typical_latency=load.typical_latency,
            has_local_backends=bool(runner.has_local_backends()),
        )

    def reload(self, _old: Files, new: Files) -> list[str]:
        """Apply the changed settings of zones; the reservation of keys changes only at a restart."""
        config = new.operator.zones if new.operator else None
        if config is None:
            return ["zones"]
        pending_restart = []
        if config.reservations != self.config.reservations:
            # a replica that changed its reservation settings while it runs could break its earlier votes
            pending_restart = ["zones keys"]
            config = replace(config, reservations=self.config.reservations)
        self.config = config
        self.actor.gossip.reconfigure(config.gossip)
        if self.controller:
            self.controller.reconfigure(config.controller)
        self.regions.clear()
        self._update_members(self.membership.node.items)
        self._apply_policy(self.actor.policy_in_force)
        return pending_restart

    def stop_listening(self, left: float) -> None:
        """Stop reserving keys and hand votes over, within `left` seconds."""
        if self.quorum_client:
            self.quorum_client.close(left)

    async def disconnect(self, _left: float) -> None:
        """Wait until the votes on reserved keys have been handed over."""
        if self.quorum_client:
            await self.quorum_client.wait_closed()

    async def stop(self) -> None:
        """Stop the gossip and the reservation of keys."""
        if self.quorum_client:
            self.quorum_client.end()
        await self.actor.end()

    def status(self) -> StatusFields:
        """Return the state of failover and of reservations, for the log."""
        fields: StatusFields = {"zones": self.actor.load_now()}
        if self.quorum_client:
            fields["claims"] = self.quorum_client.load_now()
        return fields
