"""Encodes gossip messages as the JSON value of a signed datagram, and decodes them.

A node may send wrong values, so each value is checked against its range when it is decoded, and a message
with any invalid value is rejected as a whole.
"""

from __future__ import annotations

from functools import partial
from typing import TypeAlias

import orjson

from shelfhaven.failover.load_digest import (
    MAX_CLASSES,
    MAX_NAME_LENGTH,
    MAX_ZONES,
    AgedDigest,
    ClassLoad,
    LoadDigest,
    Message,
    MessageKind,
    SuspicionVote,
)
from shelfhaven.failover.traffic_policy import PolicyVersion
from shelfhaven.membership.signed_datagram import count, number, text

MAX_QUANTITY = 1e9  # upper bound of capacities and loads
MAX_AGE = 3600.0  # seconds; a larger age is reduced to this

JsonArray: TypeAlias = list[object]

_decode_name = partial(text, max_length=MAX_NAME_LENGTH)
_decode_fraction = partial(number, maximum=1.0)
_decode_quantity = partial(number, maximum=MAX_QUANTITY)


def encode_message(message: Message) -> JsonArray:
    """Return the JSON value of a message."""
    return [
        message.kind.value,
        message.ping_id,
        message.sender,
        message.target,
        [_encode_digest(digest, age) for digest, age in message.digests],
        [_encode_vote(vote) for vote in message.suspicions],
        list(message.policy_version),
    ]


def decode_message(raw: object) -> Message:
    """Return the message that a JSON value encodes. Raises ValueError if the value is malformed."""
    kind, ping_id, sender, target, digests, suspicions, version = _decode_array(raw, 7, "message")
    epoch, renewal = _decode_array(version, 2, "policy version")
    if kind not in (0, 1, 2) or not isinstance(digests, list) or not isinstance(suspicions, list):
        raise ValueError("unknown message kind, or digests or suspicion votes are not an array")
    return Message(
        MessageKind(kind),
        count(ping_id),
        _decode_name(sender),
        _decode_name(target, empty=True),
        tuple(map(_decode_digest, digests)),
        tuple(map(_decode_vote, suspicions)),
        PolicyVersion(count(epoch), count(renewal)),
    )


def digest_size(digest: LoadDigest) -> int:
    """Upper bound of the bytes that a digest takes in a message."""
    return len(orjson.dumps(_encode_digest(digest, MAX_AGE))) + 1


def vote_size(vote: SuspicionVote) -> int:
    """Bytes that a suspicion vote takes in a message, with a separator."""
    return len(orjson.dumps(_encode_vote(vote))) + 1


def rounded_class_load(load: ClassLoad) -> ClassLoad:
    """Round the load of a class to the precision of the wire format."""
    return ClassLoad(*_encode_class_load(load))


def _encode_digest(digest: LoadDigest, age: float) -> JsonArray:
    figures = (
        digest.capacity,
        digest.load,
        digest.rejection_rate,
        digest.failure_rate,
        digest.warm_fraction,
        digest.health,
    )
    return [
        digest.name,
        digest.zone,
        digest.address,
        digest.incarnation,
        digest.sequence,
        round(age, 2),
        [round(figure, 3) for figure in figures],
        {zone: round(fraction, 2) for zone, fraction in digest.reachability.items()},
        {cls: _encode_class_load(load) for cls, load in digest.by_class.items()},
    ]


def _encode_class_load(load: ClassLoad) -> list[float]:
    return [round(load.failure_rate, 2), round(load.load, 1), float(f"{load.value_rate:.3g}")]


def _encode_vote(vote: SuspicionVote) -> JsonArray:
    return [
        vote.suspect,
        vote.incarnation,
        vote.sequence,
        vote.voter,
        vote.voter_zone,
        round(vote.voter_health, 2),
    ]


def _decode_array(raw: object, length: int, what: str) -> JsonArray:
    if not isinstance(raw, list) or len(raw) != length:
        raise ValueError(f"{what} is not an array of {length} elements")
    return raw


def _decode_digest(raw: object) -> AgedDigest:
    fields = _decode_array(raw, 9, "digest")
    name, zone, address, incarnation, sequence, age, figures, reachability, by_class = fields
    raw_capacity, raw_load, *fractions = _decode_array(figures, 6, "figures of a digest")
    if not isinstance(reachability, dict) or len(reachability) > MAX_ZONES:
        raise ValueError(f"reachability is not an object of at most {MAX_ZONES} zones")
    if not isinstance(by_class, dict) or len(by_class) > MAX_CLASSES:
        raise ValueError(f"loads by class are not an object of at most {MAX_CLASSES} classes")
    capacity = _decode_quantity(raw_capacity)
    load = _decode_quantity(raw_load)
    rejection_rate, failure_rate, warm_fraction, health = map(_decode_fraction, fractions)
    digest = LoadDigest(
        name=_decode_name(name),
        zone=_decode_name(zone),
        address=_decode_name(address),
        incarnation=count(incarnation),
        sequence=count(sequence),
        capacity=capacity,
        load=load,
        rejection_rate=rejection_rate,
        failure_rate=failure_rate,
        warm_fraction=warm_fraction,
        health=health,
        reachability={
            _decode_name(other): _decode_fraction(fraction) for other, fraction in reachability.items()
        },
        by_class={_decode_name(cls): _decode_class_load(raw_class) for cls, raw_class in by_class.items()},
    )
    return AgedDigest(digest, min(number(age), MAX_AGE))


def _decode_class_load(raw: object) -> ClassLoad:
    failure_rate, load, value_rate = _decode_array(raw, 3, "load of a class")
    return ClassLoad(_decode_fraction(failure_rate), _decode_quantity(load), _decode_quantity(value_rate))


def _decode_vote(raw: object) -> SuspicionVote:
    suspect, incarnation, sequence, voter, zone, health = _decode_array(raw, 6, "suspicion vote")
    return SuspicionVote(
        _decode_name(suspect),
        count(incarnation),
        count(sequence),
        _decode_name(voter),
        _decode_name(zone),
        _decode_fraction(health),
    )
