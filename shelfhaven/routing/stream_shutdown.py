"""When a listener for proxies announces that it takes no more streams, and how responses are delayed first.

The gRPC library resets streams that reach the server between the announcement and the moment at which the
proxy learns of it, and those that the server has not taken up yet. A proxy sends most new streams after it
got a response. So responses are delayed for a moment, until no more streams arrive, and sent after the
announcement. No response is delayed longer than its proxy waits for the verdict.

This module does no I/O and reads no clock; callers pass the current time. Times are in seconds.
"""

from __future__ import annotations

import math

QUIET_PERIOD = 0.03  # without a new stream, after which none is taken to be on its way
MAX_DELAY_FRACTION = 0.8  # of the verdict budget; the rest is for sending the response


class ResponseDelay:
    """The time for which the responses of one listener are delayed before it announces its end.

    Attributes:
        verdict_budget: time from the start of a stream within which its verdict has to be sent; no longer
            does the delay as a whole last.
        delayed_since: start of the delay; infinite before it begins.
        last_stream_at: start of the latest stream.
        ended: whether the announcement was made, after which no response is delayed.
    """

    def __init__(self, verdict_budget: float) -> None:
        self.verdict_budget = verdict_budget
        self.delayed_since = math.inf
        self.last_stream_at = -math.inf
        self.ended = False

    def begin(self, now: float) -> None:
        """Begin to delay responses."""
        self.delayed_since = now

    def stream_started(self, now: float) -> None:
        """Record that a stream has reached the listener."""
        self.last_stream_at = now

    def is_over(self, now: float) -> bool:
        """Return whether to announce the end: no streams arrive any more, or the delay was long enough."""
        quiet_since = max(self.delayed_since, self.last_stream_at)
        return now - quiet_since >= QUIET_PERIOD or now - self.delayed_since >= self.verdict_budget

    def end(self) -> None:
        """Record that the announcement was made."""
        self.ended = True

    def time_left(self, now: float, stream_started_at: float) -> float:
        """Return how long a response to a stream is still to be delayed unless the delay ends before."""
        if self.ended or now < self.delayed_since:
            return 0.0
        max_delay = MAX_DELAY_FRACTION * self.verdict_budget
        return max(0.0, stream_started_at + max_delay - now)
