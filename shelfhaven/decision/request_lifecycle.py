"""State changes in the life of a request, from the queue through runs and downstream calls to its answer.

Each method changes the request's state and appends the actions that go with the change.  `controller` decides
when to call which.
"""

from __future__ import annotations

import math

from shelfhaven.decision.actions import (
    Action,
    AnswerFromOriginal,
    FailRequest,
    PlaceCall,
    RejectRequest,
    ReleaseKey,
    RetainKey,
    SetTimer,
    SkipCall,
    StartRun,
    StopRun,
)
from shelfhaven.decision.downstream import CALL_BACKOFF_S, CallStep
from shelfhaven.decision.request import Request, RequestState
from shelfhaven.decision.server_state import ServerState
from shelfhaven.decision.settings import CancelMode, Outcome, RetrySafety
from shelfhaven.decision.timer_tokens import call_retry_token, progress_token


class RequestLifecycle:
    """Moves requests from state to state and collects actions; the owner sets a new list for each event."""

    __slots__ = (
        "_admission",
        "_answer_margin",
        "_callers",
        "_can_stop_runs",
        "_concurrency",
        "_connections",
        "_downstream",
        "_keys",
        "_memory",
        "_requests",
        "_settings",
        "actions",
    )

    def __init__(self, state: ServerState) -> None:
        self.actions: list[Action] = []
        self._settings = state.settings
        self._can_stop_runs = state.settings.cancel_mode is not CancelMode.NONE
        self._answer_margin = state.answer_margin
        self._admission = state.admission
        self._callers = state.callers
        self._concurrency = state.concurrency
        self._connections = state.connections
        self._downstream = state.downstream
        self._keys = state.keys
        self._memory = state.memory
        self._requests = state.requests

    def enqueue(self, now: float, request: Request) -> None:
        """Queue an admitted request and retain its key at once, so that duplicates find it."""
        self._callers.charge(request.caller)
        settings = request.settings
        if settings.retry_safety is RetrySafety.IDEMPOTENCY_KEY and settings.key_ttl > 0:
            ttl = settings.key_ttl + 2 * self._settings.tick
            self.actions.append(RetainKey(request.id, ttl))
            self._keys.retain(request.id, now + ttl)
        self._requests.queue[request.id] = request

    def answer_from_original(self, now: float, request: Request) -> None:
        """Answer a duplicate from its original, which may have run; the duplicate itself never runs."""
        self._requests.transition(now, request, RequestState.AWAITING_ORIGINAL)
        request.may_have_run = True
        if not self._memory.has_capacity_for(0.0):
            self.give_up(now, request)
            return
        self._requests.record_duplicate(request)
        self.actions.append(AnswerFromOriginal(request.id))

    def set_new_request_timers(self, now: float, request: Request) -> None:
        """Set a timer for a new request's due time, and one for its start limit if that is earlier."""
        delay = max(0.0, request.decide_by(self._answer_margin) - now)
        self.actions.append(SetTimer(delay, request.id, request.id))
        if request.start_by < request.due_at:
            self.actions.append(SetTimer(max(0.0, request.due_at - now), request.id, request.id))

    def set_due_timer(self, now: float, request: Request) -> None:
        """Set a timer for a request's due time, which has become earlier."""
        self.actions.append(SetTimer(request.due_at - now, request.id, request.id))

    def run(self, now: float, request: Request) -> None:
        """Start a queued request, or resume a suspended one."""
        self._admission.record_queue_wait(now, request)
        self._requests.queue.pop(request.id, None)
        self._requests.transition(now, request, RequestState.RUNNING)
        request.may_have_run = True
        request.started_at = min(now, request.started_at)
        self.actions.append(StartRun(request.id))
        # with spare cores, a run may continue past its objective: its client would retry a stopped one
        if self._can_stop_runs and self._concurrency.lacks_spare_cores():
            self._stop_at_objective(now, request)

    def requeue_suspended(self, now: float, request: Request) -> None:
        """Put a request whose run was suspended back in the queue."""
        request.suspending = False
        self._requests.queue[request.id] = request
        self._requests.transition(now, request, RequestState.SUSPENDED)

    def begin_call(self, now: float, request: Request) -> None:
        """Take a running request off the cores and place its downstream call if possible."""
        request.progress_due_at = math.inf
        self._requests.transition(now, request, RequestState.CALL_NEEDED)
        self.try_call(now, request)

    def try_call(self, now: float, request: Request) -> None:
        """Place the call that a request waits for, or skip it, retry it later or give the request up."""
        self._apply_call_step(now, request, self._downstream.next_step(now, request))

    def call_succeeded(self, now: float, request: Request) -> None:
        """Return a request to the cores after its call."""
        self._requests.transition(now, request, RequestState.RUNNING)
        self._suspend_newest_run()

    def call_failed(self, now: float, request: Request, outcome: Outcome) -> None:
        """Retry or skip a failed call, or give its request up."""
        self._requests.transition(now, request, RequestState.CALL_NEEDED)
        if not request.answered:
            step = self._downstream.step_after_failure(now, request, outcome)
            self._apply_call_step(now, request, step)

    def reply_unconfirmed(self, now: float, request: Request) -> None:
        """Handle a run that may still wait for its call's reply, which cannot be sent again.

        Its call is skipped if possible: that names the call, so nothing happens if the run got the reply.
        Otherwise the request is given up unless its run gives a sign of progress in the usual time.
        """
        if request.answered:
            return
        if request.settings.weight_without_call > 0:
            self.actions.append(SkipCall(request.id))
            return
        progress_time = self._downstream.progress_time(request)
        request.progress_due_at = now + progress_time
        self.actions.append(SetTimer(progress_time, progress_token(request.id), request.id))

    def check_progress(self, now: float, request: Request) -> None:
        """Give up a request whose run has shown no progress after an unconfirmed reply to its call."""
        if now >= request.progress_due_at - self._settings.tick:
            self.give_up(now, request)

    def reject(
        self, now: float, request: Request, no_retry_elsewhere: bool, min_retry_after: float = 0.0
    ) -> None:
        """Reject a request that has not run; tell when to come back and whether to retry elsewhere."""
        self._connections.record_rejection()
        retry_after = self._callers.retry_after(request.caller, min_retry_after, self._settings)
        self.actions.append(RejectRequest(request.id, retry_after, no_retry_elsewhere))
        self.finish(now, request)

    def give_up(self, now: float, request: Request) -> None:
        """Answer a request that will not be served: fail it if it may have run, otherwise reject it."""
        if request.answered:
            return
        if request.may_have_run:
            self.actions.append(FailRequest(request.id))
            self.abandon(now, request)
        else:
            self._admission.record_hopeless()
            self.reject(now, request, no_retry_elsewhere=True)

    def abandon(self, now: float, request: Request) -> None:
        """Finish a request that nobody waits for, or stop its run if possible and no duplicate needs it."""
        request.answered = True
        if request.state in (RequestState.QUEUED, RequestState.AWAITING_ORIGINAL, RequestState.SUSPENDED):
            self.finish(now, request)
        elif request.state is RequestState.RUNNING and not request.has_duplicates and self._can_stop_runs:
            self.actions.append(StopRun(request.id))

    def finish(self, now: float, request: Request) -> None:
        """Remove a request; its key stays retained if it may have run."""
        self._requests.remove(now, request)
        if not request.may_have_run:
            if self._keys.release(request.id):
                self.actions.append(ReleaseKey(request.id))
            if request.settings.retry_safety is RetrySafety.IDEMPOTENCY_KEY:
                self._keys.record_rejected(request.id, request.read_at + request.settings.key_ttl)
        request.answered = True

    def _stop_at_objective(self, now: float, request: Request) -> None:
        """Move the due time to the objective if a late answer earns nothing and the run may be repeated."""
        settings = request.settings
        if settings.retry_safety is RetrySafety.IDEMPOTENT and not settings.late_weight:
            request.due_at = max(now, min(request.due_at, request.objective_at))
            self.set_due_timer(now, request)

    def _suspend_newest_run(self) -> None:
        """After a returned call, suspend the newest run if there are more runs than slots.

        It resumes before new requests start.  Calls return at any time, and runs beyond the number of cores
        slow each other down, most of all on small servers.  The drawbacks: the newest run may be the most
        urgent one, and a suspended run keeps its memory, which may be short.
        """
        slots = self._concurrency.slots()
        if self._settings.cancel_mode is not CancelMode.SUSPEND or self._requests.running <= slots:
            return
        runs = [
            request
            for request in self._requests.by_id.values()
            if request.state is RequestState.RUNNING and not request.suspending
        ]
        if len(runs) > slots:
            newest = max(runs, key=lambda request: (request.started_at, request.id))
            newest.suspending = True
            self.actions.append(StopRun(newest.id))

    def _apply_call_step(self, now: float, request: Request, step: CallStep) -> None:
        match step:
            case CallStep.PLACE:
                self._requests.transition(now, request, RequestState.CALLING)
                self.actions.append(PlaceCall(request.id, self._downstream.timeout(now, request)))
            case CallStep.SKIP:
                self._requests.transition(now, request, RequestState.RUNNING)
                self.actions.append(SkipCall(request.id))
            case CallStep.RETRY_LATER:
                self.actions.append(SetTimer(CALL_BACKOFF_S, call_retry_token(request.id), request.id))
            case CallStep.GIVE_UP:
                self.give_up(now, request)  # does nothing if it is already answered
