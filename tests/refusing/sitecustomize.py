"""Installs a seccomp filter that kills the process at system calls that the platform forbids.

Python imports this module at its start if this folder is on its path. Starting programs, forking, io_uring,
splice, sendfile, and sockets other than TCP and UDP over IPv4 end the process by SIGSYS. `socketpair` is
allowed, as the event loop wakes itself by a pair of Unix sockets. The filter needs no privileges and works on
x86-64 Linux only.
"""

from __future__ import annotations

import ctypes
import os
import struct

PR_SET_SECCOMP, PR_SET_NO_NEW_PRIVS, SECCOMP_MODE_FILTER = 22, 38, 2
# Return values of the filter; the last one makes the system call fail with ENOSYS.
RET_KILL_PROCESS, RET_ALLOW, RET_ENOSYS = 0x80000000, 0x7FFF0000, 0x00050000 | 38
# BPF operations.
LOAD, JUMP_IF_EQUAL, JUMP_IF_ANY_BIT, RETURN = 0x20, 0x15, 0x45, 0x06
# Offsets in `struct seccomp_data`; those of the arguments are of the lower halves.
CALL_NUMBER, FIRST_ARGUMENT, SECOND_ARGUMENT = 0, 16, 24
SOCKET, CLONE, CLONE3, CLONE_THREAD = 41, 56, 435, 0x10000
AF_INET, SOCK_STREAM, SOCK_DGRAM, SOCKET_TYPE_MASK = 2, 1, 2, 0xF
FORBIDDEN_CALLS = {
    "sendfile": 40, "fork": 57, "vfork": 58, "execve": 59, "splice": 275, "execveat": 322,
    "io_uring_setup": 425, "io_uring_enter": 426, "io_uring_register": 427,
}  # fmt: skip


def _filter_program() -> list[tuple[int, int, int, int]]:
    """Return BPF instructions: operation, instructions to skip if true, and if false, operand."""
    program = [(LOAD, 0, 0, CALL_NUMBER)]
    for number in FORBIDDEN_CALLS.values():
        program += [(JUMP_IF_EQUAL, 0, 1, number), (RETURN, 0, 0, RET_KILL_PROCESS)]
    # A filter cannot read the flags of clone3, which are in memory; on ENOSYS the C library falls back to
    # clone, which has them in a register.
    program += [(JUMP_IF_EQUAL, 0, 1, CLONE3), (RETURN, 0, 0, RET_ENOSYS)]
    program += [
        (JUMP_IF_EQUAL, 0, 4, CLONE), (LOAD, 0, 0, FIRST_ARGUMENT), (JUMP_IF_ANY_BIT, 1, 0, CLONE_THREAD),
        (RETURN, 0, 0, RET_KILL_PROCESS), (RETURN, 0, 0, RET_ALLOW),
    ]  # fmt: skip
    program += [
        (JUMP_IF_EQUAL, 1, 0, SOCKET), (RETURN, 0, 0, RET_ALLOW),
        (LOAD, 0, 0, FIRST_ARGUMENT), (JUMP_IF_EQUAL, 0, 5, AF_INET),
        (LOAD, 0, 0, SECOND_ARGUMENT), (0x54, 0, 0, SOCKET_TYPE_MASK),  # bitwise and
        (JUMP_IF_EQUAL, 1, 0, SOCK_STREAM), (JUMP_IF_EQUAL, 0, 1, SOCK_DGRAM),
        (RETURN, 0, 0, RET_ALLOW), (RETURN, 0, 0, RET_KILL_PROCESS),
    ]  # fmt: skip
    return program


def install_filter() -> None:
    """Install the filter in this process; it cannot be removed."""
    program = _filter_program()
    code = ctypes.create_string_buffer(b"".join(struct.pack("HBBI", *instruction) for instruction in program))
    sock_fprog = ctypes.create_string_buffer(struct.pack("HxxxxxxQ", len(program), ctypes.addressof(code)))
    libc = ctypes.CDLL(None, use_errno=True)
    for arguments in (
        (PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0),
        (PR_SET_SECCOMP, SECCOMP_MODE_FILTER, sock_fprog, 0, 0),
    ):
        if libc.prctl(*arguments):
            raise OSError(ctypes.get_errno(), "cannot install the seccomp filter")


if os.uname().machine == "x86_64":
    install_filter()
