"""The routers' actors: the listener and one actor for each connection.

Owns the listening socket, the connections and the ids that are open on each. It must never close a
connection with a request open or a listener with a backlog, and never answer of its own will: answers come
from the core.
"""

from __future__ import annotations

import asyncio
import errno
import socket
import time
import traceback
from collections.abc import Callable
from typing import TypeAlias

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

from shelfhaven.config import Address, Config
from shelfhaven.decision.interface import Repeat
from shelfhaven.protocol import jsonrpc as wire
from shelfhaven.server import messages as m
from shelfhaven.server.descriptors import Descriptors
from shelfhaven.server.log import Log
from shelfhaven.server.mailbox import Mailbox, after_reading, peek

READ = 64 * 1024  # bytes at a time
BACKLOG = 1024
OPEN_MOST = 32  # requests on a connection, by the protocol
RECV_OFF = 60.0  # seconds; both clocks are this machine's, and no request is waited for so long
SWEEP_LEAST = 0.05  # seconds between looks at idle connections; a request crosses a close within 50 ms
CROSSING = 0.05  # seconds in which a request may cross a close, by the protocol
MESSAGE_WITHIN = 1.5  # seconds for a whole message; who connects to be silent is closed on within 3
WATCH = 0.25  # seconds between looks at connections that keep one waiting
ROOM_AT_ONCE = 8  # connections closed at a time when all are taken
FULL_PAUSE = 0.05  # seconds without accepting when descriptors run out

ToCore: TypeAlias = Callable[[m.Submit | m.Cancel | m.Reject | m.Check], None]


class Names:
    """Places of classes and tenants in the settings, by name."""

    def __init__(self, config: Config) -> None:
        self.classes = {name: place for place, name in enumerate(config.classes)}
        self.keyed = {place for place, c in enumerate(config.settings.classes) if c.repeat is Repeat.KEYED}
        self.tenants = {name: place for place, name in enumerate(config.tenants)}


