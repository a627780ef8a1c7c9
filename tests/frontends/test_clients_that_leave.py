"""Clients that close their connections with requests unread or unanswered, and keys that come again after."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import signal
import socket
import struct
import time
from collections.abc import Awaitable, Callable

import orjson
import pytest

from shelfhaven.config import Address
from shelfhaven.lab.callers import Message, Router, ask, connect, until, variables
from shelfhaven.lab.proxy import ProxyStub
from shelfhaven.protocol import jsonrpc, uwsgi
from tests.frontends.node_process import NodeUnderTest, running_process
from tests.frontends.nodes import FrontendNode, running_node
from tests.frontends.test_subrequest import running_subrequest_node
from tests.peers import run_async

LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER value: closing the socket resets the connection
RUN_S = 0.3  # mean duration of a run at the backend
SETTLED_S = 1.0  # after which no run of a client that has left begins
KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
BODY = b"five"


def router_request(number: int, method: str, body: bytes, **params: object) -> bytes:
    message = {
        "jsonrpc": "2.0",
        "id": number,
        "method": method,
        "params": {
            "call": f"{number:016x}",
            "recv": int(time.time() * 1000),
            "src": 1,
            "heap": 10.0,
            "body": base64.b64encode(body).decode(),
            **params,
        },
    }
    encoded = orjson.dumps(message)
    return b"Content-Length: %d\r\n\r\n%b" % (len(encoded), encoded)


def leave(connection: socket.socket, by_reset: bool) -> None:
    """Close a connection, in order or by a reset."""
    if by_reset:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    connection.close()


def send_and_stay(address: Address, data: bytes) -> socket.socket:
    connection = socket.create_connection((address.host, address.port))
    connection.sendall(data)
    return connection


# Requests that are unread when their client leaves


@pytest.mark.parametrize("by_reset", [True, False], ids=["reset", "orderly"])
@pytest.mark.parametrize("method", ["balance", "topup"])
def test_requests_that_are_unread_when_their_client_leaves_are_not_run(by_reset: bool, method: str) -> None:
    # guards against work for a client that has left (incident requests-of-a-client-that-left)
    async def check() -> None:
        async with running_process(at_once=16) as node:
            node.backend.mean_duration = RUN_S
            data = b"".join(
                router_request(number, method, b"body %d" % number, dedupe=f"{number:032x}")
                for number in range(1, 33)
            )
            node.process.process.send_signal(signal.SIGSTOP)  # all is unread when the client leaves
            leave(send_and_stay(node.routers, data), by_reset)
            node.process.process.send_signal(signal.SIGCONT)
            await asyncio.sleep(SETTLED_S)
            assert not node.runs
            assert (await ask(node.gateways, "GET", "/balance/1")).status == 200

    run_async(check)


@pytest.mark.parametrize("by_reset", [True, False], ids=["reset", "orderly"])
def test_a_gateway_request_that_is_unread_when_its_client_leaves_is_not_run(by_reset: bool) -> None:
    async def check() -> None:
        async with running_process() as node:
            data = uwsgi.encode(variables("POST", "/topup", HTTP_IDEMPOTENCY_KEY=KEY), BODY)
            node.process.process.send_signal(signal.SIGSTOP)
            leave(send_and_stay(node.gateways, data), by_reset)
            node.process.process.send_signal(signal.SIGCONT)
            await asyncio.sleep(SETTLED_S)
            assert not node.runs
            assert (await ask(node.gateways, "POST", "/topup", BODY, HTTP_IDEMPOTENCY_KEY=KEY)).status == 200

    run_async(check)


def test_a_flooding_client_that_leaves_takes_its_unread_requests_with_it() -> None:
    async def check() -> None:
        async with running_process(at_once=4) as node:
            node.backend.mean_duration = RUN_S
            data = b"".join(router_request(number, "balance", b"%d" % number) for number in range(1, 1001))
            connection = send_and_stay(node.routers, data)
            await asyncio.sleep(0.1)
            leave(connection, by_reset=True)
            await asyncio.sleep(0.1)
            runs = len(node.runs)
            await asyncio.sleep(SETTLED_S)
            assert len(node.runs) == runs

    run_async(check)


@pytest.mark.parametrize("count", [1, 20])
def test_a_router_that_ends_only_its_sending_side_gets_all_answers(count: int) -> None:
    async def check() -> None:
        async with running_process(at_once=32) as node:
            node.backend.mean_duration = 0.1
            reader, writer = await connect(node.routers)
            for number in range(1, count + 1):
                writer.write(router_request(number, "balance", b"%d" % number))
            writer.write_eof()
            router = Router(reader, writer)
            for number in range(1, count + 1):
                assert "result" in await router.answer(number)
            await router.close()

    run_async(check)


@pytest.mark.parametrize("by_reset", [True, False], ids=["reset", "orderly"])
def test_subrequests_that_are_unread_when_their_proxy_leaves_get_no_place(by_reset: bool) -> None:
    async def check() -> None:
        async with running_subrequest_node(lease="60s", at_once=16) as (node, address):
            data = b"".join(b"GET /balance/%d HTTP/1.1\r\nHost: x\r\n\r\n" % number for number in range(200))
            leave(send_and_stay(address, data), by_reset)  # the event loop has not run since
            listener = node.app.proxy_listeners[1]
            await until(lambda: not listener.has_connections())
            await asyncio.sleep(0.2)
            assert len(node.app.core.requests) <= (0 if by_reset else 1)

    run_async(check)


# Attempts that come again


async def send_order(node: FrontendNode, class_name: str = "order", attempt: int = 7) -> Message:
    """Send an attempt on a new connection, and leave with its answer."""
    router = await node.connect_router()
    router.request(1, class_name, call=f"{attempt:016x}", org="retail", body=base64.b64encode(BODY).decode())
    try:
        return await router.answer(1)
    finally:
        await router.close()


def test_an_attempt_that_has_run_does_not_run_again_unless_its_class_is_idempotent() -> None:
    # guards against a second run of an attempt that comes again (incident requests-of-a-client-that-left)
    async def check() -> None:
        async with running_node() as node:
            assert "result" in await send_order(node)
            assert (await send_order(node))["error"]["code"] == jsonrpc.FAILED
            assert node.run_count(BODY) == 1
            assert "result" in await send_order(node, "balance", attempt=8)
            assert "result" in await send_order(node, "balance", attempt=8)
            assert node.run_count(BODY) == 3

    run_async(check)


def test_an_attempt_whose_client_left_while_it_ran_does_not_run_again() -> None:
    async def check() -> None:
        async with running_node() as node:
            node.backends[0].release.clear()
            first = asyncio.ensure_future(send_order(node))
            await until(lambda: node.runs)
            first.cancel()
            await asyncio.gather(first, return_exceptions=True)
            await until(lambda: not any(listener.connections for listener in node.app.listeners))
            node.backends[0].release.set()
            await until(lambda: not node.app.core.requests)
            assert (await send_order(node))["error"]["code"] == jsonrpc.FAILED
            assert node.run_count(BODY) == 1

    run_async(check)


def test_an_attempt_whose_client_left_while_it_waited_runs_when_it_comes_again() -> None:
    async def check() -> None:
        async with running_node(at_once=1) as node:
            node.backends[0].release.clear()
            busy = asyncio.ensure_future(node.ask("GET", "/balance/1"))
            await until(lambda: node.runs)
            first = asyncio.ensure_future(send_order(node))
            await until(lambda: len(node.app.core.requests) == 2)
            first.cancel()
            await until(lambda: len(node.app.core.requests) == 1)
            node.backends[0].release.set()
            assert (await busy).status == 200
            assert "result" in await send_order(node)
            assert node.run_count(BODY) == 1

    run_async(check)


# Keys that come again


async def topup_as_router(node: NodeUnderTest) -> bool:
    reader, writer = await connect(node.routers)
    router = Router(reader, writer)
    try:
        writer.write(router_request(77, "topup", BODY, dedupe=KEY, rep=1))
        return "result" in await router.answer(77)
    finally:
        await router.close()


async def topup_as_gateway(node: NodeUnderTest) -> bool:
    return (await ask(node.gateways, "POST", "/topup", BODY, HTTP_IDEMPOTENCY_KEY=KEY)).status == 200


FIRST_TRIES: dict[str, Callable[[NodeUnderTest], tuple[Address, bytes]]] = {
    "jsonrpc": lambda node: (node.routers, router_request(5, "topup", BODY, dedupe=KEY)),
    "uwsgi": lambda node: (
        node.gateways,
        uwsgi.encode(variables("POST", "/topup", HTTP_IDEMPOTENCY_KEY=KEY), BODY),
    ),
}
SECOND_TRIES: dict[str, Callable[[NodeUnderTest], Awaitable[bool]]] = {
    "jsonrpc": topup_as_router,
    "uwsgi": topup_as_gateway,
}


@pytest.mark.parametrize("again_after_s", [0.0, 1.0], ids=["at once", "later"])
@pytest.mark.parametrize("left_after_s", [0.0, 0.1], ids=["left at once", "left later"])
@pytest.mark.parametrize("by_reset", [True, False], ids=["reset", "orderly"])
@pytest.mark.parametrize("first", FIRST_TRIES)
@pytest.mark.parametrize("second", SECOND_TRIES)
def test_a_key_that_comes_again_after_its_client_has_left_runs_once_and_is_answered(
    first: str, second: str, by_reset: bool, left_after_s: float, again_after_s: float
) -> None:
    async def check() -> None:
        async with running_process() as node:
            node.backend.mean_duration = RUN_S
            connection = send_and_stay(*FIRST_TRIES[first](node))
            await asyncio.sleep(left_after_s)
            leave(connection, by_reset)
            await asyncio.sleep(again_after_s)
            assert await SECOND_TRIES[second](node)
            assert await SECOND_TRIES[first](node)
            await asyncio.sleep(RUN_S)
            assert len(node.runs) == 1

    run_async(check)


@pytest.mark.parametrize("by_reset", [True, False], ids=["reset", "orderly"])
@pytest.mark.parametrize("first", FIRST_TRIES)
@pytest.mark.parametrize("second", SECOND_TRIES)
def test_a_key_whose_client_left_while_it_waited_is_free_and_runs_once(
    first: str, second: str, by_reset: bool
) -> None:
    async def check() -> None:
        async with running_process(at_once=1) as node:
            node.backend.release.clear()
            busy = asyncio.ensure_future(ask(node.gateways, "GET", "/balance/1"))
            await until(lambda: node.runs)
            connection = send_and_stay(*FIRST_TRIES[first](node))
            await asyncio.sleep(0.1)
            leave(connection, by_reset)
            await asyncio.sleep(0.1)
            again = asyncio.ensure_future(SECOND_TRIES[second](node))
            await asyncio.sleep(0.1)
            node.backend.release.set()
            assert (await busy).status == 200
            assert await again
            assert sum(run.body == BODY for run in node.runs) == 1

    run_async(check)


@pytest.mark.parametrize("again_after_s", [0.0, 0.6], ids=["at once", "later"])
@pytest.mark.parametrize("left_after_s", [0.0, 0.1], ids=["left at once", "left later"])
@pytest.mark.parametrize("second", SECOND_TRIES)
def test_a_key_that_a_proxy_asked_about_and_left_is_forwarded_or_run_once(
    second: str, left_after_s: float, again_after_s: float
) -> None:
    async def check() -> None:
        async with running_process() as node:
            proxy = ProxyStub(node.streams.port, node.runs, verdict_timeout=2.0)
            asking = asyncio.ensure_future(proxy.ask("POST", "/topup", BODY, **{"idempotency-key": KEY}))
            await asyncio.sleep(left_after_s)
            await proxy.close()
            with contextlib.suppress(asyncio.CancelledError):
                await asking
            await asyncio.sleep(again_after_s)
            await SECOND_TRIES[second](node)
            await asyncio.sleep(0.2)
            assert len(node.runs) <= 1

    run_async(check)
