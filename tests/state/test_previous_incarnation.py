"""Tests of the table of keys that earlier incarnations of a node have run."""

from __future__ import annotations

import pytest

from shelfhaven.lab.state_node import LEGACY_DIGEST, key
from shelfhaven.server.key_digests import UNKNOWN_LOCATION
from shelfhaven.server.messages import PreviousKey
from shelfhaven.state.previous_incarnation import PreviousIncarnation


def test_recorded_keys_are_found_until_they_expire_and_others_while_they_are_uncertain() -> None:
    previous = PreviousIncarnation()
    assert previous.uncertain_for(5.0) == float("inf")
    for number in range(0, 1000, 2):
        previous.add(key(number), 100.0 + number)
    previous.mark_loaded(30.0)
    assert (previous.uncertain_for(10.0), previous.uncertain_for(31.0)) == (20.0, 0.0)
    assert previous.find(50.0, key(4), (LEGACY_DIGEST,), 8.0) == [PreviousKey(54.0, key(4))]
    assert previous.find(50.0, key(5), (LEGACY_DIGEST,), 8.0) == []
    assert previous.find(50.0, key(1001), (LEGACY_DIGEST,), 8.0) == []
    assert previous.find(200.0, key(4), (LEGACY_DIGEST,), 8.0) == []
    assert previous.find(10.0, key(4), (LEGACY_DIGEST,), 8.0) == [PreviousKey(94.0, key(4))]
    assert previous.find(10.0, key(5), (LEGACY_DIGEST,), 8.0) == [
        PreviousKey(8.0, b"")
    ], "an uncertain key counts for its TTL at most"
    assert previous.find(31.0, key(5), (LEGACY_DIGEST,), 8.0) == []
    previous.forget_expired(1000.0)
    assert previous.find(1000.0, key(998), (LEGACY_DIGEST,), 8.0) == [PreviousKey(98.0, key(998))]
    previous.forget_expired(1100.0)
    assert not previous.prefixes


NAME, OTHER_NAME = b"n" * 16, b"o" * 16
LOCATION, OTHER_LOCATION = b"l" * 8, b"m" * 8
LEGACY = b"e" * 16
EARLIER_LOCATION = b"p" * 8  # as an earlier version made it for the same request
EARLIER = NAME + EARLIER_LOCATION


@pytest.mark.parametrize(
    ("recorded", "asked", "found"),
    [
        ([NAME + LOCATION], NAME + UNKNOWN_LOCATION, [NAME + LOCATION]),
        ([NAME + UNKNOWN_LOCATION], NAME + LOCATION, [NAME + UNKNOWN_LOCATION]),
        ([NAME + LOCATION], NAME + OTHER_LOCATION, []),
        ([NAME + LOCATION], OTHER_NAME + LOCATION, []),
        ([NAME + LOCATION, NAME + OTHER_LOCATION], NAME + OTHER_LOCATION, [NAME + OTHER_LOCATION]),
        (
            [NAME + LOCATION, NAME + OTHER_LOCATION],
            NAME + UNKNOWN_LOCATION,
            [NAME + LOCATION, NAME + OTHER_LOCATION],
        ),
        ([NAME + UNKNOWN_LOCATION, NAME + LOCATION], NAME + LOCATION, [NAME + LOCATION]),
        ([LEGACY], NAME + LOCATION, [LEGACY]),
        ([EARLIER], NAME + LOCATION, [EARLIER]),
        ([EARLIER], NAME + UNKNOWN_LOCATION, [EARLIER]),
        ([EARLIER, NAME + OTHER_LOCATION], NAME + UNKNOWN_LOCATION, [EARLIER]),
    ],
)
def test_a_key_is_found_by_what_both_attempts_convey(
    recorded: list[bytes], asked: bytes, found: list[bytes]
) -> None:
    previous = PreviousIncarnation()
    for digest in sorted(recorded):
        previous.add(digest, 100.0)
    previous.mark_loaded(0.0)
    assert [item.digest for item in previous.find(10.0, asked, (EARLIER, LEGACY), 8.0)] == found
    assert previous.find(100.0, asked, (EARLIER, LEGACY), 8.0) == []
