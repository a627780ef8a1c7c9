"""Actor of the durable key store: connects the core to the writer thread.

Owns the thread, the background tasks and the timers for the lifetime of the node. It never blocks the event
loop. How requests are handled during a disk fault is decided in `disk_health.py`, not here.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

import apsw

from shelfhaven.membership.clock import boottime
from shelfhaven.server import messages
from shelfhaven.server.background_tasks import BackgroundTasks
from shelfhaven.server.log import Log
from shelfhaven.state.admission import AdmissionMessage, KeyAdmission
from shelfhaven.state.disk_health import DiskState
from shelfhaven.state.disk_monitor import DiskMonitor
from shelfhaven.state.group_commit import GroupCommit
from shelfhaven.state.previous_incarnation import PreviousIncarnation
from shelfhaven.state.records import KeyLabel, KeyRecord, RunState, decode_label
from shelfhaven.state.recovery import RecoveredFile, Recovery
from shelfhaven.state.settings import StateSettings, SyncMode
from shelfhaven.state.store import Store
from shelfhaven.state.writer import WriterThread

SAVE_ESTIMATES_INTERVAL = 2.0  # seconds
MAINTENANCE_INTERVAL = 1.0  # seconds between purges of expired keys
DRAIN_POLL_INTERVAL = 0.002  # seconds between checks for unfinished writes while the store shuts down
MAX_RECONCILED_KEYS = 1024  # uncertain keys of earlier incarnations that a start passes to `reconcile`
MAX_LOGGED_SECONDS = 1e6  # JSON has no infinity

StateMessage = AdmissionMessage | messages.StoredResultFetched  # messages sent to the core


def _no_estimates() -> bytes:
    return b""


def _ignore_estimates(_estimates: bytes, _age: float) -> None:
    pass


def _ignore_key(_label: KeyLabel) -> None:
    pass


@dataclass(slots=True)
class IncarnationHooks:
    """Callbacks by which the rest of the node saves data for the next incarnation and restores it.

    `save_estimates`: returns the node's encoded estimates, or b"" if there are none.
    `restore_estimates`: receives the previous incarnation's encoded estimates and their age in seconds.
    `reconcile`: receives the label of each uncertain key that is found at startup.
    """

    save_estimates: Callable[[], bytes] = _no_estimates
    restore_estimates: Callable[[bytes, float], None] = _ignore_estimates
    reconcile: Callable[[KeyLabel], None] = _ignore_key


class DurableKeyStore:
    """Stores idempotency keys in the key file; implements the core's `KeyStore` protocol."""

    def __init__(
        self,
        settings: StateSettings,
        notify: Callable[[StateMessage], None],
        log: Log,
        hooks: IncarnationHooks | None = None,
        open_store: Callable[[], Store] | None = None,
    ) -> None:
        self.settings = settings
        self.hooks = hooks or IncarnationHooks()
        self.counts: Counter[str] = Counter()
        self.previous = PreviousIncarnation()
        self.writer = WriterThread()
        self._notify = notify
        self._log = log
        self._tasks = BackgroundTasks()
        self._monitor = DiskMonitor(settings.disk, log)
        self.disk = self._monitor.health
        self.writes = GroupCommit(settings, self._monitor, self.writer, self._tasks, self.counts)
        self._admission = KeyAdmission(settings, self.disk, self.writes, notify, self.counts)
        self._recovery = Recovery(settings, self._monitor, open_store or self._open_store, log)
        self._maintenance_timer: asyncio.TimerHandle | None = None
        self._estimates_saved_at = 0.0
        self._is_ending = False

    def _open_store(self) -> Store:
        return Store(self.settings.file, self.settings.sync is not SyncMode.NONE)

    @property
    def store(self) -> Store | None:
        """The open store, or None if the file has not been opened yet."""
        return self._recovery.store

    # Startup and shutdown

    def start(self) -> None:
        """Begin to read the keys of earlier incarnations; requests without a key don't wait for it."""
        self._tasks.start(self._recover())

    async def end(self) -> None:
        """Commit queued writes for at most `max_wait` seconds, then close the file and stop the thread."""
        self._is_ending = True
        self.writes.cancel_timers()
        if self._maintenance_timer:
            self._maintenance_timer.cancel()
        deadline = time.monotonic() + self.settings.disk.max_wait
        while not self.writes.is_idle and time.monotonic() < deadline:
            self.writes.start_commit()
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
        self._tasks.cancel()
        if self.store and not self.writes.is_committing:
            if self.disk.loaded and (estimates := self.hooks.save_estimates()):
                self.writer.submit(partial(self._save_last_estimates, self.store, estimates))
            self.writer.submit(self.store.close)
        self.writer.stop()

    def _save_last_estimates(self, store: Store, estimates: bytes) -> None:
        """Save the estimates a last time; runs in the writer thread.

        Errors are ignored: the next incarnation then uses the last periodic save, as it does after a crash.
        """
        with contextlib.suppress(apsw.Error, OSError):
            store.save_estimates(self.writes.boot, boottime(), estimates)

    async def _recover(self) -> None:
        started_at = time.monotonic()
        recovered = await self._recovery.run(self.writer)
        now = boottime()
        uncertain_period = recovered.uncertain_period(self.settings.uncertain_period)
        self.previous = recovered.previous
        self.previous.mark_loaded(now + uncertain_period)
        self.writes.open(recovered.store, recovered.startup.boot, self._admission)
        self.disk.mark_loaded()
        self._log_recovery(recovered, uncertain_period, time.monotonic() - started_at)
        if recovered.startup.estimates:
            self.hooks.restore_estimates(recovered.startup.estimates, recovered.startup.estimates_age)
        self._admission.record_deferred(now)
        if uncertain_period:  # stored, so that a restart within the period begins it again
            await self.writer.run(recovered.store.set_uncertain_period, uncertain_period)
        for label in await self.writer.run(recovered.store.uncertain_labels, now, MAX_RECONCILED_KEYS):
            self.hooks.reconcile(decode_label(label))
        self._maintain(was_uncertain=uncertain_period > 0)

    def _log_recovery(self, recovered: RecoveredFile, uncertain_period: float, seconds: float) -> None:
        self._log.event(
            "keys_loaded",
            keys=len(recovered.previous.prefixes),
            damaged=recovered.damaged_records,
            unsure=round(uncertain_period, 1),
            seconds=round(seconds, 3),
            classes_changed=recovered.startup.class_summary not in ("", self.settings.class_summary),
        )

    # Maintenance

    def _maintain(self, was_uncertain: bool) -> None:
        """Start a purge of expired keys if the disk is healthy and idle, and schedule the next one."""
        now = boottime()
        self.previous.forget_expired(now)
        is_uncertain = self.previous.uncertain_for(now) > 0
        if self.disk.state(now) is DiskState.HEALTHY and not self.writes.is_committing and self.store:
            self._tasks.start(self._purge(self.store, was_uncertain and not is_uncertain))
        if not self._is_ending:
            loop = asyncio.get_running_loop()
            self._maintenance_timer = loop.call_later(MAINTENANCE_INTERVAL, self._maintain, is_uncertain)

    async def _purge(self, store: Store, uncertain_period_ended: bool) -> None:
        try:
            self.counts["purged"] += await self.writer.run(store.purge, boottime())
            await self._save_estimates(store)
            if uncertain_period_ended:
                await self.writer.run(store.end_uncertain_period)
        except (apsw.Error, OSError) as error:
            self.writes.operation_failed(error)

    async def _save_estimates(self, store: Store) -> None:
        if boottime() - self._estimates_saved_at < SAVE_ESTIMATES_INTERVAL:
            return
        if estimates := self.hooks.save_estimates():
            self._estimates_saved_at = boottime()
            await self.writer.run(store.save_estimates, self.writes.boot, self._estimates_saved_at, estimates)

    # KeyStore protocol

    def accepts_work(self) -> bool:
        """Return whether this node should receive requests."""
        return self.disk.accepts_work(boottime())

    def find_previous(
        self, key_digest: bytes, legacy_digests: Sequence[bytes], key_ttl: float
    ) -> list[messages.PreviousKey]:
        """Return the unexpired keys of runs of this request that an earlier incarnation may have started."""
        return self.previous.find(boottime(), key_digest, legacy_digests, key_ttl)

    def record_intent(self, request_id: int, key: messages.DurableKey) -> None:
        """Record that a keyed run is about to begin; `IntentRecorded` then tells whether it may."""
        self._admission.record_intent(request_id, key)

    def record_outcome(self, request_id: int, key_digest: bytes, result: bytes | None) -> bool:
        """Record the outcome of a run.

        Return whether an `OutcomeRecorded` message follows. If so, the answer must not be sent before it.
        """
        return self._admission.record_outcome(request_id, key_digest, result)

    def discard_intent(self, key_digest: bytes) -> None:
        """Delete the intent of a run that never began, so that its key can be used again."""
        self._admission.discard_intent(key_digest)

    def record_uncertain(self, key: messages.DurableKey) -> None:
        """Record a key whose run may have had its effect, but whose outcome will never be known."""
        self._admission.record_uncertain(key)

    def fetch_result(self, request_id: int, key_digest: bytes) -> None:
        """Read the stored result of an earlier incarnation's run; `StoredResultFetched` delivers it."""
        self._tasks.start(self._fetch_result(request_id, key_digest))

    async def _fetch_result(self, request_id: int, digest: bytes) -> None:
        record: KeyRecord | None = None
        try:
            if self.store:
                record = await self.writer.run(self.store.fetch, digest)
        except (apsw.Error, OSError) as error:
            self.writes.operation_failed(error)
        self.counts["fetched"] += 1
        result = record.result if record and record.run_state is RunState.SERVED else None
        self._notify(messages.StoredResultFetched(request_id, result))

    def load_now(self) -> dict[str, object]:
        """Return the fields for the periodic log line, and reset the counters."""
        counts = dict(self.counts)
        self.counts.clear()
        now = boottime()
        return {
            "standing": self.disk.state(now).value,
            "waiting": len(self.writes.queue),
            "earlier": len(self.previous.prefixes),
            "unsure": round(min(self.previous.uncertain_for(now), MAX_LOGGED_SECONDS), 1),
            **counts,
        }
