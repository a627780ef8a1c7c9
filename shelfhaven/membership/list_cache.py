"""Cache file of the endpoint list, for starts at which neither a peer nor the list service answers.

The file has a header line with a digest and the time of writing, followed by the list encoded as a peer's
answer in JSON. The digest detects incomplete and damaged files, which are not used. Both functions block;
the actor saves from a thread.
"""

from __future__ import annotations

import contextlib
import hashlib
import math
import os
from pathlib import Path

from shelfhaven.membership.list_version import ListSnapshot
from shelfhaven.membership.snapshot_codec import PeerAnswer, decode, encode

MAGIC = b"shelfhaven-list-1"
MAX_FILE_BYTES = 32 << 20
DIGEST_BYTES = 16


def _digest(saved_at: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(saved_at + b"\n" + body, digest_size=DIGEST_BYTES).hexdigest().encode()


def save(path: Path, snapshot: ListSnapshot, unix_time: float) -> None:
    """Write a list atomically; `unix_time` is the current wall-clock time. Raises OSError."""
    saved_at = b"%.3f" % unix_time
    body = encode(PeerAnswer(snapshot, False))
    temporary = path.with_name(f"{path.name}.{os.getpid()}.new")
    try:
        with temporary.open("wb") as file:
            file.write(b" ".join((MAGIC, _digest(saved_at, body), saved_at)) + b"\n" + body)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(path)
    finally:
        with contextlib.suppress(OSError):
            temporary.unlink(missing_ok=True)


def load(path: Path, unix_time: float, max_age: float) -> ListSnapshot | None:
    """Load the cached list with its current age; None if there is no file or the list is too old.

    If the wall clock went back since the file was written, the age is unknown: the list is still returned,
    for the peers that it names, but counts as never confirmed.

    Raises:
        ValueError: the file cannot be read, is damaged or has another format.
    """
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except FileNotFoundError:
        return None
    except OSError as error:
        raise ValueError(error.strerror or "cannot be read") from None
    header, _, body = data.partition(b"\n")
    header_fields = header.split(b" ")
    if len(data) > MAX_FILE_BYTES or len(header_fields) != 3 or header_fields[0] != MAGIC:
        raise ValueError("not a cached endpoint list, or its format is not supported")
    _, digest, saved_at = header_fields
    if _digest(saved_at, body) != digest:
        raise ValueError("the digest does not match: the file is damaged or incomplete")
    snapshot = decode(body).snapshot
    elapsed = unix_time - float(saved_at)
    age = snapshot.age + elapsed if elapsed >= 0 else math.inf
    if math.isfinite(age) and age > max_age:
        return None
    return ListSnapshot(snapshot.version, age, snapshot.items)
