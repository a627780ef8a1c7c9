"""Tests of the estimates that a node saves for its next incarnation."""

from __future__ import annotations

from random import Random

import pytest

from shelfhaven.decision.controller import Controller
from shelfhaven.decision.estimates import LearnedEstimates
from shelfhaven.decision.settings import ClassSettings, Settings
from shelfhaven.routing.pool import Pool
from shelfhaven.routing.pool_settings import PoolSettings
from shelfhaven.routing.warm_start import BackendEstimate
from shelfhaven.state import saved_estimates
from shelfhaven.state.saved_estimates import CallEstimates, ClassEstimates, PoolEstimates, SavedEstimates


def test_estimates_are_weighted_by_age_and_invalid_ones_are_rejected() -> None:
    weights = [round(saved_estimates.prior_weight(age), 3) for age in (0.0, 10.0, 40.0, 44.0)]
    assert weights == [1.0, 0.5, 0.062, 0.0]
    servers = {"s": BackendEstimate(4.0, 6.0, 8.0, 1.0)}
    saved = SavedEstimates(
        {"look": ClassEstimates(0.1, 0.2, 0.3)},
        CallEstimates(0.5, 0.1),
        {"p": PoolEstimates({"look": 0.02}, servers)},
    )
    encoded = saved_estimates.encode(saved)
    assert saved_estimates.decode(encoded) == saved
    assert saved_estimates.aged_server_estimates(saved.pools["p"], 3.0) == {
        "s": BackendEstimate(4.0, 6.0, 5.0, 4.0)
    }
    for invalid in (b"", b"{}", b"[{},[1],{}]", b'[{"a":[1,2]},[0,0],{}]', b'[{"a":[1,2,-1]},[0,0],{}]',
                b'[{},[0,0],{"p":[1]}]', b'[{},[0,0],{"p":[{"a":true},{}]}]', encoded[:-1]):  # fmt: skip
        with pytest.raises(ValueError, match="."):
            saved_estimates.decode(invalid)
    restored = saved_estimates.to_learned_estimates(["new", "look"], saved)
    assert restored.run_means == (0.0, 0.1), "classes are matched by name"
    assert (restored.call_mean, restored.call_deviation) == (0.5, 0.1)


def test_a_controller_and_a_pool_use_saved_estimates_as_a_prior() -> None:
    controller = Controller(Settings(2, 1000.0, (ClassSettings(1.0, 2.0), ClassSettings(1.0, 2.0))), 1)
    initial = controller.estimates()
    controller.restore_estimates(LearnedEstimates((0.05, 0.0), (0.0, 0.0), (0.0, 0.0), 0.4, 0.1), 0.5)
    blended = ((initial.run_means[0] + 0.05) / 2, initial.run_means[1])
    assert (
        controller.estimates().run_means == blended
    ), "the estimate of a class without saved data does not change"
    assert (controller.estimates().call_mean, controller.estimates().call_deviation) == (0.4, 0.1)
    controller.restore_estimates(LearnedEstimates((float("nan"), -1.0), (0.0,), (), 9.0, 0.0), 1.0)
    assert (controller.estimates().call_mean, controller.estimates().call_deviation) == (
        0.4,
        0.1,
    ), "invalid estimates are ignored"
    assert controller.estimates().run_means[1] == initial.run_means[1]
    pool = Pool(PoolSettings(), ["s"], 0.0, Random(1))
    pool.latencies.by_class["seen"] = 0.5
    pool.latencies.restore({"seen": 9.0, "new": 0.1, "none": 0.0})
    assert pool.latencies.by_class == {"seen": 0.5, "new": 0.1}
