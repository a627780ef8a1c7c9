"""Tests of the outcomes of ledger replies."""

from __future__ import annotations

import pytest

from shelfhaven.backends.ledger import outcome_of
from shelfhaven.decision.settings import Outcome
from shelfhaven.protocol.http import Response


@pytest.mark.parametrize(
    ("status", "untouched", "outcome"),
    [
        (200, False, Outcome.OK),
        (503, True, Outcome.REJECTED),
        (503, False, Outcome.ERROR),
        (409, True, Outcome.ABANDONED),
        (409, False, Outcome.ERROR),
        (504, False, Outcome.TIMEOUT),
        (404, True, Outcome.ERROR),
    ],
)
def test_the_status_of_a_reply_determines_the_outcome_of_its_call(
    status: int, untouched: bool, outcome: Outcome
) -> None:
    assert outcome_of(Response(status, untouched, b"")) is outcome
