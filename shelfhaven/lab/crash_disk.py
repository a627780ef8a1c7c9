"""An in-memory disk that loses unsynced writes on a power loss: a virtual file system (VFS) for SQLite.

The VFS is registered through apsw. The disk holds the content of each file, tracks which changes are durable
and injects faults: a power loss at a given call, or calls that fail. It is independent of the file format.

After a power loss a file consists of its last synced content and *some* of the changes made since: none, all,
those up to some point, a random subset (a disk may reorder writes), or all with the last write torn in half.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from random import Random
from typing import TypeAlias, cast

import apsw

VFS_NAME = "shadow"
SECTOR_BYTES = 512
UNNAMED_FILE = "temporary"


@dataclass(frozen=True, slots=True)
class Write:
    """A write of `data` at `offset`."""

    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Truncate:
    """A truncation to `size`, which is at most the current size."""

    size: int


Change: TypeAlias = Write | Truncate


class Survival(Enum):
    """Which of the changes since the last sync survive a power loss."""

    NONE = "none"
    ALL = "all"
    PREFIX = "those up to a point"
    SUBSET = "a random selection"
    TORN = "all, the last one torn in half"


@dataclass(slots=True)
class CrashFile:
    """One file.

    Attributes:
        durable: the content at the last sync.
        content: the current content, which reads return.
        changes: the changes since the last sync.
    """

    durable: bytes = b""
    content: bytearray = field(default_factory=bytearray)
    changes: list[Change] = field(default_factory=list)

    def change(self, change: Change) -> None:
        """Apply a change, which is not durable before the next `sync`."""
        _apply(self.content, change)
        self.changes.append(change)

    def sync(self) -> None:
        """Make all changes durable."""
        self.durable = bytes(self.content)
        self.changes = []


def _apply(content: bytearray, change: Change) -> None:
    if isinstance(change, Truncate):
        del content[change.size :]
        return
    if len(content) < change.offset:
        content.extend(bytes(change.offset - len(content)))
    content[change.offset : change.offset + len(change.data)] = change.data


class CrashDisk:
    """The files of a disk and the faults to inject.

    Attributes:
        files: all files by name.
        calls: number of modifying calls so far: writes, truncations, syncs and deletions.
        power_loss_at: number of the first modifying call that fails with a power loss, as do all later ones.
        failing_calls: the errors to raise, by number of the modifying call.
    """

    def __init__(self, files: dict[str, bytes] | None = None) -> None:
        self.files = {name: CrashFile(raw, bytearray(raw)) for name, raw in (files or {}).items()}
        self.calls = 0
        self.power_loss_at: int | None = None
        self.failing_calls: dict[int, type[apsw.Error]] = {}
        self._vfs = _CrashVfs(self)

    def count_call(self) -> None:
        """Count a modifying call.

        Raises:
            apsw.Error: a fault is due at this call.
        """
        self.calls += 1
        if self.power_loss_at is not None and self.calls >= self.power_loss_at:
            raise apsw.IOError("power loss")
        if error := self.failing_calls.get(self.calls):
            raise error("injected fault")

    def images_after_power_loss(self, random: Random) -> list[dict[str, bytes]]:
        """Return one disk image for each `Survival`: the content of each file by name."""
        return [
            {name: _surviving(file, survival, random) for name, file in self.files.items()}
            for survival in Survival
        ]

    def close(self) -> None:
        """Unregister the VFS."""
        self._vfs.unregister()


def _surviving(file: CrashFile, survival: Survival, random: Random) -> bytes:
    content = bytearray(file.durable)
    changes = list(file.changes)
    if survival is Survival.NONE:
        changes = []
    elif survival is Survival.PREFIX:
        changes = changes[: random.randint(0, len(changes))]
    elif survival is Survival.SUBSET:
        changes = [change for change in changes if random.random() < 0.5]
    elif survival is Survival.TORN and changes and isinstance(last := changes[-1], Write):
        changes[-1] = Write(last.offset, last.data[: len(last.data) // 2])
    for change in changes:
        _apply(content, change)
    return bytes(content)


class _CrashVfs(apsw.VFS):
    """The VFS that SQLite uses. The method names are defined by apsw."""

    def __init__(self, disk: CrashDisk) -> None:
        self._disk = disk
        super().__init__(VFS_NAME, base="")

    def xOpen(self, name: str | apsw.URIFilename | None, flags: list[int]) -> apsw.VFSFile:
        """Open a file; create it if it does not exist."""
        path = name.filename() if isinstance(name, apsw.URIFilename) else name
        flags[1] = flags[0]  # the flags in effect are those requested
        opened = _OpenFile(self._disk, Path(path or UNNAMED_FILE).name)
        return cast(apsw.VFSFile, opened)  # apsw accepts any object with these methods

    def xDelete(self, name: str, _sync_folder: bool) -> None:
        """Delete a file."""
        self._disk.count_call()
        self._disk.files.pop(Path(name).name, None)

    def xAccess(self, name: str, _flags: int) -> bool:
        """Return whether a file exists."""
        return Path(name).name in self._disk.files

    def xFullPathname(self, name: str) -> str:
        """Return the name unchanged; the disk has no directories."""
        return name


class _OpenFile:
    """An open file as SQLite uses it. The method names are defined by apsw."""

    def __init__(self, disk: CrashDisk, name: str) -> None:
        self._disk = disk
        self._name = name
        disk.files.setdefault(name, CrashFile())

    @property
    def _file(self) -> CrashFile:
        return self._disk.files.setdefault(self._name, CrashFile())

    def excepthook(self, *_: object) -> None:
        """Suppress apsw's report of exceptions, as the faults are injected."""

    def xRead(self, amount: int, offset: int) -> bytes:
        """Read bytes at an offset; return fewer at the end of the file."""
        return bytes(self._file.content[offset : offset + amount])

    def xWrite(self, data: bytes, offset: int) -> None:
        """Write bytes at an offset; they are not durable before `xSync`."""
        self._disk.count_call()
        self._file.change(Write(offset, bytes(data)))

    def xTruncate(self, size: int) -> None:
        """Truncate the file."""
        self._disk.count_call()
        self._file.change(Truncate(size))

    def xSync(self, _flags: int) -> None:
        """Make all changes of the file durable."""
        file = self._file
        self._disk.count_call()
        file.sync()

    def xFileSize(self) -> int:
        """Return the size of the file in bytes."""
        return len(self._file.content)

    def xLock(self, _level: int) -> None:
        """Do nothing; only one process opens the file."""

    def xUnlock(self, _level: int) -> None:
        """Do nothing; there are no locks."""

    def xCheckReservedLock(self) -> bool:
        """Return False; no other process holds a lock."""
        return False

    def xFileControl(self, _op: int, _pointer: int) -> bool:
        """Return False; no control operation is supported."""
        return False

    def xSectorSize(self) -> int:
        """Return the sector size in bytes."""
        return SECTOR_BYTES

    def xDeviceCharacteristics(self) -> int:
        """Return 0; the device makes no special guarantees."""
        return 0

    def xClose(self) -> None:
        """Do nothing; the disk retains the file."""
