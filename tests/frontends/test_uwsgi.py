"""The uwsgi frontend: regular requests, invalid requests and unreadable streams."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from shelfhaven.frontends.connection import ConnectionState
from shelfhaven.frontends.jsonrpc import RouterConnection
from shelfhaven.lab.backend_stub import StubMode
from shelfhaven.lab.callers import connect, read_reply, until, variables
from shelfhaven.protocol import uwsgi
from shelfhaven.routing.request_mapping import RequestMapping
from tests.frontends.nodes import FrontendNode, result_body, running_node
from tests.peers import run_async

# Regular requests


def test_a_gateway_is_served_by_a_backend_that_gets_its_request() -> None:
    async def check() -> None:
        async with running_node() as node:
            headers = {"HTTP_X_TRACE": "t1", "HTTP_X_TIME_LEFT_MS": "900"}
            reply = await node.ask("GET", "/balance/234?full=1", b"", **headers)
            assert (reply.status, reply.body) == (200, b"made for /balance/234")
            assert reply.fields["content-type"] == "application/json"
            (request,) = node.backends[0].requests
            received = request.variables
            forwarded = (received["REQUEST_METHOD"], received["QUERY_STRING"], received["HTTP_X_TRACE"])
            assert forwarded == ("GET", "full=1", "t1")
            assert 0 < int(received["HTTP_X_TIME_LEFT_MS"]) <= 900
            assert "HTTP_IDEMPOTENCY_KEY" not in received

    run_async(check)


def test_a_router_is_served_by_the_same_backends() -> None:
    async def check() -> None:
        async with running_node() as node:
            router = await node.connect_router()
            router.request(1, "balance", org="retail")
            assert result_body(await router.answer(1)) == b"made for ask"
            assert node.runs[0].path == "/balance/any"

    run_async(check)


def test_a_listener_on_a_unix_socket_serves_and_removes_its_file() -> None:
    async def check() -> None:
        node = FrontendNode(1)
        node.gateway_address = Path(node.folder.name) / "gateway.sock"
        node.template_values["stop"] = "300ms"
        await node.start()
        assert (await node.ask("GET", "/balance/1")).status == 200
        node.app.request_drain()
        await node.task
        assert not node.gateway_address.exists()
        node.backends[0].stop()
        node.folder.cleanup()

    run_async(check)


def test_health_and_load_are_reported_on_their_own_paths() -> None:
    async def check() -> None:
        async with running_node() as node:
            assert (await node.ask("GET", "/-/health")).status == 200
            assert b'"load"' in (await node.ask("GET", "/-/load")).body
            node.app.request_drain()
            await until(lambda: not node.app.core.healthy)
            assert (await node.ask("GET", "/-/health")).status == 503
            assert not node.runs

    run_async(check)


def test_a_persistent_connection_carries_further_requests() -> None:
    async def check() -> None:
        async with running_node(listen="keep=true") as node:
            reader, writer = await connect(node.gateway_address)
            for number in range(3):
                writer.write(uwsgi.encode(variables("GET", f"/balance/{number}")))
                reply = await read_reply(reader)
                assert reply.body == b"made for /balance/%d" % number
                assert reply.fields["connection"] == "keep-alive"
            writer.close()

    run_async(check)


def test_answers_by_head_have_no_body_and_the_next_answer_is_read_in_place() -> None:
    # guards against bytes of one answer that are read as the next (docs/incidents/head-without-a-verdict.md)
    async def check() -> None:
        async with running_node(listen="keep=true") as node:
            reader, writer = await connect(node.gateway_address)
            for method, path, status in (
                ("HEAD", "/balance/1", 200),
                ("HEAD", "/nowhere", 404),
                ("HEAD", "/-/health", 200),
                ("GET", "/balance/2", 200),
            ):
                writer.write(uwsgi.encode(variables(method, path)))
                reply = await asyncio.wait_for(read_reply(reader, method), 5.0)
                assert reply.status == status
                assert bool(reply.body) == (method == "GET")
            assert reply.body == b"made for /balance/2"
            writer.close()

    run_async(check)


@pytest.mark.parametrize("backend_body", [b"", b"made for it"])
def test_a_run_by_head_ends_with_the_header_of_its_response(backend_body: bytes) -> None:
    # guards against runs by HEAD that fail as they wait for a body (docs/incidents/head-without-a-verdict.md)
    async def check() -> None:
        async with running_node() as node:
            node.backends[0].mode = StubMode.RAW
            node.backends[0].raw_response = b"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n" + backend_body
            reply = await node.ask("HEAD", "/balance/1")
            assert (reply.status, reply.body) == (200, b"")
            assert len(node.runs) == 1
            reply = await node.ask("GET", "/balance/1")  # a body that is cut short is no result
            assert (reply.status == 200) == bool(backend_body)
            assert reply.body == backend_body or not backend_body

    run_async(check)


def test_a_request_on_a_kept_connection_in_a_drain_is_looked_up_and_answered() -> None:
    # guards against "not run" for a top-up that ran (docs/incidents/not-run-on-a-kept-connection.md)
    async def check() -> None:
        async with running_node(listen="keep=true") as node:
            reader, writer = await connect(node.gateway_address)
            request = uwsgi.encode(variables("POST", "/topup", HTTP_IDEMPOTENCY_KEY="k"), b"five")
            writer.write(request)
            assert (await read_reply(reader)).fields["connection"] == "keep-alive"
            node.app.request_drain()
            await until(lambda: not node.app.core.healthy)
            writer.write(request)
            reply = await read_reply(reader)
            assert (reply.status, reply.body, reply.not_run) == (200, b"made for five", False)
            assert reply.fields["connection"] == "close"
            assert await reader.read() == b""
            assert len(node.runs) == 1

    run_async(check)


@pytest.mark.parametrize("keep", ["true", "false"])
def test_a_second_request_before_the_answer_ends_the_connection_after_it(keep: str) -> None:
    async def check() -> None:
        async with running_node(listen=f"keep={keep}") as node:
            reader, writer = await connect(node.gateway_address)
            writer.write(uwsgi.encode(variables("GET", "/balance/1")) * 2)
            assert (await read_reply(reader)).status == 200
            assert await reader.read() == b""
            assert len(node.runs) == 1

    run_async(check)


# Invalid requests and unreadable streams


def test_an_unexpected_error_is_answered_without_its_traceback(monkeypatch: pytest.MonkeyPatch) -> None:
    # guards against a request that is noted and never answered
    async def check() -> None:
        async with running_node() as node:

            def fail(*_: object) -> None:
                raise ValueError("a fault of the program")

            with monkeypatch.context() as patched:
                patched.setattr(RequestMapping, "map_request", fail)
                reader, writer = await connect(node.gateway_address)
                writer.write(uwsgi.encode(variables("GET", "/balance/1")))
                reply = await asyncio.wait_for(read_reply(reader), 5.0)
            assert (reply.status, reply.body) == (500, b"an error in this server\n")
            assert await asyncio.wait_for(reader.read(), 5.0) == b""
            writer.close()
            assert (await node.ask("GET", "/balance/1")).status == 200

    run_async(check)


def states(node: FrontendNode) -> set[ConnectionState]:
    """Return the states of the connections of routers."""
    connections = (item for listener in node.app.listeners for item in listener.connections)
    return {item.state for item in connections if isinstance(item, RouterConnection)}


def test_an_unexpected_error_costs_a_router_no_answer_that_is_owed(monkeypatch: pytest.MonkeyPatch) -> None:
    # guards against a request that is noted and never answered, on a connection that stays
    async def check() -> None:
        async with running_node() as node:
            router = await node.connect_router()
            node.backends[0].release.clear()
            node.send_topup(router, 1, "k")
            await until(lambda: node.runs)

            def fail(*_: object) -> None:
                raise ValueError("a fault of the program")

            with monkeypatch.context() as patched:
                patched.setattr(RouterConnection, "_build_submission", fail)
                node.send_topup(router, 2, "l")
                await until(lambda: states(node) == {ConnectionState.UNREADABLE})
            node.backends[0].release.set()
            assert result_body(await router.answer(1)) == b"made for five"
            await until(lambda: not states(node))

    run_async(check)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x05\x00\x00\x00", 501),
        (b"\x00\xff\xff\x00", 431),
        (b"\x00\x03\x00\x00\x09\x00a", 400),
        (uwsgi.encode(variables("GET", "/nowhere")), 404),
        (uwsgi.encode(variables("DELETE", "/topup")), 405),
        (uwsgi.encode(variables("POST", "/topup"), b"five"), 400),
        (uwsgi.encode(variables("POST", "/topup", HTTP_IDEMPOTENCY_KEY="k"), b"x" * 3000), 413),
        (uwsgi.encode(variables("GET", "/balance/1", HTTP_X_TENANT="nobody")), 403),
        (uwsgi.encode({"PATH_INFO": "/balance/1", "HTTP_X_RANK": "7"}), 400),
        (b"\x00\x10", 408),
        (b"", 408),
    ],
)
def test_an_invalid_request_is_answered_and_closes_only_its_own_connection(data: bytes, status: int) -> None:
    async def check() -> None:
        async with running_node() as node:
            reader, writer = await connect(node.gateway_address)
            writer.write(data)
            reply = await read_reply(reader)
            assert (reply.status, reply.not_run) == (status, True)
            assert await reader.read() == b""
            writer.close()
            assert not node.runs
            assert (await node.ask("GET", "/balance/1")).status == 200

    run_async(check)


def test_a_body_over_the_limit_is_rejected_while_it_is_still_being_received() -> None:
    async def check() -> None:
        async with running_node() as node:
            reader, writer = await connect(node.gateway_address)
            writer.write(uwsgi.encode(variables("POST", "/topup"), b"x" * 500_000)[:200_000])
            assert (await read_reply(reader)).status == 413
            for _ in range(10):
                writer.write(b"x" * 20_000)
                await writer.drain()
            assert await reader.read() == b""  # the stream ends; a reset could have overtaken the answer
            writer.close()

    run_async(check)


def test_a_request_followed_by_unexpected_bytes_is_still_answered() -> None:
    async def check() -> None:
        async with running_node() as node:
            node.backends[0].release.clear()
            reader, writer = await connect(node.gateway_address)
            writer.write(uwsgi.encode(variables("GET", "/balance/1")) + b"\x00\x00")
            await until(lambda: node.runs)
            node.backends[0].release.set()
            assert (await read_reply(reader)).status == 200
            assert await reader.read() == b""
            writer.close()

    run_async(check)


def test_a_connection_whose_answer_is_not_read_is_closed_after_a_timeout() -> None:
    async def check() -> None:
        async with running_node(listen='unread="200ms"') as node:
            large_response = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + b"x" * 1_000_000
            node.backends[0].mode = StubMode.RAW
            node.backends[0].raw_response = large_response
            reader, writer = await asyncio.open_connection(
                "127.0.0.1",
                node.gateway_address.port,  # type: ignore[union-attr]
                limit=1024,
            )
            writer.transport.get_extra_info("socket").setsockopt(1, 8, 4096)  # SOL_SOCKET, SO_RCVBUF
            writer.write(uwsgi.encode(variables("GET", "/balance/1")))
            await until(lambda: node.app.listeners[0].connections)
            await until(lambda: not node.app.listeners[0].connections)
            assert not node.app.core.requests
            writer.close()

    run_async(check)


def test_a_request_is_cancelled_when_its_caller_closes_the_connection() -> None:
    async def check() -> None:
        async with running_node() as node:
            node.backends[0].release.clear()
            _, writer = await connect(node.gateway_address)
            writer.write(uwsgi.encode(variables("GET", "/balance/1")))
            await until(lambda: node.runs)
            writer.close()
            await until(lambda: not node.app.core.requests.unanswered)
            node.backends[0].release.set()
            await until(lambda: not node.app.core.requests)

    run_async(check)
