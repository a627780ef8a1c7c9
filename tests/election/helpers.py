"""Test helpers: an elector with one task, a leader lease that the test controls, and time limits."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any, TypeVar

from shelfhaven.consensus.store import CompareAndSet, CompareAndSetResult, Entry, Snapshot
from shelfhaven.election import elector, messages
from shelfhaven.election.candidate_ranking import CandidateRanking
from shelfhaven.election.lease import LeaderLease
from shelfhaven.election.lease_upkeep import NodeLease
from shelfhaven.election.records import Holder, TaskRecord
from shelfhaven.election.settings import ElectorSettings
from shelfhaven.election.task_ownership import OwnershipState, TaskOwnership
from shelfhaven.server.log import Log

EffectT = TypeVar("EffectT", bound=messages.Effect)

LOG = Log("test")
SETTINGS = ElectorSettings(
    lease_duration=10.0,
    safety_margin=0.5,
    clock_drift=0.05,
    candidate_delay=0.5,
    hand_over_after=5.0,
    hand_over_cooldown=10.0,
)

SAFE_SECONDS = 10.0 * 0.95 - 0.5  # after the request for a lease, during which the node may act on it

HOLDER_KEY = "hold/d"
TASK_KEY = "duty/d"


class SingleTaskElector:
    """An elector with one task `d`, and the effects that it has returned."""

    def __init__(self, order: tuple[str, ...] = ("me", "other")) -> None:
        self.elector = elector.Elector(SETTINGS, "me", 0.0, Random(1))
        self.elector.state.token_range = 1  # makes tokens predictable
        self.effects: list[messages.Effect] = []
        self.tell(0.0, messages.CandidatesRanked({"d": CandidateRanking(order)}, 3))

    def tell(self, now: float, event: messages.Input | None = None) -> list[messages.Effect]:
        effects = self.elector.on(now, event) if event else self.elector.wake(now)
        self.effects += effects
        return effects

    def read(
        self, now: float, holder: Entry | None = None, record: Entry | None = None, revision: int = 5
    ) -> None:
        self.tell(now, messages.RecordsRead(Snapshot(revision, {HOLDER_KEY: holder, TASK_KEY: record})))

    def until(self, now: float, kind: type[EffectT]) -> EffectT:
        """Wake the elector whenever it is due, until it returns an effect of this kind; return the effect."""
        for _ in range(100):
            found = [effect for effect in self.effects if isinstance(effect, kind)]
            if found:
                self.effects.clear()
                return found[0]
            now = max(now, self.elector.next_wake())
            assert now < math.inf
            self.now = now
            self.tell(now)
        raise AssertionError(f"no effect of type {kind.__name__} after 100 wake-ups")

    def acquire(self) -> CompareAndSet:
        """Acquire the task with a lease that is granted 0.4 s after its request; return the write."""
        self.read(0.0)
        self.until(1.0, messages.RequestLease)
        requested_at = self.now
        self.tell(requested_at + 0.4, messages.LeaseGranted(7, 10.0))
        write = next(effect for effect in self.effects if isinstance(effect, messages.WriteRecord))
        answer = messages.WriteAnswered("d", CompareAndSetResult(True, 6), self.task.write_id)
        self.tell(requested_at + 0.5, answer)
        assert self.state() is OwnershipState.LEADING
        return write.change

    @property
    def lease(self) -> NodeLease:
        return self.elector.lease_upkeep.lease

    @property
    def task(self) -> TaskOwnership:
        return self.elector.tasks["d"]

    def state(self) -> OwnershipState:
        return self.task.state

    def entries(self, lease: int = 7) -> tuple[Entry, Entry]:
        """Return the holder entry and the task entry as they are after `acquire`."""
        token = self.task.fencing_token or 1
        return Entry(Holder("me", token).encode(), 6, lease), Entry(TaskRecord(token).encode(), 6)


class ControlledLease:
    """A leader lease whose time to act is set by the test; checkpoints are saved at once."""

    def __init__(self, checkpoint: str = "", fencing_token: int = 3) -> None:
        self.time_to_act = 10.0
        self.checkpoints: list[str] = []
        self.reported_tokens: list[int] = []  # higher tokens, reported with rejections
        self.lease = LeaderLease(
            "d",
            fencing_token,
            checkpoint,
            lambda: self.time_to_act,
            self._checkpoint_reached,
            self.reported_tokens.append,
        )

    def _checkpoint_reached(self, checkpoint: str) -> None:
        self.checkpoints.append(checkpoint)
        asyncio.get_running_loop().call_soon(self.lease.checkpoint_saved, checkpoint)


def run_with_timeout(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test in an event loop, with a time limit."""

    async def with_timeout() -> None:
        async with asyncio.timeout(15):
            await test()

    asyncio.run(with_timeout())


async def wait_until(condition: Callable[[], Any]) -> None:
    """Wait until a condition is true. Raises TimeoutError."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)
