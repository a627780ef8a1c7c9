"""Drawn interleavings of requests, ends of streams, resets, link breaks and the notice to leave.

Real sockets, fixed seeds. Whatever crosses whatever: one answer for each request that was written whole on a
connection that its router did not reset or take back, at most one run of a key within its window, and nothing
left of connections, descriptors and tasks at the end.
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
ROUTERS_MOST = 6
KEYS = ("k1", "k2", "k3")
KEY_WINDOW = 3.0  # seconds, of the class "pay" in the settings of these tests
NONSENSE = b"nonsense\r\n\r\n"


@dataclass
class Peer:
    """One router's connection and what it may expect of it."""

    router: Router
    owed: set[int] = field(default_factory=set)
    released: set[int] = field(default_factory=set)  # taken back: one answer at most
    rest: bytes = b""  # of a request whose first half is written
    rest_ref: int = 0
    sends: bool = True
    reset: bool = False


class Play:
    """One drawn sequence of events."""

    def __init__(self, running: ServerUnderTest, seed: int) -> None:
        self.site, self.random = running, random.Random(seed)
        self.peers: list[Peer] = []
        self.refs = 0
        self.keyed: dict[str, tuple[str, float]] = {}  # by name of a try: its key, and when it came
        self.runs: list[str] = []  # begun and not ended by the agent
        running.agent.on_launch = self.runs.append

    def message(self) -> tuple[int, bytes]:
        """A new request of either class, and its number."""
        self.refs += 1
        now = time.time()
        call = f"{self.refs:016x}"
        params = {
            "call": call, "recv": int(now * 1000), "src": 1, "org": "one", "heap": 10.0, "crit": 0.5,
            "body": base64.b64encode(b"ask").decode(),
        }  # fmt: skip
        method = "look"
        if self.random.random() < 0.4:
            method, key = "pay", self.random.choice(KEYS)
            params["dedupe"] = key
            self.keyed[call] = key, now
        body = orjson.dumps({"jsonrpc": "2.0", "id": self.refs, "method": method, "params": params})
        return self.refs, b"Content-Length: %d\r\n\r\n%b" % (len(body), body)

    async def step(self) -> None:
        """One event."""
        if len(self.peers) < ROUTERS_MOST and self.random.random() < 0.3:
            self.peers.append(Peer(await self.site.router()))
        usable = [peer for peer in self.peers if peer.sends]
        events: list[Callable[[Peer], None]] = [
            self.request, self.request, self.request, self.half, self.take_back, self.end_stream,
            self.nonsense, self.reset_peer,
        ]  # fmt: skip
        if usable:
            self.random.choice(events)(self.random.choice(usable))
        if self.random.random() < 0.5:
            self.end_run()
        if self.random.random() < 0.05:
            self.site.agent.cut()
        for _ in range(self.random.randrange(4)):
            await asyncio.sleep(0)

    def request(self, peer: Peer) -> None:
        """A whole request, or what is left of one."""
        if peer.rest:
            peer.router.writer.write(peer.rest)
            peer.owed.add(peer.rest_ref)
            peer.rest = b""
            return
        ref, message = self.message()
        peer.router.writer.write(message)
        peer.owed.add(ref)

    def half(self, peer: Peer) -> None:
        """The first bytes of a request."""
        if not peer.rest:
            peer.rest_ref, message = self.message()
            cut = self.random.randrange(1, len(message))
            peer.router.writer.write(message[:cut])
            peer.rest = message[cut:]

    def take_back(self, peer: Peer) -> None:
        """The router stops waiting for a request."""
        if peer.owed and not peer.rest:
            ref = self.random.choice(sorted(peer.owed))
            peer.owed.discard(ref)
            peer.released.add(ref)
            peer.router.send({"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": ref}})

    def end_stream(self, peer: Peer) -> None:
        """The router sends nothing more and still reads."""
        peer.sends = False
        peer.router.writer.write_eof()

    def nonsense(self, peer: Peer) -> None:
        """Bytes that cannot be read; what comes behind them is nobody's."""
        if not peer.rest:
            peer.sends = False
            peer.router.writer.write(NONSENSE)

    def reset_peer(self, peer: Peer) -> None:
        """The router's side resets the connection."""
        if self.random.random() < 0.3:
            peer.sends, peer.reset = False, True
            peer.router.writer.transport.abort()

    def end_run(self) -> None:
        """The agent ends a run."""
        if self.runs:
            call = self.runs.pop(self.random.randrange(len(self.runs)))
            if self.random.random() < 0.8:
                self.site.agent.passed(call)
            else:
                self.site.agent.notice(f"outcome # {call} FAIL 5", b"")

    def check(self) -> None:
        """The rules, once the process has ended."""
        for peer in self.peers:
            if peer.reset:
                continue
            answers = {ref: len(peer.router.of(ref)) for ref in peer.owed}
            assert answers == dict.fromkeys(peer.owed, 1)
            assert all(len(peer.router.of(ref)) <= 1 for ref in peer.released)
        calls = dict.fromkeys(call for call, *_ in self.site.agent.launched if call in self.keyed)
        last: dict[str, float] = {}
        for key, came in (self.keyed[call] for call in calls):
            assert came >= last.get(key, 0.0) + KEY_WINDOW
            last[key] = came
        app = self.site.app
        assert (app.descriptors.inbound, app.descriptors.outbound) == (0, 0)
        assert not app.listener.connections
        names = [getattr(task.get_coro(), "__qualname__", "") for task in asyncio.all_tasks()]
        assert Connection.run.__qualname__ not in names


@pytest.mark.parametrize("seed", range(24))
def test_whatever_crosses_whatever_the_rules_hold(seed: int) -> None:
    async def check() -> None:
        async with running_server(stop_ms=900) as server:
            drawn = Play(server, seed)
            notice = drawn.random.randrange(STEPS // 2, STEPS)
            for number in range(STEPS):
                if number == notice:
                    server.app.request_drain()
                if server.app.phase in (Phase.SERVING, Phase.DRAINING):
                    await drawn.step()
            server.agent.on_launch = server.agent.passed
            for call in drawn.runs:
                server.agent.passed(call)
            await until(server.app_task.done)
            assert server.app_task.exception() is None
            for peer in drawn.peers:
                await peer.router.task
            drawn.check()

    run_async(check)
