"""Helpers that create records and key files for the tests of this package."""

from __future__ import annotations

from pathlib import Path

import apsw

from shelfhaven.lab.state_node import key
from shelfhaven.state.disk_health import DiskSettings
from shelfhaven.state.errors import FileInUseError, StoreError
from shelfhaven.state.records import KeyRecord, RunState, encode_label
from shelfhaven.state.store import Store

LABEL = encode_label("topup", "one", "k")
FAR_FUTURE = 1e9  # expiry time that no test reaches
# for tests that are not about slow commits: on a busy machine a commit can exceed the default `max_wait`
PATIENT_DISK = DiskSettings(max_wait=10.0)


def record(
    number: int,
    run_state: RunState = RunState.INTENT,
    expires_at: float = FAR_FUTURE,
    result: bytes | None = None,
    boot: int = 1,
) -> KeyRecord:
    return KeyRecord(key(number), run_state, boot, expires_at, LABEL, result)


def open_store(path: Path, now: float = 100.0, boot: str = "b1") -> Store:
    """Open a store and begin an incarnation in it."""
    store = Store(path, True)
    store.begin(now, boot, "topup 8 3")
    return store


def expiries(store: Store, now: float) -> dict[bytes, float]:
    """Return the expiry times of the keys that have not expired, by digest."""
    intact = [expiry for page in store.pages(now) for expiry in page if expiry]
    return {expiry.digest: expiry.expires_at for expiry in intact}


def is_closed(file: Path) -> bool:
    """Return whether no store has the file open; a damaged file counts as closed."""
    try:
        Store(file, True).close()
    except FileInUseError:
        return False
    except (StoreError, apsw.Error):
        return True
    return True
