"""The member: its polls and reads of the list, its registration, its watch, and how it leaves the fleet."""

from __future__ import annotations

import math
from random import Random

import pytest

from shelfhaven.membership.list_version import Endpoint, ListSnapshot, ListVersion
from shelfhaven.membership.member import Member, MemberStart, MemberState
from shelfhaven.membership.messages import (
    DeregisterSelf,
    Event,
    LeaseRenewalAnswered,
    ListOperation,
    ListServiceFailed,
    NodeLeaving,
    NodeReady,
    PeerAnswered,
    PeerFailed,
    PollPeer,
    ReadList,
    RegisterSelf,
    RenewLease,
    SelfRegistered,
    StopWatch,
    WatchEventReceived,
    WatchList,
    WatchLost,
)
from shelfhaven.membership.node_identity import NodeIdentity
from shelfhaven.membership.registration import RegistrationLease, RegistrationState
from shelfhaven.membership.service_quota import READ_SHARE
from tests.membership.fixtures import settings, snapshot_of_nodes

START_UNIX_TIME = 1e9  # wall-clock time at the start


def make_member(now: float = 0.0, **changes: object) -> Member:
    start = MemberStart(now, START_UNIX_TIME + now, ["a2", "a3"])
    return Member(settings(10, **changes), NodeIdentity("n1", "z", "r", "a1"), Random(1), start)


def set_registered(member: Member) -> None:
    member.registration.state = RegistrationState.REGISTERED
    member.registration.lease = RegistrationLease(9, ttl=10.0, expires_at=10.0)


def test_peers_are_polled_before_the_list_service_is_read() -> None:
    member = make_member()
    actions = member.wake(0.0)
    assert {type(action) for action in actions} == {PollPeer}
    assert len(actions) == 2
    answer = PeerAnswered("a2", snapshot_of_nodes(5))
    assert ReadList() not in member.on(0.1, answer)
    assert member.state is MemberState.FOLLOWING


def test_a_node_whose_peers_fail_reads_the_list_in_its_slot() -> None:
    member = make_member()
    member.wake(0.0)
    for peer in ("a2", "a3"):
        member.on(0.1, PeerFailed(peer))
    now = 0.1
    reads: list[float] = []
    while now < 5.0 and not reads:
        now = max(now + 0.001, member.next_wake())
        reads = [now for action in member.wake(now) if action == ReadList()]
    assert reads
    assert reads[0] <= member.quota.window(READ_SHARE)


def test_a_ready_node_registers_and_renews_its_lease_in_time() -> None:
    member = make_member()
    member.on(0.0, PeerAnswered("a2", snapshot_of_nodes(5)))
    assert not any(isinstance(action, RegisterSelf) for action in member.wake(3.0))
    now, register = 3.0, None
    actions = member.on(now, NodeReady())
    while register is None and now < 10:
        register = next((action for action in actions if isinstance(action, RegisterSelf)), None)
        if register is None:
            now = max(now + 0.001, member.next_wake())
            actions = member.wake(now)
    assert register is not None
    requested_at = now
    member.on(now + 2.0, SelfRegistered(7, register.ttl))
    lease = member.registration.lease
    assert lease is not None
    assert lease.expires_at == requested_at + register.ttl, "a lease starts when it is requested"
    while not any(action == RenewLease(7) for action in actions):
        now = max(now + 0.001, member.next_wake())
        actions = member.wake(now)
    assert now <= requested_at + register.ttl / 2
    assert member.on(now, LeaseRenewalAnswered(lease_lost=True)) is not None
    state = member.registration.state
    assert state is RegistrationState.WAITING_FOR_SLOT, "a node without a valid lease has to register again"


def test_retry_after_of_the_list_service_delays_all_requests_to_it() -> None:
    member = make_member()
    member.on(0.0, NodeReady())
    member.list_watch.reading = True
    member.on(0.5, ListServiceFailed(ListOperation.READ, retry_after=30.0))
    now = 0.5
    while now < 30.5:
        actions = member.wake(now)
        assert all(isinstance(action, PollPeer) for action in actions)
        now = max(now + 0.01, member.next_wake())
    assert member.quota.blocked_until >= 30.5


