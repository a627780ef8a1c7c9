"""The load of a runner, and the gauges that the core samples for all runners."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RunnerLoad:
    """The number of runs that a runner has in flight, and how many it can have in flight."""

    in_flight: int
    capacity: float


@dataclass(frozen=True, slots=True)
class LoadGauges:
    """Gauges of all runners of one core, whose concurrency limit covers them together.

    Attributes:
        names: names of the gauges, in the order in which the core expects the values.
        other_loads: functions that return the loads of the runners other than the sampled one.
    """

    names: tuple[str, ...]
    other_loads: Sequence[Callable[[], RunnerLoad]] = ()

    def sample(self, load: RunnerLoad) -> tuple[float, ...]:
        """Return the values of the gauges, in the order of their names; 0 for an unknown name.

        `load` is the load of the sampled runner.
        """
        in_flight = load.in_flight
        capacity = load.capacity
        for other_load in self.other_loads:
            other = other_load()
            in_flight += other.in_flight
            capacity += other.capacity
        values = {"runs_room": capacity, "cpu_busy": min(1.0, in_flight / max(1.0, capacity))}
        return tuple(values.get(name, 0.0) for name in self.names)
