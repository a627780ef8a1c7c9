"""Classification of backend responses into attempt results."""

from __future__ import annotations

import pytest

from shelfhaven.routing.attempts import AttemptResult, classify_response


@pytest.mark.parametrize(
    ("status", "not_run", "result"),
    [
        (200, False, AttemptResult.SERVED),
        (204, False, AttemptResult.SERVED),
        (301, False, AttemptResult.REJECTED),
        (404, False, AttemptResult.REJECTED),
        (429, True, AttemptResult.NOT_RUN),
        (429, False, AttemptResult.REJECTED),
        (500, False, AttemptResult.FAILED),
        (500, True, AttemptResult.FAILED),
        (502, False, AttemptResult.UNAVAILABLE),
        (503, True, AttemptResult.NOT_RUN),
        (503, False, AttemptResult.UNAVAILABLE),
        (504, False, AttemptResult.UNAVAILABLE),
    ],
)
def test_response_status_determines_the_attempt_result(
    status: int, not_run: bool, result: AttemptResult
) -> None:
    assert classify_response(status, not_run) is result
