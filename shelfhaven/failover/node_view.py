"""A running node's view of the zones, as returned to a peer or the command line.

Encodes and decodes the JSON of that response.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypedDict

import orjson

from shelfhaven.failover.aggregation import ZoneSummary
from shelfhaven.failover.load_digest import ClassLoad
from shelfhaven.failover.traffic_policy import PolicyVersion

NODE_VIEW_PATH = "/zones/seen"  # peers request the view here


@dataclass(frozen=True, slots=True)
class ZoneFigures:
    """The figures of one zone that the command line prints; 0 where unknown."""

    listed_nodes: float = 0.0
    known_nodes: float = 0.0
    capacity: float = 0.0
    load: float = 0.0


@dataclass(frozen=True, slots=True)
class NodeView:
    """One node's view of the zones.

    `zones` is None if the node considers itself unhealthy or did not answer.
    """

    node: str = ""
    zones: Mapping[str, ZoneFigures] | None = None

    def zone_names(self) -> set[str]:
        """Return the names of the zones in this view."""
        return set(self.zones or {})

    def figures(self, zone: str) -> ZoneFigures:
        """Return the figures of a zone; zeros if the view does not contain it."""
        return (self.zones or {}).get(zone, ZoneFigures())


def encode_node_view(
    node: str, summaries: Mapping[str, ZoneSummary] | None, policy_version: PolicyVersion, valid_for: float
) -> bytes:
    """Encode a node's view, the version of the policy that it follows, and the seconds until that expires."""
    zones = None
    if summaries is not None:
        zones = {zone: _encode_summary(summary) for zone, summary in summaries.items()}
    return orjson.dumps({
        "node": node,
        "zones": zones,
        "follows": list(policy_version),
        "holds_on": valid_for,
    })  # fmt: skip


def decode_node_view(response: bytes) -> NodeView:
    """Decode a node's view. Raises ValueError, KeyError or TypeError if it is malformed."""
    raw = orjson.loads(response)
    node = str(raw["node"])
    zones = raw["zones"]
    if zones is None:
        return NodeView(node)
    return NodeView(node, {zone: _decode_figures(raw_zone) for zone, raw_zone in zones.items()})


class _RawClassLoad(TypedDict):
    """The JSON object of one request class."""

    failing: float
    load: float
    gain: float


class _RawSummary(TypedDict):
    """The JSON object of one zone."""

    zone: str
    listed: int
    known: int
    room: float
    load: float
    refused: float
    failing: float
    warm: float
    reach: Mapping[str, float]
    by_class: dict[str, _RawClassLoad]


def _encode_summary(summary: ZoneSummary) -> _RawSummary:
    return {
        "zone": summary.zone,
        "listed": summary.listed_nodes,
        "known": summary.known_nodes,
        "room": summary.capacity,
        "load": summary.load,
        "refused": summary.rejection_rate,
        "failing": summary.failure_rate,
        "warm": summary.warm_fraction,
        "reach": summary.reachability,
        "by_class": {cls: _encode_class_load(load) for cls, load in summary.by_class.items()},
    }


def _encode_class_load(load: ClassLoad) -> _RawClassLoad:
    return {"failing": load.failure_rate, "load": load.load, "gain": load.value_rate}


def _decode_figures(raw: Mapping[str, Any]) -> ZoneFigures:
    return ZoneFigures(
        listed_nodes=float(raw.get("listed", 0.0)),
        known_nodes=float(raw.get("known", 0.0)),
        capacity=float(raw.get("room", 0.0)),
        load=float(raw.get("load", 0.0)),
    )
