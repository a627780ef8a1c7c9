"""The change log and the shrink guard of an endpoint list."""

from __future__ import annotations

import math

from shelfhaven.membership.change_log import MAX_CHANGES, ChangeLog
from shelfhaven.membership.list_version import ListVersion
from shelfhaven.membership.shrink_guard import ShrinkGuard, ShrinkGuardSettings

SETTINGS = ShrinkGuardSettings(max_shrink_fraction=0.3, retention_time=30.0)


def version(revision: int) -> ListVersion:
    return ListVersion(0, revision, "s")


def test_a_change_log_returns_the_keys_changed_after_a_version() -> None:
    log = ChangeLog()
    log.reset(version(10))
    log.append(version(11), ["a", "b"])
    log.append(version(12), ["b"])
    assert log.keys_since(version(10)) == ["a", "b"]
    assert log.keys_since(version(11)) == ["b"]
    assert log.covers(version(10))
    assert not log.covers(version(9))


def test_a_full_change_log_discards_the_oldest_changes() -> None:
    log = ChangeLog()
    log.append(version(1), (f"k{number}" for number in range(MAX_CHANGES)))
    assert log.covers(version(0))
    log.append(version(2), ["another"])
    assert not log.covers(version(0))
    assert log.covers(version(1))


def test_few_removals_are_allowed_and_excessive_ones_are_retained() -> None:
    guard = ShrinkGuard()
    assert not guard.retain_excess(0.0, ["a", "b"], 10, SETTINGS)
    assert guard.retain_excess(1.0, ["c", "d"], 8, SETTINGS), "four of ten entries within a retention time"
    assert guard.retained == {"c": 31.0, "d": 31.0}
    assert guard.first_expiry() == 31.0
    assert not guard.retention_ended(30.9, "c")
    assert guard.retention_ended(31.0, "c")
    assert not guard.retention_ended(31.0, "a"), "it was never retained"


def test_a_retained_entry_keeps_its_expiry_and_can_be_released() -> None:
    guard = ShrinkGuard()
    assert guard.retain_excess(0.0, list("abcd"), 10, SETTINGS)
    assert not guard.retain_excess(5.0, list("abcd"), 10, SETTINGS)
    assert guard.first_expiry() == 30.0
    assert not guard.all_retained_in({"a"})
    for key in "abcd":
        guard.release(key)
    assert guard.all_retained_in(())
    assert guard.first_expiry() == math.inf


def test_one_removal_within_a_retention_time_is_always_allowed() -> None:
    guard = ShrinkGuard()
    assert not guard.retain_excess(0.0, ["a"], 1, ShrinkGuardSettings(0.0, 30.0))
    assert guard.retain_excess(1.0, ["b"], 1, ShrinkGuardSettings(0.0, 30.0))
