"""Codec of the render farm agent's link: lines of words, some followed by a counted body.

Owns the cutting and decoding of notices and the encoding of commands. It must never do I/O, number notices
or decide what a notice means for a request.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TypeAlias

MAX_LINE = 4096  # bytes
MAX_BODY = 1 << 20  # bytes; results hold 4 KiB, calls less; beyond this the stream is not to be trusted


class StreamError(Exception):
    """The stream cannot be cut into notices any further."""


@dataclass(frozen=True, slots=True)
class Greeting:
    """The agent is up; it started `ms` ago, `loaded` or empty."""

    loaded: bool
    ms: float


@dataclass(frozen=True, slots=True)
class Outcome:
    """A run is over."""

    number: int
    id: str
    end: str
    ms: float
    body: bytes


@dataclass(frozen=True, slots=True)
class Wanted:
    """A run waits for a call with this body."""

    number: int
    id: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Sampled:
    """The gauges."""

    tag: str
    values: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Refusal:
    """A command was not carried out."""

    command: str
    id: str


@dataclass(frozen=True, slots=True)
class Aside:
    """A remark with no meaning; its number counts all the same."""

    number: int


@dataclass(frozen=True, slots=True)
class Malformed:
    """A line that says nothing that is known here; `id` is the run that it may concern."""

    line: str
    id: str = ""


Notice: TypeAlias = Greeting | Outcome | Wanted | Sampled | Refusal | Aside | Malformed
COUNTED = {b"outcome": 6, b"request": 4}  # words of the lines that a body follows


class Cutter:
    """Cuts the link's bytes into notices."""

    def __init__(self) -> None:
        self.unread = bytearray()
        self.words: list[bytes] = []  # of the line whose body is awaited
        self.expected = -1

    def feed(self, data: bytes) -> list[Notice]:
        """The notices that are complete with this data, in order."""
        self.unread += data
        notices = []
        while (notice := self._next()) is not None:
            notices.append(notice)
        return notices

    def _next(self) -> Notice | None:
        if self.expected < 0:
            end = self.unread.find(b"\r\n")
            if end < 0 or end > MAX_LINE:
                if len(self.unread) > MAX_LINE:
                    raise StreamError("a line without end")
                return None
            line = bytes(self.unread[:end])
            del self.unread[: end + 2]
            self.words = line.split()
            if not self.words or len(self.words) != COUNTED.get(self.words[0]):
                return _decode(self.words, line, b"")
            self.expected = _length(self.words[-1])
        if len(self.unread) < self.expected + 2:
            return None
        body = bytes(self.unread[: self.expected])
        if self.unread[self.expected : self.expected + 2] != b"\r\n":
            raise StreamError("a body that does not end where its length says")
        del self.unread[: self.expected + 2]
        self.expected = -1
        return _decode(self.words, b" ".join(self.words), body)


def _length(word: bytes) -> int:
    if word.isdigit() and len(word) < 10 and int(word) <= MAX_BODY:
        return int(word)
    raise StreamError("a length that is no length or too large")


def _number(word: bytes) -> float:
    value = float(word)
    if not math.isfinite(value) or value < 0:
        raise ValueError(word)
    return value


def _decode(words: list[bytes], line: bytes, body: bytes) -> Notice:
    text = [word.decode("ascii", "replace") for word in words]
    try:
        match text:
            case ["greeting", ("EMPTY" | "LOADED") as state, ms]:
                return Greeting(state == "LOADED", _number(ms.encode()))
            case ["outcome", number, id_, end, ms, _]:
                return Outcome(int(number), id_, end, _number(ms.encode()), body)
            case ["request", number, id_, _]:
                return Wanted(int(number), id_, body)
            case ["sampled", tag, *values]:
                return Sampled(tag, tuple(_number(value.encode()) for value in values))
            case ["refusal", command, id_]:
                return Refusal(command, id_)
            case ["aside", number, *_]:
                return Aside(int(number))
    except ValueError:
        pass
    concerned = text[2] if len(text) > 2 and text[0] in ("outcome", "request") else ""
    return Malformed(line[:200].decode("ascii", "replace"), concerned)


def _counted(head: str, body: bytes) -> bytes:
    return b"%b %d\r\n%b\r\n" % (head.encode(), len(body), body)


@dataclass(frozen=True, slots=True)
class Launch:
    """Run a request."""

    id: str
    cls: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Deliver:
    """Hand a run the reply to its call."""

    id: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Forgo:
    """Let a run go on without the call of that notice."""

    id: str
    notice: int


@dataclass(frozen=True, slots=True)
class Sample:
    """Ask for the gauges."""

    tag: str


Command: TypeAlias = Launch | Deliver | Forgo


def encode(command: Command | Sample) -> bytes:
    """The bytes of one command."""
    match command:
        case Launch():
            return _counted(f"launch {command.id} {command.cls}", command.body)
        case Deliver():
            return _counted(f"deliver {command.id}", command.body)
        case Forgo():
            return f"forgo {command.id} {command.notice}\r\n".encode()
        case Sample():
            return f"sample {command.tag}\r\n".encode()


def subscribe(last: int) -> bytes:
    """Open the link; `last` is the last notice that was read."""
    return b"subscribe %d\r\n" % last
