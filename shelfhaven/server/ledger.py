"""The ledger's actor: calls to the tier below, one at a time on a connection.

Owns the connections to the ledger and the calls on them. It must never place a call twice, and never say
that a call did not run without proof.
"""

from __future__ import annotations

import asyncio
import socket
import time
import traceback
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from tornado.iostream import IOStream, StreamClosedError

from shelfhaven.config import Address
from shelfhaven.decision.interface import Outcome
from shelfhaven.protocol import http
from shelfhaven.server import messages as m
from shelfhaven.server.descriptors import Descriptors
from shelfhaven.server.log import Log
from shelfhaven.server.mailbox import Mailbox, after_reading

READ = 64 * 1024  # bytes at a time
IDLE_MOST = 4.0  # seconds that a connection is kept unused; the ledger closes it after 10


def outcome_of(reply: http.Reply) -> Outcome:
    """What a reply says of its call."""
    match reply.status, reply.untouched:
        case 200, _:
            return Outcome.OK
        case 503, True:
            return Outcome.FULL
        case 409, True:
            return Outcome.MOOT
        case 504, _:
            return Outcome.TIMEOUT
    return Outcome.ERROR


@dataclass(slots=True, eq=False)
class Connection:
    """One connection and the call on it."""

    stream: IOStream
    address: Address
    call: m.PlaceCall | None
    sent: bool = False
    used: float = 0.0
    timer: asyncio.TimerHandle | None = None


