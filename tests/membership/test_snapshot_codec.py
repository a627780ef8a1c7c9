"""JSON encoding of a peer's answer, and keyed digests."""

from __future__ import annotations

import math

import pytest

from shelfhaven.membership.list_version import Endpoint, ListSnapshot, ListVersion
from shelfhaven.membership.snapshot_codec import PeerAnswer, decode, encode, is_valid_digest, keyed_digest


def test_an_encoded_answer_decodes_to_the_same_answer() -> None:
    snapshot = ListSnapshot(
        ListVersion(2, 7, "s"),
        1.5,
        {"nodes/z/a": Endpoint("at a", 1)},
        ListVersion(2, 5, "s"),
        ("nodes/z/b",),
    )
    answer = PeerAnswer(snapshot, True, ("127.0.0.1:1",), 2.5, {"health": 1.0})
    assert decode(encode(answer)) == answer
    assert (
        decode(encode(PeerAnswer(ListSnapshot(ListVersion(), math.inf, {}), False))).snapshot.age == math.inf
    )


def test_the_json_is_that_of_earlier_versions() -> None:
    changes = ListSnapshot(
        ListVersion(2, 7, "s", complete=False),
        1.5,
        {"nodes/z/a": Endpoint("at a", 1)},
        ListVersion(2, 5, "s"),
        ("nodes/z/b",),
    )
    assert encode(PeerAnswer(changes, True, ("127.0.0.1:1",), 2.5, {"health": 1.0})) == (
        b'{"stamp":[2,7,"s",false],"age":1.5,"items":{"nodes/z/a":["at a",1]},"base":[2,5,"s",true],'
        b'"gone":["nodes/z/b"],"warm":true,"contacts":["127.0.0.1:1"],"strain":2.5,"servers":{"health":1.0}}'
    )
    assert encode(PeerAnswer(ListSnapshot(ListVersion(), math.inf, {}), False)) == (
        b'{"stamp":[0,0,"",true],"age":null,"items":{},"base":null,"gone":[],"warm":false,"contacts":[],'
        b'"strain":1.0,"servers":null}'
    )
    assert keyed_digest(b"secret", b"ask", b"ab") == (
        "ad92c6f3f59e09da42bd64690a4de6c3c73ca4f5bcb56f53d08cf733a9b0ead3"
    )


@pytest.mark.parametrize(
    "text",
    [
        b"", b"[]", b"{", b'{"stamp":[0,0,"",true],"age":-1,"items":{}}',
        b'{"stamp":[0,0,"",true],"age":"x","items":{}}',
        b'{"stamp":[0,-1,"",true],"age":0,"items":{}}',
        b'{"stamp":[true,0,"",true],"age":0,"items":{}}',
        b'{"stamp":[0,0,"",1],"age":0,"items":{}}',
        b'{"stamp":[0,0],"age":0,"items":{}}', b'{"stamp":[0,0,"",true],"age":0,"items":{"a":["x"]}}',
        b'{"stamp":[0,0,"",true],"age":0,"items":{"":["x",1]}}',
        b'{"stamp":[0,0,"",true],"age":0,"items":[]}',
        b'{"stamp":[0,0,"",true],"age":0,"items":{},"gone":[1]}',
        b'{"stamp":[0,0,"",true],"age":0,"items":{},"strain":0}',
        b'{"stamp":[0,0,"",true],"age":0,"items":{},"contacts":["%s"]}' % b'","'.join([b"x"] * 17),
    ],
)  # fmt: skip
def test_an_invalid_answer_is_rejected(text: bytes) -> None:
    with pytest.raises(ValueError, match=r"."):
        decode(text)


def test_a_digest_covers_all_fields_and_their_lengths() -> None:
    digest = keyed_digest(b"secret", b"ask", b"ab", b"c")
    assert is_valid_digest(b"secret", digest, b"ask", b"ab", b"c")
    assert not is_valid_digest(b"secret", digest, b"ask", b"a", b"bc")
    assert not is_valid_digest(b"other", digest, b"ask", b"ab", b"c")
