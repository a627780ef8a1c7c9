"""Cold starts and restarts of simulated fleets on one list service; a part of `benchmarks.coldstart`."""

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
STEADY_S = 60.0  # that a fleet runs before a fraction of it restarts
MAX_REQUESTS_PER_S = 100.0  # that the list service answers
REQUESTS_PER_REGISTRATION = 2.0  # of one node, in whatever order nodes register
START_MARGIN_S = 60.0
DEADLINE_FACTOR = 3  # times that registrations may take at the stated rate
RECOVERY_S = 300.0  # within which a fleet recovers from restarts
RESTART_S = 1.0  # from the end of a process to its next start


class Simulation(NamedTuple):
    """A simulated fleet, and when all of its nodes should be listed at the latest."""

    fleet: MembershipSimulation
    deadline: float

    def run_until_listed(self, count: int) -> None:
        """Run until the list service lists all nodes."""
        self.fleet.run(self.deadline, lambda: len(self.fleet.listed_at) == count)


def simulation_of(count: int, member_type: type[Member]) -> Simulation:
    """A simulated fleet of a size, whose nodes start together."""
    settings = MemberSettings(max_requests_per_s=MAX_REQUESTS_PER_S, expected_nodes=count)
    service = SimulatedListService(rate=MAX_REQUESTS_PER_S)
    start = FleetStart(member_type=member_type)
    deadline = START_MARGIN_S + DEADLINE_FACTOR * registration_time(count)
    return Simulation(MembershipSimulation(count, settings, SEED, service, start), deadline)


def registration_time(count: int) -> float:
    """Seconds that the registrations of so many nodes take at the stated rate."""
    return count * REQUESTS_PER_REGISTRATION / MAX_REQUESTS_PER_S


def start_figures(count: int, member_type: type[Member], deadline: float | None = None) -> Figures:
    """Figures of one start of so many nodes."""
    simulation = simulation_of(count, member_type)
    fleet = simulation.fleet
    began = time.monotonic()
    fleet.run(deadline or simulation.deadline, lambda: len(fleet.listed_at) == count)
    listed = sorted(fleet.listed_at.values())
    last = listed[-1] if len(listed) == count else None
    best = max(registration_time(count), 1.0)
    return {
        "peak": fleet.service.peak_requests(),
        "listed": len(listed),
        "last_s": round(last, 1) if last else None,
        "over_best": round(last / best, 2) if last else None,
        "median_s": round(listed[len(listed) // 2], 1) if listed else None,
        "asks": sum(fleet.service.requests_by_kind.values()),
        "entries_sent": fleet.service.entries_sent,
        "watches": len(fleet.service.watchers),
        "seconds_of_work": round(time.monotonic() - began, 1),
    }


def starts_by_size(sizes: Sequence[int], baseline_sizes: Sequence[int]) -> Figures:
    """Load of the list service by the fleet's size; of some sizes also with the baseline."""
    figures: Figures = {}
    for count in sizes:
        click.echo(f"  {count} nodes", err=True)
        row: Figures = {"ours": start_figures(count, Member)}
        if count in baseline_sizes:
            row["naive"] = start_figures(count, NaiveMember)
        figures[str(count)] = row
    return {"emulated": figures}


class Restart(NamedTuple):
    """A fraction of a fleet restarts, spread over some seconds.

    Spread out it is a slow roll-out; at once it is a rack that lost its power.
    """

    fraction: float
    seconds: float


RESTARTS = {"a third at once": Restart(1 / 3, 0.0), "all by turns": Restart(1.0, 60.0)}


def restart_figures(count: int, restart: Restart, member_type: type[Member]) -> Figures:
    """Figures of a running fleet of which a fraction is killed and restarted."""
    simulation = simulation_of(count, member_type)
    simulation.run_until_listed(count)
    fleet = simulation.fleet
    fleet.run(fleet.now + STEADY_S)
    began = fleet.now
    ends = began + restart.seconds
    steady_peak = fleet.service.peak_requests(began - STEADY_S / 2)
    addresses = sorted(fleet.members)[:: round(1 / restart.fraction)]
    for number, address in enumerate(addresses):
        fleet.listed_at.pop(address, None)
        at = began + restart.seconds * number / len(addresses)
        fleet.at(at, partial(_restart, fleet, address))
    fleet.run(ends + RECOVERY_S, lambda: len(fleet.listed_at) == count and fleet.now > ends)
    listed_after = fleet.now - ends
    fleet.run(fleet.now + RECOVERY_S, fleet.converged)
    return {
        "restarted": len(addresses),
        "over_s": restart.seconds,
        "peak": fleet.service.peak_requests(began),
        "peak_before": steady_peak,
        "listed_after_s": round(listed_after, 1),
        "all_right_after_s": round(fleet.now - ends, 1),
    }


def _restart(fleet: MembershipSimulation, address: str) -> None:
    fleet.kill(address)
    fleet.after(RESTART_S, partial(fleet.start_node, address))
