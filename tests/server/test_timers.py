"""Timers of the core: firing order, gauge samples, the alarm, and timers of requests that are over."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from shelfhaven.decision.events import TimerFired
from shelfhaven.server import messages
from shelfhaven.server.actors import ConnectedActors
from shelfhaven.server.clocks import Clocks
from shelfhaven.server.request_table import RequestTable
from shelfhaven.server.timers import Timers
from tests.server.core_harness import RecordingActor


class TimerBench:
    """Timers with a clock that the test sets."""

    def __init__(self) -> None:
        self.now = 100.0
        self.clocks = Clocks(lambda: self.now, lambda: 0.0)
        self.runner = RecordingActor()
        actors = ConnectedActors()
        actors.connect([self.runner], RecordingActor(), RecordingActor(), RecordingActor())
        self.fired: list[TimerFired] = []
        self.process_emitted_calls = 0
        self.timers = Timers(self.clocks, RequestTable(), actors, self.fired.append, self.process_emitted)

    def process_emitted(self) -> None:
        self.process_emitted_calls += 1

    def pass_time(self, seconds: float) -> None:
        """Advance the clock and trigger the alarm."""
        self.now += seconds
        self.timers.on_alarm()

    def tokens(self) -> list[int]:
        return [event.token for event in self.fired]


def _run(check: Callable[[TimerBench], None]) -> None:
    async def run() -> None:
        check(TimerBench())

    asyncio.run(run())


def test_due_timers_fire_in_order_with_the_sampled_gauges() -> None:
    def check(bench: TimerBench) -> None:
        for token, delay in ((1, 0.2), (2, 0.1), (3, 0.1), (4, 9.0)):
            bench.timers.set(token, delay)
        bench.pass_time(0.3)
        assert bench.tokens() == []
        (sample,) = bench.runner.of(messages.SampleGauges)
        bench.timers.on_gauges(messages.GaugesSampled(sample.tag, (0.5,)))
        assert bench.tokens() == [2, 3, 1]
        assert {event.gauges for event in bench.fired} == {(0.5,)}
        assert bench.timers.next_due() == 109.0
        # The core handles the events after the message with the gauges.
        assert bench.process_emitted_calls == 0

    _run(check)


def test_only_the_awaited_sample_fires_timers_and_only_once() -> None:
    def check(bench: TimerBench) -> None:
        bench.timers.set(1, 0.1)
        bench.pass_time(0.2)
        (sample,) = bench.runner.of(messages.SampleGauges)
        bench.timers.on_gauges(messages.GaugesSampled("other", (0.1,)))
        assert bench.tokens() == []
        bench.timers.fire_unless_sampled(sample.tag)
        assert (bench.tokens(), bench.process_emitted_calls) == ([1], 1)
        assert bench.fired[0].gauges == (0.1,)
        bench.timers.set(2, -1.0)
        bench.timers.on_gauges(messages.GaugesSampled(sample.tag, (0.2,)))
        bench.timers.fire_unless_sampled(sample.tag)
        bench.timers.fire_unless_sampled(None)
        assert (bench.tokens(), bench.process_emitted_calls) == ([1], 1)

    _run(check)


def test_a_sample_that_no_timer_awaits_fires_nothing() -> None:
    def check(bench: TimerBench) -> None:
        bench.timers.set(1, 0.1)
        bench.now += 0.2  # the timer is due, but its alarm has not gone off yet
        for tag in ("", "t1", "other"):
            bench.timers.on_gauges(messages.GaugesSampled(tag, (0.1,)))
        assert bench.tokens() == []

    _run(check)


def test_without_a_runner_timers_fire_after_the_sockets_are_read() -> None:
    async def check() -> None:
        bench = TimerBench()
        bench.runner.up = False
        bench.timers.set(1, 0.1)
        bench.pass_time(0.2)
        assert bench.tokens() == []
        for _ in range(10):
            await asyncio.sleep(0)
        assert (bench.tokens(), bench.process_emitted_calls) == ([1], 1)
        assert bench.runner.of(messages.SampleGauges) == []

    asyncio.run(check())


def test_timers_of_requests_that_are_over_are_discarded() -> None:
    def check(bench: TimerBench) -> None:
        bench.timers.set(1, 0.1, request_id=5)
        bench.timers.set(2, 0.2)
        bench.timers.update_alarm()
        assert len(bench.timers) == 1
        assert bench.timers.alarm_due == bench.timers.next_due() == 100.2

    _run(check)


def test_the_alarm_moves_only_to_an_earlier_timer() -> None:
    def check(bench: TimerBench) -> None:
        bench.timers.set(1, 5.0)
        bench.timers.update_alarm()
        first = bench.timers.alarm
        bench.timers.set(2, 6.0)
        bench.timers.update_alarm()
        assert bench.timers.alarm is first
        bench.timers.set(3, 4.0)
        bench.timers.update_alarm()
        assert first is not None
        assert first.cancelled()
        assert bench.timers.alarm_due == 104.0

    _run(check)


def test_time_never_decreases_even_if_the_clock_does() -> None:
    bench = TimerBench()
    assert bench.clocks.advance() == 100.0
    bench.now = 90.0
    assert (bench.clocks.advance(), bench.clocks.latest()) == (100.0, 100.0)
    bench.now = 110.0
    assert bench.clocks.latest() == 110.0
    assert bench.clocks.now == 100.0
