"""Runs random fault schedules, and shrinks those that fail to a minimal failing schedule.

This module is independent of the kinds of faults and of the system that they disturb.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from functools import partial
from typing import TypeVar

T = TypeVar("T")


def shrink(faults: list[T], fails: Callable[[list[T]], bool]) -> list[T]:
    """Return a smaller schedule that still fails, by removing ever shorter runs of faults, halves first."""
    chunk_size = max(1, len(faults) // 2)
    while True:
        start = 0
        while start < len(faults):
            remaining = faults[:start] + faults[start + chunk_size :]
            if remaining and fails(remaining):
                faults = remaining
            else:
                start += chunk_size
        if chunk_size == 1:
            return faults
        chunk_size = max(1, chunk_size // 2)


def run_seeds(
    seeds: Iterable[int], draw: Callable[[int], list[T]], find_breaches: Callable[[int, list[T]], list[str]]
) -> int:
    """Run the schedule of each seed, print the failing ones after shrinking them, and return an exit code.

    `draw` generates the schedule of a seed; `find_breaches` runs it and returns the breaches of invariants.
    Progress is shown if standard error is a terminal.
    """

    def fails(seed: int, faults: list[T]) -> bool:
        """Whether the schedule causes a breach."""
        return bool(find_breaches(seed, faults))

    completed = failed = 0
    for seed in seeds:
        faults = draw(seed)
        completed += 1
        if breaches := find_breaches(seed, faults):
            failed += 1
            print(f"seed {seed}: {breaches[0]}")
            for fault in shrink(faults, partial(fails, seed)):
                print(f"    {fault}")
        if sys.stderr.isatty():
            print(f"\r{completed} completed, {failed} failed", end="", file=sys.stderr)
    print(f"{completed} schedules, {failed} failed")
    return 1 if failed else 0
