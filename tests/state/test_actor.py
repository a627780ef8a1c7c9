"""Tests of the shutdown of a durable key store."""

from __future__ import annotations

import asyncio
from pathlib import Path

from shelfhaven.lab.election_fleet import soon
from shelfhaven.lab.state_node import Node
from tests.fleets import played


@played
async def test_shutdown_does_not_wait_for_a_hanging_disk_and_stored_keys_keep_their_expiry(
    tmp_path: Path,
) -> None:
    node = await Node(tmp_path).start()
    await node.run(1)
    node.faults.gate.clear()
    node.record_intent(2)
    started_at = asyncio.get_running_loop().time()
    await node.state.end()
    assert asyncio.get_running_loop().time() - started_at < 0.5
    node.faults.gate.set()
    await soon(lambda: not (node.state.writer.thread and node.state.writer.thread.is_alive()))
    assert node.state.store
    node.state.store.close()  # the operating system does this when a process ends
    # the new incarnation has a TTL of 1 s instead of 8 s
    restarted = await Node(tmp_path, class_summary="topup 1 3", uncertain_period=4.0).start()
    assert restarted.remaining_validity(1) > 9.0, "a stored key keeps its expiry time when the TTL is reduced"
    await restarted.state.end()
