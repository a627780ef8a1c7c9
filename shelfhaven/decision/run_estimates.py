"""Expected run times, from class means and the callers' work hints, and the weight per second of work."""

from __future__ import annotations

from shelfhaven.decision.averages import RECENT_GAIN
from shelfhaven.decision.estimates import LearnedEstimates
from shelfhaven.decision.inputs import positive_or_none
from shelfhaven.decision.request import Request
from shelfhaven.decision.settings import Settings

# Assumed run time of a class before any run is measured, as a fraction of its latency objective.
INITIAL_OBJECTIVE_FRACTION = 0.25

# Shortest run time, in seconds, by which a weight is divided, as a measured mean may be zero.
MIN_RUN_S = 1e-6


class RunEstimates:
    """Running means, by class, of run times and of work hints."""

    __slots__ = ("_weight_by_work", "hint_means", "hinted_run_means", "run_means")

    def __init__(self, settings: Settings) -> None:
        self._weight_by_work = settings.weight_by_work
        self.run_means = [cls.latency_objective * INITIAL_OBJECTIVE_FRACTION for cls in settings.classes]
        # Hints and the runs that had one are averaged separately, because a mean of their ratios would be
        # dominated by inaccurate hints near zero.
        self.hint_means = [0.0] * len(settings.classes)
        self.hinted_run_means = [0.0] * len(settings.classes)

    def expected_run(self, request: Request) -> float:
        """Return the expected run time: the hint, corrected by past runs, or else the class mean."""
        index = request.class_index
        if request.work_hint is None:
            return self.run_means[index]
        hint_mean = self.hint_means[index]
        return request.work_hint * (self.hinted_run_means[index] / hint_mean if hint_mean > 0 else 1.0)

    def longest_mean_run(self) -> float:
        """Return the mean run time of the slowest class."""
        return max(self.run_means)

    def weight_per_second(self, weight: float, run: float) -> float:
        """Return the weight per second of work; with `Settings.weight_by_work`, `weight` is that already."""
        return weight if self._weight_by_work else weight / max(run, MIN_RUN_S)

    def record_run(self, request: Request, duration: float) -> None:
        """Add the duration of a successful run to the means."""
        index = request.class_index
        self.run_means[index] += RECENT_GAIN * (duration - self.run_means[index])
        if request.work_hint is not None:
            self.hint_means[index] += RECENT_GAIN * (request.work_hint - self.hint_means[index])
            self.hinted_run_means[index] += RECENT_GAIN * (duration - self.hinted_run_means[index])

    def restore(self, learned: LearnedEstimates, weight: float) -> None:
        """Blend in a previous incarnation's means with this weight; means that it did not measure stay."""
        _blend(self.run_means, learned.run_means, weight)
        _blend(self.hint_means, learned.hint_means, weight)
        _blend(self.hinted_run_means, learned.hinted_run_means, weight)


def _blend(means: list[float], previous: tuple[float, ...], weight: float) -> None:
    for index, value in enumerate(previous[: len(means)]):
        if positive_or_none(value) is not None:
            means[index] += weight * (value - means[index])
