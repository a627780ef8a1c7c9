"""Tests of the ping schedule: timeouts, the moving average of answers, and the choice of targets."""

from __future__ import annotations

from random import Random

import pytest

from shelfhaven.failover.digest_table import DigestTable
from shelfhaven.failover.load_digest import LoadDigest
from shelfhaven.failover.members import MemberList, MemberLocation
from shelfhaven.failover.ping_schedule import PingSchedule
from shelfhaven.failover.settings import GossipSettings

SETTINGS = GossipSettings(ping_interval=1.0, ping_timeout=0.2, relay_count=2, history_weight=0.5)


def make_schedule() -> PingSchedule:
    members = MemberList("a0")
    members.update(
        {f"{zone}{number}": MemberLocation(zone, f"{zone}{number}:1") for zone in "ab" for number in range(3)}
    )
    return PingSchedule(SETTINGS, members, "a", 0.0, Random(1))


def test_unanswered_ping_is_relayed_then_missed_and_later_ones_wait_longer() -> None:
    pings = make_schedule()
    pings.next_ping_at = 100.0
    ping = pings.start_ping(0.0, 7, "b1")
    assert (ping.zone, ping.address, pings.next_wake()) == ("b", "b1:1", 0.2)
    assert pings.overdue(0.1) == []
    assert pings.overdue(0.2) == [ping]
    assert ping.ping_id == 7
    pings.await_relays(0.2, ping)
    assert pings.next_wake() == pytest.approx(0.6)
    pings.record_miss(ping)
    assert pings.reachability == {"b": 0.0}
    assert pings.start_ping(1.0, 8, "b2").due_at == pytest.approx(1.4), "twice the timeout after one miss"


def test_answers_are_averaged_and_answers_to_unknown_pings_are_ignored() -> None:
    pings = make_schedule()
    pings.record_ack(99)
    assert pings.reachability == {}
    pings.record_miss(pings.start_ping(0.0, 1, "b1"))
    pings.start_ping(0.0, 2, "b1")
    pings.record_ack(2)
    assert pings.reachability == {"b": 0.5}
    assert pings.misses == 0.5
    pings.members.update({})
    pings.forget_unlisted_zones()
    assert pings.reachability == {}


def test_suspects_are_chosen_first_and_other_zones_are_preferred() -> None:
    pings = make_schedule()
    assert pings.choose_target(["b2"]) == "b2"
    targets = [pings.choose_target([]) for _ in range(1000)]
    assert sum(name in ("b0", "b1", "b2") for name in targets) == pytest.approx(700, abs=60)
    pings.members.update({})
    assert pings.choose_target([]) is None


def test_relays_have_fresh_digests_and_are_in_other_zones_than_the_target() -> None:
    pings = make_schedule()
    table = DigestTable(SETTINGS)
    for name in ("a1", "a2", "b0", "b1", "b2"):
        table.add(0.0, LoadDigest(name, name[0], f"{name}:1", 1), 0.0)
    assert set(pings.choose_relays(1.0, "b1", table)) == {"a1:1", "a2:1"}
    assert pings.choose_relays(100.0, "b1", table) == [], "all digests are stale"
