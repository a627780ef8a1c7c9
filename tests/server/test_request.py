"""The states of a request, the request table, and the core's fields of the load log line."""

from __future__ import annotations

from dataclasses import replace

import pytest

from shelfhaven.decision.settings import ClassSettings, Outcome
from shelfhaven.server import messages
from shelfhaven.server.request import AnswerState, Request, WorkState
from shelfhaven.server.request_key import content_digest
from shelfhaven.server.request_table import RequestTable
from tests.server.core_harness import CoreHarness, with_harness


class Frontend:
    """A frontend that ignores its answers."""

    def answer(self, answer: messages.Answer) -> None:
        """Ignore the answer."""


FRONTEND = Frontend()
SUBMISSION = messages.SubmitRequest(
    frontend=FRONTEND, request_ref=7, attempt_id="a7", class_index=0, tenant=0, caller=1, received_at=100.0,
    budget=None, work_hint=None, footprint_kb=1.0, priority=0.0, is_retry=False, idempotency_key="k",
    partition_key=0, body=b"body",
)  # fmt: skip
CLASS = ClassSettings(deadline=2.0, latency_objective=1.0, priority_weight=1.0)


def _request(request_id: int = 1, **changes: object) -> Request:
    return Request(request_id, replace(SUBMISSION, **changes), CLASS)  # type: ignore[arg-type]


def test_an_answer_is_sent_once() -> None:
    request = _request()
    assert [request.mark_answered(), request.mark_answered()] == [True, False]
    assert request.answer_state is AnswerState.SENT


def test_a_released_answer_is_not_sent() -> None:
    request = _request()
    request.release(may_run_elsewhere=True)
    assert request.may_run_elsewhere
    assert not request.mark_answered()
    unkeyed = _request(idempotency_key="")
    unkeyed.release(may_run_elsewhere=True)
    assert not unkeyed.may_run_elsewhere


def test_an_unrecorded_completion_is_taken_once() -> None:
    request = _request()
    request.launch()
    completion = messages.RunCompleted("a7", Outcome.OK, 0.1, b"result")
    request.await_outcome_record(completion)
    assert request.work_state is WorkState.RECORDING_OUTCOME
    assert [request.take_completion(), request.take_completion()] == [completion, None]


def test_a_request_is_done_once_it_is_answered_and_its_work_is_finished() -> None:
    request = _request()
    request.duplicate_ids.append(9)
    assert not request.is_done
    assert request.finish_work() == [9]
    assert request.finish_work() == []
    assert not request.is_done
    request.mark_answered()
    assert request.is_done


@pytest.mark.parametrize(("budget", "time_left"), [(None, 1.5), (0.8, 0.3), (9.0, 1.5), (0.2, -0.3)])
def test_the_time_left_ends_with_the_deadline_or_the_budget(budget: float | None, time_left: float) -> None:
    assert _request(budget=budget).time_left(100.5) == pytest.approx(time_left)


def test_the_content_digest_distinguishes_bodies_and_identity_parts() -> None:
    attributes = [
        messages.RequestAttributes("POST", "/", "", "", identity_parts=parts)
        for parts in [(), ("a",), ("a", ""), ("", "a"), ("ab",), ("a", "b")]
    ]
    submissions = [replace(SUBMISSION, attributes=item) for item in attributes]
    submissions.append(replace(SUBMISSION, body=b"other"))
    assert len({content_digest(submission) for submission in submissions}) == len(submissions)
    assert content_digest(SUBMISSION) == content_digest(submissions[0])


def test_the_table_finds_a_request_by_each_identifier_until_it_is_done() -> None:
    table = RequestTable()
    request = _request()
    table.add(request)
    assert table.get(1) is table.get_unanswered(FRONTEND, 7) is request
    assert table.contains_attempt(SUBMISSION)
    assert table.contains_attempt(replace(SUBMISSION, request_ref=8))
    assert table.contains_attempt(replace(SUBMISSION, attempt_id="other"))
    assert not table.contains_attempt(replace(SUBMISSION, request_ref=8, attempt_id="other"))
    table.remove_unanswered(request)
    request.mark_answered()
    table.forget_if_done(request)
    assert len(table) == 1
    assert table.has_unfinished(1)
    request.finish_work()
    assert not table.has_unfinished(1)
    table.forget_if_done(request)
    assert len(table) == 0
    assert not table.by_attempt_id


def test_the_table_finds_requests_whose_runs_have_started() -> None:
    table = RequestTable()
    queued, running = _request(1), _request(2, attempt_id="a8", request_ref=8)
    table.add(queued)
    table.add(running)
    running.launch()
    assert table.all_started() == [running]
    assert table.get_started("a8") is running
    assert table.get_started("a7") is None
    assert table.count_by_state() == {"held": 1, "running": 1}


@with_harness
def test_load_counts_requests_by_state_and_answers_since_the_previous_call(harness: CoreHarness) -> None:
    for request_ref in range(1, 4):
        harness.submit(request_ref)
    harness.finish_run(f"{1:016x}")
    load = harness.core.load_now()
    assert (load["served"], load["running"], load["keys"], load["results"]) == (
        1,
        harness.core.running_count(),
        0,
        0,
    )
    assert "served" not in harness.core.load_now()
    assert harness.core.answer_counts["served"] == 1


@with_harness
def test_load_fields_keep_their_names_and_order(harness: CoreHarness) -> None:
    harness.submit(1)
    state, *other_fields = harness.core.load_now()
    assert state == "running"
    assert other_fields == [
        "share", "wait", "cap", "lag", "warmth", "idle", "callers", "top", "published", "keys", "results",
    ]  # fmt: skip
