"""Gossip protocol between nodes: disseminates load digests and detects failed nodes.

`Gossip` is a pure state machine: it is given received messages and the time, and returns the messages to
send. `actor.py` runs one in a node, and `lab/failover_simulation.py` runs thousands in virtual time.

A node pings one other node per period, so its cost does not depend on the fleet's size. If that node does not
answer, a few relays are asked to ping it (A. Das, I. Gupta and A. Motivala, "SWIM", 2002;
`ping_schedule.py`). A node that does not answer the relays either is suspected, and is declared failed after
several independent votes (A. Dadgar, J. Phillips and J. Currey, "Lifeguard", 2018; `suspicion.py`). Each
message carries as many digests as fit: the sender's own, those that refute suspicions, and a random sample of
the others. Every node thus learns a sample of the fleet, or all of a small one (M. Jelasity and others,
"Gossip-based Peer Sampling", 2007; `digest_table.py`).
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

HEADER_BYTES = 160  # reserved in a message for everything but digests and votes
VOTES_FRACTION = 0.25  # of a message's bytes: limit for suspicion votes
REFUTATIONS_FRACTION = 0.5  # of the bytes left after votes and the own digest: limit for refuting digests
MAX_SAMPLED_DIGESTS = 12  # chosen at random for a message; those that fit are sent
MAX_RELAYED_PINGS = 256  # unanswered pings on behalf of other nodes
MIN_HEALTH = 0.5  # a node with less considers itself isolated, and its view of the zones unusable


@dataclass(frozen=True, slots=True)
class Send:
    """Tells the caller to send a message to an address."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class NewerPolicyObserved:
    """Tells the caller that the node at an address knows a newer traffic policy than this one."""

    address: str
    version: PolicyVersion


Action: TypeAlias = Send | NewerPolicyObserved


class RelayedPing(NamedTuple):
    """A ping on behalf of another node."""

    requester_address: str
    ping_id: int  # as chosen by the requester


