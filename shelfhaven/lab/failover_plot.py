"""A plot of one failover in virtual time: `python -m shelfhaven.lab.failover_plot OUT.svg`.

The data comes from `failover_simulation.py`.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import click

from shelfhaven.lab.failover_simulation import FailoverSimulation, SimulationSettings
from shelfhaven.lab.failover_traffic import ClassShare

if TYPE_CHECKING:
    from matplotlib.axes import Axes

FAULT_START = 20.0  # seconds
FAULT_END = 80.0  # seconds
SIMULATION_END = 160.0  # seconds
CLASS_MIX = {"look": ClassShare(0.6, 1.0), "topup": ClassShare(0.4, 10.0)}
# Demand as a fraction of capacity: z0 and z2 have room for only a part of z1's traffic.
DEMAND = {"z0": 0.72, "z1": 0.6, "z2": 0.72}
FAILURE_RATE = 0.8  # fraction of the runs in z1 that fail


def simulate_failover(nodes: int, seed: int) -> FailoverSimulation:
    """Simulate three zones, of which z1 fails most runs from `FAULT_START` to `FAULT_END`."""
    settings = SimulationSettings(demand=DEMAND, class_mix=CLASS_MIX)
    simulation = FailoverSimulation(3, nodes, seed, settings)
    simulation.run(FAULT_START)
    simulation.zones["z1"].failure_rate = FAILURE_RATE
    simulation.run(FAULT_END)
    simulation.zones["z1"].failure_rate = 0.0
    simulation.run(SIMULATION_END)
    return simulation


def draw_plot(simulation: FailoverSimulation, out: Path) -> None:
    """Plot the value earned, the utilization of the zones and the diverted fractions over time."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    with matplotlib.rc_context({"svg.hashsalt": "shelfhaven", "font.size": 8}):
        figure, (value, utilization, diverted) = pyplot.subplots(
            3, 1, figsize=(7, 6), sharex=True, layout="constrained"
        )
        _draw_value(simulation, value)
        _draw_utilization_and_diverted(simulation, utilization, diverted)
        diverted.set_xlabel(
            f"seconds; z1 fails 80% of its runs from {FAULT_START:.0f} to {FAULT_END:.0f} (simulated)"
        )
        for axes in (value, utilization, diverted):
            axes.axvspan(FAULT_START, FAULT_END, alpha=0.1, color="grey")
            axes.legend(loc="lower right")
            axes.grid(alpha=0.3)
        figure.savefig(out, metadata={"Date": None})
        pyplot.close(figure)


def _draw_value(simulation: FailoverSimulation, axes: Axes) -> None:
    samples = simulation.samples
    at = [sample.at for sample in samples]
    axes.plot(at, [sample.best for sample in samples], label="omniscient planner", linestyle=":")
    axes.plot(at, [sample.served for sample in samples], label="served")
    nearest_only = [sample.nearest_only for sample in samples]
    axes.plot(at, nearest_only, label="nearest zone only", linestyle="--")
    axes.set_ylabel("value per second")
    axes.set_ylim(bottom=0)


def _draw_utilization_and_diverted(simulation: FailoverSimulation, utilization: Axes, diverted: Axes) -> None:
    samples = simulation.samples
    at = [sample.at for sample in samples]
    for zone in simulation.zones:
        utilization.plot(at, [sample.utilization[zone] for sample in samples], label=zone)
        fractions = [sample.diverted.get(zone, 0.0) for sample in samples]
        diverted.step(at, fractions, where="post", label=zone)
    usable_fraction = 1 - simulation.settings.controller.capacity_reserve
    utilization.axhline(usable_fraction, linestyle=":", color="grey", label="capacity less reserve")
    utilization.set_ylabel("offered load / capacity")
    diverted.set_ylabel("diverted fraction")


@click.command()
@click.argument("out", type=click.Path(dir_okay=False, path_type=Path))
@click.option("--nodes", default=18, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(out: Path, nodes: int, seed: int) -> None:
    """Simulate a failover and plot it."""
    simulation = simulate_failover(nodes, seed)
    draw_plot(simulation, out)
    fraction = simulation.earned_fraction(FAULT_START)
    click.echo(
        f"{out}: earned {fraction:.3f} of the best possible value, {len(simulation.decisions)} decisions"
    )


if __name__ == "__main__":
    main()
