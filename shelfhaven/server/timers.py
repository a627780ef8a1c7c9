"""The controller's timers: a heap, and one event-loop timer (the alarm) for the earliest of them.

When a timer is due, the runner is first asked for a sample of the gauges, which is passed on with the timer,
and the data that the sockets already hold is read: when the event loop runs late, a message that arrived in
time must not lose against a timer.  Timers of requests that are over are discarded without firing.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import math
from collections.abc import Callable
from typing import NamedTuple

from shelfhaven.decision.events import TimerFired
from shelfhaven.server import messages
from shelfhaven.server.actors import ConnectedActors
from shelfhaven.server.clocks import Clocks
from shelfhaven.server.mailbox import after_reading
from shelfhaven.server.request_table import RequestTable

MAX_GAUGES_WAIT = 0.01  # seconds; the longest that due timers wait for a sample of the gauges


class Timer(NamedTuple):
    """A timer in the heap; `sequence` sorts timers of the same due time by when they were set."""

    due: float  # monotonic seconds
    sequence: int
    token: int
    request_id: int | None


class Timers:
    """Sets timers and emits a `TimerFired` event for each that is due.

    `process_emitted` has the controller handle the events that were emitted outside of a message.
    """

    def __init__(
        self,
        clocks: Clocks,
        requests: RequestTable,
        actors: ConnectedActors,
        emit: Callable[[TimerFired], None],
        process_emitted: Callable[[], None],
    ) -> None:
        self.clocks = clocks
        self.requests = requests
        self.actors = actors
        self.emit = emit
        self.process_emitted = process_emitted
        self.heap: list[Timer] = []
        self.sequence_numbers = itertools.count()
        self.alarm: asyncio.TimerHandle | None = None
        self.alarm_due = math.inf
        self.awaited_sample: str | None = None  # tag of the gauge sample that due timers wait for
        self.sample_numbers = itertools.count(1)
        self.gauges: tuple[float, ...] = ()

    def __len__(self) -> int:
        return len(self.heap)

    def next_due(self) -> float | None:
        """Return the due time of the earliest timer, None if no timer is set."""
        return self.heap[0].due if self.heap else None

    def set(self, token: int, delay: float, request_id: int | None = None) -> None:
        """Set a timer that is due `delay` seconds after the event being handled."""
        due = self.clocks.now + delay
        heapq.heappush(self.heap, Timer(due, next(self.sequence_numbers), token, request_id))

    def update_alarm(self) -> None:
        """Set the event loop's alarm for the earliest timer, unless due timers wait for gauges."""
        while self.heap and self._is_obsolete(self.heap[0]):
            heapq.heappop(self.heap)  # most requests are over long before their timers are due
        if not self.heap or self.awaited_sample is not None:
            return
        due = self.heap[0].due
        if self.alarm and due >= self.alarm_due:
            return
        if self.alarm:
            self.alarm.cancel()
        self.alarm_due = due
        loop = asyncio.get_running_loop()
        self.alarm = loop.call_later(max(0.0, due - self.clocks.monotonic()), self.on_alarm)

    def on_alarm(self) -> None:
        """Handle the alarm: request a sample of the gauges, then fire the due timers."""
        self.alarm = None
        self.alarm_due = math.inf
        tag = self.awaited_sample = f"t{next(self.sample_numbers)}"
        if self.actors.gauge_source.up:
            self.actors.gauge_source.put(messages.SampleGauges(tag))
            asyncio.get_running_loop().call_later(MAX_GAUGES_WAIT, self._fire_after_reading, tag)
        else:
            self._fire_after_reading(tag)

    def on_gauges(self, sample: messages.GaugesSampled) -> None:
        """Store a gauge sample, and fire the due timers if they waited for it."""
        self.gauges = sample.values
        if sample.tag == self.awaited_sample:
            self._fire()

    def on_runner_disconnected(self) -> None:
        """Fire due timers without the sample that they wait for, which may never arrive."""
        self._fire_after_reading(self.awaited_sample)

    def fire_unless_sampled(self, tag: str | None) -> None:
        """Fire due timers if they still wait for the sample with this tag."""
        if tag is not None and tag == self.awaited_sample:
            self._fire()
            self.process_emitted()

    def _fire_after_reading(self, tag: str | None) -> None:
        after_reading(self.fire_unless_sampled, tag)

    def _is_obsolete(self, timer: Timer) -> bool:
        return timer.request_id is not None and self.requests.get(timer.request_id) is None

    def _fire(self) -> None:
        self.awaited_sample = None
        now = self.clocks.latest()
        while self.heap and self.heap[0].due <= now:
            timer = heapq.heappop(self.heap)
            if not self._is_obsolete(timer):
                self.emit(TimerFired(timer.token, self.gauges))
