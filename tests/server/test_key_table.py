"""The table of idempotency keys: holders, expiry, and the size limit of stored results."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shelfhaven.server.key_table import KeyEntry, KeyTable
from shelfhaven.server.request_key import KeyName, RequestContent, RequestKey
from shelfhaven.server.result_store import ResultStore


def key(name: str, body: bytes | None = b"", location: bytes | None = None) -> RequestKey:
    return RequestKey(KeyName(0, 0, name), RequestContent(body, location))


FIRST, SECOND = key("first"), key("second")


def _table(capacity_bytes: int = 100) -> KeyTable:
    return KeyTable(ResultStore(capacity_bytes))


def _expire(table: KeyTable, now: float, in_use: set[int] | None = None) -> None:
    table.expire(now, (in_use or set()).__contains__, lambda _: 5.0)


def test_only_the_holder_of_a_key_stores_and_gets_its_result() -> None:
    table = _table()
    table.put(FIRST, KeyEntry(1, 10.0, 12.0))
    table.store_result(FIRST, 2, b"of another attempt")
    assert table.get_result(FIRST, 1) is None
    table.store_result(FIRST, 1, b"result")
    assert table.get_result(FIRST, 1) == b"result"
    assert table.get_result(FIRST, 2) is None
    assert table.get_result(FIRST, None) is None
    assert table.get_result(SECOND, 1) is None


def test_a_new_entry_removes_the_result_of_the_previous_one() -> None:
    table = _table()
    table.put(FIRST, KeyEntry(1, 10.0, 12.0))
    table.store_result(FIRST, 1, b"result")
    table.put(FIRST, KeyEntry(2, 20.0, 22.0))
    assert table.get_result(FIRST, 2) is None
    assert (len(table.results), table.results.size_bytes) == (0, 0)


def test_a_replaced_entry_does_not_make_the_new_one_expire_early() -> None:
    table = _table()
    table.put(FIRST, KeyEntry(1, 10.0, 12.0))
    table.put(FIRST, KeyEntry(2, 20.0, 22.0))
    _expire(table, 12.0)
    assert FIRST in table
    _expire(table, 22.0)
    assert FIRST not in table
    assert not table.expirations


def test_an_entry_in_use_is_extended_and_expires_later() -> None:
    table = _table()
    table.put(FIRST, KeyEntry(1, 10.0, 12.0))
    _expire(table, 12.0, in_use={1})
    entry = table.get(FIRST)
    assert entry is not None
    assert entry.forget_at == 17.0
    _expire(table, 16.9)
    assert FIRST in table
    _expire(table, 17.0)
    assert len(table) == 0


def test_the_oldest_results_are_evicted_and_their_keys_stay() -> None:
    table = _table(capacity_bytes=10)
    table.put(FIRST, KeyEntry(1, 10.0, 12.0))
    table.put(SECOND, KeyEntry(2, 10.0, 12.0))
    table.store_result(FIRST, 1, b"123456")
    table.store_result(SECOND, 2, b"12345")
    assert table.get_result(FIRST, 1) is None
    assert table.get_result(SECOND, 2) == b"12345"
    assert FIRST in table


def test_a_result_larger_than_the_capacity_is_not_stored() -> None:
    results = ResultStore(3)
    results.put(FIRST, b"four")
    assert results.get(FIRST) is None
    assert (len(results), results.size_bytes) == (0, 0)


@given(st.lists(st.tuples(st.sampled_from(["put", "remove"]), st.integers(0, 5), st.integers(0, 6))))
def test_the_size_counts_all_bodies_and_stays_within_the_capacity(steps: list[tuple[str, int, int]]) -> None:
    results = ResultStore(10)
    for step, number, size in steps:
        numbered = key(str(number))
        if step == "remove":
            results.remove(numbered)
        elif results.get(numbered) is None:
            results.put(numbered, b"x" * size)
        assert results.size_bytes == sum(len(body) for body in results.bodies.values())
        assert results.size_bytes <= results.capacity_bytes


@pytest.mark.parametrize(
    ("held", "asked", "found"),
    [
        (key("k", b"body", b"query"), key("k", b"body", None), True),
        (key("k", b"body", None), key("k", b"body", b"query"), True),
        (key("k", None, b"query"), key("k", b"body", b"query"), True),
        (key("k", b"body", b"query"), key("k", None, None), True),
        (key("k", b"body", b"query"), key("k", b"body", b"other"), False),
        (key("k", b"body", None), key("k", b"other", None), False),
        (key("k", None, b"query"), key("k", b"body", b"other"), False),
        (key("k", b"body", None), key("other", b"body", None), False),
    ],
)
def test_entries_are_found_unless_something_that_both_attempts_convey_differs(
    held: RequestKey, asked: RequestKey, found: bool
) -> None:
    table = _table()
    table.put(held, KeyEntry(1, 10.0, 12.0))
    assert table.find(asked) == ([held] if found else [])
    _expire(table, 12.0)
    assert table.find(asked) == []
    assert not table._keys_by_name


def test_all_entries_that_may_be_of_one_request_are_found() -> None:
    table = _table()
    held = [key("k", b"body", b"1"), key("k", b"body", b"2"), key("k", b"other", b"1")]
    for number, item in enumerate(held):
        table.put(item, KeyEntry(number, 10.0, 12.0))
    assert set(table.find(key("k", b"body", None))) == set(held[:2])
    assert set(table.find(key("k", None, b"1"))) == {held[0], held[2]}
    table.remove(held[0])
    assert table.find(key("k", b"body", None)) == [held[1]]
