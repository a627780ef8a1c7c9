"""Fleets of real processes in three zones: a key runs once, whichever zones receive its requests."""

from __future__ import annotations

import asyncio
import base64
import time

from shelfhaven.config import Address
from shelfhaven.lab.backend_stub import StubMode
from shelfhaven.lab.callers import Reply, Router, connect
from shelfhaven.lab.election_fleet import soon
from shelfhaven.lab.failover_fleet import voting
from shelfhaven.lab.fault_links import Rule
from tests.fleets import play

RESERVATION_DURATION = 5.5  # seconds; key TTL and deadline of `failover_fleet.TOPUP`


def test_duplicate_in_another_zone_gets_the_result_of_the_single_run() -> None:
    async def check() -> None:
        async with voting() as world:
            first = await world.topped_up(world.nodes_in("z0")[1], "k1")
            assert first
            assert first.status == 200
            for node in world.nodes:
                duplicate = await world.topped_up(node, "k1")
                assert duplicate
                assert (duplicate.status, duplicate.body) == (200, first.body)
            assert len(world.runs_of("k1")) == 1
            other = await world.topped_up(world.nodes_in("z1")[0], "k1", b"another amount")
            assert other
            assert other.status == 200, "another body under the same key is a different request"
            world.ran.remove(world.runs_of("k1")[1])
            # the run is still in progress: the duplicate waits for it, as it would at the same node
            for backend in world.backends.values():
                backend.release.clear()
            tasks = [
                asyncio.ensure_future(world.topped_up(node, "k2"))
                for node in (world.nodes[3], world.nodes[5])
            ]
            await soon(lambda: world.runs_of("k2"))
            await asyncio.sleep(0.3)
            for backend in world.backends.values():
                backend.release.set()
            replies = await asyncio.gather(*tasks)
            assert [reply.status for reply in replies if reply] == [200, 200]
            assert len(world.runs_of("k2")) == 1

    play(check)


def test_duplicate_by_another_protocol_in_another_zone_gets_the_same_result() -> None:
    async def check() -> None:
        async with voting(with_routers=True) as world:
            body = base64.b64encode(b"100").decode()
            first = await world.topped_up(world.nodes_in("z0")[1], "k1")
            assert first
            assert first.status == 200
            router = Router(*await connect(Address("127.0.0.1", world.nodes_in("z1")[1].routers)))
            router.request(1, "topup", dedupe="k1", body=body)
            answer = await router.answer(1)
            assert "result" in answer, answer
            assert base64.b64decode(answer["result"]["body"]) == first.body
            router.request(2, "topup", dedupe="k2", body=body)
            second = await router.answer(2)
            duplicate = await world.topped_up(world.nodes_in("z2")[1], "k2")
            assert duplicate
            assert duplicate.body == base64.b64decode(second["result"]["body"])
            assert [len(world.runs_of(key)) for key in ("k1", "k2")] == [1, 1]
            await router.close()

    play(check)


def test_run_in_a_failed_zone_is_not_repeated_elsewhere_within_its_key_ttl() -> None:
    async def check() -> None:
        async with voting() as world:
            failing_node = world.nodes_in("z1")[1]
            first = await world.topped_up(failing_node, "k1")
            assert first
            assert first.status == 200
            failed_at = time.time()
            for node in world.nodes_in("z1"):
                await world.fleet.kill(node)
            world.backends["z1"].stop()
            while time.time() - failed_at < 2.5:
                for node in world.fleet.running():
                    duplicate = await world.topped_up(node, "k1")
                    assert duplicate
                    assert duplicate.status >= 500
                    assert not duplicate.not_run, "it may have run, so it must not be reported as not run"
            assert len(world.runs_of("k1")) == 1
            fresh = await world.topped_up(world.nodes_in("z0")[0], "k2")
            assert fresh
            assert fresh.status == 200, "two of three zones are a majority"
            await asyncio.sleep(max(0.0, failed_at + RESERVATION_DURATION * 1.05 + 0.5 - time.time()))
            late = await world.topped_up(world.nodes_in("z2")[1], "k1")
            assert late
            assert late.status == 200, "its reservation has expired"
            world.ran.remove(world.runs_of("k1")[1])

    play(check)


