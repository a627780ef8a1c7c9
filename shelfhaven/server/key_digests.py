"""Digests of idempotency keys outside of this process: in the key store and in reservations of the fleet.

A digest in the key store has two parts: one of class, tenant, key and body, and one of the location, which
some protocols do not convey.  So an attempt finds the record of its request that came by another protocol.

In records of earlier versions the location is made of the segments that the route's wildcards match and of
the query, or it is not kept apart.  Such records are found by the digests that those versions would make.
"""

from __future__ import annotations

import hashlib
from typing import NamedTuple

from shelfhaven.server import messages
from shelfhaven.server.request_key import (
    DIGEST_BYTES,
    LOCATION_DIGEST_BYTES,
    RequestContent,
    add_texts,
    content_digest,
    legacy_content_digest,
    legacy_request_content,
)

NAME_DIGEST_BYTES = DIGEST_BYTES  # first part of a digest in the key store
UNKNOWN_LOCATION = bytes(LOCATION_DIGEST_BYTES)
BODY_UNKNOWN = b"no body"  # in place of the digest of a body, which has another length


class NamedKey(NamedTuple):
    """An idempotency key with the names, not the indices, of its class and tenant."""

    class_name: str
    tenant: str
    idempotency_key: str


def stored_digest(key: NamedKey, content: RequestContent) -> bytes:
    """Return the digest of a key in the key store."""
    digest = _name_hash(key)
    digest.update(BODY_UNKNOWN if content.body is None else content.body)
    location = UNKNOWN_LOCATION if content.location is None else content.location
    return digest.digest() + location


def location_of(digest: bytes) -> bytes | None:
    """Return the location digest in a digest of the key store; None if it is unknown."""
    location = digest[NAME_DIGEST_BYTES:]
    return None if location == UNKNOWN_LOCATION else location


def has_location(digest: bytes) -> bool:
    """Whether a digest keeps the location apart, which those of earlier versions do not."""
    return len(digest) > NAME_DIGEST_BYTES


def legacy_digests(key: NamedKey, submission: messages.SubmitRequest) -> tuple[bytes, ...]:
    """Return the digests of a key in key stores of earlier versions, the latest one first."""
    without_location = _name_hash(key)
    without_location.update(legacy_content_digest(submission))
    return stored_digest(key, legacy_request_content(submission)), without_location.digest()


def reservation_digest(key: NamedKey, submission: messages.SubmitRequest) -> bytes:
    """Return the digest of a key in reservations of the fleet."""
    digest = _name_hash(key)
    digest.update(content_digest(submission))
    return digest.digest()


def _name_hash(key: NamedKey) -> hashlib.blake2b:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    add_texts(digest, key)
    return digest
