"""Sends answers to the frontends, at most one for each request.

It also counts answers by kind and attaches the advertised load to each of them.
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
        self.advertised_load: float | None = None  # set by the controller's first `AdvertiseLoad`
        self.counts: Counter[str] = Counter()  # answers since the start, by kind
        self.logged_counts: Counter[str] = Counter()  # the value of `counts` when it was last logged

    def serve(self, request: Request, body: bytes) -> None:
        """Answer with the result of a run."""
        self._send(request, messages.ServedAnswer(request.submission.request_ref, body, self.advertised_load))

    def reject(self, request: Request, rejection: RejectRequest) -> None:
        """Answer that the attempt was never executed."""
        answer = messages.RejectedAnswer(
            request.submission.request_ref,
            rejection.retry_after,
            rejection.no_retry_elsewhere,
            self.advertised_load,
        )
        self._send(request, answer)

    def fail(self, request: Request, text: str) -> None:
        """Answer with an error; the request may or may not have had its effect."""
        time_left = request.time_left(self.clocks.wall())
        deadline_passed = time_left <= self.controller.answer_margin + MAX_GAUGES_WAIT
        answer = messages.FailedAnswer(
            request.submission.request_ref, text, self.advertised_load, deadline_passed=deadline_passed
        )
        self._send(request, answer)

    def fail_unregistered(
        self, frontend: messages.Frontend, request_ref: int, text: str, code: int | None = None
    ) -> None:
        """Send an error for a message that is not registered in the request table."""
        frontend.answer(messages.FailedAnswer(request_ref, text, self.advertised_load, code))

    def report_health(self, check: messages.CheckHealth, healthy: bool) -> None:
        """Answer a health check."""
        check.frontend.answer(messages.HealthAnswer(check.request_ref, healthy, self.advertised_load))

    def take_unlogged_counts(self) -> Counter[str]:
        """Return the number of answers by kind since the previous call."""
        unlogged = self.counts - self.logged_counts
        self.logged_counts = Counter(self.counts)
        return unlogged

    def _send(self, request: Request, answer: messages.Answer) -> None:
        if request.mark_answered():
            self.counts[messages.ANSWER_KINDS[type(answer)]] += 1
            self.requests.remove_unanswered(request)
            request.submission.frontend.answer(answer)
