"""A node of the failover simulation: its gossip, the traffic policy that it follows, and its state."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from shelfhaven.failover.gossip import Gossip
from shelfhaven.failover.traffic_policy import PolicyFollower


@dataclass(eq=False, slots=True)
class SimulatedNode:
    """One node and its state in the simulation; times are in seconds of virtual time."""

    name: str
    zone: str
    gossip: Gossip
    up_since: float  # start, or end of the last stall
    follower: PolicyFollower = field(default_factory=PolicyFollower)
    alive: bool = True
    stalled: bool = False
    deferred: list[Callable[[], None]] = field(default_factory=list)  # calls to make when a stall ends
    wake_at: float = float("inf")  # when its gossip is woken next
    fetching_policy: bool = False

    @property
    def up(self) -> bool:
        """Whether the node is alive and not stalled."""
        return self.alive and not self.stalled
