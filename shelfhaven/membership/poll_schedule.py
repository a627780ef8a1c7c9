"""Slots, token buckets and backoff, by which a whole fleet asks no more than a stated number a second.

A node's slot is a moment in absolute (Unix) time: a hash of its name, spread over a window that is as long as
the fleet is large. A thousand nodes that start together are spread by it without any message between them,
and a node that crashes and restarts finds its slot where it was: it asks once a window at most, however often
it starts. A clock that is an hour off moves a slot and keeps the spread.

Retries draw from the whole backoff span (full jitter: Marc Brooker, "Exponential Backoff And Jitter", 2015)
and come out of a token bucket that fills at the node's part of the fleet's rate.

This module does no I/O, reads no clock, and draws only from the random numbers that it is given.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from shelfhaven.routing.hash_spread import hash_fraction

FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 60.0
MAX_BACKOFF_DOUBLINGS = 16  # keeps the power of two finite; the bound above is reached long before
MAX_TOKENS = 2.0  # requests that a node may save up
MIN_RATE_PER_S = 1e-9  # against a division by zero


class Rank(NamedTuple):
    """A name's place in an order that every node computes alike: the first few do what only a few should."""

    fraction: float  # drawn by a hash of the name
    name: str  # decides between equal fractions


def rank(name: str, purpose: str) -> Rank:
    """Return the rank of a name for a purpose."""
    return Rank(hash_fraction(name, purpose), name)


def next_slot(name: str, purpose: str, unix: float, window: float) -> float:
    """The node's next slot at or after a time; both in Unix seconds."""
    if window <= 0:
        return unix
    offset = hash_fraction(name, purpose) * window
    slot = unix - unix % window + offset
    return slot if slot >= unix else slot + window


@dataclass(slots=True)
class TokenBucket:
    """Requests that a node may send: filled at its part of the fleet's rate, with little saved up."""

    tokens: float = 1.0
    updated_at: float = 0.0

    def try_take(self, now: float, per_s: float) -> bool:
        """Take one token, if there is one."""
        self.tokens = min(MAX_TOKENS, self.tokens + max(0.0, now - self.updated_at) * per_s)
        self.updated_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def time_until_token(self, per_s: float) -> float:
        """Seconds until there is one, from the last attempt on."""
        return max(0.0, 1.0 - self.tokens) / max(per_s, MIN_RATE_PER_S)


@dataclass(slots=True)
class Backoff:
    """Delays between attempts at a service that fails: longer after each failure, with full jitter."""

    failures: int = 0

    def next_delay(self, random: Random, min_span: float, retry_after: float | None = None) -> float:
        """Seconds to wait, drawn from a span that is no shorter than `min_span`.

        The draw is added to what the service asked for: all callers were told the same time, and must not
        come back together just after it.
        """
        self.failures += 1
        doublings = min(self.failures, MAX_BACKOFF_DOUBLINGS)
        span = max(min_span, min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0**doublings))
        return (retry_after or 0.0) + random.random() * span

    def reset(self) -> None:
        """The service answered."""
        self.failures = 0
