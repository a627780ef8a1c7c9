"""One member of a Raft group that the nodes form; pysyncobj replicates the document.

This module manages the pysyncobj object, its journal and the expiry of leases. Queries go through the Raft
log like commands, as the local copy of the document may be stale; only watches are served from it.

The module is imported only if the operator configuration selects it: pysyncobj and its encryption need
about 11 MB of memory, a thread and a port.
"""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Protocol

import orjson

from shelfhaven.consensus.codec import JsonObject, apply_request, encode_command, encode_snapshot
from shelfhaven.consensus.lease_expiry import LeaseExpiryObserver
from shelfhaven.consensus.state_machine import Document
from shelfhaven.consensus.store import NotAppliedError, OutcomeUnknownError, Snapshot
from shelfhaven.membership.clock import boottime
from shelfhaven.server.log import Log

if TYPE_CHECKING:
    from pysyncobj import SyncObjConf

OBSERVE_INTERVAL = 0.2  # seconds between two observations of the leases
EXPIRE_TIMEOUT = 1.0  # seconds to wait until the group commits the expiry of a lease
MAX_PENDING_REQUESTS = 512  # requests waiting to be committed
COMPACT_AFTER_ENTRIES = 5000  # journal entries after which the journal is compacted
COMPACT_AFTER_SECONDS = 300.0  # seconds after which the journal is compacted
TICK_INTERVAL = 0.02  # polling interval of pysyncobj's thread in seconds
# pysyncobj.FAIL_REASON codes of requests that never reached the log: QUEUE_FULL and MISSING_LEADER.
NOT_APPLIED_REASONS = (1, 2)

CommitCallback = Callable[[bytes, int], None]  # the answer, and a pysyncobj.FAIL_REASON code


class ReplicatedDocument(Protocol):
    """The part of the pysyncobj object that this module uses."""

    document: Document

    def act(self, data: bytes, *, callback: CommitCallback) -> None:
        """Append a request to the log; call `callback` when it has been applied or has failed."""

    def is_leader(self) -> bool:
        """Whether this member considers itself the leader."""

    def destroy(self) -> None:
        """Leave the group."""


class RaftReplica:
    """This node's member of the Raft group."""

    def __init__(
        self,
        own_address: str,
        other_addresses: Sequence[str],
        bind_address: str,
        password: str,
        journal: Path | None,
        log: Log,
    ) -> None:
        self.own_address = own_address
        self.other_addresses = list(other_addresses)
        self.bind_address = bind_address
        self.password = password
        self.journal = journal
        self.log = log
        self.lock = threading.Lock()  # guards the document, which pysyncobj's thread and the event loop share
        self.expiry_observer = LeaseExpiryObserver()
        self.pending_requests = 0
        self.replicated_document: ReplicatedDocument | None = None
        self.expiry_task: asyncio.Task[None] | None = None
        self.changed = asyncio.Event()  # set at the next change, and then replaced
        self.loop: asyncio.AbstractEventLoop | None = None

    def start(self) -> None:
        """Join the group."""
        self.loop = asyncio.get_running_loop()
        self.replicated_document = _join_group(self)
        self.expiry_task = asyncio.ensure_future(self._expire_leases())

    async def end(self) -> None:
        """Leave the group."""
        if self.expiry_task:
            self.expiry_task.cancel()
        if self.replicated_document:
            document, self.replicated_document = self.replicated_document, None
            document.destroy()

    @property
    def is_leader(self) -> bool:
        """Whether this member considers itself the leader."""
        return self.replicated_document is not None and self.replicated_document.is_leader()

    def notify_changed(self) -> None:
        """Wake the watches after a change of the document; called from pysyncobj's thread."""
        if self.loop:
            self.loop.call_soon_threadsafe(self._wake_watches)

    def _wake_watches(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def submit(self, request: JsonObject, timeout: float) -> JsonObject:
        """Commit a request through the Raft log and return its answer.

        Raises NotAppliedError or OutcomeUnknownError.
        """
        if self.replicated_document is None or self.pending_requests >= MAX_PENDING_REQUESTS:
            raise NotAppliedError("this member has left the group, or too many requests are pending")
        self.pending_requests += 1
        try:
            async with asyncio.timeout(timeout):
                answer_json = await _commit(self.replicated_document, orjson.dumps(request))
        except TimeoutError:
            raise OutcomeUnknownError("timed out while waiting for the group to commit the request") from None
        finally:
            self.pending_requests -= 1
        answer: JsonObject = orjson.loads(answer_json)
        if "fault" in answer:
            raise NotAppliedError(answer["fault"])
        return answer

    async def wait_for_changes(self, keys: Sequence[str], after_revision: int, timeout: float) -> JsonObject:
        """Return the changes of these keys after a revision, according to the local copy of the document.

        Wait for a change at most `timeout` seconds if there is none yet.
        """
        changed = self.changed
        snapshot = self._changes_since(keys, after_revision)
        if not snapshot.items:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout):
                    await changed.wait()
                snapshot = self._changes_since(keys, after_revision)
        return encode_snapshot(snapshot)

    def _changes_since(self, keys: Sequence[str], after_revision: int) -> Snapshot:
        if self.replicated_document is None:
            raise NotAppliedError("this member has left the group")
        with self.lock:
            document = self.replicated_document.document
            changes = document.changes_since(keys, after_revision)
            revision = document.revision
        if changes is None:
            raise NotAppliedError("the changes since this revision are not available on this member")
        return Snapshot(revision, changes)

    async def _expire_leases(self) -> None:
        """Observe all leases periodically and, on the leader, end those that have expired.

        Followers observe as well, and their observations stay valid when they become the leader. A follower
        sees a renewal late or not at all. A renewal that it has not seen precedes the expiry command in the
        log, so that the document rejects that command.
        """
        was_leader = False
        while True:
            await asyncio.sleep(OBSERVE_INTERVAL)
            if self.replicated_document is None:
                return
            with self.lock:
                expiry_commands = self.expiry_observer.observe(
                    boottime(), self.replicated_document.document.leases
                )
            if self.is_leader and not was_leader:
                self.log.event("agreement_leads", member=self.own_address)
            was_leader = self.is_leader
            for command in expiry_commands if was_leader else ():
                try:
                    await self.submit(encode_command(command), EXPIRE_TIMEOUT)
                except (NotAppliedError, OutcomeUnknownError) as error:
                    self.log.event("agreement", error=str(error))


