"""The checker of fleet histories finds the violations in a history, and reports none in a valid one."""

from __future__ import annotations

from typing import Any

import pytest

from shelfhaven.lab.fleet_checker import StatedLimits, find_violations


def line(at: float, node: str = "n1", **fields: Any) -> dict[str, Any]:
    return {"at": at, "server": node, "event": "list_changed", "era": 0, "kept": 0, "store": "s"} | fields


@pytest.mark.parametrize(
    ("history", "requests_by_second", "message"),
    [
        ([line(1, revision=5, entries=4), line(2, revision=4, entries=4)], {}, "after a newer"),
        ([line(1, revision=5, entries=4, era=1), line(2, revision=9, entries=4)], {}, "after a newer"),
        ([line(1, revision=5, entries=10), line(2, revision=6, entries=5)], {}, "shrank"),
        ([line(n, revision=n, entries=10 - n) for n in range(1, 6)], {}, "shrank"),
        # Too soon.
        ([line(1, revision=5, entries=10, kept=6), line(9, revision=6, entries=4)], {}, "shrank"),
        # Five entries are removed too soon.
        (
            [
                line(1, revision=5, entries=10, kept=1),
                line(2, revision=5, entries=10, kept=6),
                line(31.5, revision=6, entries=4),
            ],
            {},
            "shrank",
        ),
        ([], {7: 99}, "99 requests"),
        ([{"at": 1, "server": "n1", "event": "unhandled", "message": "x"}], {}, "unhandled"),
    ],
)
def test_violations_are_found(history: Any, requests_by_second: dict[int, int], message: str) -> None:
    (violation, *_) = find_violations(
        history,
        requests_by_second,
        StatedLimits(max_requests_per_s=60.0, max_shrink_fraction=0.3, retention_time=30.0),
    )
    assert message in violation


def test_a_valid_history_has_no_violations() -> None:
    started = {"at": 3.0, "server": "n1", "event": "started_by_lab"}
    history = [
        line(1, revision=5, entries=10), line(2, revision=6, entries=8), line(2.5, revision=9, entries=8),
        started, line(4, revision=1, entries=1, store="t"), line(5, revision=1, entries=9, era=2),
        line(6, revision=3, entries=2, era=3),
        line(50, revision=4, entries=10, era=3), line(51, revision=4, entries=10, era=3, kept=6),
        line(80, revision=5, entries=10, era=3, kept=6), line(81.5, revision=6, entries=4, era=3),
    ]  # fmt: skip
    assert (
        find_violations(
            history,
            {3: 60},
            StatedLimits(max_requests_per_s=60.0, max_shrink_fraction=0.3, retention_time=30.0),
        )
        == []
    )
