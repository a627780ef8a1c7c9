"""What identifies a request among those with the same idempotency key, and what two attempts have in common.

All attempts of one request share its key and its body.  What else tells requests apart is named by the
operator: variables such as the query.  An attempt conveys as much of that as its protocol has: JSON-RPC has
no variables, and a subrequest of a proxy comes without the body.  Only what both attempts convey can tell
them apart.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

from shelfhaven.server import messages

DIGEST_BYTES = 16  # 128 bits make an accidental collision of two keys of a fleet negligible
LOCATION_DIGEST_BYTES = 8  # compared only between attempts with the same key


class RequestContent(NamedTuple):
    """Digests of what a request asks for, as far as the protocol of its attempt conveys it.

    Attributes:
        body: digest of the body; None if the attempt came without its request's body.
        location: digest of the variables that distinguish requests with one key; None if the operator names
            none, or the protocol has no variables.
    """

    body: bytes | None
    location: bytes | None

    def may_equal(self, other: RequestContent) -> bool:
        """Whether both may be the content of one request: nothing that both convey differs."""
        return _may_equal(self.body, other.body) and _may_equal(self.location, other.location)


NO_CONTENT = RequestContent(None, None)


def _may_equal(first: bytes | None, second: bytes | None) -> bool:
    return first is None or second is None or first == second


class KeyName(NamedTuple):
    """An idempotency key, which belongs to a class and a tenant."""

    class_index: int
    tenant: int
    idempotency_key: str


class RequestKey(NamedTuple):
    """What all attempts of one request by one protocol have in common.

    An attempt of another tenant, or with other content, belongs to another request, even if it has the same
    idempotency key.  Attempts by another protocol may convey less of the content or more.
    """

    name: KeyName
    content: RequestContent


def request_content(submission: messages.SubmitRequest) -> RequestContent:
    """Return the digests of a submission's content."""
    body = hashlib.blake2b(submission.body, digest_size=DIGEST_BYTES).digest()
    parts = submission.attributes.identity_parts if submission.attributes else ()
    location = _location_digest(parts) if parts else None
    return RequestContent(body if submission.body_known else None, location)


def legacy_request_content(submission: messages.SubmitRequest) -> RequestContent:
    """Return the digests of a submission's content as records of earlier versions have them."""
    location = None
    if submission.attributes:
        location = _location_digest(submission.attributes.legacy_identity_parts)
    return request_content(submission)._replace(location=location)


def _location_digest(identity_parts: tuple[str, ...]) -> bytes:
    digest = hashlib.blake2b(digest_size=LOCATION_DIGEST_BYTES)
    add_texts(digest, identity_parts)
    return digest.digest()


def add_texts(digest: hashlib.blake2b, texts: Iterable[str]) -> None:
    """Add texts to a digest so that it tells apart where one ends and the next begins."""
    for text in texts:
        digest.update(b"%d\0%b" % (len(text), text.encode()))


def content_digest(submission: messages.SubmitRequest) -> bytes:
    """Return one digest of the body and of the variables that tell requests apart."""
    return _content_digest(
        submission.body, submission.attributes.identity_parts if submission.attributes else ()
    )


def legacy_content_digest(submission: messages.SubmitRequest) -> bytes:
    """Return one digest of the content, as versions that did not keep the location apart recorded it."""
    parts = submission.attributes.legacy_identity_parts if submission.attributes else ()
    return _content_digest(submission.body, parts)


def _content_digest(body: bytes, parts: tuple[str, ...]) -> bytes:
    digest = hashlib.blake2b(body, digest_size=DIGEST_BYTES)
    for text in parts:
        digest.update(b"\0%d\0%b" % (len(text), text.encode()))
    return digest.digest()
