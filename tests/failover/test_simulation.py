"""Tests of failover between zones, simulated in virtual time."""

from __future__ import annotations

from operator import attrgetter
from pathlib import Path

import pytest

from shelfhaven.lab.failover_faults import draw_faults, find_violations
from shelfhaven.lab.failover_plot import draw_plot, simulate_failover
from shelfhaven.lab.failover_simulation import FailoverSimulation, SimulationSettings


@pytest.mark.parametrize("seed", [100, 113])
def test_random_faults_cause_no_violations_and_all_zones_reopen(seed: int) -> None:
    assert find_violations(draw_faults(seed, 3, 75.0), 3, 12, seed) == []


def test_loss_of_a_zone_costs_little_while_the_others_have_70_percent_utilization() -> None:
    simulation = FailoverSimulation(3, 18, 1, SimulationSettings(demand={"z0": 0.7, "z1": 0.6, "z2": 0.7}))
    simulation.run(20.0)
    simulation.lose_zone("z1")
    simulation.run(70.0)
    assert simulation.earned_fraction(20.0) > 0.95
    assert simulation.earned_fraction(20.0, attrgetter("nearest_only")) < 0.75
    assert simulation.informed_fraction() == 1.0
    assert [zone_policy.diverted_fraction for zone_policy in simulation.policy.zones.values()] == [
        0.0,
        1.0,
        0.0,
    ]


def test_plot_is_reproducible(tmp_path: Path) -> None:
    simulation = simulate_failover(6, 1)
    draw_plot(simulation, tmp_path / "a.svg")
    draw_plot(simulation, tmp_path / "b.svg")
    plot = (tmp_path / "a.svg").read_bytes()
    assert plot == (tmp_path / "b.svg").read_bytes()
    assert plot.count(b"<path") > 20
    assert max(sample.diverted.get("z1", 0.0) for sample in simulation.samples) > 0.3
    assert (
        simulation.earned_fraction(20.0) > simulation.earned_fraction(20.0, attrgetter("nearest_only")) + 0.02
    )
