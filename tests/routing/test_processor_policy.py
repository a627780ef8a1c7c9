"""Tests of the consultation state machine: one verdict, one end, and no late launch."""

from __future__ import annotations

from typing import cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shelfhaven.decision.settings import Outcome
from shelfhaven.routing.backend import AttemptSignal
from shelfhaven.routing.processor_policy import (
    SIGNAL_BY_OUTCOME,
    Consultation,
    ConsultationStage,
    ConsultSettings,
    Continue,
    ImmediateResponse,
    PassThrough,
    ProtocolViolation,
    RunEnded,
    Submit,
    WithdrawRequest,
)

SETTINGS = ConsultSettings(verdict_timeout=0.2, verdict_margin=0.02, lease=1.0, max_body_bytes=10)


def run_ended(outcome: Outcome, elapsed: float, result: bytes | None = None) -> RunEnded:
    """Return the expected end of a run, with a tolerance for its elapsed time."""
    return RunEnded(outcome, cast(float, pytest.approx(elapsed)), result)


def submitted(has_key: bool = False, shadow: bool = False, **changes: object) -> Consultation:
    """Return a consultation that waits for the core; `changes` are settings."""
    consult_settings = ConsultSettings(**({"lease": 1.0, "max_body_bytes": 10} | changes))  # type: ignore[arg-type]
    consultation = Consultation(consult_settings, has_key, shadow, 0.0)
    assert consultation.request_headers(end_of_stream=True) == [Submit(b"")]
    return consultation


def continued(has_key: bool = False) -> Consultation:
    """Return a consultation whose proxy was told to continue, at time 0.1."""
    consultation = submitted(has_key)
    assert consultation.launched(0.1) == [Continue(request_result=has_key)]
    return consultation


def test_a_request_is_continued_and_its_response_ends_its_run() -> None:
    consultation = continued()
    assert consultation.response_headers(0.4, 200, False, False) == [
        PassThrough(),
        run_ended(Outcome.OK, 0.3, b""),
    ]
    assert consultation.response_headers(0.5, 200, False, True) == [PassThrough()]
    assert consultation.closed(0.6) == []
    assert consultation.lease_expired(2.0) == []


def test_a_launch_after_the_verdict_was_due_is_not_continued() -> None:
    consultation = submitted()
    assert consultation.launched(0.19) == [RunEnded(Outcome.CONNECT_FAILED, 0.0)]
    assert consultation.rejected(0.2, 1.5, False) == [
        ImmediateResponse(503, "refused; nothing ran", True, 1.5, False)
    ]
    assert consultation.launched(0.2) == [RunEnded(Outcome.CONNECT_FAILED, 0.0)]


def test_a_request_with_a_key_is_submitted_with_its_complete_body() -> None:
    consultation = Consultation(SETTINGS, True, False, 0.0)
    assert consultation.request_headers(end_of_stream=False) == [PassThrough(request_body=True)]
    assert consultation.request_body(b"five", True) == [Submit(b"five")]
    assert consultation.launched(0.1) == [Continue(request_result=True)]


def test_a_partial_or_too_large_body_is_answered_without_a_run() -> None:
    consultation = Consultation(SETTINGS, True, False, 0.0)
    consultation.request_headers(end_of_stream=False)
    violation, answer = consultation.request_body(b"fi", False)
    assert isinstance(violation, ProtocolViolation)
    assert isinstance(answer, ImmediateResponse)
    assert (answer.status, answer.not_run) == (503, False), "its key was not looked up"
    consultation = Consultation(SETTINGS, True, False, 0.0)
    consultation.request_headers(end_of_stream=False)
    (answer,) = consultation.request_body(b"x" * 11, True)
    assert isinstance(answer, ImmediateResponse)
    assert (answer.status, answer.not_run) == (413, True)
    assert consultation.launched(0.1) == [RunEnded(Outcome.CONNECT_FAILED, 0.0)]


