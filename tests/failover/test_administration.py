"""Tests of the operators' zone commands."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from shelfhaven.consensus.in_process import InProcessStore
from shelfhaven.consensus.store import CompareAndSet, CompareAndSetResult
from shelfhaven.failover.administration import (
    ExitCode,
    ZoneAction,
    ZoneCommand,
    apply_change,
    divert_zone,
    run_command,
)
from shelfhaven.failover.controller_task import read_policy, write_policy
from shelfhaven.failover.node_view import NodeView
from shelfhaven.failover.traffic_policy import (
    TrafficPolicy,
    ZonePolicy,
)


def test_change_is_applied_after_a_renewal_but_not_after_a_decision() -> None:
    async def check() -> None:
        store = InProcessStore()
        zones = {zone: ZonePolicy(load=10.0) for zone in "abc"}
        assert await write_policy(store, TrafficPolicy(4, 1, 9, "n1", zones=zones), 0)
        stored, revision = await read_policy(store)
        with_a_diverted, _ = divert_zone("a", 1.0, stored, NodeView())
        assert with_a_diverted
        assert await write_policy(store, replace(stored, renewal=2, fencing_token=10), revision)
        assert (await apply_change(store, with_a_diverted, revision)).exit_code == ExitCode.DONE
        current, current_revision = await read_policy(store)
        assert (
            current.epoch,
            current.fencing_token,
            current.zone_policy("a").diverted_fraction,
            current.decided_by,
        ) == (
            5,
            10,
            1.0,
            "operators",
        )
        with_b_diverted, _ = divert_zone("b", 1.0, current, NodeView())
        assert with_b_diverted
        assert await write_policy(
            store,
            current.with_zone_policy("c", ZonePolicy(diverted_fraction=0.25, destinations={"b": 1.0})),
            current_revision,
        )
        assert (await apply_change(store, with_b_diverted, current_revision)).exit_code == ExitCode.CONFLICT
        assert (
            divert_zone("c", 1.0, TrafficPolicy(1, zones={"c": ZonePolicy()}), NodeView())[0] is None
        ), "no other zone can take the traffic"

    asyncio.run(check())


class ConcurrentWriteStore(InProcessStore):
    """A store into which a controller writes once between a command's read and its write."""

    concurrent_policy: TrafficPolicy | None = None

    async def compare_and_set(self, change: CompareAndSet) -> CompareAndSetResult:
        concurrent_policy, self.concurrent_policy = self.concurrent_policy, None
        if concurrent_policy is not None:
            _, revision = await read_policy(self)
            assert await write_policy(self, concurrent_policy, revision)
        return await super().compare_and_set(change)


@pytest.mark.parametrize("action", [ZoneAction.DRAIN, ZoneAction.PIN, ZoneAction.RESTORE, ZoneAction.FORGET])
def test_change_that_conflicts_with_a_decision_is_rejected_and_succeeds_when_repeated(
    action: ZoneAction,
) -> None:
    async def check() -> None:
        store = ConcurrentWriteStore()
        zones = {zone: ZonePolicy(load=10.0) for zone in "abc"} | {"a": ZonePolicy(pinned_by="operators")}
        assert await write_policy(store, TrafficPolicy(4, 1, 9, "n1", zones=zones), 0)
        stored, _ = await read_policy(store)
        store.concurrent_policy = stored.with_zone_policy(
            "c", ZonePolicy(diverted_fraction=0.25, destinations={"b": 1.0})
        )
        diverted = 1.0 if action is ZoneAction.DRAIN else 0.0
        command = ZoneCommand(action, "a", diverted, confirmed=True)
        lines, code = await run_command(store, NodeView(), command)
        assert (lines[-1], code) == ("the traffic policy was changed in the meantime; nothing was applied", 4)
        current, _ = await read_policy(store)
        assert (current.epoch, current.zone_policy("a"), current.zone_policy("c").diverted_fraction) == (
            5,
            stored.zone_policy("a"),
            0.25,
        )
        assert (await run_command(store, NodeView(), command)).exit_code == ExitCode.DONE
        after, _ = await read_policy(store)
        assert after.epoch == 6
        assert after.zone_policy("c").diverted_fraction == 0.25, "the controller's decision is preserved"

    asyncio.run(check())
