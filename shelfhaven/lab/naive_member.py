"""Baseline of the membership simulation: every node reads the list from the list service at once.

Naive members do not poll peers and have no request quota. Each registered one holds a watch, and the retry
delay after failures is doubled each time.
"""

from __future__ import annotations

import math

from shelfhaven.membership.list_watch import ListWatch
from shelfhaven.membership.member import Member
from shelfhaven.membership.peer_polling import PeerPolling
from shelfhaven.membership.service_quota import ServiceQuota

FIRST_RETRY_S = 0.1
MAX_RETRY_S = 30.0


class UnlimitedQuota(ServiceQuota):
    """Unlimited requests without time slots, and retries without jitter."""

    def slot(self, now: float, purpose: str, window: float) -> float:
        """Return the current time, so that requests are sent at once."""
        del purpose, window
        return now

    def try_take(self, now: float) -> bool:
        """Return True: there is no quota."""
        del now
        return True

    def lease_ttl(self) -> float:
        """Return the shortest TTL for any size of the fleet."""
        return self.fleet.settings.min_lease

    def back_off(self, now: float, retry_after: float | None) -> None:
        """Double the retry delay up to `MAX_RETRY_S`; the service's Retry-After is ignored."""
        del retry_after
        self.backoff.failures += 1
        self.blocked_until = now + min(MAX_RETRY_S, FIRST_RETRY_S * 2.0**self.backoff.failures)

    def succeeded(self) -> None:
        """Do nothing: the retry delay is not reset after a success."""


class NoPolling(PeerPolling):
    """Never polls a peer."""

    def delay_first_poll(self, now: float) -> None:
        """Set the first poll to infinity, i.e. never."""
        super().delay_first_poll(now)
        self.due_at = math.inf


class EagerWatch(ListWatch):
    """Holds a watch on every registered node and reads at once while the node has no list."""

    def plan_read(self, now: float) -> None:
        """Schedule a read: at once without a list, otherwise when the list becomes stale."""
        has_list = bool(self.fleet.endpoint_list.version.store)
        self.read_at = now + self.fleet.settings.stale_after if has_list else now

    def should_watch(self, registered: bool) -> bool:
        """Return True for every registered node, regardless of its rank."""
        return registered


class NaiveMember(Member):
    """A member without a request quota, peer polling and the ranking of watching nodes."""

    quota_type = UnlimitedQuota
    polling_type = NoPolling
    watch_type = EagerWatch
