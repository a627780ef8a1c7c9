"""Slots, token buckets and backoff, which keep the request rate of a whole fleet within a configured limit.

Absolute (Unix) time is divided into windows whose length is proportional to the size of the fleet. A hash of
a node's name determines its slot in each window. This spreads the requests of a thousand nodes that start
together without any message between them. A node that crashes and restarts keeps its slot, so that it sends
at most one request per window however often it starts. A clock that is an hour off moves the slot of its
node, but the fleet stays spread over the window.

The delay of a retry is drawn from the whole backoff span (full jitter: Marc Brooker, "Exponential Backoff And
Jitter", 2015). Retries also need a token from a bucket that fills at the node's share of the fleet's rate.

This module does no I/O, reads no clock, and takes random numbers only from the generators passed to it.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from shelfhaven.routing.hash_spread import hash_fraction

FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 60.0
MAX_BACKOFF_DOUBLINGS = 16  # keeps the power of two finite; MAX_BACKOFF_S is reached far earlier
MAX_TOKENS = 2.0  # capacity of a node's bucket, in requests
MIN_RATE_PER_S = 1e-9  # avoids a division by zero


class Rank(NamedTuple):
    """Position of a name in an order that every node computes alike, by which a few nodes are selected."""

    fraction: float  # hash of the name and the purpose, from 0 to 1
    name: str  # breaks ties


def rank(name: str, purpose: str) -> Rank:
    """Return the rank of a name for a purpose."""
    return Rank(hash_fraction(name, purpose), name)


def next_slot(name: str, purpose: str, unix_time: float, window: float) -> float:
    """Return the node's next slot for a purpose at or after a time, both in Unix seconds."""
    if window <= 0:
        return unix_time
    offset = hash_fraction(name, purpose) * window
    slot = unix_time - unix_time % window + offset
    return slot if slot >= unix_time else slot + window


@dataclass(slots=True)
class TokenBucket:
    """Limits the requests of a node; it fills at the node's share of the fleet's rate."""

    tokens: float = 1.0
    updated_at: float = 0.0

    def try_take(self, now: float, rate_per_s: float) -> bool:
        """Take one token if there is one."""
        self.tokens = min(MAX_TOKENS, self.tokens + max(0.0, now - self.updated_at) * rate_per_s)
        self.updated_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def time_until_token(self, rate_per_s: float) -> float:
        """Return the seconds from the last call of `try_take` until there is a token."""
        return max(0.0, 1.0 - self.tokens) / max(rate_per_s, MIN_RATE_PER_S)


@dataclass(slots=True)
class Backoff:
    """Exponential backoff with full jitter for requests to a service."""

    failures: int = 0

    def next_delay(self, random: Random, min_span: float, retry_after: float | None = None) -> float:
        """Count a failure, and return the seconds to wait, drawn from a span of at least `min_span`.

        The drawn delay is added to `retry_after`, since the service may have sent the same value to all
        nodes, which must not retry together.
        """
        self.failures += 1
        doublings = min(self.failures, MAX_BACKOFF_DOUBLINGS)
        span = max(min_span, min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0**doublings))
        return (retry_after or 0.0) + random.random() * span

    def reset(self) -> None:
        """Start again from the shortest span, after the service has answered."""
        self.failures = 0
