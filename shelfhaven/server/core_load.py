"""The core's fields of the periodic log line.

Operators' tools read these field names, so they must not change.
"""

from __future__ import annotations

from typing import TypedDict

from shelfhaven.decision.estimates import ControllerStatus
from shelfhaven.server.key_table import KeyTable


class EstimatesLoad(TypedDict):
    """The controller's estimates."""

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
    """Return the controller's estimates and the load value that answers advertise."""
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
    """Return the number of keys and the number of results stored for them."""
    return {"keys": len(table), "results": len(table.results)}
