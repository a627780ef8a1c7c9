"""Execution of the controller's actions on requests.

An action becomes a message to a runner, the downstream actor or a frontend.  It has no effect if its request
has meanwhile left the state that the action requires.
"""

from __future__ import annotations

from typing import TypeAlias

from shelfhaven.decision.actions import (
    AnswerFromOriginal,
    FailRequest,
    PlaceCall,
    RejectRequest,
    ReleaseKey,
    RetainKey,
    SkipCall,
    StartRun,
)
from shelfhaven.decision.events import RunFinished
from shelfhaven.decision.settings import Outcome
from shelfhaven.server import messages
from shelfhaven.server.request import AnswerState, Request, WorkState
from shelfhaven.server.request_completion import GIVEN_UP_TEXT, RequestCompletion
from shelfhaven.server.run_launcher import RunLauncher

RequestAction: TypeAlias = (
    StartRun
    | RejectRequest
    | FailRequest
    | RetainKey
    | ReleaseKey
    | AnswerFromOriginal
    | PlaceCall
    | SkipCall
)


class ActionExecutor:
    """Executes the controller's actions on requests."""

    def __init__(self, completion: RequestCompletion, launcher: RunLauncher) -> None:
        self.completion = completion
        self.launcher = launcher
        self.keys = completion.keys
        self.actors = completion.actors
        self.clocks = completion.clocks

    def execute(self, request: Request, action: RequestAction) -> None:
        """Execute one action on its request."""
        match action:
            case StartRun():
                self._start_run(request)
            case RejectRequest():
                self.completion.reject(request, action)
            case FailRequest():
                self.completion.give_up(request, GIVEN_UP_TEXT)
            case RetainKey():
                self.keys.retain(request, action.ttl)
            case ReleaseKey():
                self.keys.release(request)
            case AnswerFromOriginal():
                if request.work_state is WorkState.QUEUED:
                    self.completion.await_original(request)
            case PlaceCall() | SkipCall():
                if request.work_state is WorkState.CALL_REQUESTED:
                    self._resolve_call(request, action)

    def _start_run(self, request: Request) -> None:
        if request.work_state is not WorkState.QUEUED:
            return
        if request.answer_state is not AnswerState.PENDING:
            self.completion.emit(RunFinished(request.id, Outcome.ABANDONED, 0.0))
        elif not self.keys.record_intent(request):
            self.launcher.launch(request)

    def _resolve_call(self, request: Request, action: PlaceCall | SkipCall) -> None:
        """Place or skip the downstream call that the run has requested."""
        attempt_id = request.submission.attempt_id
        if isinstance(action, SkipCall):
            request.resume_run()
            proceed = messages.ProceedWithoutCall(attempt_id, request.call_number)
            self.actors.runner_of(request).put(proceed)
            return
        request.place_call(self.clocks.now)
        timeout = request.class_settings.deadline if action.timeout is None else action.timeout
        call = messages.PlaceCall(request.id, attempt_id, timeout, request.call_body)
        self.actors.downstream.put(call)
