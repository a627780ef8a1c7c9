"""The frontend for proxies that ask by plain HTTP subrequests."""

from __future__ import annotations

import asyncio
import contextlib
import gc
from collections.abc import AsyncIterator
from typing import Any

import pytest

from shelfhaven.config import Address
from shelfhaven.frontends.subrequest import Subrequest
from shelfhaven.lab.callers import Reply, connect, read_reply, until
from shelfhaven.lab.ports import reserved_address
from tests.frontends.proxy_nodes import (
    ProxyNode,
    running_proxy_node,
    upstream_waiting_for,
)
from tests.peers import run_async


async def send_subrequest(address: Address, method: str, path: str, **headers: str) -> Reply:
    reader, writer = await connect(address)
    lines = [f"GET /auth HTTP/1.1\r\nHost: x\r\nX-Original-Method: {method}\r\nX-Original-URI: {path}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
    try:
        return await read_reply(reader)
    finally:
        writer.close()


@contextlib.asynccontextmanager
async def running_subrequest_node(
    lease: str = "200ms", options: str = "", **changes: Any
) -> AsyncIterator[tuple[ProxyNode, Address]]:
    """Run a server that also listens for subrequests; yields it with the address of that listener."""
    address = reserved_address()
    # The text ends the options of the listener for proxies and adds a second listener.
    consult = (
        f'verdict="300ms"\nlisten "a" protocol="subrequest" address="{address}" mapping="m" lease="{lease}"'
        f" {options}"
    )
    async with running_proxy_node(consult=consult, **changes) as node:
        yield node, address


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("GET", "/balance/1", 200), ("GET", "/nowhere", 404), ("POST", "/topup", 400)],
)
def test_the_status_of_a_subrequest_is_the_verdict(method: str, path: str, status: int) -> None:
    async def check() -> None:
        async with running_subrequest_node() as (node, address):
            reply = await send_subrequest(address, method, path)
            assert reply.status == status
            assert reply.not_run == (status != 200)
            assert ("x-budget-left-ms" in reply.fields) == (status == 200)
            await until(lambda: not node.app.core.requests)  # the lease has expired

    run_async(check)


def test_a_subrequest_beyond_capacity_is_rejected_with_retry_after() -> None:
    async def check() -> None:
        async with running_subrequest_node(lease="2s", at_once=1) as (node, address):
            assert (await send_subrequest(address, "GET", "/balance/1")).status == 200
            reply = await send_subrequest(address, "GET", "/balance/2")
            assert (reply.status, reply.not_run) == (403, True)
            assert reply.retry_after > 0

    run_async(check)


def test_a_keyed_subrequest_is_accepted_once_within_the_key_ttl() -> None:
    async def check() -> None:
        async with running_subrequest_node() as (node, address):
            key = {"Idempotency-Key": "k"}
            assert (await send_subrequest(address, "POST", "/topup", **key)).status == 200
            await until(lambda: not node.app.core.requests)
            reply = await send_subrequest(address, "POST", "/topup", **key)
            assert (reply.status, reply.not_run) == (502, False)

    run_async(check)


def subrequests_in_memory() -> int:
    gc.collect()
    return sum(isinstance(item, Subrequest) for item in gc.get_objects())


def test_subrequests_leave_memory_once_their_leases_are_over() -> None:
    # guards against memory that grows with each verdict (docs/incidents/forwarded-subrequests.md)
    async def check() -> None:
        async with running_subrequest_node(lease="50ms", at_once=4) as (node, address):
            assert node.app.proxies
            statuses = set()
            for number in range(40):
                statuses.add((await send_subrequest(address, "GET", f"/balance/{number}")).status)
            assert 200 in statuses
            await until(lambda: not node.app.core.requests)
            assert not node.app.proxies.runner.consultations
            assert not node.app.proxies.runner.attempt_by_run
            await until(lambda: not subrequests_in_memory())

    run_async(check)


def test_a_subrequest_that_goes_on_in_shadow_is_not_kept_for_its_lease() -> None:
    async def check() -> None:
        async with running_subrequest_node(lease="60s", options='{\n shadow "balance"\n}', at_once=1) as (
            node,
            address,
        ):
            assert node.app.proxies
            for number in range(3):
                assert (await send_subrequest(address, "GET", f"/balance/{number}")).status == 200
            await until(lambda: len(node.app.proxies.runner.consultations) == 1)  # type: ignore[union-attr]
            assert len(node.app.core.requests) == 1

    run_async(check)


@pytest.mark.parametrize("lease", ["200ms", "60s"])
def test_a_subrequest_in_flight_stays_known_until_its_lease_is_over(lease: str) -> None:
    async def check() -> None:
        async with running_subrequest_node(lease=lease, at_once=1) as (node, address):
            assert node.app.proxies
            assert (await send_subrequest(address, "GET", "/balance/1")).status == 200
            assert len(node.app.proxies.runner.consultations) == len(node.app.core.requests) == 1
            reply = await send_subrequest(address, "GET", "/balance/2")
            assert (reply.status, reply.not_run) == (403, True)

    run_async(check)


def test_a_subrequest_whose_proxy_gives_up_before_the_verdict_is_withdrawn() -> None:
    async def check() -> None:
        async with running_subrequest_node(lease="5s", at_once=1) as (node, address):
            release = asyncio.Event()
            proxy = node.new_proxy()
            proxy.upstream = upstream_waiting_for(release)
            holding = asyncio.ensure_future(proxy.ask("GET", "/balance/1"))
            await until(lambda: node.forwarded)
            _, writer = await connect(address)
            writer.write(b"GET /balance/2 HTTP/1.1\r\nHost: x\r\n\r\n")
            await until(lambda: len(node.app.core.requests) == 2)
            writer.close()
            await until(lambda: len(node.app.core.requests) == 1)
            release.set()
            await holding

    run_async(check)
