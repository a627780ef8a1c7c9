"""The traffic policy: what fraction of each zone's traffic goes to which other zones, agreed on by the fleet.

Defines the policy, its encoding in the consensus store, and the invariants that every writer must keep:
fractions lie between 0 and 1, versions only increase, and at least one zone is not closed. The failover
controller (`controller.py`) and operators (`administration.py`) decide what is written.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any, NamedTuple, TypedDict

import orjson

from shelfhaven.routing.hash_spread import hash_fraction

POLICY_KEY = "zones/orders"  # in the consensus store
MAX_REASON_LENGTH = 200  # characters
MAX_ZONES = 64
MAX_CLASSES = 64  # in the policy of one zone
MAX_VALID_FOR = 1e6  # seconds
SUM_TOLERANCE = 1e-3  # for the sum of destination fractions, which are stored rounded


class ZoneState(Enum):
    """How much of its traffic a zone keeps; the values are stored and printed."""

    OPEN = "open"
    PARTIAL = "shunned in part"
    CLOSED = "closed"
    RECOVERING = "coming back"


class FailoverCause(Enum):
    """Why a zone's traffic is diverted; the values are stored and printed.

    A zone that is unreachable for the other zones keeps serving the callers that reach it; only the other
    zones stop sending to it.
    """

    NONE = ""
    UNREACHABLE = "not reached"
    FAILING = "failing"
    OVERLOADED = "full"
    OPERATORS = "operators"


AUTOMATIC_CAUSES = (FailoverCause.UNREACHABLE, FailoverCause.FAILING, FailoverCause.OVERLOADED)


@dataclass(frozen=True, slots=True)
class ZonePolicy:
    """The policy for one zone.

    `diverted_by_class` is set if the classes are not all diverted to the same extent. Classes that are not in
    it are not diverted, and `diverted_fraction` is then the diverted fraction of the zone's whole load.
    """

    state: ZoneState = ZoneState.OPEN
    cause: FailoverCause = FailoverCause.NONE
    diverted_fraction: float = 0.0  # of the zone's traffic
    destinations: Mapping[str, float] = field(default_factory=dict)  # by zone; the fractions sum to 1
    load: float = 0.0  # concurrent runs in the zone before any diversion
    failed_recoveries: int = 0  # times that traffic was diverted again during a recovery
    pinned_by: str = ""  # who pinned the zone, so that the controller leaves it alone; empty: not pinned
    reason: str = ""
    diverted_by_class: Mapping[str, float] = field(default_factory=dict)

    @property
    def automatic(self) -> bool:
        """Return whether the controller, not an operator, diverted the zone."""
        return self.cause in AUTOMATIC_CAUSES

    def diverted_fraction_of(self, class_name: str) -> float:
        """Return the fraction of a class's traffic that is diverted."""
        if not self.diverted_by_class:
            return self.diverted_fraction
        return self.diverted_by_class.get(class_name, 0.0)


class PolicyVersion(NamedTuple):
    """The version of a traffic policy: a greater one replaces a smaller one."""

    epoch: int  # increases with each change
    renewal: int  # increases with each renewal within an epoch


NO_POLICY_VERSION = PolicyVersion(0, 0)  # version on a node that has not received a policy yet


@dataclass(frozen=True, slots=True)
class TrafficPolicy:
    """The policies of all zones; expires after `valid_for` seconds unless renewed."""

    epoch: int = 0
    renewal: int = 0
    fencing_token: int = 0  # of the lease under which it was written; 0: written by no controller
    decided_by: str = ""
    valid_for: float = 60.0
    halt_reason: str = ""  # why no zone is diverted for failures at present; empty: diversion is not halted
    zones: Mapping[str, ZonePolicy] = field(default_factory=dict)

    @property
    def version(self) -> PolicyVersion:
        """The version, by which policies are compared."""
        return PolicyVersion(self.epoch, self.renewal)

    def zone_policy(self, zone: str) -> ZonePolicy:
        """Return the policy for a zone; a zone without an entry is open."""
        return self.zones.get(zone, ZonePolicy())

    def diverts_node(self, node: str, zone: str) -> bool:
        """Return whether a node of a zone reports at its frontends that it takes no work.

        Nodes are selected by a hash of their name: an unchanged fraction selects the same nodes, a smaller
        one a subset of them. No node is selected in an unreachable zone, which keeps serving the callers that
        reach it, or if only some classes are diverted, since the pools divert single classes.
        """
        policy = self.zone_policy(zone)
        nodes_keep_working = policy.cause is FailoverCause.UNREACHABLE or policy.diverted_by_class
        diverted = 0.0 if nodes_keep_working else policy.diverted_fraction
        return hash_fraction(node, f"zones/{zone}") < diverted

    def with_zone_policy(self, zone: str, policy: ZonePolicy) -> TrafficPolicy:
        """Return the policy of the next epoch, with a new policy for one zone."""
        return replace(self, epoch=self.epoch + 1, renewal=0, zones={**self.zones, zone: policy})

    def violations(self) -> list[str]:
        """Return a description of each invariant that this policy violates."""
        problems = []
        for zone, policy in self.zones.items():
            problems += _zone_violations(zone, policy)
        if self.zones and all(
            policy.diverted_fraction >= 1 and not policy.diverted_by_class for policy in self.zones.values()
        ):
            problems.append("every zone is closed")
        return problems


