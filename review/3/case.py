"""Consultations of proxies end without a verdict when a node drains during a flood of them.

Two nodes run by the command of the deploy file, with an operator's file that has a listener for proxies
which ask by subrequest.  The proxies are stand-ins in this process: a fixed number of them, each with one
consultation at a time on a connection of its own, so that the flood is bounded.  The disruption is a
rolling deploy: one node gets SIGTERM and drains, its cold successor starts under the same address once it
has ended, then it is the other node's turn.  A proxy goes to the other node when its connection is
refused.
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
PROXIES = 240  # consultations at a time
ROLLS = 8  # nodes that are replaced
SETTLE_S = 0.5  # of load before a node is replaced
CALM_S = 20.0  # of load without the disruption
DEADLINE_S = 8.8  # of the class: no caller waits longer for a verdict
STOP_S = 1.6  # from SIGTERM until the process is stopped, as at the site
REFUSED_PAUSE_S = 0.02
ALLOWED_SHARE = 3 / 1000  # of requests without a final answer, from which on the rule is broken
START_TIMEOUT_S = 30.0

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 10, 2  # run.sh turns them into its own

OPERATOR_FILE = """
node "{name}" {{ cores 1.0; memory "192MB"; descriptors 1024; stop "{stop_ms}ms"; }}
work {{
    at-once 64
    memory "256MB"
    callers 4
    advice-most "1s"
    drain-grace "2500ms"
    class "balance-check" aim="2200ms" deadline="8800ms" worth=1 repeat="safe"
}}
mapping "vendors" {{
    route "balance-check" method="GET" path="/balance/*"
}}
listen "auth" protocol="subrequest" address="127.0.0.1:{port}" mapping="vendors" verdict="500ms" lease="50ms"
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
    """One node, and its successors under the same name and address."""

    def __init__(self, name: str, folder: Path, record: Record) -> None:
        self.name = name
        self.folder = folder
        self.record = record
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = int(probe.getsockname()[1])
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the node by the command of the deploy file, and wait until it listens."""
        path = self.folder / f"{self.name}.kdl"
        path.write_text(OPERATOR_FILE.format(name=self.name, port=self.port, stop_ms=int(STOP_S * 1000)))
        command = (
            tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"] + f" --operator '{path}'"
        )
        temporary = Path(tempfile.mkdtemp(dir=self.folder))
        env = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=env | {"TMPDIR": str(temporary)},
                stdout=log, stderr=log, start_new_session=True,
            )  # fmt: skip
        async with asyncio.timeout(START_TIMEOUT_S):
            while self.process.returncode is None:
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection("127.0.0.1", self.port)
                    writer.close()
                    self.record.add(f"{self.name}: listens")
                    return
                await asyncio.sleep(0.05)
        raise EOFError((self.folder / f"{self.name}.log").read_text()[-2000:])

    async def drain(self) -> None:
        """Send the notice to leave, and wait for the end; the process is killed after the stop time."""
        assert self.process
        if self.process.returncode is None:
            self.record.add(f"{self.name}: SIGTERM")
            self.process.terminate()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.process.wait(), STOP_S)
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):  # it has just ended
                os.killpg(self.process.pid, signal.SIGKILL)
            await self.process.wait()
        self.record.add(f"{self.name}: ended with {self.process.returncode}")


class Proxies:
    """The proxies; `counts` has the consultations by how they ended."""

    def __init__(self, nodes: list[Node], record: Record) -> None:
        self.nodes = nodes
        self.record = record
        self.counts: Counter[str] = Counter()
        self.stopped = False

    async def run(self, number: int) -> None:
        """Send one consultation after the other, to the other node once a connection is refused."""
        at = number % len(self.nodes)
        sequence = 0
        while not self.stopped:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.nodes[at].port)
            except OSError:  # proves that nothing was read
                self.counts["connections refused"] += 1
                at = (at + 1) % len(self.nodes)
                await asyncio.sleep(REFUSED_PAUSE_S)
                continue
            sequence += 1
            await self.consult(f"{number}-{sequence}", self.nodes[at].name, reader, writer)

    async def consult(
        self, subject: str, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Ask for the verdict on one request."""
        sent_at = time.monotonic()
        writer.write(
            b"GET /auth HTTP/1.1\r\nHost: clearing\r\nX-Original-Method: GET\r\n"
            b"X-Original-URI: /balance/%b\r\nConnection: close\r\n\r\n" % subject.encode()
        )
        answer, ended = b"", "the deadline passed"
        try:
            answer = await asyncio.wait_for(reader.read(), DEADLINE_S)
            ended = "the connection ended"
        except TimeoutError:
            pass
        except OSError as error:
            ended = f"the connection broke: {error.strerror}"
        writer.close()
        seconds = time.monotonic() - sent_at
        if answer.startswith(b"HTTP/1.1 ") and b"\r\n\r\n" in answer:
            status = answer[9:12].decode()
            self.counts[f"verdicts {status}"] += 1
            self.record.add(f"{node}: verdict {status} on {subject} after {seconds:.3f} s")
        else:
            self.counts["no verdict"] += 1
            self.record.add(f"{node}: NO VERDICT on {subject} after {seconds:.3f} s: {ended}")


async def roll(nodes: list[Node]) -> None:
    """Replace the nodes one after the other."""
    for number in range(ROLLS):
        await asyncio.sleep(SETTLE_S)
        node = nodes[number % len(nodes)]
        await node.drain()
        await node.start()
    await asyncio.sleep(SETTLE_S)


async def play(record: Record, folder: Path) -> int:
    """Play the case; return the exit code."""
    nodes = [Node(name, folder, record) for name in ("clearing-1", "clearing-2")]
    proxies = Proxies(nodes, record)
    try:
        for node in nodes:
            await node.start()
        tasks = [asyncio.create_task(proxies.run(number)) for number in range(PROXIES)]
        await (roll(nodes) if TROUBLE else asyncio.sleep(CALM_S))
        proxies.stopped = True
        await asyncio.gather(*tasks)
        crashed = any(node.process and node.process.returncode is not None for node in nodes)
    finally:
        for node in nodes:
            if node.process:
                await node.drain()
    counts = proxies.counts
    sent = sum(count for kind, count in counts.items() if kind != "connections refused")
    share = counts["no verdict"] / max(1, sent)
    summary = f"{dict(counts)}; without a verdict {1000 * share:.1f} of 1,000, allowed under 3"
    record.add(f"totals: {summary}")
    print(summary)
    if crashed or sent < 1000:
        return EXIT_NOT_RUN
    return EXIT_BROKEN if share >= ALLOWED_SHARE else EXIT_HELD


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
