"""The key file: a SQLite database with a write-ahead log, accessed through apsw.

Owns the open file and its transactions. It must not be used by two threads at a time.

Expiry times must not depend on the wall clock, which can be changed. They are on the clock in
`membership/clock.py`, which restarts at each boot of the machine. The time between two boots is not counted,
so that a key may be kept too long, but is never dropped too early. The table `boots` holds the offset that
converts the times of each boot to the current clock.
"""

from __future__ import annotations

import contextlib
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import apsw

from shelfhaven.state import schema
from shelfhaven.state.errors import FileDamagedError, StoreError
from shelfhaven.state.file_lock import FileLock
from shelfhaven.state.quarantine import has_quarantined
from shelfhaven.state.reader import KeyReader
from shelfhaven.state.records import DeleteRecord, Mutation, RecordHead, is_intact
from shelfhaven.state.schema import HEAD_COLUMNS, MetaName

PURGE_LIMIT = 2000  # expired records deleted per transaction
CHECKPOINT_PAGES = 1000  # length of the write-ahead log, in pages, at which SQLite checkpoints it

MetaValue = TypeVar("MetaValue", str, int, float, bytes)


@dataclass(frozen=True, slots=True)
class StartupState:
    """What an incarnation reads from the file when it starts.

    `boot`: the number of the machine's current boot.
    `uncertain_period`: seconds for which keys that are not in the file may have run.
    `class_summary`: the summary stored by the previous start, or "" in a new file.
    `estimates`: the encoded estimates of the previous incarnation, or b"" if it ran in another boot.
    `estimates_age`: the age of the estimates in seconds.
    """

    boot: int
    uncertain_period: float
    class_summary: str
    estimates: bytes = b""
    estimates_age: float = 0.0


