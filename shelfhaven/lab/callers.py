"""Callers for tests and the demo: a router's JSON-RPC connection and a gateway's uwsgi requests.

The callers own their sockets and return what they receive. They do not validate answers; checker.py does.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple, TypeAlias

import orjson

from shelfhaven.config import Address
from shelfhaven.lab.waiting import wait_until
from shelfhaven.protocol import jsonrpc, uwsgi

Message: TypeAlias = dict[str, Any]  # a decoded JSON-RPC message

STEP_TIMEOUT_S = 10.0  # seconds; time limit of one step of a test
POLL_INTERVAL_S = 0.002
READ_SIZE = 64 * 1024  # bytes
ENDED_UNANSWERED = "the connection ended before the answer arrived"
NO_STATUS = 0  # status of a `Reply` if no complete response arrived


async def until(condition: Callable[[], object]) -> None:
    """Wait until the condition is true.

    Raises:
        TimeoutError: the condition did not become true within `STEP_TIMEOUT_S`.
    """
    await wait_until(condition, STEP_TIMEOUT_S, POLL_INTERVAL_S)


class Router:
    """One connection of a router.

    Attributes:
        received: all messages received so far, decoded.
        ended: whether the connection has ended.
        pending: futures of the answers that `wait_for_answer` waits for, by request id.
        task: the task that reads from the connection.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.parser = jsonrpc.FrameParser()
        self.received: list[Message] = []
        self.ended = False
        self._shutdown_received = False
        self.pending: dict[int, asyncio.Future[Message]] = {}
        self.task = asyncio.get_running_loop().create_task(self._read())

    async def _read(self) -> None:
        try:
            with contextlib.suppress(ConnectionError):
                while data := await self.reader.read(READ_SIZE):
                    messages = [orjson.loads(body) for body in self.parser.feed(data)]
                    self.received += messages
                    for message in messages:
                        self._handle_message(message)
        finally:
            self._end()

    def _end(self) -> None:
        """Record the end of the connection and fail all pending answers."""
        self.ended = True
        for future in self.pending.values():
            if not future.done():
                future.set_exception(ConnectionError(ENDED_UNANSWERED))
        self.pending.clear()

    def _handle_message(self, message: Message) -> None:
        if message.get("method") == "shutdown":
            self._shutdown_received = True
        future = self.pending.pop(message.get("id") or 0, None)
        if future and not future.done():
            future.set_result(message)

    def send(self, message: object) -> None:
        """Send one frame; a body given as bytes is sent unchanged, anything else is encoded as JSON."""
        body = message if isinstance(message, bytes) else orjson.dumps(message)
        self.writer.write(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))

    def request(self, id_: int, method: str = "look", **changes: object) -> str:
        """Send a request with the default parameters, updated by `changes`; return its `call` parameter."""
        params: dict[str, object] = {
            "call": f"{id_:016x}",
            "recv": int(time.time() * 1000),
            "src": 1,
            "org": "one",
            "heap": 10.0,
            "crit": 0.5,
            "body": base64.b64encode(b"ask").decode(),
        } | changes
        self.send({"jsonrpc": "2.0", "id": id_, "method": method, "params": params})
        return str(params["call"])

    def messages_for(self, id_: int) -> list[Message]:
        """Return all messages received with this id, in order of arrival."""
        return [message for message in self.received if message.get("id") == id_]

    async def answer(self, id_: int) -> Message:
        """Wait for the first answer to this request and return it."""
        await until(lambda: self.messages_for(id_))
        return self.messages_for(id_)[0]

    async def wait_for_answer(self, id_: int) -> Message:
        """Wait for the answer to a request that was just sent.

        Unlike `answer` this does not search all messages received so far.

        Raises:
            ConnectionError: the connection ended before the answer arrived.
        """
        if self.ended:
            raise ConnectionError(ENDED_UNANSWERED)
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self.pending[id_] = future
        return await future

    def received_shutdown(self) -> bool:
        """Return whether the node has announced its shutdown."""
        return self._shutdown_received

    async def close(self) -> None:
        """Close the connection and wait until the reading task has ended."""
        self.writer.close()
        await self.task


@dataclass(frozen=True, slots=True)
class Reply:
    """A response to a gateway. `status`: `NO_STATUS` if the connection ended before it was complete."""

    status: int
    fields: Mapping[str, str]
    body: bytes

    @property
    def not_run(self) -> bool:
        """Whether the response states that the request did not run."""
        return self.fields.get("x-not-run") == "1"

    @property
    def retry_after(self) -> float:
        """The Retry-After in seconds; 0 if there is none."""
        return float(self.fields.get("x-retry-after-ms", 0)) / 1000


LOST = Reply(NO_STATUS, {}, b"")
NOT_REACHED = Reply(NO_STATUS, {}, b"no connection")


class Connection(NamedTuple):
    """The reader and writer of a connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


async def connect(listener: Address | Path) -> Connection:
    """Connect to a listener at an address or on a Unix socket."""
    if isinstance(listener, Path):
        return Connection(*await asyncio.open_unix_connection(str(listener)))
    return Connection(*await asyncio.open_connection(listener.host, listener.port))


async def read_reply(reader: asyncio.StreamReader, method: str = "GET") -> Reply:
    """Read the response to a request with this method; a response to HEAD has no body, whatever its length.

    Return `LOST` if it is malformed or the connection ends before it is complete.
    """
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status_line, *field_lines = head.rstrip().split("\r\n")
        fields = {name.lower(): value for name, value in (line.split(": ", 1) for line in field_lines)}
        body_length = 0 if method == "HEAD" else int(fields.get("content-length", 0))
        body = await reader.readexactly(body_length)
        return Reply(int(status_line.split()[1]), fields, body)
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return LOST


def variables(method: str, path: str, **more: str) -> dict[str, str]:
    """Return the uwsgi variables that a gateway sends for a request."""
    path, _, query = path.partition("?")
    return {
        "REQUEST_METHOD": method, "REQUEST_URI": path, "PATH_INFO": path, "QUERY_STRING": query,
        "SERVER_PROTOCOL": "HTTP/1.1", "SERVER_NAME": "gateway", "SERVER_PORT": "80",
        "REMOTE_ADDR": "127.0.0.1", "HTTP_HOST": "gateway", "CONTENT_TYPE": "text/plain", **more,
    }  # fmt: skip


async def ask(listener: Address | Path, method: str, path: str, body: bytes = b"", **more: str) -> Reply:
    """Send one request as a gateway, on a new connection, and return the response."""
    try:
        reader, writer = await connect(listener)
    except OSError:
        return NOT_REACHED
    writer.write(uwsgi.encode(variables(method, path, **more), body))
    try:
        return await read_reply(reader, method)
    finally:
        writer.close()
