"""Leader election in fleets of several processes, of which some are suspended, killed or drained.

At the end of most tests, the checker verifies from the logs of the processes and the requests at the target
that each task had at most one leader at a time.
"""

from __future__ import annotations

import asyncio
import signal
import time
from functools import partial

import pytest

from shelfhaven.lab import election_checker, election_scenario
from shelfhaven.lab.backend_stub import StubMode
from shelfhaven.lab.election_faults import draw_schedule
from shelfhaven.lab.election_fleet import LEASE_DURATION, election_fleet, soon
from shelfhaven.lab.fault_links import Rule
from shelfhaven.lab.target_stub import Mode as TargetMode
from tests.fleets import play

ENGINES = ("etcd", "nodes")


@pytest.mark.parametrize("engine", ENGINES)
def test_a_leader_that_drains_hands_over_and_one_that_is_killed_is_replaced(engine: str) -> None:
    async def check() -> None:
        async with election_fleet(engine) as elections:
            await elections.fleet.start_all()
            first = await elections.wait_for_leader()
            await soon(lambda: len(elections.target.applied("settle")) > 10)
            assert await elections.fleet.drain(first) == 0
            second = await elections.wait_for_leader(other_than=first)
            gaps = election_checker.leaderless_gaps(elections.leaderships(), "settle")
            # A member that leaves may have been the Raft leader; then another must be elected first.
            max_gap = LEASE_DURATION if engine == "etcd" else 3 * LEASE_DURATION
            assert max(gaps) < max_gap, "the hand-over did not wait for the lease to expire"
            await soon(lambda: len(elections.target.applied("settle")) > 30)
            if engine == "nodes":  # a majority of the members must remain
                await elections.fleet.start(first)
                await soon(lambda: first.events("phase"))
            await elections.fleet.kill(second)
            await elections.wait_for_leader(other_than=second)
            assert elections.batches_in_order(), "each leader continued where the previous one stopped"

    play(check)


@pytest.mark.parametrize("engine", ENGINES)
def test_a_leader_suspended_in_the_middle_of_an_action_is_rejected_when_it_resumes(engine: str) -> None:
    async def check() -> None:
        async with election_fleet(engine) as elections:
            await elections.fleet.start_all()
            first = await elections.wait_for_leader()
            elections.target.delay = 0.3  # so that an action is in progress at any time
            await soon(lambda: len(elections.target.applied("settle")) > 10)
            elections.fleet.suspend(first)
            await elections.wait_for_leader(other_than=first)
            began = time.time()
            await soon(lambda: elections.effects_since(began) > 5)
            leading = [line for line in first.events("duty") if line["state"] == "holding"]
            suspended_token = leading[-1]["fence"]
            resumed_at = time.time()
            elections.fleet.resume(first)
            ended = {"duty": "settle", "state": "without", "fence": suspended_token}
            await soon(lambda: any(ended.items() <= line.items() for line in first.events("duty")))
            # It may lead again, in a new term, as a quorum member that resumes disturbs the store.
            began = time.time()
            await soon(lambda: elections.effects_since(began) > 5)
            since = [request for request in elections.target.applied("settle") if request.at >= resumed_at]
            assert min(request.fencing_token for request in since) > suspended_token

    play(check)


def test_an_action_delayed_past_its_lease_is_rejected_by_its_token() -> None:
    async def check() -> None:
        async with election_fleet("etcd") as elections:
            gate = await elections.fleet.net.gate("book", 0, elections.target.port, source="holders")
            target_port, elections.target.port = elections.target.port, gate.port  # nodes connect to the gate
            await elections.fleet.start_all()
            elections.target.port = target_port
            first = await elections.wait_for_leader()
            elections.fleet.net.set("holders", "book", Rule(delay=1.5))
            await asyncio.sleep(0.3)
            elections.fleet.suspend(first)  # its last requests are delayed in the gate
            elections.fleet.net.set("holders", "book", None)
            await elections.wait_for_leader(other_than=first)
            elections.fleet.resume(first)
            began = time.time()
            await soon(lambda: elections.effects_since(began) > 5)
            await soon(lambda: elections.leader() not in (None, first))

    play(check)


def test_a_drain_while_leadership_is_uncertain_ends_in_time() -> None:
    async def check() -> None:
        async with election_fleet("etcd") as elections:
            await elections.fleet.start_all()
            first = await elections.wait_for_leader()
            elections.fleet.net.cut([first.name], ["store"])
            await soon(lambda: first.events("duty")[-1]["state"] == "doubtful")
            began = time.monotonic()
            assert await elections.fleet.drain(first) == 0
            assert time.monotonic() - began < 4.0
            await elections.wait_for_leader(other_than=first)

    play(check)


