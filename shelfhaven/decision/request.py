"""A request, the states that it goes through, and the table of all requests.

    NEW -> QUEUED -> RUNNING <-> CALL_NEEDED <-> CALLING      (a downstream call)
                     RUNNING -> SUSPENDED -> RUNNING          (keeps its work)
           QUEUED -> AWAITING_ORIGINAL                        (a duplicate waits for its original's answer)

Any state except NEW may be followed by FINISHED.  The table counts the requests in each state and the memory
that they use.
"""

from __future__ import annotations

import math
from enum import IntEnum

from shelfhaven.decision.call_load import CallLoad
from shelfhaven.decision.caller_table import Caller
from shelfhaven.decision.events import RequestArrived
from shelfhaven.decision.inputs import positive_or_none, positive_or_zero
from shelfhaven.decision.memory import MemoryBudget
from shelfhaven.decision.settings import ClassSettings


class RequestState(IntEnum):
    """State of a request.  An integer, as the table uses it as the index of its counts on every change."""

    QUEUED = 0
    AWAITING_ORIGINAL = 1  # a duplicate that waits for its original's answer
    RUNNING = 2
    CALL_NEEDED = 3  # uses no core; waits until its downstream call is placed
    CALLING = 4
    SUSPENDED = 5  # stopped but keeps its work; queued to be resumed
    FINISHED = 6
    NEW = 7


class Request:
    """A request that this server has read.  Times are points on the host's clock, in seconds."""

    __slots__ = (
        "answered",
        "arrived_at",
        "call_retried",
        "caller",
        "class_index",
        "due_at",
        "footprint_kb",
        "has_duplicates",
        "hopeless_on_arrival",
        "id",
        "may_have_run",
        "objective_at",
        "original_id",
        "priority_weight",
        "progress_due_at",
        "read_at",
        "settings",
        "start_by",
        "started_at",
        "state",
        "suspending",
        "work_hint",
    )

    def __init__(self, event: RequestArrived, settings: ClassSettings, caller: Caller, now: float) -> None:
        self.id = event.request_id
        self.caller = caller
        self.class_index = event.class_index
        self.settings = settings
        self.footprint_kb = positive_or_zero(event.footprint_kb)
        self.work_hint = positive_or_none(event.work_hint)
        self.original_id = event.original_id or None  # set if this is a duplicate
        self.state = RequestState.NEW
        self.answered = False  # also true once nobody waits for the answer
        self.may_have_run = False  # this request, or its original if it is a duplicate
        self.has_duplicates = False  # which wait for its answer
        self.suspending = False  # its run is being stopped and will be resumed
        self.call_retried = False
        self.hopeless_on_arrival = False  # its client had already waited too long
        self.priority_weight = settings.priority_weight  # scaled by the tenant's fraction once that is known

        self.read_at = now
        self.arrived_at = now - positive_or_zero(event.age)  # when it reached this machine
        self.started_at = math.inf  # start of its first run
        start_within = positive_or_none(event.start_within)
        self.start_by = math.inf if start_within is None else now + start_within
        self.due_at = math.inf  # latest time for its answer
        self.progress_due_at = math.inf  # latest time for a sign that its run got the reply to its call
        self.objective_at = math.inf  # an answer by then earns the full weight

    def set_times(
        self, event: RequestArrived, waited_before: float, stops_at: float, answer_margin: float
    ) -> None:
        """Set the due time and the objective of a new request.

        `waited_before` is how long its client had waited before this attempt, `stops_at` is when the process
        ends (infinite if unknown), and `answer_margin` is how long before its due time an answer is sent.
        """
        settings = self.settings
        budget = positive_or_none(event.budget)
        if budget is None:
            due_at = max(self.read_at, self.arrived_at + settings.deadline)
        else:
            due_at = self.read_at + budget
        self.due_at = max(self.read_at, min(due_at, stops_at) - answer_margin)

        stretch = settings.objective_stretch * (self.work_hint or 0.0)
        objective = min(settings.deadline, settings.latency_objective + stretch)
        self.objective_at = min(self.due_at, self.arrived_at + objective - waited_before)

    def worthless_at(self) -> float:
        """Return the time after which an answer counts as worthless.

        It is the objective plus the late weight's fraction of the time between objective and due time.
        """
        return self.objective_at + self.settings.late_weight * (self.due_at - self.objective_at)

    def decide_by(self, answer_margin: float) -> float:
        """Return when a queued request is given up: at its due time, or earlier to meet its start limit."""
        return min(self.due_at, self.start_by - answer_margin)


class RequestTable:
    """All unfinished requests, the queue of those that wait to run, and the memory of all."""

    __slots__ = ("_call_load", "_counts", "_memory", "_memory_factors", "by_id", "queue")

    def __init__(self, memory: MemoryBudget, running_memory_factor: float, call_load: CallLoad) -> None:
        self.by_id: dict[int, Request] = {}
        self.queue: dict[int, Request] = {}  # queued and suspended requests, in insertion order
        self._memory = memory
        self._call_load = call_load
        self._counts = [0] * len(RequestState)
        self._memory_factors = [running_memory_factor] * len(RequestState)
        self._memory_factors[RequestState.QUEUED] = 1.0
        self._memory_factors[RequestState.AWAITING_ORIGINAL] = 1.0
        self._memory_factors[RequestState.FINISHED] = 0.0
        self._memory_factors[RequestState.NEW] = 0.0

    @property
    def running(self) -> int:
        """Number of requests that run on the cores."""
        return self._counts[RequestState.RUNNING]

    @property
    def waiting_for_calls(self) -> int:
        """Number of requests whose call is needed or in progress; they will return to the cores."""
        return self._counts[RequestState.CALL_NEEDED] + self._counts[RequestState.CALLING]

    def add(self, now: float, request: Request) -> None:
        """Add a new request to the table, but not to the queue."""
        self.by_id[request.id] = request
        self.transition(now, request, RequestState.QUEUED)

    def transition(self, now: float, request: Request, state: RequestState) -> None:
        """Change a request's state and update the counts, the memory in use and the call load."""
        previous = request.state
        self._counts[previous] -= 1
        self._memory.used_kb -= self._memory_factors[previous] * request.footprint_kb
        if previous is RequestState.CALLING:
            self._call_load.finish(now)
        self._counts[state] += 1
        self._memory.used_kb += self._memory_factors[state] * request.footprint_kb
        if state is RequestState.CALLING:
            self._call_load.begin(now)
        request.state = state

    def record_duplicate(self, duplicate: Request) -> None:
        """Mark the original, unless it has finished, as having a duplicate that waits for its answer."""
        if duplicate.original_id is None:
            return
        original = self.by_id.get(duplicate.original_id)
        if original is not None:
            original.has_duplicates = True

    def remove(self, now: float, request: Request) -> None:
        """Finish a request and remove it; its call, if still in progress, counts as abandoned."""
        if request.state is RequestState.CALLING:
            self._call_load.abandon(now)
        self.transition(now, request, RequestState.FINISHED)
        self.queue.pop(request.id, None)
        del self.by_id[request.id]
