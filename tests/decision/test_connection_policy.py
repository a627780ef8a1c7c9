"""Early closing of idle connections."""

from __future__ import annotations

from shelfhaven.decision.actions import SetIdleTimeout
from shelfhaven.decision.connection_policy import EARLY_IDLE_TIMEOUT_S, ConnectionPolicy
from tests.decision.samples import actions_of, settings
from tests.decision.world import World


def _idle_timeouts(callers: int) -> list[float | None]:
    world = World(settings(callers=callers, connection_idle_timeout=30.0))
    for n in range(40):
        world.finish(world.arrive(0, n))
        world.advance(0.25)
    return [action.timeout for action in world.actions if isinstance(action, SetIdleTimeout)]


def test_idle_connections_are_closed_early_only_where_callers_rarely_send() -> None:
    assert _idle_timeouts(20) == []  # four requests per second: each caller sends every five seconds
    last_timeout = _idle_timeouts(1000)[-1]
    assert last_timeout is not None
    assert 0 < last_timeout < 0.1


def test_connections_are_not_closed_early_while_most_arrivals_are_rejected() -> None:
    world = World(settings(callers=1000, connection_idle_timeout=30.0, allows_retry_after=False))
    controller = world.controller
    for n in range(40):
        world.finish(world.arrive(0, n))
        world.advance(0.25)
    assert controller.state.connections.closes_early
    while controller.state.connections.rejected_fraction < 0.8:
        assert controller.state.connections.closes_early
        controller.state.admission.admitted_share = 0.05
        world.arrive(0, 3)
    world.advance(0.2)
    assert not controller.state.connections.closes_early
    assert actions_of(world.actions, SetIdleTimeout)[-1] == SetIdleTimeout(None)


def test_early_closing_begins_and_ends_at_different_rejected_fractions() -> None:
    policy = ConnectionPolicy(settings(callers=1000, connection_idle_timeout=30.0))
    assert policy.update(0.0) is None, "without completions the interval between requests is unknown"
    policy.rejected_fraction = 0.5
    assert policy.update(4.0) is None
    policy.rejected_fraction = 0.3
    assert policy.update(4.0) == SetIdleTimeout(EARLY_IDLE_TIMEOUT_S)
    policy.rejected_fraction = 0.5
    assert policy.update(4.0) is None, "early closing continues up to a higher fraction"
    policy.rejected_fraction = 0.8
    assert policy.update(4.0) == SetIdleTimeout(None)


def test_the_rejected_fraction_is_measured_over_recent_arrivals() -> None:
    policy = ConnectionPolicy(settings())
    for number in range(1000):
        policy.record_arrival()
        if number % 2:
            policy.record_rejection()
    assert 0.45 < policy.rejected_fraction < 0.55
