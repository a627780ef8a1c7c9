"""Suspicion of failed nodes: counts votes, declares nodes failed, and disseminates votes and refutations.

A node is declared failed when a quorum of voters suspects its newest digest and it sends no newer one within
the suspicion timeout (SWIM's suspicion mechanism with Lifeguard's independent confirmations). Votes are
weighted by the health of the voters and must come from more than one zone, unless all other listed nodes are
in one. Each vote and refutation is sent a bounded number of times, as updates are in SWIM.
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict

from shelfhaven.failover.digest_table import DigestTable, PeerState
from shelfhaven.failover.load_digest import SuspicionVote
from shelfhaven.failover.load_figures import GossipCounter
from shelfhaven.failover.members import MemberList
from shelfhaven.failover.settings import GossipSettings
from shelfhaven.failover.wire import vote_size

MAX_DISSEMINATED = 64  # votes, and as many refutations, that are being disseminated at a time
BASE_TRANSMISSIONS = 3  # of each vote and refutation; more are added for the size of the fleet


class SuspicionTracker:
    """The votes that one node has received or cast, and the refutations that it has received."""

    def __init__(
        self,
        settings: GossipSettings,
        members: MemberList,
        table: DigestTable,
        counts: Counter[GossipCounter],
    ) -> None:
        self.settings = settings
        self.members = members
        self.table = table
        self.counts = counts  # for the log
        self.votes: OrderedDict[SuspicionVote, int] = OrderedDict()  # newest last; how often each was sent
        self.refutations: OrderedDict[str, int] = OrderedDict()  # by suspect: how often its digest was sent

    def record_vote(self, now: float, vote: SuspicionVote) -> None:
        """Record a vote, unless it is void, already known or against an unknown node."""
        peer = self.table.peers.get(vote.suspect)
        if peer is None or vote.version < peer.digest.version or vote.voter in peer.votes:
            return
        peer.votes[vote.voter] = vote
        peer.suspected_since = min(peer.suspected_since, now)
        self.votes[vote] = 0
        while len(self.votes) > MAX_DISSEMINATED:
            self.votes.popitem(last=False)
        self._declare_if_failed(now, peer)

    def record_refutation(self, name: str) -> None:
        """Disseminate the newer digest of a suspect, which has to reach as many nodes as the votes did."""
        self.refutations[name] = 0
        self.refutations.move_to_end(name)
        while len(self.refutations) > MAX_DISSEMINATED:
            self.refutations.popitem(last=False)

    def declare_failures(self, now: float) -> None:
        """Declare failed each suspect with a quorum of votes whose suspicion timeout has expired."""
        for peer in self.table.peers.values():
            if peer.votes:
                self._declare_if_failed(now, peer)

    def suspects_with_quorum(self) -> list[str]:
        """Names of the listed suspects that will be declared failed unless they answer."""
        return [
            name for name, peer in self.table.peers.items()
            if peer.votes and not peer.failed and name in self.members and self._has_quorum(peer)
        ]  # fmt: skip

    def take_votes(self, budget: float) -> list[SuspicionVote]:
        """Return the votes to send in a message, and count them as sent. They take at most `budget` bytes."""
        max_transmissions = self._max_transmissions()
        taken: list[SuspicionVote] = []
        for vote, transmissions in list(self.votes.items()):
            peer = self.table.peers.get(vote.suspect)
            if peer is None or vote.voter not in peer.votes or transmissions >= max_transmissions:
                del self.votes[vote]
                continue
            size = vote_size(vote)
            if size <= budget:
                budget -= size
                self.votes[vote] += 1
                taken.append(vote)
        return taken

    def take_refutations(self, now: float, budget: float) -> list[PeerState]:
        """Return the suspects whose digests to send as refutations, and count the digests as sent.

        The digests take at most `budget` bytes.
        """
        taken = []
        for name, transmissions in reversed(list(self.refutations.items())):
            peer = self.table.peers.get(name)
            if (
                peer is None
                or transmissions >= self._max_transmissions()
                or not self.table.is_fresh(now, peer)
            ):
                del self.refutations[name]
            elif peer.encoded_size <= budget:
                budget -= peer.encoded_size
                self.refutations[name] += 1
                taken.append(peer)
        return taken

    def _declare_if_failed(self, now: float, peer: PeerState) -> None:
        # a refutation needs time to reach the whole fleet
        size_factor = max(1.0, math.log10(1 + len(self.members)))
        timeout = self.settings.suspicion_timeout * size_factor
        if peer.failed or now - peer.suspected_since < timeout:
            return
        if self._has_quorum(peer):
            peer.failed = True
            self.counts["gone"] += 1

    def _has_quorum(self, peer: PeerState) -> bool:
        weight = sum(vote.voter_health for vote in peer.votes.values())
        zones = {vote.voter_zone for vote in peer.votes.values()}
        has_enough_zones = len(zones) > 1 or len(self.members.by_zone) < 2
        # in a small fleet, half of the possible voters are enough
        quorum = min(self.settings.suspicion_quorum, 0.5 * max(1, len(self.members) - 1))
        return weight >= quorum and has_enough_zones

    def _max_transmissions(self) -> int:
        """How often a node sends each vote or refutation so that it reaches the whole fleet."""
        return BASE_TRANSMISSIONS + 3 * math.ceil(math.log2(2 + len(self.members)))
