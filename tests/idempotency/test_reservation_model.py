"""The model of reservations keeps its invariant in every state, and each deliberate mistake violates it."""

from __future__ import annotations

import pytest

from shelfhaven.lab.reservation_model import SMALL_MODEL, Mistake, Model, with_mistake


def test_model_keeps_its_invariant_in_every_state() -> None:
    for model in (Model(), SMALL_MODEL):
        result = model.search()
        assert result.steps is None
        assert result.states > 50_000
        print(f"{result.states} states")


@pytest.mark.parametrize("mistake", [mistake for mistake in Mistake if mistake is not Mistake.NONE])
def test_search_finds_a_violation_for_each_mistake(mistake: Mistake) -> None:
    assert with_mistake(mistake).search().steps is not None
