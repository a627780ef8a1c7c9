"""Tests of the key file: transactions, boots, the lock, damage."""

from __future__ import annotations

import sqlite3
import tempfile
from pathlib import Path

import apsw
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shelfhaven.lab.state_node import key
from shelfhaven.state.errors import FileDamagedError, FileInUseError, StoreError
from shelfhaven.state.quarantine import quarantine_file
from shelfhaven.state.records import DeleteRecord, PutRecord, RunState
from shelfhaven.state.schema import DAMAGE_ERRORS
from shelfhaven.state.store import Store
from tests.state.key_files import expiries, open_store, record


def test_committed_records_survive_a_restart_and_deleted_ones_do_not(tmp_path: Path) -> None:
    store = open_store(tmp_path / "k")
    store.commit(
        [PutRecord(record(1)), PutRecord(record(2)), PutRecord(record(3, expires_at=90.0))], 1, 100.0
    )
    store.commit([PutRecord(record(1, RunState.SERVED, 500.0, b"done")), DeleteRecord(key(2))], 1, 101.0)
    store.close()
    store = open_store(tmp_path / "k", 102.0)
    assert expiries(store, 102.0) == {key(1): 500.0}, "key 2 was deleted, and key 3 has expired"
    assert store.fetch(key(1)) == record(1, RunState.SERVED, 500.0, b"done")
    assert store.fetch(key(2)) is None
    assert store.purge(102.0) == 1
    assert store.count() == 1
    assert store.find_damage() == []
    store.close()


def test_expiry_counts_time_within_boots_but_not_between_them(tmp_path: Path) -> None:
    store = open_store(tmp_path / "k", 1000.0)
    store.commit([PutRecord(record(1, expires_at=1060.0))], 1, 1000.0)
    store.commit([], 1, 1020.0)
    store.close()
    store = open_store(tmp_path / "k", 1030.0)
    assert expiries(store, 1030.0)[key(1)] - 1030.0 == 30.0, "within a boot, its clock decides"
    store.close()
    store = open_store(tmp_path / "k", 5.0, "b2")  # 40 s were left at the last time recorded in boot 1
    assert store.boot_offsets() == {1: 5.0 - 1020.0, 2: 0.0}
    assert expiries(store, 5.0)[key(1)] - 5.0 == 40.0
    store.commit([PutRecord(record(2, expires_at=25.0, boot=2))], 2, 15.0)
    store.close()
    store = open_store(tmp_path / "k", 7.0, "b3")
    time_left = {digest: expires_at - 7.0 for digest, expires_at in expiries(store, 7.0).items()}
    assert time_left == {key(1): 30.0, key(2): 10.0}
    assert store.purge(7.0 + 10.0) == 1
    assert store.purge(7.0 + 31.0) == 1
    store.close()
    store = open_store(tmp_path / "k", 9.0, "")
    store.close()
    reopened = Store(tmp_path / "k", True)
    assert reopened.begin(9.0, "", "").boot == 5, "an empty identifier always begins a new boot"
    reopened.close()


def test_only_one_store_can_open_a_file_until_it_is_closed(tmp_path: Path) -> None:
    store = open_store(tmp_path / "k")
    with pytest.raises(FileInUseError):
        Store(tmp_path / "k", True)
    store.close()
    Store(tmp_path / "k", True).close()


def test_a_file_of_another_application_is_not_changed(tmp_path: Path) -> None:
    database = sqlite3.connect(tmp_path / "k")
    database.execute("create table other(x)")
    database.commit()
    database.close()
    before = (tmp_path / "k").read_bytes()
    with pytest.raises(StoreError, match="another application"):
        Store(tmp_path / "k", True)
    assert (tmp_path / "k").read_bytes() == before


@settings(max_examples=200, deadline=None)
@given(st.integers(0, 1 << 30))
def test_a_flipped_bit_is_detected_or_has_no_effect(bit: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "k"
        store = open_store(path)
        records = {
            key(number): record(number, RunState.SERVED, 1000.0 + number, b"result %d" % number)
            for number in range(60)
        }
        store.commit([PutRecord(written) for written in records.values()], 1, 100.0)
        store.close()
        data = bytearray(path.read_bytes())
        data[bit % len(data)] ^= 1 << (bit % 8)
        path.write_bytes(data)
        try:
            store = Store(path, True)
        except (FileDamagedError, StoreError, apsw.Error):
            return
        try:
            if not store.is_consistent():
                return
            store.begin(100.0, "b1", "")
            found = [expiry for page in store.pages(100.0) for expiry in page]
            missing = records.keys() - {expiry.digest for expiry in found if expiry}
            assert not missing or None in found, "a key is missing, but no damage was found"
            for expiry in filter(None, found):
                fetched = store.fetch(expiry.digest)
                assert fetched is None or fetched == records[expiry.digest] or fetched.result is None
        except (*DAMAGE_ERRORS, apsw.Error):
            return  # the damage is detected, so no key is taken for one that has not run
        finally:
            store.close()


def test_keys_are_uncertain_if_a_start_crashes_after_it_quarantined_a_damaged_file(
    tmp_path: Path,
) -> None:
    (tmp_path / "k").write_bytes(b"not a database" * 100)
    quarantine_file(tmp_path / "k", 1)
    for _ in range(2):  # the first start crashes after `begin`; the second must find the period in the file
        store = Store(tmp_path / "k", True)
        assert store.begin(1.0, "b", "topup 8 3", 11.0).uncertain_period == 11.0
        store.close()


def test_estimates_are_restored_only_in_the_boot_that_saved_them(tmp_path: Path) -> None:
    store = open_store(tmp_path / "k", 10.0)
    store.save_estimates(1, 12.0, b"this")
    store.close()
    for now, boot, expected in ((15.0, "b1", (b"this", 3.0)), (3.0, "b2", (b"", 0.0))):
        store = Store(tmp_path / "k", True)
        startup = store.begin(now, boot, "")
        assert (startup.estimates, startup.estimates_age) == expected
        store.close()
