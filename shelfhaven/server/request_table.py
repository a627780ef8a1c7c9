"""The table of the requests that are not done, indexed by the identifiers that messages use.

Invariant: a request is in `unanswered` exactly while its answer is pending, and in `by_id` and
`by_attempt_id` until it is done.
"""

from __future__ import annotations

from collections import Counter

from shelfhaven.server import messages
from shelfhaven.server.request import STARTED_STATES, Request, WorkState


class RequestTable:
    """Requests by id, by attempt id, and by frontend and request reference."""

    def __init__(self) -> None:
        self.by_id: dict[int, Request] = {}
        self.by_attempt_id: dict[str, Request] = {}
        self.unanswered: dict[tuple[int, int], Request] = {}  # by `id()` of the frontend, and reference

    def __len__(self) -> int:
        return len(self.by_id)

    def add(self, request: Request) -> None:
        """Add a new request, whose answer is pending."""
        submission = request.submission
        self.by_id[request.id] = request
        self.by_attempt_id[submission.attempt_id] = request
        self.unanswered[id(submission.frontend), submission.request_ref] = request

    def get(self, request_id: int) -> Request | None:
        """Return the request with this id, if the table holds it."""
        return self.by_id.get(request_id)

    def contains_attempt(self, submission: messages.SubmitRequest) -> bool:
        """Whether the table holds this attempt, or an unanswered one with the same frontend and reference."""
        return (
            submission.attempt_id in self.by_attempt_id
            or (id(submission.frontend), submission.request_ref) in self.unanswered
        )

    def get_unanswered(self, frontend: messages.Frontend, request_ref: int) -> Request | None:
        """Return the unanswered request that a frontend submitted with this reference."""
        return self.unanswered.get((id(frontend), request_ref))

    def remove_unanswered(self, request: Request) -> None:
        """Remove a request from `unanswered`, as its answer is no longer pending."""
        del self.unanswered[id(request.submission.frontend), request.submission.request_ref]

    def get_started(self, attempt_id: str) -> Request | None:
        """Return the request with this attempt id, if its run has started and not finished."""
        request = self.by_attempt_id.get(attempt_id)
        return request if request and request.work_state in STARTED_STATES else None

    def all_started(self) -> list[Request]:
        """Return the requests whose runs have started and not finished."""
        return [request for request in self.by_id.values() if request.work_state in STARTED_STATES]

    def has_unfinished(self, request_id: int) -> bool:
        """Whether the table holds a request with this id whose work is not finished."""
        request = self.by_id.get(request_id)
        return request is not None and request.work_state is not WorkState.FINISHED

    def count_by_state(self) -> Counter[str]:
        """Return the number of requests by work state, under the names that the log uses."""
        return Counter(request.work_state.value for request in self.by_id.values())

    def forget_if_done(self, request: Request) -> None:
        """Remove a request if it is done."""
        if request.is_done:
            self.by_id.pop(request.id, None)
            self.by_attempt_id.pop(request.submission.attempt_id, None)
