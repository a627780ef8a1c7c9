"""Tests of the checker that finds violations in the logs of a fleet."""

from __future__ import annotations

from shelfhaven.lab import failover_checker
from shelfhaven.lab.backend_stub import ExecutedRun
from shelfhaven.lab.failover_checker import diverted_violations, duplicate_runs, epoch_violations


def line(at: float, server: str, event: str, **fields: object) -> dict[str, object]:
    """Return a line of a node's log."""
    return {"at": at, "server": server, "event": event, **fields}


def followed(epoch: int, away: dict[str, float], loads: dict[str, float]) -> dict[str, object]:
    """Return the log line of a node that follows a policy."""
    return line(epoch, "a", "zones_followed", epoch=epoch, away=away, by_hand=[], loads=loads)


EQUAL = {"x": 1.0, "y": 1.0, "z": 1.0}


def test_diverted_load_is_bounded_when_a_policy_diverts_more() -> None:
    """Guards against a checker that counts zones as equal, or lets a move beyond the bound pass."""
    assert len(diverted_violations([followed(1, {"x": 1.0, "y": 1.0}, EQUAL)], 3, 0.5)) == 1
    assert diverted_violations([followed(1, {"x": 1.0, "y": 0.5}, EQUAL)], 3, 0.5) == []
    assert len(diverted_violations([followed(1, {"x": 1.0, "y": 0.51}, EQUAL)], 3, 0.5)) == 1
    light_zone = {"x": 0.349, "y": 0.989, "z": 0.424}
    assert diverted_violations([followed(1, {"x": 1.0, "y": 0.538}, light_zone)], 3, 0.5) == []
    assert len(diverted_violations([followed(1, {"x": 1.0, "y": 0.55}, light_zone)], 3, 0.5)) == 1
    assert len(diverted_violations([followed(1, {"z": 0.9}, {"x": 1.0, "y": 1.0, "z": 8.0})], 3, 0.5)) == 1
    no_load = {"x": 0.0, "y": 0.0, "z": 0.0}
    assert len(diverted_violations([followed(1, {"x": 1.0, "y": 0.6}, no_load)], 3, 0.5)) == 1
    assert diverted_violations([followed(1, {"x": 1.0, "y": 0.5}, no_load)], 3, 0.5) == []


def test_only_a_move_can_exceed_the_bound_and_operators_orders_do_not() -> None:
    """Guards against violations that are none: the other zones' load falls, or an operator diverts."""
    first = followed(1, {"x": 1.0}, EQUAL)
    fallen = {"x": 1.0, "y": 0.2, "z": 0.2}
    assert diverted_violations([first, followed(2, {"x": 1.0}, fallen)], 3, 0.5) == []
    assert len(diverted_violations([first, followed(2, {"x": 1.0, "y": 0.1}, fallen)], 3, 0.5)) == 1
    later = followed(1, {"x": 1.0}, fallen) | {"at": 1.5, "server": "b"}
    assert diverted_violations([later, first], 3, 0.5) == [], "a node that follows a renewal later"
    excessive = followed(1, {"x": 1.0}, fallen)
    renewed = first | {"at": 1.5, "server": "b"}
    assert len(diverted_violations([excessive, renewed], 3, 0.5)) == 1, "the loads rose after the decision"
    by_hand = followed(1, {"x": 1.0, "y": 1.0}, EQUAL) | {"by_hand": ["x"]}
    assert diverted_violations([by_hand], 3, 0.5) == []


def test_no_policy_closes_all_zones() -> None:
    """Guards against a fleet whose traffic has no zone left, however small the zones' loads are."""
    everything = {"x": 1.0, "y": 1.0, "z": 1.0}
    assert any("closes all" in text for text in diverted_violations([followed(1, everything, EQUAL)], 3, 1.0))
    assert diverted_violations([followed(1, {"x": 1.0, "y": 1.0}, EQUAL)], 3, 1.0) == []


def test_checker_finds_violations_in_constructed_logs() -> None:
    decreasing = [line(1, "a", "zones_followed", epoch=2, away={}, by_hand=[]),
                  line(2, "a", "zones_followed", epoch=1, away={}, by_hand=[])]  # fmt: skip
    assert len(epoch_violations(decreasing)) == 1
    assert epoch_violations([decreasing[0], line(1.5, "a", "started_by_lab"), decreasing[1]]) == []
    decided_twice = [line(1, "a", "zone_decided", epoch=1), line(2, "b", "zone_decided", epoch=1)]
    assert len(epoch_violations(decided_twice)) == 1
    duplicate_key_runs = [
        ExecutedRun("v", 1.0, "/topup", "k", b"", "c1"),
        ExecutedRun("w", 2.0, "/topup", "k", b"", "c2"),
    ]
    assert len(duplicate_runs(duplicate_key_runs)) == 1
    assert duplicate_runs([duplicate_key_runs[0]]) == []
    unhandled_error = line(1, "a", "unhandled", error="x")
    assert failover_checker.find_violations([unhandled_error], 3, 0.5, []) == ["a: unhandled: x"]
