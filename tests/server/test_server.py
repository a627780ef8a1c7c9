"""The complete server on loopback sockets, with stubs of the other systems."""

from __future__ import annotations

import asyncio
import base64
import gc
import os
import signal
import time
import weakref

import pytest

from shelfhaven.backends import agent as agent_actor
from shelfhaven.backends import ledger
from shelfhaven.backends.agent import MAX_BACKOFF, RESTART_MARGIN
from shelfhaven.lab.callers import until
from shelfhaven.program.app import NEXT_PHASES, App, Phase
from shelfhaven.protocol import agent as wire
from shelfhaven.protocol import jsonrpc
from shelfhaven.server.log import Log
from tests.peers import NULL, ServerUnderTest, run_async, running_server

RESULT_BODY = base64.b64encode(b"made for " + f"{1:016x}".encode()).decode()


def test_the_agent_runs_a_request_and_the_router_gets_the_result() -> None:
    async def check() -> None:
        async with running_server() as server:
            router = await server.router()
            attempt_id = router.request(1)
            answer = await router.answer(1)
            assert answer["result"]["body"] == RESULT_BODY
            assert server.agent.launched == [(attempt_id, "look", b"ask")]

    run_async(check)


def test_a_request_that_arrives_byte_by_byte_is_read() -> None:
    async def check() -> None:
        async with running_server() as server:
            router = await server.router()
            chunks: list[bytes] = []
            write, router.writer.write = router.writer.write, chunks.append  # type: ignore
            router.request(1)
            for byte in b"".join(chunks):
                write(bytes([byte]))
                await router.writer.drain()
            assert (await router.answer(1))["result"]["body"] == RESULT_BODY

    run_async(check)


def test_health_checks_are_answered_before_the_agent_is_up_and_requests_once_it_is() -> None:
    async def check() -> None:
        async with running_server(agent_up=False) as server:
            router = await server.router()
            router.send({"jsonrpc": "2.0", "id": 5, "method": "alive"})
            assert (await router.answer(5))["result"]["green"] is True
            router.request(1)
            await server.agent.start()
            assert (await router.answer(1))["result"]["body"] == RESULT_BODY

    run_async(check)


def test_the_membership_service_is_told_of_a_drain() -> None:
    async def check() -> None:
        async with running_server(stop_ms=600) as server:
            await until(lambda: b"HB n3 UP" in server.members.reports())
            server.app.request_drain()
            await until(lambda: b"HB n3 OUT" in server.members.reports())

    run_async(check)


@pytest.mark.parametrize(
    "invalid",
    [
        b"{",
        b"[]",
        b'[{"jsonrpc":"2.0","id":3,"method":"alive"}]',
        b'{"jsonrpc":"2.0","id":"x","method":"look"}',
        b'{"jsonrpc":"2.0","method":"look"}',
        b'{"jsonrpc":"2.0","id":1,"method":"alive"}',  # id of an open request
    ],
)
def test_an_invalid_message_closes_its_connection_after_the_outstanding_answers(invalid: bytes) -> None:
    async def check() -> None:
        async with running_server() as server:
            router, attempt_id = await server.running_request()
            other = await server.router()
            router.send(invalid)
            other.send({"jsonrpc": "2.0", "id": 2, "method": "alive"})
            assert (await other.answer(2))["result"]["green"] is True
            assert not router.ended
            server.agent.pass_run(attempt_id)
            await until(lambda: router.ended)
            assert [message["id"] for message in router.received] == [None, 1]  # the error is sent at once
            assert router.received[0]["error"]["code"] == jsonrpc.PARSE_ERROR
            assert not other.ended

    run_async(check)


