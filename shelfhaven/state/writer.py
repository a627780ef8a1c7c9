"""The writer thread, the only thread that accesses the key file.

Owns the thread and its queue of calls. It is a daemon thread, so that a sync that hangs cannot keep the
process from exiting.
"""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from concurrent.futures import Future
from queue import SimpleQueue
from typing import ParamSpec, TypeVar

Arguments = ParamSpec("Arguments")
Result = TypeVar("Result")


class WriterThread:
    """Executes calls in a separate thread, one at a time and in order."""

    def __init__(self) -> None:
        self._calls: SimpleQueue[Callable[[], None] | None] = SimpleQueue()
        self.thread: threading.Thread | None = None

    async def run(
        self, call: Callable[Arguments, Result], *args: Arguments.args, **kwargs: Arguments.kwargs
    ) -> Result:
        """Execute a call in the thread; return its result, or raise its exception."""
        if self.thread is None:
            self.thread = threading.Thread(target=self._execute_calls, name="keys", daemon=True)
            self.thread.start()
        future: Future[Result] = Future()
        future.set_running_or_notify_cancel()  # cancelling the awaiting task does not cancel the call

        def execute() -> None:
            try:
                result = call(*args, **kwargs)
            except BaseException as error:  # noqa: BLE001 - raised again where the call is awaited
                future.set_exception(error)
            else:
                future.set_result(result)

        self._calls.put(execute)
        return await asyncio.wrap_future(future)

    def submit(self, call: Callable[[], None]) -> None:
        """Queue a call without waiting for it; the call must not raise."""
        self._calls.put(call)

    def stop(self) -> None:
        """End the thread after it has executed the queued calls."""
        self._calls.put(None)

    def _execute_calls(self) -> None:
        while (call := self._calls.get()) is not None:
            call()
