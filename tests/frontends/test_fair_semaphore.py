"""Turns of connections whose tasks wait for one semaphore."""

from __future__ import annotations

import asyncio

from shelfhaven.frontends.fair_semaphore import FairSemaphore
from tests.peers import run_async


def test_a_connection_with_many_waiting_tasks_is_served_in_turn_with_the_others() -> None:
    # guards against verdicts that wait behind all messages of a client that floods
    async def check() -> None:
        turns = FairSemaphore(1)
        served: list[str] = []

        async def take(connection: str) -> None:
            await turns.acquire(connection)
            served.append(connection)
            await asyncio.sleep(0)
            turns.release()

        await asyncio.gather(*(take(name) for name in ["a", "a", "a", "a", "b", "b", "c"]))
        assert served == ["a", "a", "b", "c", "a", "b", "a"]
        await asyncio.wait_for(turns.acquire("a"), 1.0)  # all are free again

    run_async(check)


def test_a_turn_is_not_lost_with_a_task_that_is_cancelled_before_or_just_after_it_gets_one() -> None:
    async def check() -> None:
        turns = FairSemaphore(1)
        await turns.acquire("a")
        before, after, last = (asyncio.ensure_future(turns.acquire("b")) for _ in range(3))
        await asyncio.sleep(0)
        before.cancel()
        await asyncio.sleep(0)
        turns.release()  # gives the turn to the second one
        after.cancel()
        await asyncio.gather(before, after, return_exceptions=True)
        await asyncio.wait_for(last, 1.0)

    run_async(check)
