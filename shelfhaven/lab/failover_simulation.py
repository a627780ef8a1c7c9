"""Failover between zones in virtual time: nodes that run the real gossip, policy follower and controller.

This module simulates the clock, the links between nodes, the store with the traffic policy, and the
controller's lease; `failover_traffic.py` simulates the traffic. The only decision made here is which node
gets the lease.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random

from shelfhaven.failover.aggregation import ZoneSummary
from shelfhaven.failover.controller import FailoverController
from shelfhaven.failover.gossip import Action, Gossip, Send
from shelfhaven.failover.load_digest import ClassLoad, LoadDigest
from shelfhaven.failover.members import MemberLocation
from shelfhaven.failover.settings import FailoverSettings, GossipSettings
from shelfhaven.failover.traffic_policy import TrafficPolicy, ZonePolicy
from shelfhaven.failover.wire import encode_message
from shelfhaven.lab.failover_node import SimulatedNode
from shelfhaven.lab.failover_traffic import (
    LONG_AGO,
    NODE_CAPACITY,
    ClassShare,
    SimulatedZone,
    TrafficModel,
    TrafficSample,
    ZoneRouting,
)
from shelfhaven.lab.virtual_clock import VirtualClock
from shelfhaven.membership.signed_datagram import seal
from shelfhaven.routing.hash_spread import hash_fraction

TICK = 0.5  # seconds between two samples of traffic, measurements of nodes, and decisions
SECRET = b"a secret of the laboratory"  # signing key of the datagrams
TAKEOVER_TIME = 3.0  # seconds from the loss of a leader until another node may take the lease
STORE_READERS = 5  # nodes that read the policy from the store; the others get it from peers
STORE_READ_INTERVAL = 2.0  # seconds
FETCH_TIME = 0.02  # seconds in which a node fetches a policy from a peer
MIN_LATENCY, LATENCY_SPREAD = 0.0005, 0.002  # seconds; smallest latency of a datagram, and its random part
GRACE_TIME = 5.0  # seconds after a start or a stall in which peers may still believe that a node has failed
ENCODING_INTERVAL = 64  # one message in this many is encoded to measure its size
MAX_DEFERRED = 100  # datagrams in the socket buffer of a stalled node; further ones are dropped
MAX_OBSERVERS = 50  # approximate number of nodes whose failure detection is checked
POLICY_SAMPLE_SIZE = 3  # nodes of a zone that are searched for a policy in force


@dataclass(frozen=True, slots=True)
class SimulationSettings:
    """Settings of a simulation. `demand` replaces `utilization` for the zones that it names."""

    utilization: float = 0.6  # demand as a fraction of each zone's capacity
    demand: Mapping[str, float] = field(default_factory=dict)
    class_mix: Mapping[str, ClassShare] = field(default_factory=lambda: {"any": ClassShare(1.0, 1.0)})
    regions: Mapping[str, str] | None = None  # by zone; None: one region
    warm_up_time: float = 10.0  # seconds
    gossip: GossipSettings = field(default_factory=GossipSettings)
    controller: FailoverSettings = field(default_factory=FailoverSettings)


def _served(sample: TrafficSample) -> float:
    return sample.served


def _link_never_cut(_sender: SimulatedNode, _receiver: SimulatedNode) -> bool:
    return False


def _store_never_cut(_node: SimulatedNode) -> bool:
    return False


class FailoverSimulation(VirtualClock):
    """Zones of nodes, their traffic, a consensus store, and the failover controller of one leader."""

    calls_per_check = 64

    def __init__(self, zones: int, nodes: int, seed: int, settings: SimulationSettings | None = None) -> None:
        super().__init__()
        self.settings = settings or SimulationSettings()
        self.random = Random(seed)
        names = [f"z{index}" for index in range(zones)]
        self.nodes_per_zone = max(1, nodes // zones)
        self.regions = dict(self.settings.regions or dict.fromkeys(names, "r"))
        self.zones = {name: self._make_zone(name) for name in names}
        self.traffic = TrafficModel(self.zones, self.settings.class_mix, self.settings.warm_up_time)
        self.nodes: dict[str, SimulatedNode] = {}
        self._init_faults()
        self._init_store()
        self._init_results()
        for name in names:
            for index in range(self.nodes_per_zone):
                self._start_node(f"{name}-{index:04}", name, LONG_AGO)
        self._update_members()
        self.after(TICK, self._on_tick)

    def _make_zone(self, name: str) -> SimulatedZone:
        capacity = NODE_CAPACITY * self.nodes_per_zone
        utilization = self.settings.demand.get(name, self.settings.utilization)
        return SimulatedZone(capacity, utilization * capacity)

    def _init_faults(self) -> None:
        self.loss = 0.0  # fraction of datagrams
        self.is_cut: Callable[[SimulatedNode, SimulatedNode], bool] = _link_never_cut  # sender, receiver
        self.is_store_cut: Callable[[SimulatedNode], bool] = _store_never_cut
        self.store_up = True
        self.false_digests: dict[str, LoadDigest] = {}  # by node, reported instead of its measured load

    def _init_store(self) -> None:
        self.policy = TrafficPolicy()
        self.fencing_token = 0
        self.leader: SimulatedNode | None = None
        self.leader_lost_at: float | None = None
        self.controller: FailoverController | None = None

    def _init_results(self) -> None:
        self.decisions: list[tuple[float, TrafficPolicy]] = []
        self.samples: list[TrafficSample] = []
        self.sent: Counter[str] = Counter()  # number of datagrams by sender
        self.encoded_bytes = 0  # size of the messages that were encoded
        self.encoded_messages = 0  # number of messages that were encoded
        self.violations: list[str] = []
        self.falsely_failed: set[str] = set()  # live nodes that some observer believed to have failed
        self.observed_pairs = 0  # pairs of an observer and a live node, summed over ticks
        self.false_pairs = 0  # of these, pairs in which the observer believed that the node had failed

    # Nodes

    def nodes_in(self, zone: str) -> list[SimulatedNode]:
        """Return a zone's nodes."""
        return [node for node in self.nodes.values() if node.zone == zone]

    def lose_zone(self, zone: str) -> None:
        """Crash all nodes of a zone at once."""
        self.zones[zone].lost_at = self.now
        for node in self.nodes_in(zone):
            node.alive = False
        self.zones[zone].alive = 0

    def restart_zone(self, zone: str) -> None:
        """Restart all nodes of a zone; they warm up."""
        self.zones[zone].lost_at = None
        self.zones[zone].started_at = self.now
        for node in self.nodes_in(zone):
            self._start_node(node.name, zone, self.now)
        self._update_members()

    def stall(self, node: SimulatedNode, seconds: float) -> None:
        """Stall a node; afterwards it handles what arrived in the meantime."""
        node.stalled = True
        self.at(self.now + seconds, partial(self._end_stall, node))

    def _end_stall(self, node: SimulatedNode) -> None:
        node.stalled = False
        node.up_since = self.now
        deferred, node.deferred = node.deferred, []
        for call in deferred:
            call()

    def _start_node(self, name: str, zone: str, up_since: float) -> None:
        incarnation = int((self.now + 1) * 1e6)
        own_digest = LoadDigest(name, zone, name, incarnation=incarnation, capacity=NODE_CAPACITY)
        random = Random(self.random.random())
        gossip = Gossip(self.settings.gossip, own_digest, self.now, random)
        node = SimulatedNode(name, zone, gossip, up_since)
        previous = self.nodes.get(name)
        if not (previous and previous.alive):
            self.zones[zone].alive += 1
        self.nodes[name] = node
        self._set_wake_timer(node)

    def _update_members(self) -> None:
        locations = {node.name: MemberLocation(node.zone, node.name) for node in self.nodes.values()}
        for node in self.nodes.values():
            node.gossip.update_members(locations)

    # Links

    def _perform_actions(self, node: SimulatedNode, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(node, action)
            elif not node.fetching_policy:
                node.fetching_policy = True
                self.after(FETCH_TIME, partial(self._fetch_policy, node, action.address))
        self._set_wake_timer(node)

    def _send(self, node: SimulatedNode, send: Send) -> None:
        self.sent[node.name] += 1
        if self.random.randrange(ENCODING_INTERVAL) == 0:
            self.encoded_bytes += len(seal(SECRET, encode_message(send.message)))
            self.encoded_messages += 1
        receiver = self.nodes.get(send.address)
        if receiver is None or not receiver.alive:
            return
        if self.random.random() < self.loss or self.is_cut(node, receiver):
            return
        latency = MIN_LATENCY + LATENCY_SPREAD * self.random.random()
        self.after(latency, partial(self._deliver, receiver, send))

    def _deliver(self, node: SimulatedNode, send: Send) -> None:
        if not node.alive:
            return
        if node.stalled:
            if len(node.deferred) < MAX_DEFERRED:
                node.deferred.append(partial(self._deliver, node, send))
            return
        self._perform_actions(node, node.gossip.receive(self.now, send.message))

    def _fetch_policy(self, node: SimulatedNode, address: str) -> None:
        node.fetching_policy = False
        peer = self.nodes.get(address)
        if peer is None or not peer.up or not node.up:
            return
        if not self.is_cut(node, peer) and not self.is_cut(peer, node):
            self._accept_policy(node, peer.follower.policy)

    def _set_wake_timer(self, node: SimulatedNode) -> None:
        due = node.gossip.next_wake()
        if due < node.wake_at or node.wake_at <= self.now:
            node.wake_at = max(due, self.now + 1e-4)
            self.at(node.wake_at, partial(self._wake, node, node.wake_at))

    def _wake(self, node: SimulatedNode, at: float) -> None:
        if not node.alive or at != node.wake_at or self.nodes.get(node.name) is not node:
            return
        if node.stalled:
            node.deferred.append(partial(self._wake, node, at))
            return
        node.wake_at = float("inf")
        self._perform_actions(node, node.gossip.wake(self.now))

    def _accept_policy(self, node: SimulatedNode, policy: TrafficPolicy) -> None:
        previous = node.follower.policy
        if node.follower.accept(self.now, policy):
            node.gossip.policy_version = policy.version
            if policy.epoch < previous.epoch:
                breach = f"{self.now:.2f} s: {node.name} follows epoch {policy.epoch} after {previous.epoch}"
                self.violations.append(breach)

    # Each tick

    def _on_tick(self) -> None:
        offered = self.traffic.route(self.now, self._routing())
        diverted = {
            name: zone_policy.diverted_fraction
            for name, zone_policy in self.policy.zones.items()
            if zone_policy.diverted_fraction
        }
        self.samples.append(self.traffic.sample(self.now, offered, diverted))
        for node in self.nodes.values():
            if node.up:
                self._update_digest(node)
        self._run_controller()
        self._read_policy_from_store()
        self._check_failure_detection()
        self.after(TICK, self._on_tick)

    def rejects_work(self, node: SimulatedNode) -> bool:
        """Return whether the policy that a node follows makes it reject work."""
        policy = node.follower.policy_in_force(self.now)
        return policy is not None and policy.diverts_node(node.name, node.zone)

    def _routing(self) -> dict[str, ZoneRouting]:
        live = {name: [node for node in self.nodes_in(name) if node.alive] for name in self.zones}
        routing = {}
        for name, nodes in live.items():
            rejecting = sum(map(self.rejects_work, nodes)) / len(nodes) if nodes else 1.0
            routing[name] = ZoneRouting(len(nodes), rejecting, self._policy_for_zone(name, live))
        return routing

    def _policy_for_zone(self, zone: str, live: Mapping[str, list[SimulatedNode]]) -> ZonePolicy:
        """Return a zone's policy as its own nodes follow it or, if none does, as other nodes follow it."""
        for name in (zone, *self.zones):
            for node in live[name][:POLICY_SAMPLE_SIZE]:
                if policy := node.follower.policy_in_force(self.now):
                    return policy.zone_policy(zone)
        return ZonePolicy()

    def _update_digest(self, node: SimulatedNode) -> None:
        zone = self.zones[node.zone]
        live_nodes = max(1, zone.alive)
        warm_fraction = zone.warm_fraction(self.now, self.settings.warm_up_time)
        digest = replace(
            node.gossip.own_digest,
            capacity=NODE_CAPACITY * zone.speed * warm_fraction,
            load=zone.offered / live_nodes,
            rejection_rate=1 - zone.served / zone.offered if zone.offered > 0 else 0.0,
            failure_rate=zone.failure_rate if zone.offered > 0 else 0.0,
            warm_fraction=warm_fraction,
            by_class={
                cls: ClassLoad(zone.failure_rate, zone.demand * share / live_nodes, value_rate)
                for cls, (share, value_rate) in self.settings.class_mix.items()
            },
        )
        false_digest = self.false_digests.get(node.name)
        if false_digest:
            digest = replace(
                digest,
                capacity=false_digest.capacity,
                load=false_digest.load,
                failure_rate=false_digest.failure_rate,
                rejection_rate=false_digest.rejection_rate,
            )
        node.gossip.update_own_digest(digest)

    def _check_failure_detection(self) -> None:
        """Count the live nodes that observers believe to have failed."""
        live = {
            node.name for node in self.nodes.values() if node.up and self.now - node.up_since > GRACE_TIME
        }
        stride = max(1, len(self.nodes) // MAX_OBSERVERS)
        for node in list(self.nodes.values())[::stride]:
            false_failures = live & set(node.gossip.failed_peers())
            self.falsely_failed |= false_failures
            self.observed_pairs += len(live)
            self.false_pairs += len(false_failures)

    # The store and the lease

    def _can_reach_store(self, node: SimulatedNode) -> bool:
        return self.store_up and node.up and not self.is_store_cut(node)

    def _run_controller(self) -> None:
        summaries = self.leader.gossip.zone_summaries(self.now) if self.leader else None
        if not self._leader_keeps_lease(summaries):
            if not self._elect_leader():
                return
            assert self.leader
            summaries = self.leader.gossip.zone_summaries(self.now)
        assert self.leader
        assert self.controller
        followed = self.leader.follower.policy
        policy, base = self.controller.next_policy(
            self.now, self.policy, followed, summaries, self.fencing_token
        )
        if policy is None:
            return
        if policy.epoch != base.epoch:
            self.decisions.append((self.now, policy))
        self._write(self.leader, self.controller, policy)

    def _write(self, leader: SimulatedNode, controller: FailoverController, policy: TrafficPolicy) -> None:
        if policy.version <= self.policy.version:
            self.violations.append(f"{self.now:.2f} s: {policy.version} written after {self.policy.version}")
        self.policy = replace(policy, decided_by=leader.name)
        controller.policy_written(self.now, self.policy)
        self._accept_policy(leader, self.policy)
        self.violations += self.policy.violations()

    def _leader_keeps_lease(self, summaries: Mapping[str, ZoneSummary] | None) -> bool:
        """Return whether the current leader keeps the lease."""
        leader = self.leader
        if leader is None or not leader.up or self.nodes.get(leader.name) is not leader:
            return False
        if not self._can_reach_store(leader):
            return False
        return self.controller is None or not self.controller.should_step_down(
            self.now, leader.zone, summaries
        )

    def _elect_leader(self) -> bool:
        """Choose a random leader once the lease has expired; return whether there is one."""
        if self.leader_lost_at is None:
            self.leader_lost_at = self.now
        candidates = [node for node in self.nodes.values() if self._can_reach_store(node)]
        if not candidates or self.now - self.leader_lost_at < TAKEOVER_TIME:
            return False
        self.leader = candidates[self.random.randrange(len(candidates))]
        self.leader_lost_at = None
        self.fencing_token += 1
        self.controller = FailoverController(self.settings.controller, self.regions)
        return True

    def _read_policy_from_store(self) -> None:
        if int(self.now / TICK) % int(STORE_READ_INTERVAL / TICK):
            return
        ranked_nodes = sorted(self.nodes.values(), key=lambda node: hash_fraction(node.name, "watch"))
        for node in ranked_nodes[:STORE_READERS]:
            if self._can_reach_store(node) and self.policy.epoch:
                self._accept_policy(node, self.policy)

    # Results

    def earned_fraction(self, since: float, earned: Callable[[TrafficSample], float] = _served) -> float:
        """Return the value earned since a time as a fraction of what an omniscient planner earns."""
        samples = [sample for sample in self.samples if sample.at >= since]
        best = sum(sample.best for sample in samples)
        return float(sum(map(earned, samples)) / best) if best else 1.0

    def informed_fraction(self) -> float:
        """Return the fraction of running nodes that follow the newest policy."""
        up = [node for node in self.nodes.values() if node.up]
        informed = sum(node.follower.policy.epoch == self.policy.epoch for node in up)
        return informed / max(1, len(up))
