"""The `run` command of deploy/balancer.toml, under the system call filter of the operators' platform.

On the platform, a forbidden system call kills the process. `refusing/sitecustomize.py` installs a filter that
does the same in every Python process that the tests start.
"""

from __future__ import annotations

import asyncio
import copy
import os
import signal
import subprocess
import sys
import tomllib
from pathlib import Path

import orjson
import pytest

from shelfhaven.lab.callers import Router, until
from shelfhaven.lab.platform import Agent, Ledger, Members
from shelfhaven.lab.ports import reserved_port
from tests.peers import run_async
from tests.test_config import CONFIG

ROOT = Path(__file__).parent.parent
FILTER_FOLDER = Path(__file__).parent / "refusing"  # has a sitecustomize.py
RUN_COMMAND: str = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]

pytestmark = pytest.mark.skipif(
    os.uname().machine != "x86_64", reason="the filter has the system call numbers of x86-64"
)


def environment(**variables: str) -> dict[str, str]:
    """Return environment variables with which every Python process installs the filter."""
    return {**os.environ, "PYTHONPATH": str(FILTER_FOLDER), **variables}


@pytest.mark.parametrize(
    "statement",
    [
        "os.fork()",
        "os.execv('/bin/true', ['true'])",
        "subprocess.run(['true'])",
        "os.posix_spawn('/bin/true', ['true'], {})",
        "os.sendfile(1, 0, 0, 1)",
        "socket.socket(socket.AF_UNIX)",
        "socket.socket(socket.AF_INET6, socket.SOCK_DGRAM)",
        "socket.socket(socket.AF_INET, socket.SOCK_RAW)",
    ],
)
def test_forbidden_system_calls_kill_the_process(statement: str) -> None:
    command = [sys.executable, "-c", f"import os, socket, subprocess; {statement}"]
    assert subprocess.run(command, env=environment(), capture_output=True).returncode == -signal.SIGSYS


def test_system_calls_that_the_server_needs_are_allowed() -> None:
    program = """
import asyncio, socket, threading
threading.Thread(target=print).start()
socket.socket(), socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK), socket.socketpair()
asyncio.run(asyncio.sleep(0))
"""
    command = [sys.executable, "-c", program]
    assert subprocess.run(command, env=environment(), capture_output=True).returncode == 0


def test_the_run_command_makes_no_forbidden_system_calls_and_starts_no_process(tmp_path: Path) -> None:
    """Covers the start, a downstream call, reloads of an invalid and a valid configuration, and a drain."""
    assert RUN_COMMAND.startswith("exec .venv/bin/python ")
    command = RUN_COMMAND.replace(".venv/bin/python", sys.executable)

    async def check() -> None:
        agent, ledger, members = Agent(), Ledger(), Members()
        await agent.start()
        await ledger.start()
        data = copy.deepcopy(CONFIG)
        port = reserved_port()
        data |= {"listen": f"127.0.0.1:{port}", "agent": f"127.0.0.1:{agent.port}", "stop_ms": 500}
        data |= {"members": f"127.0.0.1:{members.port}", "ledger": f"127.0.0.1:{ledger.port}"}
        data["settings"]["classes"][0].update({"deadline": 6.0, "on-time": 4.0})
        path = tmp_path / "config.json"
        path.write_bytes(orjson.dumps(data))
        with (tmp_path / "log").open("wb") as log_file:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment(GW_CONFIG=str(path)), stderr=log_file
            )
        pid = process.pid
        try:
            await until(lambda: agent.writer)
            await until(lambda: b"HB n3 UP" in members.reports())
            router = Router(*await asyncio.open_connection("127.0.0.1", port))
            agent.on_launch = agent.call_downstream
            attempt_id = router.request(1)
            assert "result" in await router.answer(1)
            assert ledger.calls == [(attempt_id, b"ask")]
            path.write_text("{")
            process.send_signal(signal.SIGHUP)
            await until(lambda: b"reload_refused" in (tmp_path / "log").read_bytes())
            path.write_bytes(orjson.dumps(data))
            process.send_signal(signal.SIGHUP)
            await until(lambda: b"reloaded" in (tmp_path / "log").read_bytes())
            assert Path(f"/proc/{pid}/task/{pid}/children").read_text() == ""
            process.terminate()
            assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    run_async(check)
