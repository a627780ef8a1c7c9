"""Disk health, and how keyed requests are handled while the disk is slow, full or failing.

Tracks the state of the disk from the start times and results of commits that its caller reports. It does no
I/O and reads no clock.

Requests without an idempotency key are never affected. For keyed requests the operator chooses the handling
while the disk does not respond: `refuse` rejects them at once with a Retry-After; `go-on` runs them with
their keys kept in memory only, as a node without a key file does; `leave` rejects them and also fails health
checks, so that the node receives no requests.

After a failure the disk is retried with exponential backoff. No request waits for a retry.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

MIN_BACKOFF = 0.5  # seconds from a failure to the next attempt; doubles with each consecutive failure
MAX_BACKOFF = 30.0  # seconds
MAX_DOUBLINGS = 16  # the backoff is at its maximum long before; more could overflow
MIN_RETRY_AFTER = 0.5  # seconds
MAX_RETRY_AFTER = 30.0  # seconds


class DiskFault(Enum):
    """The fault that the last disk operation showed."""

    NONE = "none"
    FULL = "full"
    FAILING = "failing"  # an I/O error or a damaged file


class DegradedMode(Enum):
    """How keyed requests are handled while the disk does not respond."""

    REJECT = "refuse"
    RUN_WITHOUT_DISK = "go-on"
    FAIL_HEALTH_CHECKS = "leave"  # and reject requests


class DiskState(Enum):
    """State of the disk; the values are logged."""

    LOADING = "loading"  # the keys of earlier incarnations have not been read yet
    HEALTHY = "good"
    SLOW = "slow"  # a commit takes longer than a request may wait
    FULL = "full"
    FAILING = "failing"


@dataclass(frozen=True, slots=True)
class DiskSettings:
    """Limits on waiting for the disk, and the handling of requests when it does not respond.

    `max_wait`: the longest time in seconds that a request waits for a write; `max_queued_writes`: the queue
    length from which on no further keyed requests are accepted.
    """

    max_wait: float = 0.1
    max_queued_writes: int = 4096
    degraded_mode: DegradedMode = DegradedMode.REJECT


class DiskHealth:
    """Tracks the state of the disk that holds the key file."""

    def __init__(self, settings: DiskSettings) -> None:
        self.settings = settings
        self.loaded = False
        self.fault = DiskFault.NONE
        self.commit_started_at: float | None = None  # None while no commit is in progress
        self.consecutive_failures = 0
        self.retry_at = -math.inf

    def state(self, now: float) -> DiskState:
        """Return the state of the disk at `now`."""
        if self.fault is not DiskFault.NONE:
            return DiskState.FULL if self.fault is DiskFault.FULL else DiskState.FAILING
        if not self.loaded:
            return DiskState.LOADING
        if self.commit_started_at is None or now - self.commit_started_at <= self.settings.max_wait:
            return DiskState.HEALTHY
        return DiskState.SLOW

    def mark_loaded(self) -> None:
        """Note that all keys of earlier incarnations have been read."""
        self.loaded = True
        self.fault = DiskFault.NONE

    def commit_started(self, now: float) -> None:
        """Note that a commit has begun."""
        self.commit_started_at = now

    def operation_succeeded(self) -> None:
        """Note that a commit has succeeded: clear the fault and the backoff."""
        self.commit_started_at = None
        self.fault = DiskFault.NONE
        self.consecutive_failures = 0

    def operation_failed(self, now: float, fault: DiskFault) -> None:
        """Note that a commit or another operation has failed, and set the time of the next attempt."""
        self.commit_started_at = None
        self.fault = fault
        backoff = MIN_BACKOFF * 2.0 ** min(self.consecutive_failures, MAX_DOUBLINGS)
        self.retry_at = now + min(MAX_BACKOFF, backoff)
        self.consecutive_failures += 1

    def may_commit(self, now: float) -> bool:
        """Return whether a commit may begin, which is not the case during the backoff."""
        return self.fault is DiskFault.NONE or now >= self.retry_at

    def accepts_write(self, now: float, queued: int) -> bool:
        """Return whether a new write is likely to be on disk in time; `queued`: writes ahead of it."""
        return self.state(now) is DiskState.HEALTHY and queued < self.settings.max_queued_writes

    def retry_after(self, now: float) -> float:
        """Return the Retry-After for rejected requests, in seconds."""
        if self.fault is not DiskFault.NONE:
            seconds = self.retry_at - now
        elif self.commit_started_at is not None:
            seconds = now - self.commit_started_at  # expect the stall to last as long again
        else:
            seconds = MIN_RETRY_AFTER
        return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, seconds))

    def accepts_work(self, now: float) -> bool:
        """Return whether this node should receive requests.

        It should not while the keys of earlier incarnations are being read, nor while the disk is unhealthy
        if the operator chose `leave`.
        """
        state = self.state(now)
        if state is DiskState.LOADING:
            return False
        needs_healthy_disk = self.settings.degraded_mode is DegradedMode.FAIL_HEALTH_CHECKS
        return state is DiskState.HEALTHY or not needs_healthy_disk
