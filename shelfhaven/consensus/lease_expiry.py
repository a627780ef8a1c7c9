"""Detection of expired leases with the clock of one observer.

The TTL of a lease counts from the moment when the observer first *saw* its last renewal, which is later
than the moment when the holder sent it. A new observer waits for the full TTL, so that a change of the
observer can prolong a lease but never shorten it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from shelfhaven.consensus.commands import ExpireLease
from shelfhaven.consensus.state_machine import Lease

CLOCK_RATE_MARGIN = 1.1  # a lease expires after this multiple of its TTL, as clocks differ in rate


@dataclass(frozen=True, slots=True)
class Observation:
    """The number of renewals of a lease, and when the observer first saw that number."""

    renewals: int
    first_seen: float


class LeaseExpiryObserver:
    """Finds the leases that have not been renewed within their TTL."""

    def __init__(self) -> None:
        self.observations: dict[int, Observation] = {}  # by lease id

    def observe(self, now: float, leases: Mapping[int, Lease]) -> list[ExpireLease]:
        """Record the renewals of all leases; return commands that end the expired ones."""
        for lease_id in list(self.observations):
            if lease_id not in leases:
                del self.observations[lease_id]
        commands: list[ExpireLease] = []
        for lease_id, lease in leases.items():
            observation = self.observations.get(lease_id)
            if observation is None or observation.renewals != lease.beat:
                self.observations[lease_id] = Observation(lease.beat, now)
            elif now - observation.first_seen >= lease.seconds * CLOCK_RATE_MARGIN:
                commands.append(ExpireLease(lease_id, lease.beat))
        return commands
