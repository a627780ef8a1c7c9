"""Measures start-up and memory of a node without operator configuration; part of `benchmarks.uwsgi`."""

from __future__ import annotations

import asyncio
import contextlib
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import orjson

from benchmarks.measuring import MIB, Figures, cpu_seconds, resident_bytes
from shelfhaven.config import Address
from shelfhaven.lab.callers import connect
from shelfhaven.lab.ports import reserved_address

POLL_INTERVAL_S = 0.005  # between attempts to connect to a starting node
PLATFORM_CONFIG: dict[str, object] = {
    "name": "n1", "agent": "127.0.0.1:9", "members": "127.0.0.1:9", "stop_ms": 300,
    "settings": {
        "classes": [{"name": "look", "on-time": 0.5, "deadline": 1.5, "repeat": "repeatable"}],
        "tenants": [{"name": "one", "share": 1.0}],
        "domain": {"cores": 2, "memory-kb": 4000.0, "gauges": ["cpu_busy"]},
    },
}  # fmt: skip


class NodeStart(NamedTuple):
    """One start: seconds until the node listens, and its CPU seconds and memory at that time."""

    seconds: float
    cpu: float
    memory_mib: float


async def _wait_until_listening(address: Address) -> None:
    while True:
        with contextlib.suppress(OSError):
            (await connect(address)).writer.close()
            return
        await asyncio.sleep(POLL_INTERVAL_S)


async def _start_once(folder: Path | None) -> NodeStart:
    address = reserved_address()
    with tempfile.NamedTemporaryFile(suffix=".json") as file:
        file.write(orjson.dumps({**PLATFORM_CONFIG, "listen": str(address)}))
        file.flush()
        command = [sys.executable, "-m", "shelfhaven", "serve", "--config", file.name]
        started_at = time.monotonic()
        process = subprocess.Popen(command, cwd=folder, stderr=subprocess.DEVNULL)
        await _wait_until_listening(address)
        seconds = time.monotonic() - started_at
        start = NodeStart(seconds, cpu_seconds(process.pid), resident_bytes(process.pid) / MIB)
        process.terminate()
        process.wait()
    return start


async def measure_starts(folder: Path | None, count: int) -> Figures:
    """Return medians over `count` starts of the checkout in `folder`, by default the current directory."""
    starts = [await _start_once(folder) for _ in range(count)]
    return {
        "up_after_s": round(statistics.median(start.seconds for start in starts), 3),
        "cpu_s": round(statistics.median(start.cpu for start in starts), 3),
        "memory_mb": round(statistics.median(start.memory_mib for start in starts), 1),
    }
