"""The external-processing frontend with the core, asked by stub proxies over gRPC."""

from __future__ import annotations

import asyncio
import os
import signal
from unittest.mock import patch

import grpc
import pytest

from shelfhaven.frontends.consulting import AnswerCountKey
from shelfhaven.lab.callers import Reply, until
from shelfhaven.lab.proxy import ProxiedRequest, Request, UpstreamResponse, header_map
from shelfhaven.program.app import Phase
from shelfhaven.protocol.pb import extproc_pb2
from tests.frontends.proxy_nodes import (
    ask_until_forwarded,
    running_proxy_node,
    upstream_waiting_for,
)
from tests.peers import run_async

KEYED = {"idempotency-key": "k"}


def test_a_request_is_continued_with_its_budget_and_run_by_the_proxy() -> None:
    async def check() -> None:
        async with running_proxy_node() as node:
            exchange = await node.new_proxy().ask("GET", "/balance/234", b"", **{"x-time-left-ms": "900"})
            assert exchange.forwarded
            assert 0 < int(exchange.added_headers["x-budget-left-ms"]) <= 900
            await until(lambda: not node.app.core.requests)
            assert not node.runs  # the proxy runs the request, not a backend

    run_async(check)


@pytest.mark.parametrize(
    ("method", "path", "status"), [("GET", "/nowhere", 404), ("GET", "/topup", 405), ("POST", "/topup", 400)]
)
def test_a_request_that_cannot_be_mapped_is_answered_at_once(method: str, path: str, status: int) -> None:
    async def check() -> None:
        async with running_proxy_node() as node:
            exchange = await node.new_proxy().ask(method, path)
            assert exchange.reply
            assert (exchange.reply.status, exchange.reply.not_run, exchange.forwarded) == (
                status,
                True,
                False,
            )

    run_async(check)


def test_a_consultation_beyond_capacity_is_rejected_within_the_verdict_timeout() -> None:
    async def check() -> None:
        async with running_proxy_node(at_once=1) as node:
            release = asyncio.Event()
            proxy = node.new_proxy()
            proxy.upstream = upstream_waiting_for(release)
            first = asyncio.ensure_future(proxy.ask("GET", "/balance/1"))
            await until(lambda: node.forwarded)
            exchange = await proxy.ask("GET", "/balance/2")
            assert exchange.reply
            assert (exchange.reply.status, exchange.reply.not_run, exchange.forwarded) == (503, True, False)
            assert exchange.reply.retry_after > 0
            assert exchange.verdict_latency is not None
            assert exchange.verdict_latency < proxy.verdict_timeout
            release.set()
            assert (await first).reply

    run_async(check)


def test_a_keyed_request_runs_once_through_two_proxies_and_over_uwsgi() -> None:
    async def check() -> None:
        async with running_proxy_node() as node:
            release = asyncio.Event()
            first_proxy, second_proxy = node.new_proxy(), node.new_proxy(verdict_timeout=5.0)
            first_proxy.upstream = upstream_waiting_for(release)
            original = asyncio.ensure_future(first_proxy.ask("POST", "/topup", b"five", **KEYED))
            await until(lambda: node.forwarded)
            # The duplicate waits for the original's result until its verdict is due.
            duplicate = await second_proxy.ask("POST", "/topup", b"five", **KEYED)
            assert duplicate.reply
            assert (duplicate.reply.status, duplicate.reply.not_run) == (502, False)
            uwsgi_duplicate = asyncio.ensure_future(node.topup("k"))
            await until(lambda: len(node.app.core.requests) == 2)
            release.set()
            assert (await original).reply == Reply(200, {}, b"slow")
            assert (await uwsgi_duplicate).body == b"slow"
            late = await second_proxy.ask("POST", "/topup", b"five", **KEYED)
            assert late.reply
            assert (late.reply.status, late.reply.body, late.forwarded) == (200, b"slow", False)
            assert len(node.forwarded) == 1
            assert not node.runs
            other_body = await second_proxy.ask("POST", "/topup", b"ten", **KEYED)
            assert other_body.forwarded

    run_async(check)


def test_a_keyed_request_that_ran_at_a_backend_is_not_continued_for_a_proxy() -> None:
    async def check() -> None:
        async with running_proxy_node() as node:
            assert (await node.topup("k")).status == 200
            exchange = await node.new_proxy().ask("POST", "/topup", b"five", **KEYED)
            assert exchange.reply
            assert (exchange.reply.status, exchange.reply.body, exchange.forwarded) == (
                200,
                b"made for five",
                False,
            )

    run_async(check)


