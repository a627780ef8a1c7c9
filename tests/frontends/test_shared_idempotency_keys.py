"""One table of idempotency keys for all frontends: duplicates over uwsgi and JSON-RPC."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from unittest.mock import patch

import pytest

from shelfhaven.lab.callers import connect, until, variables
from shelfhaven.protocol import uwsgi
from tests.frontends.nodes import FrontendNode, result_body, running_node
from tests.peers import run_async


@pytest.mark.parametrize("first", ["uwsgi", "jsonrpc"])
@pytest.mark.parametrize("while_it_runs", [True, False])
def test_a_keyed_request_and_its_duplicate_over_the_other_protocol_run_once(
    first: str, while_it_runs: bool
) -> None:
    async def check() -> None:
        async with running_node() as node:
            router = await node.connect_router()
            if while_it_runs:
                node.backends[0].release.clear()

            async def send_by(protocol: str) -> bytes:
                if protocol == "uwsgi":
                    return (await node.topup("k")).body
                node.send_topup(router, 1, "k")
                return result_body(await router.answer(1))

            original = asyncio.ensure_future(send_by(first))
            await until(lambda: node.runs)
            if not while_it_runs:
                await original
            duplicate = asyncio.ensure_future(send_by("jsonrpc" if first == "uwsgi" else "uwsgi"))
            if while_it_runs:
                await until(lambda: len(node.app.core.requests) == 2)
                node.backends[0].release.set()
            assert await original == await duplicate == b"made for five"
            assert node.run_count(b"five") == 1

    run_async(check)


@pytest.mark.parametrize("first", ["uwsgi", "jsonrpc"])
def test_a_topup_whose_url_has_a_query_and_its_repeat_over_json_rpc_run_once(first: str) -> None:
    # guards against an effect that happens twice (docs/incidents/repeat-by-another-protocol.md)
    async def check() -> None:
        async with running_node() as node:
            router = await node.connect_router()
            if first == "jsonrpc":
                node.send_topup(router, 1, "k")
                await router.answer(1)
            reply = await node.topup("k", QUERY_STRING="channel=ussd")
            assert reply.body == b"made for five"
            node.send_topup(router, 2, "k")
            assert result_body(await router.answer(2)) == b"made for five"
            assert node.run_count(b"five") == 1

    run_async(check)


Attempt = tuple[str, str]  # the protocol and the query
USSD, APP = ("uwsgi", "channel=ussd"), ("uwsgi", "channel=app")
EMPTY_QUERY, JSON_RPC = ("uwsgi", ""), ("jsonrpc", "")


async def send_attempts(node: FrontendNode, attempts: Sequence[Attempt]) -> None:
    """Send the attempts of one request after each other; each must be served with the same result."""
    router = await node.connect_router()
    for number, (protocol, query) in enumerate(attempts, 1):
        if protocol == "uwsgi":
            body = (await node.topup("k", QUERY_STRING=query)).body
        else:
            node.send_topup(router, number, "k")
            body = result_body(await router.answer(number))
        assert body == b"made for five"


@pytest.mark.parametrize(
    "attempts",
    [[USSD, APP], [USSD, JSON_RPC, APP], [USSD, JSON_RPC, EMPTY_QUERY], [EMPTY_QUERY, JSON_RPC, USSD]],
)
def test_one_key_and_body_with_several_queries_run_once(attempts: list[Attempt]) -> None:
    # guards against an identity that depends on the URL (docs/incidents/repeat-after-a-wider-route.md)
    async def check() -> None:
        async with running_node() as node:
            await send_attempts(node, attempts)
            assert node.run_count(b"five") == 1

    run_async(check)


@pytest.mark.parametrize(("identity", "runs"), [('"QUERY_STRING"', 2), ('"PATH_INFO"', 1)])
def test_a_query_tells_requests_apart_if_the_operator_names_it(identity: str, runs: int) -> None:
    async def check() -> None:
        async with running_node(mapping=f"identity {identity}") as node:
            await send_attempts(node, [USSD, APP, USSD, APP])
            assert node.run_count(b"five") == runs

    run_async(check)


def test_a_repeat_after_a_reload_that_widens_its_route_is_not_run_again() -> None:
    # guards against an identity that depends on the route (docs/incidents/repeat-after-a-wider-route.md)
    async def check() -> None:
        async with running_node() as node:
            assert (await node.topup("k")).body == b"made for five"
            node.write_operator_file(topup_path="/topup/**")
            node.app.reload()
            assert (await node.topup("k")).body == b"made for five"
            assert node.run_count(b"five") == 1
            assert (await node.ask("POST", "/topup/1", b"five", HTTP_IDEMPOTENCY_KEY="o")).status == 200
            assert (
                node.run_count(b"five") == 2
            ), "the new route is in force, and another key is another request"

    run_async(check)


def test_a_reload_with_another_identity_keeps_the_mapping() -> None:
    async def check() -> None:
        async with running_node() as node:
            await send_attempts(node, [USSD])
            node.write_operator_file(mapping='identity "QUERY_STRING"')
            with patch.object(node.app.log, "event") as logged:
                node.app.reload()
            (reload,) = [call.kwargs for call in logged.call_args_list if call.args == ("reloaded",)]
            assert reload["kept_until_restart"] == ["mapping m"]
            await send_attempts(node, [APP])
            assert node.run_count(b"five") == 1

    run_async(check)


def test_a_duplicate_of_a_request_whose_result_was_evicted_fails_and_is_not_run() -> None:
    async def check() -> None:
        async with running_node() as node:
            node.app.core.keys.table.results.capacity_bytes = 0
            assert (await node.topup("k")).status == 200
            router = await node.connect_router()
            node.send_topup(router, 1, "k")
            assert (await router.answer(1))["error"]["code"] == -32001
            reply = await node.topup("k")
            assert (reply.status, reply.not_run) == (502, False)
            assert node.run_count(b"five") == 1

    run_async(check)


def test_a_duplicate_gets_the_result_if_the_original_answer_was_lost_with_its_connection() -> None:
    async def check() -> None:
        async with running_node() as node:
            node.backends[0].release.clear()
            _, writer = await connect(node.gateway_address)
            writer.write(uwsgi.encode(variables("POST", "/topup", HTTP_IDEMPOTENCY_KEY="k"), b"five"))
            await until(lambda: node.runs)
            writer.transport.abort()
            await until(lambda: not node.app.core.requests.unanswered)
            node.backends[0].release.set()
            await until(lambda: not node.app.core.requests)
            router = await node.connect_router()
            node.send_topup(router, 1, "k")
            assert result_body(await router.answer(1)) == b"made for five"
            assert node.run_count(b"five") == 1

    run_async(check)


def test_another_body_or_another_tenant_under_the_same_key_is_another_request() -> None:
    async def check() -> None:
        async with running_node() as node:
            assert (await node.topup("k")).body == b"made for five"
            assert (await node.topup("k", b"ten")).body == b"made for ten"
            assert (await node.topup("k", HTTP_X_TENANT="bank")).body == b"made for five"
            router = await node.connect_router()
            node.send_topup(router, 1, "k", org="bank")
            assert result_body(await router.answer(1)) == b"made for five"
            assert (node.run_count(b"five"), node.run_count(b"ten")) == (2, 1)

    run_async(check)
