"""Stubs of the platform's services: the render farm agent, the ledger and the membership service.

Each stub owns its socket, on loopback with an ephemeral port, and records what it receives. The stubs do not
check the node's behaviour; tests and checker.py do.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable

HOST = "127.0.0.1"
LINE_END = b"\r\n"
MAX_REPORT_BYTES = 1000


class Agent:
    """The render farm agent: stores its notices, replays them on subscription and handles launches.

    Attributes:
        notices: all numbered notices, in order.
        subscribed: the notice number of each subscription.
        launched: run id, class and body of each launch.
        delivered: run id and body of each reply to a downstream call.
        commands: all command lines received.
        on_launch: called with the run id of each launch.
        state: the agent's state in the greeting.
        started_at: time of the start on the monotonic clock, for the uptime in the greeting.
        gauges: the values of the reply to a sample command.
        silent: if set, the agent reads commands but sends nothing, as if the network lost its messages.
    """

    def __init__(self) -> None:
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.notices: list[bytes] = []
        self.subscribed: list[int] = []
        self.launched: list[tuple[str, str, bytes]] = []
        self.delivered: list[tuple[str, bytes]] = []
        self.commands: list[str] = []
        self.on_launch: Callable[[str], None] = self.pass_run
        self.state = "LOADED"
        self.started_at = time.monotonic()
        self.gauges = "0.5 1 0.1 3"
        self.silent = False

    async def start(self) -> None:
        """Start to listen; a restarted agent reuses its previous port."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while line := await reader.readline():
                words = line.decode().split()
                self.commands.append(" ".join(words))
                body = b""
                if words[0] in ("launch", "deliver"):
                    body = (await reader.readexactly(int(words[-1]) + len(LINE_END)))[: -len(LINE_END)]
                self.handle_command(words, body)
        writer.close()

    def handle_command(self, words: list[str], body: bytes) -> None:
        """Handle a command of the node."""
        match words:
            case ["subscribe", number]:
                self.subscribed.append(int(number))
                uptime_ms = int((time.monotonic() - self.started_at) * 1000)
                greeting = f"greeting {self.state} {uptime_ms}\r\n".encode()
                self.send(greeting + b"".join(self.notices[int(number) :]))
            case ["launch", run_id, class_name, _]:
                self.launched.append((run_id, class_name, body))
                self.on_launch(run_id)
            case ["deliver", run_id, _]:
                self.delivered.append((run_id, body))
                self.pass_run(run_id)
            case ["sample", tag]:
                self.send(f"sampled {tag} {self.gauges}\r\n".encode())

    def send(self, data: bytes) -> None:
        """Send bytes, unless the agent is silent or not connected."""
        if self.writer and not self.writer.is_closing() and not self.silent:
            self.writer.write(data)

    def notice(self, text: str, body: bytes | None = None) -> None:
        """Store and send a notice; `#` in the text is replaced by its number."""
        words = text.replace("#", str(len(self.notices) + 1)).encode()
        data = words + LINE_END if body is None else b"%b %d\r\n%b\r\n" % (words, len(body), body)
        self.notices.append(data)
        self.send(data)

    def pass_run(self, run_id: str) -> None:
        """Report a run as succeeded; as `on_launch`, every run succeeds at once."""
        self.notice(f"outcome # {run_id} PASS 5", b"made for " + run_id.encode())

    def call_downstream(self, run_id: str) -> None:
        """Make a downstream call from a run; as `on_launch`, every run waits for its call."""
        self.notice(f"request # {run_id}", b"ask")

    def keep_running(self, _: str) -> None:
        """Do nothing; as `on_launch`, every run lasts until the test ends it."""

    def cut(self) -> None:
        """Abort the connection."""
        if self.writer:
            self.writer.transport.abort()

    def stop(self) -> None:
        """Stop listening and abort the connection."""
        if self.server:
            self.server.close()
        self.cut()


class Ledger:
    """The ledger, which receives downstream calls.

    Attributes:
        calls: transaction reference and body of each call.
        connections: number of connections accepted.
        writers: writers of all connections accepted.
        closed: number of connections that have ended.
        reply: the response to each call; None to leave calls unanswered.
        reply_to: returns the response to a call by its transaction reference, in place of `reply`.
        after_reply: called after each reply.
        cut_after: number of bytes of the reply after which the connection is closed; None to send all of it.
    """

    def __init__(self) -> None:
        self.port = 0
        self.server: asyncio.Server | None = None
        self.calls: list[tuple[str, bytes]] = []
        self.connections = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.closed = 0
        self.reply: bytes | None = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
        self.reply_to: Callable[[str], bytes] | None = None
        self.after_reply: Callable[[], None] = lambda: None
        self.cut_after: int | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
                body = await reader.readexactly(int(fields["Content-Length"]))
                self.calls.append((fields["X-Txn-Ref"], body))
                reply = self.reply_to(fields["X-Txn-Ref"]) if self.reply_to else self.reply
                if reply is None:
                    continue
                writer.write(reply[: self.cut_after])
                self.after_reply()
                if self.cut_after is not None:
                    break
        self.closed += 1
        writer.close()


class Members:
    """The membership service, which receives load reports."""

    def __init__(self) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind((HOST, 0))
        self.port = self.socket.getsockname()[1]

    def reports(self) -> list[bytes]:
        """Return all reports that arrived since the previous call."""
        received = []
        with contextlib.suppress(BlockingIOError):
            while True:
                received.append(self.socket.recv(MAX_REPORT_BYTES))
        return received
