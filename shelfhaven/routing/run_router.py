"""Routes the runs of one pool: chooses a backend and a timeout for each attempt, and decides on retries.

A router tracks each run from its launch until it finishes, and keeps a short queue of runs that wait for
capacity. A run that may have had its effect is not repeated: a run is retried only if it is idempotent, or if
all its earlier attempts are known not to have executed the request.

This module does no I/O and reads no clock. Each event is a method call with the current time, and returns
actions for `backends/uwsgi_pool.py` to carry out.
"""

from __future__ import annotations

import itertools
import math
from collections import Counter, OrderedDict
from collections.abc import Collection, Iterable
from random import Random

from shelfhaven.decision.settings import Outcome
from shelfhaven.routing.attempts import (
    NOT_RUN_RESULTS,
    OUTCOME_BY_RESULT,
    RETRIABLE_RESULTS,
    SIGNAL_BY_RESULT,
    Action,
    AttemptResult,
    Run,
    RunFinished,
    SendAttempt,
)
from shelfhaven.routing.backend import AttemptSignal
from shelfhaven.routing.pool import Pool
from shelfhaven.routing.pool_settings import PoolSettings
from shelfhaven.routing.retry_budget import RetryBudget
from shelfhaven.routing.slow_start import SlowStart

ATTEMPT_TIMEOUT_FACTOR = 8.0  # timeout of a retriable attempt, as a multiple of the typical latency
MIN_ATTEMPT_TIMEOUT = 0.05  # seconds; a brief pause of either process would exceed a shorter timeout


