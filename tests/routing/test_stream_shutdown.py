"""Tests of the time for which responses to proxies are delayed before a listener announces its end."""

from __future__ import annotations

import pytest

from shelfhaven.routing.stream_shutdown import (
    MAX_DELAY_FRACTION,
    QUIET_PERIOD,
    ResponseDelay,
)

BUDGET = 0.4  # seconds


def test_nothing_is_delayed_outside_the_shutdown() -> None:
    """Guards against responses that wait although no drain is under way, or after the announcement."""
    delay = ResponseDelay(BUDGET)
    assert delay.time_left(10.0, 10.0) == 0.0
    delay.begin(10.0)
    assert delay.time_left(10.0, 10.0) > 0.0
    delay.end()
    assert delay.time_left(10.0, 10.0) == 0.0


def test_the_delay_ends_once_no_streams_arrive_any_more() -> None:
    """Guards against an announcement while streams that were sent before it still arrive."""
    delay = ResponseDelay(BUDGET)
    delay.begin(10.0)
    assert not delay.is_over(10.0 + QUIET_PERIOD / 2)
    delay.stream_started(10.02)
    assert not delay.is_over(10.0 + QUIET_PERIOD)
    assert delay.is_over(10.021 + QUIET_PERIOD)


def test_streams_that_keep_arriving_do_not_prolong_the_delay_for_ever() -> None:
    """Guards against a drain that never ends because proxies send without waiting for responses."""
    delay = ResponseDelay(BUDGET)
    delay.begin(10.0)
    delay.stream_started(10.39)
    assert not delay.is_over(10.39)
    delay.stream_started(10.4 + QUIET_PERIOD / 2)
    assert delay.is_over(10.4 + QUIET_PERIOD / 2)


def test_no_response_is_delayed_beyond_a_part_of_its_verdict_budget() -> None:
    """Guards against a verdict that comes too late because it was delayed."""
    delay = ResponseDelay(BUDGET)
    delay.begin(10.0)
    longest = MAX_DELAY_FRACTION * BUDGET
    assert longest < BUDGET
    assert delay.time_left(10.05, 10.0) == pytest.approx(longest - 0.05)
    assert delay.time_left(10.0 + longest + 0.01, 10.0) == 0.0
    assert delay.time_left(10.1, 9.0) == 0.0, "it has waited for long already"
