"""A resent reply to a downstream call reaches the run's next call, after the link to the agent broke.

One app server runs by the command of the deploy file.  Routers, the render farm agent, the ledger and the
membership service are stand-ins in this process.  Each request makes two downstream calls, one after the
other.  Now and then the agent closes its link, as it may; nothing else is disturbed.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import TextIO

HERE = Path(__file__).resolve().parent
ROOT = HERE.parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = 44
LOAD_S = 85.0  # seconds of load
BREAK_EVERY_S = 1.5  # mean time between two breaks of the link
REQUESTS_PER_S = 100.0
ROUTERS = 4
MAX_OPEN = 32  # requests on a connection, by the protocol
PHASE_S = (0.04, 0.16)  # a run's time before, between and after its calls: mostly waits for the disk
CALLS = 2  # of a run
LEDGER_S = (0.005, 0.03)  # a call's time at the ledger
CLASS = "history-pull"
DEADLINE_S = 6.5
START_TIMEOUT_S = 15.0

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 10, 2  # run.sh turns them into its own


class Record:
    """What was sent, answered and run, in the order in which this process saw it."""

    def __init__(self, file: TextIO) -> None:
        self.file = file
        self.started_at = time.monotonic()
        self.faults: list[str] = []

    def add(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.started_at:9.4f} {text}\n")

    def fault(self, text: str) -> None:
        """Write a line about a broken rule."""
        self.faults.append(text)
        self.add(f"BROKEN {text}")


def reply_to(call_body: str) -> str:
    """Return the ledger's reply to the call with this body."""
    return f"reply to {call_body}"


@dataclass
class Run:
    """One run at the agent.

    Attributes:
        waits_for: the body of the call for whose reply the run waits; empty if it does not wait.
        call_number: the number of the notice that asked for the last call.
        replies: the replies that it got so far.
    """

    run_id: str
    waits_for: str = ""
    call_number: int = 0
    replies: list[str] = field(default_factory=list)
    ended: bool = False


class Agent:
    """The render farm agent: runs requests, numbers its notices, and replays them on each new link."""

    def __init__(self, record: Record, rng: random.Random) -> None:
        self.record = record
        self.rng = rng
        self.bodies: dict[str, bytes] = {}  # the requests that came to the app server, by id
        self.answered: set[str] = set()  # requests that are over
        self.runs: dict[str, Run] = {}
        self.notices: list[bytes] = []
        self.writer: asyncio.StreamWriter | None = None
        self.started_at = time.monotonic()
        self.greeted = asyncio.Event()
        self.breaks = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one link; it replaces the one before it once it has subscribed."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                words = line.decode().split()
                body = b""
                if words[0] in ("launch", "deliver"):
                    body = (await reader.readexactly(int(words[-1]) + 2))[:-2]
                if words[0] == "subscribe":
                    self.replace_link(writer, int(words[1]))
                elif self.writer is writer:  # what is read after a break is lost with the link
                    self.command(words, body)
        writer.close()

    def replace_link(self, writer: asyncio.StreamWriter, last_read: int) -> None:
        """Greet on a new link, and send all notices after the last one that was read."""
        if self.writer:
            self.writer.close()
        self.writer = writer
        self.record.add(f"agent: subscribe {last_read}, {len(self.notices)} notices so far")
        uptime_ms = int((time.monotonic() - self.started_at) * 1000)
        self.send(f"greeting LOADED {uptime_ms}\r\n".encode() + b"".join(self.notices[last_read:]))
        self.greeted.set()

    def break_link(self) -> None:
        """Close the link; runs continue without one."""
        if self.writer:
            self.breaks += 1
            self.record.add(f"agent: break {self.breaks} of the link")
            self.writer.transport.abort()
            self.writer = None

    def command(self, words: list[str], body: bytes) -> None:
        """Carry out one command."""
        match words:
            case ["sample", tag]:
                self.send(f"sampled {tag} 0.5 6 0.2 8\r\n".encode())
            case ["launch", run_id, class_name, _]:
                self.launch(run_id, class_name, body)
            case ["deliver", run_id, _]:
                self.deliver(run_id, body.decode())
            case ["forgo", run_id, number]:
                self.forgo(run_id, int(number))

    def launch(self, run_id: str, class_name: str, body: bytes) -> None:
        """Run a request that came to the app server, unless it runs or has run already."""
        if class_name != CLASS or self.bodies.get(run_id) != body:
            self.send(f"refusal launch {run_id}\r\n".encode())
        elif run_id not in self.runs:
            self.record.add(f"agent: launch {run_id}")
            self.runs[run_id] = Run(run_id)
            self.after_phase(run_id)
        elif self.runs[run_id].ended:
            self.notice(f"outcome # {run_id} NOOP 0", b"")

    def deliver(self, run_id: str, reply: str) -> None:
        """Give a run the reply to the call that it waits for; without such a run nothing happens."""
        run = self.runs.get(run_id)
        if run is None:
            self.send(f"refusal deliver {run_id}\r\n".encode())
        elif not run.waits_for:
            self.record.add(f"agent: deliver {run_id} '{reply}': the run waits for no call")
        else:
            self.record.add(f"agent: deliver {run_id} '{reply}', waits for the reply to '{run.waits_for}'")
            if reply != reply_to(run.waits_for):
                self.record.fault(f"run {run_id} waits for the reply to '{run.waits_for}' and got '{reply}'")
            run.waits_for = ""
            run.replies.append(reply)
            self.after_phase(run_id)

    def forgo(self, run_id: str, number: int) -> None:
        """Let a run go on without the call that the notice with this number asked for."""
        self.record.add(f"agent: forgo {run_id} {number}")
        run = self.runs.get(run_id)
        if run and run.waits_for and run.call_number == number:
            run.waits_for = ""
            run.replies.append("no reply")
            self.after_phase(run_id)

    def end_request(self, run_id: str) -> None:
        """Note that a request is over; a run that waits at a call ends."""
        self.answered.add(run_id)
        run = self.runs.get(run_id)
        if run and run.waits_for:
            self.kill(run)

    def kill(self, run: Run) -> None:
        """End a run at a call, as its request is over."""
        run.waits_for = ""
        run.ended = True
        self.notice(f"outcome # {run.run_id} KILLED 0", b"")

    def after_phase(self, run_id: str) -> None:
        """Let a run do its next part of the work."""
        asyncio.get_running_loop().call_later(self.rng.uniform(*PHASE_S), self.end_phase, self.runs[run_id])

    def end_phase(self, run: Run) -> None:
        """Make the run's next call, or end it."""
        if len(run.replies) < CALLS:
            if run.run_id in self.answered:
                self.kill(run)
                return
            run.call_number = len(self.notices) + 1
            run.waits_for = f"call {len(run.replies) + 1} of {run.run_id}"
            self.notice(f"request # {run.run_id}", run.waits_for.encode())
        else:
            run.ended = True
            self.notice(f"outcome # {run.run_id} PASS 300", "; ".join(run.replies).encode())

    def notice(self, text: str, body: bytes) -> None:
        """Number a notice, keep it and send it."""
        line = text.replace("#", str(len(self.notices) + 1))
        self.record.add(f"agent: {line}")
        self.notices.append(b"%b %d\r\n%b\r\n" % (line.encode(), len(body), body))
        self.send(self.notices[-1])

    def send(self, data: bytes) -> None:
        """Send bytes, if there is a link."""
        if self.writer and not self.writer.is_closing():
            self.writer.write(data)


