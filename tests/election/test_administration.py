"""Inspecting tasks and planning changes for the command line: what is printed, and what would be written."""

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


def test_statuses_are_read_with_and_without_a_holder() -> None:
    async def check() -> None:
        store = InProcessStore()
        change = {holder_key("a"): Put(HOLDER.encode()), task_key("a"): Put(RECORD.encode())}
        await store.compare_and_set(CompareAndSet({}, change))
        with_holder, without = await administration.read_statuses(store, ["a", "b"])
        assert (with_holder.holder, with_holder.record) == (HOLDER, RECORD)
        assert with_holder.record_revision > 0
        assert without == TaskStatus("b", None, TaskRecord(), 0)

    asyncio.run(check())


def test_the_table_has_one_line_a_task() -> None:
    given = TaskStatus("a", HOLDER, TaskRecord(7, successor="n2"), 1)
    taken_away = TaskStatus("b", None, TaskRecord(3, disabled=True), 1)
    assert administration.format_table([given, taken_away]) == [
        "duty                       number  holder",
        "a                               7  n1 (given to n2)",
        "b                               3  - (taken away)",
    ]


def test_the_detail_names_holder_candidates_and_checkpoint() -> None:
    assert administration.format_detail(STATUS, RANKING) == [
        "settle: n1",
        "number 7, last taken by n1",
        "held under 7 by n1, asked at 127.0.0.1:4200",
        "stand by, in order: n1, n2",
        "note: '120'",
    ]
    unknown = TaskStatus("settle", None, TaskRecord(), 0)
    assert administration.format_detail(unknown, NO_CANDIDATES) == [
        "settle: -",
        "number 0, last taken by nobody",
        "stand by, in order: nobody",
        "note: ''",
    ]


def test_a_task_is_given_to_candidates_alone() -> None:
    change = administration.plan_giving(STATUS, "n2", RANKING)
    assert change.record == TaskRecord(7, "120", "n1", "n2")
    assert change.description == "settle: from n1 to n2, once what is in hand is done"
    to_first = administration.plan_giving(STATUS, "", RANKING)
    assert to_first.record == RECORD
    assert to_first.description == "settle: from n1 to n1, once what is in hand is done"
    with pytest.raises(administration.NotACandidateError) as refused:
        administration.plan_giving(STATUS, "n9", RANKING)
    assert str(refused.value) == "n9 does not stand by for settle; who does: n1, n2"


def test_a_task_that_is_taken_away_has_no_successor() -> None:
    given = TaskStatus("settle", None, TaskRecord(7, "120", "n1", "n2"), 5)
    change = administration.plan_disabling(given)
    assert change.record == TaskRecord(7, "120", "n1", "", True)
    assert change.description == "settle: from nobody; nobody does it until it is given again"


def test_an_operators_change_outlasts_a_leaders_checkpoints_and_nothing_else() -> None:
    async def check() -> None:
        engine = InProcessStore()
        key = task_key("d")

        async def write(record: TaskRecord) -> None:
            entry = (await engine.read([key])).items[key]
            await engine.compare_and_set(
                CompareAndSet({key: entry.revision if entry else 0}, {key: Put(record.encode())})
            )

        await write(TaskRecord(5, "10", "a"))
        (seen,) = await administration.read_statuses(engine, ["d"])
        await write(TaskRecord(5, "20", "a"))
        given = administration.PlannedChange(seen, replace(seen.record, successor="b"), "")
        done = await administration.carry_out(engine, given)
        assert done == CommandOutput(["d: done; its holder hands it on in order"], 0)
        (now,) = await administration.read_statuses(engine, ["d"])
        assert now.record == TaskRecord(5, "20", "a", "b"), "the leader's checkpoint is kept"
        await write(TaskRecord(6, "20", "c"))
        taken_away = administration.PlannedChange(now, replace(now.record, disabled=True), "")
        refused = await administration.carry_out(engine, taken_away)
        assert refused.exit_code == administration.EXIT_CONFLICT

    run_with_timeout(check)
