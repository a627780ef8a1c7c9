"""Runs, the results of their attempts, and the actions of a router.

This module defines data types and the meaning of attempt results. `run_router.py` makes the decisions, and
`backends/uwsgi_pool.py` carries out the resulting actions.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus
from typing import TypeAlias

from shelfhaven.decision.settings import Outcome
from shelfhaven.routing.backend import AttemptSignal
from shelfhaven.routing.response_status import is_rejection, is_server_error, is_success


class AttemptResult(Enum):
    """How an attempt ended."""

    SERVED = "served"
    REJECTED = "rejected"  # the backend answered that the request itself is at fault, or redirected it
    FAILED = "failed"  # the backend answered with a server error
    UNAVAILABLE = "unavailable"  # the backend, or a proxy in front of it, answered that it is unavailable
    BROKEN = "broken"  # after data was sent, the connection closed or the response was malformed
    TIMEOUT = "timeout"
    NOT_RUN = "not run"  # the backend answered that it did not run the request
    UNREACHABLE = "unreachable"  # no data was sent


UNAVAILABLE_STATUSES = (
    HTTPStatus.BAD_GATEWAY,
    HTTPStatus.SERVICE_UNAVAILABLE,
    HTTPStatus.GATEWAY_TIMEOUT,
)
NOT_RUN_RESULTS = (AttemptResult.NOT_RUN, AttemptResult.UNREACHABLE)
# results after which another backend may succeed
RETRIABLE_RESULTS = (AttemptResult.UNAVAILABLE, AttemptResult.BROKEN, AttemptResult.TIMEOUT)
SIGNAL_BY_RESULT = {
    AttemptResult.SERVED: AttemptSignal.SUCCESS,
    AttemptResult.REJECTED: AttemptSignal.SUCCESS,
    AttemptResult.FAILED: AttemptSignal.FAILURE,
    AttemptResult.UNAVAILABLE: AttemptSignal.FAILURE,
    AttemptResult.BROKEN: AttemptSignal.FAILURE,
    AttemptResult.TIMEOUT: AttemptSignal.FAILURE,
    AttemptResult.NOT_RUN: AttemptSignal.REJECTED,
    AttemptResult.UNREACHABLE: AttemptSignal.UNREACHABLE,
}
OUTCOME_BY_RESULT = {
    AttemptResult.SERVED: Outcome.OK,
    AttemptResult.REJECTED: Outcome.ERROR,
    AttemptResult.FAILED: Outcome.ERROR,
    AttemptResult.UNAVAILABLE: Outcome.ERROR,
    AttemptResult.BROKEN: Outcome.RESET,
    AttemptResult.TIMEOUT: Outcome.TIMEOUT,
}


def classify_response(status: int, not_run: bool) -> AttemptResult:
    """Classify the response to an attempt.

    Args:
        status: HTTP status of the response.
        not_run: whether the response states that the request was not run.
    """
    if is_success(status):
        return AttemptResult.SERVED
    if is_rejection(status, not_run):
        return AttemptResult.NOT_RUN
    if status in UNAVAILABLE_STATUSES:
        return AttemptResult.UNAVAILABLE
    return AttemptResult.FAILED if is_server_error(status) else AttemptResult.REJECTED


@dataclass(slots=True)
class Run:
    """One run that a pool has accepted; times are in seconds, on the router's clock.

    Attributes:
        run_id: identifier, unique among the runs of the pool.
        class_name: class of the request.
        deadline: time until which the caller waits.
        idempotent: whether the request may be executed twice.
        has_idempotency_key: whether the request has an idempotency key, so that its result is still useful
            after the caller has left.
        launched_at: time at which the run was launched.
        pending_until: time until which the run waits for capacity, if it is pending.
        tried_backends: backends of the attempts so far.
        may_have_run: whether any attempt may have executed the request.
        last_result: result of the last attempt.
    """

    run_id: str
    class_name: str
    deadline: float
    idempotent: bool
    has_idempotency_key: bool
    launched_at: float = 0.0
    pending_until: float = math.inf
    tried_backends: list[str] = field(default_factory=list)
    may_have_run: bool = False
    last_result: AttemptResult = AttemptResult.UNREACHABLE


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Start an attempt at a backend, and abandon it after `timeout` seconds."""

    run_id: str
    attempt: int
    backend: str
    timeout: float


@dataclass(frozen=True, slots=True)
class RunFinished:
    """A run ended, `elapsed` seconds after its launch and after `attempts` attempts."""

    run_id: str
    outcome: Outcome
    elapsed: float
    attempts: int


Action: TypeAlias = SendAttempt | RunFinished