@pytest.mark.parametrize("after", [0.0, 0.04, 0.15])
def test_a_task_survives_a_kill_at_any_step_of_a_hand_over(after: float) -> None:
    async def check() -> None:
        async with election_fleet("etcd") as elections:
            await elections.fleet.start_all()
            first = await elections.wait_for_leader()
            first.send(signal.SIGTERM)
            elections.fleet.note(first.name, "told to leave")
            await asyncio.sleep(after)
            await elections.fleet.kill(first)
            second = await elections.wait_for_leader(other_than=first)
            began = time.time()
            second.send(signal.SIGTERM)
            await soon(lambda: (node := elections.leader()) is None or node is not second)
            if (third := elections.leader()) is not None:  # kill the successor while it takes over
                await asyncio.sleep(after)
                await elections.fleet.kill(third)
            await soon(
                lambda: elections.effects_since(began) > 0 and elections.leader() not in (None, first, second)
            )
            assert elections.batches_in_order()

    play(check)


def test_many_tasks_are_spread_and_survive_the_death_of_a_third_of_the_nodes_and_then_of_all() -> None:
    async def check() -> None:
        async with election_fleet("etcd", 6) as elections:
            elections.tasks, elections.send_interval = [f"duty{n:02}" for n in range(12)], "400ms"
            elections.election_settings = elections.election_settings.replace('settle="60s"', 'settle="2s"')
            await elections.fleet.start_all()
            await soon(lambda: set(elections.tasks_led()) == set(elections.tasks))
            # Nodes that started first hand tasks over, until none leads more than 1.25 times its even share.
            await soon(
                lambda: set(elections.tasks_led()) == set(elections.tasks) and elections.max_tasks_led() <= 3
            )
            for node in elections.nodes[:2]:
                await elections.fleet.kill(node)
            await soon(lambda: set(elections.tasks_led()) == set(elections.tasks))
            for node in elections.nodes[2:]:
                await elections.fleet.kill(node)
            await elections.fleet.start_all()
            began = time.time()
            await soon(lambda: all(elections.effects_since(began, duty) for duty in elections.tasks))

    play(check)


def test_a_target_that_hangs_fails_or_loses_its_answers_gets_each_batch_in_order() -> None:
    async def check() -> None:
        async with election_fleet("etcd", 4) as elections:
            await elections.fleet.start_all()
            await elections.wait_for_leader()
            for mode in (TargetMode.LOSE, TargetMode.HANG, TargetMode.FAIL):
                elections.target.mode = mode
                await asyncio.sleep(1.0)
                elections.target.mode = TargetMode.SERVE
                began = time.time()
                await soon(lambda began=began: elections.effects_since(began) > 3)  # type: ignore[misc]
            assert elections.batches_in_order()

    play(check)


def test_a_target_without_token_checks_has_one_leader_at_a_time_while_clocks_are_accurate() -> None:
    async def check() -> None:
        async with election_fleet("etcd", checks_tokens=False) as elections:
            elections.target_options = 'fenced false; accept-unfenced "settle"; within "500ms"'.replace(
                'within "500ms"', ""
            )
            await elections.fleet.start_all()
            first = await elections.wait_for_leader()
            elections.fleet.net.cut([first.name], ["store"])
            await elections.wait_for_leader(other_than=first)
            elections.fleet.net.cut([first.name], ["store"], None)
            await asyncio.sleep(1.0)
            tokens = [effect.fencing_token for effect in elections.target.applied("settle")]
            assert tokens == sorted(tokens)

    play(check)


def test_the_checker_detects_breaches() -> None:
    first_leads = {"at": 1.0, "server": "a", "event": "duty", "duty": "d", "state": "holding", "fence": 1}
    second_leads = first_leads | {"server": "b", "at": 2.0}
    first_ends = first_leads | {"at": 5.0, "state": "without"}
    history = [first_leads, second_leads | {"fence": 2}, first_ends]
    actions = [
        election_checker.TargetAction(1.0, "d", 2, "p1", True),
        election_checker.TargetAction(2.0, "d", 1, "p2", True),
    ]
    assert len(election_checker.find_effect_breaches(actions)) == 1
    assert election_checker.find_effect_breaches([*actions[:1], actions[0]]) != []
    assert len(election_checker.find_overlaps(election_checker.find_leaderships(history), 0.5)) == 1
    assert election_checker.find_overlaps(election_checker.find_leaderships(history), 4.0) == []
    assert len(election_checker.find_reused_tokens([first_leads, second_leads])) == 1
    suspended = [
        first_leads,
        {"at": 1.5, "server": "a", "event": "done", "what": "paused"},
        second_leads | {"fence": 2},
    ]
    assert election_checker.find_overlaps(election_checker.find_leaderships(suspended), 0.0) == []
    unhandled_error = {"at": 1.0, "server": "a", "event": "unhandled", "error": "x"}
    assert election_checker.find_breaches([unhandled_error], [], 0.0) == ["a: unhandled: x"]
    assert election_checker.find_breaches(history, actions, 0.0) != []


