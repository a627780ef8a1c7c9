"""Ends of connections and of the process that cross what is still under way, on real sockets.

Each crossing is forced: a stand-in or the test holds back the other side until the state in question is
reached. docs/shutdown-and-races.md names the test of each crossing.
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

NONSENSE = b"nonsense\r\n\r\n"  # a head without a length


def framed(message: dict[str, Any] | bytes) -> bytes:
    """A message behind its head."""
    body = message if isinstance(message, bytes) else orjson.dumps(message)
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def health_check(ref: int) -> bytes:
    """A whole health check."""
    return framed({"jsonrpc": "2.0", "id": ref, "method": "alive"})


def request(ref: int) -> dict[str, Any]:
    """A request that runs."""
    params = {
        "call": f"{ref:016x}", "recv": int(time.time() * 1000), "src": 1, "org": "one", "heap": 10.0,
        "crit": 0.5, "body": "YXNr",
    }  # fmt: skip
    return {"jsonrpc": "2.0", "id": ref, "method": "look", "params": params}


async def the_connection(running: ServerUnderTest) -> Connection:
    """The one connection that the server holds."""
    await until(lambda: len(running.app.listener.connections) == 1)
    return next(iter(running.app.listener.connections))


# The peer ends its stream


def test_a_router_that_has_ended_its_stream_still_gets_its_answers() -> None:
    async def check() -> None:
        async with running_server() as server:
            router, call = await server.running_request()
            router.request(2)
            await until(lambda: len(server.agent.launched) == 2)
            connection = await the_connection(server)
            router.writer.write_eof()
            await until(lambda: connection.state is ConnectionState.PEER_HALF_CLOSED)
            server.agent.passed(call)
            assert "result" in await router.answer(1)
            server.agent.passed(f"{2:016x}")
            assert "result" in await router.answer(2)
            await until(lambda: router.ended)
            assert [len(router.of(ref)) for ref in (1, 2)] == [1, 1]
            assert not server.app.listener.connections

    run_async(check)


def test_a_request_that_comes_with_the_end_of_its_stream_is_answered() -> None:
    async def check() -> None:
        async with running_server() as server:
            router = await server.router()
            router.request(1)
            router.writer.write_eof()
            assert "result" in await router.answer(1)

    run_async(check)


@pytest.mark.parametrize("reset", [False, True])
def test_a_router_that_is_gone_altogether_is_found_out_before_its_run_ends(reset: bool) -> None:
    async def check() -> None:
        async with running_server() as server:
            router, call = await server.running_request()
            if reset:
                linger = struct.pack("ii", 1, 0)
                raw = router.writer.get_extra_info("socket")
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            await router.close()
            await until(lambda: not server.app.core.requests.unanswered)
            assert not server.app.listener.connections
            server.agent.passed(call)
            await until(lambda: not server.app.core.requests)

    run_async(check)


# Requests read together with what cannot be read


def test_a_request_before_bytes_that_cannot_be_cut_is_answered() -> None:
    async def check() -> None:
        async with running_server() as server:
            router = await server.router()
            router.writer.write(health_check(1) + NONSENSE)
            await until(lambda: router.ended)
            assert sorted(message["id"] or 0 for message in router.got) == [0, 1]
            assert "result" in router.of(1)[0]

    run_async(check)


@pytest.mark.parametrize(
    "bad",
    [b"{", b'{"jsonrpc":"2.0","method":"look"}', b'{"jsonrpc":"2.0","id":1,"method":"alive"}'],
    ids=["no JSON", "no id", "an open id"],
)
def test_requests_around_a_message_that_cannot_be_read_are_answered(bad: bytes) -> None:
    async def check() -> None:
        async with running_server() as server:
            router = await server.router()
            router.writer.write(health_check(1) + framed(bad) + health_check(2))
            await until(lambda: router.ended)
            assert sorted(message["id"] or 0 for message in router.got) == [0, 1, 2]
            assert all("result" in router.of(ref)[0] for ref in (1, 2))

    run_async(check)


# Closes in order


def test_a_close_over_unread_bytes_does_not_reset_what_was_answered() -> None:
    async def check() -> None:
        async with running_server() as server:
            router, call = await server.running_request()
            router.writer.write(NONSENSE)
            await until(lambda: router.got)  # it is told so, and nothing more is read from it
            router.writer.write(b"x" * 100_000)
            await router.writer.drain()
            server.agent.passed(call)
            await asyncio.wait_for(router.task, 5)
            assert router.ended
            assert router.reader.exception() is None  # an end of stream, no reset
            assert "result" in router.of(1)[0]

    run_async(check)


def test_a_close_waits_a_bounded_time_for_a_peer_that_does_not_end(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connections, "CLOSE_TIMEOUT_S", 0.1)

    async def check() -> None:
        async with running_server() as server:
            listen = server.app.config.listen
            assert listen
            with socket.create_connection((listen.host, listen.port)) as stubborn:
                stubborn.sendall(NONSENSE)  # and it never closes
                connection = await the_connection(server)
                await until(lambda: connection.state is ConnectionState.CLOSING)
                await until(lambda: not server.app.listener.connections)
                assert connection.state is ConnectionState.CLOSED
            assert server.app.descriptors.inbound == 0

    run_async(check)


def test_a_connection_that_waits_for_its_peers_end_makes_room_first(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connections, "CLOSE_TIMEOUT_S", 60.0)

    async def check() -> None:
        async with running_server(limits={"sockets": 16}) as server:
            listen = server.app.config.listen
            assert listen
            most = server.app.descriptors.max_inbound
            others = [await server.router() for _ in range(most - 1)]
            for number, other in enumerate(others):
                other.writer.write(health_check(number + 1))
                await other.answer(number + 1)
            with socket.create_connection((listen.host, listen.port)) as stubborn:
                stubborn.sendall(NONSENSE)
                await until(
                    lambda: any(
                        connection.state is ConnectionState.CLOSING
                        for connection in server.app.listener.connections
                    )
                )
                late = await server.router()
                late.writer.write(health_check(9))
                assert "result" in await late.answer(9)
            assert not any(other.ended for other in others)

    run_async(check)


def test_a_request_that_crosses_the_close_of_an_idle_connection_is_not_run_and_may_come_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    drop, crossing = Connection.abort, list[socket.socket]()

    def crossed(connection: Connection) -> None:
        """A request comes after the look, before the close."""
        for router in crossing[:1]:
            crossing.clear()
            router.sendall(framed(request(2)))
        drop(connection)

    async def check() -> None:
        async with running_server(limits={"sockets": 16}) as server:
            listen = server.app.config.listen
            assert listen
            with socket.create_connection((listen.host, listen.port)) as idle:
                connection = await the_connection(server)
                connection.silent, connection.used = False, connection.used - 60
                others = [await server.router() for _ in range(server.app.descriptors.max_inbound - 1)]
                for number, other in enumerate(others):
                    other.writer.write(health_check(number + 10))
                    await other.answer(number + 10)
                crossing.append(idle)
                monkeypatch.setattr(Connection, "abort", crossed)
                again = await server.router()
                again.send(request(2))
                assert "result" in await again.answer(2)
                assert not crossing
                assert len(server.agent.launched) == 1, "the one that crossed the close was not run"
                idle.settimeout(1.0)
                with contextlib.suppress(ConnectionResetError):
                    assert idle.recv(100) == b"", "no answer, and none half sent"

    run_async(check)


def test_callers_that_have_asked_keep_their_connections_while_silent_ones_fill_the_rest() -> None:
    async def check() -> None:
        async with running_server(limits={"sockets": 16}) as server:
            most = server.app.descriptors.max_inbound
            known = [await server.router() for _ in range(most // 2)]
            for number, router in enumerate(known):
                router.writer.write(health_check(number + 1))
                await router.answer(number + 1)
            for connection in server.app.listener.connections:
                connection.used -= 60  # they have been idle for far longer than any newcomer
            half = health_check(99)[:-5]
            silent = [await server.router() for _ in range(most - len(known))]
            for router in silent:
                router.writer.write(half)
            await until(
                lambda: sum(connection.has_partial_message for connection in server.app.listener.connections)
                == len(silent)
            )
            late = await server.router()
            late.writer.write(health_check(9))
            assert "result" in await late.answer(9), "once a silent one has had its time"
            assert not any(router.ended for router in known)
            for number, router in enumerate(known):
                router.writer.write(health_check(50 + number))
                assert "result" in await router.answer(50 + number)

    run_async(check)


def test_callers_that_have_asked_and_hold_more_than_their_part_make_room() -> None:
    async def check() -> None:
        async with running_server(limits={"sockets": 16}) as server:
            known = [await server.router() for _ in range(server.app.descriptors.max_inbound)]
            for number, router in enumerate(known):
                router.writer.write(health_check(number + 1))
                await router.answer(number + 1)
            for connection in server.app.listener.connections:
                connection.used -= 60
            late = await server.router()
            late.writer.write(health_check(9))
            assert "result" in await late.answer(9)

    run_async(check)


def test_a_request_whose_last_byte_comes_at_the_very_end_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    ending = asyncio.Event()
    end = Listener.close_connections

    async def ends(listener: Listener, left: float) -> None:
        ending.set()
        await end(listener, left)

    monkeypatch.setattr(Listener, "close_connections", ends)

    async def check() -> None:
        async with running_server(stop_ms=1000) as server:
            router = await server.router()
            message = health_check(1)
            router.writer.write(message[:-5])
            connection = await the_connection(server)
            await until(lambda: connection.has_partial_message)
            server.app.request_drain()
            await ending.wait()
            router.writer.write(message[-5:])
            assert "result" in await router.answer(1)
            await until(server.app_task.done)
            assert server.app_task.exception() is None

    run_async(check)


def test_what_comes_after_this_sides_end_is_never_run_and_the_process_ends() -> None:
    async def check() -> None:
        async with running_server(stop_ms=2000) as server:
            router = await server.router()
            router.writer.write(health_check(1))
            await router.answer(1)
            connection = await the_connection(server)
            server.app.request_drain()
            await until(lambda: connection.state is ConnectionState.CLOSING)
            router.request(2)
            await until(server.app_task.done)
            assert server.app.phase is Phase.ENDED
            assert not server.agent.launched
            assert not router.of(2)

    run_async(check)


def test_the_backlog_is_taken_at_the_end_even_with_all_descriptors_in_use() -> None:
    async def check() -> None:
        async with running_server() as server:
            idle = await server.router()
            idle.writer.write(health_check(1))
            await idle.answer(1)
            (await the_connection(server)).used -= 60
            listener = server.app.listener
            listener._stop_accepting()
            waiting = await server.router()
            listening = listener.socket
            assert listening
            listener.socket = FullOnce(listening)  # type: ignore[assignment]
            listener.stop_listening()
            waiting.writer.write(health_check(2))
            assert "result" in await waiting.answer(2)
            await until(lambda: idle.ended)

    run_async(check)


class FullOnce:
    """A listening socket whose first accept finds no descriptor."""

    def __init__(self, listening: socket.socket) -> None:
        self.listening, self.failed = listening, False

    def accept(self) -> tuple[socket.socket, Any]:
        """Fail once, then accept."""
        if not self.failed:
            self.failed = True
            raise OSError(errno.EMFILE, "too many open files")
        return self.listening.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.listening, name)


def test_an_answer_that_nobody_takes_is_held_no_longer_than_anybody_waits() -> None:
    async def check() -> None:
        async with running_server() as server:
            await server.router()
            connection = await the_connection(server)
            longest = max(settings.deadline for settings in server.app.config.settings.classes)
            assert connection.unread_answer_timeout == longest > 0

    run_async(check)


def test_a_router_that_takes_no_answers_is_dropped_in_time_and_the_others_are_served() -> None:
    async def check() -> None:
        async with running_server() as server:
            slow = await server.router()
            slow.writer.transport.pause_reading()  # type: ignore[attr-defined]
            connection = await the_connection(server)
            connection.unread_answer_timeout = 0.2
            writing = connection.stream.write(bytes(32 * 1024 * 1024))  # more than the system takes for it
            writing.add_done_callback(lambda done: done.exception())
            assert connection.stream.writing()
            await until(connection.stream.closed)
            other = await server.router()
            other.writer.write(health_check(1))
            assert "result" in await other.answer(1)

    run_async(check)


def test_a_dial_to_the_agent_that_hangs_is_given_up_and_tried_again(monkeypatch: pytest.MonkeyPatch) -> None:
    async def check() -> None:
        monkeypatch.setattr(agents, "CONNECT_TIMEOUT", 0.2)
        async with running_server() as server:
            with hanging() as (listening, fillers):
                link = server.app.peers.agent
                linked = link.stream
                link.move(Address(*listening.getsockname()))
                await until(lambda: link.stream not in (linked, None))
                hangs = link.stream
                await until(lambda: link.stream not in (hangs, None))  # another dial
                for filler in fillers:
                    filler.close()
                listening.setblocking(False)
                await until(lambda: accepted(listening))

    run_async(check)


@contextlib.contextmanager
def hanging() -> Iterator[tuple[socket.socket, list[socket.socket]]]:
    """A listening socket whose backlog is full: the system answers no further dial."""
    with contextlib.ExitStack() as stack:
        listening = stack.enter_context(socket.socket())
        listening.bind(("127.0.0.1", reserved_port()))
        listening.listen(0)
        fillers = [stack.enter_context(socket.socket()) for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(listening.getsockname())
        yield listening, fillers


def accepted(listening: socket.socket) -> bool:
    """Take what has connected; whether one of them has subscribed as a program does."""
    with contextlib.suppress(BlockingIOError):
        while True:
            connected, _ = listening.accept()
            with connected:
                connected.settimeout(0.05)
                with contextlib.suppress(TimeoutError):
                    if connected.recv(100):
                        return True
    return False
