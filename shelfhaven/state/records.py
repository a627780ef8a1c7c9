"""The stored record of a key, its checksums, and the mutations that make up a transaction.

This module does no I/O. Records whose checksum does not match are never accepted. The key of a damaged
record may have run, so `recovery.py` then treats all keys as uncertain for a while.
"""

from __future__ import annotations

import hashlib
import struct
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, TypeAlias

import orjson

CHECKSUM_BYTES = 8  # detects damage, not forgery: an attacker who can write the file can update checksums too
CHECKSUM_PERSON = b"shelfhaven-key"  # BLAKE2 personalization, distinguishes these hashes from other uses
# copied for each checksum: a copy takes half the time of a new hash object, which matters when a start reads
# many records
EMPTY_CHECKSUM = hashlib.blake2b(digest_size=CHECKSUM_BYTES, person=CHECKSUM_PERSON)
UNREADABLE_TEXT = "?"  # shown in place of each part of a label that cannot be decoded


class RunState(Enum):
    """What is known about the run of a key."""

    INTENT = 0  # recorded before the run began, so it may have run
    SERVED = 1  # it has returned a result, which is stored unless it is too long
    FAILED = 2  # it may have had its effect, but there is no result


RUN_STATE_VALUES = frozenset(state.value for state in RunState)


class KeyLabel(NamedTuple):
    """Describes a key in text, for operators and for reconciliation."""

    class_name: str
    tenant: str
    idempotency_key: str


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """The stored record of a key.

    `expires_at`: on the clock of `membership/clock.py`, in the boot with the number `boot`; `label`: an
    encoded `KeyLabel`; `result`: None if no result is stored.
    """

    digest: bytes
    run_state: RunState
    boot: int
    expires_at: float
    label: bytes
    result: bytes | None = None

    @property
    def result_checksum(self) -> bytes:
        """The checksum of the result, or b"" if there is none."""
        return b"" if self.result is None else _checksum(self.result)

    @property
    def checksum(self) -> bytes:
        """The checksum of all columns, which covers the result by its own checksum."""
        return record_checksum(
            self.digest, self.run_state.value, self.boot, self.expires_at, self.label, self.result_checksum
        )


class RecordHead(NamedTuple):
    """All columns of a record except its result, as read from the file; any of them may be damaged."""

    digest: bytes
    run_state: int
    boot: int
    expires_at: float
    label: bytes
    result_checksum: bytes
    checksum: bytes


HeadColumns: TypeAlias = tuple[bytes, int, int, float, bytes, bytes, bytes]  # a `RecordHead` as a plain tuple


class KeyExpiry(NamedTuple):
    """A stored key and its expiry time on the clock of the current boot."""

    digest: bytes
    expires_at: float


@dataclass(frozen=True, slots=True)
class PutRecord:
    """Insert a record, or replace the one with the same digest."""

    record: KeyRecord


@dataclass(frozen=True, slots=True)
class DeleteRecord:
    """Delete the record with a digest, as the run of its key never began."""

    digest: bytes


Mutation: TypeAlias = PutRecord | DeleteRecord


def record_checksum(
    digest: bytes, run_state: int, boot: int, expires_at: float, label: bytes, result_checksum: bytes
) -> bytes:
    """Return the checksum of a record, given all columns except the result."""
    numbers = struct.pack(">BqdII", run_state & 0xFF, boot, expires_at, len(label), len(result_checksum))
    return _checksum(digest + numbers + label + result_checksum)


def is_intact(head: HeadColumns) -> bool:
    """Return whether a record matches its checksum and has a known run state."""
    try:
        expected = record_checksum(*head[:6])
    except (TypeError, ValueError, OverflowError, struct.error):  # wrong types or numbers out of range
        return False
    return expected == head[6] and head[1] in RUN_STATE_VALUES


def verified_result(result: bytes | None, checksum: bytes) -> bytes | None:
    """Return the result if it matches its checksum, else None."""
    return result if result is not None and _checksum(result) == checksum else None


def _checksum(data: bytes) -> bytes:
    checksum = EMPTY_CHECKSUM.copy()
    checksum.update(data)
    return checksum.digest()


def encode_label(class_name: str, tenant: str, idempotency_key: str) -> bytes:
    """Encode a key's label for storage."""
    return orjson.dumps([class_name, tenant, idempotency_key])


def decode_label(data: bytes) -> KeyLabel:
    """Decode a stored label; each part is `UNREADABLE_TEXT` if the label is damaged."""
    try:
        class_name, tenant, idempotency_key = orjson.loads(data)
        return KeyLabel(str(class_name), str(tenant), str(idempotency_key))
    except (ValueError, TypeError):
        return KeyLabel(UNREADABLE_TEXT, UNREADABLE_TEXT, UNREADABLE_TEXT)
