"""Validation of durations and sizes."""

from __future__ import annotations

import math

import pytest

from shelfhaven.decision.inputs import positive_or_none, positive_or_zero


@pytest.mark.parametrize("value", [None, 0.0, -1.0, math.inf, -math.inf, math.nan])
def test_values_that_are_not_positive_and_finite_count_as_missing(value: float | None) -> None:
    assert positive_or_none(value) is None
    assert positive_or_zero(value) == 0.0


def test_a_positive_finite_value_is_returned() -> None:
    assert positive_or_none(0.25) == positive_or_zero(0.25) == 0.25
