"""Retry budget of a pool: limits retries to a fraction of the runs, so that they cannot multiply the load."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class RetryBudget:
    """A token bucket for retries that each run refills by a fraction of a token.

    Attributes:
        retry_ratio: tokens that each run adds.
        max_tokens: maximum number of tokens.
        tokens: retries that are currently allowed; initially `max_tokens` unless another value is given.
    """

    retry_ratio: float
    max_tokens: float
    tokens: float = -1.0

    def __post_init__(self) -> None:
        if self.tokens < 0:
            self.tokens = self.max_tokens

    @property
    def allows_retry(self) -> bool:
        """Whether at least one retry is allowed."""
        return self.tokens >= 1.0

    def record_run(self) -> None:
        """Add the tokens of a run that was launched."""
        self.tokens = min(self.max_tokens, self.tokens + self.retry_ratio)

    def take_retry(self) -> bool:
        """Take the token of one retry; returns False if none is available."""
        if not self.allows_retry:
            return False
        self.tokens -= 1.0
        return True
