"""The attempts that have run and must not run again, should they be sent once more.

A caller may send an attempt again after its connection has ended, without knowing that it was read.  While
the attempt is in the request table it is found there; this module remembers it after that.  Attempts with an
idempotency key are found by the key table, and those of idempotent classes may run again.

This module reads no clock; callers pass the current time.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from shelfhaven.decision.settings import RetrySafety
from shelfhaven.server.request import Request

REMEMBERED_DEADLINES = 2.0  # a caller sends again within the deadline, and may be read that much later


class _Expiry(NamedTuple):
    at: float
    attempt_id: str


class RunHistory:
    """Attempts that were launched and are over, until no caller can send them again."""

    def __init__(self) -> None:
        self._attempt_ids: set[str] = set()
        self._expiries: deque[_Expiry] = deque()

    def record(self, request: Request, now: float) -> None:
        """Remember a request that is done, if it was launched and must not run twice."""
        settings = request.class_settings
        if not request.launched or settings.retry_safety is not RetrySafety.NOT_IDEMPOTENT:
            return
        attempt_id = request.submission.attempt_id
        self._attempt_ids.add(attempt_id)
        self._expiries.append(_Expiry(now + REMEMBERED_DEADLINES * settings.deadline, attempt_id))

    def has_run(self, attempt_id: str, now: float) -> bool:
        """Whether an attempt has run and is remembered."""
        while self._expiries and self._expiries[0].at <= now:
            self._attempt_ids.discard(self._expiries.popleft().attempt_id)
        return attempt_id in self._attempt_ids
