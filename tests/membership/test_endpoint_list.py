"""Merges into the endpoint list: older never replaces newer, and excessive removals need confirmation."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st

from shelfhaven.membership.change_log import MAX_CHANGES
from shelfhaven.membership.endpoint_list import EndpointList, MergeOutcome
from shelfhaven.membership.list_version import Endpoint, ListSnapshot, ListVersion
from shelfhaven.membership.shrink_guard import ShrinkGuardSettings

RETENTION_TIME = 30.0


def entries(*names: str, revision: int = 1) -> dict[str, Endpoint]:
    return {name: Endpoint(f"at {name}", revision) for name in names}


def make_list(*names: str, revision: int = 10, now: float = 0.0) -> EndpointList:
    endpoint_list = EndpointList(ShrinkGuardSettings(max_shrink_fraction=0.3, retention_time=RETENTION_TIME))
    assert endpoint_list.merge_complete_read(now, "s", revision, entries(*names)) is MergeOutcome.APPLIED
    return endpoint_list


TEN = tuple("abcdefghij")


def test_newer_changes_are_applied_and_older_ones_are_ignored() -> None:
    endpoints = make_list("a", "b")
    newer = ListSnapshot(
        ListVersion(0, 12, "s"), 1.0, entries("c", revision=12), ListVersion(0, 10, "s"), ("a",)
    )
    assert endpoints.merge_peer_snapshot(5.0, newer) is MergeOutcome.APPLIED
    assert set(endpoints.items) == {"b", "c"}
    assert endpoints.age(5.0) == 1.0
    assert (
        endpoints.merge_peer_snapshot(6.0, ListSnapshot(ListVersion(0, 11, "s"), 0.0, entries("x")))
        is MergeOutcome.OLDER
    )
    assert endpoints.merge_watch_event(6.0, "s", 11, entries("x"), ()) is MergeOutcome.OLDER
    assert endpoints.merge_watch_event(6.0, "t", 99, entries("x"), ()) is MergeOutcome.WRONG_BASE
    assert set(endpoints.items) == {"b", "c"}


def test_changes_relative_to_another_version_are_not_applied() -> None:
    endpoints = make_list("a")
    snapshot = ListSnapshot(ListVersion(0, 20, "s"), 0.0, entries("b"), ListVersion(0, 15, "s"))
    assert endpoints.merge_peer_snapshot(0.0, snapshot) is MergeOutcome.WRONG_BASE
    assert set(endpoints.items) == {"a"}


def test_excessive_removals_are_retained_until_the_list_service_confirms_them() -> None:
    endpoints = make_list(*TEN)
    assert endpoints.merge_complete_read(1.0, "s", 11, entries("a", "b", "z")) is MergeOutcome.RETAINED
    assert set(endpoints.items) == {*TEN, "z"}
    assert endpoints.confirmation_due() == 1.0 + RETENTION_TIME
    assert (
        endpoints.merge_complete_read(RETENTION_TIME, "s", 12, entries("a", "b", "z")) is MergeOutcome.APPLIED
    )
    assert set(endpoints.items) == {*TEN, "z"}, "the entries are still retained"
    assert (
        endpoints.merge_complete_read(1.0 + RETENTION_TIME, "s", 12, entries("a", "b", "z"))
        is MergeOutcome.APPLIED
    )
    assert set(endpoints.items) == {"a", "b", "z"}
    assert (
        endpoints.version.era == 1
    ), "the era makes peers apply the removal although the revision is unchanged"


def test_an_entry_listed_again_within_the_retention_time_is_no_longer_retained() -> None:
    endpoints = make_list(*TEN)
    endpoints.merge_complete_read(1.0, "s", 11, entries("a"))
    endpoints.merge_watch_event(2.0, "s", 12, entries("c", revision=12), ())
    assert "c" not in endpoints.retained
    endpoints.merge_complete_read(40.0, "s", 13, entries("a", "c"))
    assert set(endpoints.items) == {"a", "c"}


def test_few_removals_are_applied_and_many_within_a_retention_time_are_retained() -> None:
    endpoints = make_list(*TEN)
    for number, name in enumerate("abc"):
        assert (
            endpoints.merge_watch_event(1.0 + number, "s", 11 + number, {}, (name,)) is MergeOutcome.APPLIED
        )
    assert endpoints.merge_watch_event(5.0, "s", 14, {}, ("d",)) is MergeOutcome.RETAINED
    assert set(endpoints.items) == set("defghij")
    assert (
        endpoints.merge_watch_event(5.0 + RETENTION_TIME, "s", 15, {}, ("e",)) is MergeOutcome.APPLIED
    ), "the first three removals are older than the retention time"


def test_a_list_service_that_comes_back_empty_removes_nothing_until_confirmed() -> None:
    endpoints = make_list(*TEN, revision=500)
    assert endpoints.merge_complete_read(1.0, "other", 1, {}) is MergeOutcome.REGRESSED
    assert endpoints.merge_complete_read(2.0, "other", 2, entries("k")) is MergeOutcome.REGRESSED
    assert set(endpoints.items) == {*TEN, "k"}, "new nodes are added so that they can be polled"
    assert (
        endpoints.merge_complete_read(1.0 + RETENTION_TIME, "other", 9, entries("a", "k"))
        is MergeOutcome.APPLIED
    )
    assert (endpoints.version.era, endpoints.version.store, set(endpoints.items)) == (1, "other", {"a", "k"})


def test_an_unconfirmed_regression_is_discarded_once_the_revision_recovers() -> None:
    endpoints = make_list("a", "b", revision=500)
    assert endpoints.merge_complete_read(1.0, "s", 400, entries("a")) is MergeOutcome.REGRESSED
    assert endpoints.merge_complete_read(2.0, "s", 501, entries("a", "b")) is MergeOutcome.APPLIED
    assert endpoints.regression is None
    assert (
        endpoints.merge_complete_read(100.0, "s", 400, entries("a")) is MergeOutcome.REGRESSED
    ), "the confirmation time starts again"


def test_a_peer_list_of_another_store_in_the_same_era_only_adds_entries() -> None:
    endpoints = make_list("a", "b", revision=5)
    assert (
        endpoints.merge_peer_snapshot(0.0, ListSnapshot(ListVersion(0, 900, "other"), 0.0, entries("c")))
        is MergeOutcome.OTHER_STORE
    )
    assert set(endpoints.items) == {"a", "b", "c"}
    assert endpoints.version == ListVersion(0, 5, "s")


def test_a_later_era_replaces_the_list_regardless_of_its_revision() -> None:
    endpoints = make_list(*TEN, revision=900)
    assert (
        endpoints.merge_peer_snapshot(0.0, ListSnapshot(ListVersion(1, 3, "other"), 2.0, entries("a")))
        is MergeOutcome.APPLIED
    )
    assert set(endpoints.items) == {"a"}


def test_a_list_that_was_never_confirmed_has_an_infinite_age() -> None:
    endpoints = EndpointList(ShrinkGuardSettings())
    endpoints.merge_peer_snapshot(9.0, ListSnapshot(ListVersion(0, 3, "s"), math.inf, entries("a")))
    assert endpoints.age(9.0) == math.inf
    assert (
        endpoints.merge_peer_snapshot(9.0, ListSnapshot(ListVersion(0, 3, "s"), 4.0, {}))
        is MergeOutcome.UNCHANGED
    )
    assert endpoints.age(9.0) == 4.0


def test_a_peer_behind_the_change_log_is_sent_the_complete_list() -> None:
    endpoints = make_list("a")
    for number in range(MAX_CHANGES + 10):
        endpoints.merge_watch_event(0.0, "s", 11 + number, entries("b", revision=11 + number), ())
    assert endpoints.snapshot(0.0, ListVersion(0, 12, "s")).base is None
    assert endpoints.snapshot(0.0, ListVersion(0, MAX_CHANGES, "s")).base is not None


def test_a_list_with_retained_entries_is_older_than_a_complete_one() -> None:
    """Of two watchers at one revision, a follower adopts the list of the one that applied the removals."""
    retaining, removing, follower = (
        make_list(*TEN),
        make_list(*TEN),
        EndpointList(ShrinkGuardSettings()),
    )
    retaining.settings = ShrinkGuardSettings(max_shrink_fraction=0.0, retention_time=RETENTION_TIME)
    for watcher in (retaining, removing):
        watcher.merge_watch_event(1.0, "s", 11, {}, ("a", "b"))
    assert (retaining.version.complete, removing.version.complete) == (False, True)
    follower.merge_peer_snapshot(2.0, retaining.snapshot(2.0))
    assert set(follower.items) == set(TEN)
    snapshot = removing.snapshot(3.0, follower.version)
    assert snapshot.base is None, "a list with retained entries needs more than the latest changes"
    assert follower.merge_peer_snapshot(3.0, snapshot) is MergeOutcome.APPLIED
    assert set(follower.items) == set(TEN) - {"a", "b"}
    assert follower.merge_peer_snapshot(4.0, retaining.snapshot(4.0)) is MergeOutcome.OLDER
    assert (
        retaining.merge_peer_snapshot(4.0, follower.snapshot(4.0, retaining.version)) is MergeOutcome.APPLIED
    )
    assert set(retaining.items) == set(TEN) - {"a", "b"}


MERGE_STEPS = st.lists(
    st.tuples(st.sampled_from(["put", "remove", "poll", "read"]), st.integers(0, 7), st.booleans()),
    max_size=40,
)


@given(MERGE_STEPS)
def test_a_follower_that_merges_changes_ends_with_the_same_list_as_its_source(
    steps: list[tuple[str, int, bool]],
) -> None:
    """Merging changes at arbitrary times yields the same list as reading the complete list."""
    source, follower = make_list("n0", "n1"), EndpointList(ShrinkGuardSettings())
    source.settings = ShrinkGuardSettings(max_shrink_fraction=1.0, retention_time=RETENTION_TIME)
    revision, now = 10, 0.0
    for kind, number, after_pause in steps:
        now += 40.0 if after_pause else 0.1
        revision += 1
        name = f"n{number}"
        if kind == "put":
            source.merge_watch_event(now, "s", revision, entries(name, revision=revision), ())
        elif kind == "remove":
            source.merge_watch_event(now, "s", revision, {}, (name,))
        elif kind == "read":
            source.merge_complete_read(
                now, "s", revision, dict(source.items) | entries(name, revision=revision)
            )
        else:
            follower.merge_peer_snapshot(now, source.snapshot(now, follower.version))
            assert follower.items == source.items
    outcome = follower.merge_peer_snapshot(now, source.snapshot(now, follower.version))
    assert outcome in (MergeOutcome.APPLIED, MergeOutcome.UNCHANGED)
    assert (follower.items, follower.version) == (source.items, source.version)


def test_watch_events_do_not_complete_a_list_with_entries_retained_by_a_peer() -> None:
    retaining, follower = make_list(*TEN), make_list(*TEN)
    assert retaining.merge_watch_event(1.0, "s", 11, {}, ("a", "b", "c", "d")) is MergeOutcome.RETAINED
    assert follower.merge_peer_snapshot(1.0, retaining.snapshot(1.0)) is MergeOutcome.APPLIED
    assert follower.merge_watch_event(2.0, "s", 12, entries("z", revision=12), ()) is MergeOutcome.APPLIED
    assert not follower.version.complete, "the entries that the peer retained are still on the list"
    complete = make_list(*TEN[4:], "z", revision=12)
    assert follower.merge_peer_snapshot(3.0, complete.snapshot(3.0, follower.version)) is MergeOutcome.APPLIED
    assert (set(follower.items), follower.version.complete) == ({*TEN[4:], "z"}, True)


def test_the_removal_of_entries_retained_by_a_dead_peer_is_confirmed_by_the_list_service() -> None:
    retaining, follower = make_list(*TEN), make_list(*TEN)
    retaining.merge_watch_event(1.0, "s", 11, {}, ("a", "b", "c", "d"))
    follower.merge_peer_snapshot(1.0, retaining.snapshot(1.0))
    assert (
        follower.confirmation_due() == 1.0 + 2 * RETENTION_TIME
    ), "the peer asks for confirmation after one retention time, unless it died"
    assert follower.merge_complete_read(61.0, "s", 11, entries(*TEN[4:])) is MergeOutcome.RETAINED
    retaining.merge_watch_event(69.0, "s", 12, entries("y", revision=12), ())
    assert follower.merge_peer_snapshot(70.0, retaining.snapshot(70.0)) is MergeOutcome.APPLIED
    assert set(follower.retained) == set(
        TEN[:4]
    ), "it asks for confirmation itself, even after merging a list from the peer"
    assert (
        follower.merge_complete_read(61.0 + RETENTION_TIME, "s", 12, entries(*TEN[4:], "y"))
        is MergeOutcome.APPLIED
    )
    assert (set(follower.items), follower.confirmation_due()) == ({*TEN[4:], "y"}, math.inf)


def test_a_peer_with_retained_entries_is_sent_the_complete_list() -> None:
    retaining, removing = make_list(*TEN), make_list(*TEN)
    retaining.merge_watch_event(1.0, "s", 11, {}, ("a", "b", "c", "d"))
    for number, name in enumerate("abcd"):  # one at a time, more than a retention time apart
        removing.merge_watch_event(1.0 + number * 2 * RETENTION_TIME, "s", 11, {}, (name,))
    retaining.merge_watch_event(300.0, "s", 12, entries("z", revision=12), ())
    removing.merge_watch_event(300.0, "s", 12, entries("z", revision=12), ())
    removing.merge_watch_event(301.0, "s", 13, entries("y", revision=13), ())
    assert (
        retaining.merge_peer_snapshot(302.0, removing.snapshot(302.0, retaining.version))
        is MergeOutcome.APPLIED
    )
    assert retaining.items.keys() == removing.items.keys()
