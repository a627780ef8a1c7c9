"""Types of the failover figures that a node logs under `zones` in the log event `load`."""

from __future__ import annotations

from typing import Literal, NotRequired, TypeAlias, TypedDict

GossipCounter: TypeAlias = Literal["got", "sent", "unanswered", "refuted", "gone"]
ActorCounter: TypeAlias = Literal["dropped", "unreadable", "unasked"]


class GossipLoad(TypedDict):
    """Figures of the gossip. Counters cover the time since the last event and are omitted when they are 0."""

    known: int  # peers with a fresh digest
    gone: int  # peers declared failed since the last event or, if there are none, all failed peers
    suspected: int  # peers under suspicion
    reach: dict[str, float]  # by zone: moving average of the fraction of pings answered
    health: float  # of this node, from 0 to 1
    got: NotRequired[int]  # messages received
    sent: NotRequired[int]  # messages sent
    unanswered: NotRequired[int]  # pings without an answer, direct or relayed
    refuted: NotRequired[int]  # suspicion votes against this node that it refuted


class ActorCounts(TypedDict, total=False):
    """Counters of the actor since the last event, omitted when they are 0."""

    dropped: int  # datagrams beyond the rate limit
    unreadable: int  # datagrams that could not be decoded
    unasked: int  # failed requests to a peer for its traffic policy


class FailoverLoad(GossipLoad, ActorCounts):
    """Figures of the gossip, the datagrams and the traffic policy that this node follows."""

    bytes_sent: int  # in datagrams, since the last event
    epoch: int  # of the newest policy known
    in_force: bool  # whether that policy is valid
    turns_away: bool  # whether this node reports that it takes no work
