"""Read access to the key file, which may be open in a node at the same time.

Contains the queries. It never writes to the key file; snapshots are written to separate files.

Expiry times are stored on the clock of the boot in which they were written. A record has expired once
`expires_at + offset <= now`, with the offset of its boot.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from itertools import islice
from pathlib import Path

import apsw

from shelfhaven.state import schema
from shelfhaven.state.records import KeyExpiry, KeyRecord, RecordHead, RunState, is_intact, verified_result
from shelfhaven.state.schema import DAMAGE_ERRORS, HEAD_COLUMNS

PAGE_RECORDS = 2000  # records per query when all are read
BACKUP_PAGES = 64  # database pages that a snapshot copies per step
MAX_REPORTED_ERRORS = 20  # limit for SQLite's integrity check
PARTIAL_SUFFIX = ".part"  # of a snapshot file until it is complete
HEAD_LENGTH = len(RecordHead._fields)


class KeyReader:
    """Runs queries on an open key file."""

    def __init__(self, database: apsw.Connection) -> None:
        self.database = database

    def boot_offsets(self) -> dict[int, float]:
        """Return by boot number the seconds to add to that boot's times to get times of the current boot."""
        boots = schema.rows(self.database, "SELECT number, shift FROM boots")
        return {int(number): float(offset) for number, offset in boots}

    def pages(self, now: float) -> Iterator[list[KeyExpiry | None]]:
        """Yield the keys that have not expired in pages, ascending by digest; None for a damaged record."""
        offsets = self.boot_offsets()
        last_digest = b""
        while True:
            query = f"SELECT {HEAD_COLUMNS} FROM keys WHERE id > ? ORDER BY id LIMIT ?"
            rows = schema.rows(self.database, query, (last_digest, PAGE_RECORDS))
            if not rows:
                return
            last_digest = rows[-1][0]
            page: list[KeyExpiry | None] = []
            for columns in rows:  # plain tuples for speed: there may be a million records
                digest, _, boot, expires_at, _, _, _ = columns
                if not is_intact(columns) or boot not in offsets:
                    page.append(None)
                elif (current_expiry := expires_at + offsets[boot]) > now:
                    page.append(KeyExpiry(digest, current_expiry))
            yield page

    def fetch(self, digest: bytes) -> KeyRecord | None:
        """Return the record of a key with its result, or None if it is missing or damaged."""
        query = f"SELECT {HEAD_COLUMNS}, CAST(result AS BLOB) FROM keys WHERE id=?"
        rows = schema.rows(self.database, query, (digest,))
        if not rows:
            return None
        head = RecordHead._make(rows[0][:HEAD_LENGTH])
        if not is_intact(head):
            return None
        result = verified_result(rows[0][HEAD_LENGTH], head.result_checksum)
        state = RunState(head.run_state)
        return KeyRecord(head.digest, state, head.boot, head.expires_at, head.label, result)

    def count(self) -> int:
        """Return the number of records, including expired ones."""
        return int(schema.rows(self.database, "SELECT count(*) FROM keys")[0][0])

    def is_consistent(self) -> bool:
        """Return whether SQLite's quick check passes: inconsistent pages could hide records."""
        return [text for (text,) in schema.rows(self.database, "PRAGMA quick_check(1)")] == ["ok"]

    def find_damage(self) -> list[str]:
        """Return descriptions of all damage that is found in the file."""
        try:
            report = schema.rows(self.database, f"PRAGMA integrity_check({MAX_REPORTED_ERRORS})")
            errors = [str(text) for (text,) in report if text != "ok"]
            damaged = sum(expiry is None for page in self.pages(float("-inf")) for expiry in page)
        except DAMAGE_ERRORS as error:
            return [str(error)]
        if damaged:
            errors.append(f"{damaged} damaged records")
        return errors

    def uncertain_labels(self, now: float, limit: int) -> list[bytes]:
        """Return up to `limit` encoded labels of unexpired keys that may have run and have no result."""
        offsets = self.boot_offsets()
        query = f"SELECT {HEAD_COLUMNS} FROM keys WHERE how <> ?"
        rows = self.database.execute(query, (RunState.SERVED.value,))
        heads = map(RecordHead._make, rows)
        intact = (head for head in heads if is_intact(head) and head.boot in offsets)
        labels = (head.label for head in intact if head.expires_at + offsets[head.boot] > now)
        return list(islice(labels, limit))

    def snapshot(self, target: Path) -> None:
        """Copy the database consistently into one file, which appears at `target` only when complete."""
        partial_file = target.with_name(target.name + PARTIAL_SUFFIX)
        partial_file.unlink(missing_ok=True)
        copy = apsw.Connection(str(partial_file))
        try:
            with copy.backup("main", self.database, "main") as backup:
                while not backup.done:
                    backup.step(BACKUP_PAGES)
            copy.execute("PRAGMA journal_mode=delete").fetchall()
        finally:
            copy.close()
        _fsync(partial_file)
        partial_file.replace(target)
        _fsync(target.parent)

    def close(self) -> None:
        """Close the database connection."""
        self.database.close()


def _fsync(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
