"""Tests of the singleton task that runs the failover controller."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest

from shelfhaven.consensus.in_process import InProcessStore
from shelfhaven.election.leader_tasks import TaskFailedError
from shelfhaven.election.lease import FencedOffError, LeaseUncertainError, Permit
from shelfhaven.failover.aggregation import ZoneSummary
from shelfhaven.failover.controller_task import FailoverTask, NodeIdentity, read_policy
from shelfhaven.failover.traffic_policy import (
    TrafficPolicy,
    ZonePolicy,
)
from shelfhaven.server.log import Log
from tests.failover.helpers import QUICK_SETTINGS, REACHABILITY, ControlledFleet


class NodeStub:
    """Stub of the failover actor on the controller's node."""

    def __init__(self) -> None:
        self.policy = TrafficPolicy()
        self.fleet = ControlledFleet()

    def zone_summaries(self) -> dict[str, ZoneSummary] | None:
        return self.fleet.summaries

    def current_policy(self) -> TrafficPolicy:
        return self.policy

    def follow_policy(self, policy: TrafficPolicy) -> None:
        assert policy.version >= self.policy.version
        self.policy = policy


@dataclass(slots=True)
class ManualClock:
    """A clock whose time is set by the test."""

    now: float = 0.0

    def __call__(self) -> float:
        return self.now


def failover_task(store: InProcessStore, node_stub: NodeStub, zone: str, clock: ManualClock) -> FailoverTask:
    """Return the failover task of node n1 in a zone."""
    return FailoverTask(
        store, node_stub.fleet.controller, node_stub, NodeIdentity("n1", zone), Log("test"), clock
    )


def test_task_writes_renews_and_respects_the_fencing_token() -> None:
    async def check() -> None:
        store, node_stub, clock = InProcessStore(), NodeStub(), ManualClock()
        task = failover_task(store, node_stub, "b", clock)
        permit = Permit("zones", 7, lambda: 1.0)
        await task.decide_once(permit)
        first, revision = await read_policy(store)
        assert (first.fencing_token, first.decided_by, first.version) == (7, "n1", (0, 1))
        clock.now = QUICK_SETTINGS.policy_ttl / 4 - 0.1
        await task.decide_once(permit)
        assert (await read_policy(store))[1] == revision, "nothing changed, and no renewal is due"
        clock.now = QUICK_SETTINGS.policy_ttl / 4
        await task.decide_once(permit)
        assert (await read_policy(store))[0].version == (0, 2)
        node_stub.fleet.lose("a")
        for _ in range(4):
            clock.now += 1.0
            await task.decide_once(permit)
        stored, revision = await read_policy(store)
        assert stored.zone_policy("a").diverted_fraction == 1.0
        assert node_stub.policy.epoch == stored.epoch
        with pytest.raises(LeaseUncertainError):  # the lease has expired: nothing is written
            await task.decide_once(Permit("zones", 9, lambda: 0.0))
        assert (await read_policy(store))[1] == revision
        await task.decide_once(Permit("zones", 9, lambda: 1.0))
        with pytest.raises(FencedOffError) as raised:  # an earlier leader resumes with its old token
            await task.decide_once(permit)
        assert raised.value.highest == 9
        assert (await read_policy(store))[0].fencing_token == 9

    asyncio.run(check())


def test_leader_in_an_isolated_zone_steps_down() -> None:
    async def check() -> None:
        store, node_stub, clock = InProcessStore(), NodeStub(), ManualClock()
        task = failover_task(store, node_stub, "a", clock)
        permit = Permit("zones", 7, lambda: 1.0)
        for zone in "bc":
            node_stub.fleet.change(
                zone, reachability={"a": 0.0, **{other: 1.0 for other in "bc" if other != zone}}
            )
        await task.decide_once(permit)
        clock.now = 3 * QUICK_SETTINGS.evidence_time - 0.1
        await task.decide_once(permit)
        assert (await read_policy(store))[0].zone_policy("b").diverted_fraction == 0.0
        clock.now += 0.2
        with pytest.raises(TaskFailedError):
            await task.decide_once(permit)
        clock.now += 1.0
        node_stub.fleet.change("b", reachability=REACHABILITY["b"])
        await task.decide_once(permit)  # reaching half of the other zones is enough

    asyncio.run(check())


def test_emptied_store_is_refilled_from_the_followed_policy() -> None:
    async def check() -> None:
        node_stub = NodeStub()
        node_stub.policy = TrafficPolicy(
            6,
            3,
            7,
            "n0",
            zones={"a": ZonePolicy(diverted_fraction=0.5, destinations={"b": 1.0}), "b": ZonePolicy()},
        )
        store = InProcessStore()
        task = failover_task(store, node_stub, "b", ManualClock())
        await task.decide_once(Permit("zones", 8, lambda: 1.0))
        stored, _ = await read_policy(store)
        assert (stored.epoch, stored.fencing_token, stored.zone_policy("a").diverted_fraction) == (6, 8, 0.5)

    asyncio.run(check())
