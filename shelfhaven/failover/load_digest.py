"""Data types of the gossip protocol: load digests, suspicion votes, and the messages that carry them.

`wire.py` encodes and decodes the messages, and `gossip.py` decides what to send. A load digest describes one
node, and only that node writes it. Its version (incarnation, sequence) only grows, so an older digest never
replaces a newer one. A message carries the age of each digest, not a timestamp, so the clocks of the nodes
need not agree.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from shelfhaven.failover.traffic_policy import NO_POLICY_VERSION, PolicyVersion

MAX_MESSAGE_BYTES = 1400  # small enough that the datagram is not fragmented on any path
MAX_NAME_LENGTH = 64  # characters; also the limit for addresses
MAX_ZONES = 32  # zones whose reachability one digest reports
MAX_CLASSES = 8  # classes whose load one digest reports


class DigestVersion(NamedTuple):
    """The version of a digest, which orders the digests of one node."""

    incarnation: int  # grows with each restart of the node
    sequence: int  # grows with each digest of an incarnation


@dataclass(frozen=True, slots=True)
class ClassLoad:
    """The load of one request class, at a node or in a zone."""

    failure_rate: float = 0.0  # fraction of its runs that fail
    load: float = 0.0  # demand in concurrent runs, including rejected requests
    value_rate: float = 0.0  # priority weight that a successful run earns per second of its run time


@dataclass(frozen=True, slots=True)
class LoadDigest:
    """The state that one node reports about itself.

    `reachability` maps a zone to the fraction of this node's recent pings there that were answered.
    """

    name: str
    zone: str
    address: str = ""  # at which the node receives datagrams
    incarnation: int = 0
    sequence: int = 0
    capacity: float = 0.0  # runs that it can execute concurrently
    load: float = 0.0  # demand in concurrent runs, including rejected requests
    rejection_rate: float = 0.0  # fraction of requests that are rejected
    failure_rate: float = 0.0  # fraction of runs that fail
    warm_fraction: float = 1.0  # progress of its warm-up, from 0 to 1
    health: float = 1.0  # from 0 (the node is draining, or its event loop is stalled) to 1
    reachability: Mapping[str, float] = field(default_factory=dict)
    by_class: Mapping[str, ClassLoad] = field(default_factory=dict)  # the classes that it runs

    @property
    def version(self) -> DigestVersion:
        """The version, which is larger for a newer digest of the same node."""
        return DigestVersion(self.incarnation, self.sequence)

    def is_newer_than(self, other: LoadDigest) -> bool:
        """Whether its version is larger than that of another digest of the same node.

        Compares the fields instead of creating `DigestVersion` tuples, because each message carries about a
        dozen digests.
        """
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        return self.sequence > other.sequence


@dataclass(frozen=True, slots=True)
class SuspicionVote:
    """One node's vote that another has failed; void once the suspect sends a newer digest."""

    suspect: str
    incarnation: int  # with `sequence`, the version of the suspect's digest that the vote is about
    sequence: int
    voter: str
    voter_zone: str
    voter_health: float

    @property
    def version(self) -> DigestVersion:
        """The version of the suspect's digest that the vote is about."""
        return DigestVersion(self.incarnation, self.sequence)


class MessageKind(Enum):
    """Kinds of messages. The values are part of the wire format."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2  # asks the receiver to ping another node on behalf of the sender


class AgedDigest(NamedTuple):
    """A digest, with the seconds since its node wrote it."""

    digest: LoadDigest
    age: float


@dataclass(frozen=True, slots=True)
class Message:
    """The content of one datagram.

    `policy_version` is the version of the newest traffic policy that the sender knows.
    """

    kind: MessageKind
    ping_id: int  # of the ping that this message sends, acknowledges or requests
    sender: str  # address of the sender
    target: str = ""  # only in a PING_REQUEST: the address to ping
    digests: tuple[AgedDigest, ...] = ()
    suspicions: tuple[SuspicionVote, ...] = ()
    policy_version: PolicyVersion = NO_POLICY_VERSION
