"""How many messages without a request to the core one connection may send in a time.

Health checks, cancellations of nothing and messages that are not valid cost this server as much to read as
requests do, but nothing limits them: no admission decision is made about them.  A connection that sends more
than its allowance is read more slowly, so that it does not use up the time of the other connections.  Each
request to the core adds to the allowance, since cancellations may cross answers.

This module does no I/O and reads no clock; callers pass the current time.
"""

from __future__ import annotations

MESSAGES_PER_SECOND = 100.0
BURST_MESSAGES = 64.0


class MessageAllowance:
    """A token bucket of one connection; a message that is over the allowance is a debt that time pays off."""

    def __init__(self, now: float) -> None:
        self.messages_left = BURST_MESSAGES
        self.updated_at = now

    def charge(self) -> None:
        """Take one message without a request from the allowance."""
        self.messages_left -= 1

    def credit(self) -> None:
        """Add one message to the allowance, for a request to the core."""
        self.messages_left = min(BURST_MESSAGES, self.messages_left + 1)

    def delay(self, now: float) -> float:
        """Return the seconds for which the connection should not be read."""
        earned = MESSAGES_PER_SECOND * (now - self.updated_at)
        self.messages_left = min(BURST_MESSAGES, self.messages_left + earned)
        self.updated_at = now
        return max(0.0, -self.messages_left / MESSAGES_PER_SECOND)
