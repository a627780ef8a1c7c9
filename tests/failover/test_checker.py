"""Tests of the checker that finds violations in the logs of a fleet."""

from __future__ import annotations

from shelfhaven.lab import failover_checker
from shelfhaven.lab.backend_stub import ExecutedRun
from shelfhaven.lab.failover_checker import diverted_violations, duplicate_runs, epoch_violations


def test_checker_finds_violations_in_constructed_logs() -> None:
    def line(at: float, server: str, event: str, **fields: object) -> dict[str, object]:
        return {"at": at, "server": server, "event": event, **fields}

    decreasing = [line(1, "a", "zones_followed", epoch=2, away={}, by_hand=[]),
                  line(2, "a", "zones_followed", epoch=1, away={}, by_hand=[])]  # fmt: skip
    assert len(epoch_violations(decreasing)) == 1
    assert epoch_violations([decreasing[0], line(1.5, "a", "started_by_lab"), decreasing[1]]) == []
    decided_twice = [line(1, "a", "zone_decided", epoch=1), line(2, "b", "zone_decided", epoch=1)]
    assert len(epoch_violations(decided_twice)) == 1
    too_much_diverted = line(1, "a", "zones_followed", epoch=1, away={"x": 1.0, "y": 1.0}, by_hand=[])
    assert len(diverted_violations([too_much_diverted], 3, 0.5)) == 1
    assert diverted_violations([too_much_diverted | {"by_hand": ["x"]}], 3, 0.5) == []
    duplicate_key_runs = [
        ExecutedRun("v", 1.0, "/topup", "k", b"", "c1"),
        ExecutedRun("w", 2.0, "/topup", "k", b"", "c2"),
    ]
    assert len(duplicate_runs(duplicate_key_runs)) == 1
    assert duplicate_runs([duplicate_key_runs[0]]) == []
    unhandled_error = line(1, "a", "unhandled", error="x")
    assert failover_checker.find_violations([unhandled_error], 3, 0.5, []) == ["a: unhandled: x"]
