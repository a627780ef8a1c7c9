"""Tests of the lab's `Router` client: waiting for answers fails when the connection ends."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import pytest

from shelfhaven.lab.callers import Router, until
from tests.peers import run_async


class ConnectedRouter(NamedTuple):
    """A router and the server that it is connected to."""

    router: Router
    server: asyncio.Server


async def connect_router(close_after_bytes: int) -> ConnectedRouter:
    """Connect a router to a server that closes each connection after reading this number of bytes."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(close_after_bytes)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    router = Router(*await asyncio.open_connection("127.0.0.1", port))
    return ConnectedRouter(router, server)


def test_waiting_for_an_answer_fails_when_the_connection_ends() -> None:
    async def check() -> None:
        router, server = await connect_router(close_after_bytes=1)
        futures = [asyncio.ensure_future(router.wait_for_answer(id_)) for id_ in (1, 2)]
        await asyncio.sleep(0)  # let both tasks start to wait before the connection ends
        router.request(1)
        for future in futures:
            with pytest.raises(ConnectionError):
                await asyncio.wait_for(future, 5.0)
        assert router.ended
        server.close()

    run_async(check)


def test_waiting_for_an_answer_on_an_ended_connection_fails_at_once() -> None:
    async def check() -> None:
        router, server = await connect_router(close_after_bytes=0)
        await until(lambda: router.ended)
        with pytest.raises(ConnectionError):
            await asyncio.wait_for(router.wait_for_answer(1), 5.0)
        server.close()

    run_async(check)
