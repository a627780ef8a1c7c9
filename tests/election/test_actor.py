"""The election actor and the task runner: tasks start, are handed over and end with leadership."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from shelfhaven.consensus.in_process import InProcessStore
from shelfhaven.election import messages
from shelfhaven.election.actor import ElectionActor, ElectionEnvironment
from shelfhaven.election.candidate_ranking import CandidateNode, CandidateRanking
from shelfhaven.election.leader_tasks import LeaderTask, TaskFailedError
from shelfhaven.election.lease import LeaderLease, LeaseLostError, Permit
from shelfhaven.election.settings import ElectorSettings
from shelfhaven.election.task_runner import TaskRunner
from shelfhaven.operator_config.singleton_tasks import (
    SingletonTasksConfig,
    StoreConfig,
    StoreKind,
    TaskConfig,
    TaskKind,
)
from shelfhaven.program.singleton_tasks import SingletonTasksComponent
from tests.election.helpers import LOG, run_with_timeout, wait_until


def test_a_draining_node_hands_its_task_over_and_the_next_leader_continues_it() -> None:
    async def check() -> None:
        runs: list[tuple[str, int, str]] = []  # task, fencing token and first checkpoint

        class Counting(LeaderTask):
            async def run(self, lease: LeaderLease) -> None:
                runs.append((lease.task, lease.fencing_token, lease.checkpoint))
                count = int(lease.checkpoint or 0)
                while await lease.continue_after(0.01):
                    count += 1
                    lease.report_checkpoint(str(count))

        store = InProcessStore()
        settings = ElectorSettings(lease_duration=2.0, safety_margin=0.2, candidate_delay=0.05)
        actors = [
            ElectionActor(
                settings,
                {"d": ""},
                ElectionEnvironment(name, "", store, lambda _: Counting(), lambda: 1.0, 0, LOG),
            )
            for name in ("a", "b")
        ]
        for actor in actors:
            actor.nodes_changed([CandidateNode("a"), CandidateNode("b")])
            actor.start()
        await wait_until(lambda: runs)
        first = next(actor for actor in actors if actor.elector.led_tasks())
        second = actors[1 - actors.index(first)]
        await asyncio.sleep(0.6)
        first.drain()
        await wait_until(lambda: len(runs) == 2)
        assert 0 < runs[0][1] < runs[1][1]
        assert int(runs[1][2]) > 5, "the second leader starts from the first one's checkpoint"
        assert second.load_now()["holding"] == ["d"]
        await first.close()
        await second.close()

    run_with_timeout(check)


def test_the_end_of_a_stopped_run_is_not_reported_as_that_of_the_next_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check() -> None:
        class SlowToStop(LeaderTask):
            async def run(self, lease: LeaderLease) -> None:
                async def action(_: Permit) -> None:
                    await lease.finishing.wait()
                    await asyncio.sleep(0)

                await lease.act(action)

        settings = ElectorSettings()
        environment = ElectionEnvironment(
            "a", "", InProcessStore(), lambda _: SlowToStop(), lambda: 1.0, 0, LOG
        )
        actor = ElectionActor(settings, {}, environment)
        inputs: list[messages.Input] = []
        monkeypatch.setattr(actor, "tell", inputs.append)
        monkeypatch.setattr(actor.elector, "time_to_act", lambda *_: 10.0)
        actor.task_runner.carry_out(messages.StartTask("d", 5, ""))
        await asyncio.sleep(0.01)
        actor.task_runner.carry_out(messages.StopTask("d", 5))
        # The store turns out to name this node as the leader, with the same token.
        actor.task_runner.carry_out(messages.StartTask("d", 5, ""))
        await asyncio.sleep(0.05)
        assert inputs == []
        actor.task_runner.carry_out(messages.FinishTask("d", 5, 1.0))
        await wait_until(lambda: inputs)
        assert inputs == [messages.TaskEnded("d", 5, False)]
        await actor.close()

    run_with_timeout(check)


def test_rankings_of_tasks_that_are_no_longer_configured_yield_no_zone_watchers() -> None:
    component = SingletonTasksComponent.__new__(SingletonTasksComponent)
    tasks = {name: TaskConfig(name, TaskKind.WATCH_LIST, name, 1.0) for name in ("a", "b", "c")}
    component.config = SingletonTasksConfig(StoreConfig(StoreKind.ALONE, 1.0), ElectorSettings(), tasks)
    fleet = SimpleNamespace(zone_watchers=set())
    member = SimpleNamespace(fleet=fleet)
    component.membership = SimpleNamespace(actor=SimpleNamespace(member=member))  # type: ignore[assignment]
    component._prefer_list_watchers(
        {"a": CandidateRanking(("n1", "n2")), "b": CandidateRanking(()), "gone": CandidateRanking(("n3",))}
    )
    assert fleet.zone_watchers == {"nodes/a/n1"}


@pytest.mark.parametrize(
    ("error", "failed", "logged"),
    [
        (TaskFailedError("no file"), True, "no file"),
        (RuntimeError("a bug"), True, "RuntimeError('a bug')"),
        (LeaseLostError("d"), False, None),
        (None, False, None),
    ],
)
def test_any_exception_ends_the_task_and_only_failures_are_logged(
    error: Exception | None, failed: bool, logged: str | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    class Raising(LeaderTask):
        async def run(self, lease: LeaderLease) -> None:
            if error:
                raise error

    async def check() -> None:
        log_lines: list[tuple[str, str | None]] = []
        monkeypatch.setattr(
            LOG, "event", lambda event, **fields: log_lines.append((event, fields.get("error")))
        )
        inputs: list[messages.Input] = []
        runner = TaskRunner(lambda _: Raising(), lambda *_: 10.0, inputs.append, LOG)
        runner.carry_out(messages.StartTask("d", 5, ""))
        await asyncio.gather(*runner.asyncio_tasks())
        assert inputs == [messages.TaskEnded("d", 5, failed)]
        failures = [("duty_work", logged)] if logged else []
        assert log_lines == [*failures, ("duty_work_over", None)]
        assert not runner.leases

    run_with_timeout(check)