class Ledger:
    """The ledger: answers each call with a reply of its own."""

    def __init__(self, record: Record, rng: random.Random) -> None:
        self.record = record
        self.rng = rng

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, one call at a time."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                length = next(
                    int(line[15:]) for line in head.split("\r\n") if line.startswith("content-length:")
                )
                call = (await reader.readexactly(length)).decode()
                self.record.add(f"ledger: {call}")
                await asyncio.sleep(self.rng.uniform(*LEDGER_S))
                reply = reply_to(call).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(reply), reply))
        writer.close()


class Router:
    """One connection of a router."""

    def __init__(self, number: int, agent: Agent, record: Record) -> None:
        self.number = number
        self.agent = agent
        self.record = record
        self.ids = itertools.count(1)
        self.open: dict[int, str] = {}  # call by id
        self.counts = {"sent": 0, "served": 0, "refused": 0, "failed": 0}

    async def connect(self, port: int) -> None:
        """Connect to the app server."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)

    def request(self, call: str, rng: random.Random) -> None:
        """Send one request, unless as many are open as the protocol allows."""
        if len(self.open) >= MAX_OPEN:
            return
        id_ = next(self.ids)
        body = f"pull {call}".encode()
        self.agent.bodies[call] = body
        self.open[id_] = call
        self.counts["sent"] += 1
        params = {
            "call": call, "recv": int(time.time() * 1000), "src": self.number, "heap": 24.5,
            "crit": round(rng.uniform(0.0, 0.99), 4), "body": base64.b64encode(body).decode(),
        }  # fmt: skip
        text = json.dumps({"jsonrpc": "2.0", "id": id_, "method": CLASS, "params": params}).encode()
        self.record.add(f"router {self.number}: request {id_} call {call}")
        self.writer.write(b"Content-Length: %d\r\n\r\n%b" % (len(text), text))

    async def read(self) -> None:
        """Read answers until the connection ends."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
                body = await self.reader.readexactly(int(head.split(":")[1]))
                self.answer(json.loads(body))

    def answer(self, message: dict[str, object]) -> None:
        """Take one answer."""
        id_ = message.get("id")
        if not isinstance(id_, int) or id_ not in self.open:
            return
        call = self.open.pop(id_)
        self.agent.end_request(call)
        match message:
            case {"result": {"body": str(text)}}:
                kind, said = "served", base64.b64decode(text).decode()
                wanted = "; ".join(reply_to(f"call {number + 1} of {call}") for number in range(CALLS))
                if said != wanted:
                    self.record.add(f"router {self.number}: WRONG result of {call}: '{said}'")
            case {"error": {"code": -32000}}:
                kind, said = "refused", ""
            case _:
                kind, said = "failed", json.dumps(message)
        self.counts[kind] += 1
        self.record.add(f"router {self.number}: answer {id_} call {call} {kind} '{said}'")


