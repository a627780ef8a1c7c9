"""Requests, renews and revokes the node's lease, to which all tasks that it leads are bound.

The duration of a lease is counted from the time when its request was sent and never from the answer, because
the store may have granted the lease at any time in between. A fraction of the duration is deducted for clocks
that run at different rates, and a safety margin on top.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from shelfhaven.election.elector_state import RENEWALS_PER_LEASE, ElectorState
from shelfhaven.election.messages import (
    LeaseGranted,
    LeaseRenewalFailed,
    LeaseRenewed,
    RenewLease,
    RequestLease,
    RevokeLease,
)

RETRIES_PER_LEASE = 10.0  # upper bound of the retries of failed renewals within one lease duration
IDLE_LEASE_DURATIONS = 3.0  # lease durations after which an unused lease is revoked


@dataclass(slots=True)
class NodeLease:
    """The lease of a node, and whether a request for it is pending."""

    id: int | None = None
    ttl: float = 0.0
    requested_at: float = 0.0  # when the last successful request or renewal was sent
    pending_since: float = 0.0  # when the pending request was sent
    pending: bool = False
    renew_at: float = math.inf
    idle_since: float = math.inf


class LeaseUpkeep:
    """Requests, renews and revokes the lease."""

    def __init__(self, state: ElectorState) -> None:
        self.state = state
        self.lease = NodeLease()

    def safe_until(self) -> float:
        """Return the time, by this node's clock, until which the lease certainly lasts."""
        lease, settings = self.lease, self.state.settings
        if lease.id is None:
            return -math.inf
        return lease.requested_at + lease.ttl * (1 - settings.clock_drift) - settings.safety_margin

    def is_safe(self, now: float) -> bool:
        """Whether the lease is certain to be still valid."""
        return now < self.safe_until()

    def next_renewal(self) -> float:
        """Return when the lease is to be renewed or, if unused, revoked."""
        if self.lease.id is None or self.lease.pending:
            return math.inf
        return self.lease.renew_at

    def request(self, now: float) -> None:
        """Request a lease, unless there is one or a request is pending."""
        if self.lease.id is not None or self.lease.pending:
            return
        self._mark_request_sent(now)
        self.state.emit(RequestLease(self.state.lease_duration()))

    def granted(self, now: float, answer: LeaseGranted) -> None:
        """Start using a new lease; a draining node revokes it instead."""
        self.lease.pending = False
        if self.state.draining:
            self.state.emit(RevokeLease(answer.lease_id))
            return
        self.lease.id = answer.lease_id
        self._extend(answer.ttl)
        self.lease.idle_since = now

    def request_failed(self) -> None:
        """Allow another request after one has failed."""
        self.lease.pending = False

    def renewed(self, answer: LeaseRenewed) -> None:
        """Extend the lease, counted from when its renewal was sent."""
        self.lease.pending = False
        self._extend(answer.ttl)

    def renewal_failed(self, now: float, failure: LeaseRenewalFailed) -> None:
        """Schedule the next renewal after a failed one."""
        self.lease.pending = False
        min_delay = self.lease.ttl / RETRIES_PER_LEASE
        self.lease.renew_at = (
            now + (failure.retry_after or 0.0) + min_delay * (1 + self.state.random.random())
        )

    def renew_or_revoke(self, now: float) -> None:
        """Renew the lease if that is due, or revoke it if it has been unused for long."""
        lease = self.lease
        if lease.id is None or now < self.next_renewal():
            return
        in_use = any(task.is_owned_or_acquiring for task in self.state.active_tasks())
        if not in_use and (self.state.draining or now - lease.idle_since >= IDLE_LEASE_DURATIONS * lease.ttl):
            self.state.emit(RevokeLease(lease.id))
            self.forget()
            return
        self._mark_request_sent(now)
        self.state.emit(RenewLease(lease.id))

    def mark_idle(self, now: float) -> None:
        """Record that no task is bound to the lease from now on."""
        self.lease.idle_since = now

    def forget(self) -> None:
        """Drop the lease and any pending request for it."""
        self.lease = NodeLease()

    def _mark_request_sent(self, now: float) -> None:
        self.lease.pending = True
        self.lease.pending_since = now

    def _extend(self, ttl: float) -> None:
        lease = self.lease
        lease.ttl = ttl
        lease.requested_at = lease.pending_since
        lease.renew_at = lease.requested_at + lease.ttl / RENEWALS_PER_LEASE
