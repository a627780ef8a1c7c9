"""The core with stubs for the other actors: each request gets exactly one answer."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shelfhaven.decision.actions import Action, AdvertiseLoad, RejectRequest, SetHealth, SetIdleTimeout
from shelfhaven.decision.events import Event, RequestArrived, TimerFired
from shelfhaven.decision.settings import Outcome
from shelfhaven.server import messages
from tests.server.core_harness import PAY, CoreHarness, RecordingActor, run_with_harness, with_harness


@with_harness
def test_a_run_is_launched_with_the_request_body_and_its_result_is_answered_unchanged(
    harness: CoreHarness,
) -> None:
    attempt_id = harness.submit(1)
    assert [
        (launch.attempt_id, launch.class_name, launch.body)
        for launch in harness.runner.of(messages.LaunchRun)
    ] == [(attempt_id, "look", b"body")]
    harness.finish_run(attempt_id, body=b"\x00\xff")
    assert harness.answers(1) == [
        messages.ServedAnswer(1, b"\x00\xff", harness.core.answer_sender.advertised_load)
    ]
    assert not harness.core.requests
    assert not harness.core.requests.by_attempt_id
    assert not harness.core.requests.unanswered


@pytest.mark.parametrize(("agent_outcome", "answers"), [("FAIL", 1), ("KILLED", 1), ("NOOP", 1), ("ODD", 1)])
@with_harness
def test_every_unsuccessful_outcome_is_answered_once(
    harness: CoreHarness, agent_outcome: str, answers: int
) -> None:
    attempt_id = harness.submit(1)
    harness.finish_run(attempt_id, agent_outcome)
    harness.finish_run(attempt_id, agent_outcome)  # a duplicate notice
    harness.advance_time(5.0)
    assert [type(answer) for answer in harness.answers(1)] == [messages.FailedAnswer] * answers
    assert not harness.core.requests


@with_harness
def test_a_run_past_its_due_time_is_failed_and_its_late_result_is_ignored(harness: CoreHarness) -> None:
    attempt_id = harness.submit(1)
    harness.advance_time(1.5)
    assert [type(answer) for answer in harness.answers(1)] == [messages.FailedAnswer]
    harness.finish_run(attempt_id)
    assert len(harness.answers(1)) == 1
    assert not harness.core.requests


@with_harness
def test_a_cancelled_request_gets_no_answer_and_its_reference_may_be_reused(harness: CoreHarness) -> None:
    attempt_id = harness.submit(1)
    harness.send(messages.CancelRequest(harness.frontend, 1))
    harness.send(messages.CancelRequest(harness.frontend, 1))
    harness.finish_run(attempt_id)
    harness.submit(1, attempt_id="f" * 16)  # the frontend may reuse the reference
    harness.finish_run("f" * 16)
    assert [type(answer) for answer in harness.answers(1)] == [messages.ServedAnswer]
    assert not harness.core.requests


@with_harness
def test_a_downstream_call_is_placed_and_its_reply_is_delivered_to_the_run(harness: CoreHarness) -> None:
    attempt_id = harness.submit(1)
    harness.send(messages.CallRequested(attempt_id, 3, b"ask"))
    (placed,) = harness.downstream.of(messages.PlaceCall)
    assert (placed.attempt_id, placed.body) == (attempt_id, b"ask")
    assert 0 < placed.timeout <= 1.5
    harness.send(messages.CallCompleted(placed.request_id, Outcome.OK, b"reply"))
    assert harness.runner.of(messages.DeliverCallReply) == [messages.DeliverCallReply(attempt_id, b"reply")]
    harness.finish_run(attempt_id)
    assert [type(answer) for answer in harness.answers(1)] == [messages.ServedAnswer]


@with_harness
def test_a_failed_call_is_skipped_if_the_answer_still_has_value_without_it(harness: CoreHarness) -> None:
    attempt_id = harness.submit(1)
    harness.send(messages.CallRequested(attempt_id, 3, b"ask"))
    harness.send(
        messages.CallCompleted(harness.downstream.of(messages.PlaceCall)[0].request_id, Outcome.REJECTED)
    )
    assert harness.runner.of(messages.ProceedWithoutCall) == [messages.ProceedWithoutCall(attempt_id, 3)]


@with_harness
def test_a_run_that_ends_during_its_call_cancels_the_call(harness: CoreHarness) -> None:
    attempt_id = harness.submit(1)
    harness.send(messages.CallRequested(attempt_id, 3, b"ask"))
    request_id = harness.downstream.of(messages.PlaceCall)[0].request_id
    harness.finish_run(attempt_id, "KILLED")
    assert harness.downstream.of(messages.CancelCall) == [messages.CancelCall(request_id)]
    harness.send(messages.CallCompleted(request_id, Outcome.OK, b"late"))
    assert harness.runner.of(messages.DeliverCallReply) == []
    assert len(harness.answers(1)) == 1


@with_harness
def test_a_receive_time_in_the_future_and_a_clock_set_back_do_no_harm(harness: CoreHarness) -> None:
    harness.submit(1, received_at=5000.0 + harness.now + 3600.0)
    harness.advance_time(1.5)
    assert [type(answer) for answer in harness.answers(1)] == [messages.FailedAnswer]
    harness.now -= 100.0
    harness.submit(2)
    harness.finish_run(f"{2:016x}")
    assert [type(answer) for answer in harness.answers(2)] == [messages.ServedAnswer]
    assert harness.core.clocks.now > 1001.4


@with_harness
def test_a_budget_counts_from_the_receive_time(harness: CoreHarness) -> None:
    harness.submit(1, received_at=5000.0 + harness.now - 0.3, budget=0.5)
    harness.advance_time(0.2)
    assert [type(answer) for answer in harness.answers(1)] == [messages.FailedAnswer]
    harness.submit(2, received_at=5000.0 + harness.now - 0.6, budget=0.5)
    assert [type(answer) for answer in harness.answers(2)] == [messages.RejectedAnswer]


@with_harness
def test_a_launched_request_is_never_rejected(harness: CoreHarness) -> None:
    attempt_id = harness.submit(1)
    harness.core._execute(RejectRequest(harness.core.requests.by_attempt_id[attempt_id].id, 0.5, True))
    assert [type(answer) for answer in harness.answers(1)] == [messages.FailedAnswer]


@with_harness
def test_an_attempt_submitted_twice_is_answered_twice_and_run_once(harness: CoreHarness) -> None:
    attempt_id = harness.submit(1)
    harness.submit(2, attempt_id=attempt_id)
    assert [type(answer) for answer in harness.answers(2)] == [messages.FailedAnswer]
    harness.finish_run(attempt_id)
    assert [type(answer) for answer in harness.answers(1)] == [messages.ServedAnswer]


@with_harness
def test_runs_that_the_runner_abandons_or_reports_as_errors_are_failed(harness: CoreHarness) -> None:
    first, second = harness.submit(1), harness.submit(2)
    harness.send(messages.RunCompleted(first, Outcome.ABANDONED, 0.0))
    harness.send(messages.RunCompleted(second, Outcome.ERROR, 0.0))
    harness.send(messages.RunCompleted("unknown", Outcome.ERROR, 0.0))
    assert [type(answer) for answer in (*harness.answers(1), *harness.answers(2))] == [
        messages.FailedAnswer
    ] * 2
    assert not harness.core.requests


@with_harness
def test_runs_lost_by_a_restarted_runner_are_failed_and_never_repeated(harness: CoreHarness) -> None:
    first, second = harness.submit(1), harness.submit(2, PAY, "k")
    harness.send(messages.RunsLost(harness.runner))
    assert [type(answer) for answer in (*harness.answers(1), *harness.answers(2))] == [
        messages.FailedAnswer
    ] * 2
    assert not harness.core.requests
    harness.submit(3, PAY, "k")
    assert harness.launched_attempts() == [first, second]


@with_harness
def test_runs_started_after_a_runner_restart_are_not_failed_with_the_lost_ones(harness: CoreHarness) -> None:
    for request_ref in range(1, 6):
        harness.submit(request_ref)
    lost = harness.launched_attempts()
    queued = [
        request.submission.attempt_id
        for request in harness.core.requests.by_id.values()
        if request.submission.attempt_id not in lost
    ]
    assert queued
    harness.send(messages.RunsLost(harness.runner))
    assert all(
        [type(answer) for answer in harness.answers(int(attempt_id, 16))] == [messages.FailedAnswer]
        for attempt_id in lost
    )
    started = [attempt_id for attempt_id in harness.launched_attempts() if attempt_id not in lost]
    assert started
    for attempt_id in started:
        assert harness.answers(int(attempt_id, 16)) == []
        harness.finish_run(attempt_id)
        assert [type(answer) for answer in harness.answers(int(attempt_id, 16))] == [messages.ServedAnswer]


@with_harness
def test_due_timers_wait_for_gauges_unless_the_runner_is_disconnected(harness: CoreHarness) -> None:
    harness.now += 0.1
    harness.core.timers.on_alarm()
    (sample,) = harness.runner.of(messages.SampleGauges)
    timer_count = len(harness.core.timers)
    harness.send(messages.GaugesSampled("other", (1.0, 1.0, 1.0, 1.0)))
    assert len(harness.core.timers) == timer_count  # still waiting
    harness.send(messages.GaugesSampled(sample.tag, (0.5, 1.0, 0.2, 9.0)))
    assert harness.core.timers.gauges == (0.5, 1.0, 0.2, 9.0)
    assert harness.core.timers.awaited_sample is None
    assert harness.core.timers.heap[0].due > harness.now
    harness.runner.up = False
    harness.now += 0.1
    harness.core.timers.on_alarm()
    assert len(harness.runner.of(messages.SampleGauges)) == 1
    harness.core.timers.fire_unless_sampled(harness.core.timers.awaited_sample)
    assert harness.core.timers.heap[0].due > harness.now


@with_harness
def test_a_timer_of_a_finished_request_does_not_fire(harness: CoreHarness) -> None:
    events: list[Event] = []
    on_event = harness.core.controller.on_event

    def record_event(now: float, event: Event) -> list[Action]:
        events.append(event)
        return on_event(now, event)

    harness.core.controller.on_event = record_event  # type: ignore[method-assign]
    finished, unfinished = harness.submit(1), harness.submit(2)
    harness.finish_run(finished)
    harness.advance_time(20.0)
    tokens = [event.token for event in events if isinstance(event, TimerFired)]
    request_ids = [event.request_id for event in events if isinstance(event, RequestArrived)]
    assert request_ids[0] not in tokens
    assert request_ids[1] in tokens
    assert len(harness.answers(2)) == 1
    assert unfinished in harness.core.requests.by_attempt_id


@with_harness
def test_draining_rejects_requests_after_the_grace_and_answers_all_before_the_end(
    harness: CoreHarness,
) -> None:
    harness.submit(1)
    harness.begin_drain(1.0)
    assert harness.membership.received[-1] == messages.ReportStatus(False)
    harness.submit(2)  # within the grace, so it runs
    assert len(harness.launched_attempts()) == 2
    harness.advance_time(0.5)
    harness.submit(3)
    assert [type(answer) for answer in harness.answers(3)] == [messages.RejectedAnswer]
    harness.advance_time(0.5)
    assert [type(answer) for answer in (*harness.answers(1), *harness.answers(2))] == [
        messages.FailedAnswer
    ] * 2
    harness.send(messages.CheckHealth(harness.frontend, 9))
    assert harness.answers(9)[0].healthy is False


def test_health_is_reported_to_membership_only_if_readiness_is_set() -> None:
    def check(harness: CoreHarness) -> None:
        harness.core._execute(SetHealth(False))
        assert harness.membership.received[-1] == messages.ReportStatus(
            not harness.core.config.settings.readiness
        )
        harness.send(messages.CheckHealth(harness.frontend, 9))
        assert harness.answers(9)[0].healthy is False

    run_with_harness(check)
    run_with_harness(check, readiness=False)


@with_harness
def test_the_advertised_load_is_in_every_answer_once_it_is_set(harness: CoreHarness) -> None:
    assert harness.core.answer_sender.advertised_load is None
    harness.core._execute(AdvertiseLoad(0.25))
    harness.finish_run(harness.submit(1))
    harness.send(messages.CheckHealth(harness.frontend, 2))
    harness.send(messages.RejectMalformed(harness.frontend, 3, -32602, "body: not a string"))
    assert [answer.load for answer in harness.frontend.received] == [0.25] * 3


@with_harness
def test_the_idle_timeout_is_passed_on_to_the_frontends(harness: CoreHarness) -> None:
    harness.core._execute(SetIdleTimeout(0.05))
    assert harness.frontends.received == [messages.SetIdleTimeout(0.05)]


STEP_NAMES = (
    "submit duplicate cancel pass fail kill noop call-requested call-ok call-reset call-rejected wait "
    "abandoned disconnect runs-lost drain health pass-again"
).split()
STEPS = st.lists(
    st.tuples(
        st.sampled_from(STEP_NAMES),
        st.integers(0, 30),
        st.sampled_from([0.0, 0.02, 0.3, 1.2]),
    ),
    max_size=70,
)


@settings(max_examples=150)
@given(STEPS)
@with_harness
def test_in_any_order_of_messages_each_request_is_answered_once(
    harness: CoreHarness, steps: list[tuple[str, int, float]]
) -> None:
    attempt_ids: list[str] = []
    keys: dict[str, str] = {}
    cancelled: set[int] = set()
    draining = False
    for step, pick, wait in steps:
        attempt_id = attempt_ids[pick % len(attempt_ids)] if attempt_ids else "0" * 16
        request_ref = int(attempt_id, 16)
        match step:
            case "submit" | "duplicate":
                request_ref = len(attempt_ids) + 1
                class_index = pick % 2
                key = f"k{pick % 4}" if class_index == PAY else ""
                attempt_ids.append(
                    harness.submit(request_ref, class_index, key, received_at=5000.0 + harness.now - wait)
                )
                keys[attempt_ids[-1]] = key
            case "cancel":
                harness.send(messages.CancelRequest(harness.frontend, request_ref))
                cancelled.add(request_ref)
            case "pass" | "fail" | "kill" | "noop":
                agent_outcomes = {"pass": "PASS", "fail": "FAIL", "kill": "KILLED", "noop": "NOOP"}
                harness.finish_run(attempt_id, agent_outcomes[step])
            case "call-requested":
                harness.send(messages.CallRequested(attempt_id, pick, b"ask"))
            case "call-ok" | "call-reset" | "call-rejected":
                call_outcomes = {
                    "call-ok": Outcome.OK,
                    "call-reset": Outcome.RESET,
                    "call-rejected": Outcome.REJECTED,
                }
                request = harness.core.requests.by_attempt_id.get(attempt_id)
                if request:
                    harness.send(messages.CallCompleted(request.id, call_outcomes[step], b"reply"))
            case "abandoned":
                harness.send(messages.RunCompleted(attempt_id, Outcome.ABANDONED, 0.0))
            case "disconnect":
                harness.runner.up = not harness.runner.up
                harness.send(messages.RunnerDisconnected())
            case "runs-lost":
                harness.send(messages.RunsLost(harness.runner))
            case "drain" if not draining:
                draining = True
                harness.begin_drain(2.0)
            case "health":
                harness.send(messages.CheckHealth(harness.frontend, 10_000))
            case "pass-again":
                harness.finish_run(attempt_id)
        harness.advance_time(wait)
    harness.advance_time(5.0)  # beyond every due time
    launched = harness.launched_attempts()
    assert len(launched) == len(set(launched))
    for attempt_id in attempt_ids:
        answers = harness.answers(int(attempt_id, 16))
        assert len(answers) == 1 or (not answers and int(attempt_id, 16) in cancelled)
        if attempt_id in launched:
            assert not any(isinstance(answer, messages.RejectedAnswer) for answer in answers)
    for attempt_id in attempt_ids:  # finish the remaining runs; no entry is left in the tables
        harness.finish_run(attempt_id)
    assert not harness.core.requests
    assert not harness.core.requests.unanswered
    assert not harness.core.requests.by_attempt_id


@with_harness
def test_runs_lost_by_one_runner_leave_those_of_another_running(harness: CoreHarness) -> None:
    other = RecordingActor()
    harness.core.actors.runners = [harness.runner, other]
    first, second = harness.submit(1), harness.submit(2, PAY, "k")
    assert [launch.attempt_id for launch in other.of(messages.LaunchRun)] == [second]
    harness.send(messages.RunsLost(other))
    assert [type(answer) for answer in harness.answers(2)] == [messages.FailedAnswer]
    assert harness.answers(1) == []
    harness.finish_run(first)
    assert [type(answer) for answer in harness.answers(1)] == [messages.ServedAnswer]
