"""Reservation of loopback ports for listeners, each for one process of the machine at a time.

Checking that a port is free does not reserve it: another process may bind it before the intended owner
listens, or while the owner restarts. Ports are therefore reserved in blocks below the ephemeral range, from
which the kernel assigns ports to outgoing connections. A block belongs to the process that holds an abstract
Unix socket named after it; the kernel releases that socket however the process ends.
"""

from __future__ import annotations

import contextlib
import socket
from pathlib import Path

from shelfhaven.config import Address
from shelfhaven.errors import ShelfhavenError

FIRST_PORT = 12_000  # of the ports that may be reserved; the last one is below the ephemeral range
BLOCK_SIZE = 128  # ports in a block
HOST = "127.0.0.1"
EPHEMERAL_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")


class NoFreePortError(ShelfhavenError):
    """All other blocks are reserved by other processes, and all ports of the own blocks are in use."""


def _first_ephemeral_port() -> int:
    """Return the first port that the kernel may assign to outgoing connections."""
    return int(EPHEMERAL_RANGE_FILE.read_text().split()[0])


class PortBlocks:
    """The blocks of ports that this process has reserved.

    Attributes:
        name: prefix of the sockets' names; two processes with the same prefix never reserve the same block.
        first: the first port of all blocks.
        end: the first port after all blocks.
    """

    def __init__(
        self, name: str = "shelfhaven-ports", first: int = FIRST_PORT, end: int | None = None
    ) -> None:
        self.name = name
        self.first = first
        self.end = _first_ephemeral_port() if end is None else end
        self._reservations: list[socket.socket] = []
        self._unused: list[int] = []  # the next port is the last item
        self._handed_out: list[int] = []  # the port handed out longest ago is the first item

    def take(self) -> int:
        """Return a port that is not in use; no other process gets it as long as this one runs.

        Raises:
            NoFreePortError: no port is free.
        """
        while self._unused or self._reserve_block():
            port = self._unused.pop()
            self._handed_out.append(port)
            if _is_free(port):
                return port
        for _ in range(len(self._handed_out)):  # no block is left: reuse ports of the own blocks
            port = self._handed_out.pop(0)
            self._handed_out.append(port)
            if _is_free(port):
                return port
        raise NoFreePortError(f"no port from {self.first} to {self.end - 1} is free")

    def close(self) -> None:
        """Release all blocks."""
        for reservation in self._reservations:
            reservation.close()
        self._reservations = []
        self._unused = []
        self._handed_out = []

    def _reserve_block(self) -> bool:
        """Reserve one more block; return False if all blocks are reserved."""
        for block in range(self.first, self.end - BLOCK_SIZE + 1, BLOCK_SIZE):
            reservation = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
            try:
                reservation.bind(f"\0{self.name}-{block}")
            except OSError:
                reservation.close()
                continue
            self._reservations.append(reservation)
            self._unused = list(range(block + BLOCK_SIZE - 1, block - 1, -1))
            return True
        return False


def _is_free(port: int) -> bool:
    """Return whether neither a TCP nor a UDP socket is bound to a port."""
    udp = socket.socket(type=socket.SOCK_DGRAM)
    with socket.socket() as tcp, udp, contextlib.suppress(OSError):
        tcp.bind((HOST, port))
        udp.bind((HOST, port))
        return True
    return False


_blocks = PortBlocks()


def reserved_port() -> int:
    """Reserve a loopback port for a listener of this process or of a child process, also across restarts."""
    return _blocks.take()


def reserved_address() -> Address:
    """Reserve a loopback address for a listener, like `reserved_port`."""
    return Address(HOST, reserved_port())
