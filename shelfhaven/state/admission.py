"""Admission of keyed requests: decides when a run may begin and when its answer may be sent.

Owns the intents of unfinished runs and the requests that wait for a write. It does no I/O and never lets a
request wait longer than `max_wait`.

By default, an intent is on disk before its run begins, and an outcome before its answer is sent. A weaker
`sync` setting of the operator drops this guarantee.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from shelfhaven.membership.clock import boottime
from shelfhaven.server import messages
from shelfhaven.state.disk_health import DegradedMode, DiskHealth
from shelfhaven.state.group_commit import MAX_RETAINED_WRITES, GroupCommit, PendingWrite
from shelfhaven.state.records import DeleteRecord, KeyRecord, PutRecord, RunState, encode_label
from shelfhaven.state.settings import StateSettings, SyncMode

MAX_DEFERRED_KEYS = 1024  # uncertain keys that are kept in memory until the key file has been read

AdmissionMessage = messages.IntentRecorded | messages.OutcomeRecorded


@dataclass(frozen=True, slots=True)
class _DeferredKey:
    """An uncertain key that was received before the file had been read."""

    key: messages.DurableKey
    received_at: float


class KeyAdmission:
    """Queues intents and outcomes for writing, and notifies the core once they are recorded or rejected."""

    def __init__(
        self,
        settings: StateSettings,
        disk: DiskHealth,
        writes: GroupCommit,
        notify: Callable[[AdmissionMessage], None],
        counts: Counter[str],
    ) -> None:
        self._settings = settings
        self._disk = disk
        self._writes = writes
        self._notify = notify
        self._counts = counts
        self._open_intents: dict[bytes, KeyRecord] = {}
        self._deferred: list[_DeferredKey] = []  # wait for the boot number, which is read from the file

    # Requests from the core

    def record_intent(self, request_id: int, key: messages.DurableKey) -> None:
        """Record that a keyed run is about to begin; `IntentRecorded` then tells whether it may."""
        now = boottime()
        if not self._disk.accepts_write(now, len(self._writes.queue)):
            self._handle_degraded(request_id, now)
            return
        record = self._record(key, RunState.INTENT)
        self._open_intents[key.digest] = record
        self._enqueue(PendingWrite(PutRecord(record), request_id, intent_digest=key.digest))

    def _handle_degraded(self, request_id: int, now: float) -> None:
        """Admit or reject a run according to `degraded_mode`, as the disk cannot record its intent."""
        if self._settings.disk.degraded_mode is DegradedMode.RUN_WITHOUT_DISK:
            self._counts["in_memory"] += 1
            self._notify(messages.IntentRecorded(request_id, True))
        else:
            self._counts["refused"] += 1
            self._notify(messages.IntentRecorded(request_id, False, self._disk.retry_after(now)))

    def record_outcome(self, request_id: int, digest: bytes, result: bytes | None) -> bool:
        """Record the outcome of a run.

        Return whether an `OutcomeRecorded` message follows. If so, the answer must not be sent before it.
        """
        intent = self._open_intents.pop(digest, None)
        if intent is None:  # the run was admitted without a record on disk
            return False
        if result is None:
            outcome = replace(intent, run_state=RunState.FAILED)
        else:
            stored = result if len(result) <= self._settings.max_result_bytes else None
            outcome = replace(intent, run_state=RunState.SERVED, result=stored)
        self._enqueue(PendingWrite(PutRecord(outcome), request_id))
        return True

    def discard_intent(self, digest: bytes) -> None:
        """Delete the intent of a run that never began, so that its key can be used again."""
        if self._open_intents.pop(digest, None) is not None:
            self._enqueue(PendingWrite(DeleteRecord(digest)))

    def record_uncertain(self, key: messages.DurableKey) -> None:
        """Record a key whose run may have had its effect, but whose outcome will never be known.

        Later incarnations then treat the key as run. The key is dropped if too many writes are queued.
        """
        if not self._disk.loaded and len(self._deferred) < MAX_DEFERRED_KEYS:
            self._deferred.append(_DeferredKey(key, boottime()))
        elif len(self._writes.queue) < MAX_RETAINED_WRITES:
            self._enqueue(PendingWrite(PutRecord(self._record(key, RunState.FAILED))))

    def record_deferred(self, now: float) -> None:
        """Queue the uncertain keys that were received before the file had been read."""
        for deferred in self._deferred:
            time_left = deferred.key.time_left - (now - deferred.received_at)
            self.record_uncertain(replace(deferred.key, time_left=time_left))
        self._deferred.clear()

    def _record(self, key: messages.DurableKey, run_state: RunState) -> KeyRecord:
        label = encode_label(key.class_name, key.tenant, key.idempotency_key)
        return KeyRecord(key.digest, run_state, self._writes.boot, boottime() + key.time_left, label)

    # Requests that wait for a write

    def _enqueue(self, write: PendingWrite) -> None:
        self._writes.append(write)
        if write.request_id is not None:
            if self._settings.sync is SyncMode.EACH:
                max_wait = self._settings.disk.max_wait
                loop = asyncio.get_running_loop()
                write.timer = loop.call_later(max_wait, self._wait_expired, write)
            else:
                self._acknowledge(write)
        self._writes.schedule()

    def _acknowledge(self, write: PendingWrite) -> None:
        """Notify the request that waits for a write, if any, that its intent or outcome is recorded."""
        request_id = _end_wait(write)
        if request_id is None:
            return
        if write.intent_digest is not None:
            self._notify(messages.IntentRecorded(request_id, True))
        else:
            self._notify(messages.OutcomeRecorded(request_id))

    def _wait_expired(self, write: PendingWrite) -> None:
        """End a wait that has reached `max_wait`: reject an intent, acknowledge an outcome.

        An answer that is sent before its outcome is on disk is still correct, but may not survive a crash.
        """
        if write.request_id is None:
            return
        self._counts["late"] += 1
        if write.intent_digest is None:
            self._acknowledge(write)
            return
        if not self._writes.remove(write):  # its commit has begun: delete the record afterwards
            self._writes.append(PendingWrite(DeleteRecord(write.intent_digest)))
        self._reject_intent(write, write.intent_digest)

    def _reject_intent(self, write: PendingWrite, digest: bytes) -> None:
        """Reject the request that waits for an intent, and forget the intent."""
        request_id = _end_wait(write)
        self._open_intents.pop(digest, None)
        if request_id is not None:
            retry_after = self._disk.retry_after(boottime())
            self._notify(messages.IntentRecorded(request_id, False, retry_after))

    # CommitListener protocol

    def write_committed(self, write: PendingWrite) -> None:
        """Acknowledge a write that is on disk."""
        self._acknowledge(write)

    def commit_failed(self, batch: Sequence[PendingWrite]) -> list[PendingWrite]:
        """Handle the writes of a failed commit; return those to retry once the disk works again.

        Intents that a request waits for are rejected.
        """
        replacements = [self._replacement(write) for write in batch]
        return [write for write in replacements if write is not None]

    def _replacement(self, write: PendingWrite) -> PendingWrite | None:
        """Return the write to queue in place of a failed one, or None if there is nothing to write."""
        digest = write.intent_digest
        if digest is None:
            self._acknowledge(write)
            return write
        if write.request_id is not None:
            self._reject_intent(write, digest)
            return PendingWrite(DeleteRecord(digest))  # the intent may be on disk despite the error
        if digest in self._open_intents:
            return write  # its run has begun, as only `sync` mode `each` waits for the commit
        return None


def _end_wait(write: PendingWrite) -> int | None:
    """Cancel the wait for a write; return the id of the request that waited, if any."""
    request_id = write.request_id
    write.request_id = None
    if write.timer:
        write.timer.cancel()
    return request_id
