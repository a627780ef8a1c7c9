"""Tokens that identify the timers of a controller.

A token below `TICK_TOKEN` is a request id, and its timer is for the start or the answer of that request.  A
token from `CALL_RETRY_OFFSET` is that offset plus a request id, and its timer is for the retry of a
downstream call.
"""

from __future__ import annotations

# Timer of the control loop; request ids are smaller.
TICK_TOKEN = 1 << 40

# Added to a request id to get the token of the timer that retries the request's downstream call.
CALL_RETRY_OFFSET = 1 << 41


def call_retry_token(request_id: int) -> int:
    """Return the token of the timer that retries a request's downstream call."""
    return CALL_RETRY_OFFSET + request_id


def is_call_retry(token: int) -> bool:
    """Return whether a token is for the retry of a downstream call."""
    return token >= CALL_RETRY_OFFSET


def request_id_of(token: int) -> int:
    """Return the request id in a token; for `TICK_TOKEN` the result is not the id of any request."""
    return token % CALL_RETRY_OFFSET
