"""The traffic policy: what fraction of each zone's traffic goes to which others, agreed on by the fleet.

Owns the policy's form, its encoding in the consensus store, and the invariants that hold whoever writes it:
fractions from 0 to 1, versions that only grow, never every zone closed. What is written is decided by
`controller.py` and by operators (`administration.py`).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any, NamedTuple, TypedDict

import orjson

from shelfhaven.routing.hash_spread import hash_fraction

POLICY_KEY = "zones/orders"  # of the policy in the consensus store
MAX_REASON_LENGTH = 200  # characters
MAX_ZONES = 64
MAX_CLASSES = 64  # of which a zone's policy speaks
MAX_VALID_FOR = 1e6  # seconds
SUM_TOLERANCE = 1e-3  # of destinations, whose fractions are rounded in the store


class ZoneState(Enum):
    """Whether a zone keeps its traffic; the values are stored and printed."""

    OPEN = "open"
    PARTIAL = "shunned in part"
    CLOSED = "closed"
    RECOVERING = "coming back"


class FailoverCause(Enum):
    """Why a zone's traffic is diverted; the values are stored and printed.

    A zone that others do not reach goes on serving whoever reaches it: only the others send nothing there.
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

    `diverted_by_class` is set where classes are not all diverted alike: classes that it does not name stay,
    and `diverted_fraction` is what the diverted ones are of the zone's whole load.
    """

    state: ZoneState = ZoneState.OPEN
    cause: FailoverCause = FailoverCause.NONE
    diverted_fraction: float = 0.0  # of the zone's traffic
    destinations: Mapping[str, float] = field(default_factory=dict)  # by zone, fractions that sum to 1
    load: float = 0.0  # concurrent runs before anything was diverted
    failed_recoveries: int = 0  # times that it was recovering and had to be diverted again
    pinned_by: str = ""  # who forbade the controller to change it
    reason: str = ""
    diverted_by_class: Mapping[str, float] = field(default_factory=dict)

    @property
    def automatic(self) -> bool:
        """Whether the controller diverted it rather than an operator."""
        return self.cause in AUTOMATIC_CAUSES

    def diverted_fraction_of(self, class_name: str) -> float:
        """The fraction of a class's traffic that goes elsewhere."""
        if not self.diverted_by_class:
            return self.diverted_fraction
        return self.diverted_by_class.get(class_name, 0.0)


class PolicyVersion(NamedTuple):
    """Orders traffic policies."""

    epoch: int  # grows with each change
    renewal: int  # grows with each renewal of an epoch


NO_POLICY = PolicyVersion(0, 0)  # of a node that has seen none yet


@dataclass(frozen=True, slots=True)
class TrafficPolicy:
    """The policies of all zones; valid for `valid_for` seconds unless it is renewed."""

    epoch: int = 0
    renewal: int = 0
    fencing_token: int = 0  # of the controller's lease; 0: no controller has written it
    decided_by: str = ""
    valid_for: float = 60.0
    halt_reason: str = ""  # why no zone is diverted for failing at present
    zones: Mapping[str, ZonePolicy] = field(default_factory=dict)

    @property
    def version(self) -> PolicyVersion:
        """Tells a newer policy from an older one."""
        return PolicyVersion(self.epoch, self.renewal)

    def zone_policy(self, zone: str) -> ZonePolicy:
        """The policy for a zone; open where nothing is said."""
        return self.zones.get(zone, ZonePolicy())

    def diverts_node(self, node: str, zone: str) -> bool:
        """Whether a node of a zone reports at its frontends that it takes no work.

        The nodes are the same as long as the fraction is, and a subset of them once it shrinks. A zone that
        others do not reach goes on with what reaches it, and single classes are diverted by the pools.
        """
        policy = self.zone_policy(zone)
        left_to_others = policy.cause is FailoverCause.UNREACHABLE or policy.diverted_by_class
        diverted = 0.0 if left_to_others else policy.diverted_fraction
        return hash_fraction(node, f"zones/{zone}") < diverted

    def with_zone_policy(self, zone: str, policy: ZonePolicy) -> TrafficPolicy:
        """The next epoch, in which one zone has another policy."""
        return replace(self, epoch=self.epoch + 1, renewal=0, zones={**self.zones, zone: policy})

    def violations(self) -> list[str]:
        """The invariants that this policy breaks, in words."""
        found = []
        for zone, policy in self.zones.items():
            found += _zone_violations(zone, policy)
        if self.zones and all(
            policy.diverted_fraction >= 1 and not policy.diverted_by_class for policy in self.zones.values()
        ):
            found.append("every zone is closed")
        return found


def _zone_violations(zone: str, policy: ZonePolicy) -> list[str]:
    found = []
    fractions = (policy.diverted_fraction, *policy.diverted_by_class.values())
    if not all(0 <= fraction <= 1 for fraction in fractions):
        found.append(
            f"{zone}: away {policy.diverted_fraction:g}, {dict(policy.diverted_by_class)}: not parts"
        )
    destinations = policy.destinations
    if any(fraction < 0 for fraction in destinations.values()) or zone in destinations:
        found.append(f"{zone}: goes to itself, or to a part below 0")
    if destinations and abs(sum(destinations.values()) - 1) > SUM_TOLERANCE:
        found.append(f"{zone}: the parts that go elsewhere are not 1 together")
    return found


class _RawZonePolicy(TypedDict):
    """The keys of a zone in the stored JSON."""

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
    """The value under which the consensus store keeps a policy."""
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
    """The policy that a stored value holds. Raises ValueError with what is wrong."""
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
        raise ValueError(f"no document of zones: {error}") from None
    if not _within_bounds(policy):
        raise ValueError("a document of zones out of its bounds")
    if violations := policy.violations():
        raise ValueError("; ".join(violations))
    return policy


def _within_bounds(policy: TrafficPolicy) -> bool:
    classes_fit = all(len(zone.diverted_by_class) <= MAX_CLASSES for zone in policy.zones.values())
    times_fit = 0 < policy.valid_for < MAX_VALID_FOR and policy.epoch >= 0
    return classes_fit and times_fit and len(policy.zones) <= MAX_ZONES


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
    """The policy that one node acts on.

    Never an older one after a newer, and none past its end. The end is counted by the node's own clock from
    when it first saw that version.
    """

    def __init__(self) -> None:
        self.policy = TrafficPolicy()
        self.expires_at = float("-inf")

    def accept(self, now: float, policy: TrafficPolicy) -> bool:
        """Take over a policy that was read; whether it is newer than the one before."""
        if policy.version <= self.policy.version:
            return False
        self.policy = policy
        self.expires_at = now + policy.valid_for
        return True

    def in_force(self, now: float) -> TrafficPolicy | None:
        """The policy that is valid now; None: each node decides for itself."""
        return self.policy if now < self.expires_at else None
