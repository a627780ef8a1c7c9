"""Routes the runs of one pool: where each goes, how long an attempt may take, whether it is retried.

Holds each run from its launch to its one end, and the few that wait for capacity. What may have had its
effect is not retried: a retry is made only if all attempts before are known not to have run, or the run is
idempotent.

Pure: no I/O and no clock. Events are calls with the time, actions are returned;
`backends/uwsgi_pool.py` carries them out.
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

ATTEMPT_TIMEOUT_FACTOR = 8.0  # typical latencies after which an idempotent run is tried elsewhere
MIN_ATTEMPT_TIMEOUT = 0.05  # seconds; a shorter one would already be reached by a pause of either side


class RunRouter:
    """The runs of one pool.

    `retries` and `local_results` are counted for the log and the load report; the latter are the attempts at
    backends of this node's own zone, by class and whether they failed.
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
        # a fleet that starts together has no retries saved up to spend together
        tokens = 0.0 if slow_start else settings.retry_reserve
        self.retry_budget = RetryBudget(settings.retry_ratio, settings.retry_reserve, tokens)
        self.attempt_numbers = itertools.count(1)
        self.runs: dict[str, Run] = {}
        self.by_attempt: dict[int, Run] = {}
        self.pending: OrderedDict[str, Run] = OrderedDict()  # waiting for capacity, oldest first
        self.actions: list[Action] = []
        self.retries = 0
        self.local_results: Counter[tuple[str, bool]] = Counter()

    # Events

    def launch(self, now: float, run: Run) -> list[Action]:
        """Take a run; a second launch of a known one changes nothing."""
        if run.run_id not in self.runs:
            run.launched_at = now
            self.runs[run.run_id] = run
            self.retry_budget.record_run()
            self._dispatch(now, run)
        return self._take_actions()

    def attempt_ended(self, now: float, attempt: int, result: AttemptResult) -> list[Action]:
        """An attempt ended; one that is not in flight any more is ignored."""
        run = self.by_attempt.pop(attempt, None)
        if run is not None:
            is_local = self.pool.is_local(attempt)
            self.pool.end_attempt(now, attempt, SIGNAL_BY_RESULT[result])
            run.last_result = result
            run.may_have_run |= result not in NOT_RUN_RESULTS
            is_retried = self._should_retry(now, run)
            if is_local:
                self._count_local_result(run, result, is_retried)
            self._continue(now, run, is_retried)
            self._dispatch_pending(now)
        return self._take_actions()

    def advance(self, now: float) -> list[Action]:
        """Act on the passing of time: ends of waits, and capacity that opened."""
        self._dispatch_pending(now)
        for run in [run for run in self.pending.values() if now >= run.pending_until]:
            self._give_up(now, run)
        return self._take_actions()

    def update(self, now: float, settings: PoolSettings, names: Collection[str]) -> list[Action]:
        """Take new settings and a new endpoint list; attempts in flight stay where they are."""
        self.settings = settings
        self.retry_budget.retry_ratio = settings.retry_ratio
        self.retry_budget.max_tokens = settings.retry_reserve
        self.pool.update(now, settings, names)
        self._dispatch_pending(now)
        return self._take_actions()

    def next_advance(self, now: float) -> float:
        """Time at which `advance` must be called at the latest; infinite if nothing waits."""
        if not self.pending:
            return math.inf
        first_end = min(run.pending_until for run in self.pending.values())
        return min(first_end, self.pool.next_state_change(now))

    def capacity(self, now: float) -> float:
        """Runs that the pool can have in flight."""
        return self.pool.capacity(now)

    def _take_actions(self) -> list[Action]:
        actions = self.actions
        self.actions = []
        return actions

    # Dispatch

    def _dispatch(self, now: float, run: Run) -> None:
        """Send a run to a backend, or let it wait for one."""
        if now >= run.deadline:
            self._give_up(now, run)
        elif not self._send(now, run):
            self._wait(now, run)

    def _send(self, now: float, run: Run) -> bool:
        """Start an attempt of a run; False where no backend has capacity."""
        time_left = run.deadline - now
        backend = self.pool.pick(now, run.tried_backends, run.idempotent, time_left, run.class_name)
        if backend is None:
            return False
        self.pending.pop(run.run_id, None)
        attempt = next(self.attempt_numbers)
        run.tried_backends.append(backend.name)
        self.by_attempt[attempt] = run
        self.pool.begin_attempt(now, backend, attempt, run.class_name)
        self.actions.append(SendAttempt(run.run_id, attempt, backend.name, self._attempt_timeout(now, run)))
        return True

    def _attempt_timeout(self, now: float, run: Run) -> float:
        """Seconds that an attempt may take.

        That is the time that the caller waits, and longer for a result that is stored under a key. It is less
        where a retry could still be made, so that one unresponsive backend does not use all of that time.
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
        """Time after which an attempt would typically end too late."""
        return run.deadline - self.pool.latencies.expected(run.class_name)

    def _wait(self, now: float, run: Run) -> None:
        """Let a run wait for capacity, within the bounds and while it can still end in time."""
        run.pending_until = min(now + self.settings.max_pending_time, self._latest_start(run))
        if run.pending_until <= now or len(self.pending) >= self.settings.max_pending_runs:
            self._give_up(now, run)
        else:
            self.pending[run.run_id] = run

    def _dispatch_pending(self, now: float) -> None:
        """Send the runs that wait, oldest first, as far as there is capacity."""
        for run in list(self.pending.values()):
            if now >= self._latest_start(run):
                self._give_up(now, run)
            elif not self._send(now, run) and run.idempotent:
                return  # a run that may not run twice finds no backend then either

    # Results

    def _count_local_result(self, run: Run, result: AttemptResult, is_retried: bool) -> None:
        signal = SIGNAL_BY_RESULT[result]
        if signal not in (AttemptSignal.SUCCESS, AttemptSignal.FAILURE):
            return
        if is_retried and result is AttemptResult.TIMEOUT:
            return  # its time-out was a multiple of the typical latency: slower than usual is not failed
        self.local_results[run.class_name, signal is AttemptSignal.FAILURE] += 1

    def _continue(self, now: float, run: Run, is_retried: bool) -> None:
        """Retry a run whose attempt ended, or finish it."""
        if is_retried:
            self.retry_budget.take_retry()
            self.retries += 1
            self._dispatch(now, run)
        elif run.last_result in OUTCOME_BY_RESULT:
            self._finish(now, run, OUTCOME_BY_RESULT[run.last_result])
        else:
            self._give_up(now, run)

    def _should_retry(self, now: float, run: Run) -> bool:
        """Whether a retry is harmless, useful, in time and within the budget."""
        if run.last_result not in (*RETRIABLE_RESULTS, *NOT_RUN_RESULTS) or (
            run.may_have_run and not run.idempotent
        ):
            return False
        in_time = now + self.pool.latencies.expected(run.class_name) < run.deadline
        has_untried = any(name not in run.tried_backends for name in self.pool.backends)
        attempts_left = len(run.tried_backends) < self.settings.max_attempts
        return attempts_left and in_time and has_untried and self.retry_budget.allows_retry

    def _give_up(self, now: float, run: Run) -> None:
        """Finish a run without a further attempt; whether it may have run decides its outcome."""
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
