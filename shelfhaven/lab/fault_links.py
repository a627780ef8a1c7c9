"""Network links between processes on loopback, with faults that can be set for each link.

A gate is a forwarding proxy in front of a listener. It applies the rule in force for the sender and the
receiver, and never changes a byte that it forwards.

`Gate` forwards connections. Each node connects to a service through a gate of its own, which identifies the
sender. All peers of a node share the gate in front of its peer listener, and are identified by the address in
the first line that they send. `DatagramGate` forwards datagrams to a node, at the same port number as the
node's `Gate`, and identifies a sender by its source port.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

HOST = "127.0.0.1"
READ_SIZE = 1 << 16  # bytes
LISTEN_BACKLOG = 512  # connections; all nodes of a fleet may connect at the same time
SENDER_PATTERN = re.compile(rb"[?&]from=([^& ]+)")  # in the request line of a peer


@dataclass(frozen=True, slots=True)
class Rule:
    """The faults of one direction of a link; all faults that are set apply together.

    Attributes:
        blackhole: bytes are dropped silently, and connections stay open.
        reset: connections are reset.
        refuse_connections: new connections from the sender are closed; connections that the
            receiver opens still work in both directions.
        delay: seconds by which each chunk or datagram is delayed.
        rate: bytes per second; 0 means unlimited.
        loss: fraction of datagrams that are dropped at random.
        jitter: largest random delay of a datagram in seconds, which also reorders datagrams.
    """

    blackhole: bool = False
    reset: bool = False
    refuse_connections: bool = False
    delay: float = 0.0
    rate: float = 0.0
    loss: float = 0.0
    jitter: float = 0.0

    @property
    def drops_everything(self) -> bool:
        """Whether every datagram is dropped."""
        return self.blackhole or self.reset or self.refuse_connections


NO_FAULTS = Rule()
BLACKHOLE = Rule(blackhole=True)


class Network:
    """The gates of a test network, and the rules of its links by sender and receiver."""

    def __init__(self) -> None:
        self.rules: dict[tuple[str, str], Rule] = {}
        self.gates: list[Gate | DatagramGate] = []

    def rule(self, source: str, target: str) -> Rule:
        """Return the rule in force for one direction; an exact match takes precedence over `*`."""
        for pair in ((source, target), (source, "*"), ("*", target)):
            if pair in self.rules:
                return self.rules[pair]
        return NO_FAULTS

    def set(self, source: str, target: str, rule: Rule | None) -> None:
        """Set the rule of one direction, or remove it with None; `*` matches all senders or all receivers."""
        if rule is None:
            self.rules.pop((source, target), None)
        else:
            self.rules[source, target] = rule

    def cut(self, side: list[str], other_side: list[str], rule: Rule | None = BLACKHOLE) -> None:
        """Partition two groups from each other, or set another rule in both directions; None removes it."""
        for name in side:
            for other in other_side:
                self.set(name, other, rule)
                self.set(other, name, rule)

    async def gate(self, target: str, port: int, target_port: int, source: str = "") -> Gate:
        """Open a gate to a service or node; without `source`, the first line identifies the sender."""
        gate = Gate(self, target, target_port, source)
        await gate.start(port)
        self.gates.append(gate)
        return gate

    async def datagrams(self, target: str, port: int, target_port: int, names: Callable[[int], str]) -> None:
        """Open a gate for datagrams to a node; `names` returns the sender that uses a source port."""
        gate = DatagramGate(self, target, target_port, names)
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: gate, local_addr=(HOST, port))
        self.gates.append(gate)

    def close(self) -> None:
        """Close all gates."""
        for gate in self.gates:
            gate.close()


class Gate:
    """A forwarding proxy for connections to one target.

    Attributes:
        names: returns a peer's name by its address.
        open: writers of both ends of all open connections.
        forwarded: number of bytes that were forwarded.
    """

    def __init__(self, net: Network, target: str, target_port: int, source: str) -> None:
        self.net = net
        self.target = target
        self.target_port = target_port
        self.source = source
        self.names: Callable[[str], str] = lambda address: address
        self.server: asyncio.Server | None = None
        self.port = 0
        self.open: set[asyncio.StreamWriter] = set()
        self.forwarded = 0

    async def start(self, port: int) -> None:
        """Start listening; port 0 lets the system choose a port."""
        self.server = await asyncio.start_server(self._serve, HOST, port, backlog=LISTEN_BACKLOG)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and break all open connections."""
        if self.server:
            self.server.close()
        for writer in list(self.open):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        target_writer: asyncio.StreamWriter | None = None
        try:
            first_bytes = await reader.read(READ_SIZE)
            source = self.source or self._sender(first_bytes)
            rule = self.net.rule(source, self.target)
            if rule.reset or rule.refuse_connections:
                return
            target_reader, target_writer = await asyncio.open_connection(HOST, self.target_port)
            self.open.add(target_writer)
            await asyncio.gather(
                self._forward_direction(first_bytes, reader, target_writer, source, self.target),
                self._forward_direction(b"", target_reader, writer, self.target, source),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for open_writer in (writer, target_writer):
                if open_writer:
                    self._close(open_writer)

    def _close(self, writer: asyncio.StreamWriter) -> None:
        self.open.discard(writer)
        if writer.is_closing():
            writer.transport.abort()
        else:
            writer.close()

    def _sender(self, first_bytes: bytes) -> str:
        """Return the name of the peer that sent these first bytes of a connection."""
        match = SENDER_PATTERN.search(first_bytes.split(b"\r\n", 1)[0])
        address = match.group(1).decode().replace("%3A", ":") if match else ""
        return self.names(address)

    async def _forward_direction(
        self,
        data: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sender: str,
        receiver: str,
    ) -> None:
        """Forward one direction of a connection; each chunk is subject to the rule then in force."""
        while data or (data := await reader.read(READ_SIZE)):
            rule = self.net.rule(sender, receiver)
            if rule.reset:
                raise ConnectionResetError
            delay = rule.delay + (len(data) / rule.rate if rule.rate else 0.0)
            if delay:
                await asyncio.sleep(delay)
            if not self.net.rule(sender, receiver).blackhole:
                self.forwarded += len(data)
                writer.write(data)
                await writer.drain()
            data = b""
        if not self.net.rule(sender, receiver).blackhole:
            with contextlib.suppress(OSError):
                writer.write_eof()


class DatagramGate(asyncio.DatagramProtocol):
    """A forwarding proxy for datagrams to one target, which sees the gate as their sender.

    Attributes:
        forwarded, dropped: numbers of datagrams that were forwarded and dropped.
    """

    def __init__(self, net: Network, target: str, target_port: int, names: Callable[[int], str]) -> None:
        self.net = net
        self.target = target
        self.target_port = target_port
        self.names = names
        self.transport: asyncio.DatagramTransport | None = None
        self.random = Random(target_port)
        self.forwarded = 0
        self.dropped = 0

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:  # type: ignore[override]
        """Store the transport, which also sends the forwarded datagrams."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forward a datagram, unless the rule in force drops it."""
        rule = self.net.rule(self.names(addr[1]), self.target)
        if rule.drops_everything or (rule.loss and self.random.random() < rule.loss):
            self.dropped += 1
            return
        delay = rule.delay + rule.jitter * self.random.random()
        if delay:
            asyncio.get_running_loop().call_later(delay, self._forward, data)
        else:
            self._forward(data)

    def _forward(self, data: bytes) -> None:
        if self.transport and not self.transport.is_closing():
            self.forwarded += 1
            self.transport.sendto(data, (HOST, self.target_port))

    def close(self) -> None:
        """Stop forwarding."""
        if self.transport:
            self.transport.close()
