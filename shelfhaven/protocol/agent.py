"""Codec of the render farm agent's protocol: lines of space-separated fields, some followed by a body.

The last field of a line that is followed by a body gives the body's length.  `NoticeParser` turns received
bytes into notices, `encode_command` turns commands into bytes.  This module does no I/O, does not number
notices and does not decide what a notice means for a request.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TypeAlias

from shelfhaven.errors import ShelfhavenError
from shelfhaven.protocol.framing import parse_length

MAX_LINE_BYTES = 4096
MAX_BODY_BYTES = 1 << 20  # results have 4 KiB and calls less: a larger length means a stream out of sync
MAX_LOGGED_LINE_BYTES = 200  # of a malformed line, for the log
LINE_END = b"\r\n"
FIELD_COUNTS_WITH_BODY = {b"outcome": 6, b"request": 4}  # number of fields of the lines with a body


class StreamError(ShelfhavenError):
    """The stream is out of sync and cannot be split into notices any further."""


@dataclass(frozen=True, slots=True)
class AgentGreeted:
    """The agent has been up for `uptime_ms`; `loaded` tells whether it has runs."""

    loaded: bool
    uptime_ms: float


@dataclass(frozen=True, slots=True)
class RunOutcome:
    """A run has ended; `end` is the agent's word for how it ended."""

    number: int
    run_id: str
    end: str
    duration_ms: float
    body: bytes


@dataclass(frozen=True, slots=True)
class CallRequested:
    """A run asks for a downstream call with this body and waits for the reply."""

    number: int
    run_id: str
    body: bytes


@dataclass(frozen=True, slots=True)
class GaugesSampled:
    """The gauge values that the `SampleGauges` command with this tag asked for."""

    tag: str
    values: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class CommandRejected:
    """The agent did not carry out a command for a run."""

    command: str
    run_id: str


@dataclass(frozen=True, slots=True)
class Remark:
    """A numbered notice that requires no action; its number still counts for the replay."""

    number: int


@dataclass(frozen=True, slots=True)
class MalformedLine:
    """A line that cannot be decoded; `run_id` is the run that it may be about, or empty."""

    line: str
    run_id: str = ""


Notice: TypeAlias = (
    AgentGreeted | RunOutcome | CallRequested | GaugesSampled | CommandRejected | Remark | MalformedLine
)


@dataclass(frozen=True, slots=True)
class _PendingBody:
    """A line whose body has not arrived completely."""

    fields: list[bytes]
    length: int


class NoticeParser:
    """Splits the bytes of one connection into notices."""

    def __init__(self) -> None:
        self.unread = bytearray()
        self._pending: _PendingBody | None = None

    def feed(self, data: bytes) -> list[Notice]:
        """Add received data; return the notices that are now complete, in order.

        Raises:
            StreamError: the stream cannot be split any further.
        """
        self.unread += data
        notices = []
        while (notice := self._next_notice()) is not None:
            notices.append(notice)
        return notices

    def _next_notice(self) -> Notice | None:
        if self._pending is None:
            line = self._read_line()
            if line is None:
                return None
            fields = line.split()
            if not fields or len(fields) != FIELD_COUNTS_WITH_BODY.get(fields[0]):
                return _decode_notice(fields, line, b"")
            self._pending = _PendingBody(fields, _parse_body_length(fields[-1]))
        return self._read_body(self._pending)

    def _read_line(self) -> bytes | None:
        end = self.unread.find(LINE_END)
        if end < 0 or end > MAX_LINE_BYTES:
            if len(self.unread) > MAX_LINE_BYTES:
                raise StreamError("line exceeds the size limit")
            return None
        line = bytes(self.unread[:end])
        del self.unread[: end + len(LINE_END)]
        return line

    def _read_body(self, pending: _PendingBody) -> Notice | None:
        end = pending.length + len(LINE_END)
        if len(self.unread) < end:
            return None
        body = bytes(self.unread[: pending.length])
        if self.unread[pending.length : end] != LINE_END:
            raise StreamError("no line end after the body")
        del self.unread[:end]
        self._pending = None
        return _decode_notice(pending.fields, b" ".join(pending.fields), body)


