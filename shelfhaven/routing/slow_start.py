"""Slow start of a node towards its backends, so that a fleet that starts at once does not overload them.

The operator configures how many concurrent runs a backend can handle from the whole fleet. A node's *quota*
is that number, times the number of active backends, divided by the number of nodes. A node begins with half
of its quota and reaches all of it (or a configured multiple) within a window. The window grows with the
fraction of the fleet that is cold, and further while backends reject or fail attempts of this node or of a
peer.

During slow start the node also limits its rate of new connections to its share of the rate that the backends
can accept. This bounds the load when the fleet is so large that a quota is less than one run.

The adaptive limit of each backend (`adaptive_limit.py`) applies as well: the lower limit takes effect.

This module does no I/O and reads no clock: the current time is an argument.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

INITIAL_QUOTA_FACTOR = 0.5  # initial fraction of the quota: random choices load the backends unevenly
OVERLOAD_GROWTH = 1.5  # factor on the window for each overload event
MAX_OVERLOAD_FACTOR = 8.0  # upper bound of the factor on the window
OVERLOAD_HALF_LIFE = 5.0  # seconds in which the excess of the overload factor over 1 halves
PROGRESS_BACKOFF = 0.8  # factor on the progress for each overload event
MIN_BACKOFF_INTERVAL = 1.0  # seconds after an overload event in which further ones are ignored
PEER_OVERLOAD_WEIGHT = 0.8  # of a peer's excess over 1; from 1 on, nodes would echo reports forever
MIN_WINDOW = 1e-3  # seconds; nonzero because it is a divisor
MIN_CONNECTION_RATE = 1e-9  # connections per second; nonzero because it is a divisor


@dataclass(frozen=True, slots=True)
class SlowStartSettings:
    """Settings of a node's slow start.

    Attributes:
        window: seconds until a node has its full quota, if the whole fleet is warm.
        cold_fleet_stretch: number of windows by which the window is extended if the whole fleet is cold.
        backend_concurrency: concurrent runs that one backend can handle from the whole fleet.
        backend_connection_rate: connections per second that one backend can accept from the whole fleet.
        final_quota_factor: multiple of its quota that a node reaches; above 1 allows for uneven load.
    """

    window: float = 10.0
    cold_fleet_stretch: float = 3.0
    backend_concurrency: float = 16.0
    backend_connection_rate: float = 200.0
    final_quota_factor: float = 1.0


@dataclass(slots=True)
class SlowStart:
    """Slow start of one node towards one pool; times are in seconds, on the clock of the `now` arguments.

    Attributes:
        settings: settings of the slow start.
        updated_at: time of the last update.
        progress: progress from the initial to the final quota, from 0 to 1.
        cold_fraction: fraction of the fleet that is cold.
        fleet_size: nodes that use the same backends.
        overload_factor: factor by which recent overload lengthens the window.
        backed_off_at: time of the last overload event that was not ignored.
        connection_tokens: connections that may be opened immediately.
        tokens_updated_at: time of the last update of `connection_tokens`.
    """

    settings: SlowStartSettings
    updated_at: float
    progress: float = 0.0
    cold_fraction: float = 1.0
    fleet_size: int = 1
    overload_factor: float = 1.0
    backed_off_at: float = -math.inf
    connection_tokens: float = 1.0
    tokens_updated_at: float = 0.0

    def update(
        self, now: float, cold_fraction: float, fleet_size: int, peer_overload_factor: float = 1.0
    ) -> None:
        """Advance to the current time.

        Args:
            now: current time.
            cold_fraction: fraction of the fleet that is cold.
            fleet_size: nodes that use the same backends.
            peer_overload_factor: highest overload factor that a peer has reported.
        """
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        self.progress = min(1.0, self.progress + elapsed / self.effective_window())
        self.overload_factor = 1.0 + (self.overload_factor - 1.0) * 0.5 ** (elapsed / OVERLOAD_HALF_LIFE)
        peer_factor = 1.0 + PEER_OVERLOAD_WEIGHT * (peer_overload_factor - 1.0)
        self.overload_factor = max(self.overload_factor, min(MAX_OVERLOAD_FACTOR, peer_factor))
        self.cold_fraction = min(1.0, max(0.0, cold_fraction))
        self.fleet_size = max(1, fleet_size)

    def effective_window(self) -> float:
        """Seconds from the initial to the final quota under the current conditions."""
        stretch = 1.0 + self.settings.cold_fleet_stretch * self.cold_fraction
        return max(MIN_WINDOW, self.settings.window * stretch * self.overload_factor)

    @property
    def complete(self) -> bool:
        """Whether the node has reached its final quota."""
        return self.progress >= 1.0

    def record_overload(self, now: float) -> None:
        """Reduce the progress and lengthen the window after a backend rejected or failed an attempt.

        This also applies to a node that has completed its slow start: the load must decrease before
        overloaded backends can recover.
        """
        if now - self.backed_off_at >= MIN_BACKOFF_INTERVAL:
            self.backed_off_at = now
            self.progress *= PROGRESS_BACKOFF
            self.overload_factor = min(MAX_OVERLOAD_FACTOR, self.overload_factor * OVERLOAD_GROWTH)

    def concurrency_quota(self, backends: int) -> float:
        """Runs that the node may have in flight at all of `backends` backends together; at least one."""
        quota = backends * self.settings.backend_concurrency / self.fleet_size
        factor_range = self.settings.final_quota_factor - INITIAL_QUOTA_FACTOR
        return max(1.0, quota * (INITIAL_QUOTA_FACTOR + factor_range * self.progress))

    def connection_delay(self, now: float, backends: int) -> float:
        """Seconds until a connection to one of `backends` backends may be opened; 0 after slow start."""
        if self.complete:
            return 0.0
        quota_rate = self.settings.backend_connection_rate * backends / self.fleet_size
        connections_per_s = max(MIN_CONNECTION_RATE, quota_rate)
        elapsed = max(0.0, now - self.tokens_updated_at)
        self.tokens_updated_at = max(now, self.tokens_updated_at)
        max_tokens = max(1.0, self.concurrency_quota(backends))
        self.connection_tokens = min(max_tokens, self.connection_tokens + elapsed * connections_per_s)
        return max(0.0, 1.0 - self.connection_tokens) / connections_per_s

    def record_connection(self) -> None:
        """Take the token of a connection that was opened."""
        self.connection_tokens -= 1.0