def test_invalid_requests_get_json_rpc_error_codes_and_the_connection_stays_open() -> None:
    async def check() -> None:
        async with running_server() as server:
            router = await server.router()
            router.request(1, "unheard-of")
            router.request(2, heap=-1)
            router.request(3, org="nobody")
            router.request(4, "pay")  # its class requires an idempotency key
            router.send({"id": 5, "method": "look"})
            router.request(6)
            codes = [(await router.answer(number))["error"]["code"] for number in range(1, 6)]
            assert codes == [
                jsonrpc.METHOD_NOT_FOUND,
                jsonrpc.INVALID_PARAMS,
                jsonrpc.INVALID_PARAMS,
                jsonrpc.INVALID_PARAMS,
                jsonrpc.INVALID_REQUEST,
            ]
            assert "result" in await router.answer(6)

    run_async(check)


def test_requests_beyond_32_open_ones_are_rejected() -> None:
    async def check() -> None:
        async with running_server(domain={"cores": 40, "memory-kb": 1e6}) as server:
            server.agent.on_launch = server.agent.keep_running
            router = await server.router()
            for number in range(1, 34):
                router.request(number)
            assert (await router.answer(33))["error"]["code"] == jsonrpc.INVALID_REQUEST
            for number in range(1, 33):
                server.agent.pass_run(f"{number:016x}")
            for number in range(1, 33):
                assert "result" in await router.answer(number)

    run_async(check)


def test_requests_of_a_closed_connection_are_released() -> None:
    async def check() -> None:
        async with running_server() as server:
            router, attempt_id = await server.running_request()
            await router.close()
            server.agent.pass_run(attempt_id)
            await until(lambda: not server.app.core.requests)
            again = await server.router()
            server.agent.on_launch = server.agent.pass_run
            again.request(2)
            assert "result" in await again.answer(2)

    run_async(check)


def test_a_cancelled_request_is_answered_once_even_if_its_run_completes() -> None:
    async def check() -> None:
        async with running_server() as server:
            router, attempt_id = await server.running_request()
            router.send({"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": 1}})
            router.send({"jsonrpc": "2.0", "id": 2, "method": "alive"})
            await router.answer(2)
            server.agent.pass_run(attempt_id)
            await until(lambda: not server.app.core.requests)
            assert [answer["error"]["code"] for answer in router.messages_for(1)] == [jsonrpc.CANCELLED]

    run_async(check)


# The connection to the agent


def test_after_a_reconnect_to_the_agent_nothing_is_run_or_read_twice() -> None:
    async def check() -> None:
        async with running_server() as server:
            server.agent.on_launch = server.agent.keep_running
            router = await server.router()
            first, second = router.request(1), router.request(2)
            await until(lambda: len(server.agent.launched) == 2)
            server.agent.cut()
            server.agent.notice(f"outcome # {first} PASS 5", b"made meanwhile")  # while disconnected
            await until(lambda: len(server.agent.subscribed) == 2)
            answer = await router.answer(1)
            assert answer["result"]["body"] == base64.b64encode(b"made meanwhile").decode()
            await until(lambda: len(server.agent.launched) == 3)
            # only a run without a notice is uncertain; it is launched again, which the agent ignores
            assert [attempt_id for attempt_id, _, _ in server.agent.launched] == [first, second, second]
            server.agent.pass_run(second)
            assert "result" in await router.answer(2)
            server.agent.cut()
            await until(lambda: len(server.agent.subscribed) == 3)
            assert server.agent.subscribed == [0, 0, 2]
            await until(lambda: server.app.peers.agent.up)
            assert len(server.agent.launched) == 3

    run_async(check)


def test_commands_issued_while_disconnected_are_sent_after_the_reconnect() -> None:
    async def check() -> None:
        async with running_server() as server:
            router = await server.router()
            server.agent.stop()
            await until(lambda: not server.app.peers.agent.up)
            router.request(1)
            await until(lambda: server.app.core.requests)
            await server.agent.start()
            assert (await router.answer(1))["result"]["body"] == RESULT_BODY
            assert len(server.agent.launched) == 1

    run_async(check)


