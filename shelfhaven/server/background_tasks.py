"""Background tasks whose lifetime is bound to an owner."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import TypeVar

Result = TypeVar("Result")


class BackgroundTasks:
    """Holds references to running tasks, so that none is garbage-collected and all can be cancelled."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[object]] = set()

    def start(self, coroutine: Coroutine[object, object, Result]) -> asyncio.Task[Result]:
        """Start a coroutine as a task of the running event loop."""
        task: asyncio.Task[Result] = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def cancel(self) -> None:
        """Cancel every task that has not finished."""
        for task in list(self._tasks):
            task.cancel()