def test_a_member_that_left_ignores_events() -> None:
    member = make_member()
    member.on(0.0, NodeReady())
    set_registered(member)
    assert member.on(5.0, NodeLeaving()) == [DeregisterSelf(9)]
    assert member.on(6.0, PeerAnswered("a2", snapshot_of_nodes(5))) == []
    assert member.next_wake() == math.inf


def test_the_watch_restarts_if_a_new_era_has_a_smaller_revision_than_it_announced() -> None:
    member = make_member()
    member.on(0.0, PeerAnswered("a2", snapshot_of_nodes(4)))
    set_registered(member)
    assert WatchList(50) in member.wake(0.1)
    key = "nodes/z1/n00009"
    member.on(0.2, WatchEventReceived("store-1", 52, {key: Endpoint("an00009", 52)}))
    older = snapshot_of_nodes(4)
    # The peer's list was read before the entry was put, and arrives after the watch announced the entry.
    answer = ListSnapshot(ListVersion(1, 51, "store-1"), 0.0, older.items)
    actions = member.on(0.3, PeerAnswered("a3", answer))
    assert StopWatch() in actions
    assert key not in member.endpoint_list.items
    while WatchList(51) not in actions:
        actions = member.wake(member.next_wake())
    member.on(9.0, WatchEventReceived("store-1", 52, {key: Endpoint("an00009", 52)}))
    assert key in member.endpoint_list.items, "the new watch announces the changes in between again"
    assert member.endpoint_list.version == ListVersion(1, 52, "store-1")


@pytest.mark.parametrize("end", [WatchLost(True), WatchEventReceived("other", 3)])
def test_a_watch_that_cannot_continue_causes_a_read_even_if_the_list_is_fresh(end: Event) -> None:
    member = make_member()
    member.on(0.0, PeerAnswered("a2", snapshot_of_nodes(5)))
    set_registered(member)
    member.list_watch.watching = True
    now, actions = 0.0, member.on(0.0, end)
    while now < 9.0 and ReadList() not in actions:
        assert not any(
            isinstance(action, WatchList) for action in actions
        ), "the watch cannot continue from this revision"
        now = max(now + 0.001, member.next_wake())
        actions = member.wake(now)
    assert ReadList() in actions
    assert now < member.settings.stale_after


def test_watch_events_older_than_a_list_from_a_peer_are_ignored_without_a_read() -> None:
    member = make_member(watcher_count=99)
    member.on(0.0, PeerAnswered("a2", snapshot_of_nodes(5)))
    set_registered(member)
    member.list_watch.watching = True
    member.list_watch.watch_start_revision = 50
    member.on(0.1, PeerAnswered("a2", snapshot_of_nodes(8, revision=60)))
    late = WatchEventReceived("store-1", 55, {"nodes/z1/n00007": Endpoint("another", 55)})
    assert StopWatch() not in member.on(0.2, late)
    assert (member.list_watch.needs_read, member.endpoint_list.items["nodes/z1/n00007"].value) == (
        False,
        "an00007",
    )
    assert StopWatch() in member.on(0.3, WatchEventReceived("store-1", 49))
    assert member.list_watch.needs_read


def test_nodes_that_used_their_tokens_at_the_same_time_do_not_retry_at_the_same_time() -> None:
    identities = [NodeIdentity(f"n{n}", "z", "r", f"a{n}") for n in range(200)]
    start = MemberStart(0.0, START_UNIX_TIME)
    nodes = [Member(settings(10_000), identity, Random(n), start) for n, identity in enumerate(identities)]
    assert all(node.quota.try_take(0.0) for node in nodes)
    retry_times = sorted(node.quota.time_of_next_token(1.0) for node in nodes)
    assert retry_times[0] >= 100.0, "no node may send a request earlier"
    assert (
        max(sum(at <= retry_time < at + 1.0 for retry_time in retry_times) for at in retry_times) < 20
    ), "fewer than a tenth in a second"