class Store(KeyReader):
    """An open key file with read and write access.

    Raises FileDamagedError, FileInUseError, StoreError, apsw.Error and OSError.
    """

    def __init__(self, path: Path, sync: bool, vfs: str | None = None, lock: bool = True) -> None:
        """Open the file, or create it.

        `sync`: whether a commit returns only once it is on disk; `vfs`: the name of the SQLite VFS to use;
        `lock`: False for tests with a VFS in memory, where there can be no lock file.
        """
        self.path = path
        self._lock = FileLock(path) if lock else None
        try:
            super().__init__(apsw.Connection(str(path), vfs=vfs))
            self.database.set_busy_timeout(0)
            if not lock:
                self._pragma("locking_mode=exclusive")
            is_new = self._is_new()
            self._pragma("journal_mode=wal")
            self._pragma(f"synchronous={'full' if sync else 'off'}")
            self._pragma(f"wal_autocheckpoint={CHECKPOINT_PAGES}")
            if is_new:
                schema.create(self.database)
        except (apsw.NotADBError, apsw.CorruptError) as error:
            self.close()
            raise FileDamagedError(str(error)) from None
        except BaseException:
            self.close()
            raise

    def _pragma(self, text: str) -> None:
        self.database.execute(f"PRAGMA {text}").fetchall()

    def _is_new(self) -> bool:
        """Return whether the file is empty.

        Raises StoreError if its format version is unknown or it belongs to another application.
        """
        version = schema.format_version(self.database)
        if version == schema.FORMAT_VERSION and schema.application_id(self.database) == schema.APPLICATION_ID:
            return False
        if version or schema.has_tables(self.database):
            raise StoreError(
                f"{self.path}: format version {version} instead of {schema.FORMAT_VERSION}, "
                "or a file of another application"
            )
        return True

    def begin(
        self, now: float, boot_id: str, class_summary: str, uncertain_period: float = 0.0
    ) -> StartupState:
        """Begin an incarnation; `now` is on the clock of the current boot.

        If this file is new and an earlier one was quarantined, `uncertain_period` is stored in the same
        transaction as the class summary, which marks the file as used, so that a crash cannot lose it.
        """
        with self.database:
            boot = self._begin_boot(now, boot_id)
            previous_summary = str(self._meta(MetaName.CLASS_SUMMARY, ""))
            if not previous_summary and has_quarantined(self.path):
                self._put_meta(MetaName.UNCERTAIN_PERIOD, uncertain_period)
            uncertain_period = float(self._meta(MetaName.UNCERTAIN_PERIOD, 0.0))
            self._put_meta(MetaName.CLASS_SUMMARY, class_summary)
        if self._meta(MetaName.ESTIMATES_BOOT, 0) != boot:
            return StartupState(boot, uncertain_period, previous_summary)
        estimates = bytes(self._meta(MetaName.ESTIMATES, b""))
        age = now - float(self._meta(MetaName.ESTIMATES_SAVED_AT, now))
        return StartupState(boot, uncertain_period, previous_summary, estimates, age)

    def _begin_boot(self, now: float, boot_id: str) -> int:
        """Return the number of the current boot, and record it if it is new.

        A new boot continues from the last time that was recorded in the previous boot: the difference between
        the clocks is added to the offsets of all earlier boots.
        """
        latest = schema.rows(self.database, "SELECT number, id, at FROM boots ORDER BY number DESC LIMIT 1")
        if not latest:
            boot = 1
        else:
            last_number, last_id, last_recorded_at = latest[0]
            if boot_id and last_id == boot_id:
                return int(last_number)
            boot = int(last_number) + 1
            self.database.execute("UPDATE boots SET shift = shift + ?", (now - last_recorded_at,))
        self.database.execute("INSERT INTO boots VALUES(?, ?, ?, 0.0)", (boot, boot_id, now))
        return boot

    def _meta(self, name: MetaName, default: MetaValue) -> MetaValue:
        rows = schema.rows(self.database, "SELECT value FROM meta WHERE name=?", (name,))
        return rows[0][0] if rows else default

    def _put_meta(self, name: MetaName, value: object) -> None:
        self.database.execute("INSERT OR REPLACE INTO meta VALUES(?, ?)", (name, value))

    def set_uncertain_period(self, seconds: float) -> None:
        """Store how long after the next start any key may have run; 0 means only those in the file."""
        with self.database:
            self._put_meta(MetaName.UNCERTAIN_PERIOD, seconds)

    def end_uncertain_period(self) -> None:
        """Delete damaged records and clear the uncertain period, as the lost keys have expired by now."""
        heads = map(RecordHead._make, self.database.execute(f"SELECT {HEAD_COLUMNS} FROM keys"))
        damaged = [(head.digest,) for head in heads if not is_intact(head)]
        with self.database:
            self.database.executemany("DELETE FROM keys WHERE id=?", damaged)
            self._put_meta(MetaName.UNCERTAIN_PERIOD, 0.0)

    def save_estimates(self, boot: int, now: float, estimates: bytes) -> None:
        """Store the encoded estimates of this incarnation with the boot number and the time."""
        with self.database:
            self._put_meta(MetaName.ESTIMATES, estimates)
            self._put_meta(MetaName.ESTIMATES_BOOT, boot)
            self._put_meta(MetaName.ESTIMATES_SAVED_AT, now)

    def commit(self, mutations: Sequence[Mutation], boot: int, now: float) -> None:
        """Apply all mutations and update the last recorded time of the boot, in one transaction."""
        with self.database:
            for mutation in mutations:
                self._apply(mutation)
            self.database.execute("UPDATE boots SET at=? WHERE number=?", (now, boot))

    def _apply(self, mutation: Mutation) -> None:
        if isinstance(mutation, DeleteRecord):
            self.database.execute("DELETE FROM keys WHERE id=?", (mutation.digest,))
            return
        record = mutation.record
        values = (
            record.digest, record.run_state.value, record.boot, record.expires_at, record.label,
            record.result_checksum, record.checksum, record.result,
        )  # fmt: skip
        self.database.execute("INSERT OR REPLACE INTO keys VALUES(?,?,?,?,?,?,?,?)", values)

    def purge(self, now: float) -> int:
        """Delete up to `PURGE_LIMIT` expired records; return how many were deleted."""
        count = 0
        with self.database:
            for boot, offset in self.boot_offsets().items():
                self.database.execute(
                    "DELETE FROM keys WHERE id IN (SELECT id FROM keys WHERE boot=? AND ends<=? LIMIT ?)",
                    (boot, now - offset, PURGE_LIMIT - count),
                )
                count += self.database.changes()
        return count

    def compact(self) -> None:
        """Rebuild the database without unused pages, and truncate the write-ahead log."""
        self.database.execute("VACUUM")
        self._pragma("wal_checkpoint(truncate)")

    def close(self) -> None:
        """Close the file and release its lock."""
        with contextlib.suppress(AttributeError, apsw.Error):  # AttributeError: the database was never opened
            super().close()
        if self._lock:
            self._lock.release()
