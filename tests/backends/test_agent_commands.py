"""Which commands to the agent are confirmed, resent or left unconfirmed after a break of the connection."""

from __future__ import annotations

from shelfhaven.backends.agent_commands import LOSS_WINDOW_S, CommandTracker
from shelfhaven.protocol.agent import DeliverCallReply, LaunchRun, ProceedWithoutCall, RunCommand

LAUNCH = LaunchRun("a", "look", b"body")
REPLY = DeliverCallReply("a", b"reply")
SKIP = ProceedWithoutCall("a", 1)
SENT_AT = 100.0  # seconds


def send(tracker: CommandTracker, command: RunCommand, now: float = SENT_AT) -> None:
    pending = tracker.add(command)
    tracker.written([pending])
    tracker.flushed([pending], now)


def resent(tracker: CommandTracker) -> list[RunCommand]:
    return [pending.command for pending in tracker.recover().resend]


def test_a_reply_that_may_have_reached_its_run_is_not_sent_again() -> None:
    tracker = CommandTracker()
    send(tracker, REPLY)
    assert tracker.recover() == ([], ["a"])
    assert tracker.recover() == ([], [])  # reported once


def test_a_reply_that_was_never_written_is_sent() -> None:
    tracker = CommandTracker()
    tracker.add(REPLY)
    assert resent(tracker) == [REPLY]


def test_lost_launches_and_skips_are_sent_again() -> None:
    for command in (LAUNCH, SKIP):
        tracker = CommandTracker()
        send(tracker, command)
        assert resent(tracker) == [command]


def test_a_sample_confirms_only_what_was_sent_before_the_time_that_a_break_may_lose() -> None:
    tracker = CommandTracker()
    send(tracker, LAUNCH, SENT_AT)
    tracker.sample_sent("early", SENT_AT + LOSS_WINDOW_S / 2)
    tracker.sample_answered("early")
    assert "a" in tracker.pending
    tracker.sample_sent("late", SENT_AT + LOSS_WINDOW_S)
    tracker.sample_answered("late")
    assert resent(tracker) == []


def test_a_command_that_is_not_flushed_is_not_confirmed() -> None:
    tracker = CommandTracker()
    tracker.written([tracker.add(LAUNCH)])
    tracker.sample_sent("t", SENT_AT)
    tracker.sample_answered("t")
    assert resent(tracker) == [LAUNCH]


def test_a_sample_of_an_earlier_connection_confirms_nothing() -> None:
    tracker = CommandTracker()
    send(tracker, REPLY)
    tracker.sample_sent("t", SENT_AT + 1)
    tracker.disconnected()
    tracker.sample_answered("t")
    assert tracker.recover().unconfirmed_replies == ["a"]


def test_a_command_after_an_unconfirmed_reply_may_repeat_it_and_is_sent_again() -> None:
    tracker = CommandTracker()
    send(tracker, REPLY)
    tracker.recover()
    send(tracker, SKIP)
    assert tracker.pending["a"].may_repeat
    assert resent(tracker) == [SKIP]


def test_a_notice_about_the_run_ends_an_unconfirmed_reply() -> None:
    tracker = CommandTracker()
    send(tracker, REPLY)
    tracker.recover()
    tracker.remove("a")
    send(tracker, DeliverCallReply("a", b"second"))
    assert not tracker.pending["a"].may_repeat


def test_answered_samples_are_forgotten_with_those_before_them() -> None:
    tracker = CommandTracker()
    for number in range(100):
        tracker.sample_sent(f"t{number}", SENT_AT + number)
    tracker.sample_answered("t98")
    assert list(tracker._sample_times) == ["t99"]