def test_operators_list_give_and_take_away_tasks() -> None:
    async def check() -> None:
        async with election_fleet("etcd", 4) as elections:
            await elections.fleet.start_all()
            first = await elections.wait_for_leader()
            await soon(lambda: elections.fleet.all_know(4))

            run_command = partial(first.command, "duties")
            output, code = await run_command("list")
            assert code == 0
            assert first.name in output
            output, _ = await run_command("show", "settle")
            line = next(line for line in output.splitlines() if line.startswith("candidates"))
            candidates = line.partition(": ")[2].split(", ")
            assert sorted(candidates) == sorted(elections.fleet.nodes)
            other = next(name for name in candidates if name != first.name)
            output, code = await run_command("give", "settle", other)
            assert (code, "nothing was changed" in output) == (0, True)
            assert (await run_command("give", "settle", "nobody", "--yes"))[1] == 2
            assert elections.leader() is first
            assert (await run_command("give", "settle", other, "--yes"))[1] == 0
            assert (await elections.wait_for_leader(other_than=first)).name == other
            assert (await run_command("take-away", "settle", "--yes"))[1] == 0
            ended = ("given up", "without")  # reached after the work has finished its current batch
            await soon(lambda: all(node.events("duty")[-1]["state"] in ended for node in elections.nodes
                                   if node.events("duty")))  # fmt: skip
            await asyncio.sleep(0.2)
            began = time.time()
            await asyncio.sleep(1.0)
            assert not elections.effects_since(began)
            assert (await run_command("give", "settle", "--yes"))[1] == 0
            await elections.wait_for_leader()
            assert elections.batches_in_order()

    play(check)


def test_one_node_reconciles_the_unresolved_top_ups_of_all_nodes() -> None:
    async def check() -> None:
        async with election_fleet("etcd", 3) as elections:
            elections.tasks = []
            elections.other_tasks = (
                f'duty "unclear" kind="reconcile" every="200ms" to="{elections.target.url}"'
            )
            elections.backend.mode = StubMode.RUN_AND_CLOSE  # the request runs, but its result is lost
            await elections.fleet.start_all()
            await soon(lambda: elections.fleet.all_know(3) and elections.leader("unclear"))
            for n, node in enumerate(elections.nodes):
                reply = await node.ask("POST", "/topup", b"x", HTTP_IDEMPOTENCY_KEY=f"k{n}")
                assert reply.status == 502
            await soon(lambda: len({effect.key for effect in elections.target.applied("unclear")}) == 3)
            assert {effect.key.rpartition("/")[2] for effect in elections.target.applied("unclear")} == {
                "k0",
                "k1",
                "k2",
            }
            await soon(
                lambda: all(node.events("load")[-1]["duties"]["unclear"] == 0 for node in elections.nodes)
            )

    play(check)


def test_one_node_per_zone_watches_the_list_service_and_the_others_learn_from_it() -> None:
    async def check() -> None:
        async with election_fleet("etcd", 6) as elections:
            assert elections.store
            elections.tasks = []
            elections.other_tasks = "\n".join(
                f'duty "list-z{n}" kind="keep-list" zone="z{n}"' for n in range(3)
            )
            await elections.fleet.start_all()
            await soon(
                lambda: elections.fleet.all_know(6) and all(elections.leader(f"list-z{n}") for n in range(3))
            )

            def watching_nodes() -> set[str]:
                loads = [node.events("load") for node in elections.nodes]
                last_loads = [load[-1] for load in loads]
                return {line["server"] for line in last_loads if line["membership"]["knowing"] == "watching"}

            leaders = {(holder := elections.leader(f"list-z{n}")) and holder.name for n in range(3)}
            await soon(lambda: leaders <= watching_nodes() and len(watching_nodes()) <= 5)
            victim = elections.leader("list-z0")
            assert victim
            await elections.fleet.kill(victim)
            await soon(lambda: (node := elections.leader("list-z0")) and node.name in watching_nodes())
            await soon(lambda: elections.fleet.all_know(5))

    play(check)


@pytest.mark.parametrize("engine", ["etcd", "nodes"])
def test_random_faults_among_twelve_processes_cause_no_breach(engine: str) -> None:
    async def check() -> None:
        faults = draw_schedule(1, 12, 14.0, election_scenario.KINDS[engine])
        assert await election_scenario.find_breaches(faults, 12, engine) == []

    play(check)
