"""State machine for one consultation of an external processor, such as Envoy's `ext_proc`.

In a consultation, a proxy asks this server whether it may forward a request, forwards it if the verdict
allows it, and reports how the run ended. The state machine handles the messages of the proxy, the decisions
of the core, and timeouts. It guarantees that each consultation has at most one verdict, that a launch does
not continue a request whose verdict is overdue, and that the end of a run is reported once.

    AWAITING_HEADERS -> (AWAITING_BODY) -> SUBMITTED -> CONTINUED -> (AWAITING_RESULT) -> ENDED
                                              \\-> ANSWERED by an immediate response

This module does no I/O and reads no clock. Each event is a method call, with the current time where it
matters, and returns actions for `frontends/consulting.py` to carry out.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from typing import TypeAlias

from shelfhaven.decision.settings import Outcome
from shelfhaven.routing.backend import AttemptSignal
from shelfhaven.routing.response_status import is_rejection, is_server_error, is_success

MIN_VERDICT_BUDGET = 1e-3  # seconds

BODY_NOT_BUFFERED = "a request with a key is decided with its whole body: buffered bodies are needed"


class ConsultationStage(Enum):
    """The stages of a consultation."""

    AWAITING_HEADERS = "asked"
    AWAITING_BODY = "body"  # the core needs the body of a request that has an idempotency key
    SUBMITTED = "held"  # waiting for the core's decision
    CONTINUED = "continued"  # the proxy runs the request
    AWAITING_RESULT = "result"  # receiving the response body, which is stored for duplicates
    ANSWERED = "answered"  # answered by an immediate response; the proxy does not run the request
    ENDED = "over"  # the run has ended, or the request was withdrawn


STAGES_WITH_VERDICT = (
    ConsultationStage.CONTINUED,
    ConsultationStage.AWAITING_RESULT,
    ConsultationStage.ANSWERED,
    ConsultationStage.ENDED,
)


@dataclass(frozen=True, slots=True)
class ConsultSettings:
    """Operator settings for a consulting proxy. Times are in seconds, sizes in bytes.

    Attributes:
        verdict_timeout: time for which the proxy waits for a verdict.
        verdict_margin: part of `verdict_timeout` reserved for network delay.
        lease: time after which a run without a report from the proxy is considered ended.
        max_body_bytes: maximum body size of a request with an idempotency key, and of its result.
        max_streams: maximum number of open streams.
        max_connection_streams: maximum number of open streams of one connection; the proxy is told.
        max_buffered_bytes: maximum total size of the bodies buffered for all streams.
        fail_open: whether the proxy forwards a request for which it received no verdict.
        shadow_classes: classes whose requests are continued even if the core rejects them.
    """

    verdict_timeout: float = 0.2
    verdict_margin: float = 0.02
    lease: float = 10.0
    max_body_bytes: int = 64 * 1024
    max_streams: int = 2000
    max_connection_streams: int = 1000
    max_buffered_bytes: int = 8 << 20
    fail_open: bool = False
    shadow_classes: frozenset[int] = frozenset()

    @property
    def verdict_budget(self) -> float:
        """Seconds that this server has to give a verdict."""
        return max(MIN_VERDICT_BUDGET, self.verdict_timeout - self.verdict_margin)


# What the outcome of a run indicates about the health of the service behind the proxies.
SIGNAL_BY_OUTCOME = {
    Outcome.OK: AttemptSignal.SUCCESS,
    Outcome.ERROR: AttemptSignal.FAILURE,
    Outcome.TIMEOUT: AttemptSignal.FAILURE,
    Outcome.RESET: AttemptSignal.NONE,  # the proxy disconnected; the service may be healthy
    Outcome.REJECTED: AttemptSignal.REJECTED,
    Outcome.CONNECT_FAILED: AttemptSignal.NONE,
}


# Actions


@dataclass(frozen=True, slots=True)
class PassThrough:
    """Let the proxy's message pass unchanged; `request_body` asks the proxy for the complete request body."""

    request_body: bool = False


@dataclass(frozen=True, slots=True)
class Submit:
    """Submit the request, with this body, to the core for a decision."""

    body: bytes


@dataclass(frozen=True, slots=True)
class Continue:
    """Verdict: the proxy may forward the request; `request_result` asks it for the response body."""

    request_result: bool


@dataclass(frozen=True, slots=True)
class ImmediateResponse:
    """Verdict: the proxy sends this response to its client and does not forward the request.

    Attributes:
        status: HTTP status of the response.
        text: error message, empty if there is a result.
        not_run: whether it is certain that the request did not run.
        retry_after: seconds after which the client may retry; 0 for no advice.
        no_retry_elsewhere: whether a retry at another server would be rejected too.
        result: result of the run that already served this request or its original, if any.
    """

    status: int
    text: str
    not_run: bool
    retry_after: float = 0.0
    no_retry_elsewhere: bool = False
    result: bytes | None = None


