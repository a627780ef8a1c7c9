"""The decisions of one server: events in, actions out.

The controller owns the order in which the parts are called; each decides one thing and can be read alone.
The mechanism that comes first is in `caller_table`: callers' headway counters and Retry-After.  `admission`
says how much is admitted, `arrival` what becomes of a new request, `queueing` what runs next,
`concurrency_limit` how many run at a time, `downstream` what becomes of calls, `health` whether the server is
fit, `control_loop` what is adjusted at regular intervals.  docs/design.md tells why, and when each exception
acts.

Nothing here reads a clock, draws at random or does I/O: `now` comes with each event, in seconds.
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
from shelfhaven.decision.timer_tokens import TICK_TOKEN, is_call_retry, request_id_of

# Outcomes of a run that never started: no server had capacity for it, or none could be reached.
RUN_NEVER_STARTED = (Outcome.REJECTED, Outcome.CONNECT_FAILED)


class Controller:
    """Decides what one server admits, runs and rejects."""

    def __init__(self, settings: Settings, seed: int) -> None:
        if settings.cores < 1 or settings.memory_kb <= 0 or not settings.classes:
            raise ValueError("settings: a server needs at least one core, some memory and classes of request")
        del seed  # part of the interface of controllers; this one draws nothing
        self.settings = settings
        self.state = ServerState(settings)
        self.answer_margin = self.state.answer_margin
        self._requests = self.state.requests
        self._lifecycle = RequestLifecycle(self.state)
        self._control_loop = ControlLoop(self.state)

    def on_event(self, now: float, event: events.Event) -> list[Action]:
        """Take one event and return the actions it calls for."""
        actions: list[Action] = []
        self._lifecycle.actions = actions
        match event:
            case events.RequestArrived():
                self._arrive(now, event)
            case events.TimerFired():
                self._timer_fired(now, event)
            case events.DrainStarted():
                self._drain(now, event.time_left)
            case events.ServerStarted():
                self._start(now)
            case _:
                request = self._requests.by_id.get(event.request_id)
                if request is not None:  # else it has ended here
                    self._progress(now, request, event)
        self._dispatch(now)
        return actions

    # Measurements, some of which may outlive the process

    def status(self) -> ControllerStatus:
        """What it believes just now, for the log."""
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
        """What it has measured of runs and calls, as plain values."""
        runs = self.state.runs
        return LearnedEstimates(
            run_means=tuple(runs.run_means),
            hint_means=tuple(runs.hint_means),
            hinted_run_means=tuple(runs.hinted_run_means),
            call_mean=self.state.downstream.mean,
            call_deviation=self.state.downstream.deviation,
        )

    def restore_estimates(self, estimates: LearnedEstimates, weight: float) -> None:
        """Take what a previous incarnation has measured as a prior of that weight (0 to 1)."""
        self.state.runs.restore(estimates, weight)
        self.state.downstream.restore(estimates.call_mean, estimates.call_deviation, weight)

    # Start, arrivals and drain

    def _start(self, now: float) -> None:
        self.state.warm_up.start(now)
        self.state.health.stall_detector.start(now)
        self._lifecycle.actions += [SetTimer(CONTROL_INTERVAL_S, TICK_TOKEN), SetHealth(True)]

    def _arrive(self, now: float, event: events.RequestArrived) -> None:
        if event.request_id in self._requests.by_id:
            return
        if not 0 <= event.class_index < len(self.settings.classes):  # an answer is owed all the same
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
            self._lifecycle.set_decision_timers(now, request)

    def _drain(self, now: float, time_left: float) -> None:
        """Run nothing that comes after the grace, and answer everything before the stop."""
        shutdown = self.state.shutdown
        shutdown.start(now, time_left, self.state.concurrency.idle_fraction)
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

    def _timer_fired(self, now: float, event: events.TimerFired) -> None:
        if event.token == TICK_TOKEN:
            gauges = dict(zip(self.settings.gauges, event.gauges, strict=False))
            self._lifecycle.actions.append(SetTimer(CONTROL_INTERVAL_S, TICK_TOKEN))
            self._lifecycle.actions += self._control_loop.tick(now, gauges)
            return
        request = self._requests.by_id.get(request_id_of(event.token))
        if request is None:
            return
        if is_call_retry(event.token):
            if request.state is RequestState.CALL_NEEDED:
                self._lifecycle.continue_call(now, request)
        elif now >= self._ends_at(request) - self.settings.tick:
            self._lifecycle.give_up(now, request)

    def _ends_at(self, request: Request) -> float:
        """When a request is given up: by the start of its run while it is queued, else when it is due."""
        if request.state in (RequestState.QUEUED, RequestState.REUSING):
            return request.decide_by(self.answer_margin)
        return request.due_at

    # Queue, runs and calls

    def _dispatch(self, now: float) -> None:
        """Give up what has no hope left, then run what there is a free slot for."""
        state = self.state
        queue = self._requests.queue
        if not queue:
            return
        for request in state.scheduler.hopeless(now, queue, state.concurrency.spare_fraction()):
            self._lifecycle.give_up(now, request)
        if not state.has_free_slot():
            return
        for request in state.scheduler.order(now, queue):
            if not state.has_free_slot():
                return
            if state.may_run(request):
                self._lifecycle.run(now, request)

    def _progress(self, now: float, request: Request, event: events.Event) -> None:
        """What happens to a request that was read: its run, its calls, its cancellation."""
        match event:
            case events.RunFinished():
                self._run_finished(now, request, event)
            case events.CallNeeded() if request.state is RequestState.RUNNING:
                self.state.health.stall_detector.record_progress(now)
                self._lifecycle.need_call(now, request)
            case events.CallFinished() if request.state is RequestState.CALLING:
                self._call_finished(now, request, event)
            case events.RequestCancelled():
                self._lifecycle.abandon(now, request)

    def _run_finished(self, now: float, request: Request, event: events.RunFinished) -> None:
        state = self.state
        state.health.stall_detector.record_progress(now)
        if event.outcome is Outcome.CANCELLED and request.suspending and not request.answered:
            self._lifecycle.suspended(now, request)
            return
        if event.outcome is Outcome.OK and request.state in (RequestState.RUNNING, RequestState.CALLING):
            state.runs.record_run(request, positive_or_zero(event.duration))
        if event.outcome in RUN_NEVER_STARTED and request.state is RequestState.RUNNING:
            self._run_never_started(now, request, positive_or_none(event.retry_after))
            return
        if event.outcome in (Outcome.CANCELLED, Outcome.ABANDONED) and not request.answered:
            # its caller has left without notice, or it had ended before: an answer does no harm then
            self._lifecycle.actions.append(FailRequest(request.id))
        if request.state is not RequestState.REUSING:
            state.callers.record_completion()
            state.health.lag_detector.record_run_end()
        self._lifecycle.finish(now, request)

    def _run_never_started(self, now: float, request: Request, retry_after: float | None) -> None:
        """Reject a run that found no server like any other request; its key is free for a later attempt.

        Where its runner says when to come back, something other than load kept it, and none is learned from
        it.  Guards against pools of servers that are all full or down.  Risk: a runner that is wrong.
        """
        request.may_have_run = False
        if retry_after is None:
            self.state.admission.record_hopeless()
        if request.answered:
            self._lifecycle.finish(now, request)
        else:
            minimum = retry_after or 0.0
            self._lifecycle.reject(now, request, no_retry_elsewhere=False, min_retry_after=minimum)

    def _call_finished(self, now: float, request: Request, event: events.CallFinished) -> None:
        self.state.downstream.record(now, event)
        if event.outcome is Outcome.OK:
            self._lifecycle.call_succeeded(now, request)
        else:
            self._lifecycle.call_failed(now, request, event.outcome)
