"""Checks the guarantees for every request against the logs of the callers and the backends.

All functions are pure and take attempts, answers and runs. The node's own logs and counters are not used.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum

from shelfhaven.lab.backend_stub import ExecutedRun, result_for

DEFAULT_TOLERANCE_S = 0.05  # allowance for scheduling delays of the machine


class AnswerKind(Enum):
    """How an attempt was answered."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    INVALID = "invalid"
    NOT_REACHED = "not reached"  # no connection could be opened, so no request was sent


@dataclass(frozen=True, slots=True)
class Answer:
    """One answer to an attempt. `at`: its Unix time; `retry_after`: the Retry-After in seconds, 0 if none."""

    at: float
    kind: AnswerKind
    body: bytes
    retry_after: float


@dataclass(slots=True)
class Attempt:
    """One attempt and its answers. Times are Unix times.

    Attributes:
        protocol: the name of the protocol that carried the attempt.
        key: the idempotency key; empty in classes without one.
        deadline_at: latest time of an answer.
        objective_at: latest time of an answer within the latency objective.
        cancelled: whether the caller cancelled the attempt before an answer arrived.
    """

    protocol: str
    class_name: str
    tenant: str
    key: str
    body: bytes
    path: str
    sent_at: float
    deadline_at: float
    objective_at: float
    cancelled: bool = False
    answers: list[Answer] = field(default_factory=list)

    def record_answer(self, at: float, kind: AnswerKind, body: bytes = b"", retry_after: float = 0.0) -> None:
        """Record an answer that arrived at the given Unix time."""
        self.answers.append(Answer(at, kind, body, retry_after))

    @property
    def identity(self) -> bytes:
        """The body or path that identifies the request in the backends' logs."""
        return self.body or self.path.encode()

    @property
    def was_reached(self) -> bool:
        """Whether the attempt reached the node: no answer is `NOT_REACHED`."""
        return all(answer.kind is not AnswerKind.NOT_REACHED for answer in self.answers)


def find_violations(
    attempts: Iterable[Attempt], runs: Iterable[ExecutedRun], tolerance: float = DEFAULT_TOLERANCE_S
) -> list[str]:
    """Return a description of every violation.

    Args:
        attempts: the attempts of all callers.
        runs: the runs of all backends.
        tolerance: seconds after its deadline by which an answer may arrive.
    """
    run_counts: Counter[bytes] = Counter(run.body or run.path.encode() for run in runs)
    reached = [attempt for attempt in attempts if attempt.was_reached]
    violations: list[str] = []
    for attempt in reached:
        violations += _find_answer_violations(attempt, run_counts, tolerance)
    violations += _find_repeated_keyed_runs(reached, run_counts)
    unkeyed_attempts: defaultdict[bytes, list[Attempt]] = defaultdict(list)
    for attempt in reached:
        if not attempt.key:
            unkeyed_attempts[attempt.identity].append(attempt)
    for identity, matching in unkeyed_attempts.items():
        violations += _find_run_though_rejected(matching, run_counts[identity], identity)
    return violations


def _find_answer_violations(attempt: Attempt, run_counts: Counter[bytes], tolerance: float) -> list[str]:
    """Check that an attempt has one answer, by its deadline, and that its result comes from a run."""
    violations: list[str] = []
    label = f"{attempt.protocol} {attempt.class_name} {attempt.identity!r}"
    if not attempt.answers and not attempt.cancelled:
        violations.append(f"lost: {label}")
    if len(attempt.answers) > 1:
        violations.append(f"answered {len(attempt.answers)} times: {label}")
    for answer in attempt.answers:
        if answer.at > attempt.deadline_at + tolerance and not attempt.cancelled:
            violations.append(f"answered {answer.at - attempt.deadline_at:.3f} s late: {label}")
        if answer.kind is AnswerKind.SERVED and not _is_result_of_run(answer, attempt, run_counts):
            violations.append(f"served with a result that no run made for it: {label}")
    return violations


def _is_result_of_run(answer: Answer, attempt: Attempt, run_counts: Counter[bytes]) -> bool:
    expected = result_for(attempt.body, attempt.path)
    return answer.body == expected and run_counts[attempt.identity] > 0


def _find_repeated_keyed_runs(attempts: Iterable[Attempt], run_counts: Counter[bytes]) -> list[str]:
    """Check that all attempts with the same idempotency key together cause at most one run."""
    keyed_attempts: defaultdict[tuple[str, str, bytes], list[Attempt]] = defaultdict(list)
    for attempt in attempts:
        if attempt.key:
            keyed_attempts[attempt.tenant, attempt.key, attempt.identity].append(attempt)
    violations: list[str] = []
    for (_, key, identity), matching in keyed_attempts.items():
        if run_counts[identity] > 1:
            violations.append(f"run {run_counts[identity]} times under one key: {key} {identity!r}")
        violations += _find_run_though_rejected(matching, run_counts[identity], identity)
    return violations


def _find_run_though_rejected(matching: Sequence[Attempt], run_count: int, identity: bytes) -> list[str]:
    """Report a run of a request whose attempts were all answered as rejected or invalid, i.e. as not run."""
    kinds = [answer.kind for attempt in matching for answer in attempt.answers]
    all_rejected = all(kind in (AnswerKind.REJECTED, AnswerKind.INVALID) for kind in kinds)
    if run_count and kinds and all_rejected and len(kinds) == len(matching):
        return [f"refused and yet run: {identity!r}"]
    return []
