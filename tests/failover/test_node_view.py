"""Tests of the node view that peers and the command line receive."""

from __future__ import annotations

import orjson
import pytest

from shelfhaven.failover.aggregation import ZoneSummary
from shelfhaven.failover.load_digest import ClassLoad
from shelfhaven.failover.node_view import NodeView, ZoneFigures, decode_node_view, encode_node_view
from shelfhaven.failover.traffic_policy import PolicyVersion


def test_node_view_has_stable_json_keys() -> None:
    summary = ZoneSummary(
        "a", 3, 2, 20.0, 4.0, 0.1, 0.2, 0.9, {"b": 0.5}, {"look": ClassLoad(0.1, 2.0, 30.0)}
    )
    response = encode_node_view("n1", {"a": summary}, PolicyVersion(4, 7), 2.5)
    assert orjson.loads(response) == {
        "node": "n1",
        "zones": {
            "a": {
                "zone": "a",
                "listed": 3,
                "known": 2,
                "room": 20.0,
                "load": 4.0,
                "refused": 0.1,
                "failing": 0.2,
                "warm": 0.9,
                "reach": {"b": 0.5},
                "by_class": {"look": {"failing": 0.1, "load": 2.0, "gain": 30.0}},
            }
        },
        "follows": [4, 7],
        "holds_on": 2.5,
    }
    assert decode_node_view(response) == NodeView("n1", {"a": ZoneFigures(3.0, 2.0, 20.0, 4.0)})


def test_view_of_an_unhealthy_node_has_no_zones() -> None:
    view = decode_node_view(encode_node_view("n1", None, PolicyVersion(0, 0), 0.0))
    assert view == NodeView("n1", None)
    assert view.zone_names() == set()
    assert view.figures("a") == ZoneFigures()


@pytest.mark.parametrize(
    "response", [b"", b"[]", b"{}", b'{"node":"n1"}', b'{"node":"n1","zones":{"a":{"load":"x"}}}']
)
def test_malformed_view_is_rejected(response: bytes) -> None:
    with pytest.raises((ValueError, KeyError, TypeError)):
        decode_node_view(response)
