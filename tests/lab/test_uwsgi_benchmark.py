"""The uwsgi benchmark on a slow machine, where one round exceeds the node's message timeout.

The node closes silent connections, so router connections that are opened before a slow uwsgi round are gone
when the JSON-RPC round begins.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from benchmarks import uwsgi
from shelfhaven.config import Address
from shelfhaven.frontends.connection import MESSAGE_TIMEOUT_S
from shelfhaven.frontends.listener import STALL_CHECK_INTERVAL_S
from shelfhaven.lab.callers import Reply, ask
from tests.peers import run_async


def test_slow_rounds_of_other_protocols_do_not_break_router_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def slow_ask(listener: Address | Path, method: str, path: str) -> Reply:
        await asyncio.sleep(MESSAGE_TIMEOUT_S + 3 * STALL_CHECK_INTERVAL_S)
        return await ask(listener, method, path)

    async def check() -> None:
        monkeypatch.setattr(uwsgi, "ask", slow_ask)
        cpu_times = await uwsgi.cpu_by_protocol(count=2, rounds=2)
        assert {name: len(values) for name, values in cpu_times.items()} == {
            "uwsgi": 2,
            "uwsgi_kept": 2,
            "jsonrpc": 2,
        }

    run_async(check)
