"""Fleets of node processes under a flash crowd: after a cold start, and after an overload of the backends."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from shelfhaven.lab.backend_stub import BackendStub
from shelfhaven.lab.election_fleet import soon
from tests.fleets import play
from tests.membership.fleet_world import World, world

pytestmark = pytest.mark.alone  # leases take 3 s, and the checker applies limits in seconds to the logs

BACKEND_CAPACITY = 6  # concurrent runs at which each of the two backends is saturated


@contextlib.asynccontextmanager
async def fleet_with_saturable_backends(count: int = 6) -> AsyncIterator[tuple[World, list[BackendStub]]]:
    """Run a fleet with two backends whose latency grows with the square of the load above saturation."""
    backends = [BackendStub(f"k{n}", [], 4096, 0.05, n, saturation=BACKEND_CAPACITY) for n in range(2)]
    for backend in backends:
        await backend.start()
    pool = f'ramp bears={BACKEND_CAPACITY} connects=200 rise="500ms" stretch=1 spare=1.0'
    try:
        async with world(count, pool=pool) as fleet_world:
            fleet_world.fleet.servers = [backend.address for backend in backends]
            yield fleet_world, backends
    finally:
        for backend in backends:
            backend.stop()


async def send_requests(fleet_world: World, count: int) -> list[int]:
    """Send `count` concurrent requests, distributed over all nodes, and return their statuses."""
    nodes = fleet_world.fleet.running()
    requests = (nodes[n % len(nodes)].ask("GET", f"/balance/{n}") for n in range(count))
    return [reply.status for reply in await asyncio.gather(*requests)]


def test_a_flash_crowd_at_a_cold_fleet_does_not_overload_the_backends() -> None:
    async def check() -> None:
        async with fleet_with_saturable_backends() as (fleet_world, backends):
            await fleet_world.fleet.start_all()
            await soon(lambda: all(node.events("phase") for node in fleet_world.nodes))
            peak_in_progress = 0

            async def record_peak() -> None:
                nonlocal peak_in_progress
                while True:
                    peak_in_progress = max(peak_in_progress, sum(backend.in_progress for backend in backends))
                    await asyncio.sleep(0.002)

            recording = asyncio.ensure_future(record_peak())
            statuses = [status for _ in range(4) for status in await send_requests(fleet_world, 150)]
            recording.cancel()
            assert peak_in_progress <= 2 * BACKEND_CAPACITY
            assert set(statuses) <= {200, 503}, "each request is answered, and no backend fails"
            assert statuses.count(200) >= 40

    play(check)


def test_backends_recover_from_an_overload() -> None:
    async def check() -> None:
        async with fleet_with_saturable_backends() as (fleet_world, backends):
            await fleet_world.start_and_wait(6)
            for backend in backends:
                backend.slowdown = 60.0
            await send_requests(fleet_world, 120)
            await send_requests(fleet_world, 120)
            for backend in backends:
                backend.slowdown = 1.0
            successes = 0
            for _ in range(60):
                successes = (await send_requests(fleet_world, 6)).count(200)
                if successes == 6:
                    break
                await asyncio.sleep(0.2)
            assert successes == 6
            assert sum(backend.in_progress for backend in backends) <= 2 * BACKEND_CAPACITY

    play(check)
