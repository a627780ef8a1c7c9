"""Registration of this node on the endpoint list, under a lease that it renews.

Once a node is ready, it registers in its slot. It renews the lease several times per TTL, and registers again
if the lease no longer exists or its TTL has become too short for the size of the fleet. This module does no
I/O and reads no clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from shelfhaven.membership.messages import (
    Action,
    DeregisterSelf,
    LeaseRenewalAnswered,
    ListOperation,
    RegisterSelf,
    RenewLease,
    SelfRegistered,
)
from shelfhaven.membership.service_quota import (
    REGISTRATION_SHARE,
    RENEWALS_PER_LEASE,
    REQUESTS_PER_REGISTRATION,
    ServiceQuota,
)

# The node requests a new lease once the fleet's size requires a TTL longer than this multiple of the current
# one.
LEASE_OUTGROWN_FACTOR = 2.0


class RegistrationState(Enum):
    """State of the node's registration. The values appear in the log."""

    NOT_READY = "unready"
    WAITING_FOR_SLOT = "waiting"
    REGISTERING = "asking"
    REGISTERED = "listed"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class RegistrationLease:
    """The lease of the registration."""

    lease_id: int
    ttl: float
    expires_at: float


class Registration:
    """State machine of a node's registration."""

    def __init__(self, quota: ServiceQuota) -> None:
        self.quota = quota
        self.state = RegistrationState.NOT_READY
        self.lease: RegistrationLease | None = None
        self.register_at = math.inf
        self.renew_at = math.inf
        self.renewing = False
        self.requested_at = 0.0  # when the node last requested the lease or its renewal

    @property
    def registered(self) -> bool:
        """Whether the node is on the list, as far as it knows."""
        return self.state is RegistrationState.REGISTERED

    def node_ready(self, now: float) -> None:
        """Plan the registration of a node that became ready."""
        if self.state is RegistrationState.NOT_READY:
            self._wait_for_slot(now)

    def completed(self, event: SelfRegistered) -> None:
        """Handle a completed registration."""
        self.quota.succeeded()
        if self.state is RegistrationState.REGISTERING:
            self.state = RegistrationState.REGISTERED
            self._set_lease(event.lease_id, event.ttl)

    def renewal_answered(self, now: float, event: LeaseRenewalAnswered) -> None:
        """Handle the answer to a renewal: the lease was renewed or no longer exists."""
        self.renewing = False
        self.quota.succeeded()
        if self.lease is None or not self.registered:
            return
        outgrown = self.quota.lease_ttl() > LEASE_OUTGROWN_FACTOR * self.lease.ttl
        if event.lease_lost or outgrown:
            self._wait_for_slot(now)
        else:
            self._set_lease(self.lease.lease_id, self.lease.ttl)

    def request_failed(self, now: float, operation: ListOperation) -> None:
        """Plan to repeat a failed registration or renewal after the backoff, which the caller has started."""
        if operation is ListOperation.REGISTER and self.state is RegistrationState.REGISTERING:
            self.state = RegistrationState.WAITING_FOR_SLOT
            self.register_at = self.quota.blocked_until
        elif operation is ListOperation.RENEW:
            self.renewing = False
            self.renew_at = self.quota.blocked_until
            if self.registered and self._lease_expired(now):
                self._wait_for_slot(now)

    def deregister(self, now: float, has_list_service: bool) -> list[Action]:
        """End the registration for good; return the request that removes it, if one can be sent."""
        registered = self.registered
        self.state = RegistrationState.LEFT
        if self.lease is None or not registered or not has_list_service:
            return []
        # Without quota the lease expires on its own, so that a whole fleet that leaves stays within its rate.
        return [DeregisterSelf(self.lease.lease_id)] if self.quota.try_take(now) else []

    def next_due(self) -> float:
        """Return when the next request is due, infinity if none is planned."""
        if self.state is RegistrationState.WAITING_FOR_SLOT:
            return self.register_at
        if self.registered and not self.renewing:
            return self.renew_at
        return math.inf

    def due_requests(self, now: float) -> list[Action]:
        """Return the requests that are due and, for a registration, within the quota."""
        actions: list[Action] = []
        if self.state is RegistrationState.WAITING_FOR_SLOT and now >= self.register_at:
            actions += self._register(now)
        if self.registered and self.lease and not self.renewing and now >= self.renew_at:
            self.renewing = True
            self.renew_at = math.inf
            self.requested_at = now
            actions.append(RenewLease(self.lease.lease_id))
        return actions

    def _register(self, now: float) -> list[Action]:
        if not self.quota.try_take(now):
            self.register_at = self.quota.time_of_next_token(now)
            return []
        self.state = RegistrationState.REGISTERING
        self.requested_at = now
        return [RegisterSelf(self.quota.lease_ttl())]

    def _set_lease(self, lease_id: int, ttl: float) -> None:
        """Set the lease; its TTL counts from the request, not from the answer."""
        self.lease = RegistrationLease(lease_id, ttl, self.requested_at + ttl)
        self.renew_at = self.requested_at + ttl / RENEWALS_PER_LEASE

    def _lease_expired(self, now: float) -> bool:
        return self.lease is None or now >= self.lease.expires_at

    def _wait_for_slot(self, now: float) -> None:
        self.state = RegistrationState.WAITING_FOR_SLOT
        self.renew_at = math.inf
        window = self.quota.window(REGISTRATION_SHARE, REQUESTS_PER_REGISTRATION)
        self.register_at = self.quota.slot(now, "listing", window)
