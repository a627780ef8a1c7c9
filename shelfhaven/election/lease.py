"""The lease that a singleton task gets for one term of leadership: its only means to act on a target.

An action starts only while the elector allows it, and is cancelled when leadership becomes uncertain.

Every action needs a `Permit`. Only `LeaderLease.act` creates one, after it has compared the lease with the
clock; a timer alone would not be safe, because it does not fire while the process is suspended.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import TypeVar

from shelfhaven.errors import ShelfhavenError

ResultT = TypeVar("ResultT")
SHORT_LEASE_CHECK_INTERVAL = 0.05  # seconds between checks while too little time is left to act
CONFIRMATION_CHECK_INTERVAL = 1.0  # seconds between checks while leadership is uncertain


class LeaseLostError(ShelfhavenError):
    """The node no longer leads the task."""


class LeaseUncertainError(ShelfhavenError):
    """Leadership became uncertain or the target rejected the token; the outcome of the action is unknown."""


class FencedOffError(ShelfhavenError):
    """The target has seen a higher fencing token."""

    def __init__(self, highest: int) -> None:
        super().__init__(f"fencing token {highest} was already seen by the target")
        self.highest = highest


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission for one action of a task, with its fencing token.

    `time_to_act` returns the seconds for which the node is still sure to lead the task.
    """

    task: str
    fencing_token: int
    time_to_act: Callable[[], float]

    def time_left(self) -> float:
        """Return the seconds for which the action may continue; 0 when leadership has ended."""
        return self.time_to_act()


class LeaderLease:
    """One term of leadership of a task, with one fencing token.

    `time_to_act` returns the seconds for which the node is still sure to lead the task. `checkpoint_reached`
    and `token_rejected` report to the elector.
    """

    def __init__(
        self,
        task: str,
        fencing_token: int,
        checkpoint: str,
        time_to_act: Callable[[], float],
        checkpoint_reached: Callable[[str], None],
        token_rejected: Callable[[int], None],
    ) -> None:
        self.task = task
        self.fencing_token = fencing_token
        self.checkpoint = checkpoint
        self._time_to_act = time_to_act
        self._checkpoint_reached = checkpoint_reached
        self._token_rejected = token_rejected
        self.confirmed = asyncio.Event()  # set unless leadership is uncertain
        self.confirmed.set()
        self.finishing = asyncio.Event()  # set when the task is to stop after its work in progress
        self.revoked = False
        self._actions: set[asyncio.Task[object]] = set()
        self._cancelled_actions: set[asyncio.Task[object]] = set()
        self._saved_events: dict[str, asyncio.Event] = {}  # of the checkpoints that `save_checkpoint` awaits
        self.actions_started = 0

    # For the task

    async def act(
        self, action: Callable[[Permit], Coroutine[object, None, ResultT]], min_time_to_act: float = 0.0
    ) -> ResultT:
        """Run an action as soon as the node is sure to lead for more than `min_time_to_act` seconds.

        Raises LeaseLostError and LeaseUncertainError.
        """
        await self._wait_for_leadership(min_time_to_act)
        permit = Permit(self.task, self.fencing_token, self._time_to_act)
        task = asyncio.create_task(action(permit))
        self._actions.add(task)
        self.actions_started += 1
        try:
            return await task
        except FencedOffError as error:
            self._token_rejected(error.highest)
            raise LeaseUncertainError(str(error)) from None
        except asyncio.CancelledError:
            if self.revoked:
                raise LeaseLostError(self.task) from None
            if task in self._cancelled_actions:
                raise LeaseUncertainError("leadership became uncertain") from None
            raise
        finally:
            self._actions.discard(task)
            self._cancelled_actions.discard(task)

    def report_checkpoint(self, checkpoint: str) -> None:
        """Schedule a checkpoint to be saved for the next leader; a later one replaces it."""
        self.checkpoint = checkpoint
        self._checkpoint_reached(checkpoint)

    async def save_checkpoint(self, checkpoint: str) -> None:
        """Report a checkpoint and wait until the store has it. Raises LeaseLostError."""
        saved = self._saved_events.setdefault(checkpoint, asyncio.Event())
        self.report_checkpoint(checkpoint)
        await saved.wait()
        if self.revoked:
            raise LeaseLostError(self.task)

    async def continue_after(self, seconds: float) -> bool:
        """Wait before the next piece of work; return False, without further delay, if the task is to stop."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.finishing.wait()
        return not self.finishing.is_set() and not self.revoked

    # For the task runner

    def suspend(self) -> None:
        """Cancel the running actions and start no others until `resume` is called."""
        self.confirmed.clear()
        self._cancel_actions()

    def resume(self) -> None:
        """Allow actions again after leadership has been confirmed."""
        self.confirmed.set()

    def revoke(self) -> None:
        """End the term of leadership and cancel the running actions."""
        self.revoked = True
        self.finishing.set()
        self.confirmed.set()
        self._cancel_actions()
        for saved in self._saved_events.values():
            saved.set()

    def checkpoint_saved(self, checkpoint: str) -> None:
        """Wake the task that waits until this checkpoint is saved."""
        if saved := self._saved_events.pop(checkpoint, None):
            saved.set()

    async def _wait_for_leadership(self, min_time_to_act: float) -> None:
        while not self.revoked and (not self.confirmed.is_set() or self._time_to_act() <= min_time_to_act):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CONFIRMATION_CHECK_INTERVAL):
                    await self.confirmed.wait()
            if self.confirmed.is_set() and self._time_to_act() <= min_time_to_act:
                await asyncio.sleep(SHORT_LEASE_CHECK_INTERVAL)
        if self.revoked:
            raise LeaseLostError(self.task)

    def _cancel_actions(self) -> None:
        for task in self._actions:
            self._cancelled_actions.add(task)
            task.cancel()
