"""The baseline of the membership simulation: every node polls the list service at once.

It polls no peer, has no quota, holds a watch, and comes back after failures at doubled intervals.
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
    """No quota, no slots, and retries without jitter."""

    def slot(self, now: float, purpose: str, window: float) -> float:
        """At once."""
        del purpose, window
        return now

    def try_take(self, now: float) -> bool:
        """Always."""
        del now
        return True

    def lease_ttl(self) -> float:
        """The shortest, however large the fleet."""
        return self.fleet.settings.min_lease

    def back_off(self, now: float, retry_after: float | None) -> None:
        """Double the delay, whatever the service asks for."""
        del retry_after
        self.backoff.failures += 1
        self.blocked_until = now + min(MAX_RETRY_S, FIRST_RETRY_S * 2.0**self.backoff.failures)

    def succeeded(self) -> None:
        """The delay keeps growing."""


class NoPolling(PeerPolling):
    """No peer is ever polled."""

    def delay_first_poll(self, now: float) -> None:
        """Never."""
        super().delay_first_poll(now)
        self.due_at = math.inf


class EagerWatch(ListWatch):
    """Every registered node holds a watch, and reads at once while it has no list."""

    def plan_read(self, now: float) -> None:
        """At once, or when the list is stale."""
        has_list = bool(self.fleet.endpoint_list.version.store)
        self.read_at = now + self.fleet.settings.stale_after if has_list else now

    def should_watch(self, registered: bool) -> bool:
        """Whatever the rank."""
        return registered


class NaiveMember(Member):
    """A member without quota, peer polling and watch ranking."""

    quota_type = UnlimitedQuota
    polling_type = NoPolling
    watch_type = EagerWatch
