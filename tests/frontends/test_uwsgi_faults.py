"""Gateways and routers on one core while backends fail, the configuration changes or the server drains."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from unittest.mock import patch

import pytest

from shelfhaven.decision.settings import RetrySafety
from shelfhaven.lab import checker, demo
from shelfhaven.lab.backend_stub import BackendStub, ExecutedRun, StubMode
from shelfhaven.lab.callers import connect, read_reply, until
from shelfhaven.lab.checker import AnswerKind, Attempt
from shelfhaven.program.app import Phase
from tests.frontends.nodes import result_body, running_node
from tests.peers import run_async

# A malformed packet during a drain


def test_a_malformed_packet_during_a_drain_does_not_affect_other_connections() -> None:
    async def check() -> None:
        async with running_node() as node:
            node.backends[0].release.clear()
            router = await node.connect_router()
            router.request(1, "balance", org="retail")
            waiting = asyncio.ensure_future(node.topup("k"))
            await until(lambda: len(node.runs) == 2)
            node.app.request_drain()
            await until(lambda: node.app.phase is Phase.DRAINING)
            gateway_reader, gateway_writer = await connect(node.gateway_address)
            gateway_writer.write(b"\x00\x03\x00\x00\x09\x00a")
            assert (await read_reply(gateway_reader)).status == 400
            router_reader, router_writer = await connect(node.router_address)
            router_writer.write(b"Content-Length: -1\r\n\r\n")
            await router_reader.read()
            node.backends[0].release.set()
            assert result_body(await router.answer(1)) == b"made for ask"
            assert (await waiting).body == b"made for five"
            await node.task
            assert node.app.phase is Phase.ENDED
            gateway_writer.close()
            router_writer.close()

    run_async(check)


def test_a_drain_answers_admitted_requests_and_rejects_those_after_the_grace() -> None:
    async def check() -> None:
        async with running_node(stop="1500ms") as node:
            node.backends[0].release.clear()
            waiting = asyncio.ensure_future(node.topup("k"))
            await until(lambda: node.runs)
            os.kill(os.getpid(), signal.SIGTERM)
            await until(lambda: node.app.phase is Phase.DRAINING)
            controller = node.app.core.controller
            controller.state.shutdown.started_at -= 60  # ends the grace
            late = await node.ask("GET", "/balance/9")
            assert (late.status, late.not_run) == (503, True)
            node.backends[0].release.set()
            assert (await waiting).status == 200
            await node.task

    run_async(check)


# Failing backends


@pytest.mark.parametrize(("path", "run_count"), [("/balance/1", 2), ("/order/1", 1)])
def test_a_run_whose_connection_closes_is_only_retried_if_idempotent(path: str, run_count: int) -> None:
    async def check() -> None:
        async with running_node(2) as node:
            for backend in node.backends:
                backend.mode = StubMode.RUN_AND_CLOSE
            reply = await node.ask("POST", path, b"x")
            assert (reply.status, reply.not_run) == (502, False)
            assert len(node.runs) == run_count

    run_async(check)


def test_a_keyed_request_whose_answer_was_lost_is_not_run_again() -> None:
    async def check() -> None:
        async with running_node(2) as node:
            for backend in node.backends:
                backend.mode = StubMode.RUN_AND_CLOSE
            assert (await node.topup("k")).status == 502
            for backend in node.backends:
                backend.mode = StubMode.SERVE
            assert (await node.topup("k")).status == 502
            assert node.run_count(b"five") == 1

    run_async(check)


@pytest.mark.parametrize("is_down", [True, False])
def test_a_request_that_no_backend_accepted_is_rejected_as_not_run_and_can_be_retried(is_down: bool) -> None:
    async def check() -> None:
        async with running_node(2) as node:
            for backend in node.backends:
                backend.mode = StubMode.REJECT
                if is_down:
                    backend.stop()
            reply = await node.topup("k")
            assert (reply.status, reply.not_run) == (503, True)
            for backend in node.backends:
                backend.mode = StubMode.SERVE
                if is_down:
                    await backend.start()
            assert (await node.topup("k")).body == b"made for five"
            assert node.run_count(b"five") == 1

    run_async(check)


def test_all_requests_are_served_while_one_of_two_backends_is_down() -> None:
    async def check() -> None:
        async with running_node(2) as node:
            node.backends[0].stop()
            for number in range(20):
                assert (await node.topup(f"k{number}", b"%d" % number)).status == 200
            assert len(node.runs) == 20

    run_async(check)


def test_a_result_that_comes_after_the_callers_deadline_is_stored_for_a_duplicate() -> None:
    async def check() -> None:
        async with running_node(deadline="2s") as node:
            node.backends[0].release.clear()
            started = time.monotonic()
            reply = await node.topup("k", HTTP_X_TIME_LEFT_MS="300")
            assert (reply.status, reply.not_run) == (504, False)
            await until(lambda: time.monotonic() > started + 0.4)  # the caller's deadline has passed
            node.backends[0].release.set()
            assert (await node.topup("k")).body == b"made for five"
            assert node.run_count(b"five") == 1

    run_async(check)


def test_requests_are_answered_while_backends_hang_and_those_sent_to_one_are_not_marked_as_not_run() -> None:
    async def check() -> None:
        async with running_node(2, deadline="700ms") as node:
            for backend in node.backends:
                backend.mode = StubMode.HANG
            replies = await asyncio.gather(
                *(node.topup(f"k{number}", b"%d" % number) for number in range(30))
            )
            assert {reply.status for reply in replies} <= {502, 503, 504}
            sent_bodies = {request.body for backend in node.backends for request in backend.requests}
            for number, reply in enumerate(replies):
                assert reply.not_run == (reply.status == 503)
                assert not (reply.not_run and b"%d" % number in sent_bodies)

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
def test_a_malformed_response_fails_the_request(raw: bytes) -> None:
    async def check() -> None:
        async with running_node() as node:
            node.backends[0].mode = StubMode.RAW
            node.backends[0].raw_response = raw
            reply = await node.topup("k")
            assert (reply.status, reply.not_run) == (502, False)
            node.backends[0].mode = StubMode.SERVE
            assert (await node.topup("k2", b"ten")).body == b"made for ten"

    run_async(check)


def test_a_response_without_a_length_that_is_truncated_by_a_reset_fails_the_request() -> None:
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
            trailing = b"trailing" if length else b""
            node.backends[0].mode = StubMode.RAW
            node.backends[0].raw_response = b"HTTP/1.1 200 OK\r\n" + length + b"\r\ngood" + trailing
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
            node.write_operator_file([new])
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


@pytest.mark.parametrize("change", ["one class less", "another order", "one class more"])
def test_a_reload_finds_classes_by_their_names(change: str) -> None:
    # guards against a class that takes the place of another (docs/incidents/classes-after-a-reload.md)
    async def check() -> None:
        async with running_node() as node:
            lines = node.path.read_text().splitlines()
            balance = next(line for line in lines if 'class "balance"' in line)
            order = next(line for line in lines if 'class "order"' in line)
            match change:
                case "one class less":
                    lines = [line for line in lines if '"balance"' not in line]
                case "another order":
                    lines = [{balance: order, order: balance}.get(line, line) for line in lines]
                case _:
                    lines.insert(lines.index(balance), balance.replace("balance", "statement"))
            node.path.write_text("\n".join(lines))
            node.app.reload()
            node.backends[0].release.clear()
            ordering = asyncio.ensure_future(node.ask("POST", "/order/1", b"one"))
            await until(lambda: node.runs)
            (request,) = node.app.core.requests.by_id.values()
            assert request.class_settings.retry_safety is RetrySafety.NOT_IDEMPOTENT
            node.backends[0].release.set()
            assert (await ordering).status == 200
            status = (await node.ask("GET", "/balance/1")).status
            assert status == (404 if change == "one class less" else 200)

    run_async(check)


def test_a_reload_with_a_route_to_a_class_that_is_not_in_force_keeps_the_mapping() -> None:
    async def check() -> None:
        async with running_node() as node:
            text = node.path.read_text()
            text = text.replace('class "order"', 'class "statement"').replace('"order"', '"statement"')
            node.path.write_text(text)
            with patch.object(node.app.log, "event") as logged:
                node.app.reload()
            (reload,) = [call.kwargs for call in logged.call_args_list if call.args == ("reloaded",)]
            assert "mapping m" in reload["kept_until_restart"]
            assert (await node.ask("POST", "/order/1", b"one")).status == 200

    run_async(check)


def test_a_reload_rejects_an_invalid_file_and_keeps_the_old_configuration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check() -> None:
        async with running_node(1) as node:
            events: list[tuple[str, dict[str, object]]] = []
            monkeypatch.setattr(node.app.log, "event", lambda event, **fields: events.append((event, fields)))
            before = node.app.files.operator
            node.write_operator_file(pool="limit most=0")
            node.app.reload()
            assert node.app.files.operator is before
            (rejection,) = [fields for event, fields in events if event == "reload_refused"]
            assert 'pool "p" > limit most' in str(rejection["error"])
            node.write_operator_file(pool="limit first=2 most=4", at_once=3)
            node.app.reload()
            assert node.app.pools
            assert node.app.pools.pools["p"].router.settings.max_limit == 4
            (reload,) = [fields for event, fields in events if event == "reloaded"]
            assert reload["kept_until_restart"] == ["settings"]
            assert (await node.topup("k")).status == 200

    run_async(check)


# Both protocols beyond capacity, with a drain


@pytest.mark.alone
def test_no_violation_at_twice_the_capacity_by_both_protocols_with_a_dead_backend_and_a_drain() -> None:
    scenario = demo.run_scenario(3.0, 2.0, 7, progress=False, drain_at=0.8)
    attempts, runs, exit_code = asyncio.run(scenario)
    assert exit_code == 0
    assert checker.find_violations(attempts, runs, tolerance=0.25) == []
    kinds = [answer.kind for attempt in attempts for answer in attempt.answers]
    assert kinds.count(AnswerKind.SERVED) > 100
    assert kinds.count(AnswerKind.REJECTED) > 50
    assert kinds.count(AnswerKind.NOT_REACHED) > 0


def test_the_checker_reports_each_kind_of_violation() -> None:
    def attempt(key: str = "", body: bytes = b"x") -> Attempt:
        return Attempt("uwsgi", "topup", "retail", key, body, "/topup", 100.0, 104.0, 102.0)

    def run(body: bytes = b"x") -> ExecutedRun:
        return ExecutedRun("v", 101.0, "/topup", "k", body, "c")

    served = attempt("k")
    served.record_answer(101.0, AnswerKind.SERVED, b"made for x")
    assert checker.find_violations([served], [run()]) == []
    assert checker.find_violations([attempt()], []) == ["lost: uwsgi topup b'x'"]
    answered_twice = attempt()
    answered_twice.record_answer(101.0, AnswerKind.FAILED)
    answered_twice.record_answer(101.0, AnswerKind.FAILED)
    assert "answered 2 times" in checker.find_violations([answered_twice], [])[0]
    late = attempt()
    late.record_answer(104.2, AnswerKind.FAILED)
    assert "late" in checker.find_violations([late], [])[0]
    assert "run 2 times" in checker.find_violations([served], [run(), run()])[0]
    assert "no run made" in checker.find_violations([served], [])[0]
    rejected = attempt("k")
    rejected.record_answer(101.0, AnswerKind.REJECTED)
    assert "refused and yet run" in checker.find_violations([rejected], [run()])[0]


def test_with_flapping_and_slow_backends_idempotent_requests_succeed_and_keyed_ones_run_at_most_once() -> (
    None
):
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
                requests = [node.ask("GET", f"/balance/{batch}-{number}") for number in range(4)]
                requests += [
                    node.topup(f"k{batch}-{number}", b"%d-%d" % (batch, number)) for number in range(4)
                ]
                replies = await asyncio.gather(*requests)
                assert {reply.status for reply in replies[:4]} == {200}
                for number, reply in enumerate(replies[4:]):
                    assert (
                        reply.status == 200
                        or not reply.not_run
                        or not node.run_count(b"%d-%d" % (batch, number))
                    )
            flapping.cancel()
            assert max(node.run_count(run.body) for run in node.runs if run.key) == 1

    run_async(check)
