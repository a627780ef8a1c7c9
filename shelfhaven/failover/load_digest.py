"""The messages of the gossip: load digests, suspicion votes, and the datagram that carries them.

Values only: `wire.py` encodes and decodes them, `gossip.py` decides what is sent. A load digest describes one
node and is written by that node alone. Its version (incarnation, sequence) only grows, so an older digest
never replaces a newer one. Copies carry their age as a span, hence clocks need not agree.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from shelfhaven.failover.traffic_policy import NO_POLICY_VERSION, PolicyVersion

MAX_MESSAGE_BYTES = 1400  # so that a message is one datagram on any path
MAX_NAME_LENGTH = 64  # characters of names and addresses
MAX_ZONES = 32  # zones whose reachability a digest tells
MAX_CLASSES = 8  # classes of which a digest tells the load


class DigestVersion(NamedTuple):
    """Orders the digests of one node."""

    incarnation: int  # grows with each start of the node
    sequence: int  # grows with each change within an incarnation


@dataclass(frozen=True, slots=True)
class ClassLoad:
    """The load of one request class, at a node or in a zone."""

    failure_rate: float = 0.0  # fraction of its runs that fail
    load: float = 0.0  # concurrent runs asked for, those that are rejected included
    value_rate: float = 0.0  # priority weight that one successful run earns per second


@dataclass(frozen=True, slots=True)
class LoadDigest:
    """What one node tells of itself.

    `reachability` is, by zone, the fraction of this node's recent pings that were answered.
    """

    name: str
    zone: str
    address: str = ""  # where datagrams reach the node
    incarnation: int = 0
    sequence: int = 0
    capacity: float = 0.0  # runs that it can execute concurrently
    load: float = 0.0  # concurrent runs asked of it, those that it rejects included
    rejection_rate: float = 0.0  # fraction of requests
    failure_rate: float = 0.0  # fraction of runs
    warm_fraction: float = 1.0  # progress of its warm-up
    health: float = 1.0  # 0: the node drains, or its event loop stalls
    reachability: Mapping[str, float] = field(default_factory=dict)
    by_class: Mapping[str, ClassLoad] = field(default_factory=dict)  # the classes that it runs

    @property
    def version(self) -> DigestVersion:
        """Tells a newer digest of the same node from an older one."""
        return DigestVersion(self.incarnation, self.sequence)

    def is_newer_than(self, other: LoadDigest) -> bool:
        """Whether its version is larger; compared by field, as each message brings a dozen digests."""
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        return self.sequence > other.sequence


@dataclass(frozen=True, slots=True)
class SuspicionVote:
    """One node suspects that another has failed; void once the suspect sends a newer digest."""

    suspect: str
    incarnation: int  # of the suspect's digest that the vote is about
    sequence: int
    voter: str
    voter_zone: str
    voter_health: float

    @property
    def version(self) -> DigestVersion:
        """The version of the suspect's digest that the vote is about."""
        return DigestVersion(self.incarnation, self.sequence)


class MessageKind(Enum):
    """Kinds of messages; the values go over the wire."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2  # ping somebody on behalf of the sender


class AgedDigest(NamedTuple):
    """A digest, and the seconds since its node wrote it."""

    digest: LoadDigest
    age: float


@dataclass(frozen=True, slots=True)
class Message:
    """One datagram. `policy_version` is that of the newest traffic policy the sender knows."""

    kind: MessageKind
    ping_id: int  # of the ping that this is, acknowledges or requests
    sender: str  # address where the sender is reached
    target: str = ""  # PING_REQUEST: the address to ping
    digests: tuple[AgedDigest, ...] = ()
    suspicions: tuple[SuspicionVote, ...] = ()
    policy_version: PolicyVersion = NO_POLICY_VERSION
