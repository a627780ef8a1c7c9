"""A whole server with stalled or broken peers, internal exceptions and signals, and the real process."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import orjson
import pytest

from shelfhaven.lab import platform as peers
from shelfhaven.lab.callers import Router, until
from shelfhaven.lab.ports import reserved_port
from shelfhaven.program.app import Phase
from shelfhaven.protocol import jsonrpc
from shelfhaven.server import messages
from tests.peers import run_async, running_server
from tests.test_config import CONFIG


def test_after_a_stall_of_the_loop_waiting_messages_are_read_before_timeouts_count() -> None:
    async def check() -> None:
        async with running_server() as server:
            server.agent.on_launch = server.agent.keep_running
            router = await server.router()
            attempt_id = router.request(1, "pay", dedupe="k")
            await until(lambda: server.agent.launched)
            server.agent.pass_run(attempt_id)  # waits in the socket
            time.sleep(1.1)  # stalls the event loop beyond the request's due time
            assert "result" in await router.answer(1)

    run_async(check)


def test_an_exception_while_reading_ends_only_its_own_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    async def check() -> None:
        async with running_server() as server:
            router, attempt_id = await server.running_request()
            other = await server.router()
            real_decode = jsonrpc.decode

            def failing(body: bytes) -> jsonrpc.Message | None:
                if b"poison" in body:
                    raise RuntimeError("injected")
                return real_decode(body)

            monkeypatch.setattr(jsonrpc, "decode", failing)
            router.send({"jsonrpc": "2.0", "id": 2, "method": "poison"})
            other.request(3)
            await until(lambda: len(server.agent.launched) == 2)
            server.agent.pass_run(attempt_id)
            server.agent.pass_run(f"{3:016x}")
            assert "result" in await router.answer(1)
            assert "result" in await other.answer(3)
            await until(lambda: router.ended)
            assert not other.ended

    run_async(check)


def test_the_server_stops_reading_from_a_router_that_reads_no_answers() -> None:
    async def check() -> None:
        async with running_server(domain={"cores": 40, "memory-kb": 1e6}) as server:
            address = server.app.config.listen
            assert address
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.connect((address.host, address.port))
            client.setblocking(False)
            health_check = orjson.dumps({"jsonrpc": "2.0", "id": 1, "method": "alive"})
            sent, loop = 0, asyncio.get_running_loop()
            while sent < 200_000:  # more than all buffers hold
                message = orjson.dumps({"jsonrpc": "2.0", "id": sent + 1, "method": "x" * 200})
                try:
                    async with asyncio.timeout(0.3):
                        await loop.sock_sendall(
                            client, b"Content-Length: %d\r\n\r\n%b" % (len(message), message)
                        )
                except TimeoutError:
                    break
                sent += 1
            assert sent < 200_000
            (connection,) = server.app.listener.connections
            assert len(connection.outgoing) <= 2000
            router = await server.router()
            router.send(health_check)
            await router.answer(1)
            client.close()

    run_async(check)


def test_a_second_drain_request_changes_nothing() -> None:
    async def check() -> None:
        async with running_server(stop_ms=300) as server:
            server.app.request_drain()
            stop_at = server.app.stop_at
            server.app.request_drain()
            assert server.app.stop_at == stop_at
            await until(server.app_task.done)
            assert server.app.phase is Phase.ENDED

    run_async(check)


def test_requests_are_served_while_the_membership_service_is_down() -> None:
    async def check() -> None:
        async with running_server() as server:
            server.members.socket.close()
            for _ in range(3):  # the second report gets the error of the first
                server.app.peers.members._report()
                await asyncio.sleep(0)
            server.app.peers.members.put(messages.ReportStatus(False))
            router = await server.router()
            router.request(1)
            assert "result" in await router.answer(1)
            assert server.app.peers.members.timer is not None
            assert not server.app.peers.members.timer.cancelled()

    run_async(check)


def test_a_router_that_stalls_within_a_message_delays_neither_others_nor_the_drain() -> None:
    async def check() -> None:
        async with running_server(stop_ms=600) as server:
            stalled, router = await server.router(), await server.router()
            stalled.writer.write(b"Content-Length: 400\r\n\r\n{")
            router.request(1)
            assert "result" in await router.answer(1)
            server.app.request_drain()
            await until(server.app_task.done)
            assert server.app_task.exception() is None
            await until(lambda: stalled.ended)
            assert [message.get("method") for message in stalled.received] == ["shutdown"]

    run_async(check)


def test_no_phase_can_be_skipped() -> None:
    async def check() -> None:
        async with running_server() as server:
            with pytest.raises(RuntimeError, match="serving is not followed by ended"):
                server.app._enter(Phase.ENDED)

    run_async(check)


def test_the_process_serves_by_its_file_reloads_on_sighup_and_drains_on_sigterm(tmp_path: Path) -> None:
    async def check() -> None:
        agent, ledger, members = peers.Agent(), peers.Ledger(), peers.Members()
        await agent.start()
        await ledger.start()
        port = reserved_port()
        data: dict[str, Any] = CONFIG | {
            "listen": f"127.0.0.1:{port}",
            "agent": f"127.0.0.1:{agent.port}",
            "ledger": f"127.0.0.1:{ledger.port}",
            "members": f"127.0.0.1:{members.port}",
            "stop_ms": 500,
        }
        path = tmp_path / "config.json"
        path.write_bytes(orjson.dumps(data))
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "shelfhaven", "serve",
            env=os.environ | {"GW_CONFIG": str(path)}, stderr=subprocess.PIPE,
        )  # fmt: skip
        await until(lambda: b"HB n3 UP" in members.reports())
        router = Router(*await asyncio.open_connection("127.0.0.1", port))
        router.request(1)
        assert "result" in await router.answer(1)
        moved = peers.Members()
        path.write_bytes(orjson.dumps(data | {"members": f"127.0.0.1:{moved.port}"}))
        process.send_signal(signal.SIGHUP)
        await until(lambda: b"HB n3 UP" in moved.reports())
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)  # must do no harm while draining
        _, errors = await process.communicate()
        assert process.returncode == 0
        lines = [orjson.loads(line) for line in errors.splitlines()]
        phases = [line["phase"] for line in lines if line["event"] == "phase"]
        assert phases == ["serving", "draining", "closing", "ended"]
        assert {line["server"] for line in lines} == {"n3"}
        agent.stop()

    run_async(check)
