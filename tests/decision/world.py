"""A simulated host for one controller, driven by tests, with an oracle that checks four rules.

The host makes no decisions: it applies the controller's actions and changes states as the interface requires.
After each event the oracle asserts, from its own records, that

1. every request gets one answer, in time;
2. no effect happens twice;
3. memory and concurrency stay within what the server survives;
4. every request is answered by the end of a drain.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from shelfhaven.decision import events
from shelfhaven.decision.actions import (
    Action,
    AdvertiseLoad,
    AnswerFromOriginal,
    FailRequest,
    PlaceCall,
    RejectRequest,
    ReleaseKey,
    RetainKey,
    SetHealth,
    SetIdleTimeout,
    SetTimer,
    SkipCall,
    StartRun,
    StopRun,
)
from shelfhaven.decision.controller import Controller
from shelfhaven.decision.settings import (
    NEVER_RAN,
    CancelMode,
    ClassSettings,
    LoadAdvertisement,
    Outcome,
    RetrySafety,
    Settings,
)


class JobState(Enum):
    """State of a request as its host sees it."""

    QUEUED = "queued"
    RUNNING = "running"
    CALL_NEEDED = "call needed"
    CALLING = "calling"
    AWAITING_ORIGINAL = "awaiting original"  # waits for its original's answer
    STOPPING = "stopping"  # asked to stop, but still running
    SUSPENDED = "suspended"
    FINISHED = "finished"


class Timer(NamedTuple):
    """A timer set by the controller."""

    at: float
    token: int


@dataclass
class Job:
    """The oracle's record of one request."""

    id: int
    class_index: int
    key: int
    arrived_at: float
    due_at: float
    footprint_kb: float
    state: JobState = JobState.QUEUED
    answers: int = 0
    cancelled: bool = False
    runs: int = 0
    original_id: int = 0
    calls: int = 0
    call_never_ran: bool = True  # the last call is known not to have run

    def is_in(self, *states: JobState) -> bool:
        """Whether the request is in one of the states."""
        return self.state in states


