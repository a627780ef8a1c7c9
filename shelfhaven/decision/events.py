"""Events that the host of a controller reports to it.

This module defines data types only.  Times are seconds on the host's clock, memory is in kilobytes, and
request ids are opaque numbers.  An optional value is None if the caller did not send it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from shelfhaven.decision.settings import Outcome


@dataclass(frozen=True, slots=True)
class ServerStarted:
    """The process has started."""


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request has been read and must get exactly one final answer.

    Attributes:
        budget: seconds that its caller still waits.
        age: seconds since the request reached this machine.
        work_hint: the work that its caller expects it to need.
        original_id: id of the retained request of which it is a duplicate.
        start_within: seconds from now within which its run must start.
    """

    request_id: int
    class_index: int
    caller: int
    footprint_kb: float
    tenant: int = 0
    budget: float | None = None
    age: float = 0.0
    work_hint: float | None = None
    original_id: int | None = None
    is_retry: bool = False
    priority: float = 0.0
    partition_key: int = 0
    start_within: float | None = None


@dataclass(frozen=True, slots=True)
class RunFinished:
    """A run, or the wait of a duplicate for its original's answer, has ended.

    `retry_after` is set if something other than load kept the run from starting: seconds until its runner may
    accept it.
    """

    request_id: int
    outcome: Outcome
    duration: float
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class CallNeeded:
    """A running request needs a downstream call; it uses no core while it waits."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CallFinished:
    """A downstream call has ended; only after `Outcome.OK` does the request continue without an action."""

    request_id: int
    outcome: Outcome
    duration: float


@dataclass(frozen=True, slots=True)
class CallReplyUnconfirmed:
    """The reply to a call may not have reached its run, which may thus still wait for it.

    The reply cannot be sent again, as the run may have got it and may wait for the reply to its next call.
    """

    request_id: int


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The caller has stopped waiting; the request needs no answer any more."""

    request_id: int


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """The server starts to drain; the process will be stopped after `time_left` seconds.

    `elapsed`: seconds since the notice, from which the grace counts.
    """

    time_left: float
    elapsed: float = 0.0


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by the controller has expired; `gauges` holds values in the order of `Settings.gauges`."""

    token: int
    gauges: tuple[float, ...] = ()


Event: TypeAlias = (
    ServerStarted
    | RequestArrived
    | RunFinished
    | CallNeeded
    | CallFinished
    | CallReplyUnconfirmed
    | RequestCancelled
    | DrainStarted
    | TimerFired
)
