"""Expected run times, measured and restored."""

from __future__ import annotations

import pytest

from shelfhaven.decision.estimates import LearnedEstimates
from shelfhaven.decision.run_estimates import RunEstimates
from tests.decision.samples import sample_request, settings


def test_before_any_measurement_a_run_is_expected_to_take_a_quarter_of_the_objective() -> None:
    assert RunEstimates(settings()).expected_run(sample_request()) == 0.25


def test_a_run_changes_only_the_mean_of_its_class() -> None:
    runs = RunEstimates(settings())
    runs.record_run(sample_request(class_index=1), 1.05)
    assert runs.run_means == [0.25, pytest.approx(0.35)]
    assert runs.longest_mean_run() == pytest.approx(0.35)


def test_a_hint_is_corrected_by_past_hints_and_runs() -> None:
    runs = RunEstimates(settings())
    hinted = sample_request(work_hint=0.5)
    assert runs.expected_run(hinted) == 0.5, "before any measurement a hint is used as it is"
    runs.record_run(hinted, 1.0)
    assert runs.expected_run(hinted) == pytest.approx(1.0)


def test_a_weight_is_per_request_or_per_second_of_work() -> None:
    assert RunEstimates(settings()).weight_per_second(2.0, 0.5) == 4.0
    assert RunEstimates(settings(weight_by_work=True)).weight_per_second(2.0, 0.5) == 2.0


def test_a_previous_incarnation_is_blended_in_by_its_weight() -> None:
    runs = RunEstimates(settings())
    runs.restore(LearnedEstimates((0.75, float("nan")), (0.5,), (0.0, 0.25)), 0.5)
    assert runs.run_means == [0.5, 0.25]
    assert runs.hint_means == [0.25, 0.0]
    assert runs.hinted_run_means == [0.0, 0.125]