class Connection:
    """Actor of one connection; a front of the core."""

    def __init__(self, stream: IOStream, names: Names, tell: ToCore, log: Log) -> None:
        self.stream, self.names, self.tell, self.log = stream, names, tell, log
        self.mailbox: Mailbox[m.Answer] = Mailbox(self._take, log, self._flush)
        self.cutter = wire.Cutter()
        self.open: set[int] = set()
        self.outgoing: list[bytes] = []
        self.leaving = False  # tell the router so once a message came: the first may be on its way
        self.told = False  # that no new request is wanted on it
        self.broken = False  # no message can be read from it any more
        self.checks = False  # health checks come on it
        self.used = time.monotonic()  # last message or answer
        self.waits_since = self.used  # a message is awaited: from the start, then from its first byte
        self.silent = True  # no whole message came yet
        self.done = asyncio.Event()  # nothing is owed on a broken connection any more

    def answer(self, answer: m.Answer) -> None:
        """Take one answer."""
        self.mailbox.put(answer)

    async def run(self) -> None:
        """Read until the connection ends; then nobody waits for what is still open on it."""
        try:
            while not self.broken:
                data = await self.stream.read_bytes(READ, partial=True)
                self._read(data)
                if self.stream.writing():  # a router that does not take its answers is not read from
                    await self.stream.write(b"")
            await self.done.wait()
            await self.stream.write(b"")  # what is on its way gets out before the close
        except (OSError, StreamClosedError):
            pass
        finally:
            self.stream.close()
            for ref in self.open:
                self.tell(m.Cancel(self, ref))
            self.open.clear()

    def _read(self, data: bytes) -> None:
        """Take the messages in new bytes; after one that cannot be read the rest is passed over."""
        if self.broken:
            return
        now = time.monotonic()
        if not self.cutter.unread:
            self.waits_since = now
        try:
            for body in self.cutter.feed(data):
                self.used = self.waits_since = now
                self.silent = False
                self._message(wire.decode(body))
        except wire.StreamError as error:
            self.end_broken(str(error))
        except Exception:
            self.end_broken(traceback.format_exc(limit=-4))
        if self.leaving:
            self.shut()
        if self.outgoing:
            self._flush()

    def end_broken(self, error: str) -> None:
        """Read nothing more; say why, and close once what is owed is sent."""
        if self.broken:
            return
        self.log.event("connection_broken", error=error, open=len(self.open))
        self.broken = True
        self.outgoing.append(wire.UNREADABLE)
        self._flush()

    def spare(self, now: float) -> bool:
        """Whether this connection can be closed with nothing lost: nothing is open, unread or on its way."""
        if self.open or self.outgoing or self.broken or now - self.used < CROSSING or self.stream.closed():
            return False
        if self.cutter.unread or self.stream.writing():
            return False
        return not peek(self.stream.socket)

    def stalls(self, now: float) -> bool:
        """Whether a whole message has been awaited for too long, from the first byte or from the start."""
        return (self.silent or bool(self.cutter.unread)) and now - self.waits_since > MESSAGE_WITHIN

    def _message(self, message: wire.Message) -> None:
        match message:
            case wire.Request():
                self._request(message)
            case wire.Cancel():
                if message.id in self.open:
                    self.open.discard(message.id)
                    self.tell(m.Cancel(self, message.id))
                    # not owed, but harmless: who only asks and takes back is answered too
                    self.outgoing.append(wire.error(message.id, wire.CANCELLED, "taken back", None))
            case wire.Check():
                self.checks = True
                self._claim(message.id)
                self.tell(m.Check(self, message.id))
            case wire.Invalid():
                self._claim(message.id)
                self.tell(m.Reject(self, message.id, message.code, message.message))

    def _claim(self, ref: int) -> None:
        if ref in self.open:
            raise wire.StreamError("an id that is open already")
        self.open.add(ref)

    def _request(self, request: wire.Request) -> None:
        self._claim(request.id)
        cls = self.names.classes.get(request.cls)
        tenant = self.names.tenants.get(request.org, -1 if request.org else 0)
        if cls is None:
            self.tell(m.Reject(self, request.id, wire.NO_METHOD, "unknown method"))
        elif tenant < 0:
            self.tell(m.Reject(self, request.id, wire.INVALID_PARAMS, "org: unknown"))
        elif cls in self.names.keyed and not request.dedupe:
            self.tell(m.Reject(self, request.id, wire.INVALID_PARAMS, "dedupe: missing in a keyed class"))
        elif abs(time.time() - request.recv / 1000) > RECV_OFF:
            self.tell(m.Reject(self, request.id, wire.INVALID_PARAMS, "recv: far from this machine's clock"))
        elif len(self.open) > OPEN_MOST:
            self.tell(m.Reject(self, request.id, wire.INVALID_REQUEST, "too many open requests"))
        else:
            self.tell(
                m.Submit(
                    front=self,
                    ref=request.id,
                    call=request.call,
                    cls=cls,
                    tenant=tenant,
                    caller=request.src,
                    recv=request.recv / 1000,
                    budget=request.ttl / 1000,
                    hint=request.work / 1000,
                    footprint_kb=request.heap,
                    rank=request.crit,
                    retry=request.rep,
                    dedupe=request.dedupe,
                    key=request.row,
                    body=request.body,
                )
            )

    def _take(self, answer: m.Answer) -> None:
        if answer.ref not in self.open:  # given up meanwhile
            return
        self.open.discard(answer.ref)
        self.outgoing.append(_encode(answer))

    def _flush(self) -> None:
        if self.stream.closed():
            self.outgoing.clear()
            self.done.set()
            return
        if self.outgoing:
            data = b"".join(self.outgoing)
            self.outgoing.clear()
            self.used = time.monotonic()
            self.stream.write(data)
        self._close_if_done()

    def _close_if_done(self) -> None:
        """A connection that cannot be read any more is closed once what it was owed is sent."""
        if self.broken and not self.open and not self.outgoing:
            self.done.set()
            if not self.stream.closed():  # it may still be read from, in vain
                self.stream.write(b"").add_done_callback(lambda _: self.stream.close())

    def shut(self) -> None:
        """Tell the router to send nothing new on this connection and to close it."""
        if not self.told and not self.stream.closed():
            self.told = True
            self.stream.write(wire.SHUTDOWN)


def _encode(answer: m.Answer) -> bytes:
    match answer:
        case m.Served():
            return wire.served(answer.ref, answer.body, answer.load)
        case m.Refused():
            pushback = round(answer.retry_after * 1000, 3)
            return wire.error(answer.ref, wire.REFUSED, "refused", answer.load, pushback, answer.stay)
        case m.Failed():
            return wire.error(answer.ref, answer.code or wire.FAILED, answer.text, answer.load)
        case m.Healthy():
            return wire.health(answer.ref, answer.good, answer.load)