@pytest.mark.parametrize("fail_open", [True, False])
def test_a_keyed_request_whose_proxy_gives_up_before_the_verdict_runs_once(fail_open: bool) -> None:
    async def check() -> None:
        consult = f'verdict="2s" fail-open={str(fail_open).lower()}'
        async with running_proxy_node(at_once=1, consult=consult) as node:
            release = asyncio.Event()
            occupying = node.new_proxy()
            occupying.upstream = upstream_waiting_for(release)
            first = asyncio.ensure_future(occupying.ask("GET", "/balance/1"))
            await until(lambda: node.forwarded)
            impatient = node.new_proxy(verdict_timeout=0.05)
            impatient.fail_open = fail_open
            exchange = await impatient.ask("POST", "/topup", b"five", **KEYED)
            assert exchange.verdict_latency is None
            assert exchange.forwarded is fail_open
            await until(lambda: len(node.app.core.requests) == 1)
            release.set()
            await first
            again = await node.new_proxy(verdict_timeout=5.0).ask("POST", "/topup", b"five", **KEYED)
            assert again.forwarded is not fail_open
            assert sum(run.body == b"five" for run in node.forwarded) == 1

    run_async(check)


def test_a_keyed_request_whose_proxy_resets_after_the_verdict_is_not_run_again() -> None:
    async def check() -> None:
        async with running_proxy_node() as node:
            proxy = node.new_proxy()
            release = asyncio.Event()
            proxy.upstream = upstream_waiting_for(release)
            asking = asyncio.ensure_future(proxy.ask("POST", "/topup", b"five", **KEYED))
            await until(lambda: node.forwarded)
            await proxy.close()
            await until(lambda: not node.app.core.requests)
            reply = await node.topup("k")
            assert (reply.status, reply.not_run) == (502, False)
            assert not node.runs
            release.set()
            await asyncio.gather(asking, return_exceptions=True)

    run_async(check)


def test_no_request_stays_open_after_a_proxy_dies_with_a_thousand_open_streams() -> None:
    async def check() -> None:
        async with running_proxy_node(at_once=2000, memory="500MB") as node:
            proxy = node.new_proxy(verdict_timeout=8.0)
            release = asyncio.Event()
            proxy.upstream = upstream_waiting_for(release)
            asking = [asyncio.ensure_future(proxy.ask("GET", f"/balance/{number}")) for number in range(1000)]
            await until(lambda: len(node.forwarded) + sum(task.done() for task in asking) == 1000)
            assert len(node.forwarded) > 50
            await proxy.close()
            await until(
                lambda: not node.app.core.requests and not node.app.proxy_listeners[0].open_requests()
            )
            assert not node.app.proxies.runner.consultations  # type: ignore[union-attr]
            for task in asking:
                task.cancel()
            await asyncio.gather(*asking, return_exceptions=True)
            await ask_until_forwarded(node.new_proxy())

    run_async(check)


def test_an_unreported_run_ends_with_its_lease_and_later_messages_pass_through() -> None:
    async def check() -> None:
        async with running_proxy_node(consult='lease="200ms"') as node:
            proxy = node.new_proxy()
            release = asyncio.Event()
            proxy.upstream = upstream_waiting_for(release)
            asking = asyncio.ensure_future(proxy.ask("POST", "/topup", b"five", **KEYED))
            await until(lambda: node.forwarded)
            await until(lambda: not node.app.core.requests)  # the lease has expired
            release.set()
            assert (await asking).stream_status is None  # the late response passes through
            assert (await node.topup("k")).status == 502
            assert not node.runs

    run_async(check)


def test_a_result_over_the_limit_is_passed_through_and_its_duplicate_fails_without_a_run() -> None:
    async def check() -> None:
        async with running_proxy_node(consult='body-most="1KB"') as node:
            proxy = node.new_proxy()

            async def large_upstream(_: ProxiedRequest) -> UpstreamResponse:
                return UpstreamResponse(200, b"x" * 5000)

            proxy.upstream = large_upstream
            assert (await proxy.ask("POST", "/topup", b"five", **KEYED)).forwarded
            await until(lambda: not node.app.core.requests)
            again = await proxy.ask("POST", "/topup", b"five", **KEYED)
            assert again.reply
            assert (again.reply.status, again.reply.not_run, again.forwarded) == (502, False, False)

    run_async(check)


@pytest.mark.parametrize(
    "first",
    [
        b"\xff\xff\xff no protobuf",
        Request(request_body=extproc_pb2.HttpBody(body=b"x", end_of_stream=True)).SerializeToString(),
        Request(response_headers=extproc_pb2.HttpHeaders()).SerializeToString(),
    ],
)
def test_only_a_stream_that_does_not_begin_with_request_headers_is_aborted(first: bytes) -> None:
    async def check() -> None:
        async with running_proxy_node() as node:
            proxy = node.new_proxy()
            stream = proxy.process()
            await stream.write(first)
            with pytest.raises(grpc.aio.AioRpcError):
                await stream.read()
            assert await stream.code() is grpc.StatusCode.INVALID_ARGUMENT
            assert (await proxy.ask("GET", "/balance/1")).forwarded

    run_async(check)