@dataclass(frozen=True, slots=True)
class RunEnded:
    """The run ended after `elapsed` seconds; `result` is None if it is not known."""

    outcome: Outcome
    elapsed: float
    result: bytes | None = None


@dataclass(frozen=True, slots=True)
class WithdrawRequest:
    """Withdraw the request from the core: the proxy closed the stream before the verdict.

    `may_run` is whether the proxy may have forwarded the request anyway.
    """

    may_run: bool


@dataclass(frozen=True, slots=True)
class ProtocolViolation:
    """The proxy violated the protocol or ignored what this server asked for."""

    text: str


Action: TypeAlias = (
    PassThrough | Submit | Continue | ImmediateResponse | RunEnded | WithdrawRequest | ProtocolViolation
)


class Consultation:
    """The state of one consultation.

    Attributes:
        settings: operator settings for the proxy.
        has_idempotency_key: whether the request has an idempotency key, so that its result is stored.
        is_shadow: whether the request is continued even if the core rejects it.
        stage: current stage.
        verdict_due: time by which the verdict must be given.
        body: received part of the request or response body that is being buffered.
        continued_at: time at which the proxy was told to continue.
        answered_in_shadow: whether the core answered the request, but the proxy was told to continue.
        ignored_messages: number of messages received when there was no run to report on.
        never_reports: whether the proxy never reports on its runs, so that an expired lease does not indicate
            a failure of the service.
    """

    def __init__(
        self, settings: ConsultSettings, has_idempotency_key: bool, is_shadow: bool, now: float
    ) -> None:
        self.settings = settings
        self.has_idempotency_key = has_idempotency_key
        self.is_shadow = is_shadow
        self.stage = ConsultationStage.AWAITING_HEADERS
        self.verdict_due = now + settings.verdict_budget
        self.body = bytearray()
        self.continued_at = 0.0
        self.answered_in_shadow = False
        self.ignored_messages = 0
        self.never_reports = False

    @property
    def has_verdict(self) -> bool:
        """Whether the verdict has been given."""
        return self.stage in STAGES_WITH_VERDICT

    # Request messages from the proxy

    def request_headers(self, end_of_stream: bool) -> list[Action]:
        """Handle the request headers, already mapped; `end_of_stream` means that there is no body."""
        if self.has_idempotency_key and not end_of_stream:
            self.stage = ConsultationStage.AWAITING_BODY
            return [PassThrough(request_body=True)]
        self.stage = ConsultationStage.SUBMITTED
        return [Submit(b"")]

    def request_body(self, data: bytes, end_of_stream: bool) -> list[Action]:
        """Handle request body data: pass it through, or submit it if the request has an idempotency key."""
        if self.stage is not ConsultationStage.AWAITING_BODY:
            return [PassThrough()]
        self.body += data
        max_bytes = self.settings.max_body_bytes
        if len(self.body) > max_bytes:
            text = f"over {max_bytes} bytes"
            return self._answer(ImmediateResponse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, text, not_run=True))
        if not end_of_stream:
            # Passing this part through would let the proxy forward it before the verdict.
            # Its key is not looked up, and an earlier attempt may have run.
            response = ImmediateResponse(HTTPStatus.SERVICE_UNAVAILABLE, BODY_NOT_BUFFERED, not_run=False)
            return [ProtocolViolation(BODY_NOT_BUFFERED), *self._answer(response)]
        self.stage = ConsultationStage.SUBMITTED
        body = bytes(self.body)
        self.body.clear()
        return [Submit(body)]

    def mapping_failed(self, status: int, text: str) -> list[Action]:
        """Answer a request that the mapping rejected and that therefore did not run."""
        if self.has_verdict:
            return []
        return self._answer(ImmediateResponse(status, text, not_run=True))

    # Decisions of the core

    def launched(self, now: float) -> list[Action]:
        """Handle a launch by the core: continue the request, or report it as not run if it is too late."""
        if self.stage is not ConsultationStage.SUBMITTED or now > self.verdict_due:
            return [RunEnded(Outcome.CONNECT_FAILED, 0.0)]
        return self._continue(now)

    def rejected(self, now: float, retry_after: float, no_retry_elsewhere: bool) -> list[Action]:
        """Handle a rejection by the core."""
        if self.stage is not ConsultationStage.SUBMITTED:
            return []
        if self.is_shadow:
            return self._continue_in_shadow(now)
        return self._answer(
            ImmediateResponse(
                HTTPStatus.SERVICE_UNAVAILABLE,
                "refused; nothing ran",
                not_run=True,
                retry_after=retry_after,
                no_retry_elsewhere=no_retry_elsewhere,
            )
        )

    def served(self, result: bytes) -> list[Action]:
        """Answer with a result from the core: of the request's own run, or of its original if a duplicate."""
        if self.stage is not ConsultationStage.SUBMITTED:
            return []
        return self._answer(ImmediateResponse(HTTPStatus.OK, "", not_run=False, result=result))

    def failed(self, now: float, text: str, is_late: bool) -> list[Action]:
        """Handle a failure after which the core does not know whether the request ran."""
        if self.stage is not ConsultationStage.SUBMITTED:
            return []
        if self.is_shadow and not self.has_idempotency_key:
            return self._continue_in_shadow(now)
        status = HTTPStatus.GATEWAY_TIMEOUT if is_late else HTTPStatus.BAD_GATEWAY
        return self._answer(ImmediateResponse(status, text, not_run=False))

    def _continue(self, now: float) -> list[Action]:
        self.stage = ConsultationStage.CONTINUED
        self.continued_at = now
        self.body.clear()
        return [Continue(request_result=self.has_idempotency_key)]

    def _continue_in_shadow(self, now: float) -> list[Action]:
        """Continue a shadow request. The core has already answered it, so its end is not reported."""
        self.answered_in_shadow = True
        return self._continue(now)

    def _answer(self, response: ImmediateResponse) -> list[Action]:
        self.stage = ConsultationStage.ANSWERED
        self.body.clear()
        return [response]

    # Response messages from the proxy, which report on the run

    def response_headers(self, now: float, status: int, not_run: bool, end_of_stream: bool) -> list[Action]:
        """Handle the response headers, which end the run unless a result follows that must be stored."""
        if self.stage is not ConsultationStage.CONTINUED:
            return self._ignore()
        outcome = self._outcome_from_status(status, not_run)
        if outcome is Outcome.OK and self.has_idempotency_key and not end_of_stream:
            self.stage = ConsultationStage.AWAITING_RESULT
            return [PassThrough()]
        result = b"" if outcome is Outcome.OK else None
        return [PassThrough(), *self._end(outcome, now, result)]

    def response_body(self, now: float, data: bytes, end_of_stream: bool) -> list[Action]:
        """Handle response body data. The run succeeds even if the result is too large to store."""
        if self.stage is not ConsultationStage.AWAITING_RESULT:
            return self._ignore()
        self.body += data
        if len(self.body) > self.settings.max_body_bytes:
            return [PassThrough(), *self._end(Outcome.OK, now, None)]
        if end_of_stream:
            return [PassThrough(), *self._end(Outcome.OK, now, bytes(self.body))]
        return [PassThrough()]

    def buffer_exhausted(self, now: float) -> list[Action]:
        """End the run as successful without a result, because its body cannot be buffered further."""
        if self.stage is not ConsultationStage.AWAITING_RESULT:
            return []
        return self._end(Outcome.OK, now, None)

    def trailers(self, now: float, of_response: bool) -> list[Action]:
        """Handle trailers; those of the response end a result that was streamed in parts."""
        if of_response and self.stage is ConsultationStage.AWAITING_RESULT:
            return [PassThrough(), *self._end(Outcome.OK, now, bytes(self.body))]
        return [PassThrough()]

    def _outcome_from_status(self, status: int, not_run: bool) -> Outcome:
        """Return the outcome of a run, given the status of its response."""
        if is_rejection(status, not_run):
            return Outcome.REJECTED
        if is_server_error(status):
            return Outcome.ERROR
        if self.has_idempotency_key and not is_success(status):
            return Outcome.ERROR  # only a successful response is a result that can be stored for duplicates
        return Outcome.OK

    # End of the stream or of the run

    def closed(self, now: float) -> list[Action]:
        """Handle the close of the stream by either side."""
        match self.stage:
            case ConsultationStage.SUBMITTED:
                self.stage = ConsultationStage.ENDED
                return [WithdrawRequest(may_run=self.settings.fail_open)]
            case ConsultationStage.AWAITING_RESULT:  # successful, but the body is incomplete
                return self._end(Outcome.OK, now, None)
            case ConsultationStage.CONTINUED:  # forwarded or not, no report will follow
                return self._end(Outcome.RESET, now, None)
        self.stage = ConsultationStage.ENDED
        self.body.clear()
        return []

    def lease_expired(self, now: float) -> list[Action]:
        """End a run on which the proxy did not report, or did not finish its report, within the lease."""
        if self.stage not in (ConsultationStage.CONTINUED, ConsultationStage.AWAITING_RESULT):
            return []
        outcome = Outcome.OK if self.stage is ConsultationStage.AWAITING_RESULT else Outcome.TIMEOUT
        if self.never_reports:
            outcome = Outcome.RESET
        return self._end(outcome, now, None)

    def _ignore(self) -> list[Action]:
        """Count and pass through a message received when there is no run for it to report on."""
        self.ignored_messages += 1
        return [PassThrough()]

    def _end(self, outcome: Outcome, now: float, result: bytes | None) -> list[Action]:
        self.stage = ConsultationStage.ENDED
        self.body.clear()
        if self.answered_in_shadow:
            return []
        return [RunEnded(outcome, now - self.continued_at, result)]
