"""The list cache: the age of a loaded list, the file format, and damaged files."""

from __future__ import annotations

import math
from pathlib import Path

import pytest

from shelfhaven.membership import list_cache
from shelfhaven.membership.list_version import Endpoint, ListSnapshot, ListVersion


def test_the_age_of_a_cached_list_includes_the_time_since_it_was_saved(tmp_path: Path) -> None:
    path = tmp_path / "list"
    assert list_cache.load(path, 0.0, 100.0) is None
    snapshot = ListSnapshot(ListVersion(0, 7, "s"), 3.0, {"a": Endpoint("at a", 1)})
    list_cache.save(path, snapshot, 1000.0)
    assert list_cache.load(path, 1010.0, 100.0) == ListSnapshot(snapshot.version, 13.0, snapshot.items)
    assert list_cache.load(path, 2000.0, 100.0) is None
    after_clock_reset = list_cache.load(path, 500.0, 100.0)
    assert after_clock_reset is not None
    assert after_clock_reset.age == math.inf, "the age is unknown after the clock went back"
    assert [file.name for file in tmp_path.iterdir()] == ["list"]


def test_the_file_format_is_that_of_earlier_versions(tmp_path: Path) -> None:
    path = tmp_path / "list"
    list_cache.save(path, ListSnapshot(ListVersion(0, 7, "s"), 3.0, {"a": Endpoint("at a", 1)}), 1000.0)
    assert path.read_bytes() == (
        b"shelfhaven-list-1 f42d9663e76912e8a695f41eeac97249 1000.000\n"
        b'{"stamp":[0,7,"s",true],"age":3.0,"items":{"a":["at a",1]},"base":null,"gone":[],"warm":false,'
        b'"contacts":[],"strain":1.0,"servers":null}'
    )


def test_a_truncated_or_corrupted_file_is_rejected(tmp_path: Path) -> None:
    path = tmp_path / "list"
    list_cache.save(path, ListSnapshot(ListVersion(0, 7, "s"), 3.0, {"a": Endpoint("at a", 1)}), 1000.0)
    data = path.read_bytes()
    for position in range(len(data)):
        path.write_bytes(data[:position])
        with pytest.raises(ValueError, match=r"."):
            list_cache.load(path, 1010.0, 100.0)
        path.write_bytes(data[:position] + bytes([data[position] ^ 1]) + data[position + 1 :])
        with pytest.raises(ValueError, match=r"."):
            list_cache.load(path, 1010.0, 100.0)
