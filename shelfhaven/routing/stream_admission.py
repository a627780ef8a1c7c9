"""Admission control for the streams of consulting proxies, by stream count, buffered bytes and CPU time.

A stream over the limits is rejected before anything is read from it. Rejecting a stream takes half the work
of deciding one, whereas admitting one stream too many delays the verdicts of all of them.

This module does no I/O and reads no clock; callers pass the current time.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable

from shelfhaven.routing.processor_policy import ConsultSettings

LOOP_ITERATIONS_PER_VERDICT = 6.0  # event loop iterations from the start of a stream to sending its verdict
MAX_LOOP_FRACTION = 0.5  # fraction of the verdict budget that these iterations may take
UPDATE_INTERVAL = 0.1  # seconds between updates of the shed fraction
TARGET_UTILIZATION = 0.88  # of the CPU time that the event loop can use; the rest is headroom for bursts
MIN_ADMITTED_PER_S = 100.0  # new streams per core that are never shed; they take a tenth of it or less
SHED_GAIN = 0.6  # change of the shed fraction per update, for an excess utilization of 1
WITHDRAWN_EXCESS = 0.25  # minimum excess utilization assumed if requests were withdrawn
MAX_SHED_FRACTION = 0.95  # below 1, because only admitted streams show that the overload is over
LAG_GAIN = 0.4  # weight of the latest tick in the mean lag, which thus reflects the last two or three ticks


class StreamLimits:
    """Limits on the open streams and the buffered bytes of one listener."""

    def __init__(self, settings: ConsultSettings) -> None:
        self.settings = settings
        self.open_streams = 0
        self.buffered_bytes = 0
        self.rejected = 0  # streams rejected since the start, for the log

    def admit(self, mean_lag: float, shed: bool = False) -> bool:
        """Admit a stream and count it as open, if the limits allow it.

        Args:
            mean_lag: current mean duration of an event loop iteration, in seconds.
            shed: whether to reject the stream regardless of the limits.
        """
        is_late = mean_lag * LOOP_ITERATIONS_PER_VERDICT > MAX_LOOP_FRACTION * self.settings.verdict_budget
        if shed or is_late or self.open_streams >= self.settings.max_streams:
            self.rejected += 1
            return False
        self.open_streams += 1
        return True

    def reserve_bytes(self, count: int) -> bool:
        """Reserve bytes for buffering a body, if the limit allows it; a negative count frees bytes."""
        if count > 0 and self.buffered_bytes + count > self.settings.max_buffered_bytes:
            return False
        self.buffered_bytes = max(0, self.buffered_bytes + count)
        return True

    def release_stream(self) -> None:
        """Count an open stream as closed."""
        self.open_streams -= 1


class LoadShedder:
    """Sheds a fraction of the new streams, so that the other streams get their verdicts in time.

    The number of connections waiting to be accepted is not visible to the process, but its own CPU time is.
    An integral controller keeps the CPU utilization slightly below what one event loop can use. A proxy that
    withdraws a request before the verdict counts as evidence of overload.

    What is left is shared fairly: each connection has the same quota of the streams of an interval, and only
    what exceeds it is shed. A connection that floods this server costs the others nothing. Few streams are
    not shed at all, as it is not they that take the CPU time. All listeners of a process share one object.

    Attributes:
        cores: CPU cores that the event loop can use, at most 1.
        shed_fraction: fraction of the new streams to shed.
        shed_accumulator: sum of shed fractions; a stream is shed when it reaches 1, which is then deducted.
        quota: streams of one connection, in an update interval, of which none is shed.
        unforeseen_shed_fraction: fraction to shed of the streams of a connection that had fewer before.
        arrivals: new streams since the last update, by connection.
        previous_arrivals: those of the interval before it.
        updated_at: time of the last update; 0 before the first one.
        cpu_seconds: CPU time that the process had used at the last update.
        withdrawn: requests withdrawn by proxies since the last update.
    """

    def __init__(self, cores: float) -> None:
        self.cores = min(1.0, cores)  # an event loop uses at most one core
        self.shed_fraction = 0.0
        self.shed_accumulator = 0.0
        self.quota = math.inf
        self.unforeseen_shed_fraction = 0.0
        self.arrivals: Counter[str] = Counter()
        self.previous_arrivals: Counter[str] = Counter()
        self.updated_at = 0.0
        self.cpu_seconds = 0.0
        self.withdrawn = 0

    def update(self, now: float, cpu_seconds: float) -> None:
        """Adjust the shed fraction to the CPU seconds that the process has used since its start.

        Does nothing within `UPDATE_INTERVAL` of the last update.
        """
        if self.updated_at and now - self.updated_at < UPDATE_INTERVAL:
            return
        if self.updated_at:
            utilization = (cpu_seconds - self.cpu_seconds) / ((now - self.updated_at) * self.cores)
            excess = max(utilization - TARGET_UTILIZATION, WITHDRAWN_EXCESS if self.withdrawn else -1.0)
            self.shed_fraction = min(MAX_SHED_FRACTION, max(0.0, self.shed_fraction + SHED_GAIN * excess))
        self.previous_arrivals, self.arrivals = self.arrivals, Counter()
        total = self.previous_arrivals.total()
        admitted = max((1.0 - self.shed_fraction) * total, self.cores * MIN_ADMITTED_PER_S * UPDATE_INTERVAL)
        self.quota = fair_quota(self.previous_arrivals.values(), admitted)
        self.unforeseen_shed_fraction = max(0.0, 1.0 - admitted / total) if total else self.shed_fraction
        self.updated_at = now
        self.cpu_seconds = cpu_seconds
        self.withdrawn = 0

    def sheds_next(self, connection: str) -> bool:
        """Return whether to shed the next new stream of a connection; shed streams are evenly spread."""
        self.arrivals[connection] += 1
        self.shed_accumulator += self._shed_fraction_of(connection)
        if self.shed_accumulator < 1.0:
            return False
        self.shed_accumulator -= 1.0
        return True

    def _shed_fraction_of(self, connection: str) -> float:
        previous = self.previous_arrivals[connection]
        if self.arrivals[connection] > max(previous, self.quota):  # more than could be foreseen
            return self.unforeseen_shed_fraction
        return max(0.0, 1.0 - self.quota / previous) if previous else 0.0


def fair_quota(counts: Iterable[int], admitted: float) -> float:
    """Return the max-min fair quota: all counts, each up to the quota, have the sum `admitted`.

    It is infinite if that is no less than the sum of the counts, and 0 if there are no counts.
    """
    ordered = sorted(counts)
    left = admitted
    for index, count in enumerate(ordered):
        share = left / (len(ordered) - index)
        if count > share:
            return share
        left -= count
    return math.inf if ordered else 0.0


class LoopLag:
    """Measures the lag of the event loop. Data read after a pause may have arrived when the pause began.

    Attributes:
        interval: seconds between ticks.
        pause_retention: seconds for which a pause is taken into account after it ended.
        next_tick: time at which the next tick is due; 0 before the first one.
        last_lag: lag of the last tick that was more than one interval late.
        last_lag_expires: time until which `last_lag` is taken into account.
        mean_lag: moving average of the lag, an estimate of the duration of an event loop iteration.
    """

    def __init__(self, interval: float, pause_retention: float) -> None:
        self.interval = interval
        self.pause_retention = pause_retention
        self.next_tick = 0.0
        self.last_lag = 0.0
        self.last_lag_expires = 0.0
        self.mean_lag = 0.0

    def tick(self, now: float) -> float:
        """Record that the loop's timer fired; return the time at which it is due next."""
        if self.next_tick:
            lag = now - self.next_tick
            self.mean_lag += LAG_GAIN * (max(0.0, lag) - self.mean_lag)
            if lag > self.interval:
                self.last_lag = lag
                self.last_lag_expires = now + self.pause_retention
        self.next_tick = now + self.interval
        return self.next_tick

    def lag_at(self, now: float) -> float:
        """Return the maximum number of seconds for which data read now may have been waiting to be read."""
        current_lag = now - self.next_tick if self.next_tick else 0.0
        recent_lag = self.last_lag if now < self.last_lag_expires else 0.0
        return max(recent_lag, current_lag if current_lag > self.interval else 0.0)
