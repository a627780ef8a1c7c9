"""Classification of HTTP status codes, from backends and from proxies, by what they say about the run."""

from __future__ import annotations

from http import HTTPStatus

FIRST_SUCCESS = HTTPStatus.OK
FIRST_NON_SUCCESS = HTTPStatus.MULTIPLE_CHOICES
FIRST_SERVER_ERROR = HTTPStatus.INTERNAL_SERVER_ERROR
REJECTION_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)


def is_success(status: int) -> bool:
    """Return whether the run succeeded, so that the response is its result."""
    return FIRST_SUCCESS <= status < FIRST_NON_SUCCESS


def is_server_error(status: int) -> bool:
    """Return whether the run failed for a reason other than its request."""
    return status >= FIRST_SERVER_ERROR


def is_rejection(status: int, not_run: bool) -> bool:
    """Return whether the request was rejected without running.

    Args:
        status: HTTP status of the response.
        not_run: whether the response states that the request was not run.
    """
    return not_run and status in REJECTION_STATUSES