@pytest.mark.parametrize(
    ("status", "not_run", "outcome"),
    [(200, False, Outcome.OK), (404, False, Outcome.OK), (500, False, Outcome.ERROR),
     (503, True, Outcome.REJECTED), (503, False, Outcome.ERROR), (429, True, Outcome.REJECTED)],
)  # fmt: skip
def test_the_status_of_the_response_decides_the_outcome(status: int, not_run: bool, outcome: Outcome) -> None:
    end = continued().response_headers(0.2, status, not_run, False)[1]
    assert isinstance(end, RunEnded)
    assert end.outcome is outcome


def test_a_result_is_stored_completely_or_not_at_all() -> None:
    consultation = continued(has_key=True)
    assert consultation.response_headers(0.2, 200, False, False) == [PassThrough()]
    assert consultation.response_body(0.3, b"made", False) == [PassThrough()]
    assert consultation.response_body(0.3, b" it", True)[1] == run_ended(Outcome.OK, 0.2, b"made it")
    consultation = continued(has_key=True)
    consultation.response_headers(0.2, 200, False, False)
    assert consultation.response_body(0.3, b"x" * 11, False)[1] == run_ended(Outcome.OK, 0.2, None)
    consultation = continued(has_key=True)
    consultation.response_headers(0.2, 200, False, False)
    assert consultation.closed(0.3) == [run_ended(Outcome.OK, 0.2, None)]
    consultation = continued(has_key=True)
    assert consultation.response_headers(0.2, 404, False, True)[1] == run_ended(Outcome.ERROR, 0.1)


def test_response_trailers_end_a_streamed_result() -> None:
    consultation = continued(has_key=True)
    consultation.response_headers(0.2, 200, False, False)
    consultation.response_body(0.2, b"made", False)
    assert consultation.trailers(0.3, of_response=True)[1] == run_ended(Outcome.OK, 0.2, b"made")


@pytest.mark.parametrize("fail_open", [True, False])
def test_a_request_withdrawn_before_the_verdict_may_run_only_if_the_proxy_fails_open(fail_open: bool) -> None:
    consultation = submitted(fail_open=fail_open)
    assert consultation.closed(0.1) == [WithdrawRequest(may_run=fail_open)]
    assert consultation.launched(0.1) == [RunEnded(Outcome.CONNECT_FAILED, 0.0)]


def test_a_run_whose_stream_closes_without_a_report_ends_as_reset() -> None:
    assert continued().closed(0.2) == [run_ended(Outcome.RESET, 0.1)]


def test_an_expired_lease_ends_a_run_without_reports_and_later_messages_are_ignored() -> None:
    consultation = continued()
    assert consultation.lease_expired(1.1) == [run_ended(Outcome.TIMEOUT, 1.0, None)]
    assert consultation.response_headers(1.2, 200, False, True) == [PassThrough()]
    assert consultation.ignored_messages == 1


def test_an_expired_lease_of_a_proxy_that_never_reports_says_nothing_about_the_service() -> None:
    consultation = continued()
    consultation.never_reports = True
    assert consultation.lease_expired(1.1) == [run_ended(Outcome.RESET, 1.0)]


def test_a_run_whose_result_cannot_be_buffered_succeeds_without_a_stored_result() -> None:
    consultation = continued(has_key=True)
    assert consultation.buffer_exhausted(0.2) == []
    consultation.response_headers(0.2, 200, False, False)
    consultation.response_body(0.2, b"made", False)
    assert consultation.buffer_exhausted(0.3) == [run_ended(Outcome.OK, 0.2, None)]
    assert consultation.response_body(0.4, b" it", True) == [PassThrough()]


def test_a_request_that_cannot_be_mapped_is_answered_once() -> None:
    consultation = Consultation(SETTINGS, False, False, 0.0)
    assert consultation.mapping_failed(404, "no route") == [ImmediateResponse(404, "no route", not_run=True)]
    assert consultation.mapping_failed(404, "no route") == []


