"""A pool of uwsgi backends: makes the connections to them, and executes the actions of the pool's router.

`routing/run_router.py` chooses the backend and the timeout of each attempt and decides on retries, and
`routing/attempts.py` classifies the responses. Each attempt uses a connection of its own, and data after the
response is ignored.
"""

from __future__ import annotations

import asyncio
import math
import socket
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import NotRequired, TypeAlias, TypedDict

from tornado.iostream import IOStream, StreamClosedError

from shelfhaven.backends.failure_boundary import FailureBoundary
from shelfhaven.operator_config import PoolConfig, SocketAddress
from shelfhaven.protocol import http
from shelfhaven.protocol import uwsgi as wire
from shelfhaven.routing.attempts import (
    Action,
    AttemptResult,
    Run,
    RunFinished,
    SendAttempt,
    classify_response,
)
from shelfhaven.routing.run_router import RunRouter
from shelfhaven.routing.slow_start import SlowStart
from shelfhaven.server import messages
from shelfhaven.server.descriptors import Descriptors
from shelfhaven.server.log import Log
from shelfhaven.server.mailbox import after_reading

READ_SIZE = 64 * 1024  # bytes
MIN_TIMER = 0.001  # seconds; a shorter delay could make the timer fire in a busy loop
DEFAULT_METHOD = "POST"
DEFAULT_CONTENT_TYPE = "application/octet-stream"

EventSink: TypeAlias = Callable[[messages.RunnerEvent], None]


class PoolLoad(TypedDict):
    """The load of one pool, as written to the log."""

    spill: NotRequired[float]  # fraction of the runs sent to other zones, if routing is zone-aware
    by_zone: NotRequired[dict[str, int]]  # number of attempts since the start, by zone
    in_hand: int  # runs in flight
    room: float  # number of runs that the pool can have in flight
    waiting: int  # runs that wait for capacity
    further: int  # retries since the start
    servers: dict[str, int]  # number of backends, by state


@dataclass(slots=True, eq=False)
class AttemptConnection:
    """The connection of an attempt in flight.

    Attributes:
        number: number of the attempt.
        method: method of the request.
        stream: the connection.
        was_connected: whether the connection was established.
        timer: timeout of the attempt.
        result: result of the attempt if the connection ended now.
        body: body of the response, once it has been received.
    """

    number: int
    method: str
    stream: IOStream
    was_connected: bool = False
    timer: asyncio.TimerHandle | None = None
    result: AttemptResult = AttemptResult.UNREACHABLE
    body: bytes = b""

    def record_response(self, response: http.Response) -> None:
        """Record the response of the backend as the result."""
        self.result = classify_response(response.status, response.not_run)
        self.body = response.body


