"""One attempt in the core, as two state machines: its answer and its work.

The answer goes from `PENDING` to either `SENT` or `RELEASED`, and the work from `QUEUED` to `FINISHED`.  A
request is forgotten when both have reached a final state.  The methods of `Request` only change its state;
other modules of this package act on the change.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from shelfhaven.decision.settings import ClassSettings, Outcome, RetrySafety
from shelfhaven.server import messages
from shelfhaven.server.request_key import NO_CONTENT, KeyName, RequestContent, RequestKey

NEVER_STARTED_OUTCOMES = (Outcome.REJECTED, Outcome.CONNECT_FAILED)  # the run never started
FAILED_OUTCOMES = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET)  # the run may have had its effect


class AnswerState(Enum):
    """Whether a request still needs its answer."""

    PENDING = "owed"
    SENT = "given"
    RELEASED = "released"  # the caller cancelled the request; no answer is sent


class WorkState(Enum):
    """How far the work of a request has come; the values name the counters in the log."""

    QUEUED = "held"
    AWAITING_ORIGINAL = "reusing"  # a duplicate, which is answered with the result of its original
    RECORDING_INTENT = "being written down"  # started by the controller, not launched yet
    RUNNING = "running"
    CALL_REQUESTED = "at call"  # the controller has yet to place or skip the downstream call
    CALLING = "calling"  # a downstream call is in progress
    RECORDING_OUTCOME = "its end being written down"
    FINISHED = "over"


NOT_STARTED_STATES = (WorkState.QUEUED, WorkState.AWAITING_ORIGINAL)
STARTED_STATES = (WorkState.RUNNING, WorkState.CALL_REQUESTED, WorkState.CALLING)


@dataclass(slots=True)
class Request:
    """One attempt, from its arrival until it is answered and its work is finished.

    Attributes:
        content: empty without an idempotency key.
        launched: a runner was told to run the request and has not reported that the run never started.
        wait_started_at: when the request began to wait for its original or for its downstream call.
        original_id: the attempt of which this one is a duplicate.
        original_key: the key by which the table holds that attempt.
        may_run_elsewhere: the caller cancelled the request and may still have it run elsewhere.
        call_number: the runner's number of the downstream call that the run waits for.
        key_digest: identifies the key and its content in the key store; cached.
        unrecorded_completion: the completion of the run, while its outcome is being recorded.
        duplicate_ids: attempts that wait for the result of this one.
    """

    id: int
    submission: messages.SubmitRequest
    class_settings: ClassSettings
    content: RequestContent = NO_CONTENT
    answer_state: AnswerState = AnswerState.PENDING
    work_state: WorkState = WorkState.QUEUED
    launched: bool = False
    wait_started_at: float = 0.0
    original_id: int | None = None
    original_key: RequestKey | None = None
    may_run_elsewhere: bool = False
    call_number: int = 0
    call_body: bytes = b""
    key_digest: bytes = b""
    intent_recorded: bool = False
    unrecorded_completion: messages.RunCompleted | None = None
    duplicate_ids: list[int] = field(default_factory=list)

    @property
    def key(self) -> RequestKey:
        """What this attempt has in common with the other attempts of its request by its protocol."""
        submission = self.submission
        name = KeyName(submission.class_index, submission.tenant, submission.idempotency_key)
        return RequestKey(name, self.content)

    @property
    def runs_once_per_key(self) -> bool:
        """Whether a request of this class runs at most once per idempotency key."""
        return self.class_settings.retry_safety is RetrySafety.IDEMPOTENCY_KEY

    @property
    def is_done(self) -> bool:
        """Whether no answer is pending and the work is finished."""
        return self.answer_state is not AnswerState.PENDING and self.work_state is WorkState.FINISHED

    def time_left(self, wall_now: float) -> float:
        """Return the seconds until the class's deadline or the end of the budget, whichever is earlier."""
        deadline, budget = self.class_settings.deadline, self.submission.budget
        time_limit = deadline if budget is None else min(deadline, budget)
        return self.submission.received_at + time_limit - wall_now

    # The answer

    def mark_answered(self) -> bool:
        """Mark the answer as sent; return False if it already was, or if the caller no longer waits."""
        if self.answer_state is not AnswerState.PENDING:
            return False
        self.answer_state = AnswerState.SENT
        return True

    def release(self, may_run_elsewhere: bool) -> None:
        """Drop the pending answer, as the caller no longer waits for it."""
        self.answer_state = AnswerState.RELEASED
        self.may_run_elsewhere = may_run_elsewhere and bool(self.submission.idempotency_key)

    # The work

    def await_original(self, now: float) -> None:
        """Start waiting for the result of the original."""
        self.work_state = WorkState.AWAITING_ORIGINAL
        self.wait_started_at = now

    def await_intent_record(self) -> None:
        """Start waiting until the intent to run the request is recorded."""
        self.work_state = WorkState.RECORDING_INTENT

    def end_intent_record(self, recorded: bool) -> None:
        """Stop waiting for the intent's record; `recorded` is that of the store's reply."""
        self.work_state = WorkState.RUNNING
        self.intent_recorded = recorded

    def launch(self) -> None:
        """Mark the request as launched on its runner."""
        self.work_state = WorkState.RUNNING
        self.launched = True

    def request_call(self, call_number: int, body: bytes) -> None:
        """Register the downstream call that the run asks for; the controller places or skips it."""
        self.work_state = WorkState.CALL_REQUESTED
        self.call_number = call_number
        self.call_body = body

    def place_call(self, now: float) -> None:
        """Mark the downstream call as placed."""
        self.work_state = WorkState.CALLING
        self.wait_started_at = now

    def fail_call(self) -> None:
        """Mark the downstream call as failed; the controller decides whether to place it again."""
        self.work_state = WorkState.CALL_REQUESTED

    def reopen_call(self) -> None:
        """Mark the run as possibly still waiting for its call, whose reply may have been lost on the way."""
        self.work_state = WorkState.CALL_REQUESTED

    def resume_run(self) -> None:
        """Mark the run as running again, with or without a reply to its call."""
        self.work_state = WorkState.RUNNING

    def await_outcome_record(self, completion: messages.RunCompleted) -> None:
        """Keep the completion of the run until its outcome is recorded."""
        self.work_state = WorkState.RECORDING_OUTCOME
        self.unrecorded_completion = completion

    def take_completion(self) -> messages.RunCompleted | None:
        """Return the completion whose outcome was being recorded, once; None after that."""
        completion, self.unrecorded_completion = self.unrecorded_completion, None
        return completion

    def finish_work(self) -> list[int]:
        """Mark the work as finished; return the ids of the attempts that waited for its result."""
        self.work_state = WorkState.FINISHED
        duplicate_ids, self.duplicate_ids = self.duplicate_ids, []
        return duplicate_ids
