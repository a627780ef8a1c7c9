"""Timer tokens."""

from __future__ import annotations

from shelfhaven.decision.timer_tokens import TICK_TOKEN, call_retry_token, is_call_retry, request_id_of


def test_a_token_identifies_its_request_and_whether_a_call_is_retried() -> None:
    assert not is_call_retry(17)
    assert request_id_of(17) == 17
    assert is_call_retry(call_retry_token(17))
    assert request_id_of(call_retry_token(17)) == 17


def test_the_tick_token_is_neither_a_request_id_nor_a_call_retry() -> None:
    assert not is_call_retry(TICK_TOKEN)
    assert request_id_of(TICK_TOKEN) == TICK_TOKEN
