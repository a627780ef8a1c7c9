"""Time limits of attempts, and what they reveal about how long a client has been waiting.

No caller states how long the client of a retry has been waiting; this module estimates it from the time that
the attempt has left.  A caller that sets a time limit for each attempt uses a few fixed values, so the same
limits recur.  Any other remaining time is taken as what is left of the class's deadline, and the client must
have waited for the rest.  Where callers mark retries, the estimate is made for marked attempts only.
"""

from __future__ import annotations

from shelfhaven.decision.caller_table import Caller
from shelfhaven.decision.events import RequestArrived
from shelfhaven.decision.inputs import positive_or_none, positive_or_zero

# Width of the buckets in which limits are counted, in seconds.  Equal limits differ on arrival by their time
# in transit.
LIMIT_RESOLUTION_S = 0.004

# A limit is common if more than this fraction of recent attempts has it.
MIN_COMMON_FRACTION = 1 / 64

# Number of attempts after which all counts are halved, so that limits no longer in use are forgotten.
MAX_COUNTED_ATTEMPTS = 256

# With fewer attempts than this the counts say little, and every limit is treated as common.
MIN_COUNTED_ATTEMPTS = MAX_COUNTED_ATTEMPTS / 8

# A caller that sends more consecutive attempts than this with uncommon limits is taken to set limits of its
# own.
MAX_UNFAMILIAR_LIMITS = 3


class AttemptLimits:
    """Histogram of the time limits of recent attempts."""

    __slots__ = ("counted", "counts")

    def __init__(self) -> None:
        self.counts: dict[int, float] = {}  # attempts by time limit, in multiples of the resolution
        self.counted = 0

    def record(self, limit: float) -> None:
        """Count an attempt with this time limit."""
        bucket = round(limit / LIMIT_RESOLUTION_S)
        self.counts[bucket] = self.counts.get(bucket, 0.0) + 1
        self.counted += 1
        if self.counted >= MAX_COUNTED_ATTEMPTS:
            self.counts = {bucket: count / 2 for bucket, count in self.counts.items() if count >= 1}
            self.counted //= 2

    def is_common(self, limit: float) -> bool:
        """Return whether many attempts have this limit; True as well while few attempts have been counted."""
        bucket = round(limit / LIMIT_RESOLUTION_S)
        matching = sum(self.counts.get(bucket + offset, 0.0) for offset in (-1, 0, 1))
        return self.counted < MIN_COUNTED_ATTEMPTS or matching > MIN_COMMON_FRACTION * self.counted

    def estimate_prior_wait(
        self, event: RequestArrived, caller: Caller, deadline: float, marks_retries: bool
    ) -> float:
        """Return for how many seconds the client waited before this attempt; 0 if that is unknown.

        This guards against bursts of retries that are too old to be worth their work, as they follow when
        earlier attempts time out.  Risk: attempts of a caller that sets time limits of its own are taken for
        old ones, until a few of them have come in a row.
        """
        budget = positive_or_none(event.budget)
        if budget is None:
            return 0.0
        remaining = budget + positive_or_zero(event.age)
        is_first_attempt = marks_retries and not event.is_retry
        is_caller_limit = is_first_attempt or self.is_common(remaining)
        caller.unfamiliar_limits = 0 if is_caller_limit or marks_retries else caller.unfamiliar_limits + 1
        if is_first_attempt or not marks_retries:
            self.record(remaining)
        if is_caller_limit or caller.unfamiliar_limits > MAX_UNFAMILIAR_LIMITS:
            return 0.0
        return max(0.0, deadline - remaining)