class Listener:
    """Actor of the listening socket; keeps the connections."""

    def __init__(
        self, address: Address, descriptors: Descriptors, names: Names, tell: ToCore, log: Log
    ) -> None:
        self.address, self.names, self.tell, self.log = address, names, tell, log
        self.descriptors = descriptors
        descriptors.on_free.append(self._resume)
        self.connections: dict[Connection, asyncio.Task[None]] = {}
        self.socket: socket.socket | None = None
        self.accepting = False
        self.leaving = False
        self.mailbox: Mailbox[m.KeepIdle] = Mailbox(self._take, log)
        self.kept_idle = 0.0  # seconds; 0: as long as routers like
        self.sweep: asyncio.TimerHandle | None = None
        self.watch: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Listen."""
        listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening.setblocking(False)
            listening.bind((self.address.host, self.address.port))
            listening.listen(BACKLOG)
        except OSError:
            listening.close()
            raise
        self.socket = listening
        self._resume()
        self._watch()

    def _resume(self) -> None:
        if self.socket and not self.accepting:
            self.accepting = True
            IOLoop.current().add_handler(self.socket, self._ready, IOLoop.READ)

    def _pause(self) -> None:
        if self.socket and self.accepting:
            self.accepting = False
            IOLoop.current().remove_handler(self.socket)

    def _pause_a_moment(self) -> None:
        self._pause()
        IOLoop.current().call_later(FULL_PAUSE, self._resume)

    def _ready(self, *_: object) -> None:
        """Accept all that is in the backlog, as far as descriptors go."""
        self._accept(last=False)

    def _accept(self, last: bool) -> None:
        while self.socket:
            if last:  # the backlog is owed, whatever it takes
                self.descriptors.routers += 1
            elif not self.descriptors.take_router():
                if self._make_room():
                    continue
                self.log.event("connections_full", open=len(self.connections))
                self._pause_a_moment()
                return
            try:
                accepted, _peer = self.socket.accept()
            except BlockingIOError:
                self.descriptors.routers -= 1
                return
            except OSError as error:
                self.descriptors.routers -= 1
                if error.errno in (errno.ECONNABORTED, errno.EPROTO):
                    continue  # that connection was given up before it was accepted
                self.log.event("accept_failed", error=str(error))
                self._pause_a_moment()
                return
            self._adopt(accepted)

    def _make_room(self) -> bool:
        """Close connections that nobody uses, those that never asked anything first: others wait to ask."""
        now = time.monotonic()
        closed = 0
        for connection in sorted(self.connections, key=lambda c: (not c.silent, c.used)):
            if connection.spare(now):
                connection.stream.close()
                self._gone(connection)
                closed += 1
                if closed == ROOM_AT_ONCE:
                    break
        return closed > 0

    def _watch(self) -> None:
        """End connections that keep one waiting for a message; what lies in the sockets is read first."""
        now = time.monotonic()
        for connection in list(self.connections):
            if connection.stalls(now):
                connection.end_broken("no whole message in time")
        self.watch = asyncio.get_running_loop().call_later(WATCH, after_reading, self._watch)

    def _adopt(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        stream = IOStream(accepted)
        stream.set_nodelay(True)
        connection = Connection(stream, self.names, self.tell, self.log)
        task = asyncio.get_running_loop().create_task(connection.run())
        self.connections[connection] = task
        task.add_done_callback(lambda _: self._gone(connection))
        connection.leaving = self.leaving

    def put(self, message: m.KeepIdle) -> None:
        """Take how long connections without a request stay."""
        self.mailbox.put(message)

    def _take(self, keep: m.KeepIdle) -> None:
        self.kept_idle = keep.seconds
        if self.sweep:
            self.sweep.cancel()
            self.sweep = None
        if keep.seconds > 0:
            self._sweep()

    def _sweep(self) -> None:
        """Have routers close what has been idle for too long; closing it here could cross a request."""
        self._shut_idle(time.monotonic() - self.kept_idle)
        self.sweep = asyncio.get_running_loop().call_later(max(self.kept_idle, SWEEP_LEAST), self._sweep)

    def _shut_idle(self, before: float) -> None:
        for connection in self.connections:
            if not connection.open and not connection.checks and connection.used <= before:
                connection.shut()

    def _gone(self, connection: Connection) -> None:
        if self.connections.pop(connection, None):
            self.descriptors.give_router()

    def leave(self) -> None:
        """Ask all routers to close their connections, those that are still to come too."""
        self.leaving = True
        for connection in self.connections:
            connection.leaving = True
            connection.shut()

    def close(self) -> None:
        """Stop listening, with nothing left in the backlog."""
        if self.socket:
            self._accept(last=True)
            self._pause()
            self.socket.close()
            self.socket = None

    def open_requests(self) -> int:
        """Requests on all connections whose answer is not sent yet."""
        return sum(len(c.open) + bool(c.stream.writing() and not c.stream.closed()) for c in self.connections)

    def end(self) -> None:
        """Close the connections on which nothing is open."""
        for timer in (self.sweep, self.watch):
            if timer:
                timer.cancel()
        for connection in list(self.connections):
            if not connection.open and not connection.stream.writing():
                connection.stream.close()
