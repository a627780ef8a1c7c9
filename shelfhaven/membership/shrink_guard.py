"""Protection of an endpoint list against the removal of too many entries at once.

A list service that lost its data, or a part of it, must not empty the fleet's lists. If the removals within a
retention time exceed a configured fraction of the list, the entries concerned are retained for that time.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Container, Sequence
from dataclasses import dataclass

MIN_REMOVABLE = 1  # removals that are always allowed within a retention time, however short the list


@dataclass(frozen=True, slots=True)
class ShrinkGuardSettings:
    """Limits on the removal of entries; times are in seconds."""

    max_shrink_fraction: float = 0.3  # of the list, removable within one retention time
    retention_time: float = 30.0  # for which entries are retained if removals exceed that


class ShrinkGuard:
    """Counts recent removals, and retains entries if there are too many."""

    def __init__(self) -> None:
        self.retained: dict[str, float] = {}  # by key: the time until which the entry is retained
        self._recent_removals: deque[float] = deque()  # times of the removals within the last retention time

    def retain_excess(
        self, now: float, missing: Sequence[str], list_size: int, settings: ShrinkGuardSettings
    ) -> bool:
        """Retain the missing entries if there are too many; return whether any is newly retained."""
        removals = self._recent_removals
        while removals and now - removals[0] > settings.retention_time:
            removals.popleft()
        newly_missing = [key for key in missing if key not in self.retained]
        allowed = max(MIN_REMOVABLE, settings.max_shrink_fraction * (list_size + len(removals)))
        if len(removals) + len(newly_missing) > allowed:
            self.retained |= {key: now + settings.retention_time for key in newly_missing}
            return bool(newly_missing)
        removals.extend(now for _ in newly_missing)
        return False

    def retention_ended(self, now: float, key: str) -> bool:
        """Whether an entry is retained and its retention time is over."""
        return now >= self.retained.get(key, math.inf)

    def release(self, key: str) -> None:
        """Stop retaining an entry, because it is listed again or removed."""
        self.retained.pop(key, None)

    def set_retained(self, retained: dict[str, float]) -> None:
        """Replace the retained entries."""
        self.retained = retained

    def all_retained_in(self, keys: Container[str]) -> bool:
        """Whether `keys` includes every retained entry."""
        return all(key in keys for key in self.retained)

    def first_expiry(self) -> float:
        """When the first retention ends; infinite if no entry is retained."""
        return min(self.retained.values(), default=math.inf)
