"""Reads the node `zones`: gossip, failover, locality-aware routing, and idempotency keys across zones."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import NamedTuple, TypeVar

from shelfhaven.config import Config, parse_address
from shelfhaven.decision.settings import RetrySafety
from shelfhaven.failover.settings import FailoverSettings, GossipSettings
from shelfhaven.idempotency.quorum_replica import (
    KeyTimes,
    QuorumReplicaSettings,
    ReplicaEndpoint,
    ReservationSettings,
)
from shelfhaven.membership.settings import MembershipConfig
from shelfhaven.operator_config.reader import (
    ConfigNode,
    duration,
    integer,
    number,
    positive_duration,
    text,
    unique_by_name,
)
from shelfhaven.operator_config.singleton_tasks import SingletonTasksConfig, TaskKind
from shelfhaven.routing.locality import LocalitySettings

T = TypeVar("T")

REPLICA_GROUP_SIZES = (3, 5, 7)  # replicas of a group; an odd number survives the loss of any minority
MIN_PINGS_PER_DIGEST = 4  # minimum number of ping intervals within the maximum age of a load digest


@dataclass(frozen=True, slots=True)
class ZonesConfig:
    """The configuration of zones; `regions` maps zones to their regions."""

    gossip: GossipSettings
    controller: FailoverSettings
    locality: LocalitySettings
    regions: Mapping[str, str]
    reservations: ReservationSettings | None = None  # None: a key is known only to the node that received it


class _ZoneNode(NamedTuple):
    """The contents of a node `zone`."""

    name: str
    region: str
    one_way_latency: float  # seconds; 0 if not given


def read_zones(
    root: ConfigNode,
    config: Config,
    membership: MembershipConfig | None,
    singleton_tasks: SingletonTasksConfig | None,
) -> ZonesConfig | None:
    """Read the node `zones`; returns None if there is none."""
    node = root.child("zones")
    failover_tasks = _failover_tasks(singleton_tasks)
    if node is None:
        if failover_tasks:
            raise root.error(f'duties > duty "{failover_tasks[0]}"', "requires the node zones")
        return None
    _check_required_nodes(node, membership, failover_tasks)
    zones = unique_by_name(map(_read_zone, node.children("zone")), node, "zone")
    locality_node = node.child("near")
    gossip_node = node.child("gossip")
    controller_node = node.child("decide")
    locality = _read_or_default(locality_node, "near", node, _read_locality, LocalitySettings())
    reservations = _read_reservations(node.child("keys"), config, node)
    gossip = _read_or_default(gossip_node, "gossip", node, _read_gossip, GossipSettings())
    controller = _read_or_default(controller_node, "decide", node, _read_controller, FailoverSettings())
    one_way_latency = {name: zone.one_way_latency for name, zone in zones.items() if zone.one_way_latency}
    return ZonesConfig(
        gossip=gossip,
        controller=controller,
        locality=replace(locality, one_way_latency=one_way_latency),
        regions={name: zone.region for name, zone in zones.items() if zone.region},
        reservations=reservations,
    )


def _failover_tasks(singleton_tasks: SingletonTasksConfig | None) -> list[str]:
    """Return the names of the singleton tasks that control failover."""
    if singleton_tasks is None:
        return []
    return [task.name for task in singleton_tasks.tasks.values() if task.kind is TaskKind.DECIDE_ZONES]


def _check_required_nodes(
    node: ConfigNode, membership: MembershipConfig | None, failover_tasks: Sequence[str]
) -> None:
    if membership is None:
        raise node.error("", "requires the node membership: without it no other node is known")
    if not failover_tasks:
        kind = TaskKind.DECIDE_ZONES.value
        raise node.error(
            "", f'no failover controller: the node duties must contain one duty of kind="{kind}"'
        )
    if len(failover_tasks) > 1:
        raise node.error("", f"more than one duty controls failover: {', '.join(failover_tasks)}")


def _read_zone(node: ConfigNode) -> _ZoneNode:
    name = node.take_name("zone's name")
    region = node.take("region", text, "")
    return _ZoneNode(name, region, node.take("way", duration, 0.0))


def _read_or_default(
    node: ConfigNode | None, name: str, parent: ConfigNode, read: Callable[[ConfigNode], T], default: T
) -> T:
    """Read a child node; without one, record and return the default."""
    if node is None:
        parent.record_origin(name, "defaults", "default")
        return default
    return read(node)


def _read_locality(node: ConfigNode) -> LocalitySettings:
    default = LocalitySettings()
    return LocalitySettings(
        spill_threshold=node.take("full", number(0.1, 0.99), default.spill_threshold),
        spill_rate=node.take("pace", number(0.001, 10.0), default.spill_rate),
        max_spill=node.take("spill-most", number(0.0, 1.0), default.max_spill),
    )


def _read_gossip(node: ConfigNode) -> GossipSettings:
    default = GossipSettings()
    settings = GossipSettings(
        ping_interval=node.take("every", positive_duration, default.ping_interval),
        ping_timeout=node.take("within", positive_duration, default.ping_timeout),
        relay_count=node.take("relays", integer(0, 16), default.relay_count),
        max_peers=node.take("table", integer(8, 100_000), default.max_peers),
        max_digest_age=node.take("fresh", positive_duration, default.max_digest_age),
        suspicion_quorum=node.take("accusers", number(0.5), default.suspicion_quorum),
        suspicion_timeout=node.take("suspicion", duration, default.suspicion_timeout),
    )
    if settings.max_digest_age < MIN_PINGS_PER_DIGEST * settings.ping_interval:
        age = settings.max_digest_age
        raise node.error("fresh", f"{age:g} s is less than four times every: load digests would be stale")
    return settings


def _read_controller(node: ConfigNode) -> FailoverSettings:
    default = FailoverSettings()
    settings = FailoverSettings(
        step_interval=node.take("look", positive_duration, default.step_interval),
        step_size=node.take("step", number(0.01, 1.0), default.step_size),
        capacity_reserve=node.take("reserve", number(0.0, 0.9), default.capacity_reserve),
        max_diverted=node.take("most", number(0.0, 0.9), default.max_diverted),
        evidence_time=node.take("evidence", duration, default.evidence_time),
        reach_threshold=node.take("unreached", number(0.01, 0.9), default.reach_threshold),
        failure_margin=node.take("failing", number(0.01, 1.0), default.failure_margin),
        rejection_margin=node.take("refused", number(0.01, 1.0), default.rejection_margin),
        recovery_delay=node.take("calm", duration, default.recovery_delay),
        max_recovery_delay=node.take("calm-most", duration, default.max_recovery_delay),
        rollout_window=node.take("roll", duration, default.rollout_window),
        policy_ttl=node.take("holds", positive_duration, default.policy_ttl),
    )
    if settings.recovery_delay > settings.max_recovery_delay:
        raise node.error("calm", "longer than calm-most")
    return settings


def _read_reservations(
    node: ConfigNode | None, config: Config, zones_node: ConfigNode
) -> ReservationSettings | None:
    if node is None:
        zones_node.record_origin("keys", "none: a key is known only to the node that received it", "default")
        return None
    previous = node.child("previous")
    replica_sets = [_read_replicas(node)]
    if previous:
        replica_sets.append(_read_replicas(previous))
    key_times = _key_times(config)
    if not key_times:
        raise node.error("", "no class uses idempotency keys")
    replica = _read_replica_settings(node, key_times)
    settings = ReservationSettings(replica_sets, key_times, replica)
    return replace(
        settings,
        vote_timeout=node.take("within", positive_duration, settings.vote_timeout),
        resend_after=node.take("again", positive_duration, settings.resend_after),
    )


def _key_times(config: Config) -> dict[str, KeyTimes]:
    """Return the times of each class whose requests carry an idempotency key, by the class's name."""
    return {
        name: KeyTimes(cls.key_ttl, cls.deadline)
        for name, cls in zip(config.classes, config.settings.classes, strict=True)
        if cls.retry_safety is RetrySafety.IDEMPOTENCY_KEY
    }


