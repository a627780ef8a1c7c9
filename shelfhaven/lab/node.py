"""Runs a node as a separate process from the text of an operator configuration.

`run_node` owns the process and its files and removes both at the end of its context.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from pathlib import Path

import orjson

from shelfhaven.config import Address
from shelfhaven.errors import ShelfhavenError
from shelfhaven.lab.callers import connect

START_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.01  # between attempts to connect to a starting node


class NodeStartError(ShelfhavenError):
    """The node exited or did not listen in time. `log`: its standard error until then."""

    def __init__(self, log: str) -> None:
        super().__init__(f"the node did not start: {log}")
        self.log = log


@dataclass(eq=False)
class NodeProcess:
    """The process of a node that has started to listen.

    Attributes:
        process: the process, which may have exited since.
        log: the path of the file that receives its standard error.
        startup_seconds: seconds from the start of the process until it listened.
    """

    process: asyncio.subprocess.Process
    log: Path
    startup_seconds: float

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    @property
    def exit_code(self) -> int | None:
        """The exit code; None while the process is running."""
        return self.process.returncode

    def events(self, name: str) -> list[dict[str, object]]:
        """Return the log lines of one event."""
        lines = [orjson.loads(line) for line in self.log.read_bytes().splitlines() if line.startswith(b"{")]
        return [line for line in lines if line["event"] == name]

    def begin_shutdown(self) -> None:
        """Start a graceful shutdown unless the process has exited."""
        if self.exit_code is None:
            self.process.terminate()

    async def shut_down(self) -> int:
        """Shut the node down gracefully, wait for its end and return its exit code."""
        self.begin_shutdown()
        return await self.process.wait()


@contextlib.asynccontextmanager
async def run_node(text: str, address: Address, command: Sequence[str] = ()) -> AsyncIterator[NodeProcess]:
    """Run a node for the duration of the context, which is entered once the node listens at the address.

    Args:
        text: the operator configuration.
        address: an address that the node listens at.
        command: the command that starts the node, without the path of the configuration; by default `serve`.

    Raises:
        NodeStartError: the node exited or did not listen in time.
    """
    command = command or [sys.executable, "-m", "shelfhaven", "serve", "--operator"]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "operator.kdl"
        log = Path(folder) / "log"
        path.write_text(text)
        env = {key: value for key, value in os.environ.items() if key != "GW_CONFIG"}
        started_at = time.monotonic()
        with log.open("wb") as errors:
            process = await asyncio.create_subprocess_exec(*command, str(path), stderr=errors, env=env)
        try:
            while not await _is_listening(address):
                if process.returncode is not None or time.monotonic() - started_at > START_TIMEOUT_S:
                    raise NodeStartError(log.read_text())
                await asyncio.sleep(POLL_INTERVAL_S)
            yield NodeProcess(process, log, time.monotonic() - started_at)
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()


async def _is_listening(address: Address) -> bool:
    try:
        _, writer = await connect(address)
    except OSError:
        return False
    writer.close()
    return True
