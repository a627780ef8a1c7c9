"""Stub of a uwsgi backend with a limited number of workers, simulated run times and injected faults.

The stub shares no state with the node under test. Checkers compare the node's answers with the stub's log of
executed runs.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from shelfhaven.protocol import http, uwsgi

READ_SIZE = 1 << 16  # bytes
MAX_BLOCK_BYTES = 1 << 16  # limit on the block of uwsgi variables of a request
MAX_BODY_BYTES = 1 << 24  # limit on the body of a request
BACKLOG = 1024  # connections in the listen queue
SATURATION_STEP = 0.05  # seconds between updates of the slowdown by the requests in progress
RESET_DELAY = 0.05  # seconds before a reset, so that the peer receives the last bytes first
LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER value: closing the socket resets the connection


class StubMode(Enum):
    """How a stub handles requests."""

    SERVE = "serve"
    REJECT = "reject"  # answers 503 with X-Not-Run and executes nothing
    HANG = "hang"  # accepts the request, executes nothing and never answers
    RUN_AND_CLOSE = "run and close"  # executes the request and closes the connection without an answer
    FAIL = "fail"  # executes the request and answers 500
    RAW = "raw"  # executes the request and sends the bytes in `raw_response`
    RAW_AND_RESET = "raw and reset"  # like RAW, then resets the connection


@dataclass(frozen=True, slots=True)
class ExecutedRun:
    """One run that a stub executed. `at`: the Unix time of its start."""

    backend: str
    at: float
    path: str
    key: str
    body: bytes
    attempt_id: str


@dataclass(eq=False)
class BackendStub:
    """One uwsgi backend.

    Attributes:
        name: the backend's name in the log.
        log: the executed runs of all stubs that share this list, in order of their start.
        workers: number of runs executed concurrently.
        mean_duration: mean duration of a run in seconds; 0 ends runs at once.
        seed: seed of the random durations.
        mode: how requests are handled.
        slowdown: factor by which durations are multiplied.
        saturation: number of requests in progress above which runs slow down by the square of the ratio of
            the two numbers; 0 disables the slowdown.
        failing_prefix: requests whose path starts with this prefix are executed and answered with 500, unless
            the mode rejects them, leaves them unanswered or sends a raw response.
        raw_response: response bytes in the modes RAW and RAW_AND_RESET.
        port: the listening port; 0 before the first start.
        server: the listening server while the stub is started.
        writers: the open connections.
        requests: all requests received, executed or not.
        worker_slots: limits concurrent runs to `workers`.
        release: runs end only while this event is set.
        in_progress: number of requests in progress.
        peak_in_progress: largest number of requests in progress so far.
    """

    name: str
    log: list[ExecutedRun]
    workers: int = 4
    mean_duration: float = 0.0
    seed: int = 0
    mode: StubMode = StubMode.SERVE
    slowdown: float = 1.0
    saturation: int = 0
    failing_prefix: str = ""
    raw_response: bytes = b""
    port: int = 0
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    requests: list[uwsgi.Request] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.worker_slots = asyncio.Semaphore(self.workers)
        self.in_progress = 0
        self.peak_in_progress = 0
        self.release = asyncio.Event()
        self.release.set()

    @property
    def address(self) -> str:
        """The address, as written in the operator configuration."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Start to listen; a restarted stub reuses its previous port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, backlog=BACKLOG)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Simulate a crash: stop listening and abort all connections."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the single request of a connection."""
        self.writers.add(writer)
        parser = uwsgi.RequestParser(max_block_bytes=MAX_BLOCK_BYTES, max_body_bytes=MAX_BODY_BYTES)
        with contextlib.suppress(ConnectionError, uwsgi.StreamError):
            parsed: list[uwsgi.Request] = []
            while not parsed and (data := await reader.read(READ_SIZE)):
                parsed = parser.feed(data)
            if parsed:
                self.requests.append(parsed[0])
                await self._respond(parsed[0], reader, writer)
        self.writers.discard(writer)
        writer.close()

    async def _respond(
        self, request: uwsgi.Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        mode = self.mode  # later changes of the mode do not affect a request in progress
        if mode is StubMode.REJECT:
            writer.write(http.encode_response(503, [("X-Not-Run", "1")], b"", close=True))
            return
        if mode is StubMode.HANG:
            await reader.read()
            return
        self.in_progress += 1
        self.peak_in_progress = max(self.peak_in_progress, self.in_progress)
        try:
            await self._execute(request)
        finally:
            self.in_progress -= 1
        if mode is StubMode.RUN_AND_CLOSE:
            return
        if mode in (StubMode.RAW, StubMode.RAW_AND_RESET):
            await self._respond_raw(mode, writer)
            return
        path = request.variables["PATH_INFO"]
        is_failing_path = bool(self.failing_prefix) and path.startswith(self.failing_prefix)
        status = 500 if mode is StubMode.FAIL or is_failing_path else 200
        writer.write(http.encode_response(status, [], result_for(request.body, path), close=True))
        await writer.drain()

    async def _execute(self, request: uwsgi.Request) -> None:
        """Wait for a free worker, log the request as executed and simulate its run time."""
        variables = request.variables
        async with self.worker_slots:
            path = variables["PATH_INFO"]
            key = variables.get("HTTP_IDEMPOTENCY_KEY", "")
            attempt_id = variables.get("HTTP_X_REQUEST_ID", "")
            self.log.append(ExecutedRun(self.name, time.time(), path, key, request.body, attempt_id))
            if self.mean_duration > 0:
                await self._simulate_run(self.slowdown * self.mean_duration * (0.5 + self.random.random()))
            await self.release.wait()

    async def _simulate_run(self, seconds: float) -> None:
        """Sleep for the duration of a run, extended while the backend is saturated.

        Above saturation each run slows down by the square of the load ratio, so the throughput falls.
        """
        if not self.saturation:
            await asyncio.sleep(seconds)
            return
        loop = asyncio.get_running_loop()
        remaining = seconds
        while remaining > 0:
            delay_factor = max(1.0, self.in_progress / self.saturation) ** 2
            sleep_start = loop.time()
            await asyncio.sleep(min(SATURATION_STEP, remaining * delay_factor))
            remaining -= (loop.time() - sleep_start) / delay_factor

    async def _respond_raw(self, mode: StubMode, writer: asyncio.StreamWriter) -> None:
        writer.write(self.raw_response)
        if mode is StubMode.RAW:
            await writer.drain()
            return
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        await asyncio.sleep(RESET_DELAY)
        writer.transport.abort()


def result_for(body: bytes, path: str) -> bytes:
    """Return the result of a run; it contains the request's body or path, which identifies the request."""
    return b"made for " + (body or path.encode())


@contextlib.asynccontextmanager
async def started(backends: list[BackendStub]) -> AsyncIterator[list[BackendStub]]:
    """Start the backends and stop them at the end of the context."""
    for backend in backends:
        await backend.start()
    try:
        yield backends
    finally:
        for backend in backends:
            backend.stop()
