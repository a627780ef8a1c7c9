"""Exceptions of the key file, in addition to those of SQLite and the operating system."""

from __future__ import annotations

from pathlib import Path

from shelfhaven.errors import ShelfhavenError


class StoreError(ShelfhavenError):
    """The file cannot be used, for example because its format is unknown."""


class FileDamagedError(StoreError):
    """The file is damaged or is not a database."""


class FileInUseError(StoreError):
    """Another process has the file open."""

    def __init__(self, path: Path) -> None:
        super().__init__(f"{path}: locked by another process")
        self.path = path
