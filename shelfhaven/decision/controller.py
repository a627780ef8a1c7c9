"""The controller of one server: it takes events and returns actions.

The controller calls the other modules in the right order; each of them makes one kind of decision and can be
read on its own:

- `caller_table`: the primary mechanism, callers' headway counters and Retry-After
- `admission`: how many requests are admitted
- `arrival`: whether a new request is admitted, rejected or answered from its original
- `queueing`: which request runs next
- `concurrency_limit`: how many requests run at a time
- `downstream`: what is done about downstream calls
- `health`: whether the server is healthy
- `control_loop`: what is adjusted at regular intervals

docs/design.md gives the reasons, and says when each exception to the primary mechanism applies.

Nothing here reads a clock, uses random numbers or does I/O: `now`, in seconds, comes with each event.
"""

from __future__ import annotations

from shelfhaven.decision import arrival, events
from shelfhaven.decision.actions import Action, FailRequest, RejectRequest, SetHealth, SetTimer
from shelfhaven.decision.arrival import ArrivalDecision
from shelfhaven.decision.averages import CONTROL_INTERVAL_S
from shelfhaven.decision.control_loop import ControlLoop
from shelfhaven.decision.estimates import ControllerStatus, LearnedEstimates
from shelfhaven.decision.inputs import positive_or_none, positive_or_zero
from shelfhaven.decision.request import Request, RequestState
from shelfhaven.decision.request_lifecycle import RequestLifecycle
from shelfhaven.decision.server_state import ServerState
from shelfhaven.decision.settings import Outcome, Settings
from shelfhaven.decision.timer_tokens import TICK_TOKEN, is_call_retry, is_progress_check, request_id_of

# Outcomes of a run that never started: no backend had capacity for it, or none could be reached.
RUN_NEVER_STARTED = (Outcome.REJECTED, Outcome.CONNECT_FAILED)


