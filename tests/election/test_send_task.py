"""SendTask: batches keep their contents under their keys, and checkpoints record what may have been sent."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from shelfhaven.election.fenced_target import FencedTarget
from shelfhaven.election.leader_tasks import TaskFailedError
from shelfhaven.election.lease import LeaseLostError
from shelfhaven.election.send_task import SendProgress, SendSettings, SendTask
from shelfhaven.lab.target_stub import Mode, TargetStub
from tests.election.helpers import (
    LOG,
    ControlledLease,
    run_with_timeout,
    wait_until,
)


class SendScenario:
    """A file of `count` lines, a target, and settings for tasks that send the file."""

    def __init__(self, folder: Path, batch_size: int = 2, resend: bool = True, count: int = 6) -> None:
        self.path, self.target, self.batch_size, self.resend = folder / "f", TargetStub(), batch_size, resend
        self.path.write_text("".join(f"{n}\n" for n in range(count)))

    def make_task(self) -> SendTask:
        settings = SendSettings(self.path, 0.01, self.batch_size, self.resend)
        return SendTask(settings, FencedTarget(self.target.url, 0.3), LOG)

    def sent_keys(self) -> list[str]:
        return [effect.key for effect in self.target.applied("d")]


@pytest.mark.parametrize(
    ("checkpoint", "progress"),
    [
        ("", SendProgress(0)),
        ("7", SendProgress(7)),
        ("7?12", SendProgress(7, 12)),
        ("7?", SendProgress(7)),
        ("of another task", SendProgress(0)),
        ("\u00b2", SendProgress(0)),  # superscript two: str.isdigit() is true, int() fails
        ("7?\u00b2", SendProgress(7)),
    ],
)
def test_a_checkpoint_records_what_may_have_been_sent(checkpoint: str, progress: SendProgress) -> None:
    assert SendProgress.parse(checkpoint) == progress
    assert SendProgress.parse(progress.checkpoint()) == progress


def test_a_file_is_sent_in_batches_and_continued_from_the_checkpoint(tmp_path: Path) -> None:
    async def check() -> None:
        scenario = SendScenario(tmp_path)
        await scenario.target.start()
        first_term = ControlledLease()
        running = asyncio.ensure_future(scenario.make_task().run(first_term.lease))
        await wait_until(lambda: first_term.checkpoints and first_term.checkpoints[-1] == "6")
        with scenario.path.open("a") as file:
            file.write("6\n7")  # the last line is incomplete
        await wait_until(lambda: first_term.checkpoints[-1] == "7")
        first_term.lease.finishing.set()
        await running
        assert scenario.sent_keys() == ["d/0", "d/2", "d/4", "d/6"]
        second_term = ControlledLease("4", 4)
        running = asyncio.ensure_future(scenario.make_task().run(second_term.lease))
        await wait_until(lambda: second_term.checkpoints and second_term.checkpoints[-1] == "7")
        second_term.lease.finishing.set()
        await running
        assert scenario.sent_keys()[4:] == ["d/4", "d/6"]
        assert [effect.repeated for effect in scenario.target.applied("d")][4:] == [
            True,
            True,
        ], "sent again under the same keys"
        await scenario.target.stop()

    run_with_timeout(check)


def test_a_batch_keeps_its_contents_under_its_key_while_the_file_grows(tmp_path: Path) -> None:
    async def check() -> None:
        scenario = SendScenario(tmp_path, batch_size=5, count=2)
        await scenario.target.start()
        scenario.target.mode = Mode.LOSE
        first_term = ControlledLease()
        running = asyncio.ensure_future(scenario.make_task().run(first_term.lease))
        await wait_until(lambda: scenario.target.requests)
        with scenario.path.open("a") as file:
            file.write("2\n3\n")
        await wait_until(lambda: len(scenario.target.requests) > 1)
        first_term.lease.revoke()  # another leader continues, with a different batch size
        with pytest.raises(LeaseLostError):
            await running
        scenario.target.mode, scenario.batch_size = Mode.SERVE, 3
        second_term = ControlledLease(first_term.checkpoints[-1], 4)
        running = asyncio.ensure_future(scenario.make_task().run(second_term.lease))
        await wait_until(lambda: second_term.checkpoints and second_term.checkpoints[-1] == "4")
        second_term.lease.finishing.set()
        await running
        bodies = {effect.key: effect.body for effect in scenario.target.requests}
        assert bodies == {"d/0": b"0\n1\n", "d/2": b"2\n3\n"}
        assert not any(effect.body_changed for effect in scenario.target.requests)
        await scenario.target.stop()

    run_with_timeout(check)


def test_a_batch_that_must_not_be_resent_is_skipped_and_logged(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def check() -> None:
        logged: list[dict[str, Any]] = []
        monkeypatch.setattr(LOG, "event", lambda event, **fields: logged.append({"event": event, **fields}))
        scenario = SendScenario(tmp_path, resend=False)
        await scenario.target.start()
        scenario.target.mode = Mode.LOSE
        first_term = ControlledLease()
        running = asyncio.ensure_future(scenario.make_task().run(first_term.lease))
        await wait_until(lambda: len(scenario.target.requests) == 1)
        assert first_term.checkpoints == ["0?2"], "the checkpoint is saved before the batch is sent"
        scenario.target.mode = Mode.SERVE
        await wait_until(lambda: first_term.checkpoints[-1] == "6")
        first_term.lease.finishing.set()
        await running
        assert scenario.sent_keys() == ["d/0", "d/2", "d/4"]
        assert [line["piece"] for line in logged if line["event"] == "duty_unclear"] == [0]
        second_term = ControlledLease("2?4", 4)
        running = asyncio.ensure_future(scenario.make_task().run(second_term.lease))
        await wait_until(lambda: second_term.checkpoints and second_term.checkpoints[-1] == "6")
        second_term.lease.finishing.set()
        await running
        assert scenario.sent_keys()[3:] == ["d/4"], "a batch that may have been sent is skipped"
        assert [line["piece"] for line in logged if line["event"] == "duty_unclear"] == [0, 2]
        await scenario.target.stop()

    run_with_timeout(check)


def test_the_task_fails_after_repeated_errors_and_without_its_file(tmp_path: Path) -> None:
    async def check() -> None:
        scenario = SendScenario(tmp_path)
        await scenario.target.start()
        scenario.target.mode = Mode.FAIL
        with pytest.raises(TaskFailedError):
            await scenario.make_task().run(ControlledLease().lease)
        without_file = SendTask(
            SendSettings(tmp_path / "none", 0.01, 1, True), FencedTarget(scenario.target.url, 0.3), LOG
        )
        with pytest.raises(TaskFailedError):
            await without_file.run(ControlledLease().lease)
        await scenario.target.stop()

    run_with_timeout(check)
