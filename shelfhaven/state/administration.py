"""The commands `shelfhaven state ...`, which inspect and maintain the key file.

Owns the printed output and the exit codes. Only `restore` and `compact` modify the file, and only while no
node has it open. The other commands can run beside a node and never block it.
"""

from __future__ import annotations

import contextlib
import shutil
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from enum import IntEnum
from pathlib import Path

import apsw

from shelfhaven.command_output import CommandOutput
from shelfhaven.membership.clock import boottime
from shelfhaven.state import schema
from shelfhaven.state.errors import FileDamagedError, FileInUseError, StoreError
from shelfhaven.state.file_lock import FileLock
from shelfhaven.state.quarantine import quarantine_file
from shelfhaven.state.reader import KeyReader
from shelfhaven.state.records import RUN_STATE_VALUES, RunState, decode_label
from shelfhaven.state.settings import StateSettings
from shelfhaven.state.store import Store

BUSY_TIMEOUT = 2000  # milliseconds that a reader waits while the node holds a lock on the database


class ExitCode(IntEnum):
    """Exit codes of the commands."""

    OK = 0
    NO_FILE = 3
    IN_USE = 4
    FAILED = 5


def run(command: Callable[[], CommandOutput]) -> CommandOutput:
    """Run a command; turn an error that it raises into a message and an exit code."""
    try:
        return command()
    except FileNotFoundError as error:
        return CommandOutput([f"no such file: {error.filename or error}"], ExitCode.NO_FILE)
    except FileInUseError as error:
        return CommandOutput([str(error)], ExitCode.IN_USE)
    except FileDamagedError as error:
        return CommandOutput([f"Damaged: {error}"], ExitCode.FAILED)
    except (StoreError, apsw.Error, OSError, ValueError) as error:
        return CommandOutput([f"{type(error).__name__}: {error}"], ExitCode.FAILED)


def check(settings: StateSettings) -> CommandOutput:
    """Check the database and the checksums of all records."""
    with contextlib.closing(_open_reader(settings.file)) as reader:
        errors = reader.find_damage()
        if errors:
            return CommandOutput(errors, ExitCode.FAILED)
        return CommandOutput([f"{settings.file}: fine; {reader.count()} keys"], ExitCode.OK)


def show(settings: StateSettings, limit: int = 20) -> CommandOutput:
    """Print the number of keys by kind, and up to `limit` of the keys that have not expired."""
    count_by_kind: Counter[str] = Counter()
    key_lines: list[str] = []
    with contextlib.closing(_open_reader(settings.file)) as reader:
        now = boottime()
        offsets = reader.boot_offsets()
        query = "SELECT how, boot, ends, told FROM keys ORDER BY ends DESC"
        for run_state, boot, expires_at, label in reader.database.execute(query):
            time_left = float(expires_at) + offsets.get(int(boot), 0.0) - now
            if time_left <= 0:
                count_by_kind["over"] += 1
                continue
            kind = RunState(run_state).name.lower() if run_state in RUN_STATE_VALUES else "damaged"
            count_by_kind[kind] += 1
            if len(key_lines) < limit:
                key_lines.append(_format_key(bytes(label), kind, time_left))
    lines = [", ".join(f"{count} {kind}" for kind, count in sorted(count_by_kind.items())) or "no keys"]
    if key_lines:
        lines += [f"{'class':16} {'tenant':16} {'run':8} {'left':>10}  key", *key_lines]
    return CommandOutput(lines, ExitCode.OK)


def _format_key(encoded_label: bytes, kind: str, time_left: float) -> str:
    label = decode_label(encoded_label)
    return f"{label.class_name:16} {label.tenant:16} {kind:8} {time_left:8.1f} s  {label.idempotency_key}"


def snapshot(settings: StateSettings, target: Path) -> CommandOutput:
    """Write a consistent copy of the file to `target`; the node may be running."""
    with contextlib.closing(_open_reader(settings.file)) as reader:
        reader.snapshot(target)
        return CommandOutput([f"{target}: {reader.count()} keys"], ExitCode.OK)


def restore(settings: StateSettings, source: Path) -> CommandOutput:
    """Replace the file with a snapshot.

    Keys that ran after the snapshot are missing from it. Any key may therefore have run, until the uncertain
    period after the next start is over.
    """
    with tempfile.TemporaryDirectory(dir=settings.file.parent) as folder:
        copy = Path(folder) / settings.file.name
        shutil.copyfile(source, copy)
        with contextlib.closing(Store(copy, True)) as store:
            if errors := store.find_damage():
                return CommandOutput(errors, ExitCode.FAILED)
            store.set_uncertain_period(settings.uncertain_period)
            count = store.count()
            store.database.execute("PRAGMA journal_mode=delete").fetchall()
        with FileLock(settings.file):
            quarantine_file(settings.file, time.time_ns())
            copy.replace(settings.file)
    warning = f"for {settings.uncertain_period:g} s after the next start any key may have run"
    return CommandOutput([f"{settings.file}: {count} keys; {warning}"], ExitCode.OK)


def compact(settings: StateSettings) -> CommandOutput:
    """Delete expired keys and shrink the file; the node must be stopped."""
    size_before = settings.file.stat().st_size
    with contextlib.closing(Store(settings.file, True)) as store:
        while store.purge(boottime()):
            pass
        store.compact()
    size_after = settings.file.stat().st_size
    return CommandOutput(
        [f"{settings.file}: {size_before} bytes before, {size_after} bytes after"], ExitCode.OK
    )


def _open_reader(file: Path) -> KeyReader:
    """Open the file read-only, which a running node does not prevent.

    Raises FileNotFoundError, StoreError and apsw.Error.
    """
    if not file.is_file():
        raise FileNotFoundError(file)
    try:
        database = apsw.Connection(str(file), flags=apsw.SQLITE_OPEN_READONLY)
        database.set_busy_timeout(BUSY_TIMEOUT)
        header = (schema.application_id(database), schema.format_version(database))
    except (apsw.NotADBError, apsw.CorruptError) as error:
        raise FileDamagedError(str(error)) from None
    if header != (schema.APPLICATION_ID, schema.FORMAT_VERSION):
        raise StoreError(f"{file}: not a key file of format version {schema.FORMAT_VERSION}")
    return KeyReader(database)
