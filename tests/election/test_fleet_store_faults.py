"""Leader election in fleets of several processes, with faults of the store and of the network.

At the end of most tests, the checker verifies from the logs of the processes and the requests at the target
that each task had at most one leader at a time.
"""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

import pytest

from shelfhaven.lab import election_checker
from shelfhaven.lab.election_fleet import LEASE_DURATION, election_fleet, soon
from shelfhaven.lab.etcd_stub import EtcdStub, Mode
from shelfhaven.lab.fault_links import Rule
from tests.fleets import play

STEPPED, ROOT = Path(__file__).parents[1] / "stepped", Path(__file__).parents[2]
ENGINES = ("etcd", "nodes")


@pytest.mark.parametrize("engine", ENGINES)
def test_a_leader_cut_off_from_the_store_stops_before_another_starts(engine: str) -> None:
    async def check() -> None:
        async with election_fleet(engine) as elections:
            await elections.fleet.start_all()
            first = await elections.wait_for_leader()
            if engine == "nodes" and first.name in elections.member_ports:
                # Members connect to each other without a gate, so the process is suspended instead.
                elections.fleet.suspend(first)
                await elections.wait_for_leader(other_than=first)
                elections.fleet.resume(first)
            else:
                rest = [node.name for node in elections.nodes if node is not first]
                elections.fleet.net.cut([first.name], ["store", *rest])
                second = await elections.wait_for_leader(other_than=first)
                uncertain = [line for line in first.events("duty") if line["state"] == "doubtful"]
                acquired = [line for line in second.events("duty") if line["state"] == "holding"]
                assert uncertain[-1]["at"] <= acquired[-1]["at"]
                assert (await first.ask("GET", "/balance/1")).status == 200, "requests are still answered"
                elections.fleet.net.cut([first.name], ["store", *rest], None)
            await soon(lambda: any(line["state"] == "without" for line in first.events("duty")))

    play(check)


def test_repeated_cuts_shorter_than_the_lease_do_not_change_the_leader() -> None:
    async def check() -> None:
        async with election_fleet("etcd") as elections:
            await elections.fleet.start_all()
            first = await elections.wait_for_leader()
            for _ in range(6):
                elections.fleet.net.set(first.name, "store", Rule(reset=True))
                await asyncio.sleep(0.3)
                elections.fleet.net.set(first.name, "store", None)
                await asyncio.sleep(0.7)
            assert elections.leader() is first
            states = {line["state"] for line in first.events("duty")}
            assert states <= {"asking", "holding", "doubtful"}

    play(check)


def test_a_cut_in_one_direction_ends_leadership_in_time() -> None:
    async def check() -> None:
        async with election_fleet("etcd") as elections:
            await elections.fleet.start_all()
            first = await elections.wait_for_leader()
            # Requests reach the store, but its answers do not come back.
            elections.fleet.net.set("store", first.name, Rule(blackhole=True))
            await soon(lambda: first.events("duty")[-1]["state"] == "doubtful")
            uncertain_at = time.time()
            await asyncio.sleep(0.3)
            assert not elections.effects_since(uncertain_at + 0.1) or elections.leader() is not first
            elections.fleet.net.set("store", first.name, None)
            await elections.wait_for_leader()

    play(check)


def test_lost_answers_and_a_leaderless_store_never_cause_two_leaders() -> None:
    async def check() -> None:
        async with election_fleet("etcd") as elections:
            assert elections.store
            # The first acquisitions are applied, but their answers are lost.
            elections.store.lost_answers["Txn"] = 2
            await elections.fleet.start_all()
            first = await elections.wait_for_leader()
            elections.store.lost_answers["LeaseKeepAlive"] = 2
            elections.store.lost_answers["LeaseGrant"] = 1
            await asyncio.sleep(LEASE_DURATION)
            first = await elections.wait_for_leader()
            elections.store.mode = Mode.LEADERLESS
            await soon(lambda: elections.leader() is None)
            assert (await first.ask("GET", "/balance/1")).status == 200
            elections.store.mode = Mode.SERVE
            await elections.wait_for_leader()
            elections.store.lost_answers["Txn"] = 1
            holder = elections.leader()
            assert holder
            # The release is applied, or the next change, but its answer is lost.
            await elections.fleet.drain(holder)
            await elections.wait_for_leader(other_than=holder)

    play(check)


