"""Encoding of a peer's answer as JSON, and the keyed digests of messages between peers.

The decoder validates the whole answer before it returns any of it. This module does no I/O.
"""

from __future__ import annotations

import hashlib
import hmac
import math
from collections.abc import Sequence
from dataclasses import dataclass

import orjson

from shelfhaven.membership.list_version import Endpoint, ListSnapshot, ListVersion
from shelfhaven.membership.signed_datagram import JsonValue

MAX_ENTRIES = 100_000
MAX_KEY_CHARS = 512
MAX_VALUE_CHARS = 4096
MAX_CONTACTS = 16
MAX_STRAIN = 1e6


@dataclass(frozen=True, slots=True)
class PeerAnswer:
    """A peer's answer to a poll."""

    snapshot: ListSnapshot
    warm: bool
    contacts: tuple[str, ...] = ()  # addresses of other peers
    strain: float = 1.0  # overload of the backends as known to the peer; 1 means none
    backend_knowledge: JsonValue = None  # JSON, if the poll requested it (`routing/warm_start.py`)


def keyed_digest(secret: bytes, *fields: bytes) -> str:
    """Return the keyed digest of some byte strings, which also covers the length of each."""
    mac = hmac.new(secret, digestmod=hashlib.sha256)
    for field in fields:
        mac.update(len(field).to_bytes(8, "big") + field)
    return mac.hexdigest()


def is_valid_digest(secret: bytes, digest: str, *fields: bytes) -> bool:
    """Return whether a received digest is that of these byte strings."""
    return hmac.compare_digest(keyed_digest(secret, *fields).encode(), digest.encode())


def encode(answer: PeerAnswer) -> bytes:
    """Encode an answer as JSON."""
    snapshot = answer.snapshot
    return orjson.dumps(
        {
            "stamp": _encode_version(snapshot.version),
            "age": snapshot.age if math.isfinite(snapshot.age) else None,
            "items": {key: (item.value, item.revision) for key, item in snapshot.items.items()},
            "base": _encode_version(snapshot.base) if snapshot.base else None,
            "gone": snapshot.removed,
            "warm": answer.warm,
            "contacts": answer.contacts,
            "strain": answer.strain,
            "servers": answer.backend_knowledge,
        }
    )


def decode(text: bytes) -> PeerAnswer:
    """Decode and validate an answer.

    Raises ValueError with a description of the fault.
    """
    try:
        raw = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise ValueError(f"invalid JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ValueError("not a JSON object")
    snapshot = _decode_snapshot(raw)
    strain = raw.get("strain", 1.0)
    if not isinstance(strain, int | float) or not 1.0 <= strain < MAX_STRAIN:
        raise ValueError(f"strain: not a number from 1 to less than {MAX_STRAIN:g}")
    contacts = _decode_strings(raw.get("contacts"), MAX_CONTACTS)
    return PeerAnswer(snapshot, raw.get("warm") is True, tuple(contacts), float(strain), raw.get("servers"))


def _decode_snapshot(raw: dict[str, JsonValue]) -> ListSnapshot:
    age = raw.get("age")
    if age is not None and (not isinstance(age, int | float) or not age >= 0):
        raise ValueError("age: not a non-negative number")
    items = raw.get("items")
    base = raw.get("base")
    if not isinstance(items, dict) or len(items) > MAX_ENTRIES:
        raise ValueError(f"items: not an object with at most {MAX_ENTRIES} entries")
    return ListSnapshot(
        _decode_version(raw.get("stamp")),
        math.inf if age is None else float(age),
        {_decode_key(key): _decode_item(value) for key, value in items.items()},
        None if base is None else _decode_version(base),
        tuple(_decode_key(key) for key in _decode_strings(raw.get("gone"), MAX_ENTRIES)),
    )


def _encode_version(version: ListVersion) -> list[int | str | bool]:
    return [version.era, version.revision, version.store, version.complete]


def _decode_version(raw: object) -> ListVersion:
    if isinstance(raw, list) and len(raw) == 4:
        era, revision, store, complete = raw
        valid_store = isinstance(store, str) and len(store) <= MAX_KEY_CHARS
        if _is_count(era) and _is_count(revision) and valid_store and isinstance(complete, bool):
            return ListVersion(era, revision, store, complete)
    raise ValueError("stamp: not a valid list of era, revision, store and completeness")


def _is_count(raw: object) -> bool:
    return isinstance(raw, int) and not isinstance(raw, bool) and raw >= 0


def _decode_key(raw: object) -> str:
    if not isinstance(raw, str) or not 0 < len(raw) <= MAX_KEY_CHARS or not raw.isprintable():
        raise ValueError(f"not a printable key of 1 to {MAX_KEY_CHARS} characters")
    return raw


def _decode_item(raw: object) -> Endpoint:
    if isinstance(raw, list) and len(raw) == 2:
        value, revision = raw
        if isinstance(value, str) and len(value) <= MAX_VALUE_CHARS and _is_count(revision):
            return Endpoint(value, revision)
    raise ValueError("items: an entry is not a valid list of value and revision")


def _decode_strings(raw: object, max_count: int) -> Sequence[str]:
    if raw is None:
        return ()
    if (
        not isinstance(raw, list)
        or len(raw) > max_count
        or not all(isinstance(element, str) for element in raw)
    ):
        raise ValueError(f"not a list of at most {max_count} strings")
    return raw
