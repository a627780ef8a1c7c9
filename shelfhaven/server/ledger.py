"""The ledger's actor: calls below, each on a connection of its own.

Owns the connections to the ledger and the calls on them. It must never place a call twice, never say that a
call did not run without proof, and never take bytes for the reply to a call that another call may have
caused: so a connection carries one call and is closed with its reply.
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
    """One connection and its call; None once the call is over or given up."""

    stream: IOStream
    address: Address
    call: m.PlaceCall | None
    sent: bool = False
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
        self.mailbox: Mailbox[m.PlaceCall | m.DropCall] = Mailbox(self._take, log)
        self.busy: dict[int, Connection] = {}  # by the call's ref
        self.open: set[Connection] = set()
        self.waiting: deque[tuple[m.PlaceCall, float]] = deque()  # for a connection, and until when
        self.tasks: set[asyncio.Task[None]] = set()

    def put(self, message: m.PlaceCall | m.DropCall) -> None:
        """Take a call or give one up."""
        self.mailbox.put(message)

    def move(self, address: Address | None) -> None:
        """Place calls at another address from now on; those sent are still answered at the old one."""
        if address == self.address:
            return
        self.address = address
        for connection in list(self.open):
            call = connection.call
            if call and not connection.sent:
                self._end_call(connection)
                self._take(call)

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

    def _assign(self) -> None:
        """Give waiting calls connections, as far as there are descriptors."""
        while self.waiting and self.address and self.descriptors.take_call():
            try:
                stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
            except OSError as error:
                self.log.event("ledger_no_socket", error=str(error))
                self.descriptors.calls -= 1
                return
            call, until = self.waiting.popleft()
            call = replace(call, limit=max(0.0, until - time.monotonic()))
            connection = self.busy[call.ref] = Connection(stream, self.address, call)
            self.open.add(connection)
            loop = asyncio.get_running_loop()
            connection.timer = loop.call_later(call.limit, after_reading, self._ran_out, connection)
            task = loop.create_task(self._serve(connection, call))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _serve(self, connection: Connection, call: m.PlaceCall) -> None:
        """Connect, send the call, and read until its reply is there or the connection ends."""
        try:
            await connection.stream.connect((connection.address.host, connection.address.port))
            connection.stream.set_nodelay(True)
            if connection.call:
                self._send(connection, call)
            cutter = http.Cutter()
            reply = None
            while connection.call and reply is None:
                reply = cutter.feed(await connection.stream.read_bytes(READ, partial=True))
            if reply:
                self._finish(connection, outcome_of(reply), reply.body)
        except (OSError, StreamClosedError):
            pass
        except http.StreamError as error:
            self.log.event("ledger_stream", error=str(error))
        except Exception:
            self.log.event("ledger_failed", error=traceback.format_exc(limit=-4))
        finally:
            self._lose(connection, Outcome.RESET)
            self.open.discard(connection)
            self.descriptors.give_call()

    def _send(self, connection: Connection, call: m.PlaceCall) -> None:
        connection.sent = True
        limit = max(1, int(call.limit * 1000))
        connection.stream.write(http.post(str(connection.address), call.txn, limit, call.body))

    def _end_call(self, connection: Connection) -> m.PlaceCall | None:
        """Take the call off its connection and close that; nothing more is told of the call."""
        call, connection.call = connection.call, None
        if connection.timer:
            connection.timer.cancel()
            connection.timer = None
        if call:
            self.busy.pop(call.ref, None)
        connection.stream.close()
        return call

    def _finish(self, connection: Connection, outcome: Outcome, body: bytes = b"") -> None:
        if call := self._end_call(connection):
            self.tell(m.CallDone(call.ref, outcome, body))

    def _lose(self, connection: Connection, outcome: Outcome) -> None:
        """The call ends without a reply: what was never sent never ran."""
        self._finish(connection, outcome if connection.sent else Outcome.CONNECT_FAILED)

    def _ran_out(self, connection: Connection) -> None:
        self._lose(connection, Outcome.TIMEOUT)

    def _waited_out(self, call: m.PlaceCall) -> None:
        for waiting in self.waiting:
            if waiting[0] is call:
                self.waiting.remove(waiting)
                self.tell(m.CallDone(call.ref, Outcome.CONNECT_FAILED))
                return

    def _drop(self, ref: int) -> None:
        """Give up a call: closing the connection is how the ledger learns of it."""
        if connection := self.busy.get(ref):
            self._end_call(connection)
        self.waiting = deque(waiting for waiting in self.waiting if waiting[0].ref != ref)

    def end(self) -> None:
        """Close all connections."""
        for connection in list(self.open):
            self._end_call(connection)
