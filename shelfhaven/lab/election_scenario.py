"""Runs random fault schedules on real processes.

Run it as `python -m shelfhaven.lab.election_scenario --seeds 3 --engine nodes`. `election_checker.py` checks
the invariants afterwards, from the history of the fleet and the requests at the target.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections.abc import Awaitable, Callable, Sequence
from functools import partial

from shelfhaven.lab import election_checker
from shelfhaven.lab.election_faults import Fault, FaultKind, draw_schedule
from shelfhaven.lab.election_fleet import ElectionFleet, election_fleet
from shelfhaven.lab.etcd_stub import Mode
from shelfhaven.lab.fault_links import Rule
from shelfhaven.lab.fleet import FleetNode
from shelfhaven.lab.schedules import run_seeds

# Without message loss, because a TCP connection never loses single messages.
KINDS = {
    "etcd": (
        FaultKind.SUSPEND,
        FaultKind.KILL,
        FaultKind.DRAIN,
        FaultKind.CUT,
        FaultKind.STORE_DOWN,
        FaultKind.DELAY,
    ),
    # The members' own connections do not pass through the gates.
    "nodes": (FaultKind.SUSPEND, FaultKind.KILL, FaultKind.DRAIN),
}
MAX_FAULT_DURATION = 5.0  # seconds
RECOVERY_TIME = 30.0  # seconds after the last fault within which every task has a leader again
TASKS = 4
SURVIVORS_MIN = 2  # processes that keep running
CHECK_INTERVAL = 0.1  # seconds


class ScheduleRunner:
    """Runs one fault schedule on one fleet of processes."""

    def __init__(self, elections: ElectionFleet, faults: Sequence[Fault]) -> None:
        self.elections = elections
        self.faults = faults
        self.end_tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Cause each fault at its time, and wait until the last one has ended."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for fault in self.faults:
            await asyncio.sleep(max(0.0, started_at + fault.at - loop.time()))
            await self._begin_fault(fault)
        await asyncio.gather(*self.end_tasks)

    def _end_after(self, seconds: float, end: Callable[[], Awaitable[object] | None]) -> None:
        async def wait_and_end() -> None:
            """End the fault after its duration."""
            await asyncio.sleep(seconds)
            result = end()
            if result is not None:
                await result

        self.end_tasks.append(asyncio.ensure_future(wait_and_end()))

    async def _begin_fault(self, fault: Fault) -> None:
        seconds = min(MAX_FAULT_DURATION, fault.seconds)
        names = [self.elections.nodes[number].name for number in fault.nodes]
        running = [node for node in (self.elections.fleet.nodes[name] for name in names) if node.running]
        match fault.kind:
            case FaultKind.SUSPEND:
                for node in running:
                    self.elections.fleet.suspend(node)
                    self._end_after(seconds, partial(self.elections.fleet.resume, node))
            case FaultKind.KILL | FaultKind.DRAIN:
                for node in running[: max(0, len(self.elections.fleet.running()) - SURVIVORS_MIN)]:
                    await self._end_process(fault.kind, node)
                    self._end_after(seconds, partial(self._restart, node))
            case _:
                self._begin_store_fault(fault, names, seconds)

    def _begin_store_fault(self, fault: Fault, names: list[str], seconds: float) -> None:
        net, store = self.elections.fleet.net, self.elections.store
        match fault.kind:
            case FaultKind.CUT:
                net.cut(names, ["store"])
                self._end_after(seconds, partial(net.cut, names, ["store"], None))
            case FaultKind.STORE_DOWN if store:
                store.mode = Mode.HANG
                self._end_after(seconds, partial(setattr, store, "mode", Mode.SERVE))
            case FaultKind.DELAY:
                for name in names:
                    net.set(name, "store", Rule(delay=fault.severity))
                self._end_after(seconds, partial(self._end_delay, names))

    async def _end_process(self, kind: FaultKind, node: FleetNode) -> None:
        self.elections.fleet.resume(node)
        if kind is FaultKind.KILL:
            await self.elections.fleet.kill(node)
        else:
            self._end_after(0.0, partial(self.elections.fleet.drain, node))

    async def _restart(self, node: FleetNode) -> None:
        if node.process:
            await node.process.wait()
        await self.elections.fleet.start(node)

    def _end_delay(self, names: list[str]) -> None:
        for name in names:
            self.elections.fleet.net.set(name, "store", None)


async def find_breaches(faults: Sequence[Fault], nodes: int, engine: str = "etcd") -> list[str]:
    """Run a schedule on a number of processes and describe the breaches of invariants."""
    async with election_fleet(engine, nodes, check_history=False) as elections:
        elections.tasks = [f"duty{number}" for number in range(TASKS)]
        elections.send_interval = "100ms"
        await elections.fleet.start_all()
        await ScheduleRunner(elections, faults).run()
        found: list[str] = []
        try:
            async with asyncio.timeout(RECOVERY_TIME):
                while set(elections.tasks_led()) != set(elections.tasks):
                    await asyncio.sleep(CHECK_INTERVAL)
        except TimeoutError:
            leaderless = sorted(set(elections.tasks) - set(elections.tasks_led()))
            found.append(f"{leaderless} without a leader {RECOVERY_TIME:.0f} s after the last fault")
        found += election_checker.find_breaches(elections.fleet.whole_history(), elections.actions(), 0.0)
        if not elections.batches_in_order():
            found.append("batches sent out of order or left out")
        return found


def main() -> int:
    """Run random schedules; print each failing one after shrinking it."""
    parser = argparse.ArgumentParser(description="Run leader election on real processes under random faults.")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--nodes", type=int, default=12)
    parser.add_argument("--engine", choices=sorted(KINDS), default="etcd")
    parser.add_argument("--seconds", type=float, default=40.0)
    options = parser.parse_args()
    return run_seeds(
        range(options.first, options.first + options.seeds),
        lambda seed: draw_schedule(seed, options.nodes, options.seconds, KINDS[options.engine]),
        lambda _, faults: asyncio.run(find_breaches(faults, options.nodes, options.engine)),
    )


if __name__ == "__main__":
    sys.exit(main())
