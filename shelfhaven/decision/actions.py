"""Actions that a controller asks its host to carry out.

This module defines data types only.  Times are in seconds; request ids are those of the events.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class StartRun:
    """Start a queued request, or resume a suspended one."""

    request_id: int


@dataclass(frozen=True, slots=True)
class StopRun:
    """Stop a running request in the way that `Settings.cancel_mode` gives."""

    request_id: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Send the final answer that the request was not executed.

    `retry_after` tells the caller when to come back; `no_retry_elsewhere` that another server would be of no
    use either.
    """

    request_id: int
    retry_after: float = 0.0
    no_retry_elsewhere: bool = False


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Send an error as the final answer; the request may or may not have had its effect."""

    request_id: int


@dataclass(frozen=True, slots=True)
class RetainKey:
    """Keep the request's idempotency key in the key table for `ttl` seconds."""

    request_id: int
    ttl: float


@dataclass(frozen=True, slots=True)
class ReleaseKey:
    """Remove the request's idempotency key from the key table."""

    request_id: int


@dataclass(frozen=True, slots=True)
class AnswerFromOriginal:
    """Answer a duplicate with the result of its original."""

    request_id: int


@dataclass(frozen=True, slots=True)
class PlaceCall:
    """Place the downstream call that the request waits for.

    Where `timeout` is None, the deadline of the request's class limits the call.
    """

    request_id: int
    timeout: float | None


@dataclass(frozen=True, slots=True)
class SkipCall:
    """Continue the request without its downstream call."""

    request_id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send a `TimerFired` event with this token after `delay` seconds.

    Where `request_id` is given, the host may drop the timer once that request is finished.
    """

    delay: float
    token: int
    request_id: int | None = None


@dataclass(frozen=True, slots=True)
class SetHealth:
    """Set the result of health checks from now on; if `cached`, the host does no work for each check."""

    healthy: bool
    cached: bool = True


@dataclass(frozen=True, slots=True)
class AdvertiseLoad:
    """Attach this load value to every later answer."""

    value: float


@dataclass(frozen=True, slots=True)
class SetIdleTimeout:
    """Close connections that have been idle for `timeout` seconds; None restores the site's default."""

    timeout: float | None


Action: TypeAlias = (
    StartRun
    | StopRun
    | RejectRequest
    | FailRequest
    | RetainKey
    | ReleaseKey
    | AnswerFromOriginal
    | PlaceCall
    | SkipCall
    | SetTimer
    | SetHealth
    | AdvertiseLoad
    | SetIdleTimeout
)
