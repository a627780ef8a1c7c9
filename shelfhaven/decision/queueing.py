"""Queueing: which queued request runs next, and which is hopeless.

Requests run in order of apparent tardiness cost, a dispatching rule from scheduling theory: the weight per
second of work, which rises as the latest start that still meets the objective approaches.  A request is
hopeless if it could not be answered before its answer becomes worthless.
"""

from __future__ import annotations

import math

from shelfhaven.decision.request import Request
from shelfhaven.decision.run_estimates import MIN_RUN_S, RunEstimates

# Look-ahead parameter of the rule: the slack, in mean runs, over which the cost falls by a factor of e.
# 2 is a usual value.
LOOK_AHEAD_RUNS = 2.0

# Multiple of its expected run time that a request which has waited must have left: run times vary, and runs
# may slow down.
QUEUED_RUN_MULTIPLE = 1.5

# The same multiple for a request that was read just now and may find a free core.  Both are scaled by the
# busy fraction of the cores, so that with spare cores every request is tried.
FRESH_RUN_MULTIPLE = 0.5


class Scheduler:
    """Orders a queue that is passed in, and finds the hopeless requests in it."""

    __slots__ = ("_answer_margin", "_last_checked_at", "_run_estimates")

    def __init__(self, run_estimates: RunEstimates, answer_margin: float) -> None:
        self._run_estimates = run_estimates
        self._answer_margin = answer_margin
        self._last_checked_at = -math.inf

    def hopeless_requests(
        self, now: float, queue: dict[int, Request], spare_fraction: float
    ) -> list[Request]:
        """Return the requests whose answer would be too late, given how busy the cores are."""
        busy_fraction = 1 - spare_fraction
        if now == self._last_checked_at:  # all but the newest were checked at this same time
            newest = next(reversed(queue.values()))
            return [newest] if self._is_hopeless(now, newest, busy_fraction) else []
        self._last_checked_at = now
        return [request for request in queue.values() if self._is_hopeless(now, request, busy_fraction)]

    def run_order(self, now: float, queue: dict[int, Request]) -> list[Request]:
        """Return the queue in the order to run it: suspended requests first, then by tardiness cost."""
        return sorted(
            queue.values(),
            key=lambda request: (request.started_at, -self._tardiness_cost(now, request), request.id),
        )

    def _is_hopeless(self, now: float, request: Request, busy_fraction: float) -> bool:
        if request.may_have_run:
            return False
        run_multiple = busy_fraction * (QUEUED_RUN_MULTIPLE if now > request.read_at else FRESH_RUN_MULTIPLE)
        answer_at = now + run_multiple * self._run_estimates.expected_run(request)
        return answer_at > request.worthless_at() or now >= request.decide_by(self._answer_margin)

    def _tardiness_cost(self, now: float, request: Request) -> float:
        run = max(self._run_estimates.expected_run(request), MIN_RUN_S)
        weight = self._run_estimates.weight_per_second(request.priority_weight, run)
        if now + QUEUED_RUN_MULTIPLE * run > request.objective_at:
            return weight * request.settings.late_weight
        slack = max(0.0, request.objective_at - now - run)
        return weight * math.exp(-slack / (LOOK_AHEAD_RUNS * self._run_estimates.longest_mean_run()))