def test_bodies_and_trailers_that_were_not_requested_pass_through() -> None:
    async def check() -> None:
        async with running_proxy_node() as node:
            proxy = node.new_proxy()
            stream, first, _ = proxy.open_consultation("GET", "/balance/1", b"body")
            await proxy._exchange(stream, first)
            part = extproc_pb2.HttpBody(body=b"part", end_of_stream=False)
            trailers = extproc_pb2.HttpTrailers(trailers=header_map({"x-end": "1"}))
            ok = extproc_pb2.HttpHeaders(headers=header_map({":status": "200"}))
            for message, kind in [
                (Request(request_body=part), "request_body"),
                (Request(request_trailers=trailers), "request_trailers"),
                (Request(response_headers=ok), "response_headers"),
                (Request(response_headers=ok), "response_headers"),
                (Request(response_body=part), "response_body"),
                (Request(response_trailers=trailers), "response_trailers"),
            ]:
                assert (await proxy._exchange(stream, message)).WhichOneof("response") == kind
            await stream.done_writing()
            await until(lambda: not node.app.core.requests)

    run_async(check)


def test_a_result_beyond_the_buffer_limit_is_not_buffered() -> None:
    async def check() -> None:
        async with running_proxy_node(consult='bytes="1KB"') as node:
            proxy = node.new_proxy()

            async def large_upstream(_: ProxiedRequest) -> UpstreamResponse:
                return UpstreamResponse(200, b"x" * 2000)

            proxy.upstream = large_upstream
            stream, first, exchange = proxy.open_consultation("POST", "/topup", b"five", **KEYED)
            response = await proxy._verdict(stream, first, exchange)
            assert response is not None
            ok = extproc_pb2.HttpHeaders(headers=header_map({":status": "200"}))
            part = extproc_pb2.HttpBody(body=b"x" * 2000, end_of_stream=False)
            for message in (Request(response_headers=ok), Request(response_body=part)):
                await proxy._exchange(stream, message)
            await until(lambda: not node.app.core.requests)  # the run ends before the rest of the body comes
            assert node.app.proxy_listeners[0].streams.buffered_bytes == 0
            again = await proxy.ask("POST", "/topup", b"five", **KEYED)
            assert again.reply
            assert (again.reply.status, again.forwarded) == (502, False)

    run_async(check)


def test_a_stream_that_sends_nothing_is_aborted_after_a_timeout() -> None:
    async def check() -> None:
        async with running_proxy_node() as node:
            stream = node.new_proxy().process()
            await until(lambda: node.app.proxy_listeners[0].open_requests() == 1)
            await until(lambda: node.app.proxy_listeners[0].open_requests() == 0)
            assert await stream.code() is grpc.StatusCode.DEADLINE_EXCEEDED

    run_async(check)


def test_streams_beyond_the_limit_are_rejected() -> None:
    async def check() -> None:
        async with running_proxy_node(consult="streams=1") as node:
            proxy = node.new_proxy()
            release = asyncio.Event()
            proxy.upstream = upstream_waiting_for(release)
            first = asyncio.ensure_future(proxy.ask("GET", "/balance/1"))
            await until(lambda: node.forwarded)
            exchange = await proxy.ask("GET", "/balance/2")
            assert exchange.reply
            assert (exchange.reply.status, exchange.reply.not_run, exchange.forwarded) == (503, False, False)
            assert exchange.reply.retry_after == 1.0
            release.set()
            await first
            assert (await proxy.ask("GET", "/balance/3")).forwarded

    run_async(check)


def test_shadow_classes_always_continue_and_their_rejections_are_counted() -> None:
    async def check() -> None:
        async with running_proxy_node(at_once=1, consult='{\n shadow "balance"\n verdict "200ms"\n}') as node:
            proxy = node.new_proxy()
            release = asyncio.Event()
            proxy.upstream = upstream_waiting_for(release)
            first = asyncio.ensure_future(proxy.ask("GET", "/balance/1"))
            await until(lambda: node.forwarded)
            listener = node.app.proxy_listeners[0]
            with patch.object(listener, "load_now", return_value={}):  # the periodic log line resets counts
                second = asyncio.ensure_future(proxy.ask("GET", "/balance/2"))
                await until(lambda: len(node.forwarded) == 2)
                assert listener.answer_counts[AnswerCountKey(0, "refused")] == 1
            release.set()
            assert [exchange.forwarded for exchange in await asyncio.gather(first, second)] == [True, True]

    run_async(check)


def test_a_drain_is_announced_admits_nothing_new_and_lets_open_consultations_end() -> None:
    async def check() -> None:
        async with running_proxy_node(stop="1500ms") as node:
            proxy = node.new_proxy()
            release = asyncio.Event()
            assert await proxy.serving()
            proxy.upstream = upstream_waiting_for(release)
            asking = asyncio.ensure_future(proxy.ask("POST", "/topup", b"five", **KEYED))
            await until(lambda: node.forwarded)
            os.kill(os.getpid(), signal.SIGTERM)
            await until(lambda: node.app.phase is Phase.DRAINING)
            assert not await proxy.serving()
            node.app.core.controller.state.shutdown.started_at -= 60  # ends the grace
            late = await node.new_proxy().ask("GET", "/balance/2")
            assert late.reply
            assert (late.reply.status, late.reply.not_run) == (503, True)
            release.set()
            assert (await asking).reply == Reply(200, {}, b"slow")
            await node.task
            assert node.app.phase is Phase.ENDED

    run_async(check)
