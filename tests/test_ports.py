"""Ports of test fleets belong to one process of the machine at a time."""

from __future__ import annotations

import socket
import subprocess
import sys
import uuid

from shelfhaven.lab.ports import BLOCK, HOST, PortBlocks

TAKEN_ELSEWHERE = """
import sys
from shelfhaven.lab.ports import PortBlocks
blocks = PortBlocks(sys.argv[1])
print(*[blocks.take() for _ in range(int(sys.argv[2]))], flush=True)
sys.stdin.read()
"""


def _elsewhere(name: str, count: int) -> tuple[subprocess.Popen[str], list[int]]:
    """Another process that holds ports until its input ends."""
    process = subprocess.Popen(
        [sys.executable, "-c", TAKEN_ELSEWHERE, name, str(count)],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
    )  # fmt: skip
    assert process.stdout
    return process, [int(port) for port in process.stdout.readline().split()]


def test_no_port_is_given_to_two_processes_though_nobody_listens_there() -> None:
    name = f"test-{uuid.uuid4().hex}"
    process, theirs = _elsewhere(name, BLOCK + 1)
    own = PortBlocks(name)
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
    process, theirs = _elsewhere(name, 1)
    process.kill()
    process.wait()
    own = PortBlocks(name)
    assert own.take() == theirs[0]
    own.close()


def test_a_port_that_somebody_listens_on_is_passed_over() -> None:
    own = PortBlocks(f"test-{uuid.uuid4().hex}")
    first = own.take()
    with socket.socket() as listener:
        listener.bind((HOST, first + 1))
        listener.listen()
        assert own.take() == first + 2
    own.close()