class UwsgiPool:
    """A pool of uwsgi backends.

    Attributes:
        config: current configuration of the pool.
        addresses: addresses of all current and former backends, by name.
        router: router of the pool's runs.
        launches: launch messages of the runs that have not finished, by run ID.
        results: response bodies of served runs whose end has not been reported yet, by run ID.
        attempts: connections of the attempts in flight, by attempt number.
        tasks: tasks of the attempts; the event loop itself keeps only weak references to tasks.
        timer: timer for the router's next change of state.
    """

    def __init__(
        self, config: PoolConfig, descriptors: Descriptors, tell: EventSink, log: Log, seed: int
    ) -> None:
        self.config = config
        self.descriptors = descriptors
        self.tell = tell
        self.log = log
        self.addresses: dict[str, SocketAddress] = dict(config.servers)
        now = time.monotonic()
        slow_start = SlowStart(config.slow_start, now) if config.slow_start else None
        self.router = RunRouter(config.settings, config.servers, now, seed, slow_start)
        self.router.pool.zones = config.zones
        self.launches: dict[str, messages.LaunchRun] = {}
        self.results: dict[str, bytes] = {}
        self.attempts: dict[int, AttemptConnection] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None

    def launch(self, launch: messages.LaunchRun) -> None:
        """Run a request at one of the backends; launching the same run again has no effect."""
        if launch.attempt_id in self.launches:
            return
        self.launches[launch.attempt_id] = launch
        now = time.monotonic()
        run = Run(
            run_id=launch.attempt_id,
            class_name=launch.class_name,
            deadline=now + launch.time_left,
            idempotent=launch.idempotent,
            has_idempotency_key=bool(launch.idempotency_key),
        )
        self._execute(self.router.launch(now, run))

    def update(self, config: PoolConfig) -> None:
        """Apply new settings and a new list of backends; attempts in flight continue."""
        self.config = config
        self.addresses |= config.servers
        pool = self.router.pool
        pool.zones = config.zones
        if pool.slow_start and config.slow_start:
            pool.slow_start.settings = config.slow_start
        self._execute(self.router.update(time.monotonic(), config.settings, list(config.servers)))

    def drain(self) -> None:
        """Send no new runs to the backends, because the pool was removed from the configuration."""
        self._execute(self.router.update(time.monotonic(), self.config.settings, []))

    def flush(self) -> None:
        """Log changes of the pool and reset its timer, after changes made other than by its runs."""
        self._execute([])

    def load_now(self) -> PoolLoad:
        """Return the current load of the pool, for the log."""
        pool = self.router.pool
        states = Counter(backend.state.value for backend in pool.backends.values())
        load: PoolLoad = {
            "in_hand": pool.in_flight(),
            "room": round(self.router.capacity(time.monotonic()), 1),
            "waiting": len(self.router.pending),
            "further": self.router.retries,
            "servers": dict(states),
        }
        if pool.locality is None:
            return load
        return {
            "spill": round(pool.locality.spill, 2),
            "by_zone": dict(pool.locality.attempts_by_zone),
            **load,
        }

    def close(self) -> None:
        """Close all connections."""
        if self.timer:
            self.timer.cancel()
        for attempt in list(self.attempts.values()):
            attempt.stream.close()

    # Actions

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendAttempt):
                self._start_attempt(action)
            else:
                self._finish_run(action)
        self._log_changes()
        self._set_timer()

    def _log_changes(self) -> None:
        for change in self.router.pool.take_changes():
            self.log.event(
                "pool_server",
                pool=self.config.name,
                at_server=change.backend,
                standing=change.state.value,
                why=change.reason,
            )

    def _set_timer(self) -> None:
        if self.timer:
            self.timer.cancel()
            self.timer = None
        now = time.monotonic()
        due_at = self.router.next_advance(now)
        if due_at < math.inf:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(max(MIN_TIMER, due_at - now), after_reading, self._advance)

    def _advance(self) -> None:
        self._execute(self.router.advance(time.monotonic()))

    def _finish_run(self, finished: RunFinished) -> None:
        run_id = finished.run_id
        del self.launches[run_id]
        body = self.results.pop(run_id, b"")
        self.tell(messages.RunCompleted(run_id, finished.outcome, finished.elapsed, body))

    # Attempts

    def _start_attempt(self, send: SendAttempt) -> None:
        """Start an attempt; if no socket is available, the attempt ends as unreachable."""
        address = self.addresses[send.backend]
        loop = asyncio.get_running_loop()
        stream = self._new_stream(address)
        if stream is None:
            # Report it in a later iteration of the event loop, like any other end of an attempt.
            loop.call_soon(self._end_attempt, send.attempt, AttemptResult.UNREACHABLE)
            return
        method = self._request_attributes(self.launches[send.run_id]).method
        attempt = AttemptConnection(send.attempt, method, stream)
        self.attempts[send.attempt] = attempt
        attempt.timer = loop.call_later(send.timeout, after_reading, self._time_out, attempt)
        task = loop.create_task(self._serve_attempt(attempt, address, self._encode_request(send)))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _new_stream(self, address: SocketAddress) -> IOStream | None:
        """Create a socket for an address; return None if no file descriptor is available."""
        if not self.descriptors.acquire_outbound():
            return None
        family = socket.AF_UNIX if isinstance(address, Path) else socket.AF_INET
        try:
            return IOStream(socket.socket(family, socket.SOCK_STREAM))
        except OSError as error:
            self.descriptors.release_outbound()
            self.log.event("pool_no_socket", pool=self.config.name, error=str(error))
            return None

    def _encode_request(self, send: SendAttempt) -> bytes:
        launch = self.launches[send.run_id]
        variables = self._request_variables(launch)
        variables["HTTP_X_REQUEST_ID"] = launch.attempt_id
        variables["HTTP_X_TIME_LEFT_MS"] = str(max(1, int(send.timeout * 1000)))
        if len(self.router.runs[send.run_id].tried_backends) > 1:
            variables["HTTP_X_RETRY"] = "1"
        if launch.idempotency_key:
            variables["HTTP_IDEMPOTENCY_KEY"] = launch.idempotency_key
        return wire.encode(variables, launch.body)

    def _request_variables(self, launch: messages.LaunchRun) -> dict[str, str]:
        """Return the variables common to all attempts of a run, including those from its frontend."""
        attributes = self._request_attributes(launch)
        path = attributes.path
        query = attributes.query
        return {
            "REQUEST_METHOD": attributes.method,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "REQUEST_URI": f"{path}?{query}" if query else path,
            "SERVER_PROTOCOL": "HTTP/1.1",
            "CONTENT_TYPE": attributes.content_type,
            **dict(attributes.extra_variables),
        }

    def _request_attributes(self, launch: messages.LaunchRun) -> messages.RequestAttributes:
        """Return the request attributes of a run: those from its frontend, or else the configured ones."""
        if launch.attributes:
            return launch.attributes
        target = self.config.runs.get(launch.class_name)
        method = target.method if target else DEFAULT_METHOD
        path = target.path if target else f"/{launch.class_name}"
        return messages.RequestAttributes(method, path, "", DEFAULT_CONTENT_TYPE)

    async def _serve_attempt(
        self, attempt: AttemptConnection, address: SocketAddress, request: bytes
    ) -> None:
        """Make one attempt; always report its end and release its descriptor."""
        try:
            with FailureBoundary(self.log, "pool_failed", pool=self.config.name):
                await self._exchange(attempt, address, request)
        finally:
            attempt.stream.close()
            self.descriptors.release_outbound()
            self._end_attempt(attempt.number, attempt.result, attempt.body)

    async def _exchange(self, attempt: AttemptConnection, address: SocketAddress, request: bytes) -> None:
        """Connect, send the request, and read the response."""
        parser = http.ResponseParser(True, self.config.max_result_bytes, attempt.method)
        try:
            await self._connect(attempt, address)
            attempt.stream.write(request)
            response = None
            while response is None:
                response = parser.feed(await attempt.stream.read_bytes(READ_SIZE, partial=True))
            attempt.record_response(response)
            if parser.unread:
                self.log.event("pool_trailing", pool=self.config.name, server=str(address))
        except TimeoutError:
            pass
        except (OSError, StreamClosedError):
            was_closed_cleanly = attempt.was_connected and attempt.stream.error is None
            if was_closed_cleanly and (response := parser.close()):
                attempt.record_response(response)
        except http.StreamError as error:
            self.log.event("pool_stream", pool=self.config.name, server=str(address), error=str(error))

    async def _connect(self, attempt: AttemptConnection, address: SocketAddress) -> None:
        target = str(address) if isinstance(address, Path) else (address.host, address.port)
        connect = asyncio.ensure_future(attempt.stream.connect(target))
        await asyncio.wait_for(connect, self.config.settings.connect_timeout)
        if not isinstance(address, Path):
            attempt.stream.set_nodelay(True)
        attempt.was_connected = True
        attempt.result = AttemptResult.BROKEN  # unless a response arrives

    def _time_out(self, attempt: AttemptConnection) -> None:
        """End an attempt that timed out, before the close of its connection can report another result."""
        if attempt.number in self.attempts:
            result = AttemptResult.TIMEOUT if attempt.was_connected else AttemptResult.UNREACHABLE
            self._end_attempt(attempt.number, result)
            attempt.stream.close()

    def _end_attempt(self, number: int, result: AttemptResult, body: bytes = b"") -> None:
        attempt = self.attempts.pop(number, None)
        if attempt and attempt.timer:
            attempt.timer.cancel()
        run = self.router.run_by_attempt.get(number)
        if run and result is AttemptResult.SERVED:
            self.results[run.run_id] = body
        self._execute(self.router.attempt_ended(time.monotonic(), number, result))
