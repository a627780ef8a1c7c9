"""Settings of leader election; all durations are in seconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ElectorSettings:
    """Durations and rates, which must be the same on all nodes of a fleet."""

    lease_duration: float = 10.0  # minimum; a large fleet uses longer leases
    safety_margin: float = 0.5  # a leader stops acting this long before its lease may end
    clock_drift: float = 0.05  # largest relative difference between the rates of two clocks, store included
    candidate_delay: float = 0.5  # between the attempts of successive candidates to acquire a task
    hand_over_timeout: float = 2.0  # in which the work in progress must finish when a task is handed over
    hand_over_after: float = 30.0  # for which another candidate must rank first before it gets the task
    hand_over_cooldown: float = 60.0  # after a change of leader, without another one because of ranks
    store_requests_per_second: float = 100.0  # maximum request rate of the whole fleet to the store
    failed_task_cooldown: float = 60.0  # in which a node does not acquire a task that has failed on it
