"""A top-up that came over uwsgi runs a second time when its caller repeats it over JSON-RPC.

One app server runs by the command of the deploy file, with deploy/operator.kdl, in which only the
addresses are replaced: a listener for gateways, one for routers and a pool of four uwsgi servers.
Gateways, routers and the uwsgi servers are stand-ins in this process.  Every top-up is sent twice, with
the same tenant, idempotency key and body, within the window.  The disruption is that the repeat comes over
the other protocol; without it, the repeat comes over the same one.  Nothing is stopped, delayed or lost.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import TextIO

HERE = Path(__file__).resolve().parent
ROOT = HERE.parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = 44
TOP_UPS = 40
INTERVAL_S = 0.25  # between two top-ups
REPEAT_AFTER_S = (0.5, 3.0)  # from the first try to the repeat; the window is 8 s
RUN_S = (0.02, 0.08)  # a run's time at a uwsgi server
DEADLINE_S = 4.0  # of the class
START_TIMEOUT_S = 30.0
TENANT = "retail"

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 10, 2  # run.sh turns them into its own


class Record:
    """What was sent, answered and run, in the order in which this process saw it."""

    def __init__(self, file: TextIO) -> None:
        self.file = file
        self.started_at = time.monotonic()

    def add(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.started_at:9.4f} {text}\n")


class Servers:
    """The uwsgi servers that carry out top-ups; `runs` counts the runs of each key."""

    def __init__(self, record: Record, rng: random.Random) -> None:
        self.record = record
        self.rng = rng
        self.runs: Counter[str] = Counter()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Run the one request of a connection and answer with its result."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            _, size, _ = struct.unpack("<BHB", await reader.readexactly(4))
            variables = decode_variables(await reader.readexactly(size))
            body = await reader.readexactly(int(variables.get("CONTENT_LENGTH") or 0))
            key = variables.get("HTTP_IDEMPOTENCY_KEY", "")
            self.runs[key] += 1
            query = variables.get("QUERY_STRING", "")
            self.record.add(
                f"server: run {self.runs[key]} of key {key}, query '{query}', body '{body.decode()}'"
            )
            await asyncio.sleep(self.rng.uniform(*RUN_S))
            result = b"credited " + body
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(result), result))
            await writer.drain()
        writer.close()


def decode_variables(block: bytes) -> dict[str, str]:
    """Return the variables of a uwsgi block."""
    texts: list[str] = []
    position = 0
    while position < len(block):
        (length,) = struct.unpack_from("<H", block, position)
        texts.append(block[position + 2 : position + 2 + length].decode())
        position += 2 + length
    return dict(zip(texts[::2], texts[1::2], strict=True))


def encode_request(variables: dict[str, str], body: bytes) -> bytes:
    """Return a uwsgi request."""
    block = b""
    for name, value in {**variables, "CONTENT_LENGTH": str(len(body))}.items():
        for text in (name.encode(), value.encode()):
            block += struct.pack("<H", len(text)) + text
    return struct.pack("<BHB", 0, len(block), 0) + block + body


@dataclass(frozen=True)
class TopUp:
    """One top-up: all its tries have the same key and body."""

    number: int
    key: str
    body: bytes
    query: str  # of the gateway's URL; empty in a few, for comparison


class Callers:
    """A gateway and a router that send tries of top-ups."""

    def __init__(self, record: Record, rng: random.Random, gateways: int, routers: int) -> None:
        self.record = record
        self.rng = rng
        self.gateways = gateways
        self.routers = routers
        self.unanswered = 0

    async def send_twice(self, top_up: TopUp) -> None:
        """Send a top-up over uwsgi, and repeat it within the window."""
        await self.by_uwsgi(top_up)
        await asyncio.sleep(self.rng.uniform(*REPEAT_AFTER_S))
        await (self.by_json_rpc(top_up) if TROUBLE else self.by_uwsgi(top_up))

    async def by_uwsgi(self, top_up: TopUp) -> None:
        """Send one try over uwsgi, on a connection of its own."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.gateways)
        uri = f"/topup?{top_up.query}" if top_up.query else "/topup"
        variables = {
            "REQUEST_METHOD": "POST", "REQUEST_URI": uri, "PATH_INFO": "/topup", "QUERY_STRING": top_up.query,
            "SERVER_PROTOCOL": "HTTP/1.1", "REMOTE_ADDR": "127.0.0.1", "CONTENT_TYPE": "text/plain",
            "HTTP_X_TENANT": TENANT, "HTTP_IDEMPOTENCY_KEY": top_up.key,
        }  # fmt: skip
        self.record.add(f"gateway: POST {uri} key {top_up.key}, body '{top_up.body.decode()}'")
        writer.write(encode_request(variables, top_up.body))
        answer = await asyncio.wait_for(reader.read(), DEADLINE_S + 0.5)
        status, _, rest = answer.partition(b"\r\n")
        result = rest.rpartition(b"\r\n")[2]
        self.take(f"gateway: key {top_up.key}: {status.decode()} '{result.decode()}'", answer)
        writer.close()

    async def by_json_rpc(self, top_up: TopUp) -> None:
        """Send one try over JSON-RPC, on a connection of its own."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.routers)
        params = {
            "call": f"{self.rng.getrandbits(64):016x}", "recv": int(time.time() * 1000), "src": 1,
            "org": TENANT,
            "rep": 1, "heap": 24.5, "crit": 0.625, "dedupe": top_up.key,
            "body": base64.b64encode(top_up.body).decode(),
        }  # fmt: skip
        text = json.dumps({"jsonrpc": "2.0", "id": 1, "method": "topup", "params": params}).encode()
        self.record.add(f"router: {text.decode()}")
        writer.write(b"Content-Length: %d\r\n\r\n%b" % (len(text), text))
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), DEADLINE_S + 0.5)
        answer = await reader.readexactly(int(head.split(b":")[1]))
        self.take(f"router: key {top_up.key}: {answer.decode()}", answer)
        writer.close()

    def take(self, text: str, answer: bytes) -> None:
        """Write down an answer."""
        self.unanswered += not answer
        self.record.add(text)


def free_port() -> int:
    """Return a port of the loopback interface that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def operator_file(ports: dict[int, int]) -> str:
    """Return the operator's file of the project, with free ports in place of its own."""
    text = (ROOT / "deploy" / "operator.kdl").read_text()
    for port, free in ports.items():
        if f'"127.0.0.1:{port}"' not in text:
            raise EOFError(f"deploy/operator.kdl has no address 127.0.0.1:{port}")
        text = text.replace(f'"127.0.0.1:{port}"', f'"127.0.0.1:{free}"')
    return text


