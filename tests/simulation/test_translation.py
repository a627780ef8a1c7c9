"""Conversion between records and the controller's events and actions."""

from __future__ import annotations

import pytest

from shelfhaven.decision.actions import (
    Action,
    AdvertiseLoad,
    PlaceCall,
    RejectRequest,
    RetainKey,
    SetHealth,
    SetIdleTimeout,
    SetTimer,
    SkipCall,
    StartRun,
)
from shelfhaven.decision.events import CallFinished, RequestArrived, RunFinished, TimerFired
from shelfhaven.decision.settings import Outcome
from shelfhaven.simulation import wire
from shelfhaven.simulation.translation import REQUEST_ID_RECORDS, event_from_record, record_from_action
from shelfhaven.simulation.wire import Batch, Record, WireError


def _decoded(name: str, **fields: float) -> Record:
    """Return a decoded record with these fields; all other fields are 0."""
    wire_fields: wire.Fields = {
        "who": 1,
        **{field.replace("_", "-"): value for field, value in fields.items()},
    }
    (record,) = wire.decode_batch(wire.encode_batch(Batch(0.0, 1, [Record(name, wire_fields)]))).events
    return record


def test_fields_that_are_0_in_the_record_are_none_in_an_arrival() -> None:
    arrival = event_from_record(_decoded("Arrival", txn=7))
    assert isinstance(arrival, RequestArrived)
    assert (arrival.budget, arrival.work_hint, arrival.original_id) == (None, None, None)
    assert (arrival.request_id, arrival.is_retry) == (7, False)


def test_an_arrival_has_the_values_of_the_record() -> None:
    arrival = event_from_record(
        _decoded("Arrival", txn=7, state_bits=3, budget=0.5, same_as=5, work_hint=0.25, src=9, service=1)
    )
    assert isinstance(arrival, RequestArrived)
    assert (arrival.budget, arrival.work_hint, arrival.original_id) == (0.5, 0.25, 5)
    assert (arrival.caller, arrival.class_index, arrival.is_retry) == (9, 1, True)


def test_a_work_hint_is_ignored_unless_its_bit_is_set() -> None:
    arrival = event_from_record(_decoded("Arrival", state_bits=2, work_hint=0.25))
    assert isinstance(arrival, RequestArrived)
    assert arrival.work_hint is None


def test_outcomes_and_gauges_are_converted() -> None:
    assert event_from_record(_decoded("RunOver", txn=3, how=503, spent=0.5)) == RunFinished(
        3, Outcome.REJECTED, 0.5
    )
    assert event_from_record(_decoded("Downstream", txn=3, how=598, spent=0.5)) == CallFinished(
        3, Outcome.RESET, 0.5
    )
    timer_fired = event_from_record(_decoded("Elapsed", ref=4, gauges=2, g0=0.5, g1=3.0, g2=9.0))
    assert timer_fired == TimerFired(4, (0.5, 3.0))
    with pytest.raises(WireError, match="unknown outcome 7"):
        event_from_record(_decoded("RunOver", how=7))


@pytest.mark.parametrize(
    ("action", "name", "fields"),
    [
        (RejectRequest(3, 0.5, True), "OverloadReply", {"txn": 3, "pause": 0.5, "no-retry": True}),
        (RetainKey(3, 5.0), "Pin", {"txn": 3, "keep-for": 5.0}),
        (PlaceCall(3, None), "AskBelow", {"txn": 3, "limit": 0.0}),
        (PlaceCall(3, 0.5), "AskBelow", {"txn": 3, "limit": 0.5}),
        (SetTimer(0.5, 9, 3), "SetAlarm", {"wait": 0.5, "ref": 9}),
        (SetHealth(False), "Status", {"on": False, "light": True}),
        (AdvertiseLoad(0.5), "Publish", {"x": 0.5}),
        (SetIdleTimeout(None), "CloseIdle", {"keep-for": 0.0}),
        (StartRun(3), "Begin", {"txn": 3}),
        (SkipCall(3), "Omit", {"txn": 3}),
    ],
)
def test_actions_are_converted_to_records(action: Action, name: str, fields: wire.Fields) -> None:
    assert record_from_action(action, 2) == Record(name, {"who": 2, **fields})


def test_every_action_with_only_a_request_id_has_a_record_layout() -> None:
    layout_names = {layout.name for layout in wire.ACTION_LAYOUTS}
    assert set(REQUEST_ID_RECORDS.values()) <= layout_names


def test_reading_a_field_as_another_type_is_an_error() -> None:
    record = Record("Spawn", {"who": 1, "options": "a=b", "budget": 0.5})
    assert (record.integer("who"), record.number("budget"), record.text("options")) == (1, 0.5, "a=b")
    for read, field in ((record.integer, "budget"), (record.number, "options"), (record.text, "who")):
        with pytest.raises(WireError, match=field):
            read(field)
