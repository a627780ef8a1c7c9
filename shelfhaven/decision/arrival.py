"""The decision about an arrival: admit it, reject it, or answer it from the original that it duplicates."""

from __future__ import annotations

from enum import Enum

from shelfhaven.decision.events import RequestArrived
from shelfhaven.decision.request import Request
from shelfhaven.decision.server_state import ServerState
from shelfhaven.decision.settings import RetrySafety


class ArrivalDecision(Enum):
    """What to do with an arrival."""

    ADMIT = "admit"
    ANSWER_FROM_ORIGINAL = "answer from original"
    REJECT = "reject"  # the caller may retry on another server
    REJECT_WITHOUT_RETRY = "reject without retry"  # a retry on another server would be of no use


def register_request(now: float, event: RequestArrived, state: ServerState) -> Request:
    """Create the request of an arrival, record it in all statistics and add it to the request table.

    The request is not queued yet.
    """
    settings = state.settings.classes[event.class_index]
    caller = state.callers.record_arrival(event.caller, now)
    request = Request(event, settings, caller, now)
    prior_wait = state.attempt_limits.estimate_prior_wait(
        event, caller, settings.deadline, state.settings.marks_retries
    )
    if state.concurrency.has_spare_cores():  # there is capacity to run old attempts too
        prior_wait = 0.0
    request.set_times(event, prior_wait, state.shutdown.stops_at, state.answer_margin)
    if prior_wait > 0:
        answer_at = now + state.run_estimates.expected_run(request)
        request.hopeless_on_arrival = answer_at > request.worthless_at()

    tenant_fraction = state.tenants.record_arrival(now, event.tenant)
    request.priority_weight = settings.priority_weight * tenant_fraction
    state.admission.record_arrival(event.class_index, tenant_fraction)
    state.health.lag_detector.record_arrival(event.age)
    state.connections.record_arrival()
    state.requests.add(now, request)
    return request


def decide(now: float, request: Request, state: ServerState) -> ArrivalDecision:
    """Decide what to do with a new request."""
    has_key = request.settings.retry_safety is RetrySafety.IDEMPOTENCY_KEY
    original_id = request.original_id
    if has_key and original_id is not None and not state.keys.was_rejected(original_id):
        return ArrivalDecision.ANSWER_FROM_ORIGINAL
    if _must_reject(now, request, state):
        return ArrivalDecision.REJECT
    if request.hopeless_on_arrival:
        return ArrivalDecision.REJECT_WITHOUT_RETRY
    if state.admission.should_shed(request, state.callers.rejection_threshold(request.caller)):
        return ArrivalDecision.REJECT_WITHOUT_RETRY
    return ArrivalDecision.ADMIT


def _must_reject(now: float, request: Request, state: ServerState) -> bool:
    """Return whether to reject a request whatever the admitted share is.

    The reasons are: too little time left, arrival after the grace of a drain, too little memory, a stalled
    server, and, on an unhealthy server, an expected run that ends after the latency objective.
    """
    if request.decide_by(state.answer_margin) <= now:
        return True
    if state.shutdown.arrived_too_late(request.arrived_at):
        return True
    if not state.memory.has_capacity_for(state.settings.key_kb):
        return True
    if state.health.stall_detector.stalled:
        return True
    return state.health.unhealthy and now + state.run_estimates.expected_run(request) > request.objective_at
