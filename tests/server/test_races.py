"""Races between closing connections or the process and requests in progress, on real sockets.

Each race is forced: a stub or the test holds back one side until the other has reached the state in question.
docs/shutdown-and-races.md lists the races with the test of each.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
import struct
import time
from collections.abc import Iterator
from typing import Any

import orjson
import pytest

from shelfhaven.backends import agent as agents
from shelfhaven.config import Address
from shelfhaven.frontends import connection as connections
from shelfhaven.frontends.connection import Connection, ConnectionState
from shelfhaven.frontends.listener import Listener
from shelfhaven.lab.callers import until
from shelfhaven.lab.ports import reserved_port
from shelfhaven.program.app import Phase
from tests.peers import ServerUnderTest, run_async, running_server

UNFRAMED = b"nonsense\r\n\r\n"  # a header without a Content-Length


def framed(message: dict[str, Any] | bytes) -> bytes:
    """Return a message with its header."""
    body = message if isinstance(message, bytes) else orjson.dumps(message)
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def health_check(request_ref: int) -> bytes:
    """Return a complete health check with its header."""
    return framed({"jsonrpc": "2.0", "id": request_ref, "method": "alive"})


def request(request_ref: int) -> dict[str, Any]:
    """Return a request of the class "look"."""
    params = {
        "call": f"{request_ref:016x}", "recv": int(time.time() * 1000), "src": 1, "org": "one", "heap": 10.0,
        "crit": 0.5, "body": "YXNr",
    }  # fmt: skip
    return {"jsonrpc": "2.0", "id": request_ref, "method": "look", "params": params}


async def only_connection(server: ServerUnderTest) -> Connection:
    """Return the server's connection, once it has exactly one."""
    await until(lambda: len(server.app.listener.connections) == 1)
    return next(iter(server.app.listener.connections))


# The peer closes its sending side or the whole connection


def test_a_router_that_has_closed_its_sending_side_still_gets_its_answers() -> None:
    async def check() -> None:
        async with running_server() as server:
            router, attempt_id = await server.running_request()
            router.request(2)
            await until(lambda: len(server.agent.launched) == 2)
            connection = await only_connection(server)
            router.writer.write_eof()
            await until(lambda: connection.state is ConnectionState.PEER_HALF_CLOSED)
            server.agent.pass_run(attempt_id)
            assert "result" in await router.answer(1)
            server.agent.pass_run(f"{2:016x}")
            assert "result" in await router.answer(2)
            await until(lambda: router.ended)
            assert [len(router.messages_for(ref)) for ref in (1, 2)] == [1, 1]
            assert not server.app.listener.connections

    run_async(check)


def test_a_request_that_arrives_with_the_end_of_the_stream_is_answered() -> None:
    async def check() -> None:
        async with running_server() as server:
            router = await server.router()
            router.request(1)
            router.writer.write_eof()
            assert "result" in await router.answer(1)

    run_async(check)


@pytest.mark.parametrize("reset", [False, True])
def test_a_connection_closed_by_its_router_is_detected_before_the_run_ends(reset: bool) -> None:
    async def check() -> None:
        async with running_server() as server:
            router, attempt_id = await server.running_request()
            if reset:
                reset_on_close = struct.pack("ii", 1, 0)
                router_socket = router.writer.get_extra_info("socket")
                router_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset_on_close)
            await router.close()
            await until(lambda: not server.app.core.requests.unanswered)
            assert not server.app.listener.connections
            server.agent.pass_run(attempt_id)
            await until(lambda: not server.app.core.requests)

    run_async(check)


# Requests read together with malformed messages


def test_a_request_before_bytes_that_cannot_be_framed_is_answered() -> None:
    async def check() -> None:
        async with running_server() as server:
            router = await server.router()
            router.writer.write(health_check(1) + UNFRAMED)
            await until(lambda: router.ended)
            assert sorted(message["id"] or 0 for message in router.received) == [0, 1]
            assert "result" in router.messages_for(1)[0]

    run_async(check)


