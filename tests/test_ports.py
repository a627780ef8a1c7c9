"""Tests of the reservation of ports: each port is reserved for one process of the machine at a time."""

from __future__ import annotations

import contextlib
import socket
import subprocess
import sys
import uuid

from shelfhaven.lab.ports import BLOCK_SIZE, HOST, PortBlocks

RESERVE_PORTS = """
import sys
from shelfhaven.lab.ports import PortBlocks
blocks = PortBlocks(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]))
print(*[blocks.take() for _ in range(int(sys.argv[4]))], flush=True)
sys.stdin.read()
"""

# Each test has its own range, because several may run at once; all are below the ports of other listeners.
RANGE_SIZE = 8 * BLOCK_SIZE
FIRST_RANGE, SECOND_RANGE, THIRD_RANGE, FOURTH_RANGE = (
    range(7_000 + index * RANGE_SIZE, 7_000 + (index + 1) * RANGE_SIZE) for index in range(4)
)


def _port_blocks(name: str, ports: range) -> PortBlocks:
    return PortBlocks(name, ports.start, ports.stop)


def _start_other_process(name: str, ports: range, count: int) -> tuple[subprocess.Popen[str], list[int]]:
    """Start another process that reserves ports until its input ends; return it with its ports."""
    process = subprocess.Popen(
        [sys.executable, "-c", RESERVE_PORTS, name, str(ports.start), str(ports.stop), str(count)],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
    )  # fmt: skip
    assert process.stdout
    return process, [int(port) for port in process.stdout.readline().split()]


def test_two_processes_reserve_different_ports_even_if_nobody_listens() -> None:
    name = f"test-{uuid.uuid4().hex}"
    process, other_ports = _start_other_process(name, FIRST_RANGE, BLOCK_SIZE + 1)
    blocks = _port_blocks(name, FIRST_RANGE)
    try:
        own_ports = [blocks.take() for _ in range(2 * BLOCK_SIZE)]
        assert len(set(own_ports)) == 2 * BLOCK_SIZE
        assert len(other_ports) == BLOCK_SIZE + 1
        assert not set(own_ports) & set(other_ports)
    finally:
        process.kill()
        process.wait()
        blocks.close()


def test_blocks_of_a_killed_process_can_be_reserved_again() -> None:
    name = f"test-{uuid.uuid4().hex}"
    process, other_ports = _start_other_process(name, SECOND_RANGE, 1)
    process.kill()
    process.wait()
    blocks = _port_blocks(name, SECOND_RANGE)
    assert blocks.take() == other_ports[0]
    blocks.close()


def test_port_in_use_is_skipped() -> None:
    blocks = _port_blocks(f"test-{uuid.uuid4().hex}", THIRD_RANGE)
    first = blocks.take()
    with socket.socket() as listener:
        listener.bind((HOST, first + 1))
        listener.listen()
        assert blocks.take() == first + 2
    blocks.close()


def test_block_whose_last_ports_are_in_use_is_followed_by_a_new_block() -> None:
    blocks = _port_blocks(f"test-{uuid.uuid4().hex}", FOURTH_RANGE)
    first = blocks.take()
    reserved = {first}
    with contextlib.ExitStack() as stack:
        for port in range(first + BLOCK_SIZE - 3, first + BLOCK_SIZE):
            stack.enter_context(socket.socket()).bind((HOST, port))
        for _ in range(BLOCK_SIZE):
            port = blocks.take()
            assert port not in reserved
            reserved.add(port)
    blocks.close()
