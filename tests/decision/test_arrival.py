"""The decision about an arrival."""

from __future__ import annotations

import pytest

from shelfhaven.decision.arrival import ArrivalDecision, decide, register_request
from shelfhaven.decision.events import RequestArrived
from shelfhaven.decision.server_state import ServerState
from tests.decision.samples import settings

KEYED_CLASS = 1  # requests with an idempotency key


@pytest.fixture
def state() -> ServerState:
    return ServerState(settings())


def _decision_for(state: ServerState, event: RequestArrived) -> ArrivalDecision:
    return decide(1.0, register_request(1.0, event, state), state)


def test_an_arrival_is_recorded_in_statistics_and_request_table(state: ServerState) -> None:
    request = register_request(1.0, RequestArrived(7, 0, 3, 10.0, age=0.8), state)
    assert state.requests.by_id == {7: request}
    assert list(state.callers.entries) == [3]
    assert state.health.lag_detector.lag == pytest.approx(0.1)
    assert state.memory.used_kb == 10.0


def test_a_healthy_server_at_full_admission_admits_an_arrival(state: ServerState) -> None:
    assert _decision_for(state, RequestArrived(7, 0, 3, 10.0)) is ArrivalDecision.ADMIT


def test_a_duplicate_is_answered_from_its_original_unless_the_original_was_rejected(
    state: ServerState,
) -> None:
    state.keys.record_rejected(5, until=9.0)
    duplicate = RequestArrived(7, KEYED_CLASS, 3, 10.0, original_id=4)
    assert _decision_for(state, duplicate) is ArrivalDecision.ANSWER_FROM_ORIGINAL
    assert (
        _decision_for(state, RequestArrived(8, KEYED_CLASS, 3, 10.0, original_id=5)) is ArrivalDecision.ADMIT
    )
    assert (
        _decision_for(state, RequestArrived(9, 0, 3, 10.0, original_id=4)) is ArrivalDecision.ADMIT
    ), "no key"


def test_an_arrival_without_time_or_memory_is_rejected_at_full_admission(state: ServerState) -> None:
    assert (
        _decision_for(state, RequestArrived(1, 0, 3, 10.0, budget=0.001)) is ArrivalDecision.REJECT
    ), "no time"
    assert _decision_for(state, RequestArrived(2, 0, 3, 9999.0)) is ArrivalDecision.REJECT, "no memory"


def test_an_unhealthy_server_rejects_long_runs_and_a_stalled_one_rejects_everything(
    state: ServerState,
) -> None:
    state.health.unhealthy = True
    assert _decision_for(state, RequestArrived(1, 0, 3, 10.0)) is ArrivalDecision.ADMIT
    assert _decision_for(state, RequestArrived(2, 0, 3, 10.0, work_hint=1.5)) is ArrivalDecision.REJECT
    state.health.stall_detector.stalled = True
    assert _decision_for(state, RequestArrived(3, 0, 3, 10.0)) is ArrivalDecision.REJECT


def test_requests_shed_for_load_are_rejected_without_retry(state: ServerState) -> None:
    state.admission.admitted_share = 0.0
    decisions = [_decision_for(state, RequestArrived(number, 0, 3, 10.0)) for number in range(8)]
    assert decisions.count(ArrivalDecision.REJECT_WITHOUT_RETRY) >= 1
    assert ArrivalDecision.REJECT not in decisions
