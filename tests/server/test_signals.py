"""Signals during the start and the end of the process, and several at once."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import orjson
import pytest

from shelfhaven import __main__ as command_line
from shelfhaven.lab import platform
from shelfhaven.lab.callers import until
from shelfhaven.lab.ports import reserved_port
from shelfhaven.protocol import jsonrpc
from tests.peers import run_async, running_server
from tests.test_config import CONFIG


def test_a_termination_signal_after_the_end_is_blocked() -> None:
    class EndedApplication:
        async def run(self) -> None:
            """Return at once, as an application that has ended."""

    previous_mask = signal.pthread_sigmask(signal.SIG_BLOCK, [])
    try:
        asyncio.run(command_line.run_application(EndedApplication()))  # type: ignore[arg-type]
        blocked = signal.pthread_sigmask(signal.SIG_BLOCK, [])
        assert {signal.SIGTERM, signal.SIGINT} <= blocked
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, previous_mask)


def test_sigterm_is_handled_even_if_the_parent_process_blocked_it(tmp_path: Path) -> None:
    async def check() -> None:
        members = platform.Members()
        agent = platform.Agent()
        await agent.start()
        data = CONFIG | {
            "listen": f"127.0.0.1:{reserved_port()}",
            "agent": f"127.0.0.1:{agent.port}",
            "members": f"127.0.0.1:{members.port}",
            "stop_ms": 300,
        }
        path = tmp_path / "config.json"
        path.write_bytes(orjson.dumps(data))
        previous_mask = signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})
        try:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "shelfhaven", "serve",
                env=os.environ | {"GW_CONFIG": str(path)}, stderr=subprocess.DEVNULL,
            )  # fmt: skip
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, previous_mask)
        try:
            await until(lambda: b"HB n3 UP" in members.reports())
            process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(process.wait(), 10) == 0
        finally:
            if process.returncode is None:
                process.kill()
            agent.stop()

    run_async(check)


def test_a_reload_and_two_sigterm_at_once_leave_no_request_unanswered() -> None:
    async def check() -> None:
        async with running_server(stop_ms=1500) as server:
            router, attempt_id = await server.running_request()
            new_members = platform.Members()
            server.rewrite_config(members=f"127.0.0.1:{new_members.port}")
            os.kill(os.getpid(), signal.SIGHUP)
            os.kill(os.getpid(), signal.SIGTERM)
            os.kill(os.getpid(), signal.SIGTERM)
            await until(lambda: b"HB n3 OUT" in new_members.reports())
            server.agent.pass_run(attempt_id)
            assert "result" in await router.answer(1)
            await until(server.app_task.done)
            assert server.app_task.exception() is None
            assert jsonrpc.FAILED not in [message.get("error", {}).get("code") for message in router.received]

    run_async(check)


def test_the_grace_and_the_stop_count_from_the_signal_although_the_event_loop_is_held_up() -> None:
    # guards against runs after the grace of a drain (docs/incidents/run-after-the-grace.md)
    async def check() -> None:
        async with running_server(stop_ms=1500) as server:  # the grace is 0.2 s
            router = await server.router()
            await until(lambda: server.app.listener.connections)
            noticed_at, noticed_at_unix = time.monotonic(), time.time()
            os.kill(os.getpid(), signal.SIGTERM)
            time.sleep(0.3)  # between the signal and its handling by the event loop
            router.request(1, recv=int((noticed_at_unix + 0.1) * 1000))
            router.request(2)
            assert "result" in await router.answer(1)
            assert (await router.answer(2))["error"]["code"] == jsonrpc.REJECTED
            assert len(server.agent.launched) == 1
            assert server.app.stop_at == pytest.approx(noticed_at + 1.5, abs=0.1)

    run_async(check)
