"""The singleton task that sends the lines of a growing file to a target in batches.

The idempotency key of a batch contains the number of its first line. Before a batch is sent, a checkpoint
with its first line and its end is saved. A batch that is sent again, possibly by another node, therefore has
the same contents under the same key, however much the file has grown.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from itertools import islice
from pathlib import Path

from shelfhaven.election.fenced_target import FencedTarget, TargetError
from shelfhaven.election.leader_tasks import FailureBackoff, LeaderTask, TaskFailedError
from shelfhaven.election.lease import LeaderLease, LeaseUncertainError, Permit
from shelfhaven.server.log import Log

MAX_LINE_BYTES = 64 << 10
UNRESOLVED_MARK = "?"  # in a checkpoint "FIRST?END": the lines from FIRST up to END may have been sent


@dataclass(frozen=True, slots=True)
class SendProgress:
    """How far the file has been sent. Lines are numbered from 0."""

    next_line: int
    batch_end: int | None = None  # exclusive end of a batch that starts at `next_line` and may have been sent

    @classmethod
    def parse(cls, checkpoint: str) -> SendProgress:
        """Parse a checkpoint; anything that is not a checkpoint of this task means the start of the file."""
        number, mark, end = checkpoint.partition(UNRESOLVED_MARK)
        next_line = _parse_line_number(number) or 0
        batch_end = _parse_line_number(end) if mark else None
        return cls(next_line, batch_end or None)

    def checkpoint(self) -> str:
        """Return the progress as a checkpoint."""
        if self.batch_end is None:
            return str(self.next_line)
        return f"{self.next_line}{UNRESOLVED_MARK}{self.batch_end}"


def _parse_line_number(text: str) -> int | None:
    """Return the number, or None unless the text consists of ASCII digits."""
    return int(text) if text.isascii() and text.isdigit() else None


@dataclass(frozen=True, slots=True)
class SendSettings:
    """What is sent, and how.

    `resend`: the target is idempotent, so a batch whose response was lost is sent again under its key.
    Otherwise such a batch is skipped, and logged for operators to check.
    """

    path: Path
    interval: float  # seconds between batches
    batch_lines: int
    resend: bool


class SendTask(LeaderTask):
    """Sends the file while the node is the leader."""

    def __init__(self, settings: SendSettings, target: FencedTarget, log: Log) -> None:
        self.settings = settings
        self.target = target
        self.log = log

    async def run(self, lease: LeaderLease) -> None:
        """Send batches until the lease says to finish."""
        progress = SendProgress.parse(lease.checkpoint)
        if progress.batch_end is not None and not self.settings.resend:
            progress = self._skip_batch(
                lease, progress, "the previous leader stopped before the batch was confirmed"
            )
        backoff = FailureBackoff()
        while True:
            progress = await self._send_next_batch(lease, progress, backoff)
            if not await lease.continue_after(backoff.interval(self.settings.interval)):
                return

    def close(self) -> None:
        """Close the target's client."""
        self.target.close()

    async def _send_next_batch(
        self, lease: LeaderLease, progress: SendProgress, backoff: FailureBackoff
    ) -> SendProgress:
        """Send the next batch, if the file contains one; return the new progress."""
        lines = await asyncio.to_thread(self._read_batch, progress)
        if not lines:
            return progress
        batch = SendProgress(progress.next_line, progress.next_line + len(lines))
        try:
            await self._send(lease, batch, b"".join(lines))
        except (LeaseUncertainError, TargetError) as error:
            if not self.settings.resend:
                batch = self._skip_batch(lease, batch, str(error))
            if isinstance(error, TargetError):
                self.log.event("duty_target", duty=lease.task, error=str(error))
                backoff.failed(error)
            return batch
        backoff.succeeded()
        return self._advance_past(lease, batch)

    def _skip_batch(self, lease: LeaderLease, batch: SendProgress, reason: str) -> SendProgress:
        """Log a batch that the target may have processed, and continue after it."""
        lines = (batch.batch_end or 0) - batch.next_line
        self.log.event("duty_unclear", duty=lease.task, piece=batch.next_line, lines=lines, error=reason)
        return self._advance_past(lease, batch)

    def _advance_past(self, lease: LeaderLease, batch: SendProgress) -> SendProgress:
        assert batch.batch_end is not None
        progress = SendProgress(batch.batch_end)
        lease.report_checkpoint(progress.checkpoint())
        return progress

    async def _send(self, lease: LeaderLease, batch: SendProgress, body: bytes) -> None:
        checkpoint = batch.checkpoint()
        if lease.checkpoint != checkpoint:  # otherwise the batch is being sent again
            await lease.save_checkpoint(checkpoint)

        async def send(permit: Permit) -> bytes:
            """Send the batch under its idempotency key."""
            key = f"{lease.task}/{batch.next_line}"
            return await self.target.send(permit, "PUT", key, body, key)

        await lease.act(send, self.target.min_time_to_act)

    def _read_batch(self, progress: SendProgress) -> list[bytes]:
        """Read the complete lines of the next batch.

        A batch that may have been sent is read in full or not at all; a new one may have fewer lines than
        `batch_lines`.
        """
        path, start = self.settings.path, progress.next_line
        end = start + self.settings.batch_lines if progress.batch_end is None else progress.batch_end
        try:
            with path.open("rb") as file:
                lines = list(islice(file, start, end))
        except OSError as error:
            raise TaskFailedError(f"{path}: {error.strerror}") from None
        if any(len(line) > MAX_LINE_BYTES for line in lines):
            raise TaskFailedError(f"{path}: a line is longer than {MAX_LINE_BYTES} bytes")
        complete_lines = [line for line in lines if line.endswith(b"\n")]  # the last may be partly written
        is_whole_batch = progress.batch_end is None or len(complete_lines) == progress.batch_end - start
        return complete_lines if is_whole_batch else []
