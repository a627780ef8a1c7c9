"""Registration under a lease: request, renewal, loss and removal."""

from __future__ import annotations

import math
from random import Random

import pytest

from shelfhaven.membership.fleet_view import FleetView
from shelfhaven.membership.messages import (
    DeregisterSelf,
    LeaseRenewalAnswered,
    ListOperation,
    RegisterSelf,
    RenewLease,
    SelfRegistered,
)
from shelfhaven.membership.node_identity import NodeIdentity
from shelfhaven.membership.registration import Registration, RegistrationState
from shelfhaven.membership.service_quota import RENEWAL_SHARE, RENEWALS_PER_LEASE, ServiceQuota
from tests.membership.fixtures import settings


def new_registration(nodes: int = 10) -> Registration:
    fleet = FleetView(settings(nodes), NodeIdentity("n1", "z", "r", "a1"), Random(1))
    return Registration(ServiceQuota(fleet, 0.0, 1e9))


def registered_node(now: float = 0.0, ttl: float = 12.0) -> Registration:
    registration = new_registration()
    registration.node_ready(now)
    registration.register_at = now
    (request,) = registration.due_requests(now)
    assert isinstance(request, RegisterSelf)
    registration.completed(SelfRegistered(7, ttl))
    return registration


def test_nothing_is_requested_before_the_node_is_ready() -> None:
    registration = new_registration()
    assert registration.next_due() == math.inf
    assert registration.due_requests(1e6) == []
    registration.node_ready(5.0)
    assert registration.state is RegistrationState.WAITING_FOR_SLOT
    assert registration.next_due() >= 5.0


def test_without_quota_the_registration_waits_for_a_token() -> None:
    registration = new_registration()
    registration.node_ready(0.0)
    registration.register_at = 0.0
    assert registration.quota.try_take(0.0)
    assert registration.due_requests(0.0) == []
    assert registration.register_at > 0.0
    assert registration.state is RegistrationState.WAITING_FOR_SLOT


def test_a_lease_is_renewed_several_times_per_ttl() -> None:
    registration = registered_node(ttl=12.0)
    assert registration.next_due() == pytest.approx(12.0 / RENEWALS_PER_LEASE)
    assert registration.due_requests(3.9) == []
    assert registration.due_requests(4.0) == [RenewLease(7)]
    assert registration.due_requests(8.0) == [], "one renewal at a time"
    registration.renewal_answered(5.0, LeaseRenewalAnswered())
    assert registration.lease is not None
    assert registration.lease.expires_at == 16.0, "the TTL counts from the request"


def test_a_lost_lease_is_requested_again() -> None:
    registration = registered_node()
    registration.due_requests(4.0)
    registration.renewal_answered(5.0, LeaseRenewalAnswered(lease_lost=True))
    assert registration.state is RegistrationState.WAITING_FOR_SLOT


def test_a_node_requests_a_longer_lease_once_the_fleet_has_outgrown_it() -> None:
    registration = registered_node(ttl=1.0)
    registration.due_requests(0.5)
    registration.renewal_answered(0.6, LeaseRenewalAnswered())
    assert registration.state is RegistrationState.WAITING_FOR_SLOT
    large_fleet = new_registration(nodes=10_000)
    assert large_fleet.quota.lease_ttl() == RENEWALS_PER_LEASE * large_fleet.quota.window(RENEWAL_SHARE)


def test_a_failed_renewal_is_repeated_until_the_lease_expires() -> None:
    registration = registered_node(ttl=12.0)
    registration.due_requests(4.0)
    registration.quota.back_off(5.0, 2.0)
    registration.request_failed(5.0, ListOperation.RENEW)
    assert registration.registered
    assert registration.next_due() == registration.quota.blocked_until >= 7.0
    registration.due_requests(registration.next_due())
    registration.request_failed(12.0, ListOperation.RENEW)
    assert registration.state is RegistrationState.WAITING_FOR_SLOT


def test_deregistration_revokes_the_lease_within_the_quota_and_only_with_a_list_service() -> None:
    assert registered_node().deregister(5.0, has_list_service=True) == [DeregisterSelf(7)]
    assert registered_node().deregister(5.0, has_list_service=False) == []
    assert new_registration().deregister(5.0, has_list_service=True) == []
    assert (
        registered_node().deregister(0.0, has_list_service=True) == []
    ), "without quota the lease expires on its own"
