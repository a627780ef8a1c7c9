"""Compares the pool with round robin while one backend is faulty; part of `benchmarks.uwsgi`."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

from benchmarks.measuring import Arrival, Figures, arrivals
from benchmarks.uwsgi_node import BACKENDS, new_backends, operator_file
from shelfhaven.config import Address
from shelfhaven.lab.backend_stub import BackendStub, started
from shelfhaven.lab.callers import ask
from shelfhaven.lab.node import run_node
from shelfhaven.lab.ports import reserved_address

RATE = 150.0  # requests a second
MEAN_RUN_S = 0.05
FAULT_AT_FRACTION = 0.2  # fraction of the measurement that precedes the fault
SLOWDOWN = 10.0  # factor on the run duration of a slow backend
DETECTION_WINDOW_S = 2.0  # after a fault; requests that fail within it are not counted
LATENCY_OBJECTIVE_S = 0.5
MIN_BASELINE_SHARE = 1e-3  # lower bound of the divisor, against division by zero


class BackendFault(Enum):
    """The kind of fault that one backend has."""

    SLOW = "slow"
    DEAD = "dead"


@dataclass
class FaultCounts:
    """Outcomes of the requests that were sent after the fault."""

    sent: int = 0
    in_time: int = 0
    failed_after_detection: int = 0

    @property
    def in_time_share(self) -> float:
        """The fraction of requests that were served within the latency objective."""
        return self.in_time / self.sent


def begin_fault(fault: BackendFault, backend: BackendStub) -> None:
    """Cause a fault at a backend; repeated calls have no further effect."""
    if fault is BackendFault.SLOW:
        backend.slowdown = SLOWDOWN
    elif backend.server:
        backend.stop()


async def send_counted(gateways: Address, counts: FaultCounts, arrival: Arrival, fault_at: float) -> None:
    """Send one request after the fault and count its outcome."""
    counts.sent += 1
    number = counts.sent
    reply = await ask(gateways, "POST", "/topup", b"%d" % number, HTTP_IDEMPOTENCY_KEY=str(number))
    counts.in_time += reply.status == 200 and time.monotonic() - arrival.intended_at < LATENCY_OBJECTIVE_S
    is_detected = arrival.elapsed - fault_at > DETECTION_WINDOW_S
    counts.failed_after_detection += is_detected and reply.status in (502, 504)


async def measure_fault(seconds: float, fault: BackendFault, command: Sequence[str]) -> FaultCounts:
    """Send requests to a node started by `command`, and make one of its backends fail meanwhile."""
    gateways = reserved_address()
    routers = reserved_address()
    counts = FaultCounts()
    fault_at = FAULT_AT_FRACTION * seconds
    async with (
        started(new_backends(BACKENDS, MEAN_RUN_S, seed=7)) as backends,
        run_node(operator_file(backends, gateways, routers), routers, command) as node,
    ):
        tasks: list[asyncio.Future[object]] = []
        async for arrival in arrivals(seconds, RATE, Random(11)):
            if arrival.elapsed > fault_at:
                begin_fault(fault, backends[0])
                request = send_counted(gateways, counts, arrival, fault_at)
                tasks.append(asyncio.ensure_future(request))
            else:
                tasks.append(asyncio.ensure_future(ask(gateways, "GET", f"/balance/{arrival.elapsed}")))
        await asyncio.gather(*tasks)
        await node.shut_down()
    return counts


async def fault_gain_figures(seconds: float, fault: BackendFault) -> Figures:
    """Compare the pool with round robin, side by side, with one of four backends faulty."""
    round_robin = [sys.executable, "-m", "benchmarks.uwsgi", "--round-robin"]
    pool, baseline = await asyncio.gather(
        measure_fault(seconds, fault, []),
        measure_fault(seconds, fault, round_robin),
    )
    return {
        f"{fault.value}_gain": round(pool.in_time_share / max(baseline.in_time_share, MIN_BASELINE_SHARE), 2),
        f"{fault.value}_share": round(pool.in_time_share, 3),
        f"{fault.value}_share_round_robin": round(baseline.in_time_share, 3),
        f"failed_after_detection_{fault.value}": pool.failed_after_detection,
    }


def serve_round_robin(path: str) -> None:
    """Run the baseline: a node whose pool picks its backends in turn and never ejects one."""
    from shelfhaven.__main__ import main as run_program
    from shelfhaven.routing.backend import Backend
    from shelfhaven.routing.outlier_detection import OutlierDetector
    from shelfhaven.routing.pool import Pool

    pick_numbers = iter(range(sys.maxsize))

    def pick(self: Pool, *_: object, **__: object) -> Backend | None:
        """Return the next backend in turn."""
        backends = list(self.backends.values())
        return backends[next(pick_numbers) % len(backends)]

    Pool.pick = pick  # type: ignore[method-assign]
    OutlierDetector.eject = lambda *_: None  # type: ignore[method-assign]
    run_program(["serve", "--operator", path])