@pytest.mark.parametrize(
    "malformed",
    [b"{", b'{"jsonrpc":"2.0","method":"look"}', b'{"jsonrpc":"2.0","id":1,"method":"alive"}'],
    ids=["no JSON", "no id", "id in use"],
)
def test_requests_before_and_after_a_malformed_message_are_answered(malformed: bytes) -> None:
    async def check() -> None:
        async with running_server() as server:
            router = await server.router()
            router.writer.write(health_check(1) + framed(malformed) + health_check(2))
            await until(lambda: router.ended)
            assert sorted(message["id"] or 0 for message in router.received) == [0, 1, 2]
            assert all("result" in router.messages_for(ref)[0] for ref in (1, 2))

    run_async(check)


# Orderly closes


def test_closing_with_unread_bytes_does_not_reset_the_connection() -> None:
    async def check() -> None:
        async with running_server() as server:
            router, attempt_id = await server.running_request()
            router.writer.write(UNFRAMED)
            await until(lambda: router.received)  # the error reply; the server reads no further
            router.writer.write(b"x" * 100_000)
            await router.writer.drain()
            server.agent.pass_run(attempt_id)
            await asyncio.wait_for(router.task, 5)
            assert router.ended
            assert router.reader.exception() is None  # the stream ended without a reset
            assert "result" in router.messages_for(1)[0]

    run_async(check)


def test_a_close_waits_a_bounded_time_for_a_peer_that_does_not_close(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connections, "CLOSE_TIMEOUT_S", 0.1)

    async def check() -> None:
        async with running_server() as server:
            listen = server.app.config.listen
            assert listen
            with socket.create_connection((listen.host, listen.port)) as unclosed:
                unclosed.sendall(UNFRAMED)
                connection = await only_connection(server)
                await until(lambda: connection.state is ConnectionState.CLOSING)
                await until(lambda: not server.app.listener.connections)
                assert connection.state is ConnectionState.CLOSED
            assert server.app.descriptors.inbound == 0

    run_async(check)


def test_a_closing_connection_is_evicted_first(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connections, "CLOSE_TIMEOUT_S", 60.0)

    async def check() -> None:
        async with running_server(limits={"sockets": 16}) as server:
            listen = server.app.config.listen
            assert listen
            max_inbound = server.app.descriptors.max_inbound
            others = [await server.router() for _ in range(max_inbound - 1)]
            for number, other in enumerate(others):
                other.writer.write(health_check(number + 1))
                await other.answer(number + 1)
            with socket.create_connection((listen.host, listen.port)) as unclosed:
                unclosed.sendall(UNFRAMED)
                await until(
                    lambda: any(
                        connection.state is ConnectionState.CLOSING
                        for connection in server.app.listener.connections
                    )
                )
                newcomer = await server.router()
                newcomer.writer.write(health_check(9))
                assert "result" in await newcomer.answer(9)
            assert not any(other.ended for other in others)

    run_async(check)


