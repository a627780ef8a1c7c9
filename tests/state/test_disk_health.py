"""Tests of the disk states and of their effect on keyed requests."""

from __future__ import annotations

import pytest

from shelfhaven.state.disk_health import (
    MAX_BACKOFF,
    MAX_RETRY_AFTER,
    DegradedMode,
    DiskFault,
    DiskHealth,
    DiskSettings,
    DiskState,
)


def test_disk_states_from_loading_to_failing_and_the_backoff_between_retries() -> None:
    disk = DiskHealth(DiskSettings(max_wait=0.1, max_queued_writes=4))
    assert disk.state(0.0) is DiskState.LOADING
    assert not disk.accepts_write(0.0, 0)
    assert not disk.accepts_work(0.0)
    disk.mark_loaded()
    assert disk.accepts_write(0.0, 3)
    assert not disk.accepts_write(0.0, 4), "the queue is full"
    disk.commit_started(1.0)
    assert disk.state(1.05) is DiskState.HEALTHY
    assert disk.state(3.0) is DiskState.SLOW
    assert not disk.accepts_write(3.0, 0)
    assert disk.retry_after(3.0) == 2.0, "a stall is expected to last as long again"
    assert disk.retry_after(900.0) == MAX_RETRY_AFTER
    disk.operation_succeeded()
    assert disk.accepts_write(3.5, 0)
    backoffs, now = [], 10.0
    for _ in range(12):
        disk.operation_failed(now, DiskFault.FULL)
        assert disk.state(now) is DiskState.FULL
        assert not disk.may_commit(now)
        backoffs.append(disk.retry_at - now)
        now = disk.retry_at
        assert disk.may_commit(now)
    assert backoffs[:3] == [0.5, 1.0, 2.0]
    assert max(backoffs) == MAX_BACKOFF
    disk.operation_succeeded()
    assert disk.state(now) is DiskState.HEALTHY
    disk.operation_failed(now, DiskFault.FAILING)
    assert disk.retry_at - now == 0.5, "a success resets the backoff"


@pytest.mark.parametrize("degraded_mode", list(DegradedMode))
def test_a_disk_fault_stops_new_work_only_if_health_checks_are_to_fail(degraded_mode: DegradedMode) -> None:
    disk = DiskHealth(DiskSettings(degraded_mode=degraded_mode))
    disk.mark_loaded()
    assert disk.accepts_work(0.0)
    disk.operation_failed(0.0, DiskFault.FULL)
    assert disk.accepts_work(0.0) == (degraded_mode is not DegradedMode.FAIL_HEALTH_CHECKS)
