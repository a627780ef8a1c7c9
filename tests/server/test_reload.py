"""Reload of the configuration at SIGHUP: peers change address, and no run or call is lost or repeated."""

from __future__ import annotations

import os
import signal

import pytest

from shelfhaven.lab import platform as peers
from shelfhaven.lab.callers import until
from shelfhaven.program.app import Phase
from tests.peers import run_async, running_server


async def agent_at_new_address(original: peers.Agent) -> peers.Agent:
    """Start a stub of the same agent at another address, with the notices that it has sent so far."""
    new = peers.Agent()
    new.notices, new.started_at = original.notices, original.started_at
    already_launched = [id_ for id_, *_ in original.launched]
    new.on_launch = lambda id_: None if id_ in already_launched else new.pass_run(id_)
    await new.start()
    return new


def test_runs_and_notice_numbers_continue_at_the_new_address_of_the_agent() -> None:
    async def check() -> None:
        async with running_server() as server:
            first = await server.router()
            first.request(1)
            await first.answer(1)
            router, attempt_id = await server.running_request()
            new = await agent_at_new_address(server.agent)
            server.rewrite_config(agent=f"127.0.0.1:{new.port}")
            os.kill(os.getpid(), signal.SIGHUP)
            await until(lambda: new.subscribed)
            assert new.subscribed == [1]
            await until(lambda: server.app.peers.agent.up and server.app.peers.agent.completed_replays == 2)
            new.pass_run(attempt_id)
            assert "result" in await router.answer(1)
            router.request(2)
            assert "result" in await router.answer(2)
            assert [id_ for id_, *_ in new.launched].count(f"{2:016x}") == 1
            new.stop()

    run_async(check)


def test_a_command_issued_while_the_address_of_the_agent_changes_is_executed_once() -> None:
    async def check() -> None:
        async with running_server() as server:
            router = await server.router()
            new = await agent_at_new_address(server.agent)
            server.rewrite_config(agent=f"127.0.0.1:{new.port}")
            server.app.reload()
            router.request(1)
            assert "result" in await router.answer(1)
            assert len(server.agent.launched) + len(new.launched) == 1
            new.stop()

    run_async(check)


def test_a_call_in_progress_completes_at_the_old_ledger_and_the_next_goes_to_the_new_one() -> None:
    async def check() -> None:
        async with running_server() as server:
            server.ledger.reply = None
            router, attempt_id = await server.running_request()
            server.agent.notice(f"request # {attempt_id}", b"call body")
            await until(lambda: server.ledger.calls)
            new = peers.Ledger()
            await new.start()
            server.rewrite_config(ledger=f"127.0.0.1:{new.port}")
            server.app.reload()
            for connection in server.app.peers.ledger.connections:
                assert connection.call
            server.ledger.writers[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold")
            await until(lambda: server.agent.delivered)
            assert server.agent.delivered == [(attempt_id, b"old")]
            await until(lambda: server.ledger.closed)  # the connection is not reused for another call
            router.request(2)
            await until(lambda: len(server.agent.launched) == 2)
            server.agent.notice(f"request # {2:016x}", b"second")
            await until(lambda: len(server.agent.delivered) == 2)
            assert [body for _, body in server.ledger.calls] == [b"call body"]
            assert [body for _, body in new.calls] == [b"second"]

    run_async(check)


def test_a_call_not_yet_sent_goes_to_the_new_ledger() -> None:
    async def check() -> None:
        async with running_server() as server:
            _, attempt_id = await server.running_request()
            new = peers.Ledger()
            await new.start()
            sent = server.app.peers.ledger._send
            server.app.peers.ledger._send = lambda *_: None  # type: ignore
            server.agent.notice(f"request # {attempt_id}", b"call body")
            await until(lambda: server.app.peers.ledger.connection_by_request)
            server.app.peers.ledger._send = sent  # type: ignore
            server.rewrite_config(ledger=f"127.0.0.1:{new.port}")
            server.app.reload()
            await until(lambda: server.agent.delivered)
            assert len(new.calls) == 1
            assert not server.ledger.calls

    run_async(check)


@pytest.mark.parametrize(
    ("text", "key"),
    [
        (b"", "not JSON"),
        (b'{"name":"n3"', "not JSON"),
        (None, "cannot be read"),
        (b'{"name":"n3"}', "settings"),
    ],
)
def test_an_invalid_file_changes_nothing_and_the_log_names_the_key(
    text: bytes | None, key: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def check() -> None:
        async with running_server() as server:
            lines: list[tuple[str, dict[str, object]]] = []
            monkeypatch.setattr(server.app.log, "event", lambda event, **more: lines.append((event, more)))
            if text is None:
                server.path.unlink()
            else:
                server.path.write_bytes(text)
            before = server.app.config
            server.app.reload()
            assert server.app.config is before
            assert [event for event, _ in lines] == ["reload_refused"]
            assert key in str(lines[0][1]["error"])
            router = await server.router()
            router.request(1)
            assert "result" in await router.answer(1)

    run_async(check)


def test_several_reloads_in_a_row_and_one_while_draining() -> None:
    async def check() -> None:
        async with running_server(stop_ms=1500) as server:
            router, attempt_id = await server.running_request()
            agents = [await agent_at_new_address(server.agent) for _ in range(3)]
            for new in agents[:2]:
                server.rewrite_config(agent=f"127.0.0.1:{new.port}")
                server.app.reload()
            await until(lambda: agents[1].subscribed)
            server.app.request_drain()
            await until(lambda: server.app.phase is Phase.DRAINING)
            server.rewrite_config(agent=f"127.0.0.1:{agents[2].port}")
            server.app.reload()
            await until(lambda: agents[2].subscribed)
            await until(lambda: server.app.peers.agent.up and not server.app.peers.agent.replay_tag)
            agents[2].pass_run(attempt_id)
            assert "result" in await router.answer(1)
            assert len(router.messages_for(1)) == 1
            await until(server.app_task.done)
            for new in agents:
                new.stop()

    run_async(check)


def test_a_new_address_of_the_agent_ends_the_wait_before_reconnecting() -> None:
    async def check() -> None:
        async with running_server(agent_up=False) as server:
            waits: list[float] = []
            back_off = server.app.peers.agent._back_off

            async def back_off_long(seconds: float) -> None:
                waits.append(seconds)
                await back_off(1000.0)

            server.app.peers.agent._back_off = back_off_long  # type: ignore[method-assign]
            await until(lambda: waits)
            new = peers.Agent()
            await new.start()
            server.rewrite_config(agent=f"127.0.0.1:{new.port}")
            server.app.reload()
            await until(lambda: server.app.peers.agent.up)
            new.stop()

    run_async(check)
