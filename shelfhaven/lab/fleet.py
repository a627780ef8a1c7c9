"""A fleet of real `serve` processes on loopback, with a gate on every link to peers and to the list service.

Writes the nodes' files, starts, signals and ends the processes, and records one history of what was done to
them and what they logged. Every process that it starts ends with the fleet, and it signals no other.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path
from typing import Any, NamedTuple, TypeAlias, TypedDict, Unpack

import orjson

from shelfhaven.config import Address
from shelfhaven.lab.callers import Reply, ask
from shelfhaven.lab.fault_links import Gate, Network
from shelfhaven.lab.ports import reserved_port

STARTED = "started_by_lab"  # log event that marks a start of a process
LogLine: TypeAlias = dict[str, Any]  # JSON, as decoded

FILE = """
node "{name}" stop="{stop}" memory="64MB" descriptors=256
work at-once={at_once} memory="16MB" {{
    class "balance" aim="500ms" deadline="1500ms" worth=1 repeat="safe"
    class "topup" aim="1s" worth=3 repeat="keyed" {topup}
    {tenant}
}}
mapping "m" {{
    route "topup" method="POST" path="/topup"
    route "balance" path="/balance/*"
    {mapped}
}}
listen "g" protocol="uwsgi" address="127.0.0.1:{gateway}" mapping="m"
{routers}
pool "p" from-list={from_list} {{
{servers}
    runs "topup"
    runs "balance" method="GET" path="/balance/any"
    {pool}
}}
membership zone="{zone}" {{
    listen "127.0.0.1:{peer}"
    advertise "127.0.0.1:{gate}"
    secret "{secret}"
{peers}
    {service}
    {more}
}}
{singleton_tasks}
{zones_section}
{key_store}
"""


class CommandResult(NamedTuple):
    """What a command printed, and its exit code."""

    output: str
    exit_code: int


class Operation(NamedTuple):
    """What was done to a node."""

    at: float
    node: str
    what: str


@dataclass(eq=False)
class FleetNode:
    """One node: its ports, its process and what it has logged."""

    name: str
    zone: str
    gateway: int
    peer: int
    gate: Gate
    store_gate: Gate | None
    folder: Path
    routers: int = 0  # port for routers, 0 for none
    process: asyncio.subprocess.Process | None = None
    lines: list[LogLine] = field(default_factory=list)
    read: int = 0  # bytes of the log that are in `lines`
    starts: int = 0

    @property
    def log(self) -> Path:
        """The file of its log."""
        return self.folder / f"{self.name}.log"

    @property
    def path(self) -> Path:
        """Its operator's file."""
        return self.folder / f"{self.name}.kdl"

    @property
    def running(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.returncode is None

    def logged(self) -> list[LogLine]:
        """All complete lines so far."""
        if self.log.exists():
            with self.log.open("rb") as file:
                file.seek(self.read)
                data = file.read()
            complete = data[: data.rfind(b"\n") + 1]
            self.read += len(complete)
            self.lines += [orjson.loads(line) for line in complete.splitlines() if line.startswith(b"{")]
        return self.lines

    def events(self, name: str) -> list[LogLine]:
        """Lines of one event, since the last start."""
        lines = self.logged()
        started = max((n for n, line in enumerate(lines) if line["event"] == STARTED), default=-1)
        return [line for line in lines[started + 1 :] if line["event"] == name]

    def knows(self) -> int:
        """How many nodes are on its list, by its log."""
        changed = self.events("list_changed")
        return int(changed[-1]["nodes"]) if changed else 0

    def ready_after(self) -> float | None:
        """Seconds from its start until it took requests; None if it does not yet."""
        steps = [line for line in self.events("readiness") if line["step"] == "ready"]
        return float(steps[0]["after"]) if steps else None

    async def ask(self, method: str, path: str, body: bytes = b"", **more: str) -> Reply:
        """Send it one request, as a gateway."""
        return await ask(Address("127.0.0.1", self.gateway), method, path, body, **more)

    async def healthy(self) -> bool:
        """Whether its health check says that it takes requests."""
        return (await self.ask("GET", "/-/health")).status == HTTPStatus.OK

    async def command(self, *words: str) -> CommandResult:
        """Run a command of the program with this node's file."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "shelfhaven", *words, "--operator", str(self.path),
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
        )  # fmt: skip
        output, _ = await process.communicate()
        return CommandResult(output.decode(), process.returncode or 0)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to its process."""
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)


