"""A node as a process of its own, from the text of an operator's file, for the laboratory.

Owns the process and its files. It must never leave the process behind.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from pathlib import Path

import orjson

from shelfhaven.config import Address
from shelfhaven.lab.callers import connect

UP_WITHIN = 15.0  # seconds
STEADY_FROM = 12_000  # ports from there up to those that the system gives connections


def free_port() -> int:
    """A loopback port that nobody listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


# processes that are started after each other, as those of a test run are, keep this far apart
_steady = itertools.count(os.getpid() * 2003)


def steady_port() -> int:
    """A loopback port that nobody listens on and that no connection's near end is given by chance: one that a
    process may listen on later, and again after a restart, among thousands of connections."""
    lowest = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    for turn in _steady:
        port = STEADY_FROM + turn % max(1, lowest - STEADY_FROM)
        datagrams = socket.socket(type=socket.SOCK_DGRAM)
        with socket.socket() as probe, datagrams, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            datagrams.bind(("127.0.0.1", port))
            return port
    raise RuntimeError("no port is free")


def free_address() -> Address:
    """A loopback address that nobody listens on."""
    return Address("127.0.0.1", free_port())


@dataclass(eq=False)
class Node:
    """A node that serves; `code` is its exit code once it has ended."""

    process: asyncio.subprocess.Process
    log: Path
    up_after: float  # seconds from its start until it listened

    @property
    def pid(self) -> int:
        return self.process.pid

    @property
    def code(self) -> int | None:
        return self.process.returncode

    def events(self, name: str) -> list[dict[str, object]]:
        """Lines of its log with that event."""
        lines = [orjson.loads(line) for line in self.log.read_bytes().splitlines() if line.startswith(b"{")]
        return [line for line in lines if line["event"] == name]

    def leave(self) -> None:
        """The notice to leave."""
        if self.code is None:
            self.process.terminate()

    async def ended(self) -> int:
        """Tell it to leave, and wait until it has."""
        self.leave()
        return await self.process.wait()


@contextlib.asynccontextmanager
async def served(text: str, listens: Address, command: Sequence[str] = ()) -> AsyncIterator[Node]:
    """A node with this operator's file, once it listens there; killed if it outlives the context."""
    command = command or [sys.executable, "-m", "shelfhaven", "serve", "--operator"]
    with tempfile.TemporaryDirectory() as folder:
        path, log = Path(folder) / "operator.kdl", Path(folder) / "log"
        path.write_text(text)
        env = {key: value for key, value in os.environ.items() if key != "GW_CONFIG"}
        start = time.monotonic()
        with log.open("wb") as errors:
            process = await asyncio.create_subprocess_exec(*command, str(path), stderr=errors, env=env)
        try:
            while not await _listens(listens):
                if process.returncode is not None or time.monotonic() - start > UP_WITHIN:
                    raise RuntimeError(f"the node did not start: {log.read_text()}")
                await asyncio.sleep(0.01)
            yield Node(process, log, time.monotonic() - start)
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()


async def _listens(address: Address) -> bool:
    try:
        _, writer = await connect(address)
    except OSError:
        return False
    writer.close()
    return True
