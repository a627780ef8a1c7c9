"""Clock for the expiry of leases.

It cannot be set, and it advances while the process is stopped and, on Linux (CLOCK_BOOTTIME), while the
machine is suspended, so that a lease that expired in the meantime is recognized as expired. Platforms without
CLOCK_BOOTTIME use the monotonic clock, which may stop during suspension; there, only fencing protects against
the use of an expired lease.
"""

from __future__ import annotations

import time

CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def boottime() -> float:
    """Return the seconds since an arbitrary start; includes suspension where the platform counts it."""
    return time.clock_gettime(CLOCK_ID)