def _zone_violations(zone: str, policy: ZonePolicy) -> list[str]:
    problems = []
    fractions = (policy.diverted_fraction, *policy.diverted_by_class.values())
    if not all(0 <= fraction <= 1 for fraction in fractions):
        problems.append(
            f"{zone}: diverted {policy.diverted_fraction:g}, by class {dict(policy.diverted_by_class)}: "
            "fractions must be between 0 and 1"
        )
    destinations = policy.destinations
    if any(fraction < 0 for fraction in destinations.values()) or zone in destinations:
        problems.append(f"{zone}: the zone is its own destination, or a destination has a negative fraction")
    if destinations and abs(sum(destinations.values()) - 1) > SUM_TOLERANCE:
        problems.append(f"{zone}: the destination fractions do not sum to 1")
    return problems


class _RawZonePolicy(TypedDict):
    """The stored JSON object of one zone."""

    standing: str
    cause: str
    away: float
    to: dict[str, float]
    load: float
    strikes: int
    pinned: str
    why: str
    parts: dict[str, float]


def encode_policy(policy: TrafficPolicy) -> bytes:
    """Encode a policy for the consensus store and for peers."""
    raw = {
        "epoch": policy.epoch,
        "beat": policy.renewal,
        "fence": policy.fencing_token,
        "by": policy.decided_by,
        "holds": policy.valid_for,
        "halted": policy.halt_reason[:MAX_REASON_LENGTH],
        "zones": {zone: _encode_zone(zone_policy) for zone, zone_policy in policy.zones.items()},
    }
    return orjson.dumps(raw)


def _encode_zone(policy: ZonePolicy) -> _RawZonePolicy:
    return {
        "standing": policy.state.value,
        "cause": policy.cause.value,
        "away": round(policy.diverted_fraction, 4),
        "to": {other: round(fraction, 6) for other, fraction in policy.destinations.items()},
        "load": round(policy.load, 3),
        "strikes": policy.failed_recoveries,
        "pinned": policy.pinned_by,
        "why": policy.reason[:MAX_REASON_LENGTH],
        "parts": {cls: round(fraction, 4) for cls, fraction in policy.diverted_by_class.items()},
    }


def decode_policy(value: bytes) -> TrafficPolicy:
    """Decode a policy. Raises ValueError if it is malformed, out of bounds or violates an invariant."""
    try:
        raw = orjson.loads(value)
        policy = TrafficPolicy(
            zones={str(zone): _decode_zone(raw_zone) for zone, raw_zone in raw["zones"].items()},
            epoch=int(raw["epoch"]),
            renewal=int(raw["beat"]),
            fencing_token=int(raw["fence"]),
            decided_by=str(raw["by"]),
            valid_for=float(raw["holds"]),
            halt_reason=str(raw["halted"]),
        )
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise ValueError(f"malformed traffic policy: {error}") from None
    if not _within_bounds(policy):
        raise ValueError("traffic policy out of bounds")
    if violations := policy.violations():
        raise ValueError("; ".join(violations))
    return policy


def _within_bounds(policy: TrafficPolicy) -> bool:
    class_counts_valid = all(len(zone.diverted_by_class) <= MAX_CLASSES for zone in policy.zones.values())
    numbers_valid = 0 < policy.valid_for < MAX_VALID_FOR and policy.epoch >= 0
    return class_counts_valid and numbers_valid and len(policy.zones) <= MAX_ZONES


def _decode_zone(raw: Mapping[str, Any]) -> ZonePolicy:
    return ZonePolicy(
        destinations=_decode_fractions(raw["to"]),
        state=ZoneState(raw["standing"]),
        cause=FailoverCause(raw["cause"]),
        diverted_fraction=float(raw["away"]),
        load=float(raw["load"]),
        failed_recoveries=int(raw["strikes"]),
        pinned_by=str(raw["pinned"]),
        reason=str(raw["why"]),
        diverted_by_class=_decode_fractions(raw["parts"]),
    )


def _decode_fractions(raw: Mapping[str, Any]) -> dict[str, float]:
    return {str(name): float(fraction) for name, fraction in raw.items()}


class PolicyFollower:
    """Tracks the policy that one node follows.

    It never goes back to an older version and ignores a policy after its expiry. The validity is measured on
    the node's own clock, from when the node first received that version.
    """

    def __init__(self) -> None:
        self.policy = TrafficPolicy()
        self.expires_at = float("-inf")

    def accept(self, now: float, policy: TrafficPolicy) -> bool:
        """Adopt a policy if it is newer than the current one; return whether it is."""
        if policy.version <= self.policy.version:
            return False
        self.policy = policy
        self.expires_at = now + policy.valid_for
        return True

    def policy_in_force(self, now: float) -> TrafficPolicy | None:
        """Return the policy if it has not expired; None: each node decides for itself where its runs go."""
        return self.policy if now < self.expires_at else None
