"""Events that a member handles and actions that it returns.

A member (`member.py`) is a state machine without I/O. Its driver (`actor.py` in a node, the membership
simulation in virtual time) passes it the events below and carries out the actions that it returns; the two
share no other state. Durations are in seconds. A `retry_after` of None means that the other side requested no
delay.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

from shelfhaven.membership.endpoint_list import MergeOutcome
from shelfhaven.membership.list_version import Endpoint, ListSnapshot, ListVersion


class ListOperation(Enum):
    """A request of a member to the list service that gets one response."""

    READ = "read"
    REGISTER = "register"
    RENEW = "renew"


# Events


@dataclass(frozen=True, slots=True)
class PeerAnswered:
    """A peer answered a poll."""

    peer: str
    snapshot: ListSnapshot  # its list, or the changes since the version that the poll named
    warm: bool = True
    contacts: Sequence[str] = ()  # addresses of other peers known to it


@dataclass(frozen=True, slots=True)
class PeerFailed:
    """A peer did not answer a poll, or asked to be polled later."""

    peer: str
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class PolledByPeer:
    """A peer polled this node."""

    peer: str


@dataclass(frozen=True, slots=True)
class ListReadCompleted:
    """The list service returned the complete list."""

    store: str
    revision: int
    items: Mapping[str, Endpoint]


@dataclass(frozen=True, slots=True)
class WatchEventReceived:
    """The list service reported the changes up to a revision, possibly none."""

    store: str
    revision: int
    put: Mapping[str, Endpoint] = field(default_factory=dict)
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class WatchLost:
    """The watch ended."""

    compacted: bool = False  # the service no longer has the revisions that the watch requested
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class ListServiceFailed:
    """A request to the list service failed or timed out."""

    operation: ListOperation
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class SelfRegistered:
    """The list service registered this node under a lease; its TTL counts from when it was requested."""

    lease_id: int
    ttl: float


@dataclass(frozen=True, slots=True)
class LeaseRenewalAnswered:
    """The list service answered a request to renew the lease."""

    lease_lost: bool = False  # the lease no longer exists


@dataclass(frozen=True, slots=True)
class NodeReady:
    """The node is ready for requests and is to be registered."""


@dataclass(frozen=True, slots=True)
class NodeLeaving:
    """The node shuts down and is to be deregistered."""


@dataclass(frozen=True, slots=True)
class ListServiceMoved:
    """The endpoints of the list service were reconfigured."""


Event: TypeAlias = (
    PeerAnswered | PeerFailed | PolledByPeer | ListReadCompleted | WatchEventReceived | WatchLost
    | ListServiceFailed | SelfRegistered | LeaseRenewalAnswered | NodeReady | NodeLeaving | ListServiceMoved
)  # fmt: skip

# Names under which the log counts events. Operators' queries use them.
LOGGED_EVENT_NAMES: Mapping[type[Event], str] = {
    PeerAnswered: "PeerTold",
    PeerFailed: "PeerFailed",
    PolledByPeer: "PeerAsked",
    ListReadCompleted: "ReadDone",
    WatchEventReceived: "Watched",
    WatchLost: "WatchLost",
    ListServiceFailed: "ServiceFailed",
    SelfRegistered: "Registered",
    LeaseRenewalAnswered: "Renewed",
    NodeReady: "Ready",
    NodeLeaving: "Leave",
    ListServiceMoved: "Moved",
}


# Actions


@dataclass(frozen=True, slots=True)
class PollPeer:
    """Request a peer's list, or the changes since this version."""

    peer: str
    since: ListVersion


@dataclass(frozen=True, slots=True)
class ReadList:
    """Read the complete list from the list service."""


@dataclass(frozen=True, slots=True)
class WatchList:
    """Open a watch for changes after this revision."""

    after_revision: int


@dataclass(frozen=True, slots=True)
class StopWatch:
    """Close the watch."""


@dataclass(frozen=True, slots=True)
class RegisterSelf:
    """Register this node under a new lease."""

    ttl: float


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Renew the lease of this node's registration."""

    lease_id: int


@dataclass(frozen=True, slots=True)
class DeregisterSelf:
    """Revoke the lease, which deletes the registration."""

    lease_id: int


@dataclass(frozen=True, slots=True)
class ListChanged:
    """The endpoint list changed; everything that depends on it is to be updated."""

    outcome: MergeOutcome


Action: TypeAlias = (
    PollPeer | ReadList | WatchList | StopWatch | RegisterSelf | RenewLease | DeregisterSelf | ListChanged
)
