"""Events of a member: their names in the log."""

from __future__ import annotations

from typing import get_args

from shelfhaven.membership.messages import LOGGED_EVENT_NAMES, Event


def test_every_event_has_a_unique_name_in_the_log() -> None:
    assert LOGGED_EVENT_NAMES.keys() == set(get_args(Event))
    assert len(set(LOGGED_EVENT_NAMES.values())) == len(LOGGED_EVENT_NAMES)


def test_the_names_in_the_log_do_not_change() -> None:
    assert set(LOGGED_EVENT_NAMES.values()) == {
        "PeerTold", "PeerFailed", "PeerAsked", "ReadDone", "Watched", "WatchLost", "ServiceFailed",
        "Registered", "Renewed", "Ready", "Leave", "Moved",
    }  # fmt: skip
