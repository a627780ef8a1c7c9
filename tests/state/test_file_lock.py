"""Tests of the lock on the key file and of the quarantine of damaged files."""

from __future__ import annotations

from pathlib import Path

import pytest

from shelfhaven.state.errors import FileInUseError, StoreError
from shelfhaven.state.file_lock import FileLock
from shelfhaven.state.quarantine import has_quarantined, quarantine_file


def test_a_lock_is_exclusive_until_it_is_released(tmp_path: Path) -> None:
    path = tmp_path / "k"
    with FileLock(path) as lock:
        with pytest.raises(FileInUseError) as raised:
            FileLock(path)
        assert raised.value.path == path
        assert str(raised.value) == f"{path}: locked by another process"
        assert isinstance(raised.value, StoreError)
        lock.release()
        FileLock(path).release()
    FileLock(path).release()
    assert (tmp_path / "k.owner").stat().st_mode & 0o777 == 0o600


def test_a_database_is_quarantined_together_with_its_write_ahead_log(tmp_path: Path) -> None:
    path = tmp_path / "k"
    for name in ("k", "k-wal", "kept"):
        (tmp_path / name).write_text(name)
    assert not has_quarantined(path)
    assert quarantine_file(path, 7) == tmp_path / "k.aside-7"
    assert has_quarantined(path)
    contents = {file.name: file.read_text() for file in tmp_path.iterdir()}
    assert contents == {"k.aside-7": "k", "k.aside-7-wal": "k-wal", "kept": "kept"}
