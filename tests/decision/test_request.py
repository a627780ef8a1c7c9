"""Times of requests, and the table that counts requests by state."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from shelfhaven.decision.call_load import CallLoad
from shelfhaven.decision.events import RequestArrived
from shelfhaven.decision.memory import MemoryBudget
from shelfhaven.decision.request import RequestState, RequestTable
from tests.decision.samples import READ, sample_request


@pytest.fixture
def memory() -> MemoryBudget:
    return MemoryBudget(1000.0)


@pytest.fixture
def call_load() -> CallLoad:
    return CallLoad(5.0, 0.5)


@pytest.fixture
def table(memory: MemoryBudget, call_load: CallLoad) -> RequestTable:
    return RequestTable(memory, 4.0, call_load)


def test_the_deadline_counts_from_arrival_at_the_machine() -> None:
    request = sample_request(now=10.0, age=0.5)
    assert (request.arrived_at, request.objective_at, request.due_at) == (9.5, 10.5, 12.5)


def test_a_budget_counts_from_reading_and_bounds_the_objective() -> None:
    request = sample_request(now=10.0, age=0.5, budget=0.25)
    assert (request.objective_at, request.due_at) == (10.25, 10.25)


def test_a_work_hint_extends_the_objective_up_to_the_deadline() -> None:
    stretched = replace(READ, objective_stretch=2.0)
    assert sample_request(stretched, work_hint=0.5).objective_at == 2.0
    assert sample_request(stretched, work_hint=5.0).objective_at == 3.0


def test_times_allow_for_the_process_end_the_answer_margin_and_earlier_waiting() -> None:
    event = RequestArrived(1, 0, 1, 1.0)
    request = sample_request(now=10.0)
    request.set_times(event, waited_before=0.25, stops_at=12.0, answer_margin=0.5)
    assert (request.objective_at, request.due_at) == (10.75, 11.5)
    request.set_times(event, waited_before=0.0, stops_at=9.0, answer_margin=0.5)
    assert request.due_at == 10.0, "never earlier than the time of reading"


def test_a_late_weight_postpones_when_a_request_becomes_worthless() -> None:
    assert sample_request().worthless_at() == 1.0
    assert sample_request(replace(READ, late_weight=0.25)).worthless_at() == 1.5


def test_a_start_limit_brings_the_decision_forward() -> None:
    assert sample_request().start_by == math.inf
    assert sample_request().decide_by(0.1) == 3.0
    assert sample_request(start_within=0.5).decide_by(0.1) == 0.4


def test_the_table_counts_states_and_their_memory(
    table: RequestTable, memory: MemoryBudget, call_load: CallLoad
) -> None:
    request = sample_request()
    table.add(0.0, request)
    assert (memory.used_kb, table.running, table.waiting_for_calls) == (10.0, 0, 0)
    table.transition(0.0, request, RequestState.RUNNING)
    assert (memory.used_kb, table.running, table.waiting_for_calls) == (40.0, 1, 0)
    table.transition(0.0, request, RequestState.CALL_NEEDED)
    assert (table.running, table.waiting_for_calls, call_load.in_progress) == (0, 1, 0)
    table.transition(0.0, request, RequestState.CALLING)
    assert (table.running, table.waiting_for_calls, call_load.in_progress) == (0, 1, 1)
    table.transition(0.0, request, RequestState.SUSPENDED)
    assert (memory.used_kb, table.running, table.waiting_for_calls, call_load.in_progress) == (40.0, 0, 0, 0)
    table.remove(0.0, request)
    assert (memory.used_kb, table.by_id, request.state) == (0.0, {}, RequestState.FINISHED)


def test_the_call_of_a_removed_request_counts_as_abandoned(table: RequestTable, call_load: CallLoad) -> None:
    request = sample_request()
    table.add(0.0, request)
    table.transition(0.0, request, RequestState.CALLING)
    table.remove(1.0, request)
    assert call_load.in_progress == 1
    assert (
        call_load.call_seconds(2.0) == 1.5
    ), "one second in progress and half a second after it was abandoned"
    assert call_load.in_progress == 0


def test_an_unfinished_original_records_that_it_has_duplicates(table: RequestTable) -> None:
    original = sample_request()
    table.add(0.0, original)
    table.record_duplicate(sample_request(request_id=2, original_id=9))
    assert not original.has_duplicates
    table.record_duplicate(sample_request(request_id=3, original_id=1))
    assert original.has_duplicates
