"""Tests of the replicated document: atomic changes, leases, limits and the history of changes."""

from __future__ import annotations

import copy

from shelfhaven.consensus.commands import ExpireLease, GrantLease, KeepLeaseAlive, grant_new_lease
from shelfhaven.consensus.state_machine import (
    MAX_ENTRIES,
    MAX_LEASE_TTL,
    MAX_LEASES,
    MAX_RECENT_DELETIONS,
    Document,
)
from shelfhaven.consensus.store import MAX_KEY_LENGTH, MAX_VALUE_BYTES, CompareAndSet, Entry, Put
from tests.consensus.stores import conditional_put


def test_compare_and_set_is_atomic() -> None:
    document = Document()
    assert document.apply(conditional_put("a", b"1")).applied
    before = copy.deepcopy(document)
    rejected = document.apply(CompareAndSet({"a": 0, "b": 0}, {"b": Put(b"2")}, ("a",)))
    assert (rejected.applied, rejected.current) == (False, {"a": Entry(b"1", 2), "b": None})
    assert document == before
    assert document.apply(CompareAndSet({"a": 2, "b": 0}, {"b": Put(b"2")}, ("a",))).revision == 3
    assert document.items == {"b": Entry(b"2", 3)}


def test_ending_a_lease_deletes_its_entries_in_one_revision() -> None:
    document = Document()
    lease = document.apply(GrantLease(5.0, 77)).lease_id
    document.apply(CompareAndSet({}, {"a": Put(b"1", lease), "b": Put(b"2", lease), "c": Put(b"3")}))
    renewals = document.leases[lease].beat
    assert document.apply(KeepLeaseAlive(lease)).applied
    assert not document.apply(ExpireLease(lease, renewals)).applied, "the lease was renewed in the meantime"
    revision = document.revision
    assert document.apply(ExpireLease(lease, renewals + 1)).applied
    assert document.changes_since(["a", "b", "c"], revision) == {"a": None, "b": None}
    assert document.revision == revision + 1
    assert not document.apply(KeepLeaseAlive(lease)).applied
    assert not document.apply(conditional_put("d", b"4", lease=lease)).applied, "the lease has ended"


def test_lease_ids_of_one_store_are_unknown_to_its_replacement() -> None:
    old_document, new_document = Document(), Document()
    old_id, new_id = (
        document.apply(grant_new_lease(5.0)).lease_id for document in (old_document, new_document)
    )
    assert old_id != new_id
    assert not new_document.apply(KeepLeaseAlive(old_id)).applied
    assert not new_document.apply(GrantLease(5.0, new_id)).applied, "the id is in use"
    assert not new_document.apply(GrantLease(5.0, 0)).applied, "0 means no lease"


def test_commands_that_exceed_a_limit_are_not_applied() -> None:
    document = Document()
    assert not document.apply(conditional_put("k" * (MAX_KEY_LENGTH + 1), b"")).applied
    assert not document.apply(conditional_put("k", b"v" * (MAX_VALUE_BYTES + 1))).applied
    assert not document.apply(GrantLease(MAX_LEASE_TTL + 1, 5)).applied
    for n in range(MAX_ENTRIES):
        assert document.apply(conditional_put(f"k{n}", b"")).applied
    assert not document.apply(conditional_put("one more", b"")).applied
    for n in range(MAX_LEASES):
        assert document.apply(GrantLease(1.0, n + 1)).applied
    assert not document.apply(GrantLease(1.0, n + 2)).applied


def test_changes_since_an_unknown_revision_are_reported_as_unavailable() -> None:
    document = Document()
    for _ in range(MAX_RECENT_DELETIONS + 5):
        document.apply(conditional_put("a", b"", 0))
        document.apply(CompareAndSet({}, {}, ("a",)))
    assert document.changes_since(["a"], 3) is None
    assert document.changes_since(["a"], document.revision + 1) is None, "the revision is of another store"
    assert document.changes_since(["a"], document.revision - 2) == {"a": None}
