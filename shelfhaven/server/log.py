"""The log: one JSON line per event on standard error.

This module defines the format of a line and limits the lines per second of each event.  Logging never blocks
on a slow reader, never fails because the reader is gone, and never raises an exception into the caller.
"""

from __future__ import annotations

import contextlib
import logging
import os
import stat
import sys
import time
import traceback
from dataclasses import dataclass

import orjson

MAX_LINES_PER_SECOND = 20  # per event name; the next line that is written tells how many were left out
# characters per field, of which the last are kept; a pipe takes a line under 4 KiB whole or not at all
MAX_TEXT_LENGTH = 1000
TRACEBACK_LIMIT = -4  # the four innermost calls, which are the most useful ones


@dataclass(slots=True)
class _LineCounter:
    """Counts the lines of one event within the current second."""

    second: int  # Unix time of the second to which `lines` applies
    lines: int
    suppressed: int  # events left out since the last line that was written


class Log:
    """Writes events as JSON lines to a file descriptor."""

    def __init__(self, name: str, descriptor: int | None = None) -> None:
        self.name = name
        self.descriptor = sys.stderr.fileno() if descriptor is None else descriptor
        if stat.S_ISFIFO(os.fstat(self.descriptor).st_mode):
            os.set_blocking(self.descriptor, False)  # a stalled reader loses lines, and blocks nothing
        self.line_counters: dict[str, _LineCounter] = {}

    def event(self, event: str, **fields: object) -> None:
        """Write one event, unless too many of the same name were written in this second."""
        now = time.time()
        suppressed = self._count_line(event, int(now))
        if suppressed is None:
            return
        if suppressed:
            fields["left_out"] = suppressed
        for key, value in fields.items():
            if isinstance(value, str) and len(value) > MAX_TEXT_LENGTH:
                fields[key] = value[-MAX_TEXT_LENGTH:]
        line = {"at": round(now, 3), "server": self.name, "event": event, **fields}
        with contextlib.suppress(OSError, orjson.JSONEncodeError):
            os.write(self.descriptor, orjson.dumps(line, default=str) + b"\n")

    def exception(self, event: str, **fields: object) -> None:
        """Write one event with the traceback of the exception that is being handled."""
        self.event(event, **fields, error=traceback.format_exc(limit=TRACEBACK_LIMIT))

    def _count_line(self, event: str, second: int) -> int | None:
        """Count an event; return the number suppressed since the last line, None to suppress this one too."""
        counter = self.line_counters.setdefault(event, _LineCounter(second, 0, 0))
        if counter.second != second:
            counter.second = second
            counter.lines = 0
        counter.lines += 1
        if counter.lines > MAX_LINES_PER_SECOND:
            counter.suppressed += 1
            return None
        suppressed, counter.suppressed = counter.suppressed, 0
        return suppressed


class LibraryLogHandler(logging.Handler):
    """Writes the warnings and errors that libraries report through `logging` as events of the same log."""

    def __init__(self, log: Log) -> None:
        super().__init__(logging.WARNING)
        self.log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        with contextlib.suppress(Exception):
            self.log.event("library", name=record.name, text=record.getMessage())
