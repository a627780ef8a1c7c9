"""Runs the work of the tasks that this node leads, each under its own `LeaderLease`.

`TaskRunner` starts and cancels the asyncio tasks that do the work. Which tasks this node leads is decided by
the elector.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from shelfhaven.election import messages
from shelfhaven.election.leader_tasks import LeaderTask, TaskFailedError
from shelfhaven.election.lease import LeaderLease, LeaseLostError
from shelfhaven.server.log import Log


class TaskRunner:
    """Carries out the elector's effects on the work of tasks.

    `make_task` creates the work of a task for one term of leadership. `time_to_act` returns the seconds for
    which the node is certain to lead a task under a fencing token. `notify_elector` passes an input to the
    elector.
    """

    def __init__(
        self,
        make_task: Callable[[str], LeaderTask],
        time_to_act: Callable[[str, int], float],
        notify_elector: Callable[[messages.Input], None],
        log: Log,
    ) -> None:
        self.make_task = make_task
        self.time_to_act = time_to_act
        self.notify_elector = notify_elector
        self.log = log
        self.leases: dict[str, LeaderLease] = {}  # by task
        self.running: dict[str, asyncio.Task[None]] = {}  # by task

    def carry_out(self, effect: messages.Effect) -> None:
        """Carry out an effect on the work of a task; effects on work that has ended are ignored."""
        match effect:
            case messages.StartTask():
                self._start(effect)
            case messages.SuspendTask() if lease := self._find_lease(effect.task, effect.fencing_token):
                lease.suspend()
            case messages.ResumeTask() if lease := self._find_lease(effect.task, effect.fencing_token):
                lease.resume()
            case messages.FinishTask() if lease := self._find_lease(effect.task, effect.fencing_token):
                lease.finishing.set()
            case messages.StopTask() if lease := self._find_lease(effect.task, effect.fencing_token):
                lease.revoke()
                if work := self.running.get(effect.task):
                    work.cancel()
            case messages.CheckpointSaved() if lease := self.leases.get(effect.task):
                lease.checkpoint_saved(effect.checkpoint)

    def revoke_all(self) -> None:
        """Revoke the leases of all work, so that none of it can act any more."""
        for lease in self.leases.values():
            lease.revoke()

    def asyncio_tasks(self) -> Iterable[asyncio.Task[None]]:
        """Return the asyncio tasks of the running work."""
        return self.running.values()

    def _find_lease(self, name: str, fencing_token: int) -> LeaderLease | None:
        lease = self.leases.get(name)
        return lease if lease and lease.fencing_token == fencing_token else None

    def _start(self, effect: messages.StartTask) -> None:
        name, token = effect.task, effect.fencing_token
        lease = LeaderLease(
            name,
            token,
            effect.checkpoint,
            lambda: self.time_to_act(name, token),
            lambda checkpoint: self.notify_elector(messages.CheckpointReached(name, token, checkpoint)),
            lambda highest: self.notify_elector(messages.FencingTokenRejected(name, token, highest)),
        )
        previous = self.running.get(name)
        self.leases[name] = lease
        self.running[name] = asyncio.ensure_future(self._run(lease, previous))

    async def _run(self, lease: LeaderLease, previous: asyncio.Task[None] | None) -> None:
        """Do the work of one term of leadership, after the work of the previous term has ended."""
        work: LeaderTask | None = None
        failed = False
        try:
            if previous:
                await asyncio.gather(previous, return_exceptions=True)
            work = self.make_task(lease.task)
            await work.run(lease)
        except LeaseLostError:
            pass  # the elector has ended the term; the work has not failed
        except Exception as error:  # noqa: BLE001 - operators configure the work, so it may raise anything
            failed = True
            message = str(error) if isinstance(error, TaskFailedError) else repr(error)
            self.log.event("duty_work", duty=lease.task, fence=lease.fencing_token, error=message)
        finally:
            if work:
                work.close()
            self.log.event(
                "duty_work_over", duty=lease.task, fence=lease.fencing_token, acted=lease.actions_started
            )
            if self.running.get(lease.task) is asyncio.current_task():
                del self.running[lease.task], self.leases[lease.task]
        # If the elector has revoked the lease, it may have restarted the work under the same token already.
        if not lease.revoked:
            self.notify_elector(messages.TaskEnded(lease.task, lease.fencing_token, failed))
