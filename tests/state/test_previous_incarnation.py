"""Tests of the table of keys that earlier incarnations of a node have run."""

from __future__ import annotations

from shelfhaven.lab.state_node import key
from shelfhaven.server.messages import PreviousKey
from shelfhaven.state.previous_incarnation import PreviousIncarnation


def test_recorded_keys_are_found_until_they_expire_and_others_while_they_are_uncertain() -> None:
    previous = PreviousIncarnation()
    assert previous.uncertain_for(5.0) == float("inf")
    for number in range(0, 1000, 2):
        previous.add(key(number), 100.0 + number)
    previous.mark_loaded(30.0)
    assert (previous.uncertain_for(10.0), previous.uncertain_for(31.0)) == (20.0, 0.0)
    assert previous.remaining(50.0, key(4)) == 54.0
    assert previous.remaining(50.0, key(5)) == previous.remaining(50.0, key(1001)) == 0.0
    assert previous.remaining(200.0, key(4)) == 0.0
    assert previous.find(10.0, key(4), 8.0) == PreviousKey(94.0, True)
    assert previous.find(10.0, key(5), 8.0) == PreviousKey(
        8.0, False
    ), "an uncertain key counts for its TTL at most"
    assert previous.find(31.0, key(5), 8.0) is None
    previous.forget_expired(1000.0)
    assert previous.remaining(1000.0, key(998)) == 98.0
    previous.forget_expired(1100.0)
    assert not previous.prefixes
