"""`run` of deploy/balancer.toml, started where what the operators' platform refuses ends the process."""

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
REFUSING = Path(__file__).parent / "refusing"
RUN: str = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]

pytestmark = pytest.mark.skipif(os.uname().machine != "x86_64", reason="the filter knows calls of x86-64")


def environment(**more: str) -> dict[str, str]:
    """The environment in which every Python refuses what the platform refuses."""
    return {**os.environ, "PYTHONPATH": str(REFUSING), **more}


@pytest.mark.parametrize(
    "reach",
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
def test_what_the_platform_refuses_ends_a_process(reach: str) -> None:
    command = [sys.executable, "-c", f"import os, socket, subprocess; {reach}"]
    assert subprocess.run(command, env=environment(), capture_output=True).returncode == -signal.SIGSYS


def test_what_the_platform_has_is_allowed() -> None:
    uses = """
import asyncio, socket, threading
threading.Thread(target=print).start()
socket.socket(), socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK), socket.socketpair()
asyncio.run(asyncio.sleep(0))
"""
    command = [sys.executable, "-c", uses]
    assert subprocess.run(command, env=environment(), capture_output=True).returncode == 0


def test_run_is_one_process_that_reaches_for_nothing_refused(tmp_path: Path) -> None:
    """From start to the end of a drain, with a call below, a new configuration and a faulty one."""
    assert RUN.startswith("exec .venv/bin/python ")
    command = RUN.replace(".venv/bin/python", sys.executable)

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
        with (tmp_path / "log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment(GW_CONFIG=str(path)), stderr=log
            )
        started = process.pid
        try:
            await until(lambda: agent.writer)
            await until(lambda: b"HB n3 UP" in members.reports())
            router = Router(*await asyncio.open_connection("127.0.0.1", port))
            agent.on_launch = agent.call_downstream
            call = router.request(1)
            assert "result" in await router.answer(1)
            assert ledger.calls == [(call, b"ask")]
            path.write_text("{")
            process.send_signal(signal.SIGHUP)
            await until(lambda: b"reload_refused" in (tmp_path / "log").read_bytes())
            path.write_bytes(orjson.dumps(data))
            process.send_signal(signal.SIGHUP)
            await until(lambda: b"reloaded" in (tmp_path / "log").read_bytes())
            assert Path(f"/proc/{started}/task/{started}/children").read_text() == ""
            process.terminate()
            assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    run_async(check)
