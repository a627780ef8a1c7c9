"""Tests of the JSON encoding of commands, results and requests, and of pickled documents."""

from __future__ import annotations

import pickle
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shelfhaven.consensus import codec
from shelfhaven.consensus.commands import Command, GrantLease, KeepLeaseAlive, RevokeLease
from shelfhaven.consensus.state_machine import Document
from shelfhaven.consensus.store import CompareAndSet, Entry, Put, Snapshot
from tests.consensus.stores import conditional_put

KEYS = st.sampled_from("abc")
LEASE_IDS = st.integers(0, 4)
CHANGES = st.builds(
    CompareAndSet,
    st.dictionaries(KEYS, st.integers(0, 6), max_size=2),
    st.dictionaries(KEYS, st.builds(Put, st.just(b"x"), st.integers(0, 3))),
    st.lists(KEYS, max_size=1).map(tuple),
)
COMMANDS = st.lists(
    st.one_of(
        CHANGES,
        st.builds(GrantLease, st.floats(0.5, 5.0), LEASE_IDS),
        st.builds(KeepLeaseAlive, LEASE_IDS),
        st.builds(RevokeLease, LEASE_IDS),
    ),
    max_size=40,
)


@given(COMMANDS)
def test_commands_results_and_documents_survive_a_round_trip(commands: list[Command]) -> None:
    original, copy = Document(), Document()
    for command in commands:
        revision_before = original.revision
        result = original.apply(command)
        copy_result = copy.apply(codec.decode_command(codec.encode_command(command)))
        assert codec.decode_result(codec.encode_result(result)) == copy_result == result
        assert original.revision in (revision_before, revision_before + 1)
        copy = pickle.loads(pickle.dumps(copy))  # as pysyncobj stores and sends it
        assert copy == original
    assert all(entry.lease in (0, *original.leases) for entry in original.items.values())


@pytest.mark.parametrize(
    "raw",
    [
        None,
        [],
        {},
        {"do": "jump"},
        {"do": "change"},
        {"do": "grant", "seconds": "x", "lease": 1},
        {"do": "change", "compare": [], "put": {}, "delete": []},
        {"do": "expire", "lease": 1},
    ],
)
def test_invalid_commands_are_rejected(raw: Any) -> None:
    with pytest.raises(ValueError, match="invalid command|could not convert"):
        codec.decode_command(raw)


def test_apply_request_applies_commands_and_answers_queries() -> None:
    document = Document()
    answer = codec.apply_request(document, codec.encode_command(conditional_put("duty/a", b"1")))
    assert codec.decode_result(answer).applied
    read = codec.apply_request(document, codec.encode_read_request(["duty/a", "other"]))
    assert codec.decode_snapshot(read) == Snapshot(2, {"duty/a": Entry(b"1", 2), "other": None})
    listed = codec.apply_request(document, codec.encode_list_request("duty/"))
    assert codec.decode_snapshot(listed) == Snapshot(2, {"duty/a": Entry(b"1", 2)})


@pytest.mark.parametrize("raw", [None, {}, {"do": "read"}, {"do": "read", "keys": 1}, {"do": "listed"}])
def test_invalid_requests_are_rejected(raw: Any) -> None:
    with pytest.raises(ValueError, match="invalid request"):
        codec.apply_request(Document(), raw)


@pytest.mark.parametrize("raw", [None, {}, {"done": True}, {"done": True, "revision": 1, "found": []}])
def test_invalid_results_and_snapshots_are_rejected(raw: Any) -> None:
    with pytest.raises(ValueError, match="invalid result"):
        codec.decode_result(raw)
    with pytest.raises(ValueError, match="invalid snapshot"):
        codec.decode_snapshot(raw)
