"""Background tasks: they run until they finish or their owner cancels them."""

from __future__ import annotations

import asyncio

from shelfhaven.lab.election_fleet import soon
from shelfhaven.server.background_tasks import BackgroundTasks
from tests.fleets import played


@played
async def test_tasks_run_until_they_are_done_or_cancelled() -> None:
    tasks = BackgroundTasks()
    ended: list[str] = []

    async def wait(name: str, gate: asyncio.Event) -> None:
        try:
            await gate.wait()
            ended.append(f"{name} done")
        except asyncio.CancelledError:
            ended.append(f"{name} cancelled")
            raise

    open_gate = asyncio.Event()
    open_gate.set()
    tasks.start(wait("first", open_gate))
    tasks.start(wait("second", asyncio.Event()))
    await soon(lambda: ended)
    assert ended == ["first done"]
    tasks.cancel()
    await soon(lambda: len(ended) == 2)
    assert ended == ["first done", "second cancelled"]
