"""Crash test of the key store: a fixed sequence of commits with a power loss at each modifying disk call.

For each power loss the test examines the possible disk images, both with the store and with an independent
reader, so that the check does not rely on the store alone.
"""

from __future__ import annotations

import contextlib
import sqlite3
import tempfile
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import NamedTuple

import apsw

from shelfhaven.lab.crash_disk import VFS_NAME, CrashDisk
from shelfhaven.lab.state_node import key
from shelfhaven.state.records import DeleteRecord, KeyRecord, Mutation, PutRecord, RunState, encode_label
from shelfhaven.state.store import Store

FILE = Path("/keys")  # on the in-memory disk
LABEL = encode_label("topup", "one", "a key that is long enough to take some room on a page")
CHECKPOINT_PAGES = 6  # small, so that the write-ahead log is checkpointed often


class StoredKey(NamedTuple):
    """The state and result stored for a key."""

    run_state: int
    result: bytes | None


State = dict[bytes, StoredKey]  # the stored keys by digest


def put(number: int, run_state: RunState, result: bytes | None = None) -> PutRecord:
    """Return the mutation that stores a key."""
    return PutRecord(KeyRecord(key(number), run_state, 1, 1e6 + number, LABEL, result))


SEQUENCE: list[list[Mutation]] = [
    [put(1, RunState.INTENT)],
    [put(2, RunState.INTENT), put(1, RunState.SERVED, b"one" * 200)],
    [put(3, RunState.INTENT), put(4, RunState.INTENT)],
    [DeleteRecord(key(3)), put(2, RunState.FAILED)],
    [put(number, RunState.INTENT) for number in range(10, 40)],
    [put(number, RunState.SERVED, b"result" * 50) for number in range(10, 40)],
    [DeleteRecord(key(4)), put(5, RunState.INTENT)],
    [put(5, RunState.SERVED, b"five")],
]


def expected_states() -> list[State]:
    """Return the states after each number of commits, starting with zero commits."""
    states: list[State] = [{}]
    for mutations in SEQUENCE:
        state = dict(states[-1])
        for mutation in mutations:
            if isinstance(mutation, DeleteRecord):
                state.pop(mutation.digest, None)
            else:
                record = mutation.record
                state[record.digest] = StoredKey(record.run_state.value, record.result)
        states.append(state)
    return states


def open_store() -> Store:
    """Open the store on the currently registered crash disk."""
    return Store(FILE, True, VFS_NAME, lock=False)


def abandon(store: Store | None) -> None:
    """Close the database after a simulated crash and ignore errors.

    A crashed process would not close it; here the connection must be released before the next run.
    """
    if store:
        with contextlib.suppress(apsw.Error):
            store.database.close()


def run_sequence() -> int:
    """Run the sequence until it ends or the power is lost; return the number of acknowledged commits."""
    acknowledged = 0
    store = None
    try:
        store = open_store()
        store.database.execute(f"PRAGMA wal_autocheckpoint={CHECKPOINT_PAGES}").fetchall()
        store.begin(1.0, "b", "topup 8 3")
        for number, mutations in enumerate(SEQUENCE):
            store.commit(mutations, 1, 2.0 + number)
            acknowledged += 1
        store.purge(3.0)
    except apsw.Error:
        pass
    abandon(store)
    return acknowledged


def read_independently(files: Mapping[str, bytes]) -> State | None:
    """Read the stored keys without any code of the store; return None if the table was never created.

    Raises:
        ValueError: the database is inconsistent.
    """
    with tempfile.TemporaryDirectory() as folder:
        for name, raw in files.items():
            (Path(folder) / name).write_bytes(raw)
        with contextlib.closing(sqlite3.connect(Path(folder) / FILE.name)) as database:
            if database.execute("PRAGMA integrity_check").fetchall() != [("ok",)]:
                raise ValueError("the integrity check of the database failed")
            if not database.execute("SELECT 1 FROM sqlite_schema WHERE name = 'keys'").fetchall():
                return None
            rows = database.execute("SELECT id, how, result FROM keys").fetchall()
    return {digest: StoredKey(run_state, result) for digest, run_state, result in rows}


def recovered_keys(files: Mapping[str, bytes]) -> set[bytes]:
    """Return the digests of the keys that the next incarnation recovers."""
    disk = CrashDisk(dict(files))
    store = open_store()
    store.begin(50.0, "b", "")
    recovered = set[bytes]()
    if store.is_consistent():
        recovered = {expiry.digest for page in store.pages(50.0) for expiry in page if expiry}
    store.close()
    disk.close()
    return recovered


@dataclass(slots=True)
class SearchResult:
    """Result of a search.

    Attributes:
        calls: number of modifying disk calls at which the power was lost.
        images: number of disk images checked.
        violations: descriptions of all violations.
    """

    calls: int = 0
    images: int = 0
    violations: list[str] = field(default_factory=list)


def search(seed: int) -> SearchResult:
    """Run the sequence with a power loss at each modifying call in turn, and check each disk image."""
    states = expected_states()
    random = Random(seed)
    result = SearchResult()
    acknowledged = 0
    while acknowledged < len(SEQUENCE):
        result.calls += 1
        disk = CrashDisk()
        disk.power_loss_at = result.calls
        acknowledged = run_sequence()
        images = disk.images_after_power_loss(random)
        disk.close()
        for files in images:
            result.images += 1
            # the commit in progress must be stored completely or not at all
            _check_image(files, states[acknowledged : acknowledged + 2], acknowledged, result)
    return result


def _check_image(
    files: Mapping[str, bytes], allowed: list[State], acknowledged: int, result: SearchResult
) -> None:
    """Check that an image holds an allowed state and that the store recovers exactly its keys."""
    stored = read_independently(files)
    recovered = recovered_keys(files)
    state = stored or {}
    if state not in allowed or (stored is None and acknowledged):
        result.violations.append(
            f"call {result.calls}, after {acknowledged} commits: unexpected state with {len(state)} keys"
        )
    if recovered != set(state):
        result.violations.append(
            f"call {result.calls}: the store recovers other keys than are stored, {len(recovered)} in number"
        )
