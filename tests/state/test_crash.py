"""Tests of the key file on a simulated disk that loses power or fails at each of its calls in turn."""

from __future__ import annotations

from random import Random

import apsw
import pytest

from shelfhaven.lab.crash_disk import CrashDisk
from shelfhaven.lab.state_crashes import (
    abandon,
    expected_states,
    open_store,
    put,
    read_independently,
    run_sequence,
    search,
)
from shelfhaven.lab.state_node import key
from shelfhaven.state.records import RunState


def test_power_loss_at_any_call_loses_no_acknowledged_commit() -> None:
    result = search(7)
    print(f"{result.images} disk images checked after power loss at {result.calls} calls")
    assert not result.violations
    assert result.images > 300


def test_a_second_power_loss_during_recovery_loses_no_acknowledged_commit() -> None:
    states = expected_states()
    random = Random(8)
    for first_loss_at in range(90, 120, 3):
        disk = CrashDisk()
        disk.power_loss_at = first_loss_at
        acknowledged = run_sequence()
        image = random.choice(disk.images_after_power_loss(random))
        disk.close()
        for second_loss_at in range(1, 12):
            recovering_disk = CrashDisk(dict(image))
            recovering_disk.power_loss_at = second_loss_at
            store = None
            try:
                store = open_store()
                store.begin(60.0, "b", "")
                store.purge(60.0)
                store.database.execute("PRAGMA wal_checkpoint(truncate)").fetchall()
            except apsw.Error:
                pass
            abandon(store)
            images = recovering_disk.images_after_power_loss(random)
            recovering_disk.close()
            for files in images:
                found = read_independently(files) or {}
                assert found in states[acknowledged : acknowledged + 2], (first_loss_at, second_loss_at)


@pytest.mark.parametrize("error", [apsw.FullError, apsw.IOError])
def test_a_failed_disk_call_fails_the_whole_commit_and_the_next_commit_succeeds(
    error: type[apsw.Error],
) -> None:
    disk = CrashDisk()
    store = open_store()
    store.begin(1.0, "b", "")
    calls_before = disk.calls
    store.commit([put(1, RunState.INTENT), put(2, RunState.INTENT)], 1, 2.0)
    calls_per_commit = disk.calls - calls_before
    assert calls_per_commit >= 2
    expected = {key(1): (0, None), key(2): (0, None)}
    for number in range(3, 3 + calls_per_commit + 2):
        disk.failing_calls = {disk.calls + number - 2: error}
        try:
            store.commit([put(number, RunState.INTENT), put(number + 100, RunState.INTENT)], 1, 3.0)
            expected |= {key(number): (0, None), key(number + 100): (0, None)}
        except (apsw.FullError, apsw.IOError):
            pass
        disk.failing_calls = {}
        store.commit([put(number + 200, RunState.INTENT)], 1, 4.0)
        expected[key(number + 200)] = (0, None)
        found = {expiry.digest for page in store.pages(5.0) for expiry in page if expiry}
        assert found == expected.keys()
    store.database.close()
    assert read_independently(disk.images_after_power_loss(Random(1))[1]) == expected
    disk.close()
