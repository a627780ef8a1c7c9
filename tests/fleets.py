"""Runs asynchronous tests of fleets, each within a limit of real time."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Awaitable, Callable
from typing import Any

TEST_TIMEOUT = 120.0  # seconds; starting processes takes long on a busy machine


def play(test: Callable[[], Awaitable[None]]) -> None:
    """Run an asynchronous test; it fails after `TEST_TIMEOUT`."""

    async def run_with_timeout() -> None:
        async with asyncio.timeout(TEST_TIMEOUT):
            await test()

    asyncio.run(run_with_timeout())


def played(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Turn an asynchronous test into one that pytest can call."""

    @functools.wraps(test)
    def run(**fixtures: Any) -> None:
        play(functools.partial(test, **fixtures))

    return run