def test_a_refused_launch_is_answered_whichever_connection_it_was_sent_on() -> None:
    async def check() -> None:
        async with running_server() as server:
            router, first = await server.running_request()
            server.agent.stop()
            await until(lambda: not server.app.peers.agent.up)
            second = router.request(2)  # launched once the connection is back
            await until(lambda: second in server.app.peers.agent.commands.pending)
            server.agent.on_launch = lambda id_: server.agent.send(f"refusal launch {id_}\r\n".encode())
            await server.agent.start()
            assert "error" in await router.answer(2)
            assert "error" in await router.answer(1)
            assert [attempt_id for attempt_id, _, _ in server.agent.launched] == [first, first, second]
            assert not server.app.peers.agent.commands.pending
            assert not server.app.core.requests

    run_async(check)


def test_a_skip_that_is_refused_after_an_unconfirmed_reply_does_not_fail_the_request() -> None:
    async def check() -> None:
        async with running_server() as server:
            router, attempt_id = await server.running_request()
            server.agent.pass_run, pass_run = lambda _: None, server.agent.pass_run  # type: ignore
            server.agent.notice(f"request # {attempt_id}", b"ask")
            await until(lambda: server.agent.delivered)
            command = server.agent.handle_command
            server.agent.handle_command = lambda words, body: (  # type: ignore
                server.agent.send(f"refusal forgo {attempt_id}\r\n".encode())
                if words[0] == "forgo"
                else command(words, body)
            )
            server.agent.cut()
            await until(lambda: f"forgo {attempt_id} 1" in server.agent.commands)
            await until(lambda: not server.app.peers.agent.commands.pending)
            assert not router.received
            assert len(server.agent.delivered) == 1
            pass_run(attempt_id)
            assert "result" in await router.answer(1)

    run_async(check)


def test_a_greeting_that_is_read_late_is_not_taken_for_a_restarted_agent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check() -> None:
        async with running_server() as server:
            router, attempt_id = await server.running_request()
            server.agent.started_at = time.monotonic() - 0.001  # the first greeting came just after its start
            server.app.peers.agent.first_greeted_at = time.monotonic()
            greeted = server.app.peers.agent._handle_greeting

            def greet_late(greeting: wire.AgentGreeted) -> None:
                time.sleep(RESTART_MARGIN + 0.2)  # the machine stalls before the greeting is read
                greeted(greeting)

            monkeypatch.setattr(server.app.peers.agent, "_handle_greeting", greet_late)
            server.agent.cut()
            await until(lambda: server.app.peers.agent.completed_replays == 2)
            assert not router.received
            server.agent.pass_run(attempt_id)
            assert "result" in await router.answer(1)

    run_async(check)


def test_a_run_that_failed_by_a_malformed_notice_is_not_launched_again() -> None:
    async def check() -> None:
        async with running_server() as server:
            router, attempt_id = await server.running_request()
            server.agent.send(f"outcome 1 {attempt_id} PASS\r\n".encode())
            assert "error" in await router.answer(1)
            server.agent.cut()
            await until(lambda: len(server.agent.subscribed) == 2 and server.app.peers.agent.up)
            router.request(2)
            await until(lambda: len(server.agent.launched) == 2)
            assert [id_ for id_, _, _ in server.agent.launched] == [attempt_id, f"{2:016x}"]

    run_async(check)


def test_replayed_notices_are_ignored() -> None:
    async def check() -> None:
        async with running_server() as server:
            request_call_on_launch(server)
            router = await server.router()
            pass_run = server.agent.pass_run
            server.agent.pass_run = server.agent.keep_running  # type: ignore
            attempt_id = router.request(1)
            await until(lambda: server.agent.delivered)
            server.agent.send(b"".join(server.agent.notices))  # the run no longer waits for that call
            router.send({"jsonrpc": "2.0", "id": 2, "method": "alive"})
            await router.answer(2)
            pass_run(attempt_id)
            assert "result" in await router.answer(1)
            assert len(server.ledger.calls) == 1

    run_async(check)


def test_malformed_lines_and_an_invalid_length_do_not_stop_the_server() -> None:
    async def check() -> None:
        async with running_server() as server:
            router, attempt_id = await server.running_request()
            server.agent.send(b"what is this\r\n")
            server.agent.send(f"outcome 1 {attempt_id} PASS\r\n".encode())
            assert "error" in await router.answer(1)
            server.agent.send(b"outcome 2 x PASS 1 -5\r\n")
            await until(lambda: len(server.agent.subscribed) == 2)
            server.agent.on_launch = server.agent.pass_run
            router.request(2)
            assert "result" in await router.answer(2)

    run_async(check)