class Gossip:
    """The gossip state of one node."""

    def __init__(self, settings: GossipSettings, own_digest: LoadDigest, now: float, random: Random) -> None:
        self.settings = settings
        self.own_digest = own_digest
        self.random = random
        self._last_ping_id = random.randrange(1 << 30)  # starts at random, so that incarnations share no ids
        self.policy_version = NO_POLICY_VERSION  # of the newest traffic policy that this node knows
        self.counts: Counter[GossipCounter] = Counter()  # for the log
        self.members = MemberList(own_digest.name)
        self.table = DigestTable(settings)
        self.suspicions = SuspicionTracker(settings, self.members, self.table, self.counts)
        self.pings = PingSchedule(settings, self.members, own_digest.zone, now, random)
        self.relayed_pings: OrderedDict[int, RelayedPing] = OrderedDict()
        self._sized_digest: LoadDigest | None = None  # the own digest whose size is cached
        self._cached_size = 0

    def reconfigure(self, settings: GossipSettings) -> None:
        """Apply changed settings."""
        self.settings = settings
        self.table.settings = settings
        self.suspicions.settings = settings
        self.pings.settings = settings

    # Interface to the rest of the node

    @property
    def health(self) -> float:
        """How reliable this node's view of other nodes is, from 0 to 1.

        A node that reaches no zone is unhealthy.
        """
        return self.own_digest.health * max(self.pings.reachability.values(), default=1.0)

    def update_own_digest(self, measured: LoadDigest) -> None:
        """Replace this node's digest with a new measurement."""
        own = self.own_digest
        self.own_digest = replace(
            measured,
            incarnation=own.incarnation,
            sequence=own.sequence + 1,
            reachability=self.pings.rounded_reachability(),
            address=own.address,
        )

    def update_members(self, locations: Mapping[str, MemberLocation]) -> None:
        """Apply a new endpoint list."""
        self.members.update(locations)
        self.pings.forget_unlisted_zones()

    def zone_summaries(self, now: float) -> dict[str, ZoneSummary] | None:
        """Summarize the zones as this node sees them; None while its health is too low."""
        if self.health < MIN_HEALTH:
            return None
        own_zone = self.own_digest.zone
        listed_counts = {zone: len(names) for zone, names in self.members.by_zone.items()}
        listed_counts[own_zone] = listed_counts.get(own_zone, 0) + 1
        failed_counts = Counter(
            self.members.zone_of(name) for name in self.failed_peers() if name in self.members
        )
        return summarize_zones(self.digests(now), listed_counts, failed_counts)

    def digests(self, now: float) -> list[LoadDigest]:
        """Fresh digests of the nodes that were not declared failed, starting with this node's own."""
        return [self.own_digest, *(peer.digest for peer in self.table.fresh_peers(now) if not peer.failed)]

    def failed_peers(self) -> list[str]:
        """Names of the peers that were declared failed."""
        return self.table.failed_names()

    def suspected_peers(self) -> list[str]:
        """Names of the peers that at least one node suspects and that have not been declared failed."""
        return self.table.suspected_names()

    def load_now(self, now: float) -> GossipLoad:
        """Return the figures for the log, and reset the counters."""
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

    # Received messages

    def receive(self, now: float, message: Message) -> list[Action]:
        """Process a message, and return the resulting actions."""
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
                actions.append(self._make_send(now, message.sender, MessageKind.ACK, message.ping_id))
            case MessageKind.PING_REQUEST:
                actions += self._relay_ping(now, message)
            case MessageKind.ACK:
                actions += self._receive_ack(now, message.ping_id)
        return actions

    def record_vote(self, now: float, vote: SuspicionVote) -> None:
        """Record a vote. A vote against this node is refuted by giving its digest a newer version."""
        if vote.suspect != self.own_digest.name:
            self.suspicions.record_vote(now, vote)
        elif vote.version >= self.own_digest.version:
            incarnation = max(self.own_digest.incarnation, vote.incarnation)
            self.own_digest = replace(self.own_digest, incarnation=incarnation, sequence=vote.sequence + 1)
            self.counts["refuted"] += 1

    def _receive_digest(self, now: float, digest: LoadDigest, written_at: float) -> None:
        if digest.name == self.own_digest.name:
            # written by an earlier incarnation whose clock was ahead, or forged
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
        return [self._make_send(now, request.target, MessageKind.PING, ping_id)]

    def _receive_ack(self, now: float, ping_id: int) -> list[Action]:
        relayed = self.relayed_pings.pop(ping_id, None)
        if relayed is None:
            self.pings.record_ack(ping_id)
            return []
        return [self._make_send(now, relayed.requester_address, MessageKind.ACK, relayed.ping_id)]

    # Timers

    def next_wake(self) -> float:
        """The time at which `wake` must be called."""
        return self.pings.next_wake()

    def wake(self, now: float) -> list[Action]:
        """Handle overdue pings, and send the next ping if it is time."""
        actions: list[Action] = []
        for ping in self.pings.overdue(now):
            actions += self._handle_overdue(now, ping)
        if now >= self.pings.next_ping_at:
            self.pings.schedule_next(now)
            self.suspicions.declare_failures(now)
            actions += self._ping_next(now)
        return actions

    def _ping_next(self, now: float) -> list[Action]:
        suspects = self.suspicions.suspects_with_quorum() if self.pings.prefers_suspect() else []
        target = self.pings.choose_target(suspects)
        if target is None:
            return []
        ping = self.pings.start_ping(now, self._next_ping_id(), target)
        return [self._make_send(now, ping.address, MessageKind.PING, ping.ping_id)]

    def _handle_overdue(self, now: float, ping: PendingPing) -> list[Action]:
        if not ping.relayed:
            self.pings.await_relays(now, ping)
            if relays := self.pings.choose_relays(now, ping.name, self.table):
                return [
                    self._make_send(now, relay, MessageKind.PING_REQUEST, ping.ping_id, ping.address)
                    for relay in relays
                ]
        self.pings.record_miss(ping)
        self.counts["unanswered"] += 1
        self._vote_against(now, ping)
        return []

    def _vote_against(self, now: float, ping: PendingPing) -> None:
        """Vote against a node that did not answer, unless it wrote a digest after the ping was sent."""
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

    # Sent messages

    def _make_send(self, now: float, address: str, kind: MessageKind, ping_id: int, target: str = "") -> Send:
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
        """As many digests as fit: the own one, those that refute votes, then a random sample of the rest."""
        budget -= self._own_digest_size()
        refutations = self.suspicions.take_refutations(now, budget * REFUTATIONS_FRACTION)
        others = [peer for peer in self.table.fresh_peers(now) if peer not in refutations]
        sampled = self.random.sample(others, min(len(others), MAX_SAMPLED_DIGESTS))
        digests = [AgedDigest(self.own_digest, 0.0)]
        for peer in (*refutations, *sampled):
            if peer.encoded_size <= budget:
                budget -= peer.encoded_size
                digests.append(AgedDigest(peer.digest, max(0.0, now - peer.written_at)))
        return tuple(digests)

    def _own_digest_size(self) -> int:
        if self._sized_digest is not self.own_digest:
            self._sized_digest = self.own_digest
            self._cached_size = digest_size(self.own_digest)
        return self._cached_size
