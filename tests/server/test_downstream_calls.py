"""Downstream calls: timeouts, descriptors, and unexpected bytes on reused connections."""

from __future__ import annotations

import asyncio
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


def attempt_id_of(request_id: int) -> str:
    return f"{request_id:016x}"


@dataclass
class LedgerHarness:
    """The ledger's actor with its descriptors, and the `CallCompleted` messages that it has sent."""

    address: Address | None
    descriptors: Descriptors = field(default_factory=lambda: Descriptors(64))
    completed: list[messages.CallCompleted] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.actor = Ledger(self.address, self.descriptors, self.completed.append, Log("test", NULL))

    def place(self, request_id: int, timeout: float) -> None:
        self.actor.put(messages.PlaceCall(request_id, attempt_id_of(request_id), timeout, b""))

    async def first_completions(self) -> list[messages.CallCompleted]:
        """Return the completions of calls as soon as there are any."""
        await until(lambda: self.completed)
        return self.completed


@contextlib.asynccontextmanager
async def ledger_harness(service: peers.Ledger) -> AsyncIterator[LedgerHarness]:
    """Start a ledger stub and yield a harness that calls it."""
    await service.start()
    harness = LedgerHarness(Address("127.0.0.1", service.port))
    yield harness
    harness.actor.end()


