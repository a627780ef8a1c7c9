"""Gossip among nodes: load digests are spread, and failed nodes detected, by pings of constant cost.

A pure state machine: told of messages and the time, it returns what is to be sent. The same object runs in a
node (`actor.py`) and, by the thousand, in virtual time (`lab/failover_simulation.py`).

A node pings one other node per period and asks a few relays to ping it where no answer comes (A. Das,
I. Gupta and A. Motivala, "SWIM", 2002; `ping_schedule.py`). A node that does not answer them either is
suspected, and declared failed by several independent votes (A. Dadgar, J. Phillips and J. Currey,
"Lifeguard", 2018; `suspicion.py`). Each message carries as many digests as fit: the sender's own first, then
drawn ones, so that every node comes to know a sample of the fleet, or all of a small one (M. Jelasity and
others, "Gossip-based Peer Sampling", 2007; `digest_table.py`).
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, replace
from random import Random
from typing import NamedTuple, TypeAlias

from shelfhaven.failover.aggregation import ZoneSummary, summarize_zones
from shelfhaven.failover.digest_table import DigestTable
from shelfhaven.failover.load_digest import (
    MAX_MESSAGE_BYTES,
    AgedDigest,
    LoadDigest,
    Message,
    MessageKind,
    SuspicionVote,
)
from shelfhaven.failover.load_figures import GossipCounter, GossipLoad
from shelfhaven.failover.members import MemberList, MemberLocation
from shelfhaven.failover.ping_schedule import PendingPing, PingSchedule
from shelfhaven.failover.settings import GossipSettings
from shelfhaven.failover.suspicion import SuspicionTracker
from shelfhaven.failover.traffic_policy import NO_POLICY_VERSION, PolicyVersion
from shelfhaven.failover.wire import digest_size, vote_size

HEADER_BYTES = 160  # of a message beside digests and votes
VOTES_FRACTION = 0.25  # of a message's bytes for suspicion votes
REFUTATIONS_FRACTION = 0.5  # of what is left for digests of suspects that answered
MAX_DRAWN_DIGESTS = 12  # drawn for a message, of which those that fit are sent
MAX_RELAYED_PINGS = 256  # on behalf of others, not yet answered
MIN_HEALTH = 0.5  # below which a node takes itself to be cut off, and its view of the zones for worthless


@dataclass(frozen=True, slots=True)
class Send:
    """A message is to be sent to an address."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class NewerPolicyObserved:
    """The node at an address follows a newer traffic policy."""

    address: str
    version: PolicyVersion


Action: TypeAlias = Send | NewerPolicyObserved


class RelayedPing(NamedTuple):
    """A ping on behalf of another node."""

    requester: str  # its address
    ping_id: int  # by which it knows the ping


