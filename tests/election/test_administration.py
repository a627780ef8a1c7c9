"""The command line's output on singleton tasks, and the records that its changes write."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from shelfhaven.command_output import CommandOutput
from shelfhaven.consensus.in_process import InProcessStore
from shelfhaven.consensus.store import CompareAndSet, Put
from shelfhaven.election import administration
from shelfhaven.election.administration import TaskStatus
from shelfhaven.election.candidate_ranking import NO_CANDIDATES, CandidateRanking
from shelfhaven.election.records import Holder, TaskRecord, holder_key, task_key
from tests.election.helpers import run_with_timeout

HOLDER = Holder("n1", 7, "127.0.0.1:4200")
RECORD = TaskRecord(7, "120", "n1")
STATUS = TaskStatus("settle", HOLDER, RECORD, 5)
RANKING = CandidateRanking(("n1", "n2"))


def test_reads_the_status_of_tasks_with_and_without_a_leader() -> None:
    async def check() -> None:
        store = InProcessStore()
        puts = {holder_key("a"): Put(HOLDER.encode()), task_key("a"): Put(RECORD.encode())}
        await store.compare_and_set(CompareAndSet({}, puts))
        with_leader, without_leader = await administration.read_statuses(store, ["a", "b"])
        assert (with_leader.holder, with_leader.record) == (HOLDER, RECORD)
        assert with_leader.record_revision > 0
        assert without_leader == TaskStatus("b", None, TaskRecord(), 0)

    asyncio.run(check())


def test_the_table_has_one_line_per_task() -> None:
    given = TaskStatus("a", HOLDER, TaskRecord(7, successor="n2"), 1)
    taken_away = TaskStatus("b", None, TaskRecord(3, disabled=True), 1)
    assert administration.format_table([given, taken_away]) == [
        "duty                        token  leader",
        "a                               7  n1 (given to n2)",
        "b                               3  - (taken away)",
    ]


def test_the_detail_shows_leader_candidates_and_checkpoint() -> None:
    assert administration.format_detail(STATUS, RANKING) == [
        "settle: n1",
        "fencing token 7, last leader: n1",
        "current term: token 7, node n1, address 127.0.0.1:4200",
        "candidates, in order: n1, n2",
        "checkpoint: '120'",
    ]
    never_led = TaskStatus("settle", None, TaskRecord(), 0)
    assert administration.format_detail(never_led, NO_CANDIDATES) == [
        "settle: -",
        "fencing token 0, last leader: nobody",
        "candidates, in order: nobody",
        "checkpoint: ''",
    ]


def test_a_task_is_given_only_to_a_candidate() -> None:
    change = administration.plan_assignment(STATUS, "n2", RANKING)
    assert change.record == TaskRecord(7, "120", "n1", "n2")
    assert change.description == "settle: from n1 to n2, after the work in progress has ended"
    to_first = administration.plan_assignment(STATUS, "", RANKING)
    assert to_first.record == RECORD
    assert to_first.description == "settle: from n1 to n1, after the work in progress has ended"
    with pytest.raises(administration.NotACandidateError) as rejected:
        administration.plan_assignment(STATUS, "n9", RANKING)
    assert str(rejected.value) == "n9 is not a candidate for settle; candidates: n1, n2"


def test_disabling_a_task_clears_its_successor() -> None:
    given = TaskStatus("settle", None, TaskRecord(7, "120", "n1", "n2"), 5)
    change = administration.plan_disabling(given)
    assert change.record == TaskRecord(7, "120", "n1", "", True)
    assert change.description == "settle: taken from nobody; no node runs it until it is given again"


def test_a_change_is_applied_if_only_the_checkpoint_has_changed_in_the_meantime() -> None:
    async def check() -> None:
        store = InProcessStore()
        key = task_key("d")

        async def write(record: TaskRecord) -> None:
            entry = (await store.read([key])).items[key]
            await store.compare_and_set(
                CompareAndSet({key: entry.revision if entry else 0}, {key: Put(record.encode())})
            )

        await write(TaskRecord(5, "10", "a"))
        (before,) = await administration.read_statuses(store, ["d"])
        await write(TaskRecord(5, "20", "a"))
        given = administration.PlannedChange(before, replace(before.record, successor="b"), "")
        done = await administration.apply_change(store, given)
        assert done == CommandOutput(["d: done; its leader, if any, hands it over"], 0)
        (after,) = await administration.read_statuses(store, ["d"])
        assert after.record == TaskRecord(5, "20", "a", "b"), "the new checkpoint is kept"
        await write(TaskRecord(6, "20", "c"))
        taken_away = administration.PlannedChange(after, replace(after.record, disabled=True), "")
        conflict = await administration.apply_change(store, taken_away)
        assert conflict.exit_code == administration.EXIT_CONFLICT

    run_with_timeout(check)