def _parse_body_length(digits: bytes) -> int:
    length = parse_length(digits, MAX_BODY_BYTES)
    if length is None:
        raise StreamError("invalid or too large body length")
    return length


def _decode_notice(fields: list[bytes], line: bytes, body: bytes) -> Notice:
    text = [field.decode("ascii", "replace") for field in fields]
    notice: Notice | None
    try:
        notice = _decode_numbered(text, body) or _decode_unnumbered(text)
    except ValueError:
        notice = None
    return notice or _malformed_line(text, line)


def _decode_numbered(fields: list[str], body: bytes) -> RunOutcome | CallRequested | Remark | None:
    """Decode a notice that the agent replays on each connection; None for any other.

    Raises:
        ValueError: a field is not the number that it has to be.
    """
    match fields:
        case ["outcome", number, run_id, end, duration_ms, _]:
            return RunOutcome(int(number), run_id, end, _parse_non_negative(duration_ms), body)
        case ["request", number, run_id, _]:
            return CallRequested(int(number), run_id, body)
        case ["aside", number, *_]:
            return Remark(int(number))
    return None


def _decode_unnumbered(fields: list[str]) -> AgentGreeted | GaugesSampled | CommandRejected | None:
    """Decode a notice that the agent sends only once; None for any other.

    Raises:
        ValueError: a field is not the number that it has to be.
    """
    match fields:
        case ["greeting", ("EMPTY" | "LOADED") as state, uptime_ms]:
            return AgentGreeted(state == "LOADED", _parse_non_negative(uptime_ms))
        case ["sampled", tag, *values]:
            return GaugesSampled(tag, tuple(_parse_non_negative(value) for value in values))
        case ["refusal", command, run_id]:
            return CommandRejected(command, run_id)
    return None


def _malformed_line(fields: list[str], line: bytes) -> MalformedLine:
    names_run = len(fields) > 2 and fields[0] in ("outcome", "request")
    start = line[:MAX_LOGGED_LINE_BYTES].decode("ascii", "replace")
    return MalformedLine(start, fields[2] if names_run else "")


def _parse_non_negative(digits: str) -> float:
    """Return a finite number of at least 0.

    Raises:
        ValueError: the text is no such number.
    """
    value = float(digits.encode())  # unlike a str, bytes with digits of other scripts are rejected
    if not math.isfinite(value) or value < 0:
        raise ValueError(digits)
    return value


@dataclass(frozen=True, slots=True)
class LaunchRun:
    """Start the run of a request."""

    run_id: str
    class_name: str
    body: bytes


@dataclass(frozen=True, slots=True)
class DeliverCallReply:
    """Give a run the reply to its downstream call."""

    run_id: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ProceedWithoutCall:
    """Let a run continue without the call that it requested by the notice with this number."""

    run_id: str
    notice_number: int


@dataclass(frozen=True, slots=True)
class SampleGauges:
    """Ask for the gauge values; the agent's notice repeats the tag."""

    tag: str


RunCommand: TypeAlias = LaunchRun | DeliverCallReply | ProceedWithoutCall


def encode_command(command: RunCommand | SampleGauges) -> bytes:
    """Return the bytes of one command."""
    match command:
        case LaunchRun():
            return _encode_with_body(f"launch {command.run_id} {command.class_name}", command.body)
        case DeliverCallReply():
            return _encode_with_body(f"deliver {command.run_id}", command.body)
        case ProceedWithoutCall():
            return f"forgo {command.run_id} {command.notice_number}\r\n".encode()
        case SampleGauges():
            return f"sample {command.tag}\r\n".encode()


def encode_subscription(last_notice: int) -> bytes:
    """Return the line that opens a connection; the agent replays the notices after `last_notice`."""
    return b"subscribe %d\r\n" % last_notice


def _encode_with_body(line: str, body: bytes) -> bytes:
    return b"%b %d\r\n%b\r\n" % (line.encode(), len(body), body)