def test_runs_of_a_restarted_agent_have_failed() -> None:
    async def check() -> None:
        async with running_server() as server:
            router, _ = await server.running_request()
            # to the server, the agent has started a minute after its first greeting
            server.app.peers.agent.first_greeted_at -= 60
            server.agent.cut()
            assert (await router.answer(1))["error"]["code"] == jsonrpc.FAILED
            # notices read from the previous incarnation; the new one counts from 1
            server.app.peers.agent.last_notice = 40
            server.app.peers.agent.first_greeted_at -= 60
            server.agent.cut()
            await until(lambda: len(server.agent.subscribed) == 3 and server.app.peers.agent.up)
            server.agent.on_launch = server.agent.pass_run
            router.request(2)
            assert "result" in await router.answer(2)

    run_async(check)


# The ledger


def request_call_on_launch(server: ServerUnderTest) -> None:
    """Have the agent request a downstream call for each launch."""
    agent = server.agent
    agent.on_launch = lambda id_: agent.notice(f"request # {id_}", b"call of " + id_.encode())


@pytest.mark.parametrize(("min_idle_time", "connection_count"), [(0.0, 2), (60.0, 3)])
def test_a_call_reuses_a_connection_only_after_its_minimum_idle_time(
    min_idle_time: float, connection_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ledger, "MIN_IDLE_TIME", min_idle_time)

    async def check() -> None:
        async with running_server() as server:
            request_call_on_launch(server)
            router = await server.router()
            # the connection of the first reply is not used again: nothing shows yet that replies differ
            for number, body in ((1, b"first"), (2, b"other"), (3, b"third")):
                server.ledger.reply = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + body
                attempt_id = router.request(number)
                assert "result" in await router.answer(number)
                assert server.ledger.calls[-1] == (attempt_id, b"call of " + attempt_id.encode())
                assert server.agent.delivered[-1] == (attempt_id, body)
            assert server.ledger.connections == connection_count

    run_async(check)


@pytest.mark.parametrize(
    ("reply", "cut_after"),
    [
        (b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", None),
        (b"HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n", None),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nhalf", 42),
        (b"", 0),
        (b"nonsense\r\n\r\n", None),
        (b"HTTP/1.1 200 OK\r\n\r\n", None),
    ],
)
def test_a_call_that_may_have_run_is_not_retried(reply: bytes, cut_after: int | None) -> None:
    async def check() -> None:
        async with running_server(domain={"class-skip-worth": [0, 0]}) as server:
            request_call_on_launch(server)
            server.ledger.reply, server.ledger.cut_after = reply, cut_after
            router = await server.router()
            router.request(1, "pay", dedupe="k")
            assert (await router.answer(1))["error"]["code"] == jsonrpc.FAILED
            assert len(server.ledger.calls) == 1

    run_async(check)


@pytest.mark.parametrize("status", [b"503", b"409"])
def test_a_call_that_never_ran_is_retried(status: bytes) -> None:
    async def check() -> None:
        async with running_server(domain={"class-skip-worth": [0, 0]}) as server:
            request_call_on_launch(server)
            success = server.ledger.reply
            server.ledger.reply = b"HTTP/1.1 %b No\r\nX-Untouched: 1\r\nContent-Length: 0\r\n\r\n" % status
            router = await server.router()
            router.request(1)
            await until(lambda: server.ledger.calls)
            server.ledger.reply = success
            assert "result" in await router.answer(1)
            assert len(server.ledger.calls) == 2

    run_async(check)


def test_the_call_of_a_killed_run_is_abandoned_by_closing_its_connection() -> None:
    async def check() -> None:
        async with running_server() as server:
            request_call_on_launch(server)
            server.ledger.reply = None
            router = await server.router()
            attempt_id = router.request(1)
            await until(lambda: server.ledger.calls)
            server.agent.notice(f"outcome # {attempt_id} KILLED 5", b"")
            assert "error" in await router.answer(1)
            await until(lambda: server.ledger.closed == 1)

    run_async(check)


def test_calls_wait_when_all_outbound_connections_are_in_use() -> None:
    async def check() -> None:
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 28}
        async with running_server(limits=limits, domain={"cores": 6, "memory-kb": 1e6}) as server:
            # routers hold the descriptors that calls could borrow
            idle_routers = [await server.router() for _ in range(3)]
            server.app.peers.ledger.descriptors.capacity = 5
            server.app.peers.ledger.descriptors.reserved_outbound = 2
            request_call_on_launch(server)
            connection_counts: list[int] = []
            server.ledger.after_reply = lambda: connection_counts.append(
                len(server.app.peers.ledger.connections)
            )
            router = await server.router()
            for number in range(1, 7):
                router.request(number)
            for number in range(1, 7):
                assert "result" in await router.answer(number)
            assert max(connection_counts) <= 2
            assert not any(other.ended for other in idle_routers), "a connection of a router was closed"

    run_async(check)


