"""Completion of requests: by the end of their run or of their original, by rejection, or by failure.

When the work of a request is finished, this module has its outcome recorded, sends the answer, serves the
duplicates that wait for its result, and emits the controller's event.  Event translation and action execution
both use it.
"""

from __future__ import annotations

from collections.abc import Callable

from shelfhaven.decision.actions import RejectRequest
from shelfhaven.decision.events import Event, RunFinished
from shelfhaven.decision.settings import Outcome
from shelfhaven.server import messages
from shelfhaven.server.actors import ConnectedActors
from shelfhaven.server.answer_sender import AnswerSender
from shelfhaven.server.clocks import Clocks
from shelfhaven.server.idempotency_keys import IdempotencyKeys
from shelfhaven.server.request import (
    FAILED_OUTCOMES,
    NEVER_STARTED_OUTCOMES,
    NOT_STARTED_STATES,
    AnswerState,
    Request,
    WorkState,
)
from shelfhaven.server.request_table import RequestTable
from shelfhaven.server.run_history import RunHistory

GIVEN_UP_TEXT = "given up"


class RequestCompletion:
    """Completes requests."""

    def __init__(
        self,
        requests: RequestTable,
        keys: IdempotencyKeys,
        answer_sender: AnswerSender,
        actors: ConnectedActors,
        clocks: Clocks,
        emit: Callable[[Event], None],
    ) -> None:
        self.requests = requests
        self.keys = keys
        self.answer_sender = answer_sender
        self.actors = actors
        self.clocks = clocks
        self.emit = emit
        self.run_history = RunHistory()

    def complete_run(self, request: Request, completion: messages.RunCompleted) -> None:
        """Record the outcome of a run, if its key is in the key store, and answer its request."""
        self.cancel_call(request)
        if self.keys.record_outcome(request, completion):
            return  # `OutcomeRecorded` leads to `complete_recorded_run`
        if completion.outcome in NEVER_STARTED_OUTCOMES:
            request.launched = False  # a rejection may again promise that the attempt never ran
            if request.may_run_elsewhere:  # its caller cancelled it after the controller had started it
                self.keys.withdrawn.append(request)
        self._answer_run(request, completion)
        self.emit(RunFinished(request.id, completion.outcome, completion.duration, completion.retry_after))

    def complete_recorded_run(self, request: Request) -> None:
        """Answer a request now that the outcome of its run is recorded."""
        if completion := request.take_completion():
            self.complete_run(request, completion)

    def cancel_call(self, request: Request) -> None:
        """Cancel the downstream call in progress of a run that no longer needs it."""
        if request.work_state is WorkState.CALLING:
            self.actors.downstream.put(messages.CancelCall(request.id))

    def await_original(self, request: Request) -> None:
        """Answer a duplicate from its original, now or when the original has finished."""
        request.await_original(self.clocks.now)
        original = self.requests.get(request.original_id) if request.original_id else None
        if original and original.work_state is not WorkState.FINISHED:
            original.duplicate_ids.append(request.id)
        elif not self.keys.fetch_previous_result(request):
            self.complete_duplicate(request, self.keys.result_for(request))

    def complete_duplicate(self, request: Request | None, result: bytes | None) -> None:
        """Answer a duplicate that waits for its original, with an error if there is no result."""
        if request is None or request.work_state is not WorkState.AWAITING_ORIGINAL:
            return
        request.finish_work()
        if result is not None:
            self.answer_sender.serve(request, result)
        else:
            self.answer_sender.fail(request, "the try that this one repeats brought no result")
        outcome = Outcome.ERROR if result is None else Outcome.OK
        self.emit(RunFinished(request.id, outcome, self.clocks.now - request.wait_started_at))

    def give_up(self, request: Request, text: str) -> None:
        """Answer with an error; a request that has not started is dropped, a run in progress continues."""
        self.answer_sender.fail(request, text)
        if request.work_state in NOT_STARTED_STATES:
            self._finish_work(request, None)

    def reject(self, request: Request, rejection: RejectRequest) -> None:
        """Answer that the attempt never ran, or with an error if it was launched and may have run."""
        if request.launched:
            self.answer_sender.fail(request, GIVEN_UP_TEXT)
            return
        self.answer_sender.reject(request, rejection)
        self._finish_work(request, None)

    def forget_if_done(self, request: Request) -> None:
        """Forget a request that is done, or that its caller cancelled before it started."""
        if request.answer_state is AnswerState.RELEASED and request.work_state in NOT_STARTED_STATES:
            self._finish_work(request, None)
        self.requests.forget_if_done(request)

    def _answer_run(self, request: Request, completion: messages.RunCompleted) -> None:
        if completion.outcome is Outcome.OK:
            self._finish_work(request, completion.body)
            self.answer_sender.serve(request, completion.body or b"")
            return
        self._finish_work(request, None)
        if completion.outcome in FAILED_OUTCOMES:
            self.answer_sender.fail(request, "the run failed")
            self.keys.report_uncertain(request)

    def _finish_work(self, request: Request, result: bytes | None) -> None:
        """Finish the work of a request and answer the duplicates that wait for its result."""
        duplicate_ids = request.finish_work()
        self.run_history.record(request, self.clocks.now)
        if result is not None:
            self.keys.store_result(request, result)
        for duplicate_id in duplicate_ids:
            self.complete_duplicate(self.requests.get(duplicate_id), result)
