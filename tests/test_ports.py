"""Ports of test fleets belong to one process of the machine at a time."""

from __future__ import annotations

import contextlib
import socket
import subprocess
import sys
import uuid

from shelfhaven.lab.ports import BLOCK, HOST, PortBlocks

TAKEN_ELSEWHERE = """
import sys
from shelfhaven.lab.ports import PortBlocks
blocks = PortBlocks(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]))
print(*[blocks.take() for _ in range(int(sys.argv[4]))], flush=True)
sys.stdin.read()
"""


# ports below those of other tests' listeners, apart for each test, as several may run at once
APART = 8 * BLOCK
FIRST, SECOND, THIRD, FOURTH = (range(7_000 + n * APART, 7_000 + (n + 1) * APART) for n in range(4))


def _blocks(name: str, ports: range) -> PortBlocks:
    return PortBlocks(name, ports.start, ports.stop)


def _elsewhere(name: str, ports: range, count: int) -> tuple[subprocess.Popen[str], list[int]]:
    """Another process that holds ports until its input ends."""
    process = subprocess.Popen(
        [sys.executable, "-c", TAKEN_ELSEWHERE, name, str(ports.start), str(ports.stop), str(count)],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
    )  # fmt: skip
    assert process.stdout
    return process, [int(port) for port in process.stdout.readline().split()]


def test_no_port_is_given_to_two_processes_though_nobody_listens_there() -> None:
    name = f"test-{uuid.uuid4().hex}"
    process, theirs = _elsewhere(name, FIRST, BLOCK + 1)
    own = _blocks(name, FIRST)
    try:
        ours = [own.take() for _ in range(2 * BLOCK)]
        assert len(set(ours)) == 2 * BLOCK
        assert len(theirs) == BLOCK + 1
        assert not set(ours) & set(theirs)
    finally:
        process.kill()
        process.wait()
        own.close()


def test_the_blocks_of_a_killed_process_can_be_had_again() -> None:
    name = f"test-{uuid.uuid4().hex}"
    process, theirs = _elsewhere(name, SECOND, 1)
    process.kill()
    process.wait()
    own = _blocks(name, SECOND)
    assert own.take() == theirs[0]
    own.close()


def test_a_port_that_somebody_listens_on_is_passed_over() -> None:
    own = _blocks(f"test-{uuid.uuid4().hex}", THIRD)
    first = own.take()
    with socket.socket() as listener:
        listener.bind((HOST, first + 1))
        listener.listen()
        assert own.take() == first + 2
    own.close()


def test_a_block_whose_last_ports_are_listened_on_is_followed_by_another_not_by_its_own_first() -> None:
    own = _blocks(f"test-{uuid.uuid4().hex}", FOURTH)
    first = own.take()
    given = {first}
    with contextlib.ExitStack() as stack:
        for port in range(first + BLOCK - 3, first + BLOCK):
            stack.enter_context(socket.socket()).bind((HOST, port))
        for _ in range(BLOCK):
            port = own.take()
            assert port not in given
            given.add(port)
    own.close()
