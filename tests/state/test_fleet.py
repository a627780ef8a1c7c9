"""Tests of nodes with a key file, run as processes that are killed and restarted."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import sys
import time
from random import Random

from shelfhaven.config import Address
from shelfhaven.lab.backend_stub import StubMode
from shelfhaven.lab.callers import Router, connect
from shelfhaven.lab.election_fleet import soon
from shelfhaven.lab.failover_checker import duplicate_runs
from shelfhaven.lab.state_fleet import key_store_fleet
from tests.fleets import played

KEY_LIFETIME = 5.5  # seconds: TTL plus deadline of the keyed class
# settings of the keyed class with which no key expires during a test
LONG_TTL = 'deadline="1500ms" window="60s"'


@played
async def test_a_duplicate_gets_the_stored_result_after_a_restart_by_either_protocol() -> None:
    async with key_store_fleet(with_routers=True) as nodes:
        await nodes.start()
        first = await nodes.expect_served("k1")
        await nodes.restart()
        assert await nodes.expect_served("k1") == first
        router = Router(*await connect(Address("127.0.0.1", nodes.node.routers)))
        router.request(1, "topup", dedupe="k1", body=base64.b64encode(b"100").decode())
        answer = await router.answer(1)
        assert base64.b64decode(answer["result"]["body"]) == first
        await router.close()
        assert nodes.runs_of("k1") == 1
        assert (
            await nodes.expect_served("k1", b"another amount") != first
        ), "a key with another request body is another request"


@played
async def test_a_topup_whose_url_has_a_query_is_not_run_again_over_json_rpc_after_a_restart() -> None:
    # guards against an effect that happens twice (docs/incidents/repeat-by-another-protocol.md)
    async with key_store_fleet(with_routers=True) as nodes:
        await nodes.start()
        reply = await nodes.node.ask("POST", "/topup?channel=ussd", b"100", HTTP_IDEMPOTENCY_KEY="k1")
        assert reply.status == 200
        await nodes.restart()
        router = Router(*await connect(Address("127.0.0.1", nodes.node.routers)))
        router.request(1, "topup", dedupe="k1", body=base64.b64encode(b"100").decode())
        answer = await router.answer(1)
        assert base64.b64decode(answer["result"]["body"]) == reply.body
        await router.close()
        assert nodes.runs_of("k1") == 1


@played
async def test_a_key_in_flight_when_the_process_is_killed_does_not_run_again_within_its_ttl() -> None:
    async with key_store_fleet() as nodes:
        await nodes.start()
        nodes.backend.release.clear()
        task = asyncio.ensure_future(nodes.request_topup("k1"))
        await soon(lambda: nodes.runs_of("k1"))
        killed_at = time.time()
        await nodes.restart()
        nodes.backend.release.set()
        assert await task is None
        while time.time() - killed_at < 3.5:
            await nodes.expect_uncertain("k1")
            await nodes.expect_served(f"fresh{time.time()}")
            await asyncio.sleep(0.2)
        assert nodes.runs_of("k1") == 1
        await asyncio.sleep(max(0.0, killed_at + KEY_LIFETIME + 1.0 - time.time()))
        await nodes.expect_served("k1")  # the key has expired and may run again


@played
async def test_a_key_whose_run_never_began_can_run_after_a_restart() -> None:
    async with key_store_fleet() as nodes:
        await nodes.start()
        nodes.backend.mode = StubMode.REJECT
        rejected = await nodes.request_topup("k1")
        assert rejected
        assert rejected.not_run
        nodes.backend.mode = StubMode.SERVE
        await asyncio.sleep(0.3)
        await nodes.restart()
        await nodes.expect_served("k1")
        assert nodes.runs_of("k1") == 1


@played
async def test_no_key_runs_twice_and_answers_stay_the_same_when_the_node_is_killed_under_load() -> None:
    async with key_store_fleet() as nodes:
        random, answered = Random(5), dict[str, bytes]()
        keys = [f"k{number}" for number in range(1600)]

        async def caller(number: int) -> None:
            for key in keys[number::8]:
                while True:
                    reply = await nodes.request_topup(key)
                    if reply and reply.status == 200:
                        assert answered.setdefault(key, reply.body) == reply.body
                    if reply and not reply.not_run:
                        break
                    await asyncio.sleep(0.02)
                if answered and random.random() < 0.5:  # a duplicate, possibly after a restart
                    answered_key = random.choice(list(answered)[-20:])
                    reply = await nodes.request_topup(answered_key)
                    if reply and reply.status == 200:
                        assert reply.body == answered[answered_key]

        await nodes.start()
        callers = [asyncio.ensure_future(caller(number)) for number in range(8)]
        for _ in range(8):
            await asyncio.sleep(random.uniform(0.02, 0.25))
            await nodes.restart()
        await asyncio.wait_for(asyncio.gather(*callers), 60.0)
        assert not duplicate_runs(nodes.runs)
        assert len(answered) > 0.5 * len(
            keys
        ), "requests may fail only if in flight at a kill, or while the disk is slow"


@played
async def test_a_second_node_with_the_same_file_serves_no_keyed_requests_until_the_first_ends() -> None:
    async with key_store_fleet(2) as nodes:
        first, second = nodes.fleet.nodes.values()
        await nodes.start(first)
        await nodes.expect_served("k1", node=first)
        await nodes.fleet.start(second)
        await soon(lambda: second.events("keys_disk"))
        assert second.events("keys_disk")[0]["standing"] == "taken"
        assert not await second.healthy()
        await nodes.expect_uncertain("k2", second)
        assert (await second.ask("GET", "/balance/1")).status == 200, "requests without a key are served"
        await nodes.fleet.kill(first)
        await soon(lambda: second.events("keys_loaded"))
        await nodes.expect_served("k1", node=second)
        assert nodes.runs_of("k1") == 1
        assert nodes.runs_of("k2") == 0


@played
async def test_saved_estimates_are_restored_and_killed_commands_do_not_damage_the_file() -> None:
    async with key_store_fleet(topup=LONG_TTL) as nodes:
        await nodes.start()
        for number in range(60):
            await nodes.expect_served(f"k{number}")
        await asyncio.sleep(3.5)  # estimates are saved every two seconds
        await nodes.restart()
        (learned,) = nodes.node.events("learned")
        assert learned["counts"] > 0.5
        await nodes.fleet.kill(nodes.node)
        random, file = Random(3), nodes.fleet.folder / "keys"
        for arguments in (("compact",), ("snapshot", str(nodes.fleet.folder / "snapshot")), ("check",)) * 3:
            command = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "shelfhaven", "state", *arguments, "--operator", str(nodes.node.path),
                stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.DEVNULL,
            )  # fmt: skip
            await asyncio.sleep(random.uniform(0.1, 0.4))
            with contextlib.suppress(ProcessLookupError):
                command.kill()
            await command.wait()
        for _ in range(4):  # kill the node while it reads the file
            await nodes.fleet.start(nodes.node)
            await asyncio.sleep(random.uniform(0.3, 0.5))
            await nodes.fleet.kill(nodes.node)
        assert (await nodes.node.command("state", "check")).exit_code == 0
        assert not list(file.parent.glob("keys.aside-*"))
        await nodes.start()
        assert nodes.node.events("keys_loaded")[-1]["unsure"] == 0.0
        await nodes.expect_served("k59")
        assert nodes.runs_of("k59") == 1


@played
async def test_commands_show_check_and_snapshot_work_beside_a_running_node() -> None:
    async with key_store_fleet(topup=LONG_TTL) as nodes:
        await nodes.start()
        for number in range(5):
            await nodes.request_topup(f"k{number}")
        output, code = await nodes.node.command("state", "check")
        assert (code, "5 keys" in output) == (0, True)
        output, code = await nodes.node.command("state", "show")
        assert (code, "5 served" in output, "k3" in output) == (0, True, True)
        snapshot = nodes.fleet.folder / "snapshot"
        assert (await nodes.node.command("state", "snapshot", str(snapshot))).exit_code == 0
        assert (
            await nodes.node.command("state", "restore", str(snapshot))
        ).exit_code == 4, "the file is in use by the node"
        await nodes.fleet.kill(nodes.node)
        output, exit_code = await nodes.node.command("state", "restore", str(snapshot))
        assert (exit_code, "5 keys" in output) == (0, True)
        await nodes.start()
        assert nodes.node.events("keys_loaded")[-1]["unsure"] > 55.0
        await nodes.expect_uncertain("new")  # could have run after the snapshot, so it is uncertain
        await nodes.expect_served("k3")


@played
async def test_keys_are_uncertain_after_a_restore_until_the_uncertain_period_is_over() -> None:
    async with key_store_fleet() as nodes:
        await nodes.start()
        await nodes.expect_served("k1")
        snapshot = nodes.fleet.folder / "snapshot"
        assert (await nodes.node.command("state", "snapshot", str(snapshot))).exit_code == 0
        await nodes.fleet.kill(nodes.node)
        assert (await nodes.node.command("state", "restore", str(snapshot))).exit_code == 0
        await nodes.start()
        assert nodes.node.events("keys_loaded")[-1]["unsure"] > 5.0
        await nodes.expect_uncertain("new")
        await soon(lambda: nodes.node.events("load")[-1]["keys_file"]["unsure"] == 0.0, 20.0)
        await nodes.expect_served("new")
