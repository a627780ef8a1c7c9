"""Idempotency keys of requests: the table of this process, and the store that outlives it if there is one.

Owns what a key is called in the fleet, which attempt is the original of a duplicate, and what is recorded
before and after the run of a keyed request.  Without a key store keys end with the process.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable

from shelfhaven.config import Config
from shelfhaven.decision.settings import Outcome
from shelfhaven.server import messages
from shelfhaven.server.actors import KeyStore
from shelfhaven.server.clocks import Clocks
from shelfhaven.server.key_table import KeyEntry, KeyTable
from shelfhaven.server.request import DIGEST_BYTES, NEVER_STARTED_OUTCOMES, Request, RequestKey
from shelfhaven.server.request_table import RequestTable
from shelfhaven.server.result_store import ResultStore

RESULTS_MEMORY_FRACTION = 1 / 16  # of the memory that the operator allows, for stored results
BYTES_PER_MB = 1 << 20


class IdempotencyKeys:
    """Finds originals of duplicates and keeps keys for them."""

    def __init__(
        self, config: Config, clocks: Clocks, requests: RequestTable, next_request_id: Callable[[], int]
    ) -> None:
        self.config = config
        self.clocks = clocks
        self.requests = requests
        self.next_request_id = next_request_id
        capacity = int(config.limits.memory_mb * RESULTS_MEMORY_FRACTION * BYTES_PER_MB)
        self.table = KeyTable(ResultStore(capacity))
        self.store: KeyStore | None = None  # None: keys end with the process
        self.reserved_in_fleet = False  # runners reserve keys in the whole fleet before they run a request
        self.on_uncertain: Callable[[str, str, str], None] | None = None  # takes class, tenant and key
        self.withdrawn: list[
            Request
        ] = []  # by callers that may have them run elsewhere; not yet in the table

    # Originals and duplicates

    def find_original(self, request: Request, reached_at: float) -> int | None:
        """The attempt that a keyed one is a duplicate of, by when it reached the machine."""
        if not request.runs_once_per_key:
            return None
        entry = self.table.get(request.key)
        if entry is None and self.store:
            entry = self._restore_previous(request, self.store)
        if entry is None:
            return None
        is_duplicate = reached_at < entry.valid_until or self.requests.has_unfinished(entry.request_id)
        return entry.request_id if is_duplicate else None

    def retain(self, request: Request, ttl: float) -> None:
        """Enter a request as the original of its key."""
        if request.submission.idempotency_key:
            self._enter(request, request.id, ttl)

    def release(self, request: Request) -> None:
        """Drop the key of a request that holds it."""
        if self.table.owned_by(request.key, request.id):
            self.table.remove(request.key)

    def retain_withdrawn(self) -> None:
        """Enter the keys of withdrawn requests, which may have run elsewhere, as run without a result."""
        while self.withdrawn:
            self._retain_uncertain(self.withdrawn.pop())

    def expire(self) -> None:
        """Forget keys whose time is over."""
        self.table.expire(self.clocks.now, self.requests.has_unfinished, self._deadline_of)

    def store_result(self, request: Request, result: bytes) -> None:
        """Keep the result of a request for its duplicates."""
        self.table.store_result(request.key, request.id, result)

    def result_for(self, duplicate: Request) -> bytes | None:
        """The result of a duplicate's original, if it is in the table."""
        return self.table.result_of(duplicate.key, duplicate.original_id)

    def report_uncertain(self, request: Request) -> None:
        """Report a failed request whose keyed run may have had its effect."""
        submission = request.submission
        if submission.idempotency_key and request.runs_once_per_key:
            class_name = self.config.classes[submission.class_index]
            self.notify_uncertain(class_name, self._tenant_name(submission), submission.idempotency_key)

    def notify_uncertain(self, class_name: str, tenant: str, key: str) -> None:
        """Notify whoever reconciles keys whose run failed and may have had its effect."""
        if self.on_uncertain:
            self.on_uncertain(class_name, tenant, key)

    # Records that outlive the process

    def record_intent(self, request: Request) -> bool:
        """Record that a request is to run; returns whether `IntentRecorded` has to be awaited."""
        if not self.store or not self.digest_of(request):
            return False
        request.await_intent_record()
        entry = self.table.owned_by(request.key, request.id)
        self.store.record_intent(request.id, self._durable_key(request, entry))
        return True

    def record_outcome(self, request: Request, completion: messages.RunCompleted) -> bool:
        """Record the outcome of a run; returns whether `OutcomeRecorded` has to be awaited."""
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
        """Fetch what a previous incarnation's run brought; returns whether `StoredResultFetched` follows."""
        entry = self.table.owned_by(duplicate.key, duplicate.original_id)
        if entry is None or not entry.stored_digest or not self.store:
            return False
        self.store.fetch_result(duplicate.id, entry.stored_digest)
        return True

    def digest_of(self, request: Request) -> bytes:
        """The name of a request's key in the whole fleet; empty for one that may run twice."""
        submission = request.submission
        if not request.key_digest and submission.idempotency_key and request.runs_once_per_key:
            digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
            class_name, tenant = self.config.classes[submission.class_index], self._tenant_name(submission)
            for text in (class_name, tenant, submission.idempotency_key):
                digest.update(b"%d\0%b" % (len(text), text.encode()))
            digest.update(request.content_digest)
            request.key_digest = digest.digest()
        return request.key_digest

    def reservation_digest(self, request: Request) -> bytes:
        """The name under which the runner reserves the key in the fleet; empty where none is reserved."""
        return self.digest_of(request) if self.reserved_in_fleet else b""

    def _restore_previous(self, request: Request, store: KeyStore) -> KeyEntry | None:
        """Enter a key that a previous incarnation has run, or may have.

        It gets an id that the controller has never seen.
        """
        digest = self.digest_of(request)
        previous = store.find_previous(digest, request.class_settings.key_ttl)
        if previous is None:
            return None
        valid_until = self.clocks.monotonic() + previous.valid_for
        forget_at = valid_until + request.class_settings.deadline
        stored_digest = digest if previous.is_recorded else None
        entry = KeyEntry(self.next_request_id(), valid_until, forget_at, stored_digest=stored_digest)
        self.table.put(request.key, entry)
        return entry

    def _retain_uncertain(self, request: Request) -> None:
        """Enter a key that may have run elsewhere.

        It gets an id that the controller has never seen, as that takes the request itself for rejected.
        """
        if request.launched or request.key in self.table or not request.runs_once_per_key:
            return
        entry = self._enter(request, self.next_request_id(), request.class_settings.key_ttl)
        if self.store:
            self.store.record_uncertain(self._durable_key(request, entry))

    def _enter(self, request: Request, holder_id: int, ttl: float) -> KeyEntry:
        valid_until = self.clocks.now + ttl
        entry = KeyEntry(holder_id, valid_until, valid_until + request.class_settings.deadline)
        self.table.put(request.key, entry)
        return entry

    def _durable_key(self, request: Request, entry: KeyEntry | None) -> messages.DurableKey:
        submission = request.submission
        return messages.DurableKey(
            self.digest_of(request),
            self.config.classes[submission.class_index],
            self._tenant_name(submission),
            submission.idempotency_key,
            entry.forget_at - self.clocks.now if entry else 0.0,
        )

    def _deadline_of(self, key: RequestKey) -> float:
        return self.config.settings.classes[key.class_index].deadline

    def _tenant_name(self, submission: messages.SubmitRequest) -> str:
        names = self.config.tenants
        return names[submission.tenant] if 0 <= submission.tenant < len(names) else ""
