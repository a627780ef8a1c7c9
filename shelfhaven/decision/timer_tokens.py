"""Tokens that identify the timers of a controller.

A token below `TICK_TOKEN` is a request id, and its timer is for the start or the answer of that request.  A
token from `CALL_RETRY_OFFSET` is that offset plus a request id, and its timer is for the retry of a
downstream call.  A token from `PROGRESS_OFFSET` is that offset plus a request id, and its timer is for the
progress of a run that may not have got the reply to its call.
"""

from __future__ import annotations

# Timer of the control loop; request ids are smaller.
TICK_TOKEN = 1 << 40

# Added to a request id to get the token of the timer that retries the request's downstream call.
CALL_RETRY_OFFSET = 1 << 41

# Added to a request id to get the token of the timer that checks the progress of the request's run.
PROGRESS_OFFSET = 1 << 42


def call_retry_token(request_id: int) -> int:
    """Return the token of the timer that retries a request's downstream call."""
    return CALL_RETRY_OFFSET + request_id


def is_call_retry(token: int) -> bool:
    """Return whether a token is for the retry of a downstream call."""
    return CALL_RETRY_OFFSET <= token < PROGRESS_OFFSET


def progress_token(request_id: int) -> int:
    """Return the token of the timer that checks the progress of a request's run."""
    return PROGRESS_OFFSET + request_id


def is_progress_check(token: int) -> bool:
    """Return whether a token is for the check of a run's progress."""
    return token >= PROGRESS_OFFSET


def request_id_of(token: int) -> int:
    """Return the request id in a token; for `TICK_TOKEN` the result is not the id of any request."""
    return token % CALL_RETRY_OFFSET
