"""The caller table: headway counters and Retry-After.

The normal path follows "Rate Management and the Kiss-o'-Death Packet" (D. L. Mills and others, NTP
documentation, rate.html).  Each admitted request adds the minimum average headway to its caller's headway
counter, and the counter decreases with time.  A caller whose counter is above the ceiling sends faster than
its fair share and is rejected first in overload.  Each rejection tells the caller when to come back: after
the minimum average headway, or after the caller's own mean interval if that is longer.

A caller is a router in front of this server, not a tenant (docs/design.md has the measurements).
"""

from __future__ import annotations

from collections import OrderedDict

from shelfhaven.decision.averages import CONTROL_INTERVAL_S, RATE_WINDOW_S, RECENT_GAIN
from shelfhaven.decision.settings import Settings

# Ceiling of the headway counter, in minimum average headways: the longest burst that rate.html allows.
CEILING_HEADWAYS = 8.0

# Maximum number of entries: rate.html has "a few hundred".
MAX_CALLERS = 600

# Fraction by which the heaviest caller's share decays with each arrival, so that it covers about the last 64
# arrivals.
HEAVIEST_SHARE_DECAY = 1 / 64

# Increase of the rejection threshold for a caller with an empty headway counter.  Admission control adds the
# same for each doubling of a request's weight for its work.
REJECTION_THRESHOLD_STEP = 3.0


class Caller:
    """One caller: its headway counter and the statistics of its arrivals."""

    __slots__ = ("counter", "last_arrival", "mean_gap", "unfamiliar_limits")

    def __init__(self, now: float) -> None:
        self.counter = 0.0  # headway counter, in seconds
        self.mean_gap = 0.0  # seconds between arrivals; 0 until the second arrival
        self.last_arrival = now
        self.unfamiliar_limits = 0  # consecutive attempts whose time limit is not common in `AttemptLimits`


class CallerTable:
    """Callers with their headway counters (leaky buckets), the most recently active caller first."""

    __slots__ = (
        "completed",
        "completion_rate",
        "entries",
        "heaviest_share",
        "last_arrival",
        "mean_counter",
        "mean_gap",
    )

    def __init__(self) -> None:
        self.entries: OrderedDict[int, Caller] = OrderedDict()
        self.completion_rate = 0.0  # requests per second
        self.completed = 0  # requests since the last update of the rate
        self.mean_counter = 0.0  # mean headway counter of recent arrivals' callers
        self.mean_gap = 0.0  # seconds between arrivals of any caller
        self.last_arrival = 0.0
        self.heaviest_share = 1.0  # fraction of arrivals that come from the heaviest caller

    def minimum_average_headway(self) -> float:
        """Return the mean interval, in seconds, between the completions of one caller's fair share."""
        return len(self.entries) / self.completion_rate if self.completion_rate > 0 else 0.0

    def record_completion(self) -> None:
        """Count a completed request."""
        self.completed += 1

    def update_completion_rate(self) -> None:
        """Update the completion rate with the completions of the last control interval."""
        rate = self.completed / CONTROL_INTERVAL_S
        self.completion_rate += CONTROL_INTERVAL_S / RATE_WINDOW_S * (rate - self.completion_rate)
        self.completed = 0

    def record_arrival(self, key: int, now: float) -> Caller:
        """Record an arrival: decay the caller's counter and move the caller to the front of the table."""
        caller = self.entries.get(key)
        if caller is None:
            caller = self._add(key, now)
        else:
            elapsed = now - caller.last_arrival
            caller.counter = max(0.0, caller.counter - elapsed)
            caller.mean_gap += RECENT_GAIN * (elapsed - caller.mean_gap) if caller.mean_gap else elapsed
            caller.last_arrival = now
        self.entries.move_to_end(key, last=False)
        self.mean_counter += RECENT_GAIN * (caller.counter - self.mean_counter)
        self._update_heaviest_share(caller, now)
        return caller

    def is_over_ceiling(self, caller: Caller) -> bool:
        """Return whether the caller's headway counter is above the ceiling."""
        return caller.counter > CEILING_HEADWAYS * self.minimum_average_headway()

    def charge(self, caller: Caller) -> None:
        """Charge the caller for an admitted request, except above the ceiling, as in rate.html."""
        if not self.is_over_ceiling(caller):
            caller.counter += self.minimum_average_headway()

    def rejection_threshold(self, caller: Caller) -> float:
        """Return how many rejections must be due before a request of this caller is rejected.

        It is 0 for a caller over the ceiling.  Otherwise it is higher the emptier the caller's counter is
        relative to the mean counter of arriving callers.
        """
        if self.is_over_ceiling(caller):
            return 0.0
        emptiness = 1 - caller.counter / self.mean_counter if self.mean_counter > 0 else 1.0
        return 1 + REJECTION_THRESHOLD_STEP * max(0.0, emptiness)

    def retry_after(self, caller: Caller, minimum: float, settings: Settings) -> float:
        """Return the seconds after which a rejected caller should come back; 0 if callers ignore Retry-After.

        It is the largest of the minimum average headway, the caller's own mean interval and `minimum`, up to
        the longest Retry-After in the settings.
        """
        if not settings.allows_retry_after:
            return 0.0
        interval = max(self.minimum_average_headway(), caller.mean_gap, minimum)
        return min(interval, settings.max_retry_after)

    def _add(self, key: int, now: float) -> Caller:
        """Add a caller; if the table is full, the least recently active caller is evicted."""
        if len(self.entries) >= MAX_CALLERS:
            self.entries.popitem(last=True)
        caller = Caller(now)
        self.entries[key] = caller
        return caller

    def _update_heaviest_share(self, caller: Caller, now: float) -> None:
        if self.last_arrival:
            self.mean_gap += RECENT_GAIN * (now - self.last_arrival - self.mean_gap)
        self.last_arrival = now
        share = min(1.0, self.mean_gap / caller.mean_gap) if caller.mean_gap else 0.0
        self.heaviest_share = max(share, self.heaviest_share * (1 - HEAVIEST_SHARE_DECAY))