def test_each_end_of_a_run_has_its_signal_about_the_health_of_the_service() -> None:
    ends = [continued().response_headers(0.2, status, True, True)[1] for status in (200, 500, 503)]
    ends += [*continued().closed(0.2), *continued().lease_expired(1.1), *submitted().launched(0.2)]
    signals = [SIGNAL_BY_OUTCOME[end.outcome] for end in ends if isinstance(end, RunEnded)]
    assert signals == [
        AttemptSignal.SUCCESS,
        AttemptSignal.FAILURE,
        AttemptSignal.REJECTED,
        AttemptSignal.NONE,
        AttemptSignal.FAILURE,
        AttemptSignal.NONE,
    ]


def test_a_rejected_shadow_request_is_continued_and_its_end_is_not_reported() -> None:
    consultation = submitted(shadow=True)
    assert consultation.rejected(0.1, 1.0, False) == [Continue(request_result=False)]
    assert consultation.response_headers(0.2, 500, False, True) == [PassThrough()]
    assert consultation.closed(0.3) == []


def test_a_duplicate_is_answered_with_the_result_and_never_continued() -> None:
    consultation = submitted(has_key=True)
    assert consultation.served(b"made") == [ImmediateResponse(200, "", False, result=b"made")]
    assert consultation.launched(0.1) == [RunEnded(Outcome.CONNECT_FAILED, 0.0)]


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from("body launched rejected served failed headers result trailers closed lease".split()),
        st.sampled_from([0.0, 0.05, 0.3, 1.5]),
        st.booleans(),
        st.sampled_from([200, 404, 500, 503]),
    ),
    max_size=25,
)


@settings(max_examples=400)
@given(OPERATIONS, st.booleans(), st.booleans(), st.booleans(), st.booleans())
def test_one_verdict_and_one_end_for_any_sequence_of_events(
    operations: list[tuple[str, float, bool, int]],
    has_key: bool,
    shadow: bool,
    end_of_stream: bool,
    fail_open: bool,
) -> None:
    consultation = Consultation(
        ConsultSettings(lease=1.0, max_body_bytes=10, fail_open=fail_open),
        has_key,
        shadow,
        0.0,
    )
    now = 0.0
    submits = verdicts = ends = 0
    launched = False
    actions = consultation.request_headers(end_of_stream)
    final_operations = [("closed", 0.0, False, 0), ("lease", 9.0, False, 0)]
    for operation, wait, flag, status in [("", 0.0, False, 0), *operations, *final_operations]:
        now += wait
        can_launch = consultation.stage is ConsultationStage.SUBMITTED
        match operation:
            case "body":
                actions = consultation.request_body(b"abc", flag)
            case "launched":
                launched = launched or can_launch
                actions = consultation.launched(now) if can_launch else []
            case "rejected":
                actions = consultation.rejected(now, 1.0, flag)
            case "served":
                actions = consultation.served(b"r")
            case "failed":
                actions = consultation.failed(now, "given up", flag)
            case "headers":
                actions = consultation.response_headers(now, status, flag, not flag)
            case "result":
                actions = consultation.response_body(now, b"abcd", flag)
            case "trailers":
                actions = consultation.trailers(now, flag)
            case "closed":
                actions = consultation.closed(now)
            case "lease":
                actions = consultation.lease_expired(now)
        for action in actions:
            submits += isinstance(action, Submit)
            if isinstance(action, Continue | ImmediateResponse):
                verdicts += 1
            if isinstance(action, Continue) and operation == "launched":
                assert now <= consultation.verdict_due
            if isinstance(action, RunEnded) and operation != "launched":
                ends += 1
        actions = []
    assert submits <= 1
    assert verdicts <= 1
    assert ends <= 1
    assert consultation.stage in (ConsultationStage.ENDED, ConsultationStage.ANSWERED)
    assert not consultation.body
