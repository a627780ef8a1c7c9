"""Loopback ports for listeners, each given to one process of the machine at a time.

A port that was probed and left is nobody's until its owner listens, and again while its owner restarts. Ports
are therefore taken in blocks below the range that the system gives connections, and a block belongs to the
process that holds an abstract Unix socket named after it: the system frees it however that process ends.
"""

from __future__ import annotations

import contextlib
import socket
from pathlib import Path

from shelfhaven.config import Address

LOWEST = 12_000  # ports from there up to those that the system gives connections
BLOCK = 128  # ports that are reserved at once
HOST = "127.0.0.1"
RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")


class NoPortFree(RuntimeError):
    """Every block belongs to another process, or all ports of the own ones are listened on."""


class PortBlocks:
    """The blocks that this process holds, and which of their ports comes next."""

    def __init__(self, name: str = "shelfhaven-ports", lowest: int = LOWEST, ends: int = 0) -> None:
        """`name`: processes that share one never have a block in common; `ends`: the first port beyond, 0
        for where the range begins that the system gives connections.
        """
        self.name, self.lowest = name, lowest
        self.ends = ends or int(RANGE_FILE.read_text().split()[0])
        self.reservations: list[socket.socket] = []
        self.unused: list[int] = []  # the next one last
        self.given: list[int] = []  # the one that was given longest ago first

    def take(self) -> int:
        """A port that nobody listens on, and that no other process is given while this one runs."""
        while self.unused or self._reserve():
            port = self.unused.pop()
            self.given.append(port)
            if _is_free(port):
                return port
        for _ in range(len(self.given)):  # every block is somebody's: the own ports once more
            port = self.given.pop(0)
            self.given.append(port)
            if _is_free(port):
                return port
        raise NoPortFree("no port is free")

    def close(self) -> None:
        """Give all blocks back."""
        for reservation in self.reservations:
            reservation.close()
        self.reservations, self.unused, self.given = [], [], []

    def _reserve(self) -> bool:
        """Take one more block, if there is one."""
        for block in range(self.lowest, self.ends - BLOCK + 1, BLOCK):
            reservation = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
            try:
                reservation.bind(f"\0{self.name}-{block}")
            except OSError:
                reservation.close()
                continue
            self.reservations.append(reservation)
            self.unused = list(range(block + BLOCK - 1, block - 1, -1))
            return True
        return False


def _is_free(port: int) -> bool:
    """Whether nobody listens on a port, nor waits for datagrams there."""
    datagrams = socket.socket(type=socket.SOCK_DGRAM)
    with socket.socket() as probe, datagrams, contextlib.suppress(OSError):
        probe.bind((HOST, port))
        datagrams.bind((HOST, port))
        return True
    return False


_blocks = PortBlocks()


def reserved_port() -> int:
    """A loopback port for a listener of this process or of one that it starts, and for its restarts."""
    return _blocks.take()


def reserved_address() -> Address:
    """A loopback address for a listener, as `reserved_port`."""
    return Address(HOST, reserved_port())
