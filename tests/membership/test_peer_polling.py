"""Selection of the peers to poll: zone watchers, unlisted peers, and the delay that a peer requested."""

from __future__ import annotations

from random import Random

from shelfhaven.membership.fleet_view import FleetView
from shelfhaven.membership.list_watch import RESERVE_WATCHERS, ListWatch
from shelfhaven.membership.messages import PeerAnswered, PeerFailed
from shelfhaven.membership.node_identity import NodeIdentity
from shelfhaven.membership.peer_polling import (
    UNLISTED_POLL_FRACTION,
    ZONE_WATCHER_POLL_FRACTION,
    PeerPolling,
)
from shelfhaven.membership.service_quota import ServiceQuota
from tests.membership.fixtures import settings, snapshot_of_nodes

NODES = 30  # a third of them in each zone
POLLS = 400


def fleet_view() -> FleetView:
    fleet = FleetView(settings(NODES), NodeIdentity("n1", "z1", "r", "a1"), Random(1))
    fleet.endpoint_list.merge_peer_snapshot(0.0, snapshot_of_nodes(NODES))
    return fleet


def polled_peers(polling: PeerPolling, count: int = POLLS) -> list[str]:
    """Return the peers of the next polls, each of which fails at once."""
    peers: list[str] = []
    while len(peers) < count:
        now = polling.due_at
        for poll in polling.due_polls(now, seeking=False):
            peers.append(poll.peer)
            polling.peer_failed(now, PeerFailed(poll.peer))
    return peers


def test_half_of_the_polls_of_listed_peers_go_to_the_watcher_of_the_nodes_zone() -> None:
    fleet = fleet_view()
    fleet.zone_watchers = {"nodes/z0/n00003", "nodes/z1/n00004", "nodes/z9/unlisted"}
    peers = polled_peers(PeerPolling(fleet, 0.0, []))
    expected = (1 - UNLISTED_POLL_FRACTION) * ZONE_WATCHER_POLL_FRACTION * POLLS
    assert 0.8 * expected < peers.count("an00004") < 1.2 * expected
    assert peers.count("an00003") < 0.1 * POLLS


def test_without_a_watcher_in_the_nodes_zone_those_of_other_zones_are_polled() -> None:
    fleet = fleet_view()
    fleet.zone_watchers = {"nodes/z0/n00003", "nodes/z2/n00005"}
    peers = polled_peers(PeerPolling(fleet, 0.0, []))
    assert min(peers.count("an00003"), peers.count("an00005")) > 0.15 * POLLS


def test_with_zone_watchers_only_the_reserve_watches_by_rank() -> None:
    fleet = fleet_view()
    watch = ListWatch(fleet, ServiceQuota(fleet, 0.0, 1e9))
    by_rank = [key for _, key in fleet.nodes.ranks]

    def watching_nodes() -> list[str]:
        watchers = []
        for key in by_rank:
            _, zone, name = key.split("/")
            fleet.identity = NodeIdentity(name, zone)
            watchers += [key] if watch.should_watch(registered=True) else []
        return watchers

    assert watching_nodes() == by_rank[: fleet.settings.watcher_count]
    fleet.zone_watchers = {"nodes/z0/n00003"}
    assert watching_nodes() == by_rank[:RESERVE_WATCHERS]
    fleet.is_zone_watcher = True
    assert watching_nodes() == by_rank
    assert not watch.should_watch(registered=False)


def test_some_polls_go_to_unlisted_peers() -> None:
    peers = polled_peers(PeerPolling(fleet_view(), 0.0, ["neighbour"]))
    expected = UNLISTED_POLL_FRACTION * POLLS
    assert 0.8 * expected < peers.count("neighbour") < 1.2 * expected


def test_a_peer_is_not_polled_again_before_its_answer_or_the_delay_that_it_requested() -> None:
    fleet = FleetView(settings(NODES), NodeIdentity("n1", "z1", "r", "a1"), Random(1))
    polling = PeerPolling(fleet, 0.0, ["a2"])
    assert [poll.peer for poll in polling.due_polls(0.0, seeking=True)] == ["a2"]
    assert polling.due_polls(10.0, seeking=True) == []
    polling.peer_failed(10.0, PeerFailed("a2", retry_after=50.0))
    assert polling.due_polls(59.0, seeking=True) == []
    assert [poll.peer for poll in polling.due_polls(61.0, seeking=True)] == ["a2"]
    polling.peer_answered(PeerAnswered("a2", snapshot_of_nodes(1)))
    assert [poll.peer for poll in polling.due_polls(80.0, seeking=True)] == ["a2"]
