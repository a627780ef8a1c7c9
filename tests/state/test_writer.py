"""Tests of the writer thread: order, results, errors."""

from __future__ import annotations

import asyncio
import threading

import pytest

from shelfhaven.lab.election_fleet import soon
from shelfhaven.state.writer import WriterThread
from tests.fleets import played


@played
async def test_calls_are_executed_in_order_in_one_separate_thread() -> None:
    writer = WriterThread()
    executed: list[int] = []
    threads: set[int] = set()

    def call(number: int) -> int:
        executed.append(number)
        threads.add(threading.get_ident())
        return number * 2

    assert await asyncio.gather(*(writer.run(call, number) for number in range(20))) == list(range(0, 40, 2))
    assert executed == list(range(20))
    assert len(threads) == 1
    assert threading.get_ident() not in threads
    writer.submit(lambda: executed.append(20))
    writer.stop()
    await soon(lambda: writer.thread and not writer.thread.is_alive())
    assert executed[-1] == 20, "calls queued before `stop` are executed"


@played
async def test_an_exception_is_raised_to_the_awaiting_task_and_the_thread_continues() -> None:
    writer = WriterThread()

    def fail(error: BaseException) -> None:
        raise error

    for error in (ValueError("no"), OSError(28, "full"), KeyError("k")):
        with pytest.raises(type(error)) as raised:
            await writer.run(fail, error)
        assert raised.value is error
    assert await writer.run(len, "four") == 4
    writer.stop()


@played
async def test_cancelling_an_awaiting_task_does_not_affect_the_thread() -> None:
    writer = WriterThread()
    gate = threading.Event()
    waiting = asyncio.ensure_future(writer.run(gate.wait, 10.0))
    await asyncio.sleep(0.01)
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    gate.set()
    assert await writer.run(len, "ok") == 2
    writer.stop()
