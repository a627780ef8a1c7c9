"""Tests of the selection of the classes to divert."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shelfhaven.failover import priority_fit
from shelfhaven.failover.load_digest import ClassLoad


@given(st.dictionaries(st.sampled_from("abcdef"), st.tuples(st.floats(0, 9), st.floats(0, 9)), min_size=1),
       st.floats(0, 1))  # fmt: skip
def test_classes_are_diverted_in_descending_order_of_value_rate(
    classes: dict[str, tuple[float, float]], diverted: float
) -> None:
    by_class = {cls: ClassLoad(0.0, load, value_rate) for cls, (load, value_rate) in classes.items()}
    shares = priority_fit.load_shares(by_class)
    value_rates = {cls: class_load.value_rate for cls, class_load in by_class.items()}
    assert sum(shares.values()) == pytest.approx(1.0)
    fractions = priority_fit.fit_by_value(diverted, set(by_class), shares, value_rates)
    assert priority_fit.total_fraction(fractions, shares) == pytest.approx(diverted, abs=1e-3)
    classes_with_load = [cls for cls in by_class if shares[cls] > 0]
    for candidate in classes_with_load:
        for other in classes_with_load:
            if value_rates[candidate] > value_rates[other] and fractions.get(other, 0.0) > 1e-3:
                assert fractions[candidate] == pytest.approx(1.0, abs=1e-3)
