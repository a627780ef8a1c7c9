"""Tests of the classification of errors and of the logging of disk states."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import apsw
import orjson
import pytest

from shelfhaven.server.log import Log
from shelfhaven.state.disk_health import DiskFault, DiskSettings, DiskState
from shelfhaven.state.disk_monitor import DiskMonitor, disk_fault
from shelfhaven.state.errors import FileInUseError


@pytest.mark.parametrize(
    ("error", "fault"),
    [
        (apsw.FullError("full"), DiskFault.FULL),
        (OSError(errno.ENOSPC, "no space"), DiskFault.FULL),
        (OSError(errno.EIO, "i/o"), DiskFault.FAILING),
        (apsw.IOError("i/o"), DiskFault.FAILING),
    ],
)
def test_errors_are_classified_as_a_full_or_a_failing_disk(error: Exception, fault: DiskFault) -> None:
    assert disk_fault(error) is fault


def test_each_change_of_the_disk_state_is_logged_once(tmp_path: Path) -> None:
    descriptor = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT)
    monitor = DiskMonitor(DiskSettings(), Log("test", descriptor))
    monitor.succeeded()
    monitor.file_in_use(FileInUseError(tmp_path / "k"))
    monitor.file_in_use(FileInUseError(tmp_path / "k"))
    monitor.failed(apsw.FullError("full"))
    monitor.failed(apsw.FullError("still full"))
    assert monitor.health.state(0.0) is DiskState.FULL
    assert monitor.health.consecutive_failures == 2
    monitor.succeeded()
    monitor.succeeded()
    assert monitor.health.consecutive_failures == 0
    os.close(descriptor)
    lines = [orjson.loads(line) for line in (tmp_path / "log").read_bytes().splitlines()]
    assert {line["event"] for line in lines} == {"keys_disk"}
    assert [(line["standing"], line["error"]) for line in lines] == [
        ("taken", f"{tmp_path / 'k'}: locked by another process"),
        ("full", "full"),
        ("good", ""),
    ]