def reply_with(body: bytes) -> bytes:
    """Return a ledger's reply that the call went well."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def reply_naming_call(transaction_ref: str) -> bytes:
    """Return a reply that no other call gets."""
    return reply_with(transaction_ref.encode())


async def make_first_call(server: ServerUnderTest, router: Router) -> None:
    """Make a call whose reply is the first of its ledger; its connection is not used again."""
    server.ledger.reply = reply_with(b"first")
    router.request(100)
    assert "result" in await router.answer(100)
    await until(lambda: not server.app.peers.ledger.connections)
    server.agent.delivered.clear()


@contextlib.asynccontextmanager
async def site_with_calls() -> AsyncIterator[tuple[ServerUnderTest, Router]]:
    """Yield a router and a server on which every run makes a downstream call."""
    async with running_server() as server:
        server.agent.on_launch = server.agent.call_downstream
        yield server, await server.router()


def test_after_a_stall_of_the_loop_a_waiting_reply_is_read_before_the_timeout_counts() -> None:
    async def check() -> None:
        service = peers.Ledger()
        async with ledger_harness(service) as harness:
            # The event loop stalls for longer than the timeout while the reply is in the socket.
            service.after_reply = lambda: time.sleep(0.4)
            harness.place(1, timeout=0.3)
            expected = messages.CallCompleted(1, Outcome.OK, b"done")
            assert await harness.first_completions() == [expected]

    run_async(check)


def test_a_call_that_times_out_may_have_run() -> None:
    async def check() -> None:
        service = peers.Ledger()
        service.reply = None
        async with ledger_harness(service) as harness:
            harness.place(1, timeout=0.05)
            assert await harness.first_completions() == [messages.CallCompleted(1, Outcome.TIMEOUT)]
            await until(lambda: service.closed)

    run_async(check)


def test_a_call_that_gets_no_connection_before_its_timeout_never_ran() -> None:
    async def check() -> None:
        service = peers.Ledger()
        service.reply = None
        async with ledger_harness(service) as harness:
            harness.descriptors.capacity = harness.descriptors.reserved_outbound = 1
            harness.place(1, timeout=60.0)
            harness.place(2, timeout=0.05)
            harness.place(3, timeout=60.0)
            expected = [messages.CallCompleted(2, Outcome.CONNECT_FAILED)]
            assert await harness.first_completions() == expected
            harness.actor.put(messages.CancelCall(1))
            await until(lambda: len(service.calls) == 2)
            assert [attempt for attempt, _ in service.calls] == [attempt_id_of(1), attempt_id_of(3)]
            assert harness.completed == expected

    run_async(check)


def test_a_refused_connection_proves_that_no_call_ran() -> None:
    async def check() -> None:
        harness = LedgerHarness(Address("127.0.0.1", reserved_port()))
        harness.place(1, timeout=5.0)
        assert await harness.first_completions() == [messages.CallCompleted(1, Outcome.CONNECT_FAILED)]

    run_async(check)


def test_without_a_ledger_address_every_call_fails_as_unconnected() -> None:
    async def check() -> None:
        harness = LedgerHarness(None)
        harness.place(1, timeout=5.0)
        assert await harness.first_completions() == [messages.CallCompleted(1, Outcome.CONNECT_FAILED)]

    run_async(check)


def test_a_call_waits_if_no_socket_can_be_opened(monkeypatch: pytest.MonkeyPatch) -> None:
    async def check() -> None:
        async with ledger_harness(peers.Ledger()) as harness:

            def fail(*_: object) -> socket.socket:
                raise OSError(24, "too many open files")

            with monkeypatch.context() as patch:
                patch.setattr("shelfhaven.backends.ledger.socket.socket", fail)
                harness.actor._handle_message(messages.PlaceCall(1, attempt_id_of(1), 60.0, b""))
            assert (harness.completed, harness.descriptors.outbound) == ([], 0)
            harness.descriptors.release_inbound()  # a descriptor is free again
            expected = messages.CallCompleted(1, Outcome.OK, b"done")
            assert await harness.first_completions() == [expected]

    run_async(check)


@pytest.mark.parametrize(
    "reply",
    [
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood" * 2,
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngoodnoise\r\n",
    ],
)
def test_extra_bytes_with_a_reply_reach_no_other_call(reply: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ledger, "MIN_IDLE_TIME", 0.0)

    async def check() -> None:
        async with site_with_calls() as (server, router):
            await make_first_call(server, router)
            server.ledger.reply = reply
            router.request(1)
            assert "result" in await router.answer(1)
            is_reused = b"100" in reply
            assert len(server.app.peers.ledger.idle) == is_reused
            server.ledger.reply = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
            router.request(2)
            assert "result" in await router.answer(2)
            assert [body for _, body in server.agent.delivered] == [b"good", b"other"]
            assert server.ledger.connections == (2 if is_reused else 3)

    run_async(check)


@pytest.mark.parametrize("late_bytes", [b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood", b"noise", b""])
def test_late_bytes_or_a_close_on_an_idle_connection_end_the_reuse_of_connections(
    late_bytes: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ledger, "MIN_IDLE_TIME", 0.0)

    async def check() -> None:
        async with site_with_calls() as (server, router):
            await make_first_call(server, router)
            replies = [b"good", b"fair", b"fine", b"sound"]
            for number, connections in ((1, 2), (2, 2), (3, 3), (4, 4)):
                server.ledger.reply = reply_with(replies[number - 1])
                router.request(number)
                assert "result" in await router.answer(number)
                assert server.ledger.connections == connections
                if number == 2:
                    writer = server.ledger.writers[1]
                    writer.write(late_bytes) if late_bytes else writer.close()
                    await until(lambda: not server.app.peers.ledger.connections)
            assert [body for _, body in server.agent.delivered] == replies

    run_async(check)


def test_closing_a_connection_on_this_side_does_not_end_the_reuse_of_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ledger, "MIN_IDLE_TIME", 0.0)

    async def check() -> None:
        async with site_with_calls() as (server, router):
            await make_first_call(server, router)
            server.ledger.reply = reply_with(b"second")
            router.request(1)
            assert "result" in await router.answer(1)
            server.ledger.reply = None
            run_id = router.request(2)  # its call uses the idle connection and is cancelled with the run
            await until(lambda: len(server.ledger.calls) == 3)
            server.agent.notice(f"outcome # {run_id} KILLED 5", b"")
            assert "error" in await router.answer(2)
            await until(lambda: not server.app.peers.ledger.connections)
            assert server.ledger.connections == 2
            assert server.app.peers.ledger.reusable_from == 0.0

    run_async(check)


@pytest.mark.parametrize("calls_late", [1, 2])
def test_a_late_copy_of_a_reply_is_not_taken_for_the_reply_to_a_later_call(
    calls_late: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a foreign reply: a copy that comes while a later call waits on the connection."""
    monkeypatch.setattr(ledger, "MIN_IDLE_TIME", 0.0)

    async def check() -> None:
        service = peers.Ledger()
        service.reply_to = reply_naming_call
        async with ledger_harness(service) as harness:
            for request_id in range(1, 2 + calls_late):
                harness.place(request_id, timeout=5.0)
                await until(lambda: len(harness.completed) == len(service.calls) == request_id)  # noqa: B023
            service.reply_to = None
            service.reply = None
            waiting = 2 + calls_late
            harness.place(waiting, timeout=5.0)
            await until(lambda: len(service.calls) == waiting)
            assert service.connections == 2, "the connection is used again"
            service.writers[-1].write(reply_naming_call(attempt_id_of(2)))
            await asyncio.sleep(0.1)
            assert len(harness.completed) == waiting - 1
            service.writers[-1].write(reply_naming_call(attempt_id_of(waiting)))
            await until(lambda: len(harness.completed) == waiting)
            bodies = [completed.body for completed in harness.completed]
            assert bodies == [attempt_id_of(number).encode() for number in range(1, waiting + 1)]
            assert not harness.actor.idle, "connections are not used again for some time"

    run_async(check)


