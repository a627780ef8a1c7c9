"""Membership settings of one node, from the operator configuration. Times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from shelfhaven.config import Address
from shelfhaven.membership.readiness import ReadinessSettings
from shelfhaven.membership.shrink_guard import ShrinkGuardSettings


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """Settings of a member's polls and of the fleet's request rate at the list service."""

    max_requests_per_s: float = 100.0  # sent to the list service by the whole fleet
    expected_nodes: int = 100  # minimum for the assumed fleet size, as the list of a starting fleet is short
    watcher_count: int = 8  # nodes that hold a watch at the list service
    poll_interval: float = 2.0  # between two polls of peers by one node
    stale_after: float = 30.0  # list age beyond which the node reads the list from the list service
    min_lease: float = 10.0  # duration of the registration's lease, which increases with the fleet's size
    shrink_guard: ShrinkGuardSettings = field(default_factory=ShrinkGuardSettings)


@dataclass(frozen=True, slots=True)
class ListServiceSettings:
    """Location of the list service, and how to access it."""

    kind: str
    endpoints: tuple[str, ...]
    prefix: str
    timeout: float  # of a request


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """Membership configuration of a node."""

    zone: str
    region: str
    listen: Address
    advertise: Address  # address at which peers reach `listen`
    secret: bytes
    peers: tuple[str, ...]  # addresses of the peers to poll first
    service: ListServiceSettings | None  # None if the fleet has no list service
    member: MemberSettings
    readiness: ReadinessSettings
    peer_timeout: float  # of a poll
    cache_file: Path | None  # None if the list is not cached
    max_cache_age: float  # older cached lists are not used
