"""Encoding and decoding of reservation queries and votes."""

from __future__ import annotations

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from shelfhaven.idempotency import wire
from shelfhaven.idempotency.quorum_replica import ReservationRequest, VoteKind, VoteReply
from shelfhaven.membership.signed_datagram import seal, unseal

SECRET = b"secret for tests"


@given(st.binary(min_size=16, max_size=16), st.integers(0, 1 << 40), st.booleans(), st.sampled_from(VoteKind))
def test_queries_and_answers_survive_a_round_trip(
    key_digest: bytes, number: int, release: bool, vote: VoteKind
) -> None:
    query = wire.ReservationQuery(
        number, "127.0.0.1:1", ReservationRequest(key_digest, "127.0.0.1:1/7", 3, 11.0, 2), release
    )
    answer = wire.VoteAnswer(number, "n1", VoteReply(vote, "b/1", 1.5))
    for message in (query, answer):
        data = seal(SECRET, wire.encode_message(message))
        assert wire.decode_message(unseal(SECRET, data)) == message


@pytest.mark.parametrize("raw", [
    b"{}", b"[]", b"7", b'{"n":1}', b'{"n":-1,"keeper":"a","vote":"yes","by":"","left":0}',
    b'{"n":1,"keeper":"a","vote":"maybe","by":"","left":0}',
    b'{"n":1,"keeper":"a","vote":"yes","by":"","left":-1}',
    b'{"n":1,"from":"a","id":"00","by":"a","run":1,"hold":1,"gen":1,"release":false}',
    b'{"n":1,"from":"a","id":"zz","by":"a","run":1,"hold":1,"gen":1,"release":false}',
])  # fmt: skip
def test_signed_datagram_with_invalid_content_is_rejected(raw: bytes) -> None:
    with pytest.raises(ValueError, match="invalid reservation message"):
        wire.decode_message(orjson.loads(raw))
