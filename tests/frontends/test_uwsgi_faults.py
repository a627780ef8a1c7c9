"""Gateways and routers on one core while backends fail, the file changes or the server drains."""

from __future__ import annotations

import asyncio
import os
import signal
import time

import pytest

from shelfhaven.lab import checker, demo
from shelfhaven.lab.backend_stub import BackendStub, ExecutedRun, StubMode
from shelfhaven.lab.callers import connect, read_reply, until
from shelfhaven.lab.checker import AnswerKind, Attempt
from shelfhaven.program.app import Phase
from tests.frontends.nodes import body_of, running_node
from tests.peers import run_async

# A malformed packet during a drain


def test_a_malformed_packet_during_a_drain_harms_nobody_else() -> None:
    async def check() -> None:
        async with running_node() as node:
            node.backends[0].release.clear()
            router = await node.router()
            router.request(1, "balance", org="retail")
            waiting = asyncio.ensure_future(node.topup("k"))
            await until(lambda: len(node.runs) == 2)
            node.app.request_drain()
            await until(lambda: node.app.phase is Phase.DRAINING)
            reader, writer = await connect(node.gateways)
            writer.write(b"\x00\x03\x00\x00\x09\x00a")
            assert (await read_reply(reader)).status == 400
            other, bad = await connect(node.routers)
            bad.write(b"Content-Length: -1\r\n\r\n")
            await other.read()
            node.backends[0].release.set()
            assert body_of(await router.answer(1)) == b"made for ask"
            assert (await waiting).body == b"made for five"
            await node.running
            assert node.app.phase is Phase.ENDED
            writer.close()
            bad.close()

    run_async(check)


def test_a_drain_answers_admitted_requests_and_rejects_those_after_the_grace() -> None:
    async def check() -> None:
        async with running_node(stop="1500ms") as node:
            node.backends[0].release.clear()
            waiting = asyncio.ensure_future(node.topup("k"))
            await until(lambda: node.runs)
            os.kill(os.getpid(), signal.SIGTERM)
            await until(lambda: node.app.phase is Phase.DRAINING)
            core = node.app.core.controller
            core.state.shutdown.started_at -= 60  # the grace is over
            late = await node.ask("GET", "/balance/9")
            assert (late.status, late.not_run) == (503, True)
            node.backends[0].release.set()
            assert (await waiting).status == 200
            await node.running

    run_async(check)


# Failing backends


@pytest.mark.parametrize(("path", "runs"), [("/balance/1", 2), ("/order/1", 1)])
def test_a_run_whose_connection_closes_is_only_retried_if_idempotent(path: str, runs: int) -> None:
    async def check() -> None:
        async with running_node(2) as node:
            for backend in node.backends:
                backend.mode = StubMode.RUN_AND_CLOSE
            reply = await node.ask("POST", path, b"x")
            assert (reply.status, reply.not_run) == (502, False)
            assert len(node.runs) == runs

    run_async(check)


def test_a_keyed_run_whose_answer_was_lost_is_never_run_again() -> None:
    async def check() -> None:
        async with running_node(2) as node:
            for backend in node.backends:
                backend.mode = StubMode.RUN_AND_CLOSE
            assert (await node.topup("k")).status == 502
            for backend in node.backends:
                backend.mode = StubMode.SERVE
            assert (await node.topup("k")).status == 502
            assert node.ran(b"five") == 1

    run_async(check)


@pytest.mark.parametrize("dead", [True, False])
def test_a_request_that_no_backend_took_is_rejected_as_not_run_and_may_be_retried(dead: bool) -> None:
    async def check() -> None:
        async with running_node(2) as node:
            for backend in node.backends:
                backend.mode = StubMode.REJECT
                if dead:
                    backend.stop()
            reply = await node.topup("k")
            assert (reply.status, reply.not_run) == (503, True)
            for backend in node.backends:
                backend.mode = StubMode.SERVE
                if dead:
                    await backend.start()
            assert (await node.topup("k")).body == b"made for five"
            assert node.ran(b"five") == 1

    run_async(check)