def test_a_request_that_crosses_the_eviction_of_its_connection_is_not_run_and_can_be_retried(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    real_abort, idle_sockets = Connection.abort, list[socket.socket]()

    def send_and_abort(connection: Connection) -> None:
        """Let a request arrive after the connection was chosen for eviction, before it is closed."""
        for router_socket in idle_sockets[:1]:
            idle_sockets.clear()
            router_socket.sendall(framed(request(2)))
        real_abort(connection)

    async def check() -> None:
        async with running_server(limits={"sockets": 16}) as server:
            listen = server.app.config.listen
            assert listen
            with socket.create_connection((listen.host, listen.port)) as idle:
                connection = await only_connection(server)
                connection.silent, connection.last_used_at = False, connection.last_used_at - 60
                others = [await server.router() for _ in range(server.app.descriptors.max_inbound - 1)]
                for number, other in enumerate(others):
                    other.writer.write(health_check(number + 10))
                    await other.answer(number + 10)
                idle_sockets.append(idle)
                monkeypatch.setattr(Connection, "abort", send_and_abort)
                retrying = await server.router()
                retrying.send(request(2))
                assert "result" in await retrying.answer(2)
                assert not idle_sockets
                assert len(server.agent.launched) == 1, "the request that crossed the eviction was not run"
                idle.settimeout(1.0)
                with contextlib.suppress(ConnectionResetError):
                    assert idle.recv(100) == b"", "no part of an answer was sent"

    run_async(check)


def test_connections_that_have_sent_a_request_are_kept_and_silent_ones_evicted() -> None:
    async def check() -> None:
        async with running_server(limits={"sockets": 16}) as server:
            max_inbound = server.app.descriptors.max_inbound
            established = [await server.router() for _ in range(max_inbound // 2)]
            for number, router in enumerate(established):
                router.writer.write(health_check(number + 1))
                await router.answer(number + 1)
            for connection in server.app.listener.connections:
                connection.last_used_at -= 60  # idle for far longer than the silent connections
            partial_message = health_check(99)[:-5]
            silent = [await server.router() for _ in range(max_inbound - len(established))]
            for router in silent:
                router.writer.write(partial_message)
            await until(
                lambda: sum(connection.has_partial_message for connection in server.app.listener.connections)
                == len(silent)
            )
            newcomer = await server.router()
            newcomer.writer.write(health_check(9))
            assert "result" in await newcomer.answer(
                9
            ), "a silent connection is evicted when its message is overdue"
            assert not any(router.ended for router in established)
            for number, router in enumerate(established):
                router.writer.write(health_check(50 + number))
                assert "result" in await router.answer(50 + number)

    run_async(check)


def test_idle_connections_of_a_caller_with_more_than_its_share_are_evicted() -> None:
    async def check() -> None:
        async with running_server(limits={"sockets": 16}) as server:
            established = [await server.router() for _ in range(server.app.descriptors.max_inbound)]
            for number, router in enumerate(established):
                router.writer.write(health_check(number + 1))
                await router.answer(number + 1)
            for connection in server.app.listener.connections:
                connection.last_used_at -= 60
            newcomer = await server.router()
            newcomer.writer.write(health_check(9))
            assert "result" in await newcomer.answer(9)

    run_async(check)


def test_a_request_whose_last_byte_arrives_as_connections_are_closed_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    closing = asyncio.Event()
    real_close = Listener.close_connections

    async def signal_and_close(listener: Listener, time_left: float) -> None:
        closing.set()
        await real_close(listener, time_left)

    monkeypatch.setattr(Listener, "close_connections", signal_and_close)

    async def check() -> None:
        async with running_server(stop_ms=1000) as server:
            router = await server.router()
            message = health_check(1)
            router.writer.write(message[:-5])
            connection = await only_connection(server)
            await until(lambda: connection.has_partial_message)
            server.app.request_drain()
            await closing.wait()
            router.writer.write(message[-5:])
            assert "result" in await router.answer(1)
            await until(server.app_task.done)
            assert server.app_task.exception() is None

    run_async(check)


def test_a_request_after_the_server_closed_its_sending_side_is_not_run_and_the_process_ends() -> None:
    async def check() -> None:
        async with running_server(stop_ms=2000) as server:
            router = await server.router()
            router.writer.write(health_check(1))
            await router.answer(1)
            connection = await only_connection(server)
            server.app.request_drain()
            await until(lambda: connection.state is ConnectionState.CLOSING)
            router.request(2)
            await until(server.app_task.done)
            assert server.app.phase is Phase.ENDED
            assert not server.agent.launched
            assert not router.messages_for(2)

    run_async(check)


def test_the_accept_backlog_is_served_at_shutdown_even_with_all_descriptors_in_use() -> None:
    async def check() -> None:
        async with running_server() as server:
            idle = await server.router()
            idle.writer.write(health_check(1))
            await idle.answer(1)
            (await only_connection(server)).last_used_at -= 60
            listener = server.app.listener
            listener._stop_accepting()
            waiting = await server.router()
            listening_socket = listener.socket
            assert listening_socket
            listener.socket = NoDescriptorOnce(listening_socket)  # type: ignore[assignment]
            listener.stop_listening()
            waiting.writer.write(health_check(2))
            assert "result" in await waiting.answer(2)
            await until(lambda: idle.ended)

    run_async(check)


class NoDescriptorOnce:
    """A listening socket whose first accept fails because all descriptors are in use."""

    def __init__(self, listening_socket: socket.socket) -> None:
        self.listening_socket, self.failed = listening_socket, False

    def accept(self) -> tuple[socket.socket, Any]:
        """Fail once, then accept."""
        if not self.failed:
            self.failed = True
            raise OSError(errno.EMFILE, "too many open files")
        return self.listening_socket.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.listening_socket, name)


def test_an_unread_answer_is_kept_as_long_as_the_longest_deadline() -> None:
    async def check() -> None:
        async with running_server() as server:
            await server.router()
            connection = await only_connection(server)
            longest_deadline = max(settings.deadline for settings in server.app.config.settings.classes)
            assert connection.unread_answer_timeout == longest_deadline > 0

    run_async(check)


def test_a_router_that_reads_no_answers_is_disconnected_and_others_are_served() -> None:
    async def check() -> None:
        async with running_server() as server:
            slow = await server.router()
            slow.writer.transport.pause_reading()  # type: ignore[attr-defined]
            connection = await only_connection(server)
            connection.unread_answer_timeout = 0.2
            writing = connection.stream.write(bytes(32 * 1024 * 1024))  # more than the socket buffers hold
            writing.add_done_callback(lambda future: future.exception())
            assert connection.stream.writing()
            await until(connection.stream.closed)
            other = await server.router()
            other.writer.write(health_check(1))
            assert "result" in await other.answer(1)

    run_async(check)


def test_a_connect_to_the_agent_that_hangs_times_out_and_is_repeated(monkeypatch: pytest.MonkeyPatch) -> None:
    async def check() -> None:
        monkeypatch.setattr(agents, "CONNECT_TIMEOUT", 0.2)
        async with running_server() as server:
            with full_backlog() as (listening_socket, fillers):
                agent = server.app.peers.agent
                connected_stream = agent.stream
                agent.set_address(Address(*listening_socket.getsockname()))
                await until(lambda: agent.stream not in (connected_stream, None))
                hanging_stream = agent.stream
                await until(lambda: agent.stream not in (hanging_stream, None))  # the next connect
                for filler in fillers:
                    filler.close()
                listening_socket.setblocking(False)
                await until(lambda: accept_subscriber(listening_socket))

    run_async(check)


@contextlib.contextmanager
def full_backlog() -> Iterator[tuple[socket.socket, list[socket.socket]]]:
    """Yield a listening socket and the connections that fill its backlog, so that further connects hang."""
    with contextlib.ExitStack() as stack:
        listening_socket = stack.enter_context(socket.socket())
        listening_socket.bind(("127.0.0.1", reserved_port()))
        listening_socket.listen(0)
        fillers = [stack.enter_context(socket.socket()) for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(listening_socket.getsockname())
        yield listening_socket, fillers


def accept_subscriber(listening_socket: socket.socket) -> bool:
    """Accept the waiting connections; return whether one of them sent its subscription."""
    with contextlib.suppress(BlockingIOError):
        while True:
            accepted, _ = listening_socket.accept()
            with accepted:
                accepted.settimeout(0.05)
                with contextlib.suppress(TimeoutError):
                    if accepted.recv(100):
                        return True
    return False
