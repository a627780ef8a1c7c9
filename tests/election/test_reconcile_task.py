"""ReconcileTask and UnresolvedOperations; the task that watches the list service is tested local as well."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from shelfhaven.election.fenced_target import FencedTarget
from shelfhaven.election.reconcile_task import ReconcileTask, peer_routes
from shelfhaven.election.unresolved import (
    MAX_TEXT_LENGTH,
    UnresolvedOperation,
    UnresolvedOperations,
    from_json_values,
    to_json_values,
)
from shelfhaven.election.watch_list_task import WatchListTask
from shelfhaven.lab.target_stub import TargetStub
from tests.election.helpers import (
    LOG,
    ControlledLease,
    run_with_timeout,
    wait_until,
)


class FakeNodeServices:
    """Services of a node with three peers: one answers, one sends an invalid answer, one does not answer."""

    def __init__(self) -> None:
        self.operations = UnresolvedOperations()
        self.routes = peer_routes(self.operations)
        self.watch_changes: list[bool] = []  # arguments of `watch_list`

    def addresses(self) -> list[str]:
        return ["a", "b", "gone"]

    async def post(self, peer: str, path: str, body: bytes) -> bytes | None:
        if peer == "gone":
            return None
        return b'{"no": "list"}' if peer == "b" else await self.routes[path](body)

    def watch_list(self, enabled: bool) -> None:
        self.watch_changes.append(enabled)


def operation(key: str) -> UnresolvedOperation:
    return UnresolvedOperation("topup", "retail", key, 1.0)


def test_unresolved_operations_of_all_nodes_are_reconciled_once_each(tmp_path: Path) -> None:
    async def check() -> None:
        target, services, local = TargetStub(), FakeNodeServices(), UnresolvedOperations()
        await target.start()
        local.add(operation("k1"))
        services.operations.add(operation("k2"))
        services.operations.add(operation("k3"))
        controlled = ControlledLease()
        task = ReconcileTask(FencedTarget(target.url, 0.5), 0.01, local, services, LOG)
        running = asyncio.ensure_future(task.run(controlled.lease))
        await wait_until(lambda: not local.by_id and not services.operations.by_id)
        controlled.lease.finishing.set()
        await running
        assert sorted(effect.key for effect in target.applied("d")) == [
            f"topup/retail/k{n}" for n in (1, 2, 3)
        ]
        assert (local.resolved, services.operations.resolved) == (1, 2)
        task.close()
        await target.stop()

    run_with_timeout(check)


def test_unresolved_operations_are_bounded_and_invalid_ones_are_rejected() -> None:
    operations = UnresolvedOperations(max_operations=3)
    for n in range(5):
        operations.add(operation(f"k{n}"))
    operations.add(operation("x" * (MAX_TEXT_LENGTH + 1)))
    assert [kept.key for kept in operations.oldest()] == ["k2", "k3", "k4"]
    assert operations.forgotten == 3
    assert not operations.resolve("topup/retail/k0")
    assert from_json_values(to_json_values(operations.oldest())) == operations.oldest()
    invalid: list[Any] = [None, {}, [1], [["a", "b", "c"]], [["a", "b", "c", "d"]], [["a", 1, "c", 1.0]]]
    for raw in (*invalid, [[]] * 99):
        with pytest.raises(ValueError, match="^(not a list of|invalid operation)"):
            from_json_values(raw)


def test_the_list_service_is_watched_while_the_node_leads() -> None:
    async def check() -> None:
        services, controlled = FakeNodeServices(), ControlledLease()
        running = asyncio.ensure_future(WatchListTask(services).run(controlled.lease))
        await wait_until(lambda: services.watch_changes == [True])
        controlled.lease.finishing.set()
        await running
        assert services.watch_changes == [True, False]

    run_with_timeout(check)