def settings() -> dict[str, object]:
    """Return the settings of one server of the site, with the one class that makes two calls."""
    return {
        "domain": {
            "cores": 6, "memory-kb": 24000, "run-factor": 4,
            "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
            "downstream": "tier", "class-calls": [True], "class-skip-worth": [0.0], "tells-gone": True,
        },
        "classes": [
            {"name": CLASS, "on-time": 2.7, "deadline": DEADLINE_S, "points": 2, "late-worth": 0.2,
             "repeat": "repeatable"},
        ],
        "invariants": {
            "answer-slack": 0.08, "overload-for": 3.0, "tip-multiple": 8.0,
            "stop-sending-within": 2.5, "warm-up": 18.0,
        },
        "ceilings": {"retry-after": True, "max-retry-after": 1.0},
        "replicas-of-me": 3, "tick": 0.002,
    }  # fmt: skip


def free_port() -> int:
    """Return a port of the loopback interface that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


@contextlib.contextmanager
def members() -> Iterator[int]:
    """Receive the reports to the membership service, which gives no answers."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        yield int(sock.getsockname()[1])


async def start_server(folder: Path, config: dict[str, object]) -> asyncio.subprocess.Process:
    """Start an app server by the command of the deploy file."""
    path = folder / "config.json"
    path.write_text(json.dumps(config))
    (folder / "tmp").mkdir()
    env = os.environ | {
        "GW_NAME": str(config["name"]), "GW_LISTEN": str(config["listen"]), "GW_CONFIG": str(path),
        "TMPDIR": str(folder / "tmp"),
    }  # fmt: skip
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    with (folder / "log").open("wb") as log:
        return await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=env, stdout=log, stderr=log, start_new_session=True
        )


async def stop_server(process: asyncio.subprocess.Process) -> None:
    """End the app server."""
    if process.returncode is None:
        process.terminate()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(process.wait(), 8.0)
    if process.returncode is None:
        with contextlib.suppress(ProcessLookupError):  # it has just ended
            os.killpg(process.pid, signal.SIGKILL)
        await process.wait()


async def load(routers: list[Router], agent: Agent, rng: random.Random) -> None:
    """Send requests at random times, and break the link now and then."""
    end_at = time.monotonic() + LOAD_S
    break_at = time.monotonic() + 3.0
    readers = [asyncio.create_task(router.read()) for router in routers]
    while (now := time.monotonic()) < end_at:
        rng.choice(routers).request(f"{rng.getrandbits(64):016x}", rng)
        if TROUBLE and now >= break_at:
            agent.break_link()
            break_at = now + BREAK_EVERY_S * rng.uniform(0.5, 1.5)
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
    await asyncio.sleep(DEADLINE_S + 0.5)
    for reader in readers:
        reader.cancel()


async def play(record: Record, folder: Path) -> int:
    """Play the case; return the exit code."""
    rng = random.Random(SEED)
    agent, ledger = Agent(record, rng), Ledger(record, rng)
    port = free_port()
    agent_server = await asyncio.start_server(agent.serve, "127.0.0.1", 0)
    ledger_server = await asyncio.start_server(ledger.serve, "127.0.0.1", 0)
    with members() as members_port:
        config = {
            "name": "n1", "listen": f"127.0.0.1:{port}", "seed": "8c1f30d27a5be964", "stop_ms": 3200,
            "agent": f"127.0.0.1:{agent_server.sockets[0].getsockname()[1]}",
            "ledger": f"127.0.0.1:{ledger_server.sockets[0].getsockname()[1]}",
            "members": f"127.0.0.1:{members_port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512}, "settings": settings(),
        }  # fmt: skip
        process = await start_server(folder, config)
        try:
            await asyncio.wait_for(agent.greeted.wait(), START_TIMEOUT_S)
            routers = [Router(number + 1, agent, record) for number in range(ROUTERS)]
            for router in routers:
                await router.connect(port)
            await load(routers, agent, rng)
            crashed = process.returncode is not None
        finally:
            await stop_server(process)
    totals = {kind: sum(router.counts[kind] for router in routers) for kind in routers[0].counts}
    record.add(f"totals: {totals}, breaks of the link: {agent.breaks}, wrong replies: {len(record.faults)}")
    print(f"{totals}; breaks {agent.breaks}; wrong replies delivered {len(record.faults)}")
    if crashed or totals["served"] < totals["sent"] / 2 or bool(agent.breaks) != TROUBLE:
        return EXIT_NOT_RUN
    return EXIT_BROKEN if record.faults else EXIT_HELD


def main() -> int:
    """Play the case in a temporary folder."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))  # the app server is ended all the same
    with tempfile.TemporaryDirectory() as folder, (HERE / "record.txt").open("w") as file:
        record = Record(file)
        try:
            return asyncio.run(play(record, Path(folder)))
        except (OSError, TimeoutError, EOFError) as error:
            record.add(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}")
            return EXIT_NOT_RUN


if __name__ == "__main__":
    sys.exit(main())
