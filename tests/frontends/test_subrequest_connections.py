"""Connections of proxies that ask by subrequests: how they end, in a drain and otherwise."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from typing import Any
from unittest.mock import patch

import pytest

from shelfhaven.config import Address
from shelfhaven.frontends.subrequest import SubrequestListener
from shelfhaven.frontends.subrequest_connection import _RequestReader
from shelfhaven.lab.callers import Reply, connect, read_reply, until
from tests.frontends.proxy_nodes import ProxyNode
from tests.frontends.test_subrequest import running_subrequest_node
from tests.peers import run_async

REQUEST = b"GET /balance/1 HTTP/1.1\r\nHost: x\r\n\r\n"
REJECTED = 403  # the default of `refuse-status`


@contextlib.asynccontextmanager
async def subrequest_listener(**changes: Any) -> AsyncIterator[tuple[ProxyNode, SubrequestListener, Address]]:
    async with running_subrequest_node(**changes) as (node, address):
        listener = node.app.proxy_listeners[1]
        assert isinstance(listener, SubrequestListener)
        yield node, listener, address


@contextlib.asynccontextmanager
async def kept_connection(address: Address) -> AsyncIterator[Callable[[str, str], Awaitable[Reply]]]:
    """Yield a function that asks on one connection with a method and a path."""
    reader, writer = await connect(address)

    async def ask(method: str, path: str) -> Reply:
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n\r\n".encode())
        return await asyncio.wait_for(read_reply(reader, method), 5.0)

    try:
        yield ask
    finally:
        writer.close()


async def read_from(sock: socket.socket) -> Reply:
    reader, writer = await asyncio.open_connection(sock=sock)
    try:
        return await read_reply(reader)
    finally:
        writer.close()


async def read_end(reader: asyncio.StreamReader) -> bytes:
    """Return what comes until the peer ends its stream; a reset raises ConnectionResetError."""
    return await asyncio.wait_for(reader.read(), 5.0)


def test_requests_in_the_backlog_get_a_verdict_when_the_listener_stops() -> None:
    # guards against consultations without a verdict in a drain (docs/incidents/verdicts-lost-in-a-drain.md)
    async def check() -> None:
        async with subrequest_listener() as (_, listener, address):
            waiting = []
            for _ in range(50):  # the event loop does not run, so none is accepted
                waiting.append(socket.create_connection((address.host, address.port)))
                waiting[-1].sendall(REQUEST)
            listener.stop_listening(0.0)
            replies = await asyncio.gather(*(read_from(sock) for sock in waiting))
            assert {(reply.status, reply.not_run) for reply in replies} == {(REJECTED, True)}
            assert all(reply.retry_after or "retry-after" in reply.fields for reply in replies)
            with pytest.raises(ConnectionRefusedError):
                await connect(address)

    run_async(check)


def test_a_drain_answers_what_was_sent_and_ends_silent_connections_in_order() -> None:
    async def check() -> None:
        async with subrequest_listener(stop="1s") as (node, listener, address):
            silent_reader, _ = await connect(address)
            partial_reader, partial_writer = await connect(address)
            partial_writer.write(REQUEST[:10])
            kept_reader, kept_writer = await connect(address)
            kept_writer.write(REQUEST)
            assert (await read_reply(kept_reader)).status == 200
            await until(lambda: len(listener.listener.connections) == 3)
            node.app.request_drain()
            await until(lambda: listener.stopped)
            partial_writer.write(REQUEST[10:])
            reply = await read_reply(partial_reader)
            assert (reply.status, reply.not_run) == (REJECTED, True)
            assert await read_end(silent_reader) == b""
            assert await read_end(kept_reader) == b""
            await asyncio.wait_for(node.task, 5.0)

    run_async(check)


@pytest.mark.parametrize("has_run", [True, False])
def test_late_in_a_drain_the_key_of_a_request_is_looked_up(has_run: bool) -> None:
    # guards against "not run" of a request that has run (docs/incidents/not-run-on-a-kept-connection.md)
    async def check() -> None:
        async with subrequest_listener(stop="2s") as (node, listener, address):
            reader, writer = await connect(address)
            await until(lambda: listener.listener.connections)
            if has_run:
                assert (await node.topup("k")).body == b"made for five"
            node.app.request_drain()
            await until(lambda: listener.stopped)
            writer.write(
                b"POST /topup HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n"
            )
            reply = await read_reply(reader)
            if has_run:
                assert (reply.status, reply.body, reply.not_run) == (409, b"made for five", False)
            else:
                assert (reply.status, reply.not_run) == (REJECTED, True)
            assert node.run_count(b"five") == has_run

    run_async(check)


def test_a_request_sent_just_before_the_connections_close_is_answered() -> None:
    async def check() -> None:
        async with subrequest_listener() as (_, listener, address):
            reader, writer = await connect(address)
            await until(lambda: listener.listener.connections)
            listener.stop_listening(0.0)
            writer.write(REQUEST)  # unread when the connections are asked to close
            closing = asyncio.ensure_future(listener.end(1.0))
            assert (await read_reply(reader)).not_run
            assert await read_end(reader) == b""
            await closing
            assert not listener.has_connections()

    run_async(check)


@pytest.mark.parametrize("method", ["GET", "HEAD"])
def test_each_kind_of_verdict_reaches_the_proxy_and_keeps_its_connection(method: str) -> None:
    # guards against consultations by HEAD without a verdict (docs/incidents/head-without-a-verdict.md)
    async def check() -> None:
        async with (
            subrequest_listener(at_once=1, lease="60s") as (node, listener, address),
            kept_connection(address) as ask,
        ):
            assert [(await ask(method, "/nowhere")).status for _ in range(2)] == [404, 404]
            assert (await ask(method, "/topup")).status == 405
            assert (await ask(method, "/balance/1")).status == 200
            beyond_capacity = await ask(method, "/balance/2")
            assert (beyond_capacity.status, beyond_capacity.not_run) == (REJECTED, True)
            assert beyond_capacity.retry_after > 0
            assert int(beyond_capacity.fields["content-length"]) > 0
            assert bool(beyond_capacity.body) == (method == "GET")
            listener.streams.open_streams = listener.settings.max_streams
            assert (await ask(method, "/balance/3")).status == REJECTED
            listener.streams.open_streams = 0
            assert (await ask(method, "/balance/1")).status == REJECTED  # another response on the connection
            assert len(listener.listener.connections) == 1

    run_async(check)


@pytest.mark.parametrize("method", ["GET", "HEAD"])
def test_a_request_in_a_drain_gets_its_verdict_and_the_connection_ends_in_order(method: str) -> None:
    async def check() -> None:
        async with subrequest_listener() as (_, listener, address):
            reader, writer = await connect(address)
            await until(lambda: listener.listener.connections)
            listener.begin_drain()
            listener.stop_listening(0.0)
            writer.write(REQUEST.replace(b"GET", method.encode()))
            reply = await read_reply(reader, method)
            assert (reply.status, reply.not_run) == (REJECTED, True)
            assert "retry-after" in reply.fields
            await listener.end(1.0)
            assert await read_end(reader) == b""  # no byte of a body is left

    run_async(check)


def test_an_unreadable_request_by_head_gets_no_body() -> None:
    async def check() -> None:
        async with subrequest_listener() as (_, listener, address):

            async def fail(_: object) -> None:
                raise ValueError("a fault of the program")

            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(listener, "_consult", fail)
                reader, writer = await connect(address)
                writer.write(REQUEST.replace(b"GET", b"HEAD"))
                assert (await read_reply(reader, "HEAD")).status == 500
                assert await read_end(reader) == b""

    run_async(check)


def test_a_connection_that_sends_no_whole_request_is_answered_in_time() -> None:
    async def check() -> None:
        async with subrequest_listener() as (_, listener, address):
            listener.listen = replace(listener.listen, request_timeout=0.2)
            for start in (b"", REQUEST[:10]):
                reader, writer = await connect(address)
                writer.write(start)
                reply = await asyncio.wait_for(read_reply(reader), 3.0)
                assert (reply.status, reply.not_run) == (408, True)
                assert await read_end(reader) == b""
            await until(lambda: not listener.has_connections())

    run_async(check)


def test_headers_over_the_limit_are_answered() -> None:
    async def check() -> None:
        async with subrequest_listener() as (_, _, address):
            reader, writer = await connect(address)
            writer.write(b"GET / HTTP/1.1\r\n" + b"X-Filler: %b\r\n" % (b"x" * 64 * 1024))
            assert (await read_reply(reader)).status == 431
            writer.close()

    run_async(check)


def test_a_new_connection_is_not_evicted_before_its_first_request() -> None:
    async def check() -> None:
        async with subrequest_listener() as (_, listener, address):
            reader, writer = await connect(address)
            await until(lambda: listener.listener.connections)
            (connection,) = listener.listener.connections
            late = connection.last_used_at + 1.0
            assert not connection.is_evictable(late)
            writer.write(REQUEST)
            await read_reply(reader)
            assert connection.is_evictable(connection.last_used_at + 1.0)

    run_async(check)


def test_connections_of_proxies_count_as_descriptors_of_the_node() -> None:
    async def check() -> None:
        async with subrequest_listener() as (node, listener, address):
            before = node.app.descriptors.inbound
            _, writer = await connect(address)
            await until(lambda: node.app.descriptors.inbound == before + 1)
            writer.close()
            await until(lambda: node.app.descriptors.inbound == before)
            assert not listener.has_connections()

    run_async(check)


async def expect_internal_error(listener: SubrequestListener, address: Address, event: str) -> None:
    """Send a request whose handling fails: its answer says so, and its connection ends."""
    with patch.object(listener.log, "event") as logged:
        reader, writer = await connect(address)
        writer.write(REQUEST)
        reply = await read_reply(reader)
        assert (reply.status, reply.body) == (500, b"an error in this server\n")
        assert not reply.not_run, "it may have failed after the core's answer"
        assert await read_end(reader) == b""
        await until(lambda: not listener.has_connections())
    assert event in [call.args[0] for call in logged.call_args_list]


def test_a_request_whose_handling_fails_gets_an_error_and_its_connection_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check() -> None:
        async with subrequest_listener() as (_, listener, address):

            async def fail(_: object) -> None:
                raise ValueError("a fault of the program")

            monkeypatch.setattr(listener, "_consult", fail)
            await expect_internal_error(listener, address, "proxy_failed")

    run_async(check)


def test_a_port_of_many_digits_in_the_host_field_is_no_error() -> None:
    # guards against an error that left the connection open without an answer (issue 55)
    async def check() -> None:
        async with subrequest_listener() as (_, listener, address):
            reader, writer = await connect(address)
            writer.write(REQUEST.replace(b"Host: x", b"Host: x:" + b"1" * 5000))
            assert (await read_reply(reader)).status == 200
            writer.close()
            await until(lambda: not listener.has_connections())

    run_async(check)


def test_an_unexpected_error_while_a_request_is_read_is_answered_and_ends_its_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check() -> None:
        async with subrequest_listener() as (_, listener, address):
            monkeypatch.setattr(_RequestReader, "headers_received", failing)
            await expect_internal_error(listener, address, "connection_failed")

    run_async(check)


def failing(*_: object) -> None:
    raise ValueError("a fault of the program")


def test_silent_proxies_that_fill_the_descriptors_lock_out_nobody_for_long() -> None:
    async def check() -> None:
        async with subrequest_listener() as (node, _, address):
            silent = [await connect(address) for _ in range(8)]
            node.app.descriptors.max_inbound = 4  # all in use, and four more wait to be accepted
            router = await node.connect_router()
            router.send({"jsonrpc": "2.0", "id": 1, "method": "alive"})
            reader, writer = await connect(address)
            writer.write(REQUEST)
            async with asyncio.timeout(5.0):
                assert (await read_reply(reader)).status == 200
                assert "result" in await router.answer(1)
            assert len(silent) == 8

    run_async(check)
