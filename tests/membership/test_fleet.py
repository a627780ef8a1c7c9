"""Membership, readiness and warm start of a fleet of node processes, with faults between them."""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import Any

import pytest

from shelfhaven.lab.backend_stub import BackendStub
from shelfhaven.lab.backend_stub import StubMode as BackendMode
from shelfhaven.lab.callers import NOT_REACHED
from shelfhaven.lab.election_fleet import FAST_MEMBERSHIP, soon
from shelfhaven.lab.etcd_stub import EtcdStub, Mode
from shelfhaven.lab.fault_links import Rule
from tests.fleets import play
from tests.membership.fleet_world import world

pytestmark = pytest.mark.alone  # leases take 3 s, and the checker applies limits in seconds to the logs


def test_a_fleet_starts_serves_requests_and_delists_nodes_that_drained_or_died() -> None:
    async def check() -> None:
        async with world() as fleet_world:
            await fleet_world.start_and_wait(6)
            assert fleet_world.listed_nodes() == set(fleet_world.fleet.nodes)
            assert fleet_world.store.peak_request_rate() <= 60
            replies = await asyncio.gather(*(node.ask("GET", "/balance/1") for node in fleet_world.nodes))
            assert {reply.status for reply in replies} == {200}
            assert await fleet_world.fleet.drain(fleet_world.nodes[0]) == 0
            await soon(lambda: fleet_world.fleet.all_know(5))
            await fleet_world.fleet.kill(fleet_world.nodes[1])
            await soon(lambda: fleet_world.fleet.all_know(4))
            assert fleet_world.listed_nodes() == set(list(fleet_world.fleet.nodes)[2:])

    play(check)


def test_nodes_that_cannot_reach_the_list_service_get_the_list_from_peers() -> None:
    async def check() -> None:
        async with world() as fleet_world:
            isolated = fleet_world.nodes[::2]
            for node in isolated:
                fleet_world.fleet.net.set(node.name, "store", Rule(blackhole=True))
            await fleet_world.fleet.start_all()
            await soon(lambda: fleet_world.fleet.all_know(3))
            await soon(lambda: all(node.ready_after() for node in fleet_world.nodes))
            assert fleet_world.listed_nodes() == {node.name for node in fleet_world.nodes[1::2]}
            for node in isolated:
                fleet_world.fleet.net.set(node.name, "store", None)
            await soon(lambda: fleet_world.fleet.all_know(6))

    play(check)


def test_nodes_that_start_without_the_list_service_serve_requests_and_register_when_it_is_back() -> None:
    async def check() -> None:
        async with world() as fleet_world:
            await fleet_world.store.stop()
            await fleet_world.fleet.start_all()
            await soon(lambda: all(node.ready_after() for node in fleet_world.nodes))
            replies = await asyncio.gather(*(node.ask("GET", "/balance/1") for node in fleet_world.nodes))
            assert {reply.status for reply in replies} == {200}
            assert all(await asyncio.gather(*(node.healthy() for node in fleet_world.nodes)))
            await fleet_world.store.start()
            await soon(lambda: fleet_world.fleet.all_know(6), 30.0)

    play(check)


def test_a_list_service_that_lost_or_reset_its_data_does_not_shrink_the_nodes_lists() -> None:
    async def check() -> None:
        async with world() as fleet_world:
            await fleet_world.start_and_wait(6)
            old_data = fleet_world.store.snapshot()
            fleet_world.store.put("/shelfhaven/pools/other/s", "127.0.0.1:9")
            for reset_store in (
                fleet_world.store.replace_with_empty,
                lambda: fleet_world.store.restore(old_data),
            ):
                node_counts, stop = [6], asyncio.Event()

                async def record(node_counts: list[int] = node_counts, stop: asyncio.Event = stop) -> None:
                    while not stop.is_set():
                        node_counts.append(min(node.known_node_count() for node in fleet_world.nodes))
                        await asyncio.sleep(0.05)

                recording = asyncio.ensure_future(record())
                reset_store()
                await soon(lambda: fleet_world.listed_nodes() == set(fleet_world.fleet.nodes), 30.0)
                await asyncio.sleep(0.5)
                stop.set()
                await recording
                assert min(node_counts) == 6

    play(check)