class Ledger:
    """Actor of the ledger."""

    def __init__(
        self,
        address: Address | None,
        descriptors: Descriptors,
        tell: Callable[[m.CallDone], None],
        log: Log,
    ) -> None:
        self.address, self.descriptors, self.tell, self.log = address, descriptors, tell, log
        descriptors.on_free.append(self._assign)
        descriptors.on_wanted.append(self._let_go)
        self.mailbox: Mailbox[m.PlaceCall | m.DropCall] = Mailbox(self._take, log)
        self.idle: list[Connection] = []
        self.busy: dict[int, Connection] = {}  # by the call's ref
        self.open: set[Connection] = set()
        self.waiting: deque[tuple[m.PlaceCall, float]] = deque()  # for a connection, and until when
        self.tasks: set[asyncio.Task[None]] = set()

    def move(self, address: Address | None) -> None:
        """Place calls at another address from now on; those sent are still answered at the old one."""
        if address == self.address:
            return
        self.address = address
        for connection in list(self.open):
            call = connection.call
            if call is None or not connection.sent:
                self._release(connection)
                connection.stream.close()
                if call:
                    self._take(call)

    def put(self, message: m.PlaceCall | m.DropCall) -> None:
        """Take a call or give one up."""
        self.mailbox.put(message)

    def _take(self, message: m.PlaceCall | m.DropCall) -> None:
        if isinstance(message, m.DropCall):
            self._drop(message.ref)
        elif self.address is None:
            self.tell(m.CallDone(message.ref, Outcome.CONNECT_FAILED))
        else:
            self._drop(message.ref)
            self.waiting.append((message, time.monotonic() + message.limit))
            self._assign()
            if self.waiting and self.waiting[-1][0] is message:
                asyncio.get_running_loop().call_later(message.limit, self._waited_out, message)

    def _let_go(self) -> None:
        """A router waits for a descriptor: connections without a call are not kept."""
        for connection in self.idle:
            connection.stream.close()
        self.idle.clear()

    def _assign(self) -> None:
        """Give waiting calls a connection: one kept, if it was used lately, or a new one."""
        now = time.monotonic()
        while self.idle and now - self.idle[0].used > IDLE_MOST:
            self.idle.pop(0).stream.close()
        while self.waiting:
            connection = self.idle.pop() if self.idle else None
            if connection and connection.stream.closed():
                continue
            if connection is None:
                connection = self._connect()
            if connection is None:
                return
            call, until = self.waiting.popleft()
            self._begin(connection, replace(call, limit=max(0.0, until - now)))

    def _connect(self) -> Connection | None:
        """A new connection, if there is a descriptor for it."""
        if self.address is None or not self.descriptors.take_call():
            return None
        try:
            stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        except OSError as error:
            self.log.event("ledger_no_socket", error=str(error))
            self.descriptors.calls -= 1
            return None
        connection = Connection(stream, self.address, None)
        self.open.add(connection)
        task = asyncio.get_running_loop().create_task(self._serve(connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return connection

    def _begin(self, connection: Connection, call: m.PlaceCall) -> None:
        connection.call, connection.sent = call, False
        self.busy[call.ref] = connection
        loop = asyncio.get_running_loop()
        connection.timer = loop.call_later(call.limit, after_reading, self._ran_out, connection, call)
        if connection.used:  # else it is sent once connected
            self._send(connection)

    def _send(self, connection: Connection) -> None:
        call = connection.call
        if call and not connection.stream.closed():
            connection.sent = True
            limit = max(1, int(call.limit * 1000))
            connection.stream.write(http.post(str(connection.address), call.txn, limit, call.body))

    async def _serve(self, connection: Connection) -> None:
        """Connect, then read replies until the connection ends."""
        try:
            await connection.stream.connect((connection.address.host, connection.address.port))
            connection.stream.set_nodelay(True)
            connection.used = time.monotonic()
            self._send(connection)
            cutter = http.Cutter()
            while True:
                for reply in cutter.feed(await connection.stream.read_bytes(READ, partial=True)):
                    self._reply(connection, reply)
        except (OSError, StreamClosedError):
            pass
        except http.StreamError as error:
            self.log.event("ledger_stream", error=str(error))
        except Exception:
            self.log.event("ledger_failed", error=traceback.format_exc(limit=-4))
        finally:
            connection.stream.close()
            self.open.discard(connection)
            if connection in self.idle:
                self.idle.remove(connection)
            self._lose(connection, Outcome.RESET)
            self.descriptors.give_call()

    def _reply(self, connection: Connection, reply: http.Reply) -> None:
        if connection.call is None:
            raise http.StreamError("a reply to no call")
        connection.used = time.monotonic()
        self._finish(connection, outcome_of(reply), reply.body)
        if reply.keep and not self.descriptors.wanted and connection.address == self.address:
            self.idle.append(connection)
            self._assign()
        else:
            connection.stream.close()

    def _finish(self, connection: Connection, outcome: Outcome, body: bytes = b"") -> None:
        call = self._release(connection)
        if call:
            self.tell(m.CallDone(call.ref, outcome, body))

    def _lose(self, connection: Connection, outcome: Outcome) -> None:
        """The call ends without a reply: what was never sent never ran."""
        self._finish(connection, outcome if connection.sent else Outcome.CONNECT_FAILED)

    def _release(self, connection: Connection) -> m.PlaceCall | None:
        """Take the call off its connection; nothing more is told of it."""
        call, connection.call = connection.call, None
        if connection.timer:
            connection.timer.cancel()
            connection.timer = None
        if call:
            self.busy.pop(call.ref, None)
        return call

    def _ran_out(self, connection: Connection, call: m.PlaceCall) -> None:
        if connection.call is call:
            self._lose(connection, Outcome.TIMEOUT)
            connection.stream.close()

    def _waited_out(self, call: m.PlaceCall) -> None:
        for waiting in self.waiting:
            if waiting[0] is call:
                self.waiting.remove(waiting)
                self.tell(m.CallDone(call.ref, Outcome.CONNECT_FAILED))
                return

    def _drop(self, ref: int) -> None:
        """Give up a call: closing the connection is how the ledger learns of it."""
        connection = self.busy.get(ref)
        if connection:
            self._release(connection)
            connection.stream.close()
        self.waiting = deque(waiting for waiting in self.waiting if waiting[0].ref != ref)

    def end(self) -> None:
        """Close all connections."""
        for connection in list(self.open):
            self._release(connection)
            connection.stream.close()
