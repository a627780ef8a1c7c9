"""Clients that violate the routers' protocol or only occupy connections must not affect other clients."""

from __future__ import annotations

import contextlib

import pytest

from shelfhaven.frontends import listener
from shelfhaven.frontends.connection import Connection
from shelfhaven.lab.callers import until
from shelfhaven.protocol import jsonrpc
from tests.peers import run_async, running_server


def test_a_connection_without_a_message_is_closed_after_the_timeout_and_one_that_sent_a_request_is_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Connection, "message_timeout", 0.2)
    monkeypatch.setattr(listener, "STALL_CHECK_INTERVAL_S", 0.02)

    async def check() -> None:
        async with running_server() as server:
            silent, idle_router = await server.router(), await server.router()
            idle_router.request(1)
            await idle_router.answer(1)
            await until(lambda: silent.ended)
            assert not idle_router.ended

    run_async(check)


def test_a_connection_that_stalls_within_a_message_is_closed_after_its_outstanding_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Connection, "message_timeout", 0.2)
    monkeypatch.setattr(listener, "STALL_CHECK_INTERVAL_S", 0.02)

    async def check() -> None:
        async with running_server() as server:
            router, attempt_id = await server.running_request()
            router.writer.write(b"Content-Length: 500\r\n\r\n{")
            await until(lambda: router.received)
            assert router.received[0]["id"] is None
            assert not router.ended
            server.agent.pass_run(attempt_id)
            assert "result" in await router.answer(1)
            await until(lambda: router.ended)

    run_async(check)


def test_unused_connections_are_closed_for_new_ones_at_the_connection_limit() -> None:
    async def check() -> None:
        async with running_server(limits={"sockets": 40}) as server:
            server.agent.on_launch = server.agent.keep_running
            busy = await server.router()
            attempt_id = busy.request(1)
            # With the busy router, these reach the connection limit.
            idle_routers = [await server.router() for _ in range(19)]
            for number, idle_router in enumerate(idle_routers[:10]):
                idle_router.request(1, "unheard-of", call=f"{number + 100:016x}")
                await idle_router.answer(1)
            await until(lambda: len(server.app.listener.connections) == 20)
            waiting = await server.router()
            waiting.send({"jsonrpc": "2.0", "id": 2, "method": "alive"})
            assert (await waiting.answer(2))["result"]["green"] is True
            # Connections that never sent a request are closed first.
            assert not any(idle_router.ended for idle_router in idle_routers[:10])
            assert any(idle_router.ended for idle_router in idle_routers[10:])
            server.agent.pass_run(attempt_id)
            assert "result" in await busy.answer(1)

    run_async(check)


def test_a_connection_with_an_open_request_is_never_closed_for_a_new_one() -> None:
    async def check() -> None:
        async with running_server(limits={"sockets": 16}) as server:
            server.agent.on_launch = server.agent.keep_running
            busy_routers = [await server.router() for _ in range(3)]
            attempt_ids = [
                busy_router.request(1, call=f"{number + 100:016x}")
                for number, busy_router in enumerate(busy_routers)
            ]
            await until(lambda: len(server.agent.launched) == 3)
            waiting = await server.router()
            waiting.send({"jsonrpc": "2.0", "id": 2, "method": "alive"})
            await until(lambda: not server.app.listener.accepting)
            for attempt_id in attempt_ids:
                server.agent.pass_run(attempt_id)
            for busy_router in busy_routers:
                assert "result" in await busy_router.answer(1)
            assert "result" in await waiting.answer(2)

    run_async(check)


def test_many_cancelled_requests_are_each_answered_once_and_a_running_one_continues() -> None:
    async def check() -> None:
        async with running_server() as server:
            router, attempt_id = await server.running_request()
            for number in range(2, 300):
                router.request(number)
                router.send({"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": number}})
            router.send({"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": 999}})
            assert (await router.answer(299))["error"]["code"] == jsonrpc.CANCELLED
            server.agent.pass_run(attempt_id)
            assert "result" in await router.answer(1)
            assert sorted(message["id"] for message in router.received) == list(range(1, 300))
            await until(lambda: len(server.app.core.requests.unanswered) == 0)

    run_async(check)


@pytest.mark.parametrize("recv", [1.0, 4e15])
def test_an_implausible_arrival_time_is_rejected_and_does_not_affect_the_lag(recv: float) -> None:
    async def check() -> None:
        async with running_server() as server:
            router = await server.router()
            router.request(1, recv=recv)
            assert (await router.answer(1))["error"]["code"] == jsonrpc.INVALID_PARAMS
            assert server.app.core.controller.state.health.lag_detector.lag == 0.0
            router.request(2)
            assert "result" in await router.answer(2)

    run_async(check)


def test_an_attempt_id_that_is_in_use_is_rejected() -> None:
    async def check() -> None:
        async with running_server() as server:
            router, attempt_id = await server.running_request()
            stranger = await server.router()
            stranger.request(1, call=attempt_id)
            assert "error" in await stranger.answer(1)
            server.agent.pass_run(attempt_id)
            assert "result" in await router.answer(1)
            assert len(stranger.messages_for(1)) == 1

    run_async(check)


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        b"Content-Length: -5\r\n\r\n{}",
        b"Content-Length: 60000000\r\n\r\n",
        b"Content-Length: 99999999999999999999\r\n\r\n",
        b"x" * 5000,
        b"Content-Length: 2\r\n\r\n\xff\xfe",
    ],
)
@pytest.mark.parametrize("bytewise", [False, True])
def test_a_connection_that_sends_invalid_data_is_closed(data: bytes, bytewise: bool) -> None:
    async def check() -> None:
        async with running_server() as server:
            stranger = await server.router()
            for piece in (
                [data[number : number + 1] for number in range(min(len(data), 1100))] if bytewise else [data]
            ):
                stranger.writer.write(piece)
            await until(lambda: stranger.ended)
            assert not server.app.core.requests
            router = await server.router()
            router.request(1)
            assert "result" in await router.answer(1)

    run_async(check)


def test_a_connection_that_sends_a_60_mb_body_is_closed_before_its_end() -> None:
    async def check() -> None:
        async with running_server() as server:
            stranger = await server.router()
            stranger.writer.write(b"Content-Length: 60000000\r\n\r\n")
            with contextlib.suppress(ConnectionError):
                for _ in range(60):
                    stranger.writer.write(b"x" * 1_000_000)
                    await stranger.writer.drain()
            await until(lambda: stranger.ended)

    run_async(check)