FileSection: TypeAlias = str | Callable[[FleetNode], str]  # the same for all nodes, or made for each


class FileValues(TypedDict, total=False):
    """The values of `FILE` that differ between fleets."""

    stop: str  # time for a graceful shutdown
    at_once: int
    pool: str  # more of the pool's node
    from_list: str  # whether the pool takes its servers from the list: "true" or "false"
    more: str  # of the node `membership`
    seeds: int  # how many other nodes each file names as peers
    within: str  # time limit of the list service
    singleton_tasks: FileSection  # the node `duties`
    zones_section: FileSection  # the node `zones`
    key_store: FileSection  # the node `keys`
    datagrams: bool  # whether nodes send each other datagrams
    with_routers: bool
    topup: str  # properties of the class "topup"


DEFAULT_VALUES: FileValues = {
    "stop": "1s",
    "at_once": 16,
    "pool": "",
    "from_list": "false",
    "more": "",
    "seeds": 3,
    "within": "1s",
    "singleton_tasks": "",
    "zones_section": "",
    "key_store": "",
    "datagrams": False,
    "with_routers": False,
    "topup": 'deadline="3s" window="8s"',
}


def _text_for(section: FileSection, node: FleetNode) -> str:
    return section(node) if callable(section) else section


class Fleet:
    """Nodes, gates and history."""

    def __init__(
        self, folder: Path, store_port: int, servers: Sequence[str], **changes: Unpack[FileValues]
    ) -> None:
        self.folder = folder
        self.store_port = store_port  # of the list service, 0 for none
        self.servers = list(servers)
        self.net = Network()
        self.nodes: dict[str, FleetNode] = {}
        self.by_gate: dict[str, str] = {}  # names of nodes by the address of their gate
        self.by_port: dict[int, str] = {}  # names of nodes by the port that they send datagrams from
        self.zone_of: dict[str, str] = {}  # zones of servers by their address
        self.history: list[Operation] = []
        self.values: FileValues = {**DEFAULT_VALUES, **changes}
        self.env: dict[str, dict[str, str]] = {}  # by node: further variables of its process
        (folder / "secret").write_text("a secret of the laboratory")

    async def add(self, name: str, zone: str = "z0") -> FleetNode:
        """Add a node, which is not started yet."""
        peer = reserved_port()
        # One port number for connections and datagrams, so that neither is given to another socket.
        gate = await self.net.gate(name, reserved_port() if self.values["datagrams"] else 0, peer)
        gate.names = lambda address: self.by_gate.get(address, address)
        self.by_gate[f"127.0.0.1:{gate.port}"] = name
        if self.values["datagrams"]:
            self.by_port[peer] = name
            await self.net.datagrams(name, gate.port, peer, lambda port: self.by_port.get(port, "?"))
        store_gate = None
        if self.store_port:
            store_gate = await self.net.gate("store", 0, self.store_port, source=name)
        routers = reserved_port() if self.values["with_routers"] else 0
        node = FleetNode(name, zone, reserved_port(), peer, gate, store_gate, self.folder, routers)
        self.nodes[name] = node
        return node

    def journal(self, node: FleetNode) -> Path:
        """The file of a node's replica of the consensus store."""
        return self.folder / f"{node.name}.agreed"

    def write(self, node: FleetNode, **changes: Unpack[FileValues]) -> None:
        """Write a node's file."""
        values: FileValues = {**self.values, **changes}
        routers = f'listen "r" protocol="jsonrpc" address="127.0.0.1:{node.routers}"' if node.routers else ""
        text = FILE.format(
            name=node.name,
            zone=node.zone,
            gateway=node.gateway,
            peer=node.peer,
            gate=node.gate.port,
            secret=self.folder / "secret",
            servers="\n".join(map(self._server_line, self.servers)),
            routers=routers,
            tenant='tenant "one"' if routers else "",
            mapped='tenant default="one"' if routers else "",
            peers=self._peer_lines(node, values["seeds"]),
            service=self._list_service_node(node, values["within"]),
            zones_section=_text_for(values["zones_section"], node),
            singleton_tasks=_text_for(values["singleton_tasks"], node),
            key_store=_text_for(values["key_store"], node),
            stop=values["stop"],
            at_once=values["at_once"],
            pool=values["pool"],
            from_list=values["from_list"],
            more=values["more"],
            topup=values["topup"],
        )
        node.path.write_text(text)

    def _peer_lines(self, node: FleetNode, count: int) -> str:
        others = [other for other in self.nodes.values() if other is not node]
        return "\n".join(f'    peer "127.0.0.1:{other.gate.port}"' for other in others[:count])

    def _list_service_node(self, node: FleetNode, time_limit: str) -> str:
        if node.store_gate is None:
            return ""
        endpoint = f'endpoint "127.0.0.1:{node.store_gate.port}"'
        return f'list within="{time_limit}" {{\n        {endpoint}\n    }}'

    def _server_line(self, server: str) -> str:
        zone = f' zone="{self.zone_of[server]}"' if server in self.zone_of else ""
        return f'    server "{server}"{zone}'

    async def start(self, node: FleetNode, **changes: Unpack[FileValues]) -> None:
        """Start a node's process."""
        self.write(node, **changes)
        line = {"event": STARTED, "at": time.time(), "server": node.name}
        with node.log.open("ab") as log:
            log.write(orjson.dumps(line) + b"\n")
            env = {key: value for key, value in os.environ.items() if key != "GW_CONFIG"}
            env |= self.env.get(node.name, {})
            node.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "shelfhaven", "serve", "--operator", str(node.path), stderr=log, env=env
            )
        node.starts += 1
        self.note(node.name, "started")

    async def start_all(self) -> None:
        """Start all that do not run, at once."""
        await asyncio.gather(*(self.start(node) for node in self.nodes.values() if not node.running))

    def note(self, name: str, what: str) -> None:
        """Record what was done to a node."""
        self.history.append(Operation(time.time(), name, what))

    def suspend(self, node: FleetNode) -> None:
        """Suspend its process."""
        node.send(signal.SIGSTOP)
        self.note(node.name, "paused")

    def resume(self, node: FleetNode) -> None:
        """Resume its process."""
        node.send(signal.SIGCONT)
        self.note(node.name, "resumed")

    async def kill(self, node: FleetNode) -> None:
        """Kill its process."""
        node.send(signal.SIGKILL)
        if node.process:
            await node.process.wait()
        self.note(node.name, "killed")

    async def drain(self, node: FleetNode) -> int:
        """Begin its graceful shutdown, and wait for its exit code."""
        node.send(signal.SIGTERM)
        self.note(node.name, "told to leave")
        return await node.process.wait() if node.process else 0

    def running(self) -> list[FleetNode]:
        """Nodes whose process runs."""
        return [node for node in self.nodes.values() if node.running]

    def all_know(self, count: int) -> bool:
        """Whether every running node has this number of nodes on its list."""
        return all(node.knows() == count for node in self.running())

    def whole_history(self) -> list[LogLine]:
        """What was done and what was logged, ordered by time."""
        done: list[LogLine] = [
            {"at": operation.at, "server": operation.node, "event": "done", "what": operation.what}
            for operation in self.history
        ]
        logged = [line for node in self.nodes.values() for line in node.logged()]
        return sorted(done + logged, key=lambda line: float(line["at"]))

    async def end(self) -> None:
        """End all processes and gates."""
        for node in self.nodes.values():
            node.send(signal.SIGCONT)
            node.send(signal.SIGKILL)
        for node in self.nodes.values():
            if node.process:
                await node.process.wait()
        self.net.close()


@contextlib.asynccontextmanager
async def fleet(
    count: int, store_port: int, servers: Sequence[str], zones: int = 3, **changes: Unpack[FileValues]
) -> AsyncIterator[Fleet]:
    """A fleet whose nodes are not started yet; ended with the context."""
    with tempfile.TemporaryDirectory() as folder:
        made = Fleet(Path(folder), store_port, servers, **changes)
        try:
            for number in range(count):
                await made.add(f"n{number:03}", f"z{number % zones}")
            yield made
        finally:
            await made.end()