# Drain and shutdown


def test_phases_follow_in_order_until_the_last() -> None:
    phase, earlier_phases = Phase.STARTING, []
    while NEXT_PHASES[phase]:
        earlier_phases.append(phase)
        phase = next(following for following in Phase if following in NEXT_PHASES[phase])
    assert [*earlier_phases, phase] == list(Phase)


def test_a_drain_answers_all_requests_announces_the_shutdown_and_ends() -> None:
    async def check() -> None:
        async with running_server(stop_ms=1500) as server:
            router, attempt_id = await server.running_request()
            os.kill(os.getpid(), signal.SIGTERM)
            await until(router.received_shutdown)
            router.request(2)  # sent before the announcement of the shutdown is read
            late = await server.router()  # a router that does not know of the shutdown yet
            late.request(3, call="c" * 16)
            await until(late.received_shutdown)
            server.agent.pass_run(attempt_id)
            assert "result" in await router.answer(1)
            server.agent.pass_run(f"{2:016x}")
            assert "result" in await router.answer(2)
            assert "error" in await late.answer(3)
            await until(server.app_task.done)
            assert server.app.phase is Phase.ENDED
            assert server.app_task.exception() is None
            assert [
                len(each.messages_for(number)) for each, number in ((router, 1), (router, 2), (late, 3))
            ] == [
                1,
                1,
                1,
            ]
            with pytest.raises(ConnectionRefusedError):
                await server.router()

    run_async(check)


def test_a_connection_in_the_backlog_is_accepted_before_the_listener_closes() -> None:
    async def check() -> None:
        async with running_server() as server:
            server.app.listener._stop_accepting()
            waiting = await server.router()
            assert not server.app.listener.connections
            server.app.listener.stop_listening()
            waiting.request(1)
            assert "result" in await waiting.answer(1)

    run_async(check)


def test_the_shutdown_is_announced_to_idle_connections_but_not_to_health_checks() -> None:
    async def check() -> None:
        async with running_server() as server:
            server.agent.on_launch = server.agent.keep_running
            busy, idle, checks = [await server.router() for _ in range(3)]
            busy.request(1)
            checks.send({"jsonrpc": "2.0", "id": 1, "method": "alive"})
            await checks.answer(1)
            await until(lambda: server.agent.launched)
            for connection in server.app.listener.connections:
                connection.last_used_at -= 60
            server.app.listener._announce_to_idle(asyncio.get_running_loop().time() - 30)
            await until(idle.received_shutdown)
            assert not idle.ended
            assert not busy.received_shutdown()
            assert not checks.received_shutdown()

    run_async(check)


def test_connections_beyond_the_descriptor_limit_wait_in_the_backlog() -> None:
    async def check() -> None:
        async with running_server(limits={"cores": 1.0, "memory_mb": 192, "sockets": 20}) as server:
            max_inbound = server.app.listener.descriptors.max_inbound
            routers = [await server.router() for _ in range(max_inbound + 1)]
            await until(lambda: len(server.app.listener.connections) == max_inbound)
            routers[-1].request(1)
            await routers[0].close()
            assert "result" in await routers[-1].answer(1)

    run_async(check)


