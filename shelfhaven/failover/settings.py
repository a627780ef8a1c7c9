"""Settings for failover between zones. Times are in seconds; fractions range from 0 to 1."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GossipSettings:
    """Settings for pings between nodes, load digests and failure detection."""

    ping_interval: float = 0.5
    ping_timeout: float = 0.25
    relay_count: int = 3  # nodes asked to ping on behalf of this one when a direct ping is not answered
    max_peers: int = 512  # nodes whose digests are kept
    max_digest_age: float = 20.0  # older digests are ignored
    suspicion_quorum: float = 2.5  # votes needed to declare a node failed, weighted by the voters' health
    suspicion_timeout: float = 3.0  # time to refute a suspicion; grows with the log of the fleet size
    history_weight: float = 0.5  # weight of earlier pings in the moving average of answered pings


@dataclass(frozen=True, slots=True)
class FailoverSettings:
    """Settings for when and how much traffic is diverted from a zone, and how it returns."""

    step_interval: float = 5.0  # minimum time between two moves in a region
    step_size: float = 0.25  # fraction of a zone's traffic that one step diverts or returns
    capacity_reserve: float = 0.15  # fraction of the receiving zones' capacity that is kept free
    max_diverted: float = 0.5  # largest fraction of the fleet's load that may be diverted at a time
    evidence_time: float = 2.0  # how long evidence of a fault must last before traffic is diverted
    reach_threshold: float = 0.3  # a zone reaches another if at least this fraction of its pings is answered
    failure_margin: float = 0.3  # a zone fails if its failure rate exceeds the others' median by this much
    rejection_margin: float = 0.1  # a zone is overloaded if its rejection rate exceeds their median by this
    recovery_delay: float = 10.0  # how long a zone must be healthy before its traffic returns
    max_recovery_delay: float = 300.0  # upper bound of the delay, which doubles with each failed recovery
    rollout_window: float = 120.0  # zones that fail within this time of each other suggest a faulty release
    policy_ttl: float = 60.0  # how long a policy is valid without renewal
