"""Quarantine: damaged or replaced key files are renamed, never deleted.

Defines the names of quarantined files. It never opens a database.
"""

from __future__ import annotations

import contextlib
from pathlib import Path

QUARANTINE_INFIX = ".aside-"  # quarantined files are named NAME.aside-NUMBER
# main file, write-ahead log and shared memory of an SQLite database
DATABASE_SUFFIXES = ("", "-wal", "-shm")


def quarantine_file(path: Path, number: int) -> Path:
    """Rename a database with its write-ahead log and shared memory; return the new path.

    The main file is renamed first. After a crash in between, the next start therefore finds no database at
    `path`, but a quarantined one, and treats every key as uncertain.
    """
    target = path.with_name(f"{path.name}{QUARANTINE_INFIX}{number}")
    for suffix in DATABASE_SUFFIXES:
        with contextlib.suppress(FileNotFoundError):
            path.with_name(path.name + suffix).replace(target.with_name(target.name + suffix))
    return target


def has_quarantined(path: Path) -> bool:
    """Return whether a file with this path was quarantined before."""
    return any(path.parent.glob(f"{path.name}{QUARANTINE_INFIX}*"))
