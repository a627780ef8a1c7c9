"""Handling of unexpected errors in the tasks of backend connections."""

from __future__ import annotations

import traceback
from types import TracebackType

from shelfhaven.server.log import Log

TRACEBACK_LIMIT = -4  # innermost frames that are logged


class FailureBoundary:
    """Context manager for the outermost frame of a connection's task.

    It logs and suppresses an unexpected exception, so that the exception ends the enclosed work as a broken
    connection would, but does not end the actor, whose other connections continue. Cancellation and
    interpreter exit pass through.

    Attributes:
        log: log to write to.
        event: name of the log event.
        fields: additional fields of the log event.
    """

    def __init__(self, log: Log, event: str, **fields: str) -> None:
        self.log = log
        self.event = event
        self.fields = fields

    def __enter__(self) -> None:
        """Enter the context; nothing is acquired."""

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool:
        if not isinstance(error, Exception):
            return False
        text = "".join(traceback.format_exception(error_type, error, trace, limit=TRACEBACK_LIMIT))
        self.log.event(self.event, **self.fields, error=text)
        return True
