"""Group commit: writes that queue up during one commit are committed together, with a single sync.

Owns the queue of writes. Their order must be kept, as writes of the same key build on each other. The
`CommitListener` decides what a commit, or its failure, means for the requests.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

import apsw

from shelfhaven.membership.clock import boottime
from shelfhaven.server.background_tasks import BackgroundTasks
from shelfhaven.state.disk_monitor import DiskMonitor
from shelfhaven.state.records import Mutation
from shelfhaven.state.settings import StateSettings, SyncMode
from shelfhaven.state.store import Store
from shelfhaven.state.writer import WriterThread

MAX_COMMIT_WRITES = 512  # per transaction
MAX_RETAINED_WRITES = 16_384  # kept in memory until a failed disk works again


@dataclass(eq=False, slots=True)
class PendingWrite:
    """A write that is not on disk yet.

    `request_id`: the request that waits for the write, or None; `intent_digest`: the digest of the key if the
    write is an intent, else None; `timer`: ends the request's wait.
    """

    mutation: Mutation
    request_id: int | None = None
    intent_digest: bytes | None = None
    timer: asyncio.TimerHandle | None = None


class CommitListener(Protocol):
    """Receives the results of commits."""

    def write_committed(self, write: PendingWrite) -> None:
        """Called for each write of a successful commit."""

    def commit_failed(self, batch: Sequence[PendingWrite]) -> list[PendingWrite]:
        """Called with the writes of a failed commit, each of which may or may not be on disk.

        Return the writes to queue in their place, in order.
        """


class GroupCommit:
    """Queues writes and commits them in batches, one batch at a time."""

    def __init__(
        self,
        settings: StateSettings,
        disk: DiskMonitor,
        writer: WriterThread,
        tasks: BackgroundTasks,
        counts: Counter[str],
    ) -> None:
        self.queue: deque[PendingWrite] = deque()
        self.is_committing = False
        self.boot = 0  # number of the machine's current boot; set by `open`
        self._settings = settings
        self._disk = disk
        self._writer = writer
        self._tasks = tasks
        self._counts = counts
        self._store: Store | None = None
        self._listener: CommitListener | None = None
        self._sync_timer: asyncio.TimerHandle | None = None
        self._retry_timer: asyncio.TimerHandle | None = None

    def open(self, store: Store, boot: int, listener: CommitListener) -> None:
        """Set the store and the listener; writes that are queued earlier wait for this."""
        self._store = store
        self._listener = listener
        self.boot = boot

    @property
    def is_idle(self) -> bool:
        """Whether no write is queued or being committed."""
        return not self.queue and not self.is_committing

    def append(self, write: PendingWrite) -> None:
        """Add a write to the end of the queue."""
        self.queue.append(write)

    def remove(self, write: PendingWrite) -> bool:
        """Remove a write from the queue.

        Return False if the write is no longer queued, because its commit has begun.
        """
        if write not in self.queue:
            return False
        self.queue.remove(write)
        return True

    def schedule(self) -> None:
        """Commit the queue: at once if each write is synced, else after `sync_interval`."""
        if self._settings.sync is SyncMode.EACH:
            self.start_commit()
        elif self._sync_timer is None:
            loop = asyncio.get_running_loop()
            self._sync_timer = loop.call_later(self._settings.sync_interval, self._on_sync_timer)

    def _on_sync_timer(self) -> None:
        self._sync_timer = None
        self.start_commit()

    def start_commit(self) -> None:
        """Begin a commit of queued writes, unless one is in progress.

        During the backoff after a disk failure, schedule a retry instead.
        """
        if self.is_committing or not self.queue or self._store is None or self._listener is None:
            return
        now = boottime()
        if not self._disk.health.may_commit(now):
            self._retry_later(self._disk.health.retry_at - now)
            return
        batch = [self.queue.popleft() for _ in range(min(MAX_COMMIT_WRITES, len(self.queue)))]
        self.is_committing = True
        self._disk.health.commit_started(now)
        self._tasks.start(self._commit(self._store, self._listener, batch))

    def _retry_later(self, delay: float) -> None:
        if self._retry_timer:
            self._retry_timer.cancel()
        self._retry_timer = asyncio.get_running_loop().call_later(delay, self.start_commit)

    async def _commit(self, store: Store, listener: CommitListener, batch: list[PendingWrite]) -> None:
        mutations = [write.mutation for write in batch]
        try:
            await self._writer.run(store.commit, mutations, self.boot, boottime())
        except (apsw.Error, OSError) as error:
            self.is_committing = False
            self._disk.failed(error)
            self._requeue(listener.commit_failed(batch))
            self.start_commit()
            return
        self.is_committing = False
        self._disk.succeeded()
        self._counts["commits"] += 1
        self._counts["writes"] += len(batch)
        for write in batch:
            listener.write_committed(write)
        self.start_commit()

    def _requeue(self, writes: list[PendingWrite]) -> None:
        """Put writes back at the head of the queue, to keep the order of the writes of each key.

        Writes beyond `MAX_RETAINED_WRITES` are dropped. The intents of their keys then stay on disk, so that
        these keys count as run.
        """
        capacity = max(0, MAX_RETAINED_WRITES - len(self.queue))
        self.queue.extendleft(reversed(writes[:capacity]))

    def operation_failed(self, error: Exception) -> None:
        """Report the failure of an operation other than a commit."""
        self._disk.failed(error)
        self.start_commit()

    def cancel_timers(self) -> None:
        """Stop committing on timers; `start_commit` still begins a commit when called."""
        for timer in (self._sync_timer, self._retry_timer):
            if timer:
                timer.cancel()