def test_a_dead_backend_costs_no_answer_while_another_is_up() -> None:
    async def check() -> None:
        async with running_node(2) as node:
            node.backends[0].stop()
            for number in range(20):
                assert (await node.topup(f"k{number}", b"%d" % number)).status == 200
            assert len(node.runs) == 20

    run_async(check)


def test_an_answer_after_the_callers_deadline_is_stored_for_its_duplicate() -> None:
    async def check() -> None:
        async with running_node(deadline="2s") as node:
            node.backends[0].release.clear()
            started = time.monotonic()
            reply = await node.topup("k", HTTP_X_TIME_LEFT_MS="300")
            assert (reply.status, reply.not_run) == (504, False)
            await until(lambda: time.monotonic() > started + 0.4)  # the caller's time is over
            node.backends[0].release.set()
            assert (await node.topup("k")).body == b"made for five"
            assert node.ran(b"five") == 1

    run_async(check)


def test_hanging_backends_cost_no_answer_and_differ_from_rejections() -> None:
    async def check() -> None:
        async with running_node(2, deadline="700ms") as node:
            for backend in node.backends:
                backend.mode = StubMode.HANG
            replies = await asyncio.gather(
                *(node.topup(f"k{number}", b"%d" % number) for number in range(30))
            )
            assert {reply.status for reply in replies} <= {502, 503, 504}
            sent = {request.body for backend in node.backends for request in backend.requests}
            for number, reply in enumerate(replies):
                assert reply.not_run == (reply.status == 503)
                assert not (reply.not_run and b"%d" % number in sent)

    run_async(check)


@pytest.mark.parametrize(
    "raw",
    [
        b"HTTP/1.1 200 OK\r\nX: " + b"y" * 10_000,
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxx",
        b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"\x16\x03\x01 nonsense\r\n\r\n",
        b"",
    ],
)
def test_a_malformed_response_is_a_failure_and_no_result(raw: bytes) -> None:
    async def check() -> None:
        async with running_node() as node:
            node.backends[0].mode = StubMode.RAW
            node.backends[0].raw_response = raw
            reply = await node.topup("k")
            assert (reply.status, reply.not_run) == (502, False)
            node.backends[0].mode = StubMode.SERVE
            assert (await node.topup("k2", b"ten")).body == b"made for ten"

    run_async(check)


def test_a_response_without_a_length_that_a_reset_cuts_short_is_a_failure() -> None:
    async def check() -> None:
        async with running_node() as node:
            node.backends[0].mode = StubMode.RAW_AND_RESET
            node.backends[0].raw_response = b"HTTP/1.1 200 OK\r\n\r\nha"
            reply = await node.topup("k")
            assert (reply.status, reply.not_run) == (502, False)

    run_async(check)


@pytest.mark.parametrize("length", [b"Content-Length: 4\r\n", b""])
def test_a_valid_response_with_or_without_a_length_is_accepted(length: bytes) -> None:
    async def check() -> None:
        async with running_node() as node:
            more = b"trailing" if length else b""
            node.backends[0].mode = StubMode.RAW
            node.backends[0].raw_response = b"HTTP/1.1 200 OK\r\n" + length + b"\r\ngood" + more
            assert (await node.topup("k")).body == b"good"

    run_async(check)


# A new operator configuration


def test_sighup_removes_a_backend_that_still_has_runs() -> None:
    async def check() -> None:
        async with running_node(1) as node:
            old = node.backends[0]
            new = BackendStub("new", node.runs)
            await new.start()
            node.backends.append(new)
            old.release.clear()
            waiting = [asyncio.ensure_future(node.topup(f"k{number}", b"%d" % number)) for number in range(4)]
            await until(lambda: len(node.runs) == 4)
            node.write([new])
            os.kill(os.getpid(), signal.SIGHUP)
            assert node.app.pools
            pool = node.app.pools.pools["p"].router.pool
            await until(lambda: list(pool.backends) == [new.address])
            assert (await node.topup("k9", b"nine")).body == b"made for nine"
            assert node.runs[-1].backend == "new"
            old.release.set()
            assert [reply.body for reply in await asyncio.gather(*waiting)] == [
                b"made for %d" % number for number in range(4)
            ]
            assert len(node.runs) == 5
            assert not pool.draining

    run_async(check)


