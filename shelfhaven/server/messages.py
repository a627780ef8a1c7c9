"""Messages between actors.

This module defines data types and interfaces only, and they are independent of any wire protocol, so every
frontend works with every runner.  Durations are in seconds; an optional value is None if it was not given.
The sections are: answers, requests from frontends, commands to runners and their events, downstream calls,
the key store, and the server as a whole.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, TypeAlias

from shelfhaven.decision.settings import Outcome

# Answers, from the core to a frontend

INTERNAL_ERROR_TEXT = "an error in this server"  # all that a caller learns of an unexpected error


@dataclass(frozen=True, slots=True)
class ServedAnswer:
    """The result of a run."""

    request_ref: int  # the frontend's reference of the request, as in every answer
    body: bytes
    load: float | None  # the advertised load, as in every answer


@dataclass(frozen=True, slots=True)
class RejectedAnswer:
    """The attempt was never executed."""

    request_ref: int
    retry_after: float  # seconds; 0 allows an immediate retry
    no_retry_elsewhere: bool  # a retry on another server would not help
    load: float | None


@dataclass(frozen=True, slots=True)
class FailedAnswer:
    """An error; the request may or may not have had its effect."""

    request_ref: int
    text: str
    load: float | None
    code: int | None = None  # an error code of the frontend's protocol, for a malformed message
    deadline_passed: bool = False


@dataclass(frozen=True, slots=True)
class HealthAnswer:
    """The answer to a health check."""

    request_ref: int
    healthy: bool
    load: float | None


Answer: TypeAlias = ServedAnswer | RejectedAnswer | FailedAnswer | HealthAnswer
# The names of the counters in the log.
ANSWER_KINDS: dict[type[Answer], str] = {
    ServedAnswer: "served",
    RejectedAnswer: "refused",
    FailedAnswer: "failed",
    HealthAnswer: "healthy",
}


class Frontend(Protocol):
    """Submits requests and receives their answers."""

    def answer(self, answer: Answer) -> None:
        """Send one answer to the caller."""


# Requests, from a frontend to the core


@dataclass(frozen=True, slots=True)
class RequestAttributes:
    """HTTP properties of a request, if its frontend knows them; a runner passes them on with the body.

    Attributes:
        extra_variables: names and values of the variables that the operator lists.
        identity_parts: what identifies the request beside its key and body: the values of the variables that
            the operator names; empty if none is named.
        legacy_identity_parts: what identified it in records of earlier versions.
    """

    method: str
    path: str
    query: str
    content_type: str
    extra_variables: tuple[tuple[str, str], ...] = ()
    identity_parts: tuple[str, ...] = ()
    legacy_identity_parts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class SubmitRequest:
    """One attempt of a request."""

    frontend: Frontend
    request_ref: int  # the frontend's reference, which its answer repeats
    attempt_id: str  # identifies the attempt to runners
    class_index: int
    tenant: int  # index in the configuration
    caller: int
    received_at: float  # Unix time at which the request reached this machine
    budget: float | None  # seconds from `received_at` that the caller waits
    work_hint: float | None  # seconds of work that the caller expects
    footprint_kb: float  # memory that the run needs
    priority: float  # set by the caller, at least 0 and less than 1
    is_retry: bool
    idempotency_key: str  # empty if there is none
    partition_key: int  # of the data that the request concerns; 0 if there is none
    body: bytes
    attributes: RequestAttributes | None = None  # None if the protocol has no paths and queries
    body_known: bool = True  # False if the caller asks about a request without sending its body
    start_within: float | None = None  # seconds from `received_at` within which the run must start
    runner: Runner | None = None  # None stands for the runner of the class


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """The caller no longer waits for the request."""

    frontend: Frontend
    request_ref: int
    may_run: bool = False  # the caller may still have the request run elsewhere


@dataclass(frozen=True, slots=True)
class RejectMalformed:
    """Answer a malformed message with an error."""

    frontend: Frontend
    request_ref: int
    code: int  # an error code of the frontend's protocol
    text: str


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Answer a health check."""

    frontend: Frontend
    request_ref: int


# Commands, from the core to a runner


@dataclass(frozen=True, slots=True)
class LaunchRun:
    """Run a request."""

    attempt_id: str
    class_name: str
    body: bytes
    time_left: float = 0.0  # seconds until the answer is due
    idempotent: bool = False  # may run twice without harm
    idempotency_key: str = ""  # for runners that pass it on; empty if there is none
    attributes: RequestAttributes | None = None
    key_digest: bytes = b""  # of the key, if the runner has to reserve it in the fleet; empty otherwise


@dataclass(frozen=True, slots=True)
class DeliverCallReply:
    """Deliver the reply to its downstream call to a run."""

    attempt_id: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ProceedWithoutCall:
    """Continue a run without the downstream call that it requested."""

    attempt_id: str
    call_number: int  # as in `CallRequested`


