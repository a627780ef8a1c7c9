"""Fields of the periodic log line that the core contributes.

The names are read by operators' tools and stay as they are.
"""

from __future__ import annotations

from typing import TypedDict

from shelfhaven.decision.estimates import ControllerStatus
from shelfhaven.server.key_table import KeyTable


class EstimatesLoad(TypedDict):
    """What the controller believes."""

    share: float
    wait: float
    cap: float
    lag: float
    warmth: float
    idle: float
    callers: int
    top: float
    published: float | None


class KeyTableLoad(TypedDict):
    """Sizes of the key table."""

    keys: int
    results: int


def estimates_load(status: ControllerStatus, advertised_load: float | None) -> EstimatesLoad:
    """The controller's estimates, and the load level that goes out with answers."""
    return {
        "share": round(status.admitted_share, 3),
        "wait": round(status.relative_queue_wait, 3),
        "cap": round(status.concurrency_limit, 3),
        "lag": round(status.event_loop_lag, 3),
        "warmth": round(status.warm_up_progress, 3),
        "idle": round(status.idle_fraction, 3),
        "callers": status.callers,
        "top": round(status.heaviest_caller_share, 3),
        "published": advertised_load,
    }


def key_table_load(table: KeyTable) -> KeyTableLoad:
    """The number of keys, and of results that are kept for them."""
    return {"keys": len(table), "results": len(table.results)}
