"""Stub of a singleton task's target: an HTTP service that checks fencing tokens and records its requests.

It relies on nothing but the token in each request: it never queries a node.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus

import orjson
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.netutil import bind_sockets

HOST = "127.0.0.1"
FENCING_HEADER, IDEMPOTENCY_HEADER = "X-Fence", "Idempotency-Key"  # not imported from the code under test


class Mode(Enum):
    """How the target handles a request."""

    SERVE = "serve"
    HANG = "hang"  # neither executes nor answers it
    FAIL = "fail"  # answers 500 without executing it
    LOSE = "lose"  # executes it but does not answer


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """A request, which was executed or rejected because of its fencing token."""

    at: float  # Unix time of its execution or rejection
    task: str
    fencing_token: int
    key: str  # idempotency key
    body: bytes
    applied: bool  # executed, not rejected
    repeated: bool = False  # a request with the same key was executed before
    body_changed: bool = False  # and that request had a different body


@dataclass(eq=False)
class TargetStub:
    """The service.

    Unless `checks_tokens` is set, it also executes requests whose token is lower than an earlier one.
    """

    checks_tokens: bool = True
    mode: Mode = Mode.SERVE
    delay: float = 0.0  # seconds between reading and handling a request
    port: int = 0  # 0: the system chooses one at the first start
    requests: list[TargetRequest] = field(default_factory=list)  # in the order of handling
    highest_tokens: Counter[str] = field(default_factory=Counter)  # by task
    bodies: dict[str, bytes] = field(default_factory=dict)  # first executed body, by idempotency key
    server: HTTPServer | None = None
    handlers: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def url(self) -> str:
        """The URL of the service."""
        return f"http://{HOST}:{self.port}"

    async def start(self) -> None:
        """Listen, after a restart on the same port as before."""
        sockets = bind_sockets(self.port, HOST)
        self.server = HTTPServer(self._on_request)
        self.server.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening, close all connections and cancel requests in progress."""
        if self.server:
            self.server.stop()
            await self.server.close_all_connections()
        for handler in list(self.handlers):
            handler.cancel()

    def applied(self, task: str) -> list[TargetRequest]:
        """Return the executed requests of a task, including repeated ones."""
        return [request for request in self.requests if request.task == task and request.applied]

    def _on_request(self, request: HTTPServerRequest) -> None:
        handler = asyncio.ensure_future(self._handle(request))
        self.handlers.add(handler)
        handler.add_done_callback(self.handlers.discard)

    async def _handle(self, request: HTTPServerRequest) -> None:
        if self.delay:
            await asyncio.sleep(self.delay)
        if self.mode is Mode.HANG:
            return
        if self.mode is Mode.FAIL:
            self._answer(request, HTTPStatus.INTERNAL_SERVER_ERROR, b"", {})
            return
        recorded = self._record(request)
        if not recorded.applied:
            highest = f"{recorded.task} {self.highest_tokens[recorded.task]}"
            self._answer(request, HTTPStatus.PRECONDITION_FAILED, b"", {FENCING_HEADER: highest})
            return
        self.highest_tokens[recorded.task] = max(self.highest_tokens[recorded.task], recorded.fencing_token)
        self.bodies.setdefault(recorded.key, request.body)
        if self.mode is not Mode.LOSE:
            body = orjson.dumps({"taken": recorded.key, "again": recorded.repeated})
            self._answer(request, HTTPStatus.OK, body, {})

    def _record(self, request: HTTPServerRequest) -> TargetRequest:
        task, _, number = request.headers.get(FENCING_HEADER, "").rpartition(" ")
        key = request.headers.get(IDEMPOTENCY_HEADER, "")
        token = int(number) if number.isdigit() else 0
        applied = not self.checks_tokens or token >= self.highest_tokens[task]
        repeated = key in self.bodies
        body_changed = repeated and self.bodies[key] != request.body
        recorded = TargetRequest(time.time(), task, token, key, request.body, applied, repeated, body_changed)
        self.requests.append(recorded)
        return recorded

    def _answer(
        self, request: HTTPServerRequest, status: HTTPStatus, body: bytes, extra_headers: Mapping[str, str]
    ) -> None:
        connection = request.connection
        if connection is None or connection.stream.closed():  # type: ignore[attr-defined]
            return
        headers = HTTPHeaders({"Content-Length": str(len(body)), **extra_headers})
        connection.write_headers(ResponseStartLine("HTTP/1.1", status, status.phrase), headers, body)
        connection.finish()
