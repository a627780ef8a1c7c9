"""Reads the node `duties`: the consensus store, the settings of elections, and the singleton tasks."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum
from pathlib import Path

from shelfhaven.config import Address, parse_address
from shelfhaven.election.settings import ElectorSettings
from shelfhaven.membership.settings import MembershipConfig
from shelfhaven.operator_config.membership import read_endpoints
from shelfhaven.operator_config.reader import (
    ConfigNode,
    boolean,
    choice,
    duration,
    integer,
    number,
    positive_duration,
    text,
    unique_by_name,
)

MIN_STORE_MEMBERS, MAX_STORE_MEMBERS = 3, 7
MIN_LEASE_TO_MARGIN = 4.0  # minimum ratio of the lease to its safety margin
MAX_BATCH_LINES = 10_000


class StoreKind(StrEnum):
    """Kinds of consensus store; the values are those of the operator's file."""

    ETCD = "etcd"
    NODES = "nodes"
    ALONE = "alone"  # in the memory of a single process


class TaskKind(StrEnum):
    """Kinds of singleton task; the values are those of the operator's file."""

    SEND = "send"
    RECONCILE = "reconcile"
    WATCH_LIST = "keep-list"
    DECIDE_ZONES = "decide-zones"


STORE_KINDS = {kind.value: kind for kind in StoreKind}
TASK_KINDS = {kind.value: kind for kind in TaskKind}


@dataclass(frozen=True, slots=True)
class StoreMember:
    """A node that is a voting member of the consensus store."""

    name: str
    client_address: Address  # where clients send requests
    peer_address: Address  # where the other members connect to it
    bind_address: Address  # where it listens for the other members


@dataclass(frozen=True, slots=True)
class StoreConfig:
    """The consensus store's kind and location."""

    kind: StoreKind
    timeout: float  # seconds to wait for an answer
    endpoints: tuple[str, ...] = ()
    prefix: str = ""
    members: Mapping[str, StoreMember] = field(default_factory=dict)
    journal: Path | None = None


@dataclass(frozen=True, slots=True)
class TargetConfig:
    """The service that a singleton task calls."""

    url: str
    timeout: float  # seconds to wait for an answer
    fenced: bool  # whether it checks fencing tokens


@dataclass(frozen=True, slots=True)
class SendConfig:
    """The file whose lines a singleton task sends in batches."""

    path: Path
    batch_lines: int
    resend: bool  # whether a batch may be sent again under the same idempotency key


@dataclass(frozen=True, slots=True)
class TaskConfig:
    """A singleton task; `target` and `send` are None for kinds that do not use them."""

    name: str
    kind: TaskKind
    zone: str  # zone of the nodes that may lead the task; "" for any
    interval: float  # seconds between units of work
    target: TargetConfig | None = None
    send: SendConfig | None = None


@dataclass(frozen=True, slots=True)
class SingletonTasksConfig:
    """The singleton tasks of a fleet and the settings of their leader election."""

    store: StoreConfig
    elector: ElectorSettings
    tasks: Mapping[str, TaskConfig]

    def zone_by_task(self) -> dict[str, str]:
        """Return the zone of each task by its name; "" stands for any zone."""
        return {name: task.zone for name, task in self.tasks.items()}


def _address(raw: object) -> Address:
    return parse_address(text(raw))


def _url(raw: object) -> str:
    url = text(raw)
    if not url.startswith(("http://", "https://")):
        raise ValueError(f"{url!r} does not begin with http:// or https://")
    return url


def _read_store(duties_node: ConfigNode) -> StoreConfig:
    node = duties_node.child("agree")
    if node is None:
        raise duties_node.error("agree", "missing: singleton tasks require a consensus store")
    kind = node.take("engine", choice(STORE_KINDS), None)
    timeout = node.take("within", positive_duration, 2.0)
    if kind is StoreKind.ALONE:
        return StoreConfig(kind, timeout)
    if kind is StoreKind.ETCD:
        endpoints = read_endpoints(node)
        return StoreConfig(kind, timeout, endpoints, node.take("prefix", text, "/shelfhaven-agreed/"))
    members = unique_by_name(map(_read_member, node.children("member")), node, "member")
    if not MIN_STORE_MEMBERS <= len(members) <= MAX_STORE_MEMBERS or len(members) % 2 == 0:
        raise node.error(
            "member", f"{len(members)} members: 3, 5 or 7 are required, to survive the loss of a minority"
        )
    journal = node.raw_value("journal")
    if journal is None:
        raise node.error("journal", "missing: a member that loses its votes in a restart breaks consensus")
    node.record_origin("journal", journal, node.file)
    return StoreConfig(kind, timeout, members=members, journal=Path(str(journal)))