def test_calls_to_a_ledger_whose_replies_are_all_alike_are_answered_each_on_its_own_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a reply that is taken for a copy because another call got an equal one."""
    monkeypatch.setattr(ledger, "MIN_IDLE_TIME", 0.0)

    async def check() -> None:
        service = peers.Ledger()
        async with ledger_harness(service) as harness:
            for request_id in range(1, 6):
                harness.place(request_id, timeout=5.0)
                await until(lambda: len(harness.completed) == request_id)  # noqa: B023
            assert {completed.outcome for completed in harness.completed} == {Outcome.OK}
            assert service.connections == 5

    run_async(check)


def test_a_ledger_that_begins_to_refuse_calls_is_heard_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a second refusal being taken for a copy of the first, so that its call times out."""
    monkeypatch.setattr(ledger, "MIN_IDLE_TIME", 0.0)

    async def check() -> None:
        service = peers.Ledger()
        service.reply_to = reply_naming_call
        async with ledger_harness(service) as harness:
            for request_id in range(1, 6):
                if request_id == 3:
                    service.reply_to = None
                    service.reply = b"HTTP/1.1 503 Busy\r\nX-Untouched: 1\r\nContent-Length: 0\r\n\r\n"
                harness.place(request_id, timeout=30.0)
                await until(lambda: len(harness.completed) == request_id)  # noqa: B023
            outcomes = [completed.outcome for completed in harness.completed]
            assert outcomes == [Outcome.OK] * 2 + [Outcome.REJECTED] * 3

    run_async(check)


def test_equal_replies_to_two_calls_of_one_request_reach_both(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the reply to a request's second call being taken for a copy of the first one's."""
    monkeypatch.setattr(ledger, "MIN_IDLE_TIME", 0.0)

    async def check() -> None:
        service = peers.Ledger()
        service.reply_to = reply_naming_call
        async with ledger_harness(service) as harness:
            for number, request_id in enumerate((1, 2, 2), start=1):
                harness.place(request_id, timeout=5.0)
                await until(lambda: len(harness.completed) == number)  # noqa: B023
            assert [completed.outcome for completed in harness.completed] == [Outcome.OK] * 3
            assert service.connections == 3

    run_async(check)


def test_a_waiting_call_gets_the_descriptor_of_an_idle_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ledger, "MIN_IDLE_TIME", 60.0)

    async def check() -> None:
        async with site_with_calls() as (server, router):
            descriptors = server.app.peers.ledger.descriptors
            descriptors.capacity = descriptors.reserved_outbound = 1
            server.ledger.reply_to = reply_naming_call
            for number in (1, 2, 3):
                router.request(number)
                assert "result" in await router.answer(number)
                assert len(server.app.peers.ledger.idle) == (number > 1)
            assert server.ledger.connections == 3

    run_async(check)
