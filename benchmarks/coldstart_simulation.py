"""Simulates cold starts and restarts of fleets on one list service; part of `benchmarks.coldstart`."""

from __future__ import annotations

import time
from collections.abc import Sequence
from functools import partial
from typing import NamedTuple

import click

from benchmarks.measuring import Figures
from shelfhaven.lab.membership_simulation import FleetStart, MembershipSimulation
from shelfhaven.lab.naive_member import NaiveMember
from shelfhaven.lab.simulated_list_service import SimulatedListService
from shelfhaven.membership.member import Member
from shelfhaven.membership.settings import MemberSettings

SEED = 1
STEADY_RUN_S = 60.0  # run time of a fleet before a fraction of it restarts
MAX_REQUESTS_PER_S = 100.0  # rate limit of the list service
REQUESTS_PER_REGISTRATION = 2.0  # of one node, independent of the order of registrations
START_MARGIN_S = 60.0
DEADLINE_FACTOR = 3  # allowed multiple of the ideal registration time
RECOVERY_S = 300.0  # allowed for the recovery of a fleet after restarts
RESTART_DELAY_S = 1.0  # from the end of a process to its next start


class Simulation(NamedTuple):
    """A simulated fleet and the latest time at which all of its nodes should be listed."""

    fleet: MembershipSimulation
    deadline: float

    def run_until_listed(self, count: int) -> None:
        """Run until the list service lists all nodes, or until the deadline."""
        self.fleet.run(self.deadline, lambda: len(self.fleet.listed_at) == count)


def new_simulation(count: int, member_type: type[Member]) -> Simulation:
    """Create a simulated fleet of `count` nodes that start together."""
    settings = MemberSettings(max_requests_per_s=MAX_REQUESTS_PER_S, expected_nodes=count)
    service = SimulatedListService(rate=MAX_REQUESTS_PER_S)
    start = FleetStart(member_type=member_type)
    deadline = START_MARGIN_S + DEADLINE_FACTOR * registration_time(count)
    return Simulation(MembershipSimulation(count, settings, SEED, service, start), deadline)


def registration_time(count: int) -> float:
    """Return the ideal registration time of `count` nodes: the list service answers at its full rate."""
    return count * REQUESTS_PER_REGISTRATION / MAX_REQUESTS_PER_S


def start_figures(count: int, member_type: type[Member], deadline: float | None = None) -> Figures:
    """Simulate one start of `count` nodes."""
    simulation = new_simulation(count, member_type)
    fleet = simulation.fleet
    started_at = time.monotonic()
    fleet.run(deadline or simulation.deadline, lambda: len(fleet.listed_at) == count)
    listed = sorted(fleet.listed_at.values())
    last_listed_at = listed[-1] if len(listed) == count else None
    ideal_duration = max(registration_time(count), 1.0)
    return {
        "peak": fleet.service.peak_requests(),
        "listed": len(listed),
        "last_s": round(last_listed_at, 1) if last_listed_at else None,
        "over_best": round(last_listed_at / ideal_duration, 2) if last_listed_at else None,
        "median_s": round(listed[len(listed) // 2], 1) if listed else None,
        "asks": sum(fleet.service.requests_by_kind.values()),
        "entries_sent": fleet.service.entries_sent,
        "watches": len(fleet.service.watchers),
        "seconds_of_work": round(time.monotonic() - started_at, 1),
    }


def starts_by_size(sizes: Sequence[int], baseline_sizes: Sequence[int]) -> Figures:
    """Measure the load of the list service by fleet size, for `baseline_sizes` also with the baseline."""
    figures: Figures = {}
    for count in sizes:
        click.echo(f"  {count} nodes", err=True)
        figures_of_size: Figures = {"ours": start_figures(count, Member)}
        if count in baseline_sizes:
            figures_of_size["naive"] = start_figures(count, NaiveMember)
        figures[str(count)] = figures_of_size
    return {"emulated": figures}


class Restart(NamedTuple):
    """A restart of a fraction of the fleet, spread evenly over `seconds`.

    A long duration models a rolling update, zero a rack that lost power.
    """

    fraction: float
    seconds: float


RESTARTS = {"a third at once": Restart(1 / 3, 0.0), "all by turns": Restart(1.0, 60.0)}


def restart_figures(count: int, restart: Restart, member_type: type[Member]) -> Figures:
    """Simulate a running fleet of which a fraction is killed and restarted."""
    simulation = new_simulation(count, member_type)
    simulation.run_until_listed(count)
    fleet = simulation.fleet
    fleet.run(fleet.now + STEADY_RUN_S)
    restarts_begin_at = fleet.now
    restarts_end_at = restarts_begin_at + restart.seconds
    steady_peak = fleet.service.peak_requests(restarts_begin_at - STEADY_RUN_S / 2)
    addresses = sorted(fleet.members)[:: round(1 / restart.fraction)]
    for number, address in enumerate(addresses):
        fleet.listed_at.pop(address, None)
        at = restarts_begin_at + restart.seconds * number / len(addresses)
        fleet.at(at, partial(_restart, fleet, address))
    fleet.run(
        restarts_end_at + RECOVERY_S, lambda: len(fleet.listed_at) == count and fleet.now > restarts_end_at
    )
    listed_after = fleet.now - restarts_end_at
    fleet.run(fleet.now + RECOVERY_S, fleet.converged)
    return {
        "restarted": len(addresses),
        "over_s": restart.seconds,
        "peak": fleet.service.peak_requests(restarts_begin_at),
        "peak_before": steady_peak,
        "listed_after_s": round(listed_after, 1),
        "all_right_after_s": round(fleet.now - restarts_end_at, 1),
    }


def _restart(fleet: MembershipSimulation, address: str) -> None:
    fleet.kill(address)
    fleet.after(RESTART_DELAY_S, partial(fleet.start_node, address))
