"""Tests of the admission of keyed requests while the disk works, stalls or fails."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace
from pathlib import Path

import apsw
import pytest

from shelfhaven.lab.election_fleet import soon
from shelfhaven.lab.state_node import Node, key
from shelfhaven.membership.clock import boottime
from shelfhaven.server import messages
from shelfhaven.server.background_tasks import BackgroundTasks
from shelfhaven.server.log import Log
from shelfhaven.state.actor import IncarnationHooks
from shelfhaven.state.admission import AdmissionMessage, KeyAdmission
from shelfhaven.state.disk_health import DegradedMode, DiskState
from shelfhaven.state.disk_monitor import DiskMonitor
from shelfhaven.state.group_commit import GroupCommit
from shelfhaven.state.records import KeyLabel, KeyRecord, PutRecord, RunState
from shelfhaven.state.settings import StateSettings, SyncMode
from shelfhaven.state.writer import WriterThread
from tests.fleets import played
from tests.state.key_files import PATIENT_DISK


@played
async def test_a_run_begins_after_its_intent_is_on_disk_and_its_outcome_survives_a_restart(
    tmp_path: Path,
) -> None:
    node = await Node(tmp_path, disk=PATIENT_DISK).start()
    node.faults.gate.clear()
    node.record_intent(1)
    await asyncio.sleep(0.03)
    assert node.messages == [], "no reply before the intent is on disk"
    node.faults.gate.set()
    await soon(lambda: node.messages)
    assert node.messages == [messages.IntentRecorded(1, True)]
    await node.run(2)
    await node.run(3, None)
    node.record_intent(4)
    await soon(lambda: messages.IntentRecorded(4, True) in node.messages)
    node.state.discard_intent(key(4))
    await node.state.end()
    uncertain: list[KeyLabel] = []
    restarted = await Node(tmp_path, hooks=IncarnationHooks(reconcile=uncertain.append)).start()
    await soon(lambda: uncertain)
    expected = [KeyLabel("topup", "one", "k1"), KeyLabel("topup", "one", "k3")]
    assert uncertain == expected, "keys without a result are passed to `reconcile`"
    assert [restarted.remaining_validity(number) > 0 for number in (1, 2, 3, 4, 5)] == [
        True,
        True,
        True,
        False,
        False,
    ]
    assert restarted.uncertain_for() == 0.0
    for number in (1, 2, 3):
        restarted.state.fetch_result(number, key(number))
    await soon(lambda: len(restarted.messages) == 3)
    assert restarted.messages == [
        messages.StoredResultFetched(1, None),
        messages.StoredResultFetched(2, b"done"),
        messages.StoredResultFetched(3, None),
    ]
    await restarted.state.end()


@played
async def test_requests_wait_for_a_stalled_disk_no_longer_than_max_wait(tmp_path: Path) -> None:
    node = await Node(tmp_path).start()
    node.record_intent(1)
    await soon(lambda: node.messages)
    node.faults.gate.clear()
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    node.record_intent(2)
    assert node.state.record_outcome(1, key(1), b"done")
    await soon(lambda: len(node.messages) == 3)
    assert 0.08 < loop.time() - started_at < 0.5
    intents = [message for message in node.messages if isinstance(message, messages.IntentRecorded)]
    rejected = next(intent for intent in intents if not intent.recorded)
    assert rejected.request_id == 2
    assert (rejected.retry_after or 0.0) > 0, "a rejected request gets a Retry-After"
    assert (
        messages.OutcomeRecorded(1) in node.messages
    ), "a run that is over is answered although its outcome is not on disk"
    node.record_intent(3)
    last = node.messages[-1]
    assert isinstance(last, messages.IntentRecorded)
    assert last == messages.IntentRecorded(3, False, last.retry_after), "rejected at once during the stall"
    assert node.state.disk.state(boottime()) is DiskState.SLOW
    node.faults.gate.set()
    await soon(lambda: node.state.writes.is_idle)
    await node.run(4)
    await node.state.end()
    restarted = await Node(tmp_path).start()
    assert [restarted.remaining_validity(number) > 0 for number in (1, 2, 3, 4)] == [True, False, False, True]
    await restarted.state.end()


@pytest.mark.parametrize("error", [apsw.FullError("full"), apsw.IOError("i/o"), OSError(28, "no space")])
@pytest.mark.parametrize("degraded_mode", [DegradedMode.REJECT, DegradedMode.RUN_WITHOUT_DISK])
@played
async def test_intents_are_rejected_or_kept_in_memory_while_the_disk_fails(
    tmp_path: Path, error: Exception, degraded_mode: DegradedMode
) -> None:
    node = await Node(tmp_path, disk=replace(PATIENT_DISK, degraded_mode=degraded_mode)).start()
    node.record_intent(1)
    await soon(lambda: node.messages)
    node.faults.error = error
    node.record_intent(2)
    await soon(lambda: len(node.messages) == 2)
    rejected = node.messages[1]
    assert isinstance(rejected, messages.IntentRecorded)
    assert not rejected.recorded, "the commit of its intent failed"
    assert node.state.record_outcome(1, key(1), b"done")
    await soon(lambda: messages.OutcomeRecorded(1) in node.messages)
    node.record_intent(3)
    last = node.messages[-1]
    assert isinstance(last, messages.IntentRecorded)
    assert (last.request_id, last.recorded) == (3, degraded_mode is DegradedMode.RUN_WITHOUT_DISK)
    assert node.state.record_outcome(3, key(3), b"") is False, "its intent was not recorded on disk"
    node.faults.error = None
    await soon(lambda: node.state.disk.state(boottime()) is DiskState.HEALTHY, 10.0)
    await soon(lambda: not node.state.writes.queue)
    await node.run(4)
    await node.state.end()
    restarted = await Node(tmp_path).start()
    assert [restarted.remaining_validity(number) > 0 for number in (1, 2, 3, 4)] == [True, False, False, True]
    restarted.state.fetch_result(1, key(1))
    await soon(lambda: restarted.messages)
    assert restarted.messages == [
        messages.StoredResultFetched(1, b"done")
    ], "the outcome is written once the disk works again"
    await restarted.state.end()


class AdmissionHarness:
    """A `KeyAdmission` whose writes stay in the queue, as no store is open."""

    def __init__(self, settings: StateSettings) -> None:
        monitor = DiskMonitor(settings.disk, Log("test"))
        counts: Counter[str] = Counter()
        self.messages: list[AdmissionMessage] = []
        self.disk = monitor.health
        self.writes = GroupCommit(settings, monitor, WriterThread(), BackgroundTasks(), counts)
        self.admission = KeyAdmission(settings, self.disk, self.writes, self.messages.append, counts)

    def queued_records(self) -> list[KeyRecord]:
        mutations = [write.mutation for write in self.writes.queue]
        return [mutation.record for mutation in mutations if isinstance(mutation, PutRecord)]


def durable_key(number: int, time_left: float = 11.0) -> messages.DurableKey:
    return messages.DurableKey(key(number), "topup", "one", f"k{number}", time_left)


@played
async def test_a_key_counts_as_served_even_if_its_result_is_too_long_to_store() -> None:
    harness = AdmissionHarness(StateSettings(Path("k"), SyncMode.NONE, max_result_bytes=4))
    harness.disk.mark_loaded()
    for number, result in enumerate((b"four", b"fives", None)):
        harness.admission.record_intent(number, durable_key(number))
        assert harness.admission.record_outcome(number, key(number), result)
    outcomes = [record for record in harness.queued_records() if record.run_state is not RunState.INTENT]
    assert [(record.run_state, record.result) for record in outcomes] == [
        (RunState.SERVED, b"four"),
        (RunState.SERVED, None),
        (RunState.FAILED, None),
    ]
    assert not harness.admission.record_outcome(0, key(0), b"four"), "its outcome is recorded already"
    harness.writes.cancel_timers()


@played
async def test_intents_are_rejected_and_uncertain_keys_deferred_until_the_file_is_read() -> None:
    harness = AdmissionHarness(StateSettings(Path("k"), SyncMode.NONE))
    harness.admission.record_intent(1, durable_key(1))
    (rejected,) = harness.messages
    assert isinstance(rejected, messages.IntentRecorded)
    assert not rejected.recorded
    harness.admission.record_uncertain(durable_key(2))
    assert not harness.writes.queue
    harness.disk.mark_loaded()
    now = boottime()
    harness.admission.record_deferred(now + 5.0)
    (record,) = harness.queued_records()
    assert (record.digest, record.run_state) == (key(2), RunState.FAILED)
    assert now + 5.0 < record.expires_at < now + 6.5, "the time for which the key was deferred is subtracted"
    harness.admission.record_deferred(now + 9.0)
    assert len(harness.writes.queue) == 1, "deferred keys are written only once"
    harness.writes.cancel_timers()