class Controller:
    """Decides which requests one server admits, runs and rejects."""

    def __init__(self, settings: Settings, seed: int) -> None:
        if settings.cores < 1 or settings.memory_kb <= 0 or not settings.classes:
            raise ValueError("settings: cores must be at least 1, memory_kb positive and classes not empty")
        del seed  # required by the controller interface; this controller uses no random numbers
        self.settings = settings
        self.state = ServerState(settings)
        self.answer_margin = self.state.answer_margin
        self._requests = self.state.requests
        self._lifecycle = RequestLifecycle(self.state)
        self._control_loop = ControlLoop(self.state)

    def on_event(self, now: float, event: events.Event) -> list[Action]:
        """Handle one event and return the actions to carry out."""
        actions: list[Action] = []
        self._lifecycle.actions = actions
        match event:
            case events.RequestArrived():
                self._handle_arrival(now, event)
            case events.TimerFired():
                self._handle_timer(now, event)
            case events.DrainStarted():
                self._handle_drain(now, event)
            case events.ServerStarted():
                self._handle_start(now)
            case _:
                request = self._requests.by_id.get(event.request_id)
                if request is not None:  # None once the request has finished
                    self._handle_request_event(now, request, event)
        self._dispatch(now)
        return actions

    # Status and learned estimates

    def status(self) -> ControllerStatus:
        """Return the current state of the controller, for the log."""
        state = self.state
        return ControllerStatus(
            admitted_share=state.admission.admitted_share,
            relative_queue_wait=state.admission.relative_wait,
            concurrency_limit=state.concurrency.limit,
            event_loop_lag=state.health.lag_detector.lag,
            warm_up_progress=state.warm_up.progress,
            idle_fraction=state.concurrency.idle_fraction,
            callers=len(state.callers.entries),
            heaviest_caller_share=state.callers.heaviest_share,
        )

    def estimates(self) -> LearnedEstimates:
        """Return the measurements of runs and calls that may outlive the process, as plain values."""
        estimates = self.state.run_estimates
        return LearnedEstimates(
            run_means=tuple(estimates.run_means),
            hint_means=tuple(estimates.hint_means),
            hinted_run_means=tuple(estimates.hinted_run_means),
            call_mean=self.state.downstream.mean,
            call_deviation=self.state.downstream.deviation,
        )

    def restore_estimates(self, estimates: LearnedEstimates, weight: float) -> None:
        """Use the estimates of a previous incarnation as a prior of the given weight (0 to 1)."""
        self.state.run_estimates.restore(estimates, weight)
        self.state.downstream.restore(estimates.call_mean, estimates.call_deviation, weight)

    # Start, arrivals and drain

    def _handle_start(self, now: float) -> None:
        self.state.warm_up.start(now)
        self.state.health.stall_detector.start(now)
        self._lifecycle.actions += [SetTimer(CONTROL_INTERVAL_S, TICK_TOKEN), SetHealth(True)]

    def _handle_arrival(self, now: float, event: events.RequestArrived) -> None:
        if event.request_id in self._requests.by_id:
            return
        if not 0 <= event.class_index < len(self.settings.classes):  # must be answered all the same
            self._lifecycle.actions.append(RejectRequest(event.request_id))
            return
        request = arrival.register_request(now, event, self.state)
        match arrival.decide(now, request, self.state):
            case ArrivalDecision.ADMIT:
                self._lifecycle.enqueue(now, request)
            case ArrivalDecision.ANSWER_FROM_ORIGINAL:
                self._lifecycle.answer_from_original(now, request)
            case ArrivalDecision.REJECT:
                self._lifecycle.reject(now, request, no_retry_elsewhere=False)
            case ArrivalDecision.REJECT_WITHOUT_RETRY:
                self._lifecycle.reject(now, request, no_retry_elsewhere=True)
        if request.state is not RequestState.FINISHED:
            self._lifecycle.set_new_request_timers(now, request)

    def _handle_drain(self, now: float, event: events.DrainStarted) -> None:
        """Start to drain: run no arrivals after the grace, and answer every request before the stop."""
        shutdown = self.state.shutdown
        shutdown.start(now, event, self.state.concurrency.idle_fraction)
        latest_answer_at = shutdown.stops_at - self.answer_margin
        for request in list(self._requests.by_id.values()):
            request.due_at = min(request.due_at, latest_answer_at)
            request.objective_at = min(request.objective_at, request.due_at)
            if request.due_at <= now:
                self._lifecycle.give_up(now, request)
            else:
                self._lifecycle.set_due_timer(now, request)
        self._lifecycle.actions.append(SetHealth(False))
        self._lifecycle.actions += self._control_loop.advertise_load(now)

    # Timers

    def _handle_timer(self, now: float, event: events.TimerFired) -> None:
        if event.token == TICK_TOKEN:
            gauges = dict(zip(self.settings.gauges, event.gauges, strict=False))
            self._lifecycle.actions.append(SetTimer(CONTROL_INTERVAL_S, TICK_TOKEN))
            self._lifecycle.actions += self._control_loop.tick(now, gauges)
            return
        request = self._requests.by_id.get(request_id_of(event.token))
        if request is None:
            return
        if is_progress_check(event.token):
            self._lifecycle.check_progress(now, request)
        elif is_call_retry(event.token):
            if request.state is RequestState.CALL_NEEDED:
                self._lifecycle.try_call(now, request)
        elif now >= self._give_up_at(request) - self.settings.tick:
            self._lifecycle.give_up(now, request)

    def _give_up_at(self, request: Request) -> float:
        """Return when a request is given up: while it waits to run, possibly before its due time."""
        if request.state in (RequestState.QUEUED, RequestState.AWAITING_ORIGINAL):
            return request.decide_by(self.answer_margin)
        return request.due_at

    # Queue, runs and calls

    def _dispatch(self, now: float) -> None:
        """Give up hopeless requests, then run queued ones while slots are free."""
        state = self.state
        queue = self._requests.queue
        if not queue:
            return
        for request in state.scheduler.hopeless_requests(now, queue, state.concurrency.spare_fraction()):
            self._lifecycle.give_up(now, request)
        if not state.has_free_slot():
            return
        for request in state.scheduler.run_order(now, queue):
            if not state.has_free_slot():
                return
            if state.may_run(request):
                self._lifecycle.run(now, request)

    def _handle_request_event(self, now: float, request: Request, event: events.Event) -> None:
        """Handle an event of a request in the table: its run, its calls or its cancellation."""
        match event:
            case events.RunFinished():
                self._handle_run_finished(now, request, event)
            case events.CallNeeded() if request.state is RequestState.RUNNING:
                self.state.health.stall_detector.record_progress(now)
                self._lifecycle.begin_call(now, request)
            case events.CallFinished() if request.state is RequestState.CALLING:
                self._handle_call_finished(now, request, event)
            case events.CallReplyUnconfirmed() if request.state is RequestState.RUNNING:
                self._lifecycle.reply_unconfirmed(now, request)
            case events.RequestCancelled():
                self._lifecycle.abandon(now, request)

    def _handle_run_finished(self, now: float, request: Request, event: events.RunFinished) -> None:
        state = self.state
        state.health.stall_detector.record_progress(now)
        if event.outcome is Outcome.CANCELLED and request.suspending and not request.answered:
            self._lifecycle.requeue_suspended(now, request)
            return
        if event.outcome is Outcome.OK and request.state in (RequestState.RUNNING, RequestState.CALLING):
            state.run_estimates.record_run(request, positive_or_zero(event.duration))
        if event.outcome in RUN_NEVER_STARTED and request.state is RequestState.RUNNING:
            self._handle_unstarted_run(now, request, positive_or_none(event.retry_after))
            return
        if event.outcome in (Outcome.CANCELLED, Outcome.ABANDONED) and not request.answered:
            # its caller left without notice, or the run had already ended; an answer does no harm
            self._lifecycle.actions.append(FailRequest(request.id))
        if request.state is not RequestState.AWAITING_ORIGINAL:
            state.callers.record_completion()
            state.health.lag_detector.record_run_end()
        self._lifecycle.finish(now, request)

    def _handle_unstarted_run(self, now: float, request: Request, retry_after: float | None) -> None:
        """Reject a request whose run never started, and release its key for a later attempt.

        This handles pools whose backends are all full or down.  If the runner gives a retry-after, something
        other than load kept the run from starting, so admission control does not count it.  A runner that
        wrongly reports a run as not started allows a second execution.
        """
        request.may_have_run = False
        if retry_after is None:
            self.state.admission.record_hopeless()
        if request.answered:
            self._lifecycle.finish(now, request)
        else:
            min_retry_after = retry_after or 0.0
            self._lifecycle.reject(now, request, no_retry_elsewhere=False, min_retry_after=min_retry_after)

    def _handle_call_finished(self, now: float, request: Request, event: events.CallFinished) -> None:
        self.state.downstream.record(now, event)
        if event.outcome is Outcome.OK:
            self._lifecycle.call_succeeded(now, request)
        else:
            self._lifecycle.call_failed(now, request, event.outcome)
