"""The one place where answers leave: every request gets exactly one.

Owns the counters of answers and the advertised load, which goes along with each.  It must not decide what is
answered.
"""

from __future__ import annotations

from collections import Counter

from shelfhaven.decision.actions import RejectRequest
from shelfhaven.decision.controller import Controller
from shelfhaven.server import messages
from shelfhaven.server.clocks import Clocks
from shelfhaven.server.request import Request
from shelfhaven.server.request_table import RequestTable
from shelfhaven.server.timers import MAX_GAUGES_WAIT


class AnswerSender:
    """Sends answers to the frontends."""

    def __init__(self, requests: RequestTable, controller: Controller, clocks: Clocks) -> None:
        self.requests = requests
        self.controller = controller
        self.clocks = clocks
        self.advertised_load: float | None = None  # None until the controller sets it
        self.counts: Counter[str] = Counter()  # by kind of answer, since the start
        self.logged_counts: Counter[str] = Counter()  # of them, when they were last logged

    def serve(self, request: Request, body: bytes) -> None:
        """Answer with a result."""
        self._send(request, messages.ServedAnswer(request.submission.request_ref, body, self.advertised_load))

    def reject(self, request: Request, rejection: RejectRequest) -> None:
        """Answer that it never ran."""
        answer = messages.RejectedAnswer(
            request.submission.request_ref,
            rejection.retry_after,
            rejection.no_retry_elsewhere,
            self.advertised_load,
        )
        self._send(request, answer)

    def fail(self, request: Request, text: str) -> None:
        """Answer with an error that promises nothing about the effect."""
        time_left = request.time_left(self.clocks.wall())
        is_late = time_left <= self.controller.answer_margin + MAX_GAUGES_WAIT
        answer = messages.FailedAnswer(
            request.submission.request_ref, text, self.advertised_load, deadline_passed=is_late
        )
        self._send(request, answer)

    def fail_unregistered(
        self, frontend: messages.Frontend, request_ref: int, text: str, code: int | None = None
    ) -> None:
        """Answer a message that never became a request, with an error."""
        frontend.answer(messages.FailedAnswer(request_ref, text, self.advertised_load, code))

    def report_health(self, check: messages.CheckHealth, healthy: bool) -> None:
        """Answer a health check."""
        check.frontend.answer(messages.HealthAnswer(check.request_ref, healthy, self.advertised_load))

    def take_unlogged_counts(self) -> Counter[str]:
        """Answers by kind since this was last asked."""
        unlogged = self.counts - self.logged_counts
        self.logged_counts = Counter(self.counts)
        return unlogged

    def _send(self, request: Request, answer: messages.Answer) -> None:
        if request.mark_answered():
            self.counts[messages.ANSWER_KINDS[type(answer)]] += 1
            self.requests.remove_unanswered(request)
            request.submission.frontend.answer(answer)
