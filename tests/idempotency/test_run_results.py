"""Storage of run results, and answers to the queries of other nodes."""

from __future__ import annotations

import asyncio

import orjson
import pytest

from shelfhaven.idempotency import run_results
from shelfhaven.idempotency.claimant import ClaimantIdentity, address_of
from shelfhaven.idempotency.quorum_replica import ReservationRequest
from shelfhaven.idempotency.run_results import (
    LocalReservation,
    ResultQuery,
    RunResults,
    RunState,
    decode_query,
    encode_query,
)

CLAIMANT = ClaimantIdentity("n1", "127.0.0.1:4100", 7).claimant
KEY_DIGEST = bytes(16)


def local_reservation(expires_at: float = 100.0) -> LocalReservation:
    request = ReservationRequest(KEY_DIGEST, CLAIMANT, 1, 10.0)
    return LocalReservation(request, frozenset(), expires_at)


def test_claimant_name_contains_address_and_incarnation() -> None:
    assert CLAIMANT == "127.0.0.1:4100/7"
    assert address_of(CLAIMANT) == "127.0.0.1:4100"


def test_query_survives_a_round_trip() -> None:
    query = ResultQuery(KEY_DIGEST, CLAIMANT, 1.5)
    assert decode_query(encode_query(query)) == query


@pytest.mark.parametrize(
    "raw", [b"", b"{}", b"[]", b'{"id":"zz","by":"a","wait":1}', b'{"id":"00","by":"a"}']
)
def test_invalid_query_is_answered_with_failed_and_never_with_not_run(raw: bytes) -> None:
    answer = asyncio.run(RunResults(CLAIMANT).answer(raw))
    assert orjson.loads(answer) == {"state": "failed"}


def test_query_waits_for_a_run_to_finish_for_as_long_as_it_asks() -> None:
    async def check() -> None:
        results = RunResults(CLAIMANT)
        reservation = local_reservation()
        results.add(reservation, 0.0)
        no_wait = encode_query(ResultQuery(KEY_DIGEST, CLAIMANT, 0.0))
        short_wait = encode_query(ResultQuery(KEY_DIGEST, CLAIMANT, 0.01))
        long_wait = encode_query(ResultQuery(KEY_DIGEST, CLAIMANT, 5.0))
        for query in (no_wait, short_wait):
            assert orjson.loads(await results.answer(query)) == {"state": "failed"}
        answer = asyncio.ensure_future(results.answer(long_wait))
        await asyncio.sleep(0)
        assert results.waiting_queries == 1
        reservation.finish(RunState.NOT_RUN)
        assert orjson.loads(await answer) == {"state": "unrun"}
        assert results.waiting_queries == 0

    asyncio.run(check())


def test_number_of_waiting_queries_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    async def check() -> None:
        monkeypatch.setattr(run_results, "MAX_WAITING_QUERIES", 0)
        results = RunResults(CLAIMANT)
        results.add(local_reservation(), 0.0)
        async with asyncio.timeout(1.0):
            answer = await results.answer(encode_query(ResultQuery(KEY_DIGEST, CLAIMANT, 5.0)))
        assert orjson.loads(answer) == {"state": "failed"}

    asyncio.run(check())