def test_sighup_with_a_faulty_file_changes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def check() -> None:
        async with running_node(1) as node:
            lines: list[tuple[str, dict[str, object]]] = []
            monkeypatch.setattr(node.app.log, "event", lambda event, **more: lines.append((event, more)))
            before = node.app.files.operator
            node.write(pool="limit most=0")
            node.app.reload()
            assert node.app.files.operator is before
            (refused,) = [more for event, more in lines if event == "reload_refused"]
            assert 'pool "p" > limit most' in str(refused["error"])
            node.write(pool="limit first=2 most=4", at_once=3)
            node.app.reload()
            assert node.app.pools
            assert node.app.pools.pools["p"].router.settings.max_limit == 4
            (taken,) = [more for event, more in lines if event == "reloaded"]
            assert taken["kept_until_restart"] == ["settings"]
            assert (await node.topup("k")).status == 200

    run_async(check)


# Both protocols beyond capacity, with a drain


@pytest.mark.alone
def test_both_protocols_at_twice_the_capacity_with_a_dead_backend_and_a_drain_break_no_rule() -> None:
    scenario = demo.run_scenario(3.0, 2.0, 7, progress=False, drain_at=0.8)
    attempts, runs, exit_code = asyncio.run(scenario)
    assert exit_code == 0
    assert checker.find_violations(attempts, runs, tolerance=0.25) == []
    kinds = [answer.kind for attempt in attempts for answer in attempt.answers]
    assert kinds.count(AnswerKind.SERVED) > 100
    assert kinds.count(AnswerKind.REJECTED) > 50
    assert kinds.count(AnswerKind.NOT_REACHED) > 0


def test_the_checker_reports_each_broken_rule() -> None:
    def one(key: str = "", body: bytes = b"x") -> Attempt:
        return Attempt("uwsgi", "topup", "retail", key, body, "/topup", 100.0, 104.0, 102.0)

    def run(body: bytes = b"x") -> ExecutedRun:
        return ExecutedRun("v", 101.0, "/topup", "k", body, "c")

    good = one("k")
    good.record_answer(101.0, AnswerKind.SERVED, b"made for x")
    assert checker.find_violations([good], [run()]) == []
    assert checker.find_violations([one()], []) == ["lost: uwsgi topup b'x'"]
    twice = one()
    twice.record_answer(101.0, AnswerKind.FAILED)
    twice.record_answer(101.0, AnswerKind.FAILED)
    assert "answered 2 times" in checker.find_violations([twice], [])[0]
    late = one()
    late.record_answer(104.2, AnswerKind.FAILED)
    assert "late" in checker.find_violations([late], [])[0]
    assert "run 2 times" in checker.find_violations([good], [run(), run()])[0]
    assert "no run made" in checker.find_violations([good], [])[0]
    refused = one("k")
    refused.record_answer(101.0, AnswerKind.REJECTED)
    assert "refused and yet run" in checker.find_violations([refused], [run()])[0]


def test_flapping_and_slow_backends_cost_idempotent_requests_no_answer_and_keyed_ones_no_second_run() -> None:
    async def check() -> None:
        async with running_node(4, deadline="3s") as node:
            for backend in node.backends:
                backend.mean_duration = 0.02
            node.backends[1].slowdown = 10.0

            async def flap() -> None:
                while True:
                    await asyncio.sleep(0.2)
                    node.backends[0].stop()
                    await asyncio.sleep(0.2)
                    await node.backends[0].start()

            flapping = asyncio.ensure_future(flap())
            for batch in range(20):
                asked = [node.ask("GET", f"/balance/{batch}-{number}") for number in range(4)]
                asked += [node.topup(f"k{batch}-{number}", b"%d-%d" % (batch, number)) for number in range(4)]
                replies = await asyncio.gather(*asked)
                assert {reply.status for reply in replies[:4]} == {200}
                for number, reply in enumerate(replies[4:]):
                    assert (
                        reply.status == 200 or not reply.not_run or not node.ran(b"%d-%d" % (batch, number))
                    )
            flapping.cancel()
            assert max(node.ran(run.body) for run in node.runs if run.key) == 1

    run_async(check)
