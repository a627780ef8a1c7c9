"""Random interleavings of requests, closed streams, resets, broken agent connections and the drain.

The tests use real sockets and fixed seeds. In every order, each request that was sent completely and not
cancelled gets exactly one answer, unless its router reset the connection; a key runs at most once within its
TTL; and no connection, descriptor or task is left at the end.
"""

from __future__ import annotations

import asyncio
import base64
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import orjson
import pytest

from shelfhaven.frontends.connection import Connection
from shelfhaven.lab.callers import Router, until
from shelfhaven.program.app import Phase
from tests.peers import ServerUnderTest, run_async, running_server

STEPS = 60
MAX_ROUTERS = 6
KEYS = ("k1", "k2", "k3")
KEY_TTL = 3.0  # seconds, as for the class "pay" in `CONFIG`
UNFRAMED = b"nonsense\r\n\r\n"  # a header without a Content-Length


@dataclass
class RouterConnection:
    """The connection of one router, and the answers that it expects.

    Attributes:
        expected: requests that must get exactly one answer.
        cancelled: requests that get at most one answer.
        unsent: the rest of a partially sent request, whose id is `unsent_id`.
        sends: whether the router still sends.
        reset: whether the router has reset the connection.
    """

    router: Router
    expected: set[int] = field(default_factory=set)
    cancelled: set[int] = field(default_factory=set)
    unsent: bytes = b""
    unsent_id: int = 0
    sends: bool = True
    reset: bool = False


class RandomSequence:
    """A random sequence of events on one server.

    Attributes:
        last_id: id of the latest request.
        keyed: key and time of sending of each request with a key, by attempt id.
        runs: attempt ids of the runs that the agent has not finished.
    """

    def __init__(self, server: ServerUnderTest, seed: int) -> None:
        self.site, self.random = server, random.Random(seed)
        self.connections: list[RouterConnection] = []
        self.last_id = 0
        self.keyed: dict[str, tuple[str, float]] = {}
        self.runs: list[str] = []
        server.agent.on_launch = self.runs.append

    def new_message(self) -> tuple[int, bytes]:
        """Return the id of a new request of either class, and the request with its header."""
        self.last_id += 1
        now = time.time()
        attempt_id = f"{self.last_id:016x}"
        params = {
            "call": attempt_id, "recv": int(now * 1000), "src": 1, "org": "one", "heap": 10.0, "crit": 0.5,
            "body": base64.b64encode(b"ask").decode(),
        }  # fmt: skip
        method = "look"
        if self.random.random() < 0.4:
            method, key = "pay", self.random.choice(KEYS)
            params["dedupe"] = key
            self.keyed[attempt_id] = key, now
        body = orjson.dumps({"jsonrpc": "2.0", "id": self.last_id, "method": method, "params": params})
        return self.last_id, b"Content-Length: %d\r\n\r\n%b" % (len(body), body)

    async def step(self) -> None:
        """Perform a random event, and with some probability finish a run and cut the agent's connection."""
        if len(self.connections) < MAX_ROUTERS and self.random.random() < 0.3:
            self.connections.append(RouterConnection(await self.site.router()))
        sending = [connection for connection in self.connections if connection.sends]
        events: list[Callable[[RouterConnection], None]] = [
            self.send_request, self.send_request, self.send_request, self.send_partial_request,
            self.cancel_request, self.end_stream, self.send_unframed, self.reset_connection,
        ]  # fmt: skip
        if sending:
            self.random.choice(events)(self.random.choice(sending))
        if self.random.random() < 0.5:
            self.finish_run()
        if self.random.random() < 0.05:
            self.site.agent.cut()
        for _ in range(self.random.randrange(4)):
            await asyncio.sleep(0)

    def send_request(self, connection: RouterConnection) -> None:
        """Send a complete request, or the rest of a partial one."""
        if connection.unsent:
            connection.router.writer.write(connection.unsent)
            connection.expected.add(connection.unsent_id)
            connection.unsent = b""
            return
        request_id, message = self.new_message()
        connection.router.writer.write(message)
        connection.expected.add(request_id)

    def send_partial_request(self, connection: RouterConnection) -> None:
        """Send the first bytes of a request."""
        if not connection.unsent:
            connection.unsent_id, message = self.new_message()
            length = self.random.randrange(1, len(message))
            connection.router.writer.write(message[:length])
            connection.unsent = message[length:]

    def cancel_request(self, connection: RouterConnection) -> None:
        """Cancel a request that is not answered yet."""
        if connection.expected and not connection.unsent:
            request_id = self.random.choice(sorted(connection.expected))
            connection.expected.discard(request_id)
            connection.cancelled.add(request_id)
            connection.router.send(
                {"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": request_id}}
            )

    def end_stream(self, connection: RouterConnection) -> None:
        """Close the sending side of the connection; the router still reads."""
        connection.sends = False
        connection.router.writer.write_eof()

    def send_unframed(self, connection: RouterConnection) -> None:
        """Send bytes that cannot be framed, after which the server reads nothing more."""
        if not connection.unsent:
            connection.sends = False
            connection.router.writer.write(UNFRAMED)

    def reset_connection(self, connection: RouterConnection) -> None:
        """Abort the connection on the router's side."""
        if self.random.random() < 0.3:
            connection.sends, connection.reset = False, True
            connection.router.writer.transport.abort()

    def finish_run(self) -> None:
        """Let the agent finish a run, with success or as failed."""
        if self.runs:
            attempt_id = self.runs.pop(self.random.randrange(len(self.runs)))
            if self.random.random() < 0.8:
                self.site.agent.pass_run(attempt_id)
            else:
                self.site.agent.notice(f"outcome # {attempt_id} FAIL 5", b"")

    def check(self) -> None:
        """Check the invariants after the process has ended."""
        for connection in self.connections:
            if connection.reset:
                continue
            answers = {id_: len(connection.router.messages_for(id_)) for id_ in connection.expected}
            assert answers == dict.fromkeys(connection.expected, 1)
            assert all(len(connection.router.messages_for(id_)) <= 1 for id_ in connection.cancelled)
        keyed_runs = dict.fromkeys(
            attempt for attempt, *_ in self.site.agent.launched if attempt in self.keyed
        )
        last_sent: dict[str, float] = {}
        for key, sent_at in (self.keyed[attempt_id] for attempt_id in keyed_runs):
            assert sent_at >= last_sent.get(key, 0.0) + KEY_TTL
            last_sent[key] = sent_at
        app = self.site.app
        assert (app.descriptors.inbound, app.descriptors.outbound) == (0, 0)
        assert not app.listener.connections
        task_names = [getattr(task.get_coro(), "__qualname__", "") for task in asyncio.all_tasks()]
        assert Connection.run.__qualname__ not in task_names


@pytest.mark.parametrize("seed", range(24))
def test_the_invariants_hold_for_random_interleavings(seed: int) -> None:
    async def check() -> None:
        async with running_server(stop_ms=900) as server:
            sequence = RandomSequence(server, seed)
            drain_step = sequence.random.randrange(STEPS // 2, STEPS)
            for step in range(STEPS):
                if step == drain_step:
                    server.app.request_drain()
                if server.app.phase in (Phase.SERVING, Phase.DRAINING):
                    await sequence.step()
            server.agent.on_launch = server.agent.pass_run
            for attempt_id in sequence.runs:
                server.agent.pass_run(attempt_id)
            await until(server.app_task.done)
            assert server.app_task.exception() is None
            for connection in sequence.connections:
                await connection.router.task
            sequence.check()

    run_async(check)
