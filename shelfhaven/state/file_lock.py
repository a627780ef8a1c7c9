"""Lock that prevents two processes from opening the same key file.

The lock is taken on a separate file beside the database. The operating system releases it when the process
that holds it dies.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from types import TracebackType

from shelfhaven.state.errors import FileInUseError

LOCK_SUFFIX = ".owner"


class FileLock:
    """An exclusive lock, held from construction until `release`.

    The constructor raises FileInUseError if another process holds the lock.
    """

    def __init__(self, path: Path) -> None:
        lock_path = path.with_name(path.name + LOCK_SUFFIX)
        descriptor = os.open(lock_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise FileInUseError(path) from None
        self._descriptor: int | None = descriptor

    def release(self) -> None:
        """Release the lock; further calls have no effect."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def __enter__(self) -> FileLock:
        return self

    def __exit__(
        self, exc_type: type[BaseException] | None, exc: BaseException | None, traceback: TracebackType | None
    ) -> None:
        self.release()
