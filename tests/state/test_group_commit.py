"""Tests of group commit: batching and order of writes."""

from __future__ import annotations

import asyncio
from pathlib import Path

import apsw
import pytest

from shelfhaven.lab.election_fleet import soon
from shelfhaven.lab.state_node import Node, key
from shelfhaven.server import messages
from shelfhaven.state.disk_health import DiskFault, DiskSettings
from shelfhaven.state.settings import SyncMode
from tests.fleets import played


@played
async def test_all_queued_writes_go_into_one_commit(tmp_path: Path) -> None:
    node = await Node(tmp_path, disk=DiskSettings(max_wait=2.0)).start()
    node.faults.gate.clear()
    for number in range(1, 102):
        node.record_intent(number)
    await asyncio.sleep(0.02)
    node.faults.gate.set()
    await soon(lambda: len(node.messages) == 101)
    assert node.state.counts["commits"] == 2
    await node.state.end()


@played
async def test_the_writes_of_a_key_keep_their_order_when_a_commit_fails(tmp_path: Path) -> None:
    node = await Node(tmp_path, disk=DiskSettings(max_wait=5.0)).start()
    node.record_intent(1)
    await soon(lambda: node.messages)
    node.faults.gate.clear()
    node.state.discard_intent(key(1))  # its commit is held up, then fails
    await soon(lambda: node.state.writes.is_committing)
    node.record_intent(1)  # the next attempt with the same key, queued behind the deletion
    node.faults.error = apsw.IOError("i/o")
    node.faults.gate.set()
    await soon(lambda: node.state.disk.fault is DiskFault.FAILING)
    node.faults.error = None
    await soon(lambda: node.state.writes.is_idle, 10.0)
    assert node.messages == [messages.IntentRecorded(1, True)] * 2
    await node.state.end()
    restarted = await Node(tmp_path).start()
    assert restarted.remaining_validity(1) > 0, "the retried deletion must not delete the later intent"
    await restarted.state.end()


@pytest.mark.parametrize("sync", [SyncMode.EVERY, SyncMode.NONE])
@played
async def test_without_a_sync_of_each_write_requests_do_not_wait_for_the_commit(
    tmp_path: Path, sync: SyncMode
) -> None:
    node = await Node(tmp_path, sync=sync).start()
    node.faults.gate.clear()
    node.record_intent(1)
    assert node.messages == [messages.IntentRecorded(1, True)]
    node.faults.gate.set()
    await soon(lambda: node.state.writes.is_idle)
    await node.state.end()
    restarted = await Node(tmp_path).start()
    assert restarted.remaining_validity(1) > 0
    await restarted.state.end()
