"""The singleton task that runs the failover controller on one node of the fleet.

Reads and writes the traffic policy in the consensus store. A write never replaces a policy that this task has
not read or that has a larger fencing token: the fencing token is checked after the read, and the write is a
compare-and-set on the revision that was read.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import NamedTuple, Protocol

from shelfhaven.consensus.store import CompareAndSet, ConsensusError, ConsensusStore, Put
from shelfhaven.election.leader_tasks import LeaderTask, TaskFailedError
from shelfhaven.election.lease import FencedOffError, LeaderLease, LeaseUncertainError, Permit
from shelfhaven.failover.aggregation import ZoneSummary
from shelfhaven.failover.controller import FailoverController
from shelfhaven.failover.traffic_policy import (
    POLICY_KEY,
    TrafficPolicy,
    ZonePolicy,
    decode_policy,
    encode_policy,
)
from shelfhaven.server.log import Log

DECIDE_INTERVAL = 0.5  # seconds
STORE_ERROR_DELAY = 2.0  # seconds to wait after a failed read or write


class FleetView(Protocol):
    """The part of the failover actor that the controller task uses."""

    def zone_summaries(self) -> Mapping[str, ZoneSummary] | None:
        """Return the zone summaries as this node sees them; None while it considers itself unhealthy."""

    def current_policy(self) -> TrafficPolicy:
        """Return the newest policy that this node has received, valid or expired."""

    def follow_policy(self, policy: TrafficPolicy) -> None:
        """Adopt a policy that was read from or written to the store, if it is newer."""


class NodeIdentity(NamedTuple):
    """The node that the controller runs on."""

    name: str
    zone: str


class StoredPolicy(NamedTuple):
    """A policy from the consensus store."""

    policy: TrafficPolicy
    revision: int  # 0: the store has no policy yet


async def read_policy(store: ConsensusStore) -> StoredPolicy:
    """Read the agreed policy; an empty one if the store has none. Raises ConsensusError, ValueError."""
    entry = (await store.read([POLICY_KEY])).items.get(POLICY_KEY)
    if entry is None:
        return StoredPolicy(TrafficPolicy(), 0)
    return StoredPolicy(decode_policy(entry.value), entry.revision)


async def write_policy(store: ConsensusStore, policy: TrafficPolicy, revision: int) -> bool:
    """Replace the policy if the store still has it at `revision`; return whether it does.

    Raises ConsensusError.
    """
    change = CompareAndSet({POLICY_KEY: revision}, {POLICY_KEY: Put(encode_policy(policy))})
    outcome = await store.compare_and_set(change)
    return outcome.applied


class FailoverTask(LeaderTask):
    """Decides on the traffic policy while this node holds the lease."""

    def __init__(
        self,
        store: ConsensusStore,
        controller: FailoverController,
        fleet_view: FleetView,
        node: NodeIdentity,
        log: Log,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.store = store
        self.controller = controller
        self.fleet_view = fleet_view
        self.node = node
        self.log = log
        self.clock = clock
        self.last_error = ""  # the last error logged; a repeated one is not logged again

    async def run(self, lease: LeaderLease) -> None:
        """Decide at intervals until the lease is lost."""
        while True:
            delay = DECIDE_INTERVAL
            try:
                await lease.act(self.decide_once)
                self.last_error = ""
            except LeaseUncertainError:
                pass
            except (ConsensusError, ValueError) as error:
                delay = STORE_ERROR_DELAY
                self._log_error(error)
            if not await lease.continue_after(delay):
                return

    async def decide_once(self, permit: Permit) -> None:
        """Read the policy, let the controller decide, and write the next policy if there is one."""
        stored, revision = await read_policy(self.store)
        if stored.fencing_token > permit.fencing_token:
            raise FencedOffError(stored.fencing_token)
        now = self.clock()
        summaries = self.fleet_view.zone_summaries()
        if self.controller.should_step_down(now, self.node.zone, summaries):
            raise TaskFailedError(
                "this node is unhealthy, or its zone reaches too few other zones to decide for them"
            )
        policy, base = self.controller.next_policy(
            now, stored, self.fleet_view.current_policy(), summaries, permit.fencing_token
        )
        if policy is None:
            self.fleet_view.follow_policy(stored)
            return
        policy = replace(policy, decided_by=self.node.name)
        if permit.time_left() <= 0:
            raise LeaseUncertainError("the lease may have expired")
        if await write_policy(self.store, policy, revision):
            self.controller.policy_written(now, policy)
            self.fleet_view.follow_policy(policy)
            if policy.epoch != base.epoch:
                self._log_changes(base, policy)

    def _log_error(self, error: Exception) -> None:
        if str(error) != self.last_error:
            self.last_error = str(error)
            self.log.event("zones_undecided", error=str(error))

    def _log_changes(self, before: TrafficPolicy, after: TrafficPolicy) -> None:
        for zone, policy in after.zones.items():
            if replace(policy, load=0.0) != replace(before.zone_policy(zone), load=0.0):
                self._log_zone(after.epoch, zone, policy)
        if before.halt_reason != after.halt_reason:
            self.log.event("zones_halted", epoch=after.epoch, why=after.halt_reason)

    def _log_zone(self, epoch: int, zone: str, policy: ZonePolicy) -> None:
        self.log.event(
            "zone_decided",
            epoch=epoch,
            zone=zone,
            standing=policy.state.value,
            cause=policy.cause.value,
            away=round(policy.diverted_fraction, 3),
            to=dict(policy.destinations),
            why=policy.reason,
            parts={cls: round(fraction, 3) for cls, fraction in policy.diverted_by_class.items()},
        )
