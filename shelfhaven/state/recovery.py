"""Recovery: opens the key file at startup and reads the keys of earlier incarnations.

Owns the store until the file has been read. A damaged file is quarantined and replaced by an empty one. Any
key may then have run, until the longest time that a key can count is over (the uncertain period).
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import apsw

from shelfhaven.membership.clock import boottime
from shelfhaven.server.log import Log
from shelfhaven.state.disk_monitor import DiskMonitor
from shelfhaven.state.errors import FileDamagedError, FileInUseError, StoreError
from shelfhaven.state.previous_incarnation import PreviousIncarnation
from shelfhaven.state.quarantine import quarantine_file
from shelfhaven.state.schema import DAMAGE_ERRORS
from shelfhaven.state.settings import StateSettings
from shelfhaven.state.store import StartupState, Store
from shelfhaven.state.writer import WriterThread

MIN_RETRY_DELAY = 0.2  # seconds before another attempt to open the file
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")


@dataclass(frozen=True, slots=True)
class RecoveredFile:
    """The open key file, with the keys that were read from it."""

    store: Store
    startup: StartupState
    previous: PreviousIncarnation
    damaged_records: int

    def uncertain_period(self, longest: float) -> float:
        """Return the seconds for which keys missing from the file may have run.

        `longest`: the longest time in seconds that a key can count.
        """
        return longest if self.damaged_records else min(self.startup.uncertain_period, longest)


class Recovery:
    """Opens and reads the key file, and retries until it succeeds."""

    def __init__(
        self, settings: StateSettings, disk: DiskMonitor, open_store: Callable[[], Store], log: Log
    ) -> None:
        self.store: Store | None = None  # None until the file is open
        self._settings = settings
        self._disk = disk
        self._open_store = open_store
        self._log = log

    async def run(self, writer: WriterThread) -> RecoveredFile:
        """Open and read the file, with retries after errors."""
        while True:
            try:
                return await writer.run(self.recover)
            except FileInUseError as error:
                self._disk.file_in_use(error)
                await asyncio.sleep(MIN_RETRY_DELAY)
            except (StoreError, apsw.Error, OSError) as error:
                self._disk.failed(error)
                await asyncio.sleep(max(MIN_RETRY_DELAY, self._disk.health.retry_at - boottime()))

    def recover(self) -> RecoveredFile:
        """Open and read the file, replacing a damaged one; runs in the writer thread."""
        try:
            return self._open_and_read()
        except FileDamagedError as error:
            quarantined_path = quarantine_file(self._settings.file, time.time_ns())
            self._log.event("keys_damaged", error=str(error), aside=str(quarantined_path))
            return self._open_and_read()

    def _open_and_read(self) -> RecoveredFile:
        if self.store is None:
            self.store = self._open_store()
        try:
            return self._read(self.store)
        except DAMAGE_ERRORS as error:
            self.store.close()
            self.store = None
            raise FileDamagedError(str(error)) from None

    def _read(self, store: Store) -> RecoveredFile:
        if not store.is_consistent():
            raise apsw.CorruptError("inconsistent database pages")
        startup = store.begin(
            boottime(), boot_id(), self._settings.class_summary, self._settings.uncertain_period
        )
        previous = PreviousIncarnation()
        damaged_records = 0
        for page in store.pages(boottime()):
            for expiry in page:
                if expiry is None:
                    damaged_records += 1
                else:
                    previous.add(expiry.digest, expiry.expires_at)
        return RecoveredFile(store, startup, previous, damaged_records)


def boot_id() -> str:
    """Return the identifier of the machine's current boot, or "" if the system provides none.

    `Store.begin` takes each start with an empty identifier for a new boot.
    """
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return ""
