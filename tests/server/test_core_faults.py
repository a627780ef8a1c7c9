"""Exceptions of the controller, a clock or a table in the core: every request is still answered."""

from __future__ import annotations

import pytest

from shelfhaven.decision.actions import Action
from shelfhaven.decision.events import CallNeeded, Event, RequestArrived, RunFinished, TimerFired
from shelfhaven.server import messages
from tests.server.core_harness import CoreHarness, with_harness


@pytest.mark.parametrize("event_type", [RequestArrived, RunFinished, CallNeeded, TimerFired])
@with_harness
def test_after_an_exception_of_the_controller_every_request_is_answered(
    harness: CoreHarness, event_type: type
) -> None:
    real = harness.core.controller.on_event

    def failing(now: float, event: Event) -> list[Action]:
        if isinstance(event, event_type):
            raise RuntimeError("injected")
        return real(now, event)

    harness.core.controller.on_event = failing  # type: ignore[method-assign]
    attempt_id = harness.submit(1)
    harness.send(messages.CallRequested(attempt_id, 1, b"ask"))
    harness.finish_run(attempt_id)
    harness.advance_time(0.3)
    assert len(harness.answers(1)) == 1
    harness.core.controller.on_event = real  # type: ignore[method-assign]
    second = harness.submit(2)
    harness.finish_run(second)
    harness.advance_time(5.0)
    assert len(harness.answers(2)) == 1
    assert len(harness.core.timers)  # the control interval continues


@pytest.mark.parametrize("method", ["set_original", "wall"])
@with_harness
def test_a_request_whose_submission_raises_is_answered(harness: CoreHarness, method: str) -> None:
    owner = harness.core.clocks if method == "wall" else harness.core.keys
    real = getattr(owner, method)

    def failing(*_: object) -> float:
        raise RuntimeError("injected")

    setattr(owner, method, failing)
    harness.submit(1)
    setattr(owner, method, real)
    harness.submit(2)
    harness.finish_run(f"{2:016x}")
    harness.advance_time(5.0)
    assert [[type(answer) for answer in harness.answers(request_ref)] for request_ref in (1, 2)] == [
        [messages.FailedAnswer],
        [messages.ServedAnswer],
    ]
    assert not harness.core.requests
    assert not harness.core.requests.unanswered


@with_harness
def test_a_request_is_answered_if_an_exception_follows_its_registration(
    harness: CoreHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    def failing(**_: object) -> None:
        raise RuntimeError("injected")

    with monkeypatch.context() as patch:
        patch.setattr("shelfhaven.server.event_translation.RequestArrived", failing)
        harness.submit(1)
    assert [type(answer) for answer in harness.answers(1)] == [messages.FailedAnswer]
    assert not harness.core.requests
