"""State of one backend of a pool.

This module only holds data: `outlier_detection.py` decides on the state of a backend, `pool.py` on the
attempts that are sent to it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from shelfhaven.routing.adaptive_limit import AdaptiveLimit


class BackendState(Enum):
    """Which attempts are sent to a backend. The values appear in the log."""

    IN_USE = "in use"
    SLOW_START = "rising"  # in use, up to a growing fraction of its limit
    EJECTED = "out"  # no attempts until the ejection ends
    HEALTH_CHECK = "trial"  # one attempt at a time, until a result decides on the next state
    DRAINING = "leaving"  # no new attempts; removed when the last attempt ends


ACTIVE_STATES = (BackendState.IN_USE, BackendState.SLOW_START)


class AttemptSignal(Enum):
    """What the end of an attempt indicates about the health of its backend."""

    SUCCESS = "success"
    FAILURE = "failure"  # the connection broke, the backend failed, or the attempt timed out
    REJECTED = "rejected"  # the backend answered that it has no capacity
    UNREACHABLE = "unreachable"  # no connection was established
    NONE = "none"  # abandoned by this node, which indicates nothing about the backend


OVERLOAD_SIGNALS = (AttemptSignal.FAILURE, AttemptSignal.REJECTED)


@dataclass(frozen=True, slots=True)
class BackendChange:
    """A change of a backend's state, for the log."""

    backend: str
    state: BackendState
    reason: str


@dataclass(frozen=True, slots=True)
class InFlightAttempt:
    """An attempt that has not ended.

    Attributes:
        started_at: time at which it started.
        class_name: class of its run.
        concurrency: attempts in flight at the backend when it started, including itself.
    """

    started_at: float
    class_name: str
    concurrency: int


@dataclass(slots=True)
class Backend:
    """State of one backend; times are in seconds, on the pool's clock.

    Attributes:
        name: address or name, unique in the pool.
        limit: concurrency limit.
        state: which attempts are sent to the backend.
        state_since: time at which the backend entered the state.
        ejected_until: end of the last ejection.
        in_flight: attempts in flight by number, oldest first.
        consecutive_failures: failures since the last success.
        ejections: recent ejections; each doubles the duration of the next, and time in use reduces the count.
        relative_latency: mean latency in units of the typical latency of the class.
        latency_samples: successes that contributed to that mean.
        last_result_at: time of the last result that indicated the backend's health.
        health_check_attempt: number of the attempt that is the health check, if one is in flight.
    """

    name: str
    limit: AdaptiveLimit
    state: BackendState = BackendState.IN_USE
    state_since: float = 0.0
    ejected_until: float = 0.0
    in_flight: dict[int, InFlightAttempt] = field(default_factory=dict)
    consecutive_failures: int = 0
    ejections: int = 0
    relative_latency: float = 1.0
    latency_samples: int = 0
    last_result_at: float = 0.0
    health_check_attempt: int | None = None

    @property
    def is_active(self) -> bool:
        """Whether attempts are sent to the backend, up to its limit."""
        return self.state in ACTIVE_STATES

    def oldest_attempt(self) -> InFlightAttempt:
        """The attempt that has been in flight longest; at least one must be in flight."""
        return next(iter(self.in_flight.values()))
