"""Test environment: a fleet of node processes with a list service and a backend, and faults between them."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from typing import Any

from shelfhaven.lab.backend_stub import BackendStub
from shelfhaven.lab.election_fleet import FAST_MEMBERSHIP, soon
from shelfhaven.lab.etcd_stub import EtcdStub
from shelfhaven.lab.fleet import Fleet, FleetNode, fleet
from shelfhaven.lab.fleet_checker import StatedLimits, find_violations


class World:
    """A list service, a backend and a fleet."""

    def __init__(self, store: EtcdStub, backend: BackendStub, fleet: Fleet) -> None:
        self.store, self.backend, self.fleet = store, backend, fleet

    @property
    def nodes(self) -> list[FleetNode]:
        return list(self.fleet.nodes.values())

    async def start_and_wait(self, count: int) -> None:
        """Start all nodes; return once each lists `count` nodes and the running ones are ready."""
        await self.fleet.start_all()
        await soon(
            lambda: self.fleet.all_know(count) and all(node.ready_after() for node in self.fleet.running())
        )

    def listed_nodes(self) -> set[str]:
        """Return the names of the nodes that the list service lists."""
        return {key.decode().rpartition("/")[2] for key in self.store.kvs if b"/nodes/" in key}


@contextlib.asynccontextmanager
async def world(count: int = 6, **options: Any) -> AsyncIterator[World]:
    store, backend = EtcdStub(), BackendStub("v", [], 16, 0.005)
    await store.start()
    await backend.start()
    options["more"] = FAST_MEMBERSHIP + options.get("more", "")
    try:
        async with fleet(count, store.port, [backend.address], **options) as processes:
            yield World(store, backend, processes)
            history = processes.whole_history()
        assert (
            find_violations(
                history,
                store.requests_by_second,
                StatedLimits(max_requests_per_s=60.0, max_shrink_fraction=0.3, retention_time=3.0),
            )
            == []
        )
    finally:
        backend.stop()
        await store.stop()