def test_requests_to_a_list_service_that_hangs_or_rejects_stay_within_the_rate_until_it_recovers() -> None:
    async def check() -> None:
        async with world() as fleet_world:
            await fleet_world.start_and_wait(6)
            fleet_world.store.mode, fleet_world.store.retry_after = Mode.REJECT, 1.0
            before = sum(fleet_world.store.requests_by_second.values())
            await asyncio.sleep(4.0)
            assert sum(fleet_world.store.requests_by_second.values()) - before <= 4.0 * 60
            fleet_world.store.mode = Mode.HANG
            await asyncio.sleep(1.0)
            assert all(
                node.known_node_count() >= 5 for node in fleet_world.nodes
            ), "the leases expired: one node may be removed, the others are kept"
            replies = await asyncio.gather(*(node.ask("GET", "/balance/1") for node in fleet_world.nodes))
            assert {reply.status for reply in replies} == {200}
            fleet_world.store.mode = Mode.SERVE
            await soon(lambda: fleet_world.listed_nodes() == set(fleet_world.fleet.nodes), 30.0)
            await fleet_world.fleet.kill(fleet_world.nodes[0])
            await soon(lambda: fleet_world.fleet.all_know(5), 30.0)

    play(check)


def test_nodes_that_are_suspended_during_the_start_become_ready_after_it() -> None:
    async def check() -> None:
        async with world() as fleet_world:
            await fleet_world.fleet.start_all()
            await soon(lambda: fleet_world.nodes[0].events("phase"))
            for node in fleet_world.nodes[:2]:
                fleet_world.fleet.suspend(node)
            await soon(lambda: all(node.ready_after() for node in fleet_world.nodes[2:]))
            for node in fleet_world.nodes[:2]:
                fleet_world.fleet.resume(node)
            await soon(
                lambda: fleet_world.fleet.all_know(6)
                and all(node.ready_after() for node in fleet_world.nodes)
            )

    play(check)


def test_a_node_that_peers_cannot_reach_gets_the_list_by_polling_them() -> None:
    async def check() -> None:
        async with world() as fleet_world:
            unreachable = fleet_world.nodes[0]
            fleet_world.fleet.net.set(unreachable.name, "store", Rule(reset=True))
            # Nobody can connect to it, but it can connect to all others.
            fleet_world.fleet.net.set("*", unreachable.name, Rule(refuse_connections=True))
            blackholed = fleet_world.nodes[1]
            fleet_world.fleet.net.set(blackholed.name, "store", Rule(reset=True))
            # Everything sent to it is lost, but not what it sends itself.
            fleet_world.fleet.net.set("*", blackholed.name, Rule(blackhole=True))
            await fleet_world.fleet.start_all()
            others = [node for node in fleet_world.nodes if node is not blackholed]
            await soon(lambda: all(node.known_node_count() == 4 for node in others))
            await soon(blackholed.ready_after)
            assert (blackholed.known_node_count(), (await blackholed.ask("GET", "/balance/1")).status) == (
                0,
                200,
            )

    play(check)


def test_after_its_revisions_are_compacted_a_watcher_reads_the_complete_list() -> None:
    async def check() -> None:
        async with world() as fleet_world:
            await fleet_world.start_and_wait(6)
            for number in range(3):
                fleet_world.store.put(f"/shelfhaven/pools/p/s{number}", "127.0.0.1:9")
            fleet_world.store.compact()
            fleet_world.store.end_watches()
            fleet_world.store.put("/shelfhaven/pools/p/s3", "127.0.0.1:9")
            await soon(
                lambda: all(node.events("list_changed")[-1]["entries"] == 10 for node in fleet_world.nodes)
            )

    play(check)


