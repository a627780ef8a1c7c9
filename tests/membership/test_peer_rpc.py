"""Requests between two nodes over loopback: answers, wire format and reported failures."""

from __future__ import annotations

import asyncio
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from shelfhaven.config import Address
from shelfhaven.lab.ports import reserved_port
from shelfhaven.membership import peer_rpc
from shelfhaven.membership.list_version import Endpoint, ListSnapshot, ListVersion
from shelfhaven.membership.peer_rpc import MAX_ANSWER_BUDGET, MIN_RETRY_AFTER_S, PeerRpc, PeerRpcError
from shelfhaven.membership.snapshot_codec import PeerAnswer
from shelfhaven.server.log import Log
from tests.peers import NULL, run_async

SECRET = b"a secret of a fleet"
SNAPSHOT = ListSnapshot(ListVersion(0, 7, "s"), 1.0, {"nodes/z/n1": Endpoint("a1", 7)})


class Node:
    """A node's `PeerRpc`, and the arguments of the polls that it answered."""

    def __init__(self, secret: bytes = SECRET) -> None:
        self.polls: list[tuple[str, ListVersion, bool]] = []
        self.port = reserved_port()
        self.address = f"127.0.0.1:{self.port}"
        self.rpc = PeerRpc(Address("127.0.0.1", self.port), secret, 1.0, self.answer, Log("test", NULL))

    def answer(self, peer: str, since: ListVersion, with_backends: bool) -> PeerAnswer:
        self.polls.append((peer, since, with_backends))
        return PeerAnswer(SNAPSHOT, True)


@asynccontextmanager
async def two_nodes(secret: bytes = SECRET) -> AsyncIterator[tuple[Node, Node]]:
    polled, polling = Node(), Node(secret)
    polled.rpc.start()
    try:
        yield polled, polling
    finally:
        await polled.rpc.end()
        await polling.rpc.end()


def test_a_poll_passes_the_version_and_returns_the_list() -> None:
    async def check() -> None:
        async with two_nodes() as (polled, polling):
            since = ListVersion(1, 5, "s", False)
            answer = await polling.rpc.poll(polled.address, "a9", since, True)
            assert answer == PeerAnswer(SNAPSHOT, True)
            assert polled.polls == [("a9", since, True)]
            assert polled.rpc.answered == 1

    run_async(check)


def test_requests_are_compatible_with_nodes_of_earlier_versions(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(os, "urandom", lambda size: b"\x07" * size)
    heads: list[bytes] = []

    async def reject(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        heads.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(b"HTTP/1.1 429 Busy\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    async def check() -> None:
        rpc = Node(b"sec").rpc
        async with await asyncio.start_server(reject, "127.0.0.1", 0) as server:
            peer = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            with pytest.raises(PeerRpcError) as poll:
                await rpc.poll(peer, "a9", ListVersion(1, 5, "s t", False), True)
            with pytest.raises(PeerRpcError) as post:
                await rpc.post(peer, "a9", "/p", b"body", 1.0)
        assert (poll.value.retry_after, post.value.retry_after) == (1.5, 1.5)
        await rpc.end()

    run_async(check)
    poll_head, post_head = heads
    assert poll_head.startswith(
        b"GET /list?era=1&revision=5&store=s+t&from=a9&whole=0&servers=1 HTTP/1.1\r\n"
        b"X-Number: 0707070707070707\r\n"
        b"X-Digest: 928d0473e4bf7ddb69e9a934a91ce1a5c74448f8e688fa53950306cb5913d3cf\r\n"
    )
    assert post_head.startswith(
        b"POST /p?from=a9 HTTP/1.1\r\n"
        b"X-Number: 0707070707070707\r\n"
        b"X-Digest: b589c0366a22a1177c15aabc69396d7bba188c0b75012ed6e4afc1fd588288c4\r\n"
    )


def test_a_poll_with_another_secret_fails_without_a_retry_delay() -> None:
    async def check() -> None:
        async with two_nodes(b"another secret") as (polled, polling):
            with pytest.raises(PeerRpcError) as failure:
                await polling.rpc.poll(polled.address, "a9", ListVersion(), False)
            assert failure.value.retry_after is None
            assert polled.polls == []

    run_async(check)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_request_with_a_non_ascii_digest_is_rejected(method: str) -> None:
    async def check() -> None:
        async with two_nodes() as (polled, _):
            reader, writer = await asyncio.open_connection("127.0.0.1", polled.port)
            head = f"{method} /list HTTP/1.1\r\nX-Number: 07\r\nX-Digest: \u00e9\r\nContent-Length: 0\r\n\r\n"
            writer.write(head.encode("latin-1"))
            assert (await reader.readline()).startswith(b"HTTP/1.1 403 ")
            writer.close()
            assert polled.polls == []

    run_async(check)


def test_an_answer_with_a_non_ascii_digest_is_rejected() -> None:
    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nX-Digest: \xe9\r\nContent-Length: 2\r\n\r\n{}")
        writer.close()

    async def check() -> None:
        rpc = Node().rpc
        async with await asyncio.start_server(answer, "127.0.0.1", 0) as server:
            peer = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            with pytest.raises(PeerRpcError, match="the digest of the answer is not valid"):
                await rpc.poll(peer, "a9", ListVersion(), False)
        await rpc.end()

    run_async(check)


def test_a_peer_without_budget_returns_a_retry_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_rpc, "ANSWER_BUDGET_PER_S", 0.001)  # too slow to refill during the test

    async def check() -> None:
        async with two_nodes() as (polled, polling):
            assert polled.rpc.budget.try_spend(MAX_ANSWER_BUDGET)
            with pytest.raises(PeerRpcError) as failure:
                await polling.rpc.poll(polled.address, "a9", ListVersion(), False)
            assert failure.value.retry_after is not None
            assert failure.value.retry_after >= MIN_RETRY_AFTER_S
            assert polled.rpc.rejected == 1

    run_async(check)


def test_a_poll_of_a_closed_port_is_reported_as_not_sent() -> None:
    async def check() -> None:
        async with two_nodes() as (_, polling):
            with pytest.raises(PeerRpcError) as failure:
                await polling.rpc.poll(f"127.0.0.1:{reserved_port()}", "a9", ListVersion(), False)
            assert not failure.value.sent

    run_async(check)