def test_leases_that_expire_early_and_a_store_that_loses_its_data_are_survived() -> None:
    async def check() -> None:
        async with election_fleet("etcd", tolerance=LEASE_DURATION) as elections:
            assert elections.store
            await elections.fleet.start_all()
            await elections.wait_for_leader()
            elections.store.lease_fraction = 0.25  # leases expire before they are renewed
            await asyncio.sleep(2 * LEASE_DURATION)
            elections.store.lease_fraction = 1.0
            elections.store.compact()
            elections.store.end_watches()
            await elections.wait_for_leader()
            elections.store.replace_with_empty()  # like a new store, without any fencing token
            began = time.time()
            await soon(lambda: elections.effects_since(began + LEASE_DURATION) > 5)
            tokens = [effect.fencing_token for effect in elections.target.applied("settle")]
            assert tokens == sorted(tokens), "new tokens are above those that the target has seen"

    play(check)


def test_all_nodes_move_to_another_store_on_sighup() -> None:
    async def check() -> None:
        async with EtcdStub() as new_store, election_fleet("etcd") as elections:
            await elections.fleet.start_all()
            await elections.wait_for_leader()
            # SIGHUP would kill a process that has not blocked the signal yet.
            await soon(lambda: all(node.events("phase") for node in elections.nodes))
            for node in elections.nodes:
                node.store_gate = await elections.fleet.net.gate("store", 0, new_store.port, source=node.name)
                elections.fleet.write(node)
            for node in elections.nodes:
                node.send(signal.SIGHUP)
            began = time.time()
            await soon(lambda: all(node.events("reloaded") for node in elections.nodes))
            await soon(
                lambda: new_store.requests_by_method["Txn"] and elections.effects_since(began + 1.0) > 5
            )
            holders = {line["server"] for node in elections.nodes for line in node.events("duty")[-1:]
                       if line["state"] == "holding"}  # fmt: skip
            assert len(holders) == 1

    play(check)


def test_the_raft_journal_survives_a_restart_of_all_members() -> None:
    async def check() -> None:
        async with election_fleet("nodes", 3) as elections:
            await elections.fleet.start_all()
            await elections.wait_for_leader()
            await soon(lambda: len(elections.target.applied("settle")) > 20)
            highest = elections.target.highest_tokens["settle"]
            for node in elections.nodes:
                await elections.fleet.kill(node)
            await elections.fleet.start_all()
            await elections.wait_for_leader()
            assert elections.target.highest_tokens["settle"] > highest
            assert elections.batches_in_order(), "the checkpoint was preserved"

    play(check)


def test_a_minority_that_alone_reaches_the_store_gets_the_task() -> None:
    async def check() -> None:
        async with election_fleet("etcd") as elections:
            await elections.fleet.start_all()
            first = await elections.wait_for_leader()
            await soon(lambda: elections.fleet.all_know(5))
            connected = [node for node in elections.nodes if node is not first][:2]
            cut_off = [node for node in elections.nodes if node not in connected]
            elections.fleet.net.cut([node.name for node in cut_off], ["store"])
            second = await elections.wait_for_leader(other_than=first)
            assert second in connected
            elections.fleet.net.cut([node.name for node in cut_off], ["store"], None)
            await soon(lambda: first.events("duty")[-1]["state"] == "without")
            await soon(lambda: elections.leader() not in (None, first))

    play(check)


def test_a_leader_that_its_peers_cannot_reach_stays_leader() -> None:
    async def check() -> None:
        async with election_fleet("etcd") as elections:
            await elections.fleet.start_all()
            first = await elections.wait_for_leader()
            elections.fleet.net.cut(
                [first.name], [node.name for node in elections.nodes if node is not first]
            )
            await asyncio.sleep(2 * LEASE_DURATION)
            assert elections.leader() is first
            assert {line["state"] for line in first.events("duty")} <= {"asking", "holding"}

    play(check)


def test_wall_clock_steps_of_an_hour_do_not_change_the_leader() -> None:
    async def check() -> None:
        async with election_fleet("etcd", 4, check_history=False) as elections:
            for number, name in enumerate(elections.fleet.nodes):
                step = (3600, -3600, 7200, 0)[number]
                elections.fleet.env[name] = {
                    "PYTHONPATH": f"{STEPPED}:{ROOT}", "STEP_BY": str(step), "STEP_AFTER": "4",
                }  # fmt: skip
            await elections.fleet.start_all()
            first = await elections.wait_for_leader()
            for node in elections.nodes[:3]:
                await soon(lambda node=node: abs(node.logged()[-1]["at"] - time.time()) > 1800)  # type: ignore[misc]
            stepped_at = time.time()
            await asyncio.sleep(2 * LEASE_DURATION)
            assert elections.leader() is first
            assert elections.effects_since(stepped_at) > 5
            assert {line["state"] for line in first.events("duty")} <= {"asking", "holding"}
            await elections.fleet.kill(first)
            await elections.wait_for_leader(other_than=first)
            assert election_checker.find_effect_breaches(elections.actions()) == []

    play(check)
