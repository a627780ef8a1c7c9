"""Stand-ins of the platform's peers of a node: the render farm agent, the ledger and the membership service.

Owns their sockets, on loopback with ephemeral ports, and what came on them. It must never judge what a node
does: tests and checker.py do.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable


class Agent:
    """The render farm agent: keeps notices, replays them, and does what `on_launch` says."""

    def __init__(self) -> None:
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.notices: list[bytes] = []
        self.subscribed: list[int] = []
        self.launched: list[tuple[str, str, bytes]] = []
        self.delivered: list[tuple[str, bytes]] = []
        self.commands: list[str] = []
        self.on_launch: Callable[[str], None] = self.passed
        self.state = "LOADED"
        self.born = time.monotonic()
        self.gauges = "0.5 1 0.1 3"
        self.mute = False  # reads commands and sends nothing, as one that is cut off

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while line := await reader.readline():
                words = line.decode().split()
                self.commands.append(" ".join(words))
                body = b""
                if words[0] in ("launch", "deliver"):
                    body = (await reader.readexactly(int(words[-1]) + 2))[:-2]
                self._command(words, body)
        writer.close()

    def _command(self, words: list[str], body: bytes) -> None:
        match words:
            case ["subscribe", number]:
                self.subscribed.append(int(number))
                age = int((time.monotonic() - self.born) * 1000)
                self.send(f"greeting {self.state} {age}\r\n".encode() + b"".join(self.notices[int(number) :]))
            case ["launch", id_, cls, _]:
                self.launched.append((id_, cls, body))
                self.on_launch(id_)
            case ["deliver", id_, _]:
                self.delivered.append((id_, body))
                self.passed(id_)
            case ["sample", tag]:
                self.send(f"sampled {tag} {self.gauges}\r\n".encode())

    def send(self, data: bytes) -> None:
        if self.writer and not self.writer.is_closing() and not self.mute:
            self.writer.write(data)

    def notice(self, text: str, body: bytes | None = None) -> None:
        """Keep and send a notice; `#` in the text stands for its number."""
        head = text.replace("#", str(len(self.notices) + 1))
        data = (
            f"{head}\r\n".encode() if body is None else b"%b %d\r\n%b\r\n" % (head.encode(), len(body), body)
        )
        self.notices.append(data)
        self.send(data)

    def passed(self, id_: str) -> None:
        self.notice(f"outcome # {id_} PASS 5", b"made for " + id_.encode())

    def asks(self, id_: str) -> None:
        """For `on_launch`: let it wait for a call."""
        self.notice(f"request # {id_}", b"ask")

    def hold(self, _: str) -> None:
        """For `on_launch`: let it run."""

    def cut(self) -> None:
        """Break the link."""
        if self.writer:
            self.writer.transport.abort()

    def stop(self) -> None:
        if self.server:
            self.server.close()
        self.cut()


class Ledger:
    """The ledger: answers calls as `reply` says, or never where that is None."""

    def __init__(self) -> None:
        self.port = 0
        self.server: asyncio.Server | None = None
        self.calls: list[tuple[str, bytes]] = []
        self.connections = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.closed = 0
        self.reply: bytes | None = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
        self.after_reply: Callable[[], None] = lambda: None
        self.cut_after: int | None = None  # bytes of the reply after which the connection breaks

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
                self.calls.append(
                    (fields["X-Txn-Ref"], await reader.readexactly(int(fields["Content-Length"])))
                )
                if self.reply is None:
                    continue
                writer.write(self.reply[: self.cut_after])
                self.after_reply()
                if self.cut_after is not None:
                    break
        self.closed += 1
        writer.close()


class Members:
    """The membership service: keeps reports."""

    def __init__(self) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind(("127.0.0.1", 0))
        self.port = self.socket.getsockname()[1]

    def reports(self) -> list[bytes]:
        """All that came since the last look."""
        found = []
        with contextlib.suppress(BlockingIOError):
            while True:
                found.append(self.socket.recv(1000))
        return found
