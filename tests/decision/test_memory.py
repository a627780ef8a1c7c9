"""The memory budget."""

from __future__ import annotations

from shelfhaven.decision.memory import MemoryBudget


def test_only_nine_tenths_of_the_memory_are_usable() -> None:
    memory = MemoryBudget(100.0)
    memory.used_kb = 80.0
    assert memory.has_capacity_for(10.0)
    assert not memory.has_capacity_for(10.1)
