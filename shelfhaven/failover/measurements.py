"""Computes a node's load digest from counters that grow from the node's start.

Keeps the moving averages that a digest reports. It does no I/O, and its caller keeps the counters.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from shelfhaven.failover.load_digest import MAX_CLASSES, ClassLoad, LoadDigest
from shelfhaven.failover.wire import rounded_class_load

SMOOTHING_FACTOR = 0.3  # weight of the latest measurement in a moving average
MIN_RESULTS = 3  # minimum number of ended runs for a measurement of the failure rate
IDLE_UPDATES_BEFORE_DECAY = 4  # updates without any result after which the failure rate decays
MIN_SERVED_FRACTION = 0.05  # lower bound of the divisor when demand is extrapolated from served requests


@dataclass(frozen=True, slots=True)
class NodeCounters:
    """A node's counters at one moment.

    `answers` counts the requests since the start by kind of answer. `run_results` counts the runs at the
    backends of the node's own zone, by class and whether the run failed. Only `run_results` shows a run that
    failed in this zone and was then served by another one.
    """

    answers: Mapping[str, int]
    run_results: Mapping[tuple[str, bool], int]
    running: int
    capacity: float  # concurrent runs
    warm_fraction: float
    health: float
    running_by_class: Mapping[str, int] = field(default_factory=dict)
    typical_latency: Mapping[str, float] = field(default_factory=dict)  # seconds per successful run, by class
    priority_weights: Mapping[str, float] = field(default_factory=dict)  # by class
    has_local_backends: bool = False  # in its own zone, whose failures then count


@dataclass(slots=True)
class FailureRate:
    """Moving average of the fraction of runs that fail."""

    rate: float = 0.0
    succeeded: int = 0  # runs not yet included in the average
    failed: int = 0  # likewise
    idle_updates: int = 0  # consecutive updates without a result

    def update(self, succeeded: int, failed: int) -> None:
        """Add the results since the last update."""
        self.succeeded += succeeded
        self.failed += failed
        results = self.succeeded + self.failed
        self.idle_updates = 0 if succeeded or failed else self.idle_updates + 1
        if results >= MIN_RESULTS:
            self._add_measurement(self.failed / results)
        elif self.idle_updates >= IDLE_UPDATES_BEFORE_DECAY:
            self._add_measurement(0.0)

    def _add_measurement(self, latest: float) -> None:
        self.rate = _moving_average(self.rate, latest)
        self.succeeded = 0
        self.failed = 0


@dataclass(slots=True)
class LoadMeter:
    """Computes one node's digests, and keeps the moving averages that they report."""

    rejection_rate: float = 0.0
    failure_rate: float = 0.0  # of the requests that were executed
    local_failures: FailureRate = field(default_factory=FailureRate)  # runs of all classes in the own zone
    load: float = 0.0
    by_class: dict[str, ClassLoad] = field(default_factory=dict)
    class_failures: dict[str, FailureRate] = field(default_factory=dict)
    last_answers: Counter[str] = field(default_factory=Counter)  # at the last measurement
    last_run_results: Counter[tuple[str, bool]] = field(default_factory=Counter)  # likewise

    def measure(self, digest: LoadDigest, counters: NodeCounters) -> LoadDigest:
        """Return the node's next digest, given its previous one."""
        self._update_answer_rates(counters)
        self.load = _moving_average(self.load, counters.running / self._served_fraction())
        self._update_classes(counters)
        failure_rate = self.local_failures.rate if counters.has_local_backends else self.failure_rate
        return replace(
            digest,
            capacity=round(counters.capacity, 2),
            load=round(self.load, 3),
            rejection_rate=round(self.rejection_rate, 3),
            failure_rate=round(failure_rate, 3),
            warm_fraction=counters.warm_fraction,
            health=round(min(1.0, counters.health), 2),
            by_class={cls: rounded_class_load(self.by_class[cls]) for cls in self._reported_classes()},
        )

    def _update_answer_rates(self, counters: NodeCounters) -> None:
        latest = Counter(counters.answers) - self.last_answers
        self.last_answers = Counter(counters.answers)
        executed = latest["served"] + latest["failed"]
        answered = executed + latest["refused"]
        latest_rejection_rate = latest["refused"] / answered if answered else 0.0
        self.rejection_rate = _moving_average(self.rejection_rate, latest_rejection_rate)
        if not answered:
            self.failure_rate = _moving_average(self.failure_rate, 0.0)
        elif executed >= MIN_RESULTS:
            self.failure_rate = _moving_average(self.failure_rate, latest["failed"] / executed)

    def _served_fraction(self) -> float:
        return max(MIN_SERVED_FRACTION, 1 - self.rejection_rate)

    def _update_classes(self, counters: NodeCounters) -> None:
        latest = Counter(counters.run_results) - self.last_run_results
        self.last_run_results = Counter(counters.run_results)
        failed_runs = sum(count for (_, failed), count in latest.items() if failed)
        self.local_failures.update(latest.total() - failed_runs, failed_runs)
        for cls in {cls for cls, _ in latest}.union(counters.running_by_class, self.by_class):
            failures = self.class_failures.setdefault(cls, FailureRate())
            failures.update(latest[cls, False], latest[cls, True])
            self.by_class[cls] = self._class_load(cls, failures.rate, counters)

    def _class_load(self, cls: str, failure_rate: float, counters: NodeCounters) -> ClassLoad:
        previous = self.by_class.get(cls, ClassLoad())
        load = counters.running_by_class.get(cls, 0) / self._served_fraction()
        run_time = counters.typical_latency.get(cls, 0.0)
        weight = counters.priority_weights.get(cls, 1.0)
        value_rate = weight / run_time if run_time > 0 else previous.value_rate
        return ClassLoad(failure_rate, _moving_average(previous.load, load), value_rate)

    def _reported_classes(self) -> list[str]:
        """The classes that fit into a digest: the highest failure rates first, then the highest loads."""
        loads = self.by_class
        ranked = sorted(loads, key=lambda cls: (loads[cls].failure_rate, loads[cls].load), reverse=True)
        return sorted(ranked[:MAX_CLASSES])


def _moving_average(previous: float, latest: float) -> float:
    return previous + SMOOTHING_FACTOR * (latest - previous)
