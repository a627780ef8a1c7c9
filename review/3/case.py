"""A node that answers consultations by subrequest grows until the platform kills it for its memory.

One node runs by the command of the deploy file, with an operator's file that has a listener for proxies
which ask by subrequest.  The proxies and the platform's limit on memory are stand-ins in this process.  The
disruption is a flood of consultations, at a rate that the service days name; without it, consultations
come at a lower rate.  Nothing is stopped, delayed or lost.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import Counter
from pathlib import Path
from typing import TextIO

HERE = Path(__file__).resolve().parent
ROOT = HERE.parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LOAD_S = 80.0  # seconds of load at most
RATE = 400.0 if TROUBLE else 50.0  # consultations a second
MAX_OPEN = 200  # consultations at a time
MEMORY_MB = 96  # of the node: the pages give an app server 32 to 192 MB
MEMORY_POLL_S = 0.25
DEADLINE_S = 8.8  # of the class
STOP_S = 3.2  # from SIGTERM until the process is stopped
START_TIMEOUT_S = 15.0

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 10, 2  # run.sh turns them into its own

OPERATOR_FILE = """
node "clearing-1" {{ cores 1.0; memory "{memory_mb}MB"; descriptors 1024; stop "{stop_ms}ms"; }}
work {{
    at-once 96
    memory "256MB"
    callers 4
    advice-most "1s"
    drain-grace "2500ms"
    class "balance-check" aim="2200ms" deadline="8800ms" worth=1 repeat="safe"
}}
mapping "vendors" {{
    route "balance-check" method="GET" path="/balance/*"
}}
listen "auth" protocol="subrequest" address="127.0.0.1:{port}" mapping="vendors" verdict="500ms" lease="300ms"
"""


class Record:
    """What was sent and answered, in the order in which this process saw it."""

    def __init__(self, file: TextIO) -> None:
        self.file = file
        self.started_at = time.monotonic()

    def add(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.started_at:9.4f} {text}\n")


class Node:
    """The node, and the platform's limit on its memory."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = int(probe.getsockname()[1])
        self.process: asyncio.subprocess.Process | None = None
        self.killed_at_mb = 0.0

    async def start(self) -> None:
        """Start the node by the command of the deploy file, and wait until it listens."""
        path = self.folder / "operator.kdl"
        text = OPERATOR_FILE.format(port=self.port, memory_mb=MEMORY_MB, stop_ms=int(STOP_S * 1000))
        path.write_text(text)
        command = (
            tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"] + f" --operator '{path}'"
        )
        (self.folder / "tmp").mkdir()
        env = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        with (self.folder / "log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=env | {"TMPDIR": str(self.folder / "tmp")},
                stdout=log, stderr=log, start_new_session=True,
            )  # fmt: skip
        async with asyncio.timeout(START_TIMEOUT_S):
            while self.process.returncode is None:
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection("127.0.0.1", self.port)
                    writer.close()
                    return
                await asyncio.sleep(0.05)
        raise EOFError((self.folder / "log").read_text()[-2000:])

    def memory_mb(self) -> float:
        """Return the resident memory of the node's one process."""
        assert self.process
        fields = Path(f"/proc/{self.process.pid}/status").read_text().split("VmRSS:")
        return int(fields[1].split()[0]) / 1024 if len(fields) > 1 else 0.0

    async def limit_memory(self) -> None:
        """Kill the node when it goes over its memory, as the platform does."""
        assert self.process
        noted_at = 0.0
        while self.process.returncode is None:
            used = self.memory_mb()
            if time.monotonic() - noted_at >= 1:
                noted_at = time.monotonic()
                self.record.add(f"platform: the node has {used:.1f} MB of {MEMORY_MB}")
            if used > MEMORY_MB:
                self.record.add(f"BROKEN platform: the node has {used:.1f} MB of {MEMORY_MB} and is killed")
                self.killed_at_mb = used
                self.process.kill()
                return
            await asyncio.sleep(MEMORY_POLL_S)

    async def stop(self) -> None:
        """End the node."""
        assert self.process
        if self.process.returncode is None:
            self.process.terminate()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.process.wait(), STOP_S + 1)
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):  # it has just ended
                os.killpg(self.process.pid, signal.SIGKILL)
            await self.process.wait()


class Proxies:
    """The proxies; `counts` has the consultations by how they ended."""

    def __init__(self, port: int, record: Record) -> None:
        self.port = port
        self.record = record
        self.counts: Counter[str] = Counter()
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, node: Node) -> None:
        """Send consultations at the rate of the case, until the time is over or the node is gone."""
        assert node.process
        started_at = time.monotonic()
        sent = 0
        while (elapsed := time.monotonic() - started_at) < LOAD_S and node.process.returncode is None:
            if sent < elapsed * RATE and len(self.tasks) < MAX_OPEN:
                sent += 1
                task = asyncio.create_task(self.consult(str(sent)))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
                await asyncio.sleep(0)
            else:
                await asyncio.sleep(0.001)
        if self.tasks:
            await asyncio.wait(self.tasks)

    async def consult(self, subject: str) -> None:
        """Ask for the verdict on one request, on a connection of its own."""
        answer = b""
        with contextlib.suppress(OSError):  # a TimeoutError is an OSError
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(
                b"GET /auth HTTP/1.1\r\nHost: clearing\r\nX-Original-Method: GET\r\n"
                b"X-Original-URI: /balance/%b\r\nConnection: close\r\n\r\n" % subject.encode()
            )
            answer = await asyncio.wait_for(reader.read(), DEADLINE_S)
            writer.close()
        status = answer[9:12].decode() if answer.startswith(b"HTTP/1.1 ") else "none"
        self.counts[f"verdicts {status}"] += 1
        self.record.add(f"proxy: verdict {status} on {subject}")


async def play(record: Record, folder: Path) -> int:
    """Play the case; return the exit code."""
    node = Node(folder, record)
    proxies = Proxies(node.port, record)
    crashed = False
    try:
        await node.start()
        before = node.memory_mb()
        limit = asyncio.create_task(node.limit_memory())
        await proxies.run(node)
        after = node.killed_at_mb or node.memory_mb()
        assert node.process
        crashed = node.process.returncode is not None and not node.killed_at_mb
        limit.cancel()
    finally:
        if node.process:
            await node.stop()
    summary = (
        f"{dict(proxies.counts)}; memory {before:.0f} MB before, {after:.0f} MB after, limit {MEMORY_MB} MB; "
        f"killed: {bool(node.killed_at_mb)}"
    )
    record.add(f"totals: {summary}")
    print(summary)
    if crashed or proxies.counts["verdicts 200"] < 1000:
        return EXIT_NOT_RUN
    return EXIT_BROKEN if node.killed_at_mb else EXIT_HELD


def main() -> int:
    """Play the case in a temporary folder."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))  # the app server is ended all the same
    with tempfile.TemporaryDirectory() as folder, (HERE / "record.txt").open("w") as file:
        record = Record(file)
        try:
            return asyncio.run(play(record, Path(folder)))
        except (OSError, EOFError) as error:  # a TimeoutError is an OSError
            record.add(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}")
    return EXIT_NOT_RUN


if __name__ == "__main__":
    sys.exit(main())
