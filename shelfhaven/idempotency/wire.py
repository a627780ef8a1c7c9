"""Datagrams between claimants and replicas: a reservation query and its answer.

The keys and values of the JSON objects are a protocol between nodes that may run different versions. A
message that is not entirely valid is rejected.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeAlias

from shelfhaven.idempotency.quorum_replica import (
    KEY_DIGEST_BYTES,
    ReservationRequest,
    VoteKind,
    VoteReply,
)
from shelfhaven.membership.signed_datagram import count, number, text

MAX_TEXT_LENGTH = 128  # characters of a claimant's or replica's name, an address, or a hexadecimal key digest
TIME_DIGITS = 3  # decimal places of times in seconds

JsonValue: TypeAlias = Any  # a decoded JSON value that has not been validated


@dataclass(frozen=True, slots=True)
class ReservationQuery:
    """A request for a replica's vote or, with `release`, for its withdrawal."""

    number: int  # repeated in the answer
    sender: str  # address
    request: ReservationRequest
    release: bool = False


@dataclass(frozen=True, slots=True)
class VoteAnswer:
    """A replica's answer to a query."""

    number: int
    replica: str
    reply: VoteReply


def encode_message(message: ReservationQuery | VoteAnswer) -> JsonValue:
    """Return the JSON object for a message, which the caller signs and sends."""
    if isinstance(message, ReservationQuery):
        return _encode_query(message)
    reply = message.reply
    return {
        "n": message.number,
        "keeper": message.replica,
        "vote": reply.kind.value,
        "by": reply.holder,
        "left": round(reply.seconds_left, TIME_DIGITS),
    }


def _encode_query(query: ReservationQuery) -> JsonValue:
    request = query.request
    return {
        "n": query.number,
        "from": query.sender,
        "id": request.key_digest.hex(),
        "by": request.claimant,
        "run": request.run,
        "hold": round(request.duration, TIME_DIGITS),
        "gen": request.generation,
        "release": query.release,
    }


def decode_message(raw: JsonValue) -> ReservationQuery | VoteAnswer:
    """Return the message in a JSON object. Raises ValueError."""
    try:
        message_number = count(raw["n"])
        if "vote" in raw:
            return _decode_answer(message_number, raw)
        return _decode_query(message_number, raw)
    except (KeyError, TypeError, ValueError) as error:
        raise ValueError(f"invalid reservation message: {error}") from None


def _decode_answer(message_number: int, raw: JsonValue) -> VoteAnswer:
    kind = VoteKind(raw["vote"])
    holder = text(raw["by"], MAX_TEXT_LENGTH, empty=True)
    reply = VoteReply(kind, holder, number(raw["left"]))
    return VoteAnswer(message_number, text(raw["keeper"], MAX_TEXT_LENGTH), reply)


def _decode_query(message_number: int, raw: JsonValue) -> ReservationQuery:
    key_digest = bytes.fromhex(text(raw["id"], MAX_TEXT_LENGTH))
    if len(key_digest) != KEY_DIGEST_BYTES or not isinstance(raw["release"], bool):
        raise ValueError("invalid key digest or release flag")
    request = ReservationRequest(
        key_digest,
        text(raw["by"], MAX_TEXT_LENGTH),
        count(raw["run"]),
        number(raw["hold"]),
        count(raw["gen"]),
    )
    return ReservationQuery(message_number, text(raw["from"], MAX_TEXT_LENGTH), request, raw["release"])
