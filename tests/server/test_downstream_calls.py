"""Downstream calls: their time limits and descriptors, and what comes on connections that are kept."""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import pytest

from shelfhaven.backends import ledger
from shelfhaven.backends.ledger import Ledger
from shelfhaven.config import Address
from shelfhaven.decision.settings import Outcome
from shelfhaven.lab import platform as peers
from shelfhaven.lab.callers import Router, until
from shelfhaven.lab.ports import reserved_port
from shelfhaven.server import messages
from shelfhaven.server.descriptors import Descriptors
from shelfhaven.server.log import Log
from tests.peers import NULL, ServerUnderTest, run_async, running_server


def attempt_id(request_id: int) -> str:
    return f"{request_id:016x}"


@dataclass
class Caller:
    """The ledger's actor, the descriptors that it may use, and what it tells of its calls."""

    address: Address | None
    descriptors: Descriptors = field(default_factory=lambda: Descriptors(64))
    completed: list[messages.CallCompleted] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.actor = Ledger(self.address, self.descriptors, self.completed.append, Log("test", NULL))

    def place(self, request_id: int, timeout: float) -> None:
        self.actor.put(messages.PlaceCall(request_id, attempt_id(request_id), timeout, b""))

    async def first_completions(self) -> list[messages.CallCompleted]:
        """What is told of calls, once anything is."""
        await until(lambda: self.completed)
        return self.completed


@contextlib.asynccontextmanager
async def calling(service: peers.Ledger) -> AsyncIterator[Caller]:
    """A caller of a service, which is started."""
    await service.start()
    caller = Caller(Address("127.0.0.1", service.port))
    yield caller
    caller.actor.end()


@contextlib.asynccontextmanager
async def site_with_calls() -> AsyncIterator[tuple[ServerUnderTest, Router]]:
    """A server each of whose runs calls downstream, and a router."""
    async with running_server() as server:
        server.agent.on_launch = server.agent.call_downstream
        yield server, await server.router()


def test_after_a_stall_a_reply_is_read_before_its_call_is_given_up() -> None:
    async def check() -> None:
        service = peers.Ledger()
        async with calling(service) as caller:
            # the loop stands still with the reply in the socket
            service.after_reply = lambda: time.sleep(0.4)
            caller.place(1, timeout=0.3)
            expected = messages.CallCompleted(1, Outcome.OK, b"done")
            assert await caller.first_completions() == [expected]

    run_async(check)


def test_a_call_that_runs_out_is_given_up_and_may_have_run() -> None:
    async def check() -> None:
        service = peers.Ledger()
        service.reply = None
        async with calling(service) as caller:
            caller.place(1, timeout=0.05)
            assert await caller.first_completions() == [messages.CallCompleted(1, Outcome.TIMEOUT)]
            await until(lambda: service.closed)

    run_async(check)


def test_a_call_without_a_connection_in_time_never_ran() -> None:
    async def check() -> None:
        service = peers.Ledger()
        service.reply = None
        async with calling(service) as caller:
            caller.descriptors.capacity = caller.descriptors.reserved_outbound = 1
            caller.place(1, timeout=60.0)
            caller.place(2, timeout=0.05)
            caller.place(3, timeout=60.0)
            expected = [messages.CallCompleted(2, Outcome.CONNECT_FAILED)]
            assert await caller.first_completions() == expected
            caller.actor.put(messages.CancelCall(1))
            await until(lambda: len(service.calls) == 2)
            assert [attempt for attempt, _ in service.calls] == [attempt_id(1), attempt_id(3)]
            assert caller.completed == expected

    run_async(check)


def test_a_refused_connection_proves_that_no_call_ran() -> None:
    async def check() -> None:
        caller = Caller(Address("127.0.0.1", reserved_port()))
        caller.place(1, timeout=5.0)
        assert await caller.first_completions() == [messages.CallCompleted(1, Outcome.CONNECT_FAILED)]

    run_async(check)


def test_a_server_of_the_last_tier_calls_nobody() -> None:
    async def check() -> None:
        caller = Caller(None)
        caller.place(1, timeout=5.0)
        assert await caller.first_completions() == [messages.CallCompleted(1, Outcome.CONNECT_FAILED)]

    run_async(check)


def test_calls_wait_when_the_system_gives_no_socket(monkeypatch: pytest.MonkeyPatch) -> None:
    async def check() -> None:
        async with calling(peers.Ledger()) as caller:

            def fail(*_: object) -> socket.socket:
                raise OSError(24, "too many open files")

            with monkeypatch.context() as patch:
                patch.setattr("shelfhaven.backends.ledger.socket.socket", fail)
                caller.actor._take(messages.PlaceCall(1, attempt_id(1), 60.0, b""))
            assert (caller.completed, caller.descriptors.outbound) == ([], 0)
            caller.descriptors.release_inbound()  # a descriptor is back
            expected = messages.CallCompleted(1, Outcome.OK, b"done")
            assert await caller.first_completions() == [expected]

    run_async(check)


@pytest.mark.parametrize(
    "reply",
    [
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood" * 2,
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngoodnoise\r\n",
    ],
)
def test_what_comes_with_a_good_reply_reaches_no_other_call(
    reply: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ledger, "MIN_IDLE_TIME", 0.0)

    async def check() -> None:
        async with site_with_calls() as (server, router):
            server.ledger.reply = reply
            router.request(1)
            assert "result" in await router.answer(1)
            is_kept = b"100" in reply
            assert len(server.app.peers.ledger.idle) == is_kept
            server.ledger.reply = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
            router.request(2)
            assert "result" in await router.answer(2)
            assert [body for _, body in server.agent.delivered] == [b"good", b"other"]
            assert server.ledger.connections == (1 if is_kept else 2)

    run_async(check)


@pytest.mark.parametrize("late", [b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood", b"noise", b""])
def test_what_comes_late_on_a_resting_connection_ends_it_and_the_trust_in_others(
    late: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ledger, "MIN_IDLE_TIME", 0.0)

    async def check() -> None:
        async with site_with_calls() as (server, router):
            for number, connections in ((1, 1), (2, 1), (3, 2), (4, 3)):
                router.request(number)
                assert "result" in await router.answer(number)
                assert server.ledger.connections == connections
                if number == 2:
                    writer = server.ledger.writers[0]
                    writer.write(late) if late else writer.close()
                    await until(lambda: not server.app.peers.ledger.connections)
            assert [body for _, body in server.agent.delivered] == [b"done"] * 4

    run_async(check)


def test_connections_that_this_side_ends_cost_no_trust_in_others(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ledger, "MIN_IDLE_TIME", 0.0)

    async def check() -> None:
        async with site_with_calls() as (server, router):
            router.request(1)
            assert "result" in await router.answer(1)
            server.ledger.reply = None
            call = router.request(2)  # on the kept connection, given up as its run ends
            await until(lambda: len(server.ledger.calls) == 2)
            server.agent.notice(f"outcome # {call} KILLED 5", b"")
            assert "error" in await router.answer(2)
            await until(lambda: not server.app.peers.ledger.connections)
            assert server.ledger.connections == 1
            assert server.app.peers.ledger.reusable_from == 0.0

    run_async(check)


def test_a_call_that_waits_gets_the_descriptor_of_a_resting_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ledger, "MIN_IDLE_TIME", 60.0)

    async def check() -> None:
        async with site_with_calls() as (server, router):
            descriptors = server.app.peers.ledger.descriptors
            descriptors.capacity = descriptors.reserved_outbound = 1
            for number in (1, 2, 3):
                router.request(number)
                assert "result" in await router.answer(number)
            assert server.ledger.connections == 3

    run_async(check)
