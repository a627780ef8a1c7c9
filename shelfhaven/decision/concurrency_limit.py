"""The concurrency limit: how many requests run at the same time.

By default, one request runs on each core.  If cores are idle while all slots are taken and requests are
queued, the running requests are waiting for something else (a disk, for example), and the limit is raised.
Once the cores are busy it is lowered again, since more runs than cores slow each other down.  Running
requests, together with those that will return from downstream calls, stay below a fraction of the concurrency
at which a server crashes.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from shelfhaven.decision.settings import Settings

# CPU utilization from which the cores count as busy; below it, more running requests would help.
BUSY_FRACTION = 0.9

# Factors by which the limit grows and shrinks in each control interval.
INCREASE_FACTOR = 1.1
DECREASE_FACTOR = 0.95

# Seconds over which the CPU gauge averages.  Until all slots have been taken for longer, the gauge covers a
# time when some were free.
GAUGE_WINDOW_S = 0.5

# Idle fraction of the cores from which capacity counts as spare: callers get larger windows, and requests run
# even if they are unlikely to be answered in time.
SPARE_IDLE_FRACTION = 0.3

# Usable fraction of the concurrency at which a server crashes.
CRASH_CONCURRENCY_FRACTION = 0.7

# Maximum number of requests per core that wait for downstream calls: all may return to the cores together.
MAX_CALLS_PER_CORE = 3.0

# Names of gauges in the settings.
CPU_BUSY_GAUGE = "cpu_busy"
RUN_CAPACITY_GAUGE = "runs_room"  # number of runs that the runner can take


class ConcurrencyLimit:
    """How many requests may run at the same time."""

    __slots__ = ("_cores", "_crash_concurrency_factor", "idle_fraction", "limit")

    def __init__(self, settings: Settings) -> None:
        self._cores = settings.cores
        self._crash_concurrency_factor = settings.crash_concurrency_factor
        self.limit = float(settings.cores)
        self.idle_fraction = 0.0  # of the cores, from the last gauge reading

    def has_spare_cores(self) -> bool:
        """Return whether enough cores are idle to run requests without restriction."""
        return self.idle_fraction >= SPARE_IDLE_FRACTION

    def lacks_spare_cores(self) -> bool:
        """Return whether too few cores are idle.

        This is not the negation of `has_spare_cores`: both are False if the gauge is NaN.
        """
        return self.idle_fraction < SPARE_IDLE_FRACTION

    def spare_fraction(self) -> float:
        """Return 0 while all cores are busy, rising to 1 with spare cores."""
        return min(1.0, self.idle_fraction / SPARE_IDLE_FRACTION)

    def slots(self) -> int:
        """Return the limit as a whole number of requests."""
        return int(self.limit)

    def has_free_slot(self, running: int, awaiting_calls: int, warm_up_progress: float) -> bool:
        """Return whether one more request may run.

        Requests that wait for a downstream call take no slot, but count towards the safe concurrency because
        they return to the cores.
        """
        if running >= int(self.limit):
            return False
        return running + awaiting_calls + 1 <= self.max_safe_concurrency(warm_up_progress)

    def allows_call(self, awaiting_calls: int) -> bool:
        """Return whether a request that cannot skip its downstream call may run.

        `awaiting_calls` is the number of requests that already wait for downstream calls.
        """
        return awaiting_calls < MAX_CALLS_PER_CORE * self._cores

    def max_safe_concurrency(self, warm_up_progress: float) -> float:
        """Return how many requests may run at once without risking a crash at this point of the warm-up."""
        crash_factor = 1 + (self._crash_concurrency_factor - 1) * warm_up_progress
        return max(float(self._cores), CRASH_CONCURRENCY_FRACTION * self._cores * crash_factor)

    def adjust(
        self,
        gauges: Mapping[str, float],
        slots_taken_for: float,
        has_waiting_work: bool,
        warm_up_progress: float,
    ) -> None:
        """Adjust the limit to the gauges; called once per control interval.

        `slots_taken_for` is for how many seconds all slots have been taken (0 if one is free), and
        `has_waiting_work` tells whether a queued request could use another slot.
        """
        busy = gauges.get(CPU_BUSY_GAUGE, 1.0)
        self.idle_fraction = 1 - busy
        if busy < BUSY_FRACTION and has_waiting_work and slots_taken_for > GAUGE_WINDOW_S:
            self.limit = min(self.limit * INCREASE_FACTOR, self.max_safe_concurrency(warm_up_progress))
        elif busy >= BUSY_FRACTION:
            self.limit = max(float(self._cores), self.limit * DECREASE_FACTOR)
        # runs beyond the runner's capacity would queue there, outside the scheduler's order
        self.limit = max(1.0, min(self.limit, gauges.get(RUN_CAPACITY_GAUGE, math.inf)))