async def start_server(folder: Path, text: str, port: int) -> asyncio.subprocess.Process:
    """Start an app server by the command of the deploy file, and wait until it listens."""
    path = folder / "operator.kdl"
    path.write_text(text)
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"] + f" --operator '{path}'"
    (folder / "tmp").mkdir()
    env = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
    with (folder / "log").open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=env | {"TMPDIR": str(folder / "tmp")},
            stdout=log, stderr=log, start_new_session=True,
        )  # fmt: skip
    async with asyncio.timeout(START_TIMEOUT_S):
        while process.returncode is None:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.close()
                return process
            await asyncio.sleep(0.05)
    raise EOFError((folder / "log").read_text()[-2000:])


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


async def play(record: Record, folder: Path) -> int:
    """Play the case; return the exit code."""
    rng = random.Random(SEED)
    servers = Servers(record, rng)
    ports = {4101: free_port(), 4100: free_port()}
    for port in (5101, 5102, 5103, 5104):
        listening = await asyncio.start_server(servers.serve, "127.0.0.1", 0)
        ports[port] = listening.sockets[0].getsockname()[1]
    callers = Callers(record, rng, gateways=ports[4101], routers=ports[4100])
    process = await start_server(folder, operator_file(ports), ports[4100])
    top_ups = []
    try:
        async with asyncio.TaskGroup() as group:
            for number in range(TOP_UPS):
                query = "" if number % 4 == 3 else "channel=ussd"
                key = f"{rng.getrandbits(128):032x}"
                top_ups.append(
                    TopUp(
                        number, key, f"top-up {number} of line 234{rng.randrange(10**10):010}".encode(), query
                    )
                )
                group.create_task(callers.send_twice(top_ups[-1]))
                await asyncio.sleep(INTERVAL_S)
        crashed = process.returncode is not None
    finally:
        await stop_server(process)
    twice = [top_up for top_up in top_ups if servers.runs[top_up.key] > 1]
    for top_up in twice:
        record.add(f"BROKEN key {top_up.key} ran {servers.runs[top_up.key]} times within its window")
    without_query = sum(not top_up.query for top_up in twice)
    ran = sum(servers.runs[top_up.key] > 0 for top_up in top_ups)
    summary = (
        f"top-ups {len(top_ups)}, ran {ran}, ran more than once {len(twice)}, "
        f"of these without a query {without_query}, "
        f"tries unanswered {callers.unanswered}"
    )
    record.add(f"totals: {summary}")
    print(summary)
    if crashed or ran < TOP_UPS:
        return EXIT_NOT_RUN
    return EXIT_BROKEN if twice else EXIT_HELD


def main() -> int:
    """Play the case in a temporary folder."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))  # the app server is ended all the same
    with tempfile.TemporaryDirectory() as folder, (HERE / "record.txt").open("w") as file:
        record = Record(file)
        try:
            return asyncio.run(play(record, Path(folder)))
        except* (OSError, EOFError) as errors:  # a TimeoutError is an OSError
            record.add(f"the case could not run: {errors.exceptions!r}")
            print(f"the case could not run: {errors.exceptions!r}")
    return EXIT_NOT_RUN


if __name__ == "__main__":
    sys.exit(main())