def _read_replica_settings(node: ConfigNode, key_times: Mapping[str, KeyTimes]) -> QuorumReplicaSettings:
    longest = max(times.key_ttl + times.deadline for times in key_times.values())
    default = QuorumReplicaSettings(max_duration=longest)
    settings = QuorumReplicaSettings(
        max_duration=node.take("hold-most", positive_duration, default.max_duration),
        clock_drift=node.take("drift", number(0.0, 0.5), default.clock_drift),
        max_reservations=node.take("most", integer(100, 10_000_000), default.max_reservations),
        generation=node.take("generation", integer(1), default.generation),
    )
    if settings.max_duration < longest:
        raise node.error("hold-most", f"less than {longest:g} s, the longest window plus deadline of a class")
    return settings


def _read_replicas(node: ConfigNode) -> dict[str, ReplicaEndpoint]:
    """Read the replicas by name; each group must have 3, 5 or 7 replicas, each in a zone of its own."""
    replicas = unique_by_name(map(_read_replica, node.children("keeper")), node, "keeper")
    groups: dict[int, list[ReplicaEndpoint]] = {}
    for replica in replicas.values():
        groups.setdefault(replica.group, []).append(replica)
    for group, members in groups.items():
        zones = {replica.zone for replica in members}
        if len(members) not in REPLICA_GROUP_SIZES or len(zones) < len(members):
            raise node.error(
                "keeper",
                f"group {group} has {len(members)} keepers in {len(zones)} zones: "
                "3, 5 or 7 are required, each in a zone of its own",
            )
    if not replicas:
        raise node.error("keeper", "missing")
    return replicas


def _read_replica(node: ConfigNode) -> ReplicaEndpoint:
    name = node.take_name("keeper's name")
    address = node.take("at", lambda raw: parse_address(text(raw)), None)
    zone = node.take("zone", text, None)
    group = node.take("group", integer(0, 10_000), 0)
    return ReplicaEndpoint(name, zone, str(address), group)
