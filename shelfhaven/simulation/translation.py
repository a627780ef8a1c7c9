"""Conversion between records of the wire protocol and the controller's events and actions.

A missing value is 0 in a record and None in an event.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

from shelfhaven.decision import actions, events
from shelfhaven.decision.settings import Outcome
from shelfhaven.simulation.wire import Fields, Record, WireError

OUTCOMES = {
    200: Outcome.OK,
    500: Outcome.ERROR,
    503: Outcome.REJECTED,
    504: Outcome.TIMEOUT,
    502: Outcome.CONNECT_FAILED,
    598: Outcome.RESET,
    499: Outcome.CANCELLED,
    410: Outcome.ABANDONED,
}

# Bits of `state-bits` in an `Arrival` record.
WORK_HINT_BIT = 1  # the work hint is valid
RETRY_BIT = 2  # the caller marks the request as a retry

MAX_GAUGES = 4  # number of gauge fields in an `Elapsed` record

# Actions whose only field is the request id.
RequestIdAction: TypeAlias = (
    actions.StartRun
    | actions.StopRun
    | actions.FailRequest
    | actions.ReleaseKey
    | actions.AnswerFromOriginal
    | actions.SkipCall
)
RequestAction: TypeAlias = RequestIdAction | actions.RejectRequest | actions.RetainKey | actions.PlaceCall

REQUEST_ID_RECORDS: dict[type[RequestIdAction], str] = {
    actions.StartRun: "Begin",
    actions.StopRun: "Halt",
    actions.FailRequest: "Lose",
    actions.ReleaseKey: "Evict",
    actions.AnswerFromOriginal: "AnswerFrom",
    actions.SkipCall: "Omit",
}


def event_from_record(record: Record) -> events.Event:
    """Convert a record to an event, except `Spawn` and `Retire`, which the adapter handles."""
    return _EVENT_CONVERTERS[record.name](record)


def record_from_action(action: actions.Action, instance: int) -> Record:
    """Convert an action of an instance to a record."""
    match action:
        case actions.SetTimer():
            return Record("SetAlarm", {"who": instance, "wait": action.delay, "ref": action.token})
        case actions.SetHealth():
            return Record("Status", {"who": instance, "on": action.healthy, "light": action.cached})
        case actions.AdvertiseLoad():
            return Record("Publish", {"who": instance, "x": action.value})
        case actions.SetIdleTimeout():
            return Record("CloseIdle", {"who": instance, "keep-for": action.timeout or 0.0})
        case _:
            request_fields: Fields = {"who": instance, "txn": action.request_id}
            return _request_record(action, request_fields)


def _request_record(action: RequestAction, request_fields: Fields) -> Record:
    match action:
        case actions.RejectRequest():
            rejection: Fields = {"pause": action.retry_after, "no-retry": action.no_retry_elsewhere}
            return Record("OverloadReply", request_fields | rejection)
        case actions.RetainKey():
            return Record("Pin", request_fields | {"keep-for": action.ttl})
        case actions.PlaceCall():
            return Record("AskBelow", request_fields | {"limit": action.timeout or 0.0})
        case _:
            return Record(REQUEST_ID_RECORDS[type(action)], request_fields)


def _outcome(record: Record) -> Outcome:
    code = record.integer("how")
    outcome = OUTCOMES.get(code)
    if outcome is None:
        raise WireError(f"unknown outcome {code}")
    return outcome


def _request_arrived(record: Record) -> events.Event:
    state_bits = record.integer("state-bits")
    return events.RequestArrived(
        request_id=record.integer("txn"),
        class_index=record.integer("service"),
        caller=record.integer("src"),
        footprint_kb=record.number("footprint"),
        tenant=record.integer("tenant"),
        budget=record.number("budget") or None,
        age=record.number("lay"),
        work_hint=record.number("work-hint") if state_bits & WORK_HINT_BIT else None,
        original_id=record.integer("same-as") or None,
        is_retry=bool(state_bits & RETRY_BIT),
        priority=record.number("prio"),
        partition_key=record.integer("partition-key"),
    )


def _run_finished(record: Record) -> events.Event:
    return events.RunFinished(record.integer("txn"), _outcome(record), record.number("spent"))


def _call_finished(record: Record) -> events.Event:
    return events.CallFinished(record.integer("txn"), _outcome(record), record.number("spent"))


def _call_needed(record: Record) -> events.Event:
    return events.CallNeeded(record.integer("txn"))


def _drain_started(record: Record) -> events.Event:
    return events.DrainStarted(record.number("budget"))


def _request_cancelled(record: Record) -> events.Event:
    return events.RequestCancelled(record.integer("txn"))


def _timer_fired(record: Record) -> events.Event:
    count = min(record.integer("gauges"), MAX_GAUGES)
    gauges = tuple(record.number(f"g{number}") for number in range(count))
    return events.TimerFired(record.integer("ref"), gauges)


_EVENT_CONVERTERS: dict[str, Callable[[Record], events.Event]] = {
    "Arrival": _request_arrived,
    "RunOver": _run_finished,
    "StalledOnCall": _call_needed,
    "Downstream": _call_finished,
    "TerminateSoon": _drain_started,
    "Gone": _request_cancelled,
    "Elapsed": _timer_fired,
}
