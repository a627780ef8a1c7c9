"""The core with a key store: which runs and answers wait for a record on disk, and which do not."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shelfhaven.lab.state_model import Mistake, search
from shelfhaven.server import messages
from shelfhaven.server.key_digests import (
    NAME_DIGEST_BYTES,
    UNKNOWN_LOCATION,
    NamedKey,
    legacy_digests,
)
from tests.server.core_harness import LOOK, PAY, CoreHarness, with_harness


class KeyStoreStub:
    """Stub of the key store, which records its calls; the test sends the replies.

    Attributes:
        previous: seconds for which keys of previous incarnations are still valid, by digest.
        possibly_previous: seconds for which any other key may have run in a previous incarnation.
        confirms_outcomes: whether `OutcomeRecorded` follows a recorded outcome.
    """

    def __init__(self) -> None:
        self.intents: list[tuple[int, messages.DurableKey]] = []
        self.outcomes: list[tuple[int, bytes, bytes | None]] = []
        self.discarded: list[bytes] = []
        self.fetches: list[tuple[int, bytes]] = []
        self.uncertain: list[messages.DurableKey] = []
        self.previous: dict[bytes, float] = {}
        self.possibly_previous = 0.0
        self.confirms_outcomes = True

    def find_previous(
        self, key_digest: bytes, legacy_digests: Sequence[bytes], key_ttl: float
    ) -> list[messages.PreviousKey]:
        name, location = key_digest[:NAME_DIGEST_BYTES], key_digest[NAME_DIGEST_BYTES:]
        found = [
            messages.PreviousKey(valid_for, digest)
            for digest, valid_for in self.previous.items()
            if digest in (key_digest, *legacy_digests)
            or (digest.startswith(name) and UNKNOWN_LOCATION in (location, digest[NAME_DIGEST_BYTES:]))
        ]
        if found:
            return found
        uncertain_for = min(key_ttl, self.possibly_previous)
        return [messages.PreviousKey(uncertain_for, b"")] if uncertain_for else []

    def record_uncertain(self, key: messages.DurableKey) -> None:
        self.uncertain.append(key)

    def record_intent(self, request_id: int, key: messages.DurableKey) -> None:
        self.intents.append((request_id, key))

    def record_outcome(self, request_id: int, key_digest: bytes, result: bytes | None) -> bool:
        self.outcomes.append((request_id, key_digest, result))
        return self.confirms_outcomes

    def discard_intent(self, key_digest: bytes) -> None:
        self.discarded.append(key_digest)

    def fetch_result(self, request_id: int, key_digest: bytes) -> None:
        self.fetches.append((request_id, key_digest))


def attach_store(harness: CoreHarness) -> KeyStoreStub:
    store = KeyStoreStub()
    harness.core.keys.store = store
    return store


def confirm_intent(harness: CoreHarness, store: KeyStoreStub) -> None:
    harness.send(messages.IntentRecorded(store.intents[-1][0], True))


@with_harness
def test_a_keyed_run_is_launched_after_its_intent_and_answered_after_its_outcome_is_recorded(
    harness: CoreHarness,
) -> None:
    store = attach_store(harness)
    attempt_id = harness.submit(1, PAY, "k")
    ((request_id, key),) = store.intents
    assert (key.class_name, key.idempotency_key, len(key.digest), key.time_left > 0) == (
        "pay",
        "k",
        NAME_DIGEST_BYTES + len(UNKNOWN_LOCATION),
        True,
    )
    assert harness.launched_attempts() == []
    confirm_intent(harness, store)
    assert harness.launched_attempts() == [attempt_id]
    harness.finish_run(attempt_id)
    assert store.outcomes == [(request_id, key.digest, b"result")]
    assert harness.answers(1) == []
    harness.send(messages.OutcomeRecorded(request_id))
    harness.send(messages.OutcomeRecorded(request_id))
    assert [type(answer) for answer in harness.answers(1)] == [messages.ServedAnswer]
    assert not harness.core.requests
    harness.submit(2, PAY, "k")
    assert [type(answer) for answer in harness.answers(2)] == [
        messages.ServedAnswer
    ], "a duplicate in the same incarnation needs no record"
    assert len(store.intents) == 1
    harness.submit(3, LOOK)
    assert len(harness.launched_attempts()) == 2, "a run without a key waits for no record"


@with_harness
def test_a_run_without_a_recorded_intent_is_rejected_and_its_key_can_be_used_again(
    harness: CoreHarness,
) -> None:
    store = attach_store(harness)
    harness.submit(1, PAY, "k")
    harness.send(messages.IntentRecorded(store.intents[0][0], False, 2.5))
    (answer,) = harness.answers(1)
    assert isinstance(answer, messages.RejectedAnswer)
    assert answer.retry_after == min(2.5, harness.core.config.settings.max_retry_after)
    assert harness.launched_attempts() == []
    harness.send(messages.IntentRecorded(store.intents[0][0], True))
    assert harness.launched_attempts() == [], "a late reply starts no run"
    harness.submit(2, PAY, "k")
    assert len(store.intents) == 2


@with_harness
def test_the_intent_of_an_unstarted_run_is_discarded_and_a_failed_run_is_recorded(
    harness: CoreHarness,
) -> None:
    store = attach_store(harness)
    attempt_id = harness.submit(1, PAY, "k1")
    confirm_intent(harness, store)
    harness.finish_run(attempt_id, "NOOP")
    harness.submit(2, PAY, "k2")
    confirm_intent(harness, store)
    harness.finish_run(f"{2:016x}", "FAIL")
    failed = [outcome for outcome in store.outcomes if outcome[2] is None]
    assert len(failed) + len(store.discarded) == 2
    for request_id, _, _ in store.outcomes:
        harness.send(messages.OutcomeRecorded(request_id))
    assert not harness.core.requests


@with_harness
def test_a_request_cancelled_or_due_while_its_intent_is_recorded_is_answered_at_most_once(
    harness: CoreHarness,
) -> None:
    store = attach_store(harness)
    harness.submit(1, PAY, "k1")
    harness.advance_time(60.0)  # beyond its due time
    assert len(harness.answers(1)) == 1
    harness.send(messages.IntentRecorded(store.intents[0][0], True))
    assert harness.launched_attempts() == [], "its result would come too late"
    assert store.discarded == [store.intents[0][1].digest]
    harness.submit(2, PAY, "k2")
    harness.send(messages.CancelRequest(harness.frontend, 2))
    confirm_intent(harness, store)
    harness.finish_run(f"{2:016x}")
    for request_id, _, _ in store.outcomes:
        harness.send(messages.OutcomeRecorded(request_id))
    assert harness.answers(2) == []
    assert not harness.core.requests


@pytest.mark.parametrize("result", [b"before", None])
@with_harness
def test_a_key_of_a_previous_incarnation_is_answered_and_never_run(
    harness: CoreHarness, result: bytes | None
) -> None:
    store = attach_store(harness)
    harness.submit(1, PAY, "k")
    digest = store.intents[0][1].digest
    harness.send(messages.IntentRecorded(store.intents[0][0], False, 1.0))
    for key in list(harness.core.keys.table.entries):  # as in a new incarnation
        harness.core.keys.table.remove(key)
    store.previous[digest] = 5.0
    for request_ref in (2, 3):
        harness.submit(request_ref, PAY, "k")
    assert [fetch[1] for fetch in store.fetches] == [digest, digest]
    for request_id, _ in store.fetches:
        harness.send(messages.StoredResultFetched(request_id, result))
        harness.send(messages.StoredResultFetched(request_id, result))
    expected = messages.FailedAnswer if result is None else messages.ServedAnswer
    assert [type(answer) for request_ref in (2, 3) for answer in harness.answers(request_ref)] == [
        expected,
        expected,
    ]
    assert harness.launched_attempts() == []
    assert not harness.core.requests
    harness.advance_time(60.0)
    store.previous.clear()
    harness.submit(4, PAY, "k")
    assert len(store.intents) == 2, "its TTL is over"


def with_query(query: str) -> messages.RequestAttributes:
    return messages.RequestAttributes("POST", "/topup", query, "", identity_parts=(query,))


@with_harness
def test_a_key_of_a_previous_incarnation_is_found_by_an_attempt_over_another_protocol(
    harness: CoreHarness,
) -> None:
    # guards against an effect that happens twice (docs/incidents/repeat-by-another-protocol.md)
    store = attach_store(harness)
    harness.submit(1, PAY, "k", attributes=with_query("channel=ussd"))
    digest = store.intents[0][1].digest
    harness.send(messages.IntentRecorded(store.intents[0][0], False, 1.0))
    for key in list(harness.core.keys.table.entries):  # as in a new incarnation
        harness.core.keys.table.remove(key)
    store.previous[digest] = 5.0
    harness.submit(2, PAY, "k")
    (fetch,) = store.fetches
    assert fetch[1] == digest
    harness.send(messages.StoredResultFetched(fetch[0], b"before"))
    assert [answer.body for answer in harness.answers(2)] == [b"before"]
    harness.submit(3, PAY, "k", attributes=with_query("channel=app"))
    harness.submit(4, PAY, "k", body=b"other")
    assert len(store.intents) == 3, "both are other requests"


@pytest.mark.parametrize("identity_parts", [(), ("channel=ussd",)], ids=["none named", "query named"])
@pytest.mark.parametrize("is_kept_apart", [True, False])
@with_harness
def test_a_key_in_a_file_of_an_earlier_version_is_found(
    harness: CoreHarness, identity_parts: tuple[str, ...], is_kept_apart: bool
) -> None:
    store = attach_store(harness)
    attributes = [
        messages.RequestAttributes(
            "POST",
            "/topup",
            query,
            "",
            identity_parts=(query,) if identity_parts else (),
            legacy_identity_parts=("", query),
        )
        for query in ("channel=ussd", "channel=app")
    ]
    submission = harness.submission(1, PAY, "k", attributes=attributes[0])
    config = harness.core.config
    named = NamedKey(config.classes[PAY], config.tenants[0] if config.tenants else "", "k")
    with_location, without_location = legacy_digests(named, submission)
    store.previous[with_location if is_kept_apart else without_location] = 5.0
    harness.submit(1, PAY, "k", attributes=attributes[0])
    assert not store.intents, "it is a repeat of the run on record"
    harness.submit(2, PAY, "k", attributes=attributes[1])
    assert len(store.intents) == (1 if identity_parts else 0)


@with_harness
def test_a_repeat_of_one_of_two_keys_of_a_previous_incarnation_fails(harness: CoreHarness) -> None:
    store = attach_store(harness)
    for request_ref, query in ((1, "channel=ussd"), (2, "channel=app")):
        harness.submit(request_ref, PAY, "k", attributes=with_query(query))
        harness.send(messages.IntentRecorded(store.intents[-1][0], False, 1.0))
    for key in list(harness.core.keys.table.entries):  # as in a new incarnation
        harness.core.keys.table.remove(key)
    store.previous = {key.digest: 5.0 for _, key in store.intents}
    harness.submit(3, PAY, "k")
    assert [type(answer) for answer in harness.answers(3)] == [messages.FailedAnswer]
    assert harness.launched_attempts() == []


@with_harness
def test_a_key_that_may_have_run_elsewhere_is_recorded(harness: CoreHarness) -> None:
    store = attach_store(harness)
    harness.submit(1, PAY, "k")
    harness.send(messages.CancelRequest(harness.frontend, 1, may_run=True))
    harness.send(messages.IntentRecorded(store.intents[0][0], False, 0.5))  # it never started here
    assert [key.digest for key in store.uncertain] == [store.intents[0][1].digest]
    assert store.uncertain[0].time_left > 0
    harness.submit(2, PAY, "k")
    assert [type(answer) for answer in harness.answers(2)] == [messages.FailedAnswer]


@with_harness
def test_while_any_key_may_have_run_keyed_requests_are_failed_and_neither_run_nor_rejected(
    harness: CoreHarness,
) -> None:
    store = attach_store(harness)
    store.possibly_previous = float("inf")
    for request_ref in range(1, 4):
        harness.submit(request_ref, PAY, f"k{request_ref % 2}")
    assert [type(answer) for request_ref in (1, 2, 3) for answer in harness.answers(request_ref)] == [
        messages.FailedAnswer
    ] * 3
    assert not store.intents
    assert not store.fetches
    harness.submit(9, LOOK)
    assert len(harness.launched_attempts()) == 1
    store.possibly_previous = 0.0
    harness.submit(10, PAY, "another")
    assert len(store.intents) == 1


STEPS = [
    "submit", "intent-recorded", "intent-refused", "pass", "fail", "noop", "outcome-recorded", "cancel",
    "advance", "fetched",
]  # fmt: skip
step_names = st.sampled_from(STEPS)


@settings(max_examples=150, deadline=None)
@given(st.lists(st.tuples(step_names, st.integers(0, 5)), max_size=40))
@with_harness
def test_in_any_order_of_messages_no_request_is_answered_twice_and_no_run_starts_unrecorded(
    harness: CoreHarness,
    steps: list[tuple[str, int]],
) -> None:
    store, last_ref, replied = attach_store(harness), 0, set[int]()
    for step, number in steps:
        attempt_ids = harness.launched_attempts()
        match step:
            case "submit":
                last_ref += 1
                harness.submit(last_ref, PAY, f"k{number}")
            case "intent-recorded" | "intent-refused" if store.intents:
                request_id = store.intents[number % len(store.intents)][0]
                if request_id not in replied:
                    replied.add(request_id)
                    harness.send(messages.IntentRecorded(request_id, step == "intent-recorded", 0.5))
            case "pass" | "fail" | "noop" if attempt_ids:
                harness.finish_run(
                    attempt_ids[number % len(attempt_ids)],
                    {"pass": "PASS", "fail": "FAIL", "noop": "NOOP"}[step],
                )
            case "outcome-recorded" if store.outcomes:
                harness.send(messages.OutcomeRecorded(store.outcomes[number % len(store.outcomes)][0]))
            case "cancel" if last_ref:
                harness.send(messages.CancelRequest(harness.frontend, 1 + number % last_ref))
            case "advance":
                harness.advance_time(0.2 * number)
            case "fetched" if store.fetches:
                harness.send(
                    messages.StoredResultFetched(
                        store.fetches[number % len(store.fetches)][0], b"x" if number % 2 else None
                    )
                )
    for request_id, _ in store.intents:
        harness.send(messages.IntentRecorded(request_id, False, 0.5))
    for attempt_id in harness.launched_attempts():
        harness.finish_run(attempt_id)
    for request_id, _, _ in store.outcomes:
        harness.send(messages.OutcomeRecorded(request_id))
    harness.advance_time(120.0)
    assert all(len(harness.answers(request_ref)) <= 1 for request_ref in range(1, last_ref + 1))
    assert not harness.core.requests
    assert not harness.core.requests.unanswered
    launched = harness.launched_attempts()
    assert len(launched) == len(set(launched)) <= len(replied)


# The model of a recorded key


def test_no_state_of_the_model_is_a_breach() -> None:
    result = search()
    assert result.steps is None
    assert result.states > 200
    print(f"{result.states} states")


@pytest.mark.parametrize("mistake", [mistake for mistake in Mistake if mistake is not Mistake.NONE])
def test_the_search_finds_each_seeded_mistake(mistake: Mistake) -> None:
    assert search(mistake).steps is not None


TRACE_STEPS = ["written", "write-too-late", "effect", "run-end", "crash", "attempt"]


class Trace:
    """One key over several incarnations of a node, with its records on disk and the backend's effects.

    Attributes:
        rows: results on disk by key digest; None for an intent or a failed run.
        sent: runs that were sent to the backend and may still take effect.
        finished: attempts whose runs have ended.
        effects, attempts: how many there have been.
        result_answered: whether an attempt was answered with the result.
    """

    def __init__(self) -> None:
        self.rows: dict[bytes, bytes | None] = {}
        self.sent: list[tuple[CoreHarness, str]] = []
        self.finished: set[str] = set()
        self.effects = self.attempts = 0
        self.result_answered = False
        self.start_incarnation()

    def start_incarnation(self) -> None:
        self.harness, self.launched_count = CoreHarness(), 0
        self.store = attach_store(self.harness)
        self.store.previous = dict.fromkeys(self.rows, 100.0)

    def write(self, notify: bool) -> None:
        """Complete all pending writes; `notify`: tell the node so."""
        store = self.store
        for request_id, key in store.intents:
            self.rows[key.digest] = None
            if notify:
                self.harness.send(messages.IntentRecorded(request_id, True))
        for request_id, digest, result in store.outcomes:
            self.rows[digest] = result
            if notify:
                self.harness.send(messages.OutcomeRecorded(request_id))
        for digest in store.discarded:
            self.rows.pop(digest, None)
        store.intents, store.outcomes, store.discarded = [], [], []

    def play(self, step: str, success: bool) -> None:
        effects_before, running = (
            self.effects,
            [attempt for attempt in self.harness.launched_attempts() if attempt not in self.finished],
        )
        match step:
            case "attempt":
                self.attempts += 1
                self.harness.submit(self.attempts, PAY, "k")
            case "written":
                self.write(notify=True)
            case "write-too-late" if self.store.intents:
                request_id, _ = self.store.intents.pop()
                self.harness.send(messages.IntentRecorded(request_id, False, 0.5))
            case "effect":
                self.effects += len(self.sent)
                self.sent.clear()
            case "run-end" if running:
                self.finished.add(running[-1])
                never_ran = not success and (self.harness, running[-1]) in self.sent
                if never_ran:
                    self.sent.remove((self.harness, running[-1]))
                self.harness.finish_run(
                    running[-1], "PASS" if success and self.effects else "NOOP" if never_ran else "FAIL"
                )
            case "crash":
                if success:
                    self.write(notify=False)
                self.start_incarnation()
            case "read":
                fetches, self.store.fetches = self.store.fetches, []
                for request_id, digest in fetches:
                    self.harness.send(messages.StoredResultFetched(request_id, self.rows[digest]))
        launched = self.harness.launched_attempts()
        self.sent += [(self.harness, attempt_id) for attempt_id in launched[self.launched_count :]]
        self.launched_count = len(launched)
        self.check(effects_before)

    def check(self, effects_before: int) -> None:
        answer_types = [type(answer) for answer in self.harness.frontend.received]
        self.harness.frontend.received.clear()
        assert self.effects <= 1
        assert not (
            effects_before and messages.RejectedAnswer in answer_types
        ), "rejected although the key has run"
        assert not (
            self.result_answered and messages.FailedAnswer in answer_types
        ), "failed after its result was answered"
        self.result_answered |= messages.ServedAnswer in answer_types


@settings(max_examples=300, deadline=None)
@given(st.integers(0, 4), st.lists(st.tuples(st.sampled_from(TRACE_STEPS), st.booleans()), max_size=20))
def test_the_core_keeps_the_invariants_of_the_model_on_random_traces_with_crashes(
    initial_step_count: int, steps: list[tuple[str, bool]]
) -> None:
    async def check() -> None:
        trace = Trace()
        for step in ("attempt", "written", "effect", "run-end")[:initial_step_count]:
            trace.play(step, True)
        for step, success in steps:
            trace.play(step, success)
            trace.play("read", True)

    asyncio.run(check())
