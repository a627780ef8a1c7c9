"""Tests of the list of the other nodes."""

from __future__ import annotations

from shelfhaven.failover.members import MemberList, MemberLocation


def test_own_node_is_left_out_and_zones_are_sorted() -> None:
    members = MemberList("me")
    members.update({
        "n2": MemberLocation("a", "host:2"),
        "me": MemberLocation("a", "host:0"),
        "n1": MemberLocation("a", "host:1"),
        "n3": MemberLocation("b", "host:3"),
    })  # fmt: skip
    assert members.by_zone == {"a": ["n1", "n2"], "b": ["n3"]}
    assert len(members) == 3
    assert "me" not in members
    assert (members.zone_of("n3"), members.address_of("n3")) == ("b", "host:3")
    assert members.zone_of("unknown") == ""
