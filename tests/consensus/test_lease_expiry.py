"""Leases expire by the clock of an observer, which must have seen no renewal for their full TTL."""

from __future__ import annotations

from shelfhaven.consensus.commands import ExpireLease
from shelfhaven.consensus.lease_expiry import LeaseExpiryObserver
from shelfhaven.consensus.state_machine import Lease


def test_a_lease_expires_after_its_ttl_without_an_observed_renewal() -> None:
    observer = LeaseExpiryObserver()
    leases = {1: Lease(10.0, 0)}
    assert observer.observe(0.0, leases) == []
    assert observer.observe(10.5, leases) == []
    leases[1].beat = 1
    assert observer.observe(10.9, leases) == [], "the lease was renewed"
    assert observer.observe(21.0, leases) == []
    assert LeaseExpiryObserver().observe(22.0, leases) == [], "a new observer waits for the full TTL"
    assert observer.observe(22.0, leases) == [ExpireLease(1, 1)]
    assert observer.observe(23.0, {}) == []
    assert observer.observations == {}
