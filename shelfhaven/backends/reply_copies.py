"""Recognizes a second copy of a ledger's reply that arrives while the next call on its connection waits.

A reply does not name its call, so a late copy can only be told by its content: it equals a reply that the
connection has brought before. That is certain only where two calls do not get equal replies. So a connection
is used again only after a result that no other call of late has got, and not for another call of the same
request. Refusals, failures, and all replies of a ledger that always answers the same end their connection.

This module does no I/O.
"""

from __future__ import annotations

import hashlib
from collections import deque
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import NamedTuple

from shelfhaven.protocol import http

RECENT_REPLIES = 64  # of a ledger, among which a reply must be the only one of its kind
MAX_CALLS = 256  # on a connection, which bounds what is remembered of it
DIGEST_BYTES = 16


class ReplyKind(NamedTuple):
    """What makes two replies equal."""

    status: int
    untouched: bool
    body_digest: bytes


def kind_of(reply: http.Response) -> ReplyKind:
    """Return what makes a reply equal to others."""
    digest = hashlib.blake2b(reply.body, digest_size=DIGEST_BYTES).digest()
    return ReplyKind(reply.status, reply.untouched, digest)


class RecentReplies:
    """The kinds of the latest replies of one ledger."""

    def __init__(self) -> None:
        self.kinds: deque[ReplyKind] = deque(maxlen=RECENT_REPLIES)

    def add(self, kind: ReplyKind) -> bool:
        """Add a reply; return whether it is a result that differs from all others, and there are others."""
        has_result = kind.status == HTTPStatus.OK  # a ledger that begins to refuse calls refuses them alike
        is_distinctive = has_result and bool(self.kinds) and kind not in self.kinds
        self.kinds.append(kind)
        return is_distinctive


@dataclass(slots=True)
class ConnectionHistory:
    """The calls and replies of one connection.

    Attributes:
        attempt_ids: attempt IDs of the requests whose calls were sent.
        replies: kinds of the replies received.
    """

    attempt_ids: set[str] = field(default_factory=set)
    replies: set[ReplyKind] = field(default_factory=set)

    def allows_call(self, attempt_id: str) -> bool:
        """Return whether the reply to a further call could be told from a copy of an earlier one."""
        return attempt_id not in self.attempt_ids and len(self.replies) < MAX_CALLS

    def call_sent(self, attempt_id: str) -> None:
        """Record a call."""
        self.attempt_ids.add(attempt_id)

    def is_copy(self, kind: ReplyKind) -> bool:
        """Return whether the connection has brought an equal reply before."""
        return kind in self.replies

    def reply_received(self, kind: ReplyKind) -> None:
        """Record the reply to a call."""
        self.replies.add(kind)