def _read_member(node: ConfigNode) -> StoreMember:
    name = node.take_name("member's name")
    client_address = node.take("ask", _address, None)
    peer_address = node.take("reach", _address, None)
    bind_address = node.take("bind", _address, peer_address)
    return StoreMember(name, client_address, peer_address, bind_address)


def _read_elector(node: ConfigNode, default: ElectorSettings) -> ElectorSettings:
    settings = ElectorSettings(
        lease_duration=node.take("lease", positive_duration, default.lease_duration),
        safety_margin=node.take("margin", positive_duration, default.safety_margin),
        clock_drift=node.take("drift", number(0.0, 0.5), default.clock_drift),
        candidate_delay=node.take("step", positive_duration, default.candidate_delay),
        hand_over_timeout=node.take("hand-within", duration, default.hand_over_timeout),
        hand_over_after=node.take("settle", duration, default.hand_over_after),
        hand_over_cooldown=node.take("dead", duration, default.hand_over_cooldown),
        store_requests_per_second=node.take("asks", number(0.1), default.store_requests_per_second),
        failed_task_cooldown=node.take("unfit-rest", duration, default.failed_task_cooldown),
    )
    if settings.lease_duration < MIN_LEASE_TO_MARGIN * settings.safety_margin:
        raise node.error(
            "lease", f"{settings.lease_duration:g} s is less than {MIN_LEASE_TO_MARGIN:g} times the margin"
        )
    return settings


def _read_task(node: ConfigNode) -> TaskConfig:
    name = node.take_name("duty's name")
    if "/" in name:
        raise node.error("", "a duty's name must not contain /")
    kind = node.take("kind", choice(TASK_KINDS), None)
    zone = node.take("zone", text, "")
    interval = node.take("every", positive_duration, 1.0)
    if kind is TaskKind.WATCH_LIST and not zone:
        raise node.error("zone", "missing: a duty of kind keep-list requires a zone")
    if kind in (TaskKind.WATCH_LIST, TaskKind.DECIDE_ZONES):
        return TaskConfig(name, kind, zone, interval)
    target = _read_target(node, name)
    send = _read_send(node) if kind is TaskKind.SEND else None
    return TaskConfig(name, kind, zone, interval, target, send)


def _read_target(node: ConfigNode, name: str) -> TargetConfig:
    url = node.take("to", _url, None)
    timeout = node.take("within", positive_duration, 2.0)
    fenced = node.take("fenced", boolean, True)
    if not fenced and node.raw_value("accept-unfenced") != name:
        raise node.error(
            "fenced",
            "two leaders can act on a target that does not check fencing tokens if clock drift, pauses or "
            f'network delays exceed the limits in docs/duties.md; accept-unfenced="{name}" accepts this',
        )
    node.raw_value("accept-unfenced")
    return TargetConfig(url, timeout, fenced)


def _read_send(node: ConfigNode) -> SendConfig:
    path = Path(node.take("file", text, None))
    batch_lines = node.take("lines", integer(1, MAX_BATCH_LINES), 100)
    return SendConfig(path, batch_lines, node.take("again", boolean, True))


def read_singleton_tasks(
    root: ConfigNode, membership: MembershipConfig | None
) -> SingletonTasksConfig | None:
    """Read the node `duties`; returns None if there is none."""
    node = root.child("duties")
    if node is None:
        return None
    store = _read_store(node)
    if membership is None and store.kind is not StoreKind.ALONE:
        raise node.error("", "requires the node membership: without it no other node is known")
    has_list_service = membership is not None and membership.service is not None
    if store.kind is StoreKind.ETCD and not has_list_service:
        raise node.error("", "requires a list service, whose list names the nodes that may run a duty")
    tasks = unique_by_name(map(_read_task, node.children("duty")), node, "duty")
    if not tasks:
        raise node.error("duty", "missing")
    default = ElectorSettings()
    if membership:
        default = replace(default, store_requests_per_second=membership.member.max_requests_per_s)
    elector = _read_elector(node, default)
    for task in tasks.values():
        _check_task(node, task, elector, has_list_service)
    return SingletonTasksConfig(store, elector, tasks)


def _check_task(node: ConfigNode, task: TaskConfig, elector: ElectorSettings, has_list_service: bool) -> None:
    """Raise ConfigError if a task contradicts the lease duration or lacks a list service that it requires."""
    target = task.target
    if target and not target.fenced and target.timeout > elector.lease_duration / 2:
        raise node.error(
            f'duty "{task.name}" within', "longer than half the lease: no request could ever be sent"
        )
    if task.kind is TaskKind.WATCH_LIST and not has_list_service:
        raise node.error(f'duty "{task.name}"', "requires a list service")