@dataclass(frozen=True, slots=True)
class SampleGauges:
    """Request a sample of the gauges."""

    tag: str  # repeated in `GaugesSampled`


RunnerCommand: TypeAlias = LaunchRun | DeliverCallReply | ProceedWithoutCall


class Runner(Protocol):
    """Executes requests.

    Each launch ends with one `RunCompleted` or with `RunsLost`; the core never repeats a launch.  After a
    broken connection, the runner itself has to find out what became of its runs.  It reports the outcomes
    `REJECTED`, `ABANDONED` and `CONNECT_FAILED` only for a run that never started.
    """

    @property
    def up(self) -> bool:
        """Whether the runner can answer `SampleGauges` at present."""

    def put(self, message: RunnerCommand | SampleGauges) -> None:
        """Queue a command."""


# Events, from a runner to the core


@dataclass(frozen=True, slots=True)
class RunnerConnected:
    """A runner is connected and accepts work."""

    loaded: bool  # the runner reports that it is warmed up
    uptime: float  # seconds


@dataclass(frozen=True, slots=True)
class RunCompleted:
    """A run has finished."""

    attempt_id: str
    outcome: Outcome
    duration: float  # seconds
    body: bytes | None = b""  # the result of a successful run; None if it is unknown
    retry_after: float | None = None  # seconds; given if something other than load kept the run from starting


@dataclass(frozen=True, slots=True)
class CallRequested:
    """A run requests a downstream call and waits for its reply."""

    attempt_id: str
    call_number: int  # the runner's number of the call
    body: bytes


@dataclass(frozen=True, slots=True)
class CallReplyUnconfirmed:
    """The reply that was last delivered to a run may have been lost on the way, and is not sent again."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class GaugesSampled:
    """A sample of the gauges."""

    tag: str  # as in `SampleGauges`
    values: tuple[float, ...]  # in the order of `Settings.gauges`


@dataclass(frozen=True, slots=True)
class RunnerDisconnected:
    """The connection to a runner broke; its runs continue."""


@dataclass(frozen=True, slots=True)
class RunsLost:
    """A runner restarted and lost its runs."""

    runner: Runner


RunnerEvent: TypeAlias = (
    RunnerConnected
    | RunCompleted
    | CallRequested
    | CallReplyUnconfirmed
    | GaugesSampled
    | RunnerDisconnected
    | RunsLost
)


# Downstream calls


@dataclass(frozen=True, slots=True)
class PlaceCall:
    """Place a downstream call."""

    request_id: int
    attempt_id: str
    timeout: float  # seconds
    body: bytes


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Cancel a downstream call; no `CallCompleted` follows."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CallCompleted:
    """A downstream call has finished."""

    request_id: int
    outcome: Outcome
    body: bytes = b""


# The key store


@dataclass(frozen=True, slots=True)
class DurableKey:
    """The idempotency key of a request, as the key store records it."""

    digest: bytes  # identifies the key in the whole fleet
    class_name: str
    tenant: str  # the tenant's name
    idempotency_key: str
    time_left: float  # seconds until the key expires


@dataclass(frozen=True, slots=True)
class PreviousKey:
    """The key of a run that a previous incarnation started or may have started."""

    valid_for: float  # seconds until the key expires
    digest: bytes  # by which the result of its run can be fetched; empty if the key is not in the store

    @property
    def is_recorded(self) -> bool:
        """Whether the key is in the store."""
        return bool(self.digest)


@dataclass(frozen=True, slots=True)
class IntentRecorded:
    """The reply to `KeyStore.record_intent`: whether the run may start."""

    request_id: int
    recorded: bool  # also True if the store is set to admit runs without its disk
    retry_after: float | None = None  # seconds; given if the intent is not recorded


@dataclass(frozen=True, slots=True)
class OutcomeRecorded:
    """The outcome of a run is recorded, or could not be recorded within the time limit."""

    request_id: int


@dataclass(frozen=True, slots=True)
class StoredResultFetched:
    """The reply to `KeyStore.fetch_result`."""

    request_id: int
    result: bytes | None  # None if it is unknown


StoreReply: TypeAlias = IntentRecorded | OutcomeRecorded | StoredResultFetched


# The server as a whole


@dataclass(frozen=True, slots=True)
class BeginDrain:
    """Begin to drain the server; both times are monotonic seconds."""

    noticed_at: float  # when the notice was received
    answer_by: float  # when all requests have to be answered


@dataclass(frozen=True, slots=True)
class SetIdleTimeout:
    """Set how long the connections of frontends may be idle."""

    timeout: float | None  # seconds; None sets no limit


@dataclass(frozen=True, slots=True)
class ReportStatus:
    """Report to the membership service whether this server accepts work."""

    accepting: bool


CoreMessage: TypeAlias = (
    SubmitRequest
    | CancelRequest
    | RejectMalformed
    | CheckHealth
    | CallCompleted
    | BeginDrain
    | RunnerEvent
    | StoreReply
)
