"""The interface of singleton tasks, the services of the node that they may use, and back-off after failures.

A task acts on its target only through its `LeaderLease`, reports checkpoints of its progress, and returns
when it is told to finish. It keeps no state between terms of leadership except in the checkpoint, because a
different node may continue the work.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Protocol

from shelfhaven.election.lease import LeaderLease
from shelfhaven.errors import ShelfhavenError

MAX_CONSECUTIVE_FAILURES = 8  # then the task is handed over to another node
MAX_BACKOFF_FACTOR = 8.0  # upper bound of the factor by which failures lengthen the interval


class TaskFailedError(ShelfhavenError):
    """The task cannot continue on this node, but may succeed on another one."""


class LeaderTask(ABC):
    """The work of one singleton task during one term of leadership."""

    @abstractmethod
    async def run(self, lease: LeaderLease) -> None:
        """Work until told to finish. Raises TaskFailedError and LeaseLostError."""

    def close(self) -> None:  # noqa: B027 - optional: most tasks hold no resources
        """Release the resources of the task."""


class NodeServices(Protocol):
    """Services of the node that tasks may use."""

    def addresses(self) -> list[str]:
        """Return the addresses of the other nodes of the fleet."""

    async def post(self, peer: str, path: str, body: bytes) -> bytes | None:
        """Send a request to a peer; return its answer, or None if there is none."""

    def watch_list(self, enabled: bool) -> None:
        """Start or stop watching the list service for the zone."""


class FailureBackoff:
    """Counts consecutive failures, lengthens the interval after each, and gives up after too many."""

    def __init__(self) -> None:
        self.failures = 0

    def interval(self, base: float) -> float:
        """Return the seconds until the next attempt; `base` is the interval without failures."""
        return base * min(MAX_BACKOFF_FACTOR, 2.0**self.failures)

    def succeeded(self) -> None:
        """Reset the count."""
        self.failures = 0

    def failed(self, error: Exception) -> None:
        """Count a failure. Raises TaskFailedError after `MAX_CONSECUTIVE_FAILURES` of them."""
        self.failures += 1
        if self.failures >= MAX_CONSECUTIVE_FAILURES:
            raise TaskFailedError(f"{self.failures} consecutive failures; last error: {error}")
