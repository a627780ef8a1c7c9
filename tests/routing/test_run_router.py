"""Tests of run routing: attempts, retries, and the single end of each run."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shelfhaven.decision.settings import Outcome
from shelfhaven.routing.attempts import AttemptResult, Run, RunFinished, SendAttempt
from shelfhaven.routing.locality import LocalityRouter, LocalitySettings
from shelfhaven.routing.run_router import RunRouter
from tests.routing.pools import SETTINGS


class RouterHarness:
    """A router with `count` backends and a manual clock; `changes` are pool settings."""

    def __init__(self, count: int = 3, **changes: float) -> None:
        names = [f"s{n}" for n in range(count)]
        self.router = RunRouter(replace(SETTINGS, **changes), names, 0.0, 1)  # type: ignore[arg-type]
        self.now = 0.0
        self.sent: list[SendAttempt] = []
        self.finished: list[RunFinished] = []

    def record(self, actions: list[SendAttempt | RunFinished]) -> list[SendAttempt]:
        sent = [action for action in actions if isinstance(action, SendAttempt)]
        self.sent += sent
        self.finished += [action for action in actions if isinstance(action, RunFinished)]
        return sent

    def launch(
        self, run_id: str, idempotent: bool = True, has_key: bool = False, time_left: float = 5.0
    ) -> list[SendAttempt]:
        return self.record(
            self.router.launch(self.now, Run(run_id, "c", self.now + time_left, idempotent, has_key))
        )

    def end(self, attempt: int, result: AttemptResult) -> list[SendAttempt]:
        return self.record(self.router.attempt_ended(self.now, attempt, result))


def test_a_run_that_is_served_finishes_once() -> None:
    harness = RouterHarness()
    (send,) = harness.launch("a")
    harness.now = 0.2
    harness.end(send.attempt, AttemptResult.SERVED)
    harness.end(send.attempt, AttemptResult.BROKEN)
    assert harness.finished == [RunFinished("a", Outcome.OK, 0.2, 1)]
    assert not harness.router.runs


@pytest.mark.parametrize("result", [AttemptResult.UNREACHABLE, AttemptResult.NOT_RUN])
def test_a_run_that_is_known_not_to_have_run_is_retried_even_if_not_idempotent(
    result: AttemptResult,
) -> None:
    harness = RouterHarness()
    (first,) = harness.launch("a", idempotent=False, has_key=True)
    (second,) = harness.end(first.attempt, result)
    assert second.backend != first.backend
    harness.end(second.attempt, AttemptResult.SERVED)
    assert [finished.outcome for finished in harness.finished] == [Outcome.OK]


@pytest.mark.parametrize(
    ("result", "outcome"),
    [
        (AttemptResult.BROKEN, Outcome.RESET),
        (AttemptResult.TIMEOUT, Outcome.TIMEOUT),
        (AttemptResult.UNAVAILABLE, Outcome.ERROR),
    ],
)
def test_a_run_that_may_have_run_is_retried_only_if_it_is_idempotent(
    result: AttemptResult, outcome: Outcome
) -> None:
    harness = RouterHarness()
    (safe,) = harness.launch("safe")
    (once,) = harness.launch("once", idempotent=False)
    assert len(harness.end(safe.attempt, result)) == 1
    assert harness.end(once.attempt, result) == []
    assert [(finished.run_id, finished.outcome) for finished in harness.finished] == [("once", outcome)]


def test_a_failure_of_a_local_backend_is_counted_even_if_a_retry_succeeds() -> None:
    harness = RouterHarness(2)
    harness.router.pool.locality = LocalityRouter(LocalitySettings(), "a", Random(1))
    harness.router.pool.zones = {"s0": "a", "s1": "b"}
    for result in (AttemptResult.BROKEN, AttemptResult.TIMEOUT, AttemptResult.UNREACHABLE):
        (first,) = harness.launch(result.value)
        assert first.backend == "s0"
        (second,) = harness.end(first.attempt, result)
        harness.end(second.attempt, AttemptResult.SERVED)
        assert (second.backend, harness.finished[-1].outcome) == ("s1", Outcome.OK)
        assert harness.router.local_results == {
            ("c", True): 1
        }, "a retried timeout and an unreachable backend do not count as failures"
    (once,) = harness.launch("once", idempotent=False)
    harness.end(once.attempt, AttemptResult.TIMEOUT)
    assert (
        harness.router.local_results["c", True] == 2
    ), "the timeout of a run that is not retried counts as a failure"
    (good,) = harness.launch("good")
    harness.end(good.attempt, AttemptResult.SERVED)
    assert harness.router.local_results["c", False] == 1


@pytest.mark.parametrize("result", [AttemptResult.FAILED, AttemptResult.REJECTED])
def test_a_response_that_any_backend_would_give_is_not_retried(result: AttemptResult) -> None:
    harness = RouterHarness()
    (send,) = harness.launch("a")
    assert harness.end(send.attempt, result) == []
    assert harness.finished[0].outcome is Outcome.ERROR


def test_only_a_run_that_reached_no_backend_ends_as_connect_failed() -> None:
    harness = RouterHarness(2)
    (send,) = harness.launch("a")
    (send,) = harness.end(send.attempt, AttemptResult.UNREACHABLE)
    harness.end(send.attempt, AttemptResult.UNREACHABLE)
    (send,) = harness.launch("b")
    (send,) = harness.end(send.attempt, AttemptResult.BROKEN)
    harness.end(send.attempt, AttemptResult.NOT_RUN)
    assert [finished.outcome for finished in harness.finished] == [Outcome.CONNECT_FAILED, Outcome.ERROR]


def test_no_retry_beyond_the_budget_or_the_deadline() -> None:
    harness = RouterHarness(retry_ratio=0.0, retry_reserve=1.0)
    (first,) = harness.launch("a")
    assert harness.end(first.attempt, AttemptResult.UNREACHABLE)
    (other,) = harness.launch("b")
    assert not harness.end(other.attempt, AttemptResult.UNREACHABLE)
    assert harness.finished[0].run_id == "b"
    expired = RouterHarness()
    (send,) = expired.launch("c", time_left=1.0)
    expired.now = 1.0
    assert not expired.end(send.attempt, AttemptResult.UNREACHABLE)


def test_a_run_without_capacity_waits_within_the_limits_of_the_queue() -> None:
    harness = RouterHarness(1, initial_limit=1, max_limit=1, max_pending_time=0.25, max_pending_runs=1)
    (send,) = harness.launch("a")
    assert harness.launch("b") == []
    assert harness.launch("c") == []
    assert [(finished.run_id, finished.outcome) for finished in harness.finished] == [("c", Outcome.REJECTED)]
    harness.now = 0.1
    assert [sent.run_id for sent in harness.end(send.attempt, AttemptResult.SERVED)] == ["b"]
    assert harness.launch("d") == []
    assert harness.router.next_advance(harness.now) == pytest.approx(0.35)
    harness.now = 0.36
    harness.record(harness.router.advance(harness.now))
    assert (harness.finished[-1].run_id, harness.finished[-1].outcome) == ("d", Outcome.REJECTED)
    assert harness.finished[-1].elapsed == pytest.approx(0.26)


def test_attempt_timeouts_are_longer_with_a_key_and_shorter_if_a_retry_is_possible() -> None:
    harness = RouterHarness()
    (send,) = harness.launch("warm")
    harness.now = 0.1
    harness.end(send.attempt, AttemptResult.SERVED)  # the typical latency is 0.1 s now
    (safe,) = harness.launch("s")
    (once,) = harness.launch("o", idempotent=False)
    (keyed,) = harness.launch("k", idempotent=False, has_key=True)
    assert safe.timeout == pytest.approx(0.8)
    assert keyed.timeout == pytest.approx(5.0 + SETTINGS.idempotent_grace)
    assert once.timeout == pytest.approx(5.0)


def test_runs_at_a_draining_backend_finish_there() -> None:
    harness = RouterHarness(2)
    sends = [harness.launch(f"r{n}")[0] for n in range(4)]
    harness.record(harness.router.update(0.1, SETTINGS, ["s1"]))
    for send in sends:
        harness.end(send.attempt, AttemptResult.SERVED)
    assert [finished.outcome for finished in harness.finished] == [Outcome.OK] * 4
    assert {harness.launch(f"n{n}")[0].backend for n in range(3)} == {"s1"}


OPERATIONS = st.one_of(
    st.tuples(st.just("launch"), st.booleans(), st.booleans(), st.sampled_from([0.0, 0.1, 1.0, 5.0])),
    st.tuples(st.just("end"), st.integers(0, 20), st.sampled_from(list(AttemptResult))),
    st.tuples(st.just("time"), st.sampled_from([0.0, 0.01, 0.1, 0.3, 2.0])),
    st.tuples(st.just("list"), st.sets(st.sampled_from(["s0", "s1", "s2", "s3"]), max_size=4)),
)


@settings(max_examples=300)
@given(st.lists(OPERATIONS, max_size=80))
def test_attempts_follow_the_rules_for_any_sequence_of_events(operations: list[tuple]) -> None:  # type: ignore[type-arg]
    harness = RouterHarness(4, initial_limit=2, max_pending_runs=3)
    names = {"s0", "s1", "s2", "s3"}
    launched: dict[str, Run] = {}
    results: dict[str, list[AttemptResult]] = {}
    in_flight: dict[int, SendAttempt] = {}

    def check_sends(sends: list[SendAttempt]) -> None:
        for send in sends:
            run = launched[send.run_id]
            assert send.backend in names  # only to backends on the current list
            assert send.timeout >= 0
            assert not any(other.run_id == send.run_id for other in in_flight.values())
            earlier_results = results[send.run_id]
            assert run.idempotent or all(
                result in (AttemptResult.NOT_RUN, AttemptResult.UNREACHABLE) for result in earlier_results
            )
            assert AttemptResult.SERVED not in earlier_results
            assert len(earlier_results) < SETTINGS.max_attempts
            in_flight[send.attempt] = send

    for operation in operations:
        if operation[0] == "launch":
            run_id = f"r{len(launched)}"
            launched[run_id] = Run(run_id, "c", harness.now + operation[3], operation[1], operation[2])
            results[run_id] = []
            check_sends(harness.record(harness.router.launch(harness.now, launched[run_id])))
        elif operation[0] == "end" and in_flight:
            attempt = sorted(in_flight)[operation[1] % len(in_flight)]
            results[in_flight.pop(attempt).run_id].append(operation[2])
            check_sends(harness.end(attempt, operation[2]))
        elif operation[0] == "time":
            harness.now += operation[1]
            check_sends(harness.record(harness.router.advance(harness.now)))
        elif operation[0] == "list":
            names = set(operation[1])
            changed = replace(SETTINGS, initial_limit=2, max_pending_runs=3)
            check_sends(harness.record(harness.router.update(harness.now, changed, sorted(names))))
        assert len(harness.router.pending) <= 3
        assert harness.router.retries <= SETTINGS.retry_reserve + SETTINGS.retry_ratio * len(launched)
        assert all(
            backend.in_flight.keys() <= in_flight.keys() for backend in harness.router.pool.backends.values()
        )
    while in_flight:
        attempt = min(in_flight)
        results[in_flight.pop(attempt).run_id].append(AttemptResult.SERVED)
        check_sends(harness.end(attempt, AttemptResult.SERVED))
    harness.now += 10
    harness.record(harness.router.advance(harness.now))
    end_counts = Counter(finished.run_id for finished in harness.finished)
    assert end_counts == Counter(dict.fromkeys(launched, 1))
    for finished in harness.finished:
        results_with_run = [
            result
            for result in results[finished.run_id]
            if result not in (AttemptResult.NOT_RUN, AttemptResult.UNREACHABLE)
        ]
        assert (finished.outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED)) == (not results_with_run)
        assert (finished.outcome is Outcome.OK) == (AttemptResult.SERVED in results_with_run)
    assert not harness.router.pool.backend_by_attempt