class Gossip:
    """The state of one node."""

    def __init__(self, settings: GossipSettings, own_digest: LoadDigest, now: float, random: Random) -> None:
        self.settings = settings
        self.own_digest = own_digest
        self.random = random
        self._last_ping_id = random.randrange(1 << 30)  # random, so that incarnations do not share ids
        self.policy_version = NO_POLICY_VERSION  # of the newest traffic policy that this node follows
        self.counts: Counter[GossipCounter] = Counter()  # for the log
        self.members = MemberList(own_digest.name)
        self.table = DigestTable(settings)
        self.suspicions = SuspicionTracker(settings, self.members, self.table, self.counts)
        self.pings = PingSchedule(settings, self.members, own_digest.zone, now, random)
        self.relayed_pings: OrderedDict[int, RelayedPing] = OrderedDict()
        self._sized_digest: LoadDigest | None = None  # the own digest whose size is cached
        self._cached_size = 0

    def reconfigure(self, settings: GossipSettings) -> None:
        """Go on with other settings."""
        self.settings = settings
        self.table.settings = settings
        self.suspicions.settings = settings
        self.pings.settings = settings

    # What the rest of the node calls

    @property
    def health(self) -> float:
        """How much this node's view of others counts, from 0 to 1: one that reaches no zone is unhealthy."""
        return self.own_digest.health * max(self.pings.reachability.values(), default=1.0)

    def update_own_digest(self, measured: LoadDigest) -> None:
        """Tell a new measurement of this node from now on."""
        own = self.own_digest
        self.own_digest = replace(
            measured,
            incarnation=own.incarnation,
            sequence=own.sequence + 1,
            reachability=self.pings.rounded_reachability(),
            address=own.address,
        )

    def update_members(self, locations: Mapping[str, MemberLocation]) -> None:
        """Take over a new endpoint list."""
        self.members.update(locations)
        self.pings.forget_unlisted_zones()

    def zone_summaries(self, now: float) -> dict[str, ZoneSummary] | None:
        """Zones as this node sees them; None while it takes itself to be unhealthy."""
        if self.health < MIN_HEALTH:
            return None
        own_zone = self.own_digest.zone
        listed = {zone: len(names) for zone, names in self.members.by_zone.items()}
        listed[own_zone] = listed.get(own_zone, 0) + 1
        failed = Counter(self.members.zone_of(name) for name in self.failed_peers() if name in self.members)
        return summarize_zones(self.digests(now), listed, failed)

    def digests(self, now: float) -> list[LoadDigest]:
        """Fresh digests of nodes that have not failed, this node's own first."""
        return [self.own_digest, *(peer.digest for peer in self.table.fresh_peers(now) if not peer.failed)]

    def failed_peers(self) -> list[str]:
        """Names of the nodes that are taken to have failed."""
        return self.table.failed()

    def suspected_peers(self) -> list[str]:
        """Names of the nodes that somebody suspects."""
        return self.table.suspected()

    def load_now(self, now: float) -> GossipLoad:
        """Figures for the log; the counters start anew."""
        load: GossipLoad = {
            "known": len(self.table.fresh_peers(now)),
            "gone": len(self.failed_peers()),
            "suspected": len(self.suspected_peers()),
            "reach": self.pings.rounded_reachability(),
            "health": round(self.health, 2),
        }
        for counter, count in self.counts.items():
            load[counter] = count
        self.counts.clear()
        return load

    # Messages in

    def receive(self, now: float, message: Message) -> list[Action]:
        """Take in a message."""
        self.counts["got"] += 1
        for digest, age in message.digests:
            self._receive_digest(now, digest, now - age)
        for vote in message.suspicions:
            self.record_vote(now, vote)
        actions: list[Action] = []
        if message.policy_version > self.policy_version:
            actions.append(NewerPolicyObserved(message.sender, message.policy_version))
        match message.kind:
            case MessageKind.PING:
                actions.append(self._send(now, message.sender, MessageKind.ACK, message.ping_id))
            case MessageKind.PING_REQUEST:
                actions += self._relay_ping(now, message)
            case MessageKind.ACK:
                actions += self._receive_ack(now, message.ping_id)
        return actions

    def record_vote(self, now: float, vote: SuspicionVote) -> None:
        """Count a vote; one against this node itself is refuted by a newer digest."""
        if vote.suspect != self.own_digest.name:
            self.suspicions.record_vote(now, vote)
        elif vote.version >= self.own_digest.version:
            incarnation = max(self.own_digest.incarnation, vote.incarnation)
            self.own_digest = replace(self.own_digest, incarnation=incarnation, sequence=vote.sequence + 1)
            self.counts["refuted"] += 1

    def _receive_digest(self, now: float, digest: LoadDigest, written_at: float) -> None:
        if digest.name == self.own_digest.name:
            # of an earlier incarnation whose clock was ahead, or forged
            if digest.is_newer_than(self.own_digest):
                self.own_digest = replace(self.own_digest, incarnation=digest.incarnation + 1)
            return
        peer = self.table.peers.get(digest.name)
        if peer is None:
            self.table.add(now, digest, written_at)
        elif digest.is_newer_than(peer.digest):
            if peer.votes:
                self.suspicions.record_refutation(digest.name)
            self.table.update(peer, digest, written_at)

    def _relay_ping(self, now: float, request: Message) -> list[Action]:
        ping_id = self._next_ping_id()
        self.relayed_pings[ping_id] = RelayedPing(request.sender, request.ping_id)
        while len(self.relayed_pings) > MAX_RELAYED_PINGS:
            self.relayed_pings.popitem(last=False)
        if not request.target:
            return []
        return [self._send(now, request.target, MessageKind.PING, ping_id)]

    def _receive_ack(self, now: float, ping_id: int) -> list[Action]:
        relayed = self.relayed_pings.pop(ping_id, None)
        if relayed is None:
            self.pings.acknowledged(ping_id)
            return []
        return [self._send(now, relayed.requester, MessageKind.ACK, relayed.ping_id)]

    # Time passes

    def next_wake(self) -> float:
        """When `wake` is to be called."""
        return self.pings.next_wake()

    def wake(self, now: float) -> list[Action]:
        """Do what is due."""
        actions: list[Action] = []
        for ping in self.pings.overdue(now):
            actions += self._handle_overdue(now, ping)
        if now >= self.pings.next_at:
            self.pings.schedule_next(now)
            self.suspicions.judge_suspects(now)
            actions += self._ping_next(now)
        return actions

    def _ping_next(self, now: float) -> list[Action]:
        condemned = self.suspicions.condemned() if self.pings.wants_condemned() else []
        target = self.pings.draw_target(condemned)
        if target is None:
            return []
        ping = self.pings.begin(now, self._next_ping_id(), target)
        return [self._send(now, ping.address, MessageKind.PING, ping.ping_id)]

    def _handle_overdue(self, now: float, ping: PendingPing) -> list[Action]:
        if not ping.relayed:
            self.pings.extend(now, ping)
            if relays := self.pings.draw_relays(now, ping.name, self.table):
                return [
                    self._send(now, relay, MessageKind.PING_REQUEST, ping.ping_id, ping.address)
                    for relay in relays
                ]
        self.pings.missed(ping)
        self.counts["unanswered"] += 1
        self._suspect(now, ping)
        return []

    def _suspect(self, now: float, ping: PendingPing) -> None:
        """Vote against a silent node, unless it has been heard of since it was pinged."""
        peer = self.table.peers.get(ping.name)
        if peer is None or peer.written_at > ping.sent_at:
            return
        vote = SuspicionVote(
            suspect=ping.name,
            incarnation=peer.digest.incarnation,
            sequence=peer.digest.sequence,
            voter=self.own_digest.name,
            voter_zone=self.own_digest.zone,
            voter_health=round(self.health, 2),
        )
        self.record_vote(now, vote)

    def _next_ping_id(self) -> int:
        self._last_ping_id += 1
        return self._last_ping_id

    # Messages out

    def _send(self, now: float, address: str, kind: MessageKind, ping_id: int, target: str = "") -> Send:
        self.counts["sent"] += 1
        budget = MAX_MESSAGE_BYTES - HEADER_BYTES
        votes = self.suspicions.take_votes(budget * VOTES_FRACTION)
        budget -= sum(map(vote_size, votes))
        message = Message(
            kind=kind,
            ping_id=ping_id,
            sender=self.own_digest.address,
            target=target,
            digests=self._digests_to_send(now, budget),
            suspicions=tuple(votes),
            policy_version=self.policy_version,
        )
        return Send(address, message)

    def _digests_to_send(self, now: float, budget: int) -> tuple[AgedDigest, ...]:
        """As many digests as fit: the own one, those of refuted suspects, then drawn ones."""
        budget -= self._own_digest_size()
        refutations = self.suspicions.take_refutations(now, budget * REFUTATIONS_FRACTION)
        others = [peer for peer in self.table.fresh_peers(now) if peer not in refutations]
        drawn = self.random.sample(others, min(len(others), MAX_DRAWN_DIGESTS))
        digests = [AgedDigest(self.own_digest, 0.0)]
        for peer in (*refutations, *drawn):
            if peer.size <= budget:
                budget -= peer.size
                digests.append(AgedDigest(peer.digest, max(0.0, now - peer.written_at)))
        return tuple(digests)

    def _own_digest_size(self) -> int:
        if self._sized_digest is not self.own_digest:
            self._sized_digest = self.own_digest
            self._cached_size = digest_size(self.own_digest)
        return self._cached_size
