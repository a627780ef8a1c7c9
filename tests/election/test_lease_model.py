"""The model of leases, clocks, suspension and fencing: it is safe, and each deliberate mistake is found."""

from __future__ import annotations

import pytest

from shelfhaven.lab.lease_model import INITIAL_WORLD, Mistake, explore, steps


def test_the_invariants_hold_in_every_reachable_state() -> None:
    result = explore()
    print(f"{result.states} states in {result.seconds:.1f} s")
    assert (result.breach, result.trace) == ("", ())
    assert result.states > 100_000


@pytest.mark.parametrize("mistake", Mistake)
def test_a_mistake_is_found_with_a_trace_that_can_be_replayed(mistake: Mistake) -> None:
    result = explore(mistake)
    assert result.breach == ("token order" if mistake is Mistake.NO_FENCING else "single leader")
    world = INITIAL_WORLD
    for name in result.trace:
        next_worlds = [step.world for step in steps(world, mistake) if step.name == name]
        assert next_worlds
        world = next_worlds[0]
        if len(next_worlds) > 1:
            break  # a tick with and without a loss on the slow clock: the trace does not say which
