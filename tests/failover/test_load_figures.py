"""Tests of the failover figures that a node logs."""

from __future__ import annotations

import asyncio
from random import Random

from shelfhaven.config import Address
from shelfhaven.failover.actor import FailoverActor, FailoverEndpoint
from shelfhaven.failover.gossip import Gossip
from shelfhaven.failover.load_digest import LoadDigest, Message, MessageKind, SuspicionVote
from shelfhaven.failover.settings import GossipSettings
from shelfhaven.failover.traffic_policy import TrafficPolicy
from shelfhaven.membership.administration import empty_answer
from shelfhaven.membership.peer_rpc import PeerRpc
from shelfhaven.server.log import Log
from tests.failover.helpers import SECRET

ADDRESS = Address("127.0.0.1", 1)


def test_actor_logs_gossip_counters_and_policy_under_fixed_keys_in_order() -> None:
    async def check() -> None:
        log = Log("test")
        peer_rpc = PeerRpc(ADDRESS, SECRET, 1.0, empty_answer, log)
        gossip = Gossip(GossipSettings(), LoadDigest("a1", "a", str(ADDRESS), 1), 0.0, Random(1))
        endpoint = FailoverEndpoint(ADDRESS, SECRET, peer_rpc, 1.0)
        actor = FailoverActor(endpoint, gossip, lambda digest: digest, log)
        idle = {
            "known": 0,
            "gone": 0,
            "suspected": 0,
            "reach": {},
            "health": 1.0,
            "bytes_sent": 0,
            "epoch": 0,
            "in_force": False,
            "turns_away": False,
        }
        assert list(actor.load_now().items()) == list(idle.items())
        vote = SuspicionVote("a1", 1, 0, "b1", "b", 1.0)
        gossip.receive(0.0, Message(MessageKind.PING, 1, "b", suspicions=(vote,)))
        gossip.counts["gone"] += 2
        actor.counts["unreadable"] += 1
        actor.follow_policy(TrafficPolicy(3))
        actor.send("127.0.0.1:2", [])
        busy = {
            "known": 0,
            "gone": 2,
            "suspected": 0,
            "reach": {},
            "health": 1.0,
            "got": 1,
            "refuted": 1,
            "sent": 1,
            "unreadable": 1,
            "bytes_sent": 18,
            "epoch": 3,
            "in_force": True,
            "turns_away": False,
        }
        assert list(actor.load_now().items()) == list(busy.items())
        assert actor.load_now() == {**idle, "epoch": 3, "in_force": True}, "the counters are reset"
        peer_rpc.client.close()

    asyncio.run(check())