class RunRouter:
    """Routes the runs of one pool.

    Attributes:
        settings: settings of the pool.
        pool: the backends, and the choice among them.
        retry_budget: limit on the fraction of retries.
        attempt_numbers: source of attempt numbers.
        runs: runs that have not finished, by run ID.
        run_by_attempt: runs that have an attempt in flight, by attempt number.
        pending: runs that wait for capacity, by run ID, oldest first.
        actions: actions of the current event that have not been returned yet.
        retries: number of retries, for the log and the load report.
        local_results: number of attempts at backends in this node's zone, by class name and whether they
            failed, for the log and the load report.
    """

    def __init__(
        self,
        settings: PoolSettings,
        names: Iterable[str],
        now: float,
        seed: int,
        slow_start: SlowStart | None = None,
    ) -> None:
        self.settings = settings
        self.pool = Pool(settings, names, now, Random(seed), slow_start)
        # No initial tokens with a slow start: nodes that start together would spend them all at once.
        tokens = 0.0 if slow_start else settings.retry_reserve
        self.retry_budget = RetryBudget(settings.retry_ratio, settings.retry_reserve, tokens)
        self.attempt_numbers = itertools.count(1)
        self.runs: dict[str, Run] = {}
        self.run_by_attempt: dict[int, Run] = {}
        self.pending: OrderedDict[str, Run] = OrderedDict()
        self.actions: list[Action] = []
        self.retries = 0
        self.local_results: Counter[tuple[str, bool]] = Counter()

    # Events

    def launch(self, now: float, run: Run) -> list[Action]:
        """Accept a run and send or queue it; launching it again has no effect."""
        if run.run_id not in self.runs:
            run.launched_at = now
            self.runs[run.run_id] = run
            self.retry_budget.record_run()
            self._dispatch(now, run)
        return self._take_actions()

    def attempt_ended(self, now: float, attempt: int, result: AttemptResult) -> list[Action]:
        """Handle the end of an attempt; the end of an attempt that is not in flight is ignored."""
        run = self.run_by_attempt.pop(attempt, None)
        if run is not None:
            is_local = self.pool.is_local(attempt)
            self.pool.end_attempt(now, attempt, SIGNAL_BY_RESULT[result])
            run.last_result = result
            run.may_have_run |= result not in NOT_RUN_RESULTS
            is_retried = self._should_retry(now, run)
            if is_local:
                self._count_local_result(run, result, is_retried)
            self._retry_or_finish(now, run, is_retried)
            self._dispatch_pending(now)
        return self._take_actions()

    def advance(self, now: float) -> list[Action]:
        """Send pending runs for which there is capacity now, and finish those that have waited too long."""
        self._dispatch_pending(now)
        for run in [run for run in self.pending.values() if now >= run.pending_until]:
            self._give_up(now, run)
        return self._take_actions()

    def update(self, now: float, settings: PoolSettings, names: Collection[str]) -> list[Action]:
        """Apply new settings and a new list of backends; attempts in flight continue."""
        self.settings = settings
        self.retry_budget.retry_ratio = settings.retry_ratio
        self.retry_budget.max_tokens = settings.retry_reserve
        self.pool.update(now, settings, names)
        self._dispatch_pending(now)
        return self._take_actions()

    def next_advance(self, now: float) -> float:
        """Return the latest time at which `advance` must be called; infinite if no run is pending."""
        if not self.pending:
            return math.inf
        first_expiry = min(run.pending_until for run in self.pending.values())
        return min(first_expiry, self.pool.next_state_change(now))

    def capacity(self, now: float) -> float:
        """Return how many runs the pool can have in flight."""
        return self.pool.capacity(now)

    def _take_actions(self) -> list[Action]:
        actions = self.actions
        self.actions = []
        return actions

    # Dispatch

    def _dispatch(self, now: float, run: Run) -> None:
        """Send a run to a backend, or queue it if no backend has capacity."""
        if now >= run.deadline:
            self._give_up(now, run)
        elif not self._send(now, run):
            self._enqueue(now, run)

    def _send(self, now: float, run: Run) -> bool:
        """Start an attempt of a run. Return False if no backend has capacity."""
        time_left = run.deadline - now
        backend = self.pool.pick(now, run.tried_backends, run.idempotent, time_left, run.class_name)
        if backend is None:
            return False
        self.pending.pop(run.run_id, None)
        attempt = next(self.attempt_numbers)
        run.tried_backends.append(backend.name)
        self.run_by_attempt[attempt] = run
        self.pool.begin_attempt(now, backend, attempt, run.class_name)
        self.actions.append(SendAttempt(run.run_id, attempt, backend.name, self._attempt_timeout(now, run)))
        return True

    def _attempt_timeout(self, now: float, run: Run) -> float:
        """Return the timeout of an attempt, in seconds.

        This is the remaining time for which the caller waits, or longer if the result will be stored under an
        idempotency key. It is shorter if a retry is still possible, so that one unresponsive backend does not
        use up all of the remaining time.
        """
        time_left = max(0.0, run.deadline - now)
        if not run.idempotent:
            return time_left + (self.settings.idempotent_grace if run.has_idempotency_key else 0.0)
        typical = self.pool.latencies.expected(run.class_name)
        timeout = max(MIN_ATTEMPT_TIMEOUT, ATTEMPT_TIMEOUT_FACTOR * typical)
        if typical > 0 and self._allows_another_attempt(run) and timeout + typical < time_left:
            return timeout
        return time_left

    def _allows_another_attempt(self, run: Run) -> bool:
        attempts_left = len(run.tried_backends) < self.settings.max_attempts
        return attempts_left and len(self.pool.backends) > 1 and self.retry_budget.allows_retry

    def _latest_start(self, run: Run) -> float:
        """Return the time after which an attempt would typically end too late."""
        return run.deadline - self.pool.latencies.expected(run.class_name)

    def _enqueue(self, now: float, run: Run) -> None:
        """Queue a run until there is capacity; give it up if the queue is full or its time is too short."""
        run.pending_until = min(now + self.settings.max_pending_time, self._latest_start(run))
        if run.pending_until <= now or len(self.pending) >= self.settings.max_pending_runs:
            self._give_up(now, run)
        else:
            self.pending[run.run_id] = run

    def _dispatch_pending(self, now: float) -> None:
        """Send pending runs, oldest first, while there is capacity."""
        for run in list(self.pending.values()):
            if now >= self._latest_start(run):
                self._give_up(now, run)
            elif not self._send(now, run) and run.idempotent:
                return  # without capacity for an idempotent run, there is none for other runs either

    # Results

    def _count_local_result(self, run: Run, result: AttemptResult, is_retried: bool) -> None:
        signal = SIGNAL_BY_RESULT[result]
        if signal not in (AttemptSignal.SUCCESS, AttemptSignal.FAILURE):
            return
        if is_retried and result is AttemptResult.TIMEOUT:
            return  # the timeout was a multiple of the typical latency; a slow attempt is not a failure
        self.local_results[run.class_name, signal is AttemptSignal.FAILURE] += 1

    def _retry_or_finish(self, now: float, run: Run, is_retried: bool) -> None:
        """Retry or finish a run whose attempt ended."""
        if is_retried:
            self.retry_budget.take_retry()
            self.retries += 1
            self._dispatch(now, run)
        elif run.last_result in OUTCOME_BY_RESULT:
            self._finish(now, run, OUTCOME_BY_RESULT[run.last_result])
        else:
            self._give_up(now, run)

    def _should_retry(self, now: float, run: Run) -> bool:
        """Return whether a retry is safe, may help, can finish in time, and is within the retry budget."""
        if run.last_result not in (*RETRIABLE_RESULTS, *NOT_RUN_RESULTS) or (
            run.may_have_run and not run.idempotent
        ):
            return False
        can_finish_in_time = now + self.pool.latencies.expected(run.class_name) < run.deadline
        has_untried = any(name not in run.tried_backends for name in self.pool.backends)
        attempts_left = len(run.tried_backends) < self.settings.max_attempts
        return attempts_left and can_finish_in_time and has_untried and self.retry_budget.allows_retry

    def _give_up(self, now: float, run: Run) -> None:
        """Finish a run without a further attempt; the outcome depends on whether it may have run."""
        if run.may_have_run:
            self._finish(now, run, OUTCOME_BY_RESULT.get(run.last_result, Outcome.ERROR))
            return
        unreachable = bool(run.tried_backends) and run.last_result is AttemptResult.UNREACHABLE
        self._finish(now, run, Outcome.CONNECT_FAILED if unreachable else Outcome.REJECTED)

    def _finish(self, now: float, run: Run, outcome: Outcome) -> None:
        self.pending.pop(run.run_id, None)
        del self.runs[run.run_id]
        elapsed = now - run.launched_at
        self.actions.append(RunFinished(run.run_id, outcome, elapsed, len(run.tried_backends)))