@dataclass(frozen=True, slots=True)
class _CommitOutcome:
    """What pysyncobj reports about a request; `answer` is valid only if `fail_reason` is 0."""

    answer: bytes
    fail_reason: int  # a pysyncobj.FAIL_REASON code; 0 means success


async def _commit(document: ReplicatedDocument, data: bytes) -> bytes:
    """Append a request to the log and return its answer when it has been applied."""
    loop = asyncio.get_running_loop()
    outcome_future: asyncio.Future[_CommitOutcome] = loop.create_future()

    def set_outcome(outcome: _CommitOutcome) -> None:
        """Set the outcome in the event loop, unless the wait for it was cancelled."""
        if not outcome_future.done():
            outcome_future.set_result(outcome)

    def set_outcome_threadsafe(answer: bytes, fail_reason: int) -> None:
        """Pass the outcome from pysyncobj's thread to the event loop."""
        loop.call_soon_threadsafe(set_outcome, _CommitOutcome(answer, fail_reason))

    document.act(data, callback=set_outcome_threadsafe)
    outcome = await outcome_future
    if outcome.fail_reason:
        error_type = NotAppliedError if outcome.fail_reason in NOT_APPLIED_REASONS else OutcomeUnknownError
        raise error_type(f"pysyncobj reported failure code {outcome.fail_reason}")
    return outcome.answer


@contextlib.contextmanager
def _locked_for_change(replica: RaftReplica, document: Document) -> Iterator[None]:
    """Hold the lock on the document; wake the watches afterwards if its revision has changed."""
    with replica.lock:
        revision = document.revision
        yield
        has_changed = document.revision != revision
    if has_changed:
        replica.notify_changed()


def _configuration(replica: RaftReplica) -> SyncObjConf:
    """Return the pysyncobj settings of a member; without a journal path, nothing is stored on disk."""
    from pysyncobj import SyncObjConf

    journal = replica.journal
    return SyncObjConf(
        password=replica.password,
        bindAddress=replica.bind_address,
        commandsWaitLeader=False,
        autoTickPeriod=TICK_INTERVAL,
        appendEntriesUseBatch=False,
        useFork=False,
        logCompactionMinEntries=COMPACT_AFTER_ENTRIES,
        logCompactionMinTime=COMPACT_AFTER_SECONDS,
        journalFile=str(journal) if journal else None,
        flushJournal=journal is not None,
        fullDumpFile=str(journal.with_suffix(".dump")) if journal else None,
    )


def _join_group(replica: RaftReplica) -> ReplicatedDocument:
    """Create the pysyncobj object, whose thread joins the group."""
    from pysyncobj import SyncObj, replicated

    class SyncedDocument(SyncObj):  # type: ignore[misc]
        """The document and the only replicated method, which changes it.

        Dump files contain the attributes of this object by name, and log entries refer to a replicated
        method by its position among all replicated methods. Therefore `document` and `act` must not be
        renamed, and no attribute or replicated method may be added.
        """

        def __init__(self) -> None:
            super().__init__(replica.own_address, replica.other_addresses, _configuration(replica))
            self.document = Document()

        def is_leader(self) -> bool:
            """Whether this member considers itself the leader."""
            return bool(self._isLeader())

        @replicated  # type: ignore[misc]
        def act(self, data: bytes) -> bytes:
            """Apply a JSON-encoded request; return the JSON-encoded answer."""
            try:
                with _locked_for_change(replica, self.document):
                    answer = apply_request(self.document, orjson.loads(data))
            except ValueError as error:
                return orjson.dumps({"fault": str(error)})
            return orjson.dumps(answer)

    synced_document: ReplicatedDocument = SyncedDocument()
    return synced_document
