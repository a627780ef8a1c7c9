"""Validation of the durations and sizes in events.

These values come from callers and runners and may be anything.  Negative, zero, infinite and NaN values are
treated as missing.
"""

from __future__ import annotations

import math


def positive_or_none(value: float | None) -> float | None:
    """Return the value if it is positive and finite, else None."""
    if value is not None and 0 < value < math.inf:
        return value
    return None


def positive_or_zero(value: float | None) -> float:
    """Return the value if it is positive and finite, else 0; for sums, where a missing value adds nothing."""
    if value is not None and 0 < value < math.inf:
        return value
    return 0.0
