"""Early closing of idle connections.

Connections are closed early if a caller with a fair share sends so rarely that it would time out its idle
connection long before its next request.  This guards against connection tables full of callers that rarely
send: other callers could not connect although cores are idle, and a full table costs CPU time.  Risk: the few
callers that send often pay for a handshake with each request.

Connections are not closed early while most arrivals are rejected, because a caller without a connection then
costs less than a rejection.
"""

from __future__ import annotations

from shelfhaven.decision.actions import SetIdleTimeout
from shelfhaven.decision.averages import LONG_TERM_GAIN
from shelfhaven.decision.settings import Settings

# Mean interval between two requests of a caller, in idle timeouts, from which connections are closed early:
# two of three would time out unused.
RARE_USE_TIMEOUTS = 3.0

# Fraction of arrivals that are rejected, below which early closing begins and above which it ends.
BEGIN_REJECTED_FRACTION = 0.4
END_REJECTED_FRACTION = 0.75

# Idle timeout, in seconds, while connections are closed early: long enough for a caller to send its next
# request right after an answer.
EARLY_IDLE_TIMEOUT_S = 0.05


class ConnectionPolicy:
    """Whether idle connections are closed early."""

    __slots__ = ("_settings", "closes_early", "rejected_fraction")

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.closes_early = False
        self.rejected_fraction = 0.0  # of recent arrivals

    def record_arrival(self) -> None:
        """Count an arrival."""
        self.rejected_fraction -= LONG_TERM_GAIN * self.rejected_fraction

    def record_rejection(self) -> None:
        """Count a rejection, of an arrival that has been counted."""
        self.rejected_fraction += LONG_TERM_GAIN

    def update(self, completion_rate: float) -> SetIdleTimeout | None:
        """Decide whether to close early; called once per control interval.

        Returns an action if the decision has changed.
        """
        completed_in_interval = RARE_USE_TIMEOUTS * self._settings.connection_idle_timeout * completion_rate
        rarely_used = self._settings.callers > completed_in_interval > 0
        max_rejected_fraction = END_REJECTED_FRACTION if self.closes_early else BEGIN_REJECTED_FRACTION
        closes_early = rarely_used and self.rejected_fraction < max_rejected_fraction
        if closes_early == self.closes_early:
            return None
        self.closes_early = closes_early
        return SetIdleTimeout(EARLY_IDLE_TIMEOUT_S if closes_early else None)
