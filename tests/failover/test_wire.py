"""Tests of the encoding of gossip messages."""

from __future__ import annotations

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from shelfhaven.failover.load_digest import (
    AgedDigest,
    ClassLoad,
    LoadDigest,
    Message,
    MessageKind,
    SuspicionVote,
)
from shelfhaven.failover.traffic_policy import PolicyVersion
from shelfhaven.failover.wire import (
    decode_message,
    digest_size,
    encode_message,
    rounded_class_load,
    vote_size,
)
from shelfhaven.membership.signed_datagram import MAC_BYTES, seal, unseal
from tests.failover.helpers import SECRET

names = st.text(st.characters(codec="ascii", categories=("L", "N")), min_size=1, max_size=12)


fractions = st.floats(0, 1).map(lambda fraction: round(fraction, 3))


coarse_fractions = fractions.map(lambda fraction: round(fraction, 2))


quantities = st.integers(0, 1000).map(float)


class_loads = st.builds(
    ClassLoad,
    failure_rate=coarse_fractions,
    load=st.sampled_from((0.0, 0.5, 17.3)),
    value_rate=st.sampled_from((0.0, 0.00125, 40.0, 123.0)),
)


digests = st.builds(
    LoadDigest,
    name=names,
    zone=names,
    address=names,
    incarnation=st.integers(0, 1 << 62),
    sequence=st.integers(0, 1 << 62),
    capacity=quantities,
    load=quantities,
    rejection_rate=fractions,
    failure_rate=fractions,
    warm_fraction=fractions,
    health=fractions,
    reachability=st.dictionaries(names, coarse_fractions, max_size=4),
    by_class=st.dictionaries(names, class_loads, max_size=4),
)


votes = st.builds(
    SuspicionVote,
    suspect=names,
    incarnation=st.integers(0, 99),
    sequence=st.integers(0, 99),
    voter=names,
    voter_zone=names,
    voter_health=coarse_fractions,
)


@given(digests, votes, st.sampled_from(MessageKind), st.integers(0, 1 << 40))
def test_message_round_trip(digest: LoadDigest, vote: SuspicionVote, kind: MessageKind, ping_id: int) -> None:
    message = Message(kind, ping_id, "a", "b", (AgedDigest(digest, 1.25),), (vote,), PolicyVersion(7, 3))
    assert decode_message(unseal(SECRET, seal(SECRET, encode_message(message)))) == message


def test_datagram_with_every_field_has_pinned_bytes() -> None:
    by_class = {"look": ClassLoad(0.12345, 36.0512, 0.00123456), "topup": ClassLoad(1.0, 0.04, 12345.678)}
    full = LoadDigest(
        name="n1",
        zone="z1",
        address="127.0.0.1:9001",
        incarnation=1_700_000_000_123,
        sequence=42,
        capacity=40.123456,
        load=17.98765,
        rejection_rate=0.12345,
        failure_rate=0.00049,
        warm_fraction=0.5,
        health=0.98765,
        reachability={"z0": 1.0, "z2": 0.33333},
        by_class=by_class,
    )
    empty = LoadDigest("n3", "z0", "127.0.0.1:9003")
    vote = SuspicionVote("n2", 7, 8, "n1", "z1", 0.98765)
    message = Message(
        MessageKind.PING_REQUEST,
        ping_id=1_234_567_890_123,
        sender="127.0.0.1:9001",
        target="127.0.0.1:9002",
        digests=(AgedDigest(full, 1.23456), AgedDigest(empty, 0.0)),
        suspicions=(vote,),
        policy_version=PolicyVersion(7, 3),
    )
    datagram = seal(SECRET, encode_message(message))
    assert datagram[:MAC_BYTES].hex() == "9864b8f4abdb91fa3266a9f37c29a0d2"
    assert datagram[MAC_BYTES:] == (
        b'[2,1234567890123,"127.0.0.1:9001","127.0.0.1:9002",['
        b'["n1","z1","127.0.0.1:9001",1700000000123,42,1.23,[40.123,17.988,0.123,0.0,0.5,0.988],'
        b'{"z0":1.0,"z2":0.33},{"look":[0.12,36.1,0.00123],"topup":[1.0,0.0,12300.0]}],'
        b'["n3","z0","127.0.0.1:9003",0,0,0.0,[0.0,0.0,0.0,0.0,1.0,1.0],{},{}]],'
        b'[["n2",7,8,"n1","z1",0.99]],[7,3]]'
    )
    assert (digest_size(full), vote_size(vote)) == (165, 26)
    rounded = {"look": ClassLoad(0.12, 36.1, 0.00123), "topup": ClassLoad(1.0, 0.0, 12300.0)}
    assert {cls: rounded_class_load(load) for cls, load in by_class.items()} == rounded


def test_datagram_with_a_wrong_secret_or_damaged_bytes_is_rejected() -> None:
    datagram = seal(SECRET, encode_message(Message(MessageKind.PING, 1, "a")))
    with pytest.raises(ValueError, match="not signed"):
        unseal(b"another secret", datagram)
    for position in range(len(datagram)):
        with pytest.raises(ValueError, match="not signed"):
            unseal(SECRET, datagram[:position] + bytes([datagram[position] ^ 1]) + datagram[position + 1 :])
        with pytest.raises(ValueError, match="not signed"):
            unseal(SECRET, datagram[:position])


@pytest.mark.parametrize("text", [
    b"{}", b"[]", b"null", b"[0,1,2,3,4,5,6]", b'[9,1,"a","",[],[],[0,0]]', b'[0,-1,"a","",[],[],[0,0]]',
    b'[0,1,"","",[],[],[0,0]]', b'[0,1,"a","",[[]],[],[0,0]]', b'[0,1,"a","",[],[["x"]],[0,0]]',
    b'[0,1,"a","",[["n","z","a",1,1,0,[1,1,2,0,0,0],{},{}]],[],[0,0]]',  # a fraction above 1
    b'[0,1,"a","",[["n","z","a",1,1,-1,[1,1,0,0,0,0],{},{}]],[],[0,0]]',  # a negative age
    b'[0,1,"a","",[["n","z","a",1,1,0,[1,1,0,0,0,0],{"z":7},{}]],[],[0,0]]',
    b'[0,1,"a","",[["n","z","a",1,1,0,[null,1,0,0,0,0],{},{}]],[],[0,0]]',
    b'[0,1,"a","",[],[],[0]]', b'[0,1,"a","",[],[],["x",0]]',
])  # fmt: skip
def test_signed_but_malformed_message_is_rejected(text: bytes) -> None:
    with pytest.raises(ValueError, match="."):
        decode_message(orjson.loads(text))