def test_a_list_service_reconfigured_by_sighup_during_the_start_is_used() -> None:
    async def check() -> None:
        async with EtcdStub() as other, world() as fleet_world:
            fleet_world.store.mode = Mode.HANG
            await fleet_world.fleet.start_all()
            await soon(lambda: all(node.events("phase") for node in fleet_world.nodes))
            for node in fleet_world.nodes:
                assert node.store_gate
                node.store_gate.target_port = other.port
                gate = await fleet_world.fleet.net.gate("store", 0, other.port, source=node.name)
                node.store_gate = gate
                fleet_world.fleet.write(node)
                node.send(signal.SIGHUP)
            await soon(lambda: all(node.events("reloaded") for node in fleet_world.nodes))
            await soon(lambda: fleet_world.fleet.all_know(6), 30.0)
            assert other.requests_by_method["Put"] == 6

    play(check)


def test_backends_are_taken_from_the_list_and_follow_its_changes() -> None:
    async def check() -> None:
        second = BackendStub("second", [], 4, 0.0)
        await second.start()
        async with world(3, from_list="true") as fleet_world:
            fleet_world.store.put("/shelfhaven/pools/p/one", fleet_world.backend.address)
            await fleet_world.start_and_wait(3)
            await soon(
                lambda: all(node.events("list_changed")[-1]["entries"] == 4 for node in fleet_world.nodes)
            )
            fleet_world.store.put("/shelfhaven/pools/p/one", second.address)
            await soon(lambda: all(node.events("pool_server") for node in fleet_world.nodes))
            before = len(fleet_world.backend.requests)
            replies = await asyncio.gather(*(node.ask("GET", "/balance/1") for node in fleet_world.nodes))
            assert {reply.status for reply in replies} == {200}
            assert len(second.requests) == 3
            assert len(fleet_world.backend.requests) == before
        second.stop()

    play(check)


def test_a_new_node_learns_of_an_ejected_backend_from_a_peer() -> None:
    async def check() -> None:
        dead = BackendStub("dead", [], 4, 0.0)
        await dead.start()
        pool = 'eject failures=2 first="30s"'
        async with world(3, pool=pool) as fleet_world:
            fleet_world.fleet.servers = [fleet_world.backend.address, dead.address]
            first, second, new = fleet_world.nodes
            await fleet_world.fleet.start(first)
            await fleet_world.fleet.start(second)
            await soon(lambda: fleet_world.fleet.all_know(2))
            dead.mode = BackendMode.FAIL
            for node in (first, second):
                while not any(line["standing"] == "out" for line in node.events("pool_server")):
                    await node.ask("GET", "/balance/1")
            requests_before = len(dead.log)
            await fleet_world.fleet.start(new)
            await soon(lambda: new.events("learned"))
            reasons = {line["at_server"]: line["why"] for line in new.events("pool_server")}
            assert reasons == {dead.address: "reported as ejected by a peer"}
            replies = [await new.ask("GET", "/balance/1") for _ in range(6)]
            assert {reply.status for reply in replies} == {200}
            assert len(dead.log) == requests_before
        dead.stop()

    play(check)


def test_a_poll_without_the_secret_is_rejected() -> None:
    async def check() -> None:
        async with world(2) as fleet_world:
            await fleet_world.start_and_wait(2)
            reader, writer = await asyncio.open_connection("127.0.0.1", fleet_world.nodes[0].peer)
            writer.write(b"GET /list?era=0 HTTP/1.1\r\nHost: x\r\nX-Number: 1\r\nX-Digest: 00\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 403")
            assert b"Content-Length: 0" in head
            writer.close()

    play(check)


