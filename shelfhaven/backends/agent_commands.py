"""Which commands to the render farm agent were carried out, and which may have been lost with a connection.

The agent does not acknowledge commands.  Two things prove that a command was carried out: a notice about its
run, or the answer to a sample that was sent on the same connection more than `LOSS_WINDOW_S` later, since the
agent loses only commands from that time before a break.  The fate of any other command is unknown when its
connection breaks.

A launch and a skipped call can be sent again, because the agent ignores a launch of a run that it has, and a
skip of a call for which the run no longer waits.  A reply cannot: it names no call, so the run would take it
for the reply to its next call.

This module does no I/O; times are monotonic seconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from shelfhaven.protocol import agent as wire

LOSS_WINDOW_S = 0.05  # by the protocol, commands from this time before a break may be lost with it


class CommandState(Enum):
    """How far a command has come."""

    QUEUED = "queued"  # not written to any connection
    WRITTEN = "written"
    UNCONFIRMED = "unconfirmed"  # a reply that may have reached its run, and is not sent again


@dataclass(slots=True)
class PendingCommand:
    """A command that is not known to have been carried out.

    Attributes:
        flushed_at: time at which all of it had been passed to the system; infinite if it has not been.
        may_repeat: whether the run may already have got this command, or what stands in for it.
    """

    command: wire.RunCommand
    state: CommandState = CommandState.QUEUED
    flushed_at: float = math.inf
    may_repeat: bool = False


class Recovery(NamedTuple):
    """What to do about the pending commands on a new connection."""

    resend: list[PendingCommand]
    unconfirmed_replies: list[str]  # ids of the runs


class CommandTracker:
    """The last command for each run, until it is known to have been carried out.

    Attributes:
        pending: commands by run id.
    """

    def __init__(self) -> None:
        self.pending: dict[str, PendingCommand] = {}
        self._sample_times: dict[str, float] = {}  # by tag, in the order of sending

    def add(self, command: wire.RunCommand) -> PendingCommand:
        """Add a command, which replaces an earlier one for the same run."""
        replaced = self.pending.get(command.run_id)
        may_repeat = replaced is not None and replaced.state is CommandState.UNCONFIRMED
        pending = PendingCommand(command, may_repeat=may_repeat)
        self.pending[command.run_id] = pending
        return pending

    def written(self, commands: Iterable[PendingCommand]) -> None:
        """Note that commands are being written to the connection."""
        for pending in commands:
            pending.state = CommandState.WRITTEN

    def flushed(self, commands: Iterable[PendingCommand], now: float) -> None:
        """Note that commands have been passed to the system; `now` is read after that."""
        for pending in commands:
            pending.flushed_at = now

    def sample_sent(self, tag: str, now: float) -> None:
        """Note that a sample is sent; `now` is read before that."""
        self._sample_times[tag] = now

    def sample_answered(self, tag: str) -> None:
        """Drop the commands that the answer to a sample proves to have been carried out."""
        sent_at = self._sample_times.get(tag)
        if sent_at is None:
            return
        # samples are answered in order
        self._sample_times = {
            other: time for other, time in self._sample_times.items() if time >= sent_at and other != tag
        }
        confirmed = [
            run_id
            for run_id, pending in self.pending.items()
            if pending.flushed_at + LOSS_WINDOW_S <= sent_at
        ]
        for run_id in confirmed:
            del self.pending[run_id]

    def remove(self, run_id: str) -> PendingCommand | None:
        """Drop and return the command for a run, as the agent has responded to it."""
        return self.pending.pop(run_id, None)

    def disconnected(self) -> None:
        """Note the end of the connection: samples on it stay without an answer."""
        self._sample_times.clear()

    def recover(self) -> Recovery:
        """Return what to do about the pending commands, once a new connection has replayed all notices."""
        recovery = Recovery([], [])
        for run_id, pending in self.pending.items():
            was_written = pending.state is not CommandState.QUEUED
            if was_written and isinstance(pending.command, wire.DeliverCallReply):
                if pending.state is CommandState.WRITTEN:
                    recovery.unconfirmed_replies.append(run_id)
                pending.state = CommandState.UNCONFIRMED
            else:
                pending.may_repeat |= was_written
                recovery.resend.append(pending)
            pending.flushed_at = math.inf
        return recovery

    def clear(self) -> None:
        """Drop all commands, as the agent has lost its runs."""
        self.pending.clear()
