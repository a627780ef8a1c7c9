"""Fleets of real processes in three zones: quorum replicas that drain, restart or fail during a transfer."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from itertools import pairwise

from shelfhaven.lab.election_fleet import soon
from shelfhaven.lab.failover_fleet import World, voting
from shelfhaven.lab.fault_links import Rule
from shelfhaven.lab.fleet import FleetNode
from tests.fleets import played

KEY_TTL, DEADLINE = 8.0, 1.5  # seconds; of the request class with idempotency keys
RESERVATION_DURATION = KEY_TTL + DEADLINE
MAX_RESTORE_TIME = 2.75  # seconds; far shorter than a reservation


def world_with_long_reservations() -> AbstractAsyncContextManager[World]:
    """Start a world in which keys are reserved for far longer than a test retries them."""
    return voting(topup=f'deadline="{DEADLINE}s" window="{KEY_TTL}s"')


async def serve(world: World, node: FleetNode, key: str) -> None:
    """Send a request with an idempotency key to a node, and check that it is served."""
    reply = await world.topped_up(node, key)
    assert reply
    assert reply.status == 200


async def assert_no_second_run(world: World, key: str, seconds: float) -> None:
    """Retry at all nodes for some seconds: each retry is answered, and none runs."""
    until = time.time() + seconds
    round_times: list[float] = []
    while time.time() < until:
        for node in world.fleet.running():
            assert await world.topped_up(node, key), "each retry gets a final answer"
        round_times.append(time.time())
    run_times = sorted(run.at for run in world.runs_of(key))
    assert round_times[0] < run_times[0] + KEY_TTL, "all nodes got a retry while the key was reserved"
    assert all(later - earlier >= KEY_TTL for earlier, later in pairwise(run_times))


async def restart(world: World, replica: FleetNode, while_stopped: Callable[[], None] = lambda: None) -> None:
    """Drain a replica, call `while_stopped`, and start the replica again."""
    assert await world.fleet.drain(replica) == 0
    while_stopped()
    await world.fleet.start(replica)


@played
async def test_replicas_restarted_one_by_one_lose_no_votes_and_vote_at_once() -> None:
    async with world_with_long_reservations() as world:
        world.start_load(0.1, keyed=True)
        for number, replica in enumerate(world.replicas()):
            key = f"k{number}"
            await serve(world, world.nodes[5 - number], key)
            await restart(world, replica)
            restarted_at = time.time()
            await soon(lambda replica=replica: replica.events("keeper_back"))  # type: ignore[misc]
            assert (
                time.time() - restarted_at < MAX_RESTORE_TIME
            ), "it does not wait until every reservation has expired"
            await assert_no_second_run(world, key, 0.5)
        all_restarted_at = time.time()
        for node in world.nodes[3:]:
            await serve(world, node, f"fresh{node.name}")
        assert (
            time.time() - all_restarted_at < 1.0
        ), "all three replicas vote, though all were restarted within the time of one reservation"
        restored_events = [line for replica in world.replicas() for line in replica.events("keeper_back")]
        assert sum(line["votes"] for line in restored_events) > 30


@played
async def test_votes_are_lost_if_the_replica_that_stores_them_is_killed_and_no_key_runs_twice() -> None:
    async with world_with_long_reservations() as world:
        first, second, third = world.replicas()
        await serve(world, world.nodes[4], "k1")
        assert await world.fleet.drain(first) == 0
        receiver = {replica.name: replica for replica in (second, third)}[
            first.events("keeper_left")[-1]["to"]
        ]
        await world.fleet.kill(receiver)  # the votes of the first replica are lost with it
        await world.fleet.start(first)
        await world.fleet.start(receiver)
        restarted_at = time.time()
        rejected = await world.topped_up(world.nodes[4], "k2")
        assert rejected
        assert rejected.not_run, "two of three replicas have lost their votes"
        await assert_no_second_run(world, "k1", 3.0)
        assert not first.events("keeper_back")
        served = None
        while served is None or served.status != 200:
            served = await world.topped_up(world.nodes[4], "k2")
            await asyncio.sleep(0.1)
        assert time.time() - restarted_at > RESERVATION_DURATION * 0.8


@played
async def test_replica_killed_after_it_restored_its_votes_cannot_restore_them_again() -> None:
    async with world_with_long_reservations() as world:
        first, second, third = world.replicas()
        await restart(world, first)
        await soon(lambda: first.events("keeper_back"))
        await world.fleet.kill(third)  # the first and second replicas are the majority that grants k1
        await serve(world, world.nodes[4], "k1")
        await world.fleet.kill(first)
        await world.fleet.start(first)
        await world.fleet.start(third)
        await soon(lambda: first.events("keeper_waits"))
        assert not first.events("keeper_back"), "the snapshot lacks the vote on k1"
        await world.fleet.kill(world.nodes[4])
        await assert_no_second_run(world, "k1", 2.5)
        assert second.running


@played
async def test_replica_partitioned_while_draining_hands_over_no_votes_and_waits_after_restart() -> None:
    async with world_with_long_reservations() as world:
        first = world.replicas()[0]
        await serve(world, world.nodes[4], "k1")
        world.cut(first.zone, store=False)
        await restart(world, first)
        assert first.events("keeper_back") == []
        world.cut(first.zone, store=False, rule=None)
        await soon(lambda: first.events("keeper_waits"))
        assert first.events("keeper_waits")[-1]["seconds"] > 1.0
        hand_overs = [line for line in first.logged() if line["event"] == "keeper_left"]
        assert hand_overs[-1]["to"] == ""
        await assert_no_second_run(world, "k1", 2.0)


@played
async def test_replica_restores_its_votes_once_the_network_has_recovered() -> None:
    async with world_with_long_reservations() as world:
        first = world.replicas()[0]
        await serve(world, world.nodes[4], "k1")
        await restart(world, first, lambda: world.cut(first.zone, store=False, rule=Rule(reset=True)))
        await asyncio.sleep(1.5)
        assert not first.events("keeper_back")
        assert not first.events("keeper_waits"), "no replica has answered that it has no snapshot"
        world.cut(first.zone, store=False, rule=None)
        await soon(lambda: first.events("keeper_back"))
        assert first.events("keeper_back")[-1]["votes"] == 1
        await assert_no_second_run(world, "k1", 0.5)
