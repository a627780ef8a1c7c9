"""The memory budget for requests and retained keys."""

from __future__ import annotations

# Usable fraction of the memory; the rest is for requests that arrive within one batch.
USABLE_FRACTION = 0.9


class MemoryBudget:
    """Memory in use by queued and running requests and by retained keys, in kilobytes."""

    __slots__ = ("capacity_kb", "used_kb")

    def __init__(self, capacity_kb: float) -> None:
        self.capacity_kb = capacity_kb
        self.used_kb = 0.0

    def has_capacity_for(self, additional_kb: float) -> bool:
        """Return whether this much more memory fits into the usable fraction."""
        return self.used_kb + additional_kb <= USABLE_FRACTION * self.capacity_kb
