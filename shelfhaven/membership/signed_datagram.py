"""Authenticated datagrams between the nodes of a fleet, and checks of decoded values.

A datagram consists of a keyed digest and a JSON body, which the callers define (`failover/wire.py`,
`idempotency/wire.py`).
"""

from __future__ import annotations

import hashlib
import hmac
import math
from typing import Any, TypeAlias

import orjson

JsonValue: TypeAlias = Any  # a decoded value; the checks below validate it

MAC_BYTES = 16  # length of the digest, which precedes the JSON
MAX_COUNT = 1 << 63  # exclusive, so that a count fits into a signed 64-bit integer


def seal(secret: bytes, raw: object) -> bytes:
    """Encode a value as a datagram with its digest."""
    body = orjson.dumps(raw)
    return _digest(secret, body) + body


def unseal(secret: bytes, datagram: bytes) -> JsonValue:
    """Check the digest of a datagram and decode its value.

    Raises ValueError if the digest or the JSON is not valid.
    """
    body = datagram[MAC_BYTES:]
    if not hmac.compare_digest(datagram[:MAC_BYTES], _digest(secret, body)):
        raise ValueError("not signed by this fleet")
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise ValueError(f"invalid JSON: {error}") from None


def _digest(secret: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, key=secret[: hashlib.blake2b.MAX_KEY_SIZE], digest_size=MAC_BYTES).digest()


# Checks of decoded values. Each returns the value, or raises ValueError with a description of the fault.


def count(raw: object) -> int:
    """Check an integer from 0 to 2^63 - 1."""
    if not isinstance(raw, int) or isinstance(raw, bool) or not 0 <= raw < MAX_COUNT:
        raise ValueError("not an integer from 0 to 2^63 - 1")
    return raw


def text(raw: object, max_length: int, empty: bool = False) -> str:
    """Check a printable string of limited length, which may be empty only if `empty` is set."""
    if not isinstance(raw, str) or len(raw) > max_length or not raw.isprintable() or not (raw or empty):
        raise ValueError(f"not a printable string of {int(not empty)} to {max_length} characters")
    return raw


def number(raw: object, maximum: float = math.inf) -> float:
    """Check a finite number from 0 to a maximum, and return it as a float."""
    if isinstance(raw, bool) or not isinstance(raw, int | float) or not math.isfinite(raw):
        raise ValueError("not a finite number")
    if not 0 <= raw <= maximum:
        raise ValueError(f"not a number from 0 to {maximum:g}")
    return float(raw)
