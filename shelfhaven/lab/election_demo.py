"""Demo of leader election: a leader is suspended while it works, is replaced, resumes, and is rejected.

The demo causes the faults and prints what happens; three real nodes elect the leader among themselves.
"""

from __future__ import annotations

import asyncio
import time

import click

from shelfhaven.lab import election_checker
from shelfhaven.lab.election_fleet import LEASE_DURATION, ElectionFleet, election_fleet, soon
from shelfhaven.lab.fault_links import Rule
from shelfhaven.lab.fleet import FleetNode

TIMEOUT = 90.0  # seconds for the whole demo
LEADER_TIMEOUT = 40.0  # seconds until a task has a leader
# Seconds that an action takes to arrive: longer than the lease and the election of a successor.
ACTION_DELAY = 6.0


def _echo(started_at: float, text: str) -> None:
    click.echo(f"{time.time() - started_at:6.2f} s  {text}")


async def _run(started_at: float) -> int:
    async with election_fleet("nodes", 3, check_history=False) as elections:
        await _start_behind_gate(elections)
        _echo(
            started_at, "three nodes start and form the consensus store; the singleton task is to send a file"
        )
        second = await _replace_suspended_leader(elections, started_at)
        await elections.fleet.drain(second)
        third = await elections.wait_for_leader(other_than=second, timeout=LEADER_TIMEOUT)
        _echo(started_at, f"{second.name} was drained and handed the task over: {third.name} leads it")
        return _report(elections, started_at)


async def _start_behind_gate(elections: ElectionFleet) -> None:
    """Start all nodes, with a gate in front of the target through which their actions can be delayed."""
    gate = await elections.fleet.net.gate("target", 0, elections.target.port, source="leaders")
    # the operator's file gets the address of the gate
    port, elections.target.port = elections.target.port, gate.port
    await elections.fleet.start_all()
    elections.target.port = port


async def _replace_suspended_leader(elections: ElectionFleet, started_at: float) -> FleetNode:
    """Suspend the first leader with an action in transit, and resume it when it has been replaced."""
    fleet, target = elections.fleet, elections.target
    first = await elections.wait_for_leader(timeout=LEADER_TIMEOUT)
    sent = _batches_sent(elections)
    _echo(started_at, f"{first.name} leads with fencing token {_fencing_token(first)}, {sent} batches sent")
    await soon(lambda: len(target.applied("settle")) > 20)
    fleet.net.set("leaders", "target", Rule(delay=ACTION_DELAY))
    await asyncio.sleep(0.5)
    fleet.suspend(first)
    _echo(
        started_at,
        f"{first.name} is suspended (SIGSTOP) with a batch in transit; its lease lasts {LEASE_DURATION:g} s",
    )
    await asyncio.sleep(0.2)
    fleet.net.set("leaders", "target", None)
    second = await elections.wait_for_leader(other_than=first, timeout=LEADER_TIMEOUT)
    token = _fencing_token(second)
    _echo(started_at, f"{second.name} leads with fencing token {token} and continues from the checkpoint")
    applied = len(target.applied("settle"))
    await soon(lambda: len(target.applied("settle")) > applied + 10)
    await soon(lambda: election_checker.count_rejected(elections.actions()) > 0)
    _echo(started_at, f"the delayed batch of {first.name} arrives and is rejected for its fencing token")
    fleet.resume(first)
    _echo(started_at, f"{first.name} is resumed (SIGCONT)")
    await soon(lambda: _last_state(first) == "without")
    for line in first.events("duty")[-2:]:
        _echo(started_at, f"{first.name}: {line['state']}, {line['why']}")
    return second


def _report(elections: ElectionFleet, started_at: float) -> int:
    """Print a summary and every breach of an invariant; return the exit code."""
    breaches = election_checker.find_breaches(elections.fleet.whole_history(), elections.actions(), 0.0)
    rejected = election_checker.count_rejected(elections.actions())
    order_text = "in the order of the file" if elections.batches_in_order() else "out of order"
    gaps = election_checker.leaderless_gaps(elections.leaderships(), "settle")
    sent = _batches_sent(elections)
    _echo(
        started_at,
        f"{sent} batches {order_text}; {rejected} delayed batches rejected for their fencing token",
    )
    _echo(started_at, f"without a leader for {', '.join(f'{gap:.2f}' for gap in gaps)} s")
    for breach in breaches:
        _echo(started_at, f"breach: {breach}")
    return 1 if breaches or not elections.batches_in_order() else 0


def _batches_sent(elections: ElectionFleet) -> int:
    return len({request.key for request in elections.target.applied("settle")})


def _fencing_token(node: FleetNode) -> int:
    lines = [line for line in node.events("duty") if line["state"] == "holding"]
    return int(lines[-1]["fence"]) if lines else 0


def _last_state(node: FleetNode) -> str:
    lines = node.events("duty")
    return str(lines[-1]["state"]) if lines else ""


def main() -> int:
    """Run the demo and return its exit code: 1 if an invariant was breached or a batch was out of order."""

    async def run_with_timeout() -> int:
        """Run the demo within its time limit."""
        async with asyncio.timeout(TIMEOUT):
            return await _run(time.time())

    return asyncio.run(run_with_timeout())