def test_concurrent_duplicates_at_all_nodes_run_at_most_once_and_each_is_answered() -> None:
    async def check() -> None:
        async with voting() as world:
            served = 0
            for number in range(12):
                key = f"k{number}"
                replies = await asyncio.gather(*(world.topped_up(node, key) for node in world.nodes))
                assert all(replies), "each request gets a final answer"
                bodies = {reply.body for reply in replies if reply and reply.status == 200}
                assert len(bodies) <= 1
                assert len(world.runs_of(key)) == len(bodies)
                served += len(bodies)
                if not bodies:  # no node got a majority: all callers were told that nothing ran
                    assert all(reply.not_run for reply in replies if reply)
            assert served > 0

    play(check)


def test_without_a_majority_of_replicas_keyed_requests_are_rejected_at_once_and_others_are_served() -> None:
    async def check() -> None:
        async with voting() as world:
            for node in (world.nodes[0], world.nodes[1]):  # replicas of two zones
                await world.fleet.kill(node)
            started_at = time.monotonic()
            reply = await world.topped_up(world.nodes[5], "k1")
            assert reply
            assert time.monotonic() - started_at < 1.0, "it is not delayed until its deadline"
            assert reply.status in (429, 503)
            assert reply.not_run
            assert "retry-after" in reply.fields
            assert world.runs_of("k1") == []
            assert (await world.nodes[5].ask("GET", "/balance/1")).status == 200
            for node in (world.nodes[0], world.nodes[1]):
                await world.fleet.start(node)
            restarted_at = time.time()
            replies: list[Reply] = []
            while not replies or replies[-1].status != 200:
                retry = await world.topped_up(world.nodes[5], "k1")
                assert retry
                replies.append(retry)
                await asyncio.sleep(0.1)
            assert (
                time.time() - restarted_at > RESERVATION_DURATION * 0.9
            ), "restarted replicas grant nothing until reservations have expired"
            assert len(world.runs_of("k1")) == 1

    play(check)


def test_replicas_that_lost_their_votes_allow_no_second_run() -> None:
    async def check() -> None:
        async with voting() as world:
            first = await world.topped_up(world.nodes[3], "k1")
            assert first
            assert first.status == 200
            for node in (world.nodes[1], world.nodes[2]):  # two of three replicas lose their votes
                await world.fleet.kill(node)
                await world.fleet.start(node)
            await world.fleet.kill(world.nodes[3])
            killed_at = time.time()
            while time.time() - killed_at < 3.0:
                duplicate = await world.topped_up(world.nodes[4], "k1")
                assert duplicate
                assert duplicate.status != 200
                await asyncio.sleep(0.1)
            assert len(world.runs_of("k1")) == 1

    play(check)


def test_lost_and_late_votes_and_a_partition_cause_no_second_run_and_no_missing_answer() -> None:
    async def check() -> None:
        async with voting() as world:
            for name in world.fleet.nodes:
                world.fleet.net.set("*", name, Rule(loss=0.2, jitter=0.08))
            world.cut("z2", store=False)
            replies = []
            for number in range(30):
                nodes = [
                    world.nodes_in("z0")[number % 2],
                    world.nodes_in("z1")[number % 2],
                    world.nodes_in("z2")[number % 2],
                ]
                replies += await asyncio.gather(*(world.topped_up(node, f"k{number}") for node in nodes))
            assert all(replies), "each request gets a final answer"
            assert sum(reply.status == 200 for reply in replies if reply) > 10
            partitioned = [reply for reply in replies[2::3] if reply]
            assert all(
                reply.status != 200 for reply in partitioned
            ), "a node that reaches only one of three replicas runs nothing"

    play(check)


def test_run_that_never_started_frees_its_key_for_other_zones() -> None:
    async def check() -> None:
        async with voting() as world:
            for backend in world.backends.values():
                backend.mode = StubMode.REJECT
            rejected = await world.topped_up(world.nodes[3], "k1")
            assert rejected
            assert rejected.not_run
            for backend in world.backends.values():
                backend.mode = StubMode.SERVE
            served = await world.topped_up(world.nodes[4], "k1")
            assert served
            assert served.status == 200
            assert len(world.runs_of("k1")) == 1

    play(check)
