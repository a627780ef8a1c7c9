"""Translation of messages about requests into events for the controller.

Messages come from frontends, runners, the downstream actor and the key store.  Decisions about timing, order
and rejection for load are left to the controller.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

from shelfhaven.config import Config
from shelfhaven.decision.events import (
    CallFinished,
    CallNeeded,
    CallReplyUnconfirmed,
    Event,
    RequestArrived,
    RequestCancelled,
)
from shelfhaven.decision.settings import Outcome
from shelfhaven.server import messages
from shelfhaven.server.actors import ConnectedActors
from shelfhaven.server.clocks import Clocks
from shelfhaven.server.request import Request, WorkState
from shelfhaven.server.request_completion import RequestCompletion
from shelfhaven.server.request_key import request_content
from shelfhaven.server.run_launcher import RunLauncher

MIN_TIME_LEFT = 1e-6  # seconds; the controller takes 0 to mean that no time was given

RequestMessage: TypeAlias = (
    messages.SubmitRequest
    | messages.CancelRequest
    | messages.RunCompleted
    | messages.CallRequested
    | messages.CallReplyUnconfirmed
    | messages.RunsLost
    | messages.CallCompleted
    | messages.StoreReply
)


def _remaining(period: float | None, age: float) -> float | None:
    """Return the rest of a period that began `age` seconds ago, or None if no period is given."""
    return None if period is None else max(MIN_TIME_LEFT, period - age)


class EventTranslator:
    """Applies messages to their requests and emits events for the controller."""

    def __init__(
        self,
        config: Config,
        completion: RequestCompletion,
        launcher: RunLauncher,
        next_request_id: Callable[[], int],
    ) -> None:
        self.config = config
        self.completion = completion
        self.launcher = launcher
        self.next_request_id = next_request_id
        self.requests = completion.requests
        self.keys = completion.keys
        self.answer_sender = completion.answer_sender
        self.actors: ConnectedActors = completion.actors
        self.clocks: Clocks = completion.clocks
        self.emit: Callable[[Event], None] = completion.emit

    def translate(self, message: RequestMessage) -> None:
        """Apply one message and emit the events that follow from it."""
        match message:
            case messages.SubmitRequest():
                self._submit(message)
            case messages.CancelRequest():
                self._cancel(message)
            case messages.RunCompleted():
                if request := self.requests.get_started(message.attempt_id):
                    self.completion.complete_run(request, message)
            case messages.CallRequested():
                self._request_call(message)
            case messages.CallReplyUnconfirmed():
                self._reopen_call(message)
            case messages.RunsLost():
                self._fail_lost_runs(message.runner)
            case messages.CallCompleted():
                self._complete_call(message)
            case _:
                self._handle_store_reply(message)

    def _submit(self, submission: messages.SubmitRequest) -> None:
        if self.requests.contains_attempt(submission):
            self.answer_sender.fail_unregistered(
                submission.frontend, submission.request_ref, "this try is in hand already"
            )
            return
        if self.completion.run_history.has_run(submission.attempt_id, self.clocks.monotonic()):
            self.answer_sender.fail_unregistered(
                submission.frontend, submission.request_ref, "this try has run already"
            )
            return
        request_id = self.next_request_id()
        class_settings = self.config.settings.classes[submission.class_index]
        request = Request(request_id, submission, class_settings)
        if submission.idempotency_key:
            request.content = request_content(submission)
        age = max(0.0, self.clocks.wall() - submission.received_at)
        self.keys.set_original(request, self.clocks.monotonic() - age)
        self.requests.add(request)
        self.emit(self._arrival(request, age))

    def _arrival(self, request: Request, age: float) -> RequestArrived:
        """Return the arrival event of a request that reached this machine `age` seconds ago."""
        submission = request.submission
        return RequestArrived(
            request_id=request.id,
            class_index=submission.class_index,
            caller=submission.caller,
            footprint_kb=submission.footprint_kb,
            tenant=submission.tenant,
            budget=_remaining(submission.budget, age),
            age=age,
            work_hint=submission.work_hint,
            original_id=request.original_id,
            is_retry=submission.is_retry,
            priority=submission.priority,
            partition_key=submission.partition_key,
            start_within=_remaining(submission.start_within, age),
        )

    def _cancel(self, cancel: messages.CancelRequest) -> None:
        request = self.requests.get_unanswered(cancel.frontend, cancel.request_ref)
        if request is None:
            return
        self.requests.remove_unanswered(request)
        request.release(cancel.may_run)
        if request.may_run_elsewhere and request.work_state is WorkState.QUEUED:
            self.keys.withdrawn.append(request)
        self.emit(RequestCancelled(request.id))

    def _request_call(self, requested: messages.CallRequested) -> None:
        request = self.requests.get_started(requested.attempt_id)
        if request is None:
            return
        self.completion.cancel_call(request)  # superseded by the new call
        request.request_call(requested.call_number, requested.body)
        self.emit(CallNeeded(request.id))

    def _complete_call(self, completed: messages.CallCompleted) -> None:
        request = self.requests.get(completed.request_id)
        if request is None or request.work_state is not WorkState.CALLING:
            return
        if completed.outcome is Outcome.OK:
            request.resume_run()
            reply = messages.DeliverCallReply(request.submission.attempt_id, completed.body)
            self.actors.runner_of(request).put(reply)
        else:
            request.fail_call()
        duration = self.clocks.monotonic() - request.wait_started_at
        self.emit(CallFinished(request.id, completed.outcome, duration))

    def _reopen_call(self, unconfirmed: messages.CallReplyUnconfirmed) -> None:
        request = self.requests.get_started(unconfirmed.attempt_id)
        if request is None or request.work_state is not WorkState.RUNNING:
            return
        request.reopen_call()
        self.emit(CallReplyUnconfirmed(request.id))

    def _fail_lost_runs(self, runner: messages.Runner) -> None:
        for request in self.requests.all_started():
            if self.actors.runner_of(request) is runner:
                lost = messages.RunCompleted(request.submission.attempt_id, Outcome.ERROR, 0.0)
                self.completion.complete_run(request, lost)

    def _handle_store_reply(self, reply: messages.StoreReply) -> None:
        request = self.requests.get(reply.request_id)
        if request is None:
            return
        match reply:
            case messages.IntentRecorded():
                self._start_recorded_run(request, reply)
            case messages.OutcomeRecorded():
                self.completion.complete_recorded_run(request)
            case messages.StoredResultFetched():
                self.completion.complete_duplicate(request, reply.result)

    def _start_recorded_run(self, request: Request, reply: messages.IntentRecorded) -> None:
        if request.work_state is not WorkState.RECORDING_INTENT:
            return
        request.end_intent_record(reply.recorded)
        if reply.recorded and request.time_left(self.clocks.wall()) > 0:
            self.launcher.launch(request)
            return
        # The due time has passed, or the intent is not durable and the key might be lost with the process.
        rejected = messages.RunCompleted(
            request.submission.attempt_id,
            Outcome.REJECTED,
            0.0,
            retry_after=reply.retry_after or MIN_TIME_LEFT,
        )
        self.completion.complete_run(request, rejected)
