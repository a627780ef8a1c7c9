"""Turns to read messages of streams."""

from __future__ import annotations

import asyncio
import time

from shelfhaven.frontends.message_reads import MIN_TURNS, TURN_S, MessageReads
from tests.peers import run_async

LARGE_MESSAGE = 1 << 30  # of which none fits into the memory, so that the least numbers apply


async def read(reads: MessageReads, seconds: float, limit_s: float = 5.0) -> bool:
    """Read for a time; return whether the read was ended early."""
    try:
        async with asyncio.timeout(limit_s) as limit, reads.turn(limit, "one"):
            await asyncio.sleep(seconds)
    except TimeoutError:
        return True
    return False


def test_a_read_that_takes_long_gives_its_turn_to_the_next() -> None:
    async def check() -> None:
        reads = MessageReads(1.0, LARGE_MESSAGE)
        slow = [asyncio.ensure_future(read(reads, 1.0)) for _ in range(MIN_TURNS)]
        await asyncio.sleep(TURN_S / 2)
        sound = asyncio.ensure_future(read(reads, 0.0))
        reads.end_turns(time.monotonic())
        await asyncio.sleep(0.01)
        assert not sound.done()
        await asyncio.sleep(TURN_S)
        reads.end_turns(time.monotonic())
        assert await asyncio.wait_for(sound, 0.5) is False
        assert not any(task.done() for task in slow)
        assert await asyncio.gather(*slow) == [False] * MIN_TURNS

    run_async(check)


def test_the_oldest_of_too_many_slow_reads_ends() -> None:
    async def check() -> None:
        reads = MessageReads(1.0, LARGE_MESSAGE)
        reads.max_slow = 2
        slow = []
        for _ in range(3):
            slow.append(asyncio.ensure_future(read(reads, 0.5)))
            await asyncio.sleep(0.01)
        await asyncio.sleep(2 * TURN_S)
        reads.end_turns(time.monotonic())
        assert await asyncio.gather(*slow) == [True, False, False]

    run_async(check)


def test_waiting_for_a_turn_has_the_same_limit() -> None:
    async def check() -> None:
        reads = MessageReads(1.0, LARGE_MESSAGE)
        slow = [asyncio.ensure_future(read(reads, 0.5)) for _ in range(MIN_TURNS)]
        await asyncio.sleep(0.01)
        assert await read(reads, 0.0, limit_s=0.05) is True
        assert await asyncio.gather(*slow) == [False] * MIN_TURNS
        assert await read(reads, 0.0) is False

    run_async(check)
