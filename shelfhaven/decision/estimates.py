"""Snapshots of a controller's measurements, for its next incarnation and for the log."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LearnedEstimates:
    """Mean durations of runs by class, and of downstream calls.  In seconds; 0 if nothing has been measured.

    Attributes:
        run_means: mean run time of each class.
        hint_means: mean work hint of each class.
        hinted_run_means: mean run time of the requests of each class that carried a work hint.
        call_mean: mean duration of successful downstream calls.
        call_deviation: mean deviation of these durations.
    """

    run_means: tuple[float, ...]
    hint_means: tuple[float, ...]
    hinted_run_means: tuple[float, ...]
    call_mean: float = 0.0
    call_deviation: float = 0.0


@dataclass(frozen=True, slots=True)
class ControllerStatus:
    """The current estimates and limits of a controller, for the log.

    Attributes:
        admitted_share: fraction of arrivals that are admitted.
        relative_queue_wait: mean of recent queue waits, as a multiple of the target wait.
        concurrency_limit: number of requests that may run at the same time.
        event_loop_lag: mean time, in seconds, that recent requests waited before they were read.
        warm_up_progress: fraction of full speed, 1 once the server is warm.
        idle_fraction: fraction of the cores that was idle at the last gauge reading.
        callers: number of callers in the table.
        heaviest_caller_share: fraction of arrivals that come from the heaviest caller.
    """

    admitted_share: float
    relative_queue_wait: float
    concurrency_limit: float
    event_loop_lag: float
    warm_up_progress: float
    idle_fraction: float
    callers: int
    heaviest_caller_share: float
