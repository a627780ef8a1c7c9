"""Stand-ins for the cases of the second review: the node as a process, gateways, uwsgi servers, a record.

Everything listens on loopback addresses and free ports; files are in a temporary folder that ends with the
case.  The node is started by the command `run` of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
START_TIMEOUT = 20.0  # seconds until a started node must accept connections


class CaseError(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """What was sent, answered and run, one line an event with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.started_at = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def add(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
        self.file.flush()


def free_port() -> int:
    """Return a free TCP port of the loopback address."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def trouble() -> bool:
    """Whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Node:
    """One node, started by the deploy file's command with an operator's file."""

    def __init__(self, record: Record, folder: Path, operator_text: str, ports: list[int]) -> None:
        self.record = record
        self.folder = folder
        self.ports = ports
        self.operator_path = folder / "operator.kdl"
        self.operator_path.write_text(operator_text, encoding="utf-8")
        self.log_path = folder / "node.log"
        self.process: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        """Start the process and wait until its ports accept connections."""
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
        command = f"{deploy['run']} --operator {self.operator_path}"
        environment = {name: value for name, value in os.environ.items() if name != "GW_CONFIG"}
        environment["TMPDIR"] = str(self.folder)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        deadline = time.monotonic() + START_TIMEOUT
        for port in self.ports:
            while not await _accepts(port):
                if self.process.poll() is not None or time.monotonic() > deadline:
                    raise CaseError(f"the node did not start: {self.log_text()[-2000:]}")
                await asyncio.sleep(0.05)
        self.record.add("node started")

    def check(self, operator_text: str) -> None:
        """Check an operator's file with the project's own command, as an operator does before a reload."""
        path = self.folder / "checked.kdl"
        path.write_text(operator_text, encoding="utf-8")
        command = [".venv/bin/python", "-m", "shelfhaven", "check-config", "--operator", str(path)]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
        self.record.add(f"check-config of the new file: exit {done.returncode}")
        if done.returncode:
            raise CaseError(f"the new file is refused: {done.stderr}")

    async def reload(self, operator_text: str) -> str:
        """Replace the operator's file, send SIGHUP and return the log line that reports the reload."""
        replacement = self.folder / "operator.new"
        replacement.write_text(operator_text, encoding="utf-8")
        replacement.rename(self.operator_path)
        self.signal(signal.SIGHUP)
        return await self.logged("reload")

    async def logged(self, word: str, timeout: float = 3.0) -> str:
        """Return the first line of the log with this word; raise CaseError if there is none in time."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            for line in self.log_text().splitlines():
                if word in line:
                    self.record.add(f"node's log: {line}")
                    return line
            await asyncio.sleep(0.02)
        raise CaseError(f"the node logged no {word}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process
        self.record.add(f"{number.name} to the node")
        self.process.send_signal(number)

    def log_text(self) -> str:
        """Return all that the node has logged."""
        return self.log_path.read_text(encoding="utf-8", errors="replace") if self.log_path.exists() else ""

    def end(self) -> None:
        """End the process, which is expected to have been started by this object."""
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


async def _accepts(port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.close()
    return True


# uwsgi


def encode_packet(variables: Mapping[str, str], body: bytes) -> bytes:
    """Return a request as the uwsgi protocol has it."""
    block = b""
    for name, value in {**variables, "CONTENT_LENGTH": str(len(body))}.items():
        for text in (name, value):
            data = text.encode("latin-1")
            block += struct.pack("<H", len(data)) + data
    return struct.pack("<BHB", 0, len(block), 0) + block + body


async def read_packet(reader: asyncio.StreamReader) -> tuple[dict[str, str], bytes]:
    """Read one request from a connection."""
    _, size, _ = struct.unpack("<BHB", await reader.readexactly(4))
    block = await reader.readexactly(size)
    texts = []
    position = 0
    while position < size:
        (length,) = struct.unpack_from("<H", block, position)
        texts.append(block[position + 2 : position + 2 + length].decode("latin-1"))
        position += 2 + length
    variables = dict(zip(texts[::2], texts[1::2], strict=True))
    return variables, await reader.readexactly(int(variables.get("CONTENT_LENGTH") or 0))


class Answer(NamedTuple):
    """An answer in HTTP; status 0 if the connection ended without a whole one."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def not_run(self) -> bool:
        """Whether the answer promises that nothing was executed."""
        return self.headers.get("x-not-run") == "1"

    def __str__(self) -> str:
        """Return the answer for the record."""
        promise = ", X-Not-Run: 1" if self.not_run else ""
        return f"{self.status}{promise} {self.body[:80]!r}"


NO_ANSWER = Answer(0, {}, b"")


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer with a Content-Length."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = (line.partition(":") for line in head[1:] if line)
        headers = {name.strip().lower(): value.strip() for name, _, value in fields}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (OSError, asyncio.IncompleteReadError):
        return NO_ANSWER
    return Answer(int(head[0].split()[1]), headers, body)


class Gateway:
    """One connection of a gateway; requests go out one at a time."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def ask(self, variables: Mapping[str, str], body: bytes, timeout: float = 10.0) -> Answer:
        """Send a request on this connection, which is opened first if need be; return its answer."""
        if self.reader is None or self.writer is None:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            self.writer.write(encode_packet(variables, body))
            return await asyncio.wait_for(read_answer(self.reader), timeout)
        except (OSError, TimeoutError):
            return NO_ANSWER

    def close(self) -> None:
        """Close the connection."""
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


async def ask_once(port: int, variables: Mapping[str, str], body: bytes) -> Answer:
    """Send one request on a connection of its own."""
    gateway = Gateway(port)
    try:
        return await gateway.ask(variables, body)
    finally:
        gateway.close()


@dataclass(frozen=True)
class Run:
    """One execution at a server."""

    server: str
    path: str
    key: str
    body: bytes
    at: float  # monotonic seconds at which it began


@dataclass
class Server:
    """A uwsgi server that executes each request that it receives, whole, and answers 200 when it is done.

    Work that has begun goes on when the connection ends, as work with an effect does.
    """

    name: str
    record: Record
    runs: list[Run]
    duration: Callable[[str], float]  # seconds that a request of this path takes
    workers: int = 64  # requests that it executes at a time; others wait for a worker
    port: int = 0
    serving: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.slots = asyncio.Semaphore(self.workers)
        self.serving = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.serving.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            variables, body = await read_packet(reader)
            path = variables.get("PATH_INFO", "")
            key = variables.get("HTTP_IDEMPOTENCY_KEY", "")
            async with self.slots:
                self.runs.append(Run(self.name, path, key, body, time.monotonic()))
                self.record.add(f"server {self.name} runs {path} {body!r} key={key}")
                await asyncio.sleep(self.duration(path))
            result = b"done " + (body or path.encode())
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b"
                % (len(result), result)
            )
            await writer.drain()
        writer.close()

    def stop(self) -> None:
        """Stop listening."""
        if self.serving:
            self.serving.close()


Play = Callable[[Record, Path], Awaitable[bool]]


def play_case(play: Play, case_file: str) -> None:
    """Play a case and exit with its result; `play` returns whether the rule held.

    Whatever else ends the case, such as an unexpected error or SIGTERM, is `NOT_RUN`: it says nothing about
    the rule, and an error of Python's own would end with the code of a broken rule.
    """
    record = Record(Path(case_file).resolve().parent)
    record.add(f"with the disruption: {trouble()}")

    def not_played(kind: type[BaseException], error: BaseException, trace: TracebackType | None) -> None:
        """Exit after an unexpected error; the node has been ended by then."""
        record.add("not played: " + "".join(traceback.format_exception(kind, error, trace)))
        os._exit(NOT_RUN)

    sys.excepthook = not_played
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(NOT_RUN))  # ends the node on its way out
    code = NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as folder:
            held = asyncio.run(asyncio.wait_for(play(record, Path(folder)), 110.0))
        code = HELD if held else BROKEN
    except (CaseError, OSError, TimeoutError) as error:
        record.add(f"not played: {error!r}")
    record.add({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "could not run"}[code])
    sys.exit(code)