@dataclass
class World:
    """One simulated server and its controller."""

    settings: Settings
    seed: int = 1
    now: float = 100.0
    max_timer_delay: float = 0.0  # longest delay with which a timer has fired
    jobs: dict[int, Job] = field(default_factory=dict)
    timers: list[Timer] = field(default_factory=list)
    originals: dict[int, tuple[int, float]] = field(default_factory=dict)  # by key: request id, expiry
    run_arrivals: dict[int, list[float]] = field(default_factory=dict)  # by key: arrivals of runs
    retained: dict[int, float] = field(default_factory=dict)  # by request id: expiry of its key
    actions: list[Action] = field(default_factory=list)
    drain_at: float | None = None
    stop_at: float | None = None
    next_id: int = 1
    healthy: bool = True
    advertised: float | None = None

    def __post_init__(self) -> None:
        self.started_at = self.now
        self.controller = Controller(self.settings, self.seed)
        self.send(events.ServerStarted())

    # Events

    def send(self, event: events.Event) -> list[Action]:
        """Send an event to the controller, apply its actions and check the rules."""
        actions = self.controller.on_event(self.now, event)
        for action in actions:
            self._apply(action)
        self.actions += actions
        self._check_rules()
        return actions

    def arrive(
        self, class_index: int = 0, caller: int = 1, key: int = 0, budget: float = 0.0, age: float = 0.0,
        hint: float = 0.0, footprint_kb: float = 10.0, tenant: int = 0,
    ) -> Job:  # fmt: skip
        """Read a new request; it is a duplicate if its key is still valid from an earlier one."""
        settings = self.settings.classes[class_index]
        has_key = settings.retry_safety is RetrySafety.IDEMPOTENCY_KEY
        arrived_at = self.now - age
        due_at = self.now + budget if budget > 0 else max(self.now, arrived_at + settings.deadline)
        job = Job(self.next_id, class_index, key, arrived_at, due_at, footprint_kb)
        self.next_id += 1
        if has_key and key in self.originals:
            original_id, end = self.originals[key]
            if arrived_at < end:
                job.original_id = original_id
        self.jobs[job.id] = job
        self.send(
            events.RequestArrived(
                job.id,
                class_index,
                caller,
                footprint_kb,
                tenant=tenant,
                budget=budget,
                age=age,
                work_hint=hint,
                original_id=job.original_id,
            )
        )
        return job

    def advance(self, seconds: float, stall: bool = False, cpu: float = 1.0) -> None:
        """Advance the clock and fire due timers, or with `stall` fire them only at the end."""
        end = self.now + seconds
        if stall:
            self.now = end
            self.max_timer_delay = max(self.max_timer_delay, seconds)
        while True:
            due_timers = sorted(timer for timer in self.timers if timer.at <= end)
            if not due_timers:
                break
            timer = due_timers[0]
            self.timers.remove(timer)
            self.now = max(self.now, timer.at)
            gauges = tuple({"cpu_busy": cpu}.get(name, 0.0) for name in self.settings.gauges)
            self.send(events.TimerFired(timer.token, gauges))
        self.now = end
        self._check_rules()

    def finish(self, job: Job, outcome: Outcome = Outcome.OK, duration: float = 0.2) -> None:
        """End a run, or the wait of a duplicate."""
        assert job.state in (JobState.RUNNING, JobState.AWAITING_ORIGINAL)
        if outcome in (Outcome.OK, Outcome.ERROR) and not job.cancelled and not job.answers:
            job.answers += 1
        job.state = JobState.FINISHED
        self.send(events.RunFinished(job.id, outcome, duration))

    def need_call(self, job: Job) -> None:
        """Let a running request reach its downstream call."""
        assert job.state == JobState.RUNNING
        if job.answers or job.cancelled:
            job.state = JobState.FINISHED
            self.send(events.RunFinished(job.id, Outcome.CANCELLED, 0.1))
            return
        job.state, job.calls = JobState.CALL_NEEDED, 0
        self.send(events.CallNeeded(job.id))

    def end_call(self, job: Job, outcome: Outcome) -> None:
        """End a downstream call."""
        assert job.state == JobState.CALLING
        job.state = JobState.RUNNING if outcome is Outcome.OK else JobState.CALL_NEEDED
        job.call_never_ran = outcome in NEVER_RAN
        self.send(events.CallFinished(job.id, outcome, 0.1))

    def cancel(self, job: Job) -> None:
        """Let the caller stop waiting."""
        job.cancelled = True
        if job.state in (JobState.QUEUED, JobState.AWAITING_ORIGINAL, JobState.SUSPENDED):
            job.state = JobState.FINISHED
            self.send(events.RequestCancelled(job.id))
        elif job.state in (JobState.CALL_NEEDED, JobState.CALLING):
            job.state = JobState.FINISHED
            self.send(events.RequestCancelled(job.id))
            self.send(events.RunFinished(job.id, Outcome.CANCELLED, 0.1))
        else:
            self.send(events.RequestCancelled(job.id))

    def drain(self, time_left: float) -> None:
        """Start to drain; the process stops after `time_left` seconds."""
        self.drain_at, self.stop_at = self.now, self.now + time_left
        self.send(events.DrainStarted(time_left))

    # Oracle

    def memory(self) -> float:
        """Return the kilobytes in use by requests and retained keys."""
        factors = {JobState.QUEUED: 1.0, JobState.AWAITING_ORIGINAL: 1.0, JobState.FINISHED: 0.0}
        running_factor = self.settings.running_memory_factor
        requests_kb = sum(
            job.footprint_kb * factors.get(job.state, running_factor) for job in self.jobs.values()
        )
        key_count = sum(1 for end in self.retained.values() if end > self.now)
        return requests_kb + key_count * self.settings.key_kb

    def on_core(self) -> int:
        """Return the number of running requests."""
        return sum(1 for job in self.jobs.values() if job.state == JobState.RUNNING)

    def _answer(self, job: Job) -> None:
        assert job.answers == 0, f"second answer to request {job.id}"
        job.answers += 1

    def _runs_with_original(self, job: Job) -> int:
        original = self.jobs.get(job.original_id)
        return job.runs + (original.runs if original else 0)

    def _apply(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            assert action.delay >= 0
            self.timers.append(Timer(self.now + max(action.delay, 1e-4), action.token))
        elif isinstance(action, SetHealth):
            self.healthy = action.healthy
        elif isinstance(action, AdvertiseLoad):
            assert self.settings.load_advertisement is not LoadAdvertisement.NONE
            assert action.value >= 0
            self.advertised = action.value
        elif not isinstance(action, SetIdleTimeout):
            self._apply_to_job(self.jobs[action.request_id], action)

    def _apply_to_job(self, job: Job, action: Action) -> None:
        class_settings = self.settings.classes[job.class_index]
        match action:
            case StartRun():
                self._run(job, class_settings)
            case StopRun():
                self._stop(job)
            case RejectRequest() | FailRequest():
                if job.state is not JobState.FINISHED:
                    self._answer(job)
                    self._end_unserved(job, class_settings, action)
            case RetainKey() | ReleaseKey():
                self._apply_to_keys(job, class_settings, action)
            case AnswerFromOriginal():
                assert job.original_id, "answered from an original that it does not have"
                job.state = JobState.AWAITING_ORIGINAL
            case PlaceCall():
                self._place_call(job, class_settings, action.timeout)
            case SkipCall():
                assert job.state is JobState.CALL_NEEDED
                assert class_settings.weight_without_call > 0
                job.state = JobState.RUNNING

    def _end_unserved(
        self, job: Job, class_settings: ClassSettings, action: RejectRequest | FailRequest
    ) -> None:
        if isinstance(action, RejectRequest):
            may_run_again = class_settings.retry_safety is RetrySafety.IDEMPOTENT
            assert self._runs_with_original(job) == 0 or may_run_again, "rejected a request that has run"
            assert action.retry_after <= self.settings.max_retry_after
            job.state = JobState.FINISHED if job.state is not JobState.RUNNING else JobState.RUNNING
        elif job.state in (JobState.QUEUED, JobState.AWAITING_ORIGINAL, JobState.SUSPENDED):
            job.state = JobState.FINISHED
        elif job.state in (JobState.CALL_NEEDED, JobState.CALLING):
            job.state = JobState.STOPPING

    def _stop(self, job: Job) -> None:
        assert self.settings.cancel_mode is not CancelMode.NONE
        if job.state is JobState.RUNNING:
            is_wanted = not (job.answers or job.cancelled)
            can_resume = self.settings.cancel_mode is CancelMode.SUSPEND
            assert not is_wanted or can_resume, "aborted a run whose answer is still awaited"
            job.state = JobState.STOPPING

    def _apply_to_keys(self, job: Job, class_settings: ClassSettings, action: RetainKey | ReleaseKey) -> None:
        if isinstance(action, RetainKey):
            assert class_settings.retry_safety is RetrySafety.IDEMPOTENCY_KEY
            self.originals[job.key] = (job.id, self.now + action.ttl)
            self.retained = {id_: end for id_, end in self.retained.items() if self.jobs[id_].key != job.key}
            self.retained[job.id] = self.now + action.ttl
            return
        assert job.runs == 0, "released the key of a request that has run"
        self.retained.pop(job.id, None)
        if self.originals.get(job.key, (0, 0.0))[0] == job.id:
            del self.originals[job.key]

    def _place_call(self, job: Job, class_settings: ClassSettings, timeout: float | None) -> None:
        assert job.state is JobState.CALL_NEEDED
        may_repeat = job.call_never_ran or class_settings.retry_safety is RetrySafety.IDEMPOTENT
        assert job.calls == 0 or may_repeat, "retried a call that may have run"
        if timeout is None:
            mean = self.controller.estimates().call_mean
            assert mean == 0, "a timeout may be missing only until a call has been measured"
        else:
            assert timeout > 0
        job.calls += 1
        job.state = JobState.CALLING

    def _run(self, job: Job, class_settings: ClassSettings) -> None:
        if job.state == JobState.FINISHED:
            return
        if job.state == JobState.SUSPENDED:
            job.state = JobState.RUNNING
            return
        assert job.state == JobState.QUEUED
        assert job.runs == 0, "a request ran twice"
        if class_settings.retry_safety is RetrySafety.IDEMPOTENCY_KEY:
            earlier = [
                at
                for at in self.run_arrivals.get(job.key, [])
                if job.arrived_at - at <= class_settings.key_ttl
            ]
            assert not earlier, "the effect of a key happened twice"
            self.run_arrivals.setdefault(job.key, []).append(job.arrived_at)
            assert (
                self.retained.get(job.id, 0.0) >= job.arrived_at + class_settings.key_ttl
            ), "the key is not retained, or not for long enough"
        if self.drain_at is not None:
            assert (
                job.arrived_at <= self.drain_at + self.settings.drain_grace
            ), "ran an arrival after the grace"
        job.state, job.runs = JobState.RUNNING, 1

    def _check_rules(self) -> None:
        settings = self.settings
        warm_up_progress = 1.0
        if settings.starts_cold and settings.warm_up > 0:
            warm_up_progress = min(
                1.0,
                settings.cold_speed
                + (1 - settings.cold_speed) * (self.now - self.started_at) / settings.warm_up,
            )
        crash_concurrency = settings.cores * (1 + (settings.crash_concurrency_factor - 1) * warm_up_progress)
        assert self.on_core() <= crash_concurrency + 1e-9, "crash concurrency exceeded"
        assert self.memory() <= settings.memory_kb, "memory exceeded"
        for job in self.jobs.values():
            if job.answers or job.cancelled:
                continue
            assert self.now <= job.due_at + settings.answer_slack + self.max_timer_delay, f"{job.id} is late"
            if self.stop_at is not None:
                assert self.now < self.stop_at + self.max_timer_delay, f"{job.id} unanswered at the stop"

    def settle(self) -> None:
        """End runs that were asked to stop: finish answered or cancelled ones, suspend the others."""
        for job in list(self.jobs.values()):
            if job.state == JobState.STOPPING:
                job.state = JobState.FINISHED if job.answers or job.cancelled else JobState.SUSPENDED
                self.send(events.RunFinished(job.id, Outcome.CANCELLED, 0.1))
