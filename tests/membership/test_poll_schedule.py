"""Slots, token buckets and backoff."""

from __future__ import annotations

from random import Random

import pytest

from shelfhaven.membership.poll_schedule import Backoff, TokenBucket, next_slot
from shelfhaven.routing.hash_spread import hash_fraction


def test_the_slots_of_a_fleet_are_spread_evenly_over_one_window() -> None:
    window, now = 20.0, 1e9 + 7.3
    slots = sorted(next_slot(f"n{n}", "read", now, window) - now for n in range(2000))
    assert slots[0] >= 0
    assert slots[-1] < window
    for tenth in range(10):
        assert 150 < sum(tenth * 2 <= slot < (tenth + 1) * 2 for slot in slots) < 250


def test_a_node_keeps_its_slot_and_gets_one_per_window() -> None:
    first = next_slot("n1", "listing", 1000.0, 60.0)
    for later in (1000.5, 1013.0, first - 0.001, first):
        assert next_slot("n1", "listing", later, 60.0) == first
    assert next_slot("n1", "listing", first + 0.001, 60.0) == first + 60.0
    assert hash_fraction("n1", "a") != hash_fraction("n1", "b")


def test_a_token_bucket_fills_at_its_rate_up_to_its_capacity() -> None:
    bucket = TokenBucket()
    assert bucket.try_take(0.0, 0.5)
    assert not bucket.try_take(1.0, 0.5)
    assert bucket.time_until_token(0.5) == pytest.approx(1.0)
    assert bucket.try_take(2.1, 0.5)
    assert [bucket.try_take(1000.0, 0.5) for _ in range(3)] == [True, True, False]


def test_delays_are_drawn_from_a_growing_span_after_the_retry_after() -> None:
    random = Random(3)
    backoff = Backoff()
    delays = [backoff.next_delay(random, 0.0, retry_after=5.0) for _ in range(30)]
    assert all(5.0 <= delay <= 65.0 for delay in delays)
    assert max(delays[:3]) < 9.1
    assert max(delays[8:]) - min(delays[8:]) > 30.0
    backoff.reset()
    assert backoff.next_delay(random, 0.0) <= 1.0