def test_a_node_that_is_not_ready_reports_it_but_serves_requests() -> None:
    async def check() -> None:
        async with world(1, more='list-within "3s"\n') as fleet_world:
            fleet_world.fleet.values["more"] = FAST_MEMBERSHIP.replace('list-within "2s"', 'list-within "3s"')
            fleet_world.store.mode = Mode.HANG
            (node,) = fleet_world.nodes
            await fleet_world.fleet.start(node)
            await soon(lambda: node.events("phase"))
            assert not await node.healthy()
            assert (await node.ask("GET", "/balance/1")).status == 200
            await soon(node.ready_after)
            assert await node.healthy()

    play(check)


def test_a_node_in_a_crash_loop_does_not_affect_the_others() -> None:
    async def check() -> None:
        async with world(4) as fleet_world:
            await fleet_world.start_and_wait(4)
            looping, others = fleet_world.nodes[0], fleet_world.nodes[1:]
            before = fleet_world.store.requests_by_method["LeaseGrant"]
            for _ in range(4):
                await fleet_world.fleet.kill(looping)
                await fleet_world.fleet.start(looping)
                await soon(lambda: looping.events("phase"))
            await soon(looping.ready_after)
            assert fleet_world.store.requests_by_method["LeaseGrant"] - before <= 5
            assert all(node.known_node_count() >= 3 for node in others)
            replies = await asyncio.gather(*(node.ask("GET", "/balance/1") for node in others))
            assert {reply.status for reply in replies} == {200}

    play(check)


def test_the_nodes_command_shows_the_list_of_a_node() -> None:
    async def check() -> None:
        async with world(2) as fleet_world:
            await fleet_world.start_and_wait(2)
            fleet_world.store.put("/shelfhaven/pools/p/one", "127.0.0.1:9")
            first, second = fleet_world.nodes
            await soon(lambda: second.events("list_changed")[-1]["entries"] == 3)

            async def show_list(*more: str) -> tuple[int, str]:
                command = [sys.executable, "-m", "shelfhaven", "nodes", "--operator", str(first.path), *more]
                pipe = asyncio.subprocess.PIPE
                process = await asyncio.create_subprocess_exec(*command, stdout=pipe, stderr=pipe)
                out, err = await process.communicate()
                return process.returncode or 0, (out + err).decode()

            code, text = await show_list("--at", f"127.0.0.1:{second.peer}")
            assert code == 0
            assert "era 0, revision" in text
            assert "2 nodes, 1 other entries" in text
            assert f"n000                     127.0.0.1:{first.gate.port}" in text
            assert "pools/p/one" in text
            await fleet_world.fleet.kill(first)
            assert (await show_list())[0] == 3

    play(check)


def test_a_rolling_restart_under_load_loses_no_request_and_reaches_all_lists() -> None:
    async def check() -> None:
        async with world(4) as fleet_world:
            await fleet_world.start_and_wait(4)
            replies: list[Any] = []
            finished = asyncio.Event()

            async def caller(number: int) -> None:
                while not finished.is_set():
                    node = fleet_world.nodes[(number + len(replies)) % len(fleet_world.nodes)]
                    replies.append(await node.ask("GET", f"/balance/{number}"))
                    await asyncio.sleep(0.01)

            callers = [asyncio.ensure_future(caller(number)) for number in range(8)]
            for node in fleet_world.nodes[:2]:
                assert await fleet_world.fleet.drain(node) == 0
                await soon(lambda: fleet_world.fleet.all_know(3))
                await fleet_world.fleet.start(node)
                await soon(lambda: fleet_world.fleet.all_know(4))
            finished.set()
            await asyncio.gather(*callers)
            answered = [reply for reply in replies if reply is not NOT_REACHED]
            rejected = [reply for reply in answered if reply.status != 200]
            assert all(
                reply.status == 503 and reply.not_run for reply in rejected
            ), "only a draining node rejects requests"
            assert len(rejected) < len(answered) / 2

    play(check)
