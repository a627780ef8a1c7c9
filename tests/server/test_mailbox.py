"""Mailboxes: order of messages, errors of handlers, messages after the end; and reading sockets first."""

from __future__ import annotations

import asyncio
import socket

from shelfhaven.server.log import Log
from shelfhaven.server.mailbox import READING_ITERATIONS, Mailbox, after_reading, peek
from tests.peers import NULL, run_async


def test_messages_to_an_ended_actor_are_discarded() -> None:
    async def check() -> None:
        handled: list[int] = []
        mailbox = Mailbox(handled.append, Log("test", NULL), lambda: handled.append(-1))
        mailbox.put(1)
        mailbox.end()
        mailbox.put(2)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert (handled, list(mailbox.queue)) == ([], [])

    run_async(check)


def test_messages_are_handled_in_order_in_the_next_iteration_and_an_error_affects_one_only() -> None:
    async def check() -> None:
        handled: list[int] = []

        def handle(message: int) -> None:
            if message == 2:
                raise RuntimeError("injected")
            handled.append(message)

        mailbox = Mailbox(handle, Log("test", NULL), lambda: handled.append(-1))
        for message in (1, 2, 3):
            mailbox.put(message)
        assert handled == []
        await asyncio.sleep(0)
        assert handled == [1, 3, -1]

    run_async(check)


def test_after_reading_calls_back_after_the_reading_iterations() -> None:
    async def check() -> None:
        called: list[str] = []
        after_reading(called.append, "late")
        for _ in range(READING_ITERATIONS):
            assert called == []
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert called == ["late"]

    run_async(check)


def test_peek_does_not_consume_and_distinguishes_the_end_from_no_data() -> None:
    receiver, sender = socket.socketpair()
    receiver.setblocking(False)
    assert peek(receiver) is None
    sender.send(b"xy")
    assert peek(receiver) == b"x"
    assert receiver.recv(9) == b"xy"
    sender.close()
    assert peek(receiver) == b""
    receiver.close()
