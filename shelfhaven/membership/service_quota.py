"""A node's share of the request rate that the whole fleet may send to the list service.

The configured rate is divided among reads, registrations and renewals, and evenly among the nodes. A node's
share decreases as the fleet grows, so that a fleet of any size stays within the rate. This module does no I/O
and reads no clock. It gets the wall clock time of its start as an argument, and uses it only for slots.
"""

from __future__ import annotations

from shelfhaven.membership.fleet_view import FleetView
from shelfhaven.membership.poll_schedule import Backoff, TokenBucket, next_slot

# Fractions of the configured rate. Registrations get the most: a cold start consists mainly of them.
READ_SHARE = 0.05
REGISTRATION_SHARE = 0.7
RENEWAL_SHARE = 0.25

REQUESTS_PER_REGISTRATION = 2.0  # a lease grant and a put
RENEWALS_PER_LEASE = 3.0  # per TTL, so that two may be lost
TOKEN_WAIT_SPREAD = 0.5  # maximum random addition to the wait for a token, as a fraction of the wait
WAKE_MARGIN_S = 0.001  # added to a time so that rounding does not wake the node just before it


class ServiceQuota:
    """Limits this node's requests to the list service, and backs off after failures."""

    def __init__(self, fleet: FleetView, now: float, unix_time: float) -> None:
        self.fleet = fleet
        self.bucket = TokenBucket(updated_at=now)
        self.backoff = Backoff()
        self.blocked_until = now  # no request is sent earlier
        self._unix_offset = unix_time - now

    def window(self, share: float, requests: float = 1.0) -> float:
        """Return the seconds over which the fleet spreads an operation that each node performs once.

        Args:
            share: Fraction of the configured rate for this operation.
            requests: Requests per node.
        """
        return self.fleet.size() * requests / (self.fleet.settings.max_requests_per_s * share)

    def slot(self, now: float, purpose: str, window: float) -> float:
        """Return this node's next slot for a purpose, on the clock of `now`."""
        unix_time = now + self._unix_offset
        return next_slot(self.fleet.identity.name, purpose, unix_time, window) - self._unix_offset

    def try_take(self, now: float) -> bool:
        """Take one request from the quota, if one is available."""
        return self.bucket.try_take(now, self._requests_per_s())

    def time_of_next_token(self, now: float) -> float:
        """Return when a request is available, with a random delay so that nodes do not stay synchronized."""
        wait = self.bucket.time_until_token(self._requests_per_s())
        return now + wait * (1 + TOKEN_WAIT_SPREAD * self.fleet.random.random()) + WAKE_MARGIN_S

    def lease_ttl(self) -> float:
        """Return a TTL at which the renewals of the whole fleet stay within their share of the rate."""
        return max(self.fleet.settings.min_lease, RENEWALS_PER_LEASE * self.window(RENEWAL_SHARE))

    def back_off(self, now: float, retry_after: float | None) -> None:
        """After a failure, block requests for a random time from a span of at least the fleet's window."""
        min_span = self.window(READ_SHARE + REGISTRATION_SHARE)
        delay = self.backoff.next_delay(self.fleet.random, min_span, retry_after)
        self.blocked_until = max(self.blocked_until, now + delay)

    def succeeded(self) -> None:
        """Reset the backoff after the list service has answered a request."""
        self.backoff.reset()

    def service_moved(self, now: float) -> None:
        """Discard backoff and blocking, which the previous endpoints of the list service caused."""
        self.backoff.reset()
        self.blocked_until = now

    def _requests_per_s(self) -> float:
        return self.fleet.settings.max_requests_per_s / self.fleet.size()
