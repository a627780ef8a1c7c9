"""The points in time of a drain."""

from __future__ import annotations

from shelfhaven.decision.events import DrainStarted
from shelfhaven.decision.graceful_shutdown import GracefulShutdown
from tests.decision.samples import settings


def test_before_a_drain_no_arrival_is_too_late() -> None:
    shutdown = GracefulShutdown(settings())
    assert not shutdown.started
    assert not shutdown.arrived_too_late(1e12)


def test_arrivals_after_the_grace_are_too_late() -> None:
    shutdown = GracefulShutdown(settings(drain_grace=1.0))
    shutdown.start(10.0, DrainStarted(3.0), idle_fraction=0.0)
    assert shutdown.started
    assert shutdown.stops_at == 13.0
    assert not shutdown.arrived_too_late(11.0)
    assert shutdown.arrived_too_late(11.1)


def test_an_invalid_time_left_counts_as_zero() -> None:
    shutdown = GracefulShutdown(settings())
    shutdown.start(10.0, DrainStarted(float("nan")), idle_fraction=0.0)
    assert shutdown.stops_at == 10.0


def test_callers_are_told_at_once_only_if_the_other_servers_have_capacity() -> None:
    for replicas, closed_at in ((2, 11.0), (8, 10.0)):
        shutdown = GracefulShutdown(settings(replicas=replicas, drain_grace=1.0))
        shutdown.start(10.0, DrainStarted(3.0), idle_fraction=0.4)
        assert shutdown.advertises_closed_at == closed_at


def test_the_grace_counts_from_the_notice_and_the_stop_from_the_time_left() -> None:
    shutdown = GracefulShutdown(settings(drain_grace=1.0))
    shutdown.start(10.0, DrainStarted(2.6, elapsed=0.4), idle_fraction=0.0)
    assert not shutdown.arrived_too_late(10.6)
    assert shutdown.arrived_too_late(10.7)
    assert (shutdown.advertises_closed_at, shutdown.stops_at) == (10.6, 12.6)
    shutdown.start(10.0, DrainStarted(2.6, elapsed=-1.0), idle_fraction=0.0)
    assert shutdown.started_at == 10.0
