"""Polling for conditions that no event signals, such as a line in another process's log."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


async def wait_until(condition: Callable[[], object], timeout: float, interval: float) -> None:
    """Poll a condition every `interval` seconds until it is true.

    Raises:
        TimeoutError: the condition was not true within `timeout` seconds.
    """
    async with asyncio.timeout(timeout):
        while not condition():
            await asyncio.sleep(interval)
