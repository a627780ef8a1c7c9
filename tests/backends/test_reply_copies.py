"""Tests of telling a second copy of a ledger's reply from the reply to the next call."""

from __future__ import annotations

from shelfhaven.backends.reply_copies import (
    MAX_CALLS,
    RECENT_REPLIES,
    ConnectionHistory,
    RecentReplies,
    ReplyKind,
    kind_of,
)
from shelfhaven.protocol import http


def reply_kind(number: int) -> ReplyKind:
    """Return the kind of a reply whose body is a number."""
    return kind_of(http.Response(200, untouched=False, body=b"%d" % number))


def test_equal_replies_are_of_one_kind_and_others_are_not() -> None:
    """Guards against a reply that is taken for a copy although its status or body differs."""
    kinds = {
        kind_of(http.Response(status, untouched, body))
        for status in (200, 503)
        for untouched in (False, True)
        for body in (b"", b"done")
    }
    assert len(kinds) == 8
    assert reply_kind(1) == reply_kind(1)


def test_a_reply_is_distinctive_only_beside_others_that_differ() -> None:
    """Guards against reuse after a reply that another call may get too: its copy could not be told."""
    recent = RecentReplies()
    assert not recent.add(reply_kind(1)), "nothing is known of the ledger yet"
    assert recent.add(reply_kind(2))
    assert not recent.add(reply_kind(1))
    for number in range(3, 3 + RECENT_REPLIES):
        assert recent.add(reply_kind(number))
    assert recent.add(reply_kind(1)), "only the latest replies count"
    assert len(recent.kinds) == RECENT_REPLIES


def test_any_earlier_reply_of_the_connection_may_come_again() -> None:
    """Guards against a copy that comes several calls late and is taken for the reply to a call."""
    history = ConnectionHistory()
    for number in range(3):
        history.call_sent(f"{number}")
        assert not history.is_copy(reply_kind(number))
        history.reply_received(reply_kind(number))
    assert all(history.is_copy(reply_kind(number)) for number in range(3))
    assert not history.is_copy(reply_kind(3))


def test_a_connection_serves_one_call_of_a_request_and_a_bounded_number_of_calls() -> None:
    """Guards against calls of one request whose replies are rightly equal, and against unbounded memory."""
    history = ConnectionHistory()
    history.call_sent("a")
    assert not history.allows_call("a")
    assert history.allows_call("b")
    for number in range(MAX_CALLS):
        history.reply_received(reply_kind(number))
    assert not history.allows_call("b")