def test_runs_continue_after_a_reconnect_to_the_same_agent() -> None:
    async def check() -> None:
        async with running_server() as server:
            server.agent.on_launch = server.agent.keep_running
            server.agent.started_at -= 3600
            router = await server.router()
            attempt_id = router.request(1)
            await until(lambda: server.agent.launched)
            server.agent.cut()
            await until(lambda: len(server.agent.subscribed) == 2)
            server.agent.pass_run(attempt_id)
            assert "result" in await router.answer(1)

    run_async(check)


def test_start_waits_while_the_address_is_in_use() -> None:
    async def check() -> None:
        async with running_server() as server:
            listen = server.app.config.listen
            assert listen
            again = App(server.app.files, Log("second", NULL))
            listening = asyncio.get_running_loop().create_task(again.frontends.start())
            await asyncio.sleep(0)
            assert not listening.done()
            server.app.listener.stop_listening()
            await listening
            assert again.listener.socket is not None
            assert again.listener.socket.getsockname() == (listen.host, listen.port)
            again.listener.stop_listening()

    run_async(check)


def test_the_backoff_grows_while_connections_break_during_the_replay() -> None:
    async def check() -> None:
        async with running_server() as server:
            broken = b"outcome 1 x PASS 1 -5\r\n"
            server.agent.notices.append(broken)
            server.agent.send(broken)
            pauses: list[float] = []

            async def record_pause(seconds: float) -> None:
                pauses.append(seconds)
                await asyncio.sleep(0.001)

            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(server.app.peers.agent, "_back_off", record_pause)
                await until(lambda: len(pauses) >= 8)
            assert pauses[1:8] == sorted(pauses[1:8])
            assert pauses[7] == MAX_BACKOFF

    run_async(check)


@pytest.mark.parametrize("ending", ["closed by the router", "aborted", "invalid data"])
def test_a_closed_connection_is_freed_without_garbage_collection(ending: str) -> None:
    """Guards against reference cycles: a server under steady load hardly ever runs a full collection.

    Connections that only such a collection frees would pile up.
    """

    async def check() -> None:
        async with running_server() as server:
            router = await server.router()
            router.request(1)
            await router.answer(1)
            connection = weakref.ref(next(iter(server.app.listener.connections)))
            gc.collect()
            gc.disable()
            try:
                if ending == "aborted":
                    router.writer.transport.abort()
                elif ending == "invalid data":
                    router.writer.write(b"nonsense\r\n\r\n")
                    await until(lambda: router.ended)
                await router.close()
                await until(lambda: connection() is None)
            finally:
                gc.enable()

    run_async(check)


@pytest.mark.parametrize("when", ["after the replay", "after the greeting"])
def test_a_silent_connection_to_the_agent_is_replaced_and_no_run_is_lost(
    when: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(agent_actor, "SAMPLE_TIMEOUT", 0.1)

    async def check() -> None:
        async with running_server() as server:
            router, attempt_id = await server.running_request()
            server.agent.silent = when == "after the replay"
            if when == "after the greeting":
                # the sample that marks the end of a replay is not answered
                monkeypatch.setattr(server.agent, "gauges", "")
                command = server.agent.handle_command
                monkeypatch.setattr(
                    server.agent,
                    "handle_command",
                    lambda words, body: words[0] == "sample" or command(words, body),
                )
                server.agent.cut()
                await until(lambda: len(server.agent.subscribed) >= 3)
            await until(lambda: len(server.agent.subscribed) >= 2)
            monkeypatch.undo()
            server.agent.silent = False
            server.agent.cut()  # for a discarded greeting there is no timeout, and the server may wait long
            server.agent.pass_run(attempt_id)
            assert "result" in await router.answer(1)
            assert [id_ for id_, *_ in server.agent.launched].count(attempt_id) <= len(
                server.agent.subscribed
            )

    run_async(check)
