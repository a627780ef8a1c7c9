"""A bounded table of the newest load digest that a node holds from each of its peers."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from shelfhaven.failover.load_digest import LoadDigest, SuspicionVote
from shelfhaven.failover.settings import GossipSettings
from shelfhaven.failover.wire import digest_size

# A peer is evicted when its digest reaches this multiple of the age at which digests become stale. An earlier
# eviction would let a failed node be added again as if it were new.
EVICTION_AGE_RATIO = 4.0


@dataclass(eq=False, slots=True)
class PeerState:
    """What this node knows of a peer: its newest digest, and the votes that suspect it."""

    digest: LoadDigest
    written_at: float  # time of the digest, by this node's clock
    encoded_size: int  # bytes of the digest in a message
    votes: dict[str, SuspicionVote] = field(default_factory=dict)  # by voter
    suspected_since: float = math.inf
    failed: bool = False

    def update(self, digest: LoadDigest, written_at: float) -> None:
        """Store a newer digest, and discard the votes against older ones."""
        self.digest = digest
        self.written_at = written_at
        self.encoded_size = digest_size(digest)
        if self.votes:
            version = digest.version
            self.votes = {voter: vote for voter, vote in self.votes.items() if vote.version >= version}
        if not self.votes:
            self.suspected_since = math.inf
            self.failed = False


class DigestTable:
    """The peers by name, ordered by when their digests were last updated."""

    def __init__(self, settings: GossipSettings) -> None:
        self.settings = settings
        self.peers: OrderedDict[str, PeerState] = OrderedDict()

    def is_fresh(self, now: float, peer: PeerState) -> bool:
        """Whether a peer's digest is recent enough to be used."""
        return now - peer.written_at <= self.settings.max_digest_age

    def fresh_peers(self, now: float) -> list[PeerState]:
        """The peers whose digests are recent enough to be used."""
        max_age = self.settings.max_digest_age
        return [peer for peer in self.peers.values() if now - peer.written_at <= max_age]

    def failed_names(self) -> list[str]:
        """Names of the peers that were declared failed."""
        return [name for name, peer in self.peers.items() if peer.failed]

    def suspected_names(self) -> list[str]:
        """Names of the peers that at least one node suspects and that have not been declared failed."""
        return [name for name, peer in self.peers.items() if peer.votes and not peer.failed]

    def add(self, now: float, digest: LoadDigest, written_at: float) -> None:
        """Add a peer that is not in the table; a stale digest is ignored."""
        if now - written_at <= self.settings.max_digest_age:
            self.peers[digest.name] = PeerState(digest, written_at, digest_size(digest))
            self._evict(now)

    def update(self, peer: PeerState, digest: LoadDigest, written_at: float) -> None:
        """Store a peer's newer digest."""
        peer.update(digest, written_at)
        self.peers.move_to_end(digest.name)

    def _evict(self, now: float) -> None:
        while len(self.peers) > self.settings.max_peers:
            self.peers.popitem(last=False)
        while self.peers:
            name, oldest = next(iter(self.peers.items()))
            if now - oldest.written_at <= EVICTION_AGE_RATIO * self.settings.max_digest_age:
                break
            del self.peers[name]
