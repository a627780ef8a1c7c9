"""Helpers of the benchmarks: load generators, CPU and memory of processes, latencies, output of figures."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping, Sequence
from random import Random
from typing import NamedTuple, TypeAlias

import click
import orjson
import psutil
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_SECOND = 1e6
MIB = 1 << 20

Figure: TypeAlias = "float | str | Sequence[str] | Sequence[float] | Mapping[str, Figure] | None"
Figures: TypeAlias = dict[str, Figure]  # keyed by the names that are printed


class Report:
    """Collects the figures of a benchmark and shows progress on standard error."""

    def __init__(self) -> None:
        self.figures: Figures = {}

    async def add(self, step: str, measurement: Awaitable[Mapping[str, Figure]]) -> None:
        """Await a measurement and add its figures."""
        announce(step)
        self.figures.update(await measurement)


class Table:
    """A table of named rows of figures, each printed when it is added."""

    def __init__(self, name_width: int) -> None:
        self.name_width = name_width
        self.rows: Figures = {}

    def add(self, name: str, figures: Figures) -> None:
        """Add a row and print it."""
        self.rows[name] = figures
        columns = " ".join(f"{key}={value}" for key, value in figures.items())
        click.echo(f"{name:{self.name_width}} {columns}")


def announce(step: str) -> None:
    """Print to standard error that a measurement begins."""
    click.echo(f"{step} ...", err=True)


def print_figures(figures: Figures) -> None:
    """Print all figures as one line of JSON."""
    click.echo(orjson.dumps(figures).decode())


# Processes


def cpu_seconds(pid: int) -> float:
    """Return the CPU seconds that a process has used in user and system mode."""
    times = psutil.Process(pid).cpu_times()
    return float(times.user + times.system)


def resident_bytes(pid: int) -> int:
    """Return the resident set size of a process."""
    return int(psutil.Process(pid).memory_info().rss)


# Loops


async def closed_loop(
    count: int, concurrency: int, send: Callable[[int], Awaitable[None]], pause: float = 0.0
) -> float:
    """Send numbered requests at a fixed concurrency; return the completions per second.

    Each caller waits `pause` seconds between two requests.
    """
    numbers = iter(range(count))

    async def run_caller() -> None:
        """Send requests one after another until all numbers are used."""
        for number in numbers:
            await send(number)
            if pause:
                await asyncio.sleep(pause)

    started_at = time.monotonic()
    await asyncio.gather(*(run_caller() for _ in range(concurrency)))
    return count / (time.monotonic() - started_at)


class Arrival(NamedTuple):
    """A request of an open loop: its number, counted from 1, and the intended time of sending."""

    number: int
    elapsed: float  # seconds since the loop began
    intended_at: float  # on the monotonic clock


async def arrivals(seconds: float, rate: float, random: Random) -> AsyncIterator[Arrival]:
    """Yield the arrivals of a Poisson process at their times, without waiting for earlier requests."""
    started_at = time.monotonic()
    elapsed = 0.0
    number = 0
    while elapsed < seconds:
        elapsed += random.expovariate(rate)
        number += 1
        await asyncio.sleep(max(0.0, started_at + elapsed - time.monotonic()))
        yield Arrival(number, elapsed, started_at + elapsed)


# Latencies


def latency_histogram() -> HdrHistogram:
    """Create a histogram of latencies in microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def record_latency(histogram: HdrHistogram, seconds: float) -> None:
    """Add a latency to a histogram."""
    histogram.record_value(int(seconds * MICROSECONDS_PER_SECOND))


def percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    """Return a percentile of a latency histogram in milliseconds."""
    return float(histogram.get_value_at_percentile(percentile)) / 1000
