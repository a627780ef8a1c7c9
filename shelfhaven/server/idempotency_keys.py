"""Idempotency keys of requests, in the table of this process and in the durable key store, if there is one.

This module finds the original of a duplicate, and records the intent before the run of a keyed request and
the outcome after it.  Without a key store, keys are lost when the process ends.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from shelfhaven.config import Config
from shelfhaven.decision.settings import Outcome
from shelfhaven.server import key_digests, messages
from shelfhaven.server.actors import KeyStore
from shelfhaven.server.clocks import Clocks
from shelfhaven.server.key_digests import NamedKey
from shelfhaven.server.key_table import KeyEntry, KeyTable
from shelfhaven.server.request import NEVER_STARTED_OUTCOMES, Request
from shelfhaven.server.request_key import RequestContent, RequestKey
from shelfhaven.server.request_table import RequestTable
from shelfhaven.server.result_store import ResultStore

RESULTS_MEMORY_FRACTION = 1 / 16  # of the configured memory limit, for stored results
BYTES_PER_MB = 1 << 20


class IdempotencyKeys:
    """Tracks which attempt holds each idempotency key, and finds the originals of duplicates."""

    def __init__(
        self, config: Config, clocks: Clocks, requests: RequestTable, next_request_id: Callable[[], int]
    ) -> None:
        self.config = config
        self.clocks = clocks
        self.requests = requests
        self.next_request_id = next_request_id
        capacity = int(config.limits.memory_mb * RESULTS_MEMORY_FRACTION * BYTES_PER_MB)
        self.table = KeyTable(ResultStore(capacity))
        self.store: KeyStore | None = None  # None if keys are not stored durably
        self.reserved_in_fleet = False  # whether runners reserve keys fleet-wide before a run
        self.on_uncertain: Callable[[str, str, str], None] | None = None  # takes class, tenant and key
        # withdrawn by callers that may have them run elsewhere; their keys are not in the table yet
        self.withdrawn: list[Request] = []

    # Originals and duplicates

    def set_original(self, request: Request, reached_at: float) -> None:
        """Set the original of a request that is a duplicate: the attempt that holds its key.

        `reached_at` is the monotonic time at which the request reached this machine.  A request that may be a
        duplicate of more than one attempt must neither run nor get the result of either: its original is an
        id that no attempt has, so it fails.
        """
        if not request.runs_once_per_key:
            return
        candidates = self._valid_keys(request, reached_at)
        if self.store and self._restore_from_store(request, self.store, bool(candidates)):
            candidates = self._valid_keys(request, reached_at)
        if request.key in candidates:
            candidates = [request.key]
        if len(candidates) == 1:
            request.original_key = candidates[0]
            request.original_id = self.table.entries[candidates[0]].request_id
        elif candidates:
            request.original_id = self.next_request_id()

    def _valid_keys(self, request: Request, reached_at: float) -> list[RequestKey]:
        """Return the keys whose holders an attempt that reached this machine at this time may repeat."""
        entries = self.table.entries
        return [
            key
            for key in self.table.find(request.key)
            if reached_at < entries[key].valid_until or self.requests.has_unfinished(entries[key].request_id)
        ]

    def retain(self, request: Request, ttl: float) -> None:
        """Add a table entry that makes the request the original of its key."""
        if request.submission.idempotency_key:
            self._add_entry(request, request.id, ttl)

    def release(self, request: Request) -> None:
        """Remove the key of a request from the table, if the request holds it."""
        if self.table.get_if_held_by(request.key, request.id):
            self.table.remove(request.key)

    def retain_withdrawn(self) -> None:
        """Add the keys of withdrawn requests, which may have run elsewhere, as run without a result."""
        while self.withdrawn:
            self._add_uncertain(self.withdrawn.pop())

    def expire(self) -> None:
        """Remove expired keys."""
        self.table.expire(self.clocks.now, self.requests.has_unfinished, self._deadline_of)

    def store_result(self, request: Request, result: bytes) -> None:
        """Store the result of a request for its duplicates, if the request holds its key."""
        self.table.store_result(request.key, request.id, result)

    def result_for(self, duplicate: Request) -> bytes | None:
        """Return the result of a duplicate's original, None if it is not in the table."""
        if duplicate.original_key is None:
            return None
        return self.table.get_result(duplicate.original_key, duplicate.original_id)

    def report_uncertain(self, request: Request) -> None:
        """Report the key of a failed request as uncertain: its run may have had its effect."""
        submission = request.submission
        if submission.idempotency_key and request.runs_once_per_key:
            class_name = self.config.classes[submission.class_index]
            self.notify_uncertain(class_name, self._tenant_name(submission), submission.idempotency_key)

    def notify_uncertain(self, class_name: str, tenant: str, key: str) -> None:
        """Call `on_uncertain`, which reconciles keys whose run failed but may have had its effect."""
        if self.on_uncertain:
            self.on_uncertain(class_name, tenant, key)

    # Durable records

    def record_intent(self, request: Request) -> bool:
        """Record that a request is about to run; return whether to wait for `IntentRecorded`."""
        if not self.store or not self.key_digest_of(request):
            return False
        request.await_intent_record()
        entry = self.table.get_if_held_by(request.key, request.id)
        self.store.record_intent(request.id, self._durable_key(request, entry))
        return True

    def record_outcome(self, request: Request, completion: messages.RunCompleted) -> bool:
        """Record the outcome of a run; return whether to wait for `OutcomeRecorded`."""
        if not (request.intent_recorded and self.store):
            return False
        request.intent_recorded = False
        if completion.outcome in NEVER_STARTED_OUTCOMES:
            self.store.discard_intent(request.key_digest)
            return False
        result = completion.body if completion.outcome is Outcome.OK else None
        if not self.store.record_outcome(request.id, request.key_digest, result):
            return False
        request.await_outcome_record(completion)
        return True

    def fetch_previous_result(self, duplicate: Request) -> bool:
        """Fetch the result of a previous incarnation's run; return whether `StoredResultFetched` follows."""
        if duplicate.original_key is None or not self.store:
            return False
        entry = self.table.get_if_held_by(duplicate.original_key, duplicate.original_id)
        if entry is None or not entry.stored_digest:
            return False
        self.store.fetch_result(duplicate.id, entry.stored_digest)
        return True

    def key_digest_of(self, request: Request) -> bytes:
        """Return the digest of a request's key in the key store; empty if it may run more than once."""
        submission = request.submission
        if not request.key_digest and submission.idempotency_key and request.runs_once_per_key:
            request.key_digest = key_digests.stored_digest(self._named_key(submission), request.content)
        return request.key_digest

    def reservation_digest(self, request: Request) -> bytes:
        """Return the digest under which the runner reserves the key in the fleet; empty if it does not."""
        submission = request.submission
        if not (self.reserved_in_fleet and submission.idempotency_key and request.runs_once_per_key):
            return b""
        return key_digests.reservation_digest(self._named_key(submission), submission)

    def _restore_from_store(self, request: Request, store: KeyStore, is_duplicate: bool) -> bool:
        """Add the keys that a previous incarnation ran, or may have run, to the table, if they are not there.

        Of a request that is a duplicate already, a key that only may have run is left out.  The holders get
        new request ids, which the controller does not know.  Returns whether a key was added.
        """
        submission = request.submission
        legacy_digests = key_digests.legacy_digests(self._named_key(submission), submission)
        key_ttl = request.class_settings.key_ttl
        restored = False
        for previous in store.find_previous(self.key_digest_of(request), legacy_digests, key_ttl):
            key = _key_of_previous(request, previous, legacy_digests)
            if key in self.table or (is_duplicate and not previous.is_recorded):
                continue
            valid_until = self.clocks.monotonic() + previous.valid_for
            forget_at = valid_until + request.class_settings.deadline
            entry = KeyEntry(self.next_request_id(), valid_until, forget_at, previous.digest or None)
            self.table.put(key, entry)
            restored = True
        return restored

    def _add_uncertain(self, request: Request) -> None:
        """Add a key that may have run elsewhere to the table.

        The holder gets a new request id, which the controller does not know: the id of the request itself is
        of no use, since the controller counts that request as rejected.
        """
        if request.launched or request.key in self.table or not request.runs_once_per_key:
            return
        entry = self._add_entry(request, self.next_request_id(), request.class_settings.key_ttl)
        if self.store:
            self.store.record_uncertain(self._durable_key(request, entry))

    def _add_entry(self, request: Request, holder_id: int, ttl: float) -> KeyEntry:
        valid_until = self.clocks.now + ttl
        entry = KeyEntry(holder_id, valid_until, valid_until + request.class_settings.deadline)
        self.table.put(request.key, entry)
        return entry

    def _durable_key(self, request: Request, entry: KeyEntry | None) -> messages.DurableKey:
        submission = request.submission
        return messages.DurableKey(
            self.key_digest_of(request),
            self.config.classes[submission.class_index],
            self._tenant_name(submission),
            submission.idempotency_key,
            entry.forget_at - self.clocks.now if entry else 0.0,
        )

    def _deadline_of(self, key: RequestKey) -> float:
        return self.config.settings.classes[key.name.class_index].deadline

    def _named_key(self, submission: messages.SubmitRequest) -> NamedKey:
        class_name = self.config.classes[submission.class_index]
        return NamedKey(class_name, self._tenant_name(submission), submission.idempotency_key)

    def _tenant_name(self, submission: messages.SubmitRequest) -> str:
        names = self.config.tenants
        return names[submission.tenant] if 0 <= submission.tenant < len(names) else ""


def _key_of_previous(
    request: Request, previous: messages.PreviousKey, legacy_digests: Sequence[bytes]
) -> RequestKey:
    """Return the key of a run of a previous incarnation that the request may repeat.

    It is that of the request if the location of the run is not known apart: of a record of an early version,
    or of a key that only may have run.  The same holds if an earlier version recorded the run with this
    request's location, but in another form.
    """
    if not key_digests.has_location(previous.digest):
        return request.key
    if request.content.location is not None and previous.digest in legacy_digests:
        return request.key
    location = key_digests.location_of(previous.digest)
    return RequestKey(request.key.name, RequestContent(request.content.body, location))
