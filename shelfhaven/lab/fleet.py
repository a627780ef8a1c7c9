"""A fleet of real `serve` processes on loopback, with a gate on every link to a peer or the list service.

The fleet writes the operator configuration of its nodes, starts, signals and ends their processes, and
records one history of the operations on the nodes and of their log lines. It signals only processes that it
started, and all of them end with the fleet.
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

STARTED = "started_by_lab"  # event that the fleet writes to a node's log before each start of its process
LogLine: TypeAlias = dict[str, Any]  # a decoded JSON line

OPERATOR_FILE = """
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
    """The output and exit code of a command."""

    output: str
    exit_code: int


class Operation(NamedTuple):
    """An operation on a node: its Unix time, the node's name and a description."""

    at: float
    node: str
    description: str


@dataclass(eq=False)
class FleetNode:
    """One node: its ports, its process and its log.

    Attributes:
        gateway, routers: the ports for gateways and routers; `routers` is 0 if there is none.
        peer: the port that the node listens on for peers, behind `gate`.
        gate: the gate in front of `peer`; its address is the one that the node advertises.
        store_gate: the gate on the link to the list service; None without a list service.
        folder: the directory of the node's files.
        process, starts: the current or last process, None before the first start; the number of starts.
        lines, read: the log lines read so far, of all starts, and the bytes of the log that they take.
    """

    name: str
    zone: str
    gateway: int
    peer: int
    gate: Gate
    store_gate: Gate | None
    folder: Path
    routers: int = 0
    process: asyncio.subprocess.Process | None = None
    lines: list[LogLine] = field(default_factory=list)
    read: int = 0
    starts: int = 0

    @property
    def log(self) -> Path:
        """The path of the log file."""
        return self.folder / f"{self.name}.log"

    @property
    def path(self) -> Path:
        """The path of the operator configuration."""
        return self.folder / f"{self.name}.kdl"

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.returncode is None

    def logged(self) -> list[LogLine]:
        """Read the complete lines added to the log and return all lines so far."""
        if self.log.exists():
            with self.log.open("rb") as file:
                file.seek(self.read)
                data = file.read()
            complete = data[: data.rfind(b"\n") + 1]
            self.read += len(complete)
            self.lines += [orjson.loads(line) for line in complete.splitlines() if line.startswith(b"{")]
        return self.lines

    def events(self, name: str) -> list[LogLine]:
        """Return the log lines of one event since the last start."""
        lines = self.logged()
        last_start = max((n for n, line in enumerate(lines) if line["event"] == STARTED), default=-1)
        return [line for line in lines[last_start + 1 :] if line["event"] == name]

    def known_node_count(self) -> int:
        """Return the number of nodes on the node's endpoint list, according to its log."""
        changes = self.events("list_changed")
        return int(changes[-1]["nodes"]) if changes else 0

    def ready_after(self) -> float | None:
        """Return the seconds from the start until the node was ready; None if it is not ready yet."""
        ready_lines = [line for line in self.events("readiness") if line["step"] == "ready"]
        return float(ready_lines[0]["after"]) if ready_lines else None

    async def ask(self, method: str, path: str, body: bytes = b"", **more: str) -> Reply:
        """Send the node one request as a gateway."""
        return await ask(Address("127.0.0.1", self.gateway), method, path, body, **more)

    async def healthy(self) -> bool:
        """Return whether the health check reports that the node accepts requests."""
        return (await self.ask("GET", "/-/health")).status == HTTPStatus.OK

    async def command(self, *words: str) -> CommandResult:
        """Run a command of the program with this node's operator configuration."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "shelfhaven", *words, "--operator", str(self.path),
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
        )  # fmt: skip
        output, _ = await process.communicate()
        return CommandResult(output.decode(), process.returncode or 0)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)


FileSection: TypeAlias = str | Callable[[FleetNode], str]  # one text for all nodes, or a function of the node


class FileValues(TypedDict, total=False):
    """Values for the placeholders of `OPERATOR_FILE` that differ between fleets, and options of the fleet."""

    stop: str  # time limit of a graceful shutdown
    at_once: int  # concurrent runs
    pool: str  # further lines of the node `pool`
    from_list: str  # "true" if the pool takes its servers from the endpoint list, else "false"
    more: str  # further lines of the node `membership`
    seeds: int  # number of other nodes that each file names as peers
    within: str  # time limit of requests to the list service
    singleton_tasks: FileSection  # section `duties`
    zones_section: FileSection  # section `zones`
    key_store: FileSection  # section `keys`
    datagrams: bool  # whether nodes send each other datagrams
    with_routers: bool  # whether nodes listen for routers
    topup: str  # further properties of the class "topup"


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
    """Nodes, the gates on their links and the history of operations.

    Attributes:
        folder: the directory of all files.
        store_port: the port of the list service; 0 if there is none.
        servers: addresses of the pool's servers.
        net: all gates.
        nodes: all nodes by name.
        by_gate, by_port: names of nodes by the address of their gate, and by the port of their datagrams.
        zone_of: zones of servers by address; a server without one gets no zone.
        history: the operations on nodes, in order.
        values: values for the operator configuration of all nodes.
        env: additional environment variables of a node's process, by name of the node.
    """

    def __init__(
        self, folder: Path, store_port: int, servers: Sequence[str], **changes: Unpack[FileValues]
    ) -> None:
        self.folder = folder
        self.store_port = store_port
        self.servers = list(servers)
        self.net = Network()
        self.nodes: dict[str, FleetNode] = {}
        self.by_gate: dict[str, str] = {}
        self.by_port: dict[int, str] = {}
        self.zone_of: dict[str, str] = {}
        self.history: list[Operation] = []
        self.values: FileValues = {**DEFAULT_VALUES, **changes}
        self.env: dict[str, dict[str, str]] = {}
        (folder / "secret").write_text("a secret for tests")

    async def add(self, name: str, zone: str = "z0") -> FleetNode:
        """Add a node without starting it."""
        peer_port = reserved_port()
        # Connections and datagrams share one port number, so that no other socket is assigned either of them.
        gate = await self.net.gate(name, reserved_port() if self.values["datagrams"] else 0, peer_port)
        gate.names = lambda address: self.by_gate.get(address, address)
        self.by_gate[f"127.0.0.1:{gate.port}"] = name
        if self.values["datagrams"]:
            self.by_port[peer_port] = name
            await self.net.datagrams(name, gate.port, peer_port, lambda port: self.by_port.get(port, "?"))
        store_gate = None
        if self.store_port:
            store_gate = await self.net.gate("store", 0, self.store_port, source=name)
        routers_port = reserved_port() if self.values["with_routers"] else 0
        node = FleetNode(name, zone, reserved_port(), peer_port, gate, store_gate, self.folder, routers_port)
        self.nodes[name] = node
        return node

    def journal(self, node: FleetNode) -> Path:
        """Return the path of the journal of a node's consensus store replica."""
        return self.folder / f"{node.name}.agreed"

    def write(self, node: FleetNode, **changes: Unpack[FileValues]) -> None:
        """Write a node's operator configuration; `changes` override the values of the fleet."""
        values: FileValues = {**self.values, **changes}
        routers_listener = (
            f'listen "r" protocol="jsonrpc" address="127.0.0.1:{node.routers}"' if node.routers else ""
        )
        text = OPERATOR_FILE.format(
            name=node.name,
            zone=node.zone,
            gateway=node.gateway,
            peer=node.peer,
            gate=node.gate.port,
            secret=self.folder / "secret",
            servers="\n".join(map(self._server_line, self.servers)),
            routers=routers_listener,
            tenant='tenant "one"' if routers_listener else "",
            mapped='tenant default="one"' if routers_listener else "",
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
        zone_property = f' zone="{self.zone_of[server]}"' if server in self.zone_of else ""
        return f'    server "{server}"{zone_property}'

    async def start(self, node: FleetNode, **changes: Unpack[FileValues]) -> None:
        """Write a node's operator configuration and start its process."""
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
        """Start all nodes that are not running, concurrently."""
        await asyncio.gather(*(self.start(node) for node in self.nodes.values() if not node.running))

    def note(self, name: str, operation: str) -> None:
        """Record an operation on a node in the history."""
        self.history.append(Operation(time.time(), name, operation))

    def suspend(self, node: FleetNode) -> None:
        """Suspend a node's process."""
        node.send(signal.SIGSTOP)
        self.note(node.name, "paused")

    def resume(self, node: FleetNode) -> None:
        """Resume a node's process."""
        node.send(signal.SIGCONT)
        self.note(node.name, "resumed")

    async def kill(self, node: FleetNode) -> None:
        """Kill a node's process and wait for its end."""
        node.send(signal.SIGKILL)
        if node.process:
            await node.process.wait()
        self.note(node.name, "killed")

    async def drain(self, node: FleetNode) -> int:
        """Start a node's graceful shutdown, wait for its end and return the exit code."""
        node.send(signal.SIGTERM)
        self.note(node.name, "told to leave")
        return await node.process.wait() if node.process else 0

    def running(self) -> list[FleetNode]:
        """Return the nodes whose process is running."""
        return [node for node in self.nodes.values() if node.running]

    def all_know(self, count: int) -> bool:
        """Return whether every running node has this number of nodes on its endpoint list."""
        return all(node.known_node_count() == count for node in self.running())

    def whole_history(self) -> list[LogLine]:
        """Return all operations and log lines of all nodes, ordered by time."""
        operations: list[LogLine] = [
            {"at": operation.at, "server": operation.node, "event": "done", "what": operation.description}
            for operation in self.history
        ]
        logged = [line for node in self.nodes.values() for line in node.logged()]
        return sorted(operations + logged, key=lambda line: float(line["at"]))

    async def end(self) -> None:
        """Kill all processes and close all gates."""
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
    """Create a fleet whose nodes are not started; it ends with the context."""
    with tempfile.TemporaryDirectory() as folder:
        new_fleet = Fleet(Path(folder), store_port, servers, **changes)
        try:
            for number in range(count):
                await new_fleet.add(f"n{number:03}", f"z{number % zones}")
            yield new_fleet
        finally:
            await new_fleet.end()
