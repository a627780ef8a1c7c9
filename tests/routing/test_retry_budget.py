"""Retry budget: limits retries to a fraction of the runs."""

from __future__ import annotations

from shelfhaven.routing.retry_budget import RetryBudget


def test_retries_are_limited_to_the_reserve_plus_a_fraction_of_the_runs() -> None:
    budget = RetryBudget(0.2, 3)
    retries = 0
    for _ in range(100):
        budget.record_run()
        retries += budget.take_retry()
    assert retries in (22, 23)


def test_budget_can_begin_empty_and_never_exceeds_the_reserve() -> None:
    budget = RetryBudget(0.5, 2.0, tokens=0.0)
    assert not budget.take_retry()
    budget.record_run()
    assert not budget.allows_retry
    for _ in range(100):
        budget.record_run()
    assert budget.tokens == 2.0
    assert [budget.take_retry() for _ in range(3)] == [True, True, False]
