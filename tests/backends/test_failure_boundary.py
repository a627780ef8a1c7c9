"""Tests of the handling of unexpected errors in connection tasks."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

import orjson
import pytest

from shelfhaven.backends.failure_boundary import FailureBoundary
from shelfhaven.server.log import Log


@pytest.fixture
def log(tmp_path: Path) -> Log:
    return Log("n1", os.open(tmp_path / "log", os.O_CREAT | os.O_RDWR))


def log_lines(log: Log) -> list[dict[str, object]]:
    """Return the log lines written so far."""
    os.lseek(log.descriptor, 0, os.SEEK_SET)
    return [orjson.loads(line) for line in os.read(log.descriptor, 1 << 16).splitlines()]


def fail() -> None:
    raise KeyError("unexpected")


def test_an_unexpected_error_is_logged_with_its_traceback_and_suppressed(log: Log) -> None:
    with FailureBoundary(log, "pool_failed", pool="p"):
        fail()
    (line,) = log_lines(log)
    assert (line["event"], line["pool"]) == ("pool_failed", "p")
    assert "in fail" in str(line["error"])
    assert str(line["error"]).rstrip().endswith("KeyError: 'unexpected'")


def test_without_an_error_nothing_is_logged(log: Log) -> None:
    with FailureBoundary(log, "pool_failed"):
        pass
    assert log_lines(log) == []


@pytest.mark.parametrize("error", [asyncio.CancelledError, KeyboardInterrupt, SystemExit])
def test_cancellation_and_exit_pass_through(log: Log, error: type[BaseException]) -> None:
    with pytest.raises(error), FailureBoundary(log, "pool_failed"):
        raise error
    assert log_lines(log) == []
