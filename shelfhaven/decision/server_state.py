"""The components of one server's controller, and the checks that involve several of them."""

from __future__ import annotations

from shelfhaven.decision.admission import AdmissionControl
from shelfhaven.decision.attempt_limits import AttemptLimits
from shelfhaven.decision.caller_table import CallerTable
from shelfhaven.decision.concurrency_limit import ConcurrencyLimit
from shelfhaven.decision.connection_policy import ConnectionPolicy
from shelfhaven.decision.downstream import DownstreamCalls
from shelfhaven.decision.graceful_shutdown import GracefulShutdown
from shelfhaven.decision.health import HealthMonitor, WarmUp
from shelfhaven.decision.idempotency import KeyTable
from shelfhaven.decision.memory import MemoryBudget
from shelfhaven.decision.queueing import Scheduler
from shelfhaven.decision.request import Request, RequestTable
from shelfhaven.decision.run_estimates import RunEstimates
from shelfhaven.decision.settings import Settings
from shelfhaven.decision.tenant_quota import TenantQuotas

# Ticks before the due time at which an answer is sent: a timer may fire one tick late, and the answer takes
# time to reach the caller.
ANSWER_MARGIN_TICKS = 3


class ServerState:
    """All components of one server's controller, built from its settings."""

    __slots__ = (
        "admission",
        "answer_margin",
        "attempt_limits",
        "callers",
        "concurrency",
        "connections",
        "downstream",
        "health",
        "keys",
        "memory",
        "requests",
        "run_estimates",
        "scheduler",
        "settings",
        "shutdown",
        "tenants",
        "warm_up",
    )

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.answer_margin = ANSWER_MARGIN_TICKS * settings.tick
        self.callers = CallerTable()
        self.tenants = TenantQuotas(settings)
        self.attempt_limits = AttemptLimits()
        self.memory = MemoryBudget(settings.memory_kb)
        self.keys = KeyTable(self.memory, settings.key_kb)
        self.run_estimates = RunEstimates(settings)
        self.downstream = DownstreamCalls(settings, self.run_estimates)
        self.requests = RequestTable(self.memory, settings.running_memory_factor, self.downstream.load)
        self.admission = AdmissionControl(settings, self.run_estimates)
        self.scheduler = Scheduler(self.run_estimates, self.answer_margin)
        self.concurrency = ConcurrencyLimit(settings)
        self.warm_up = WarmUp(settings)
        self.health = HealthMonitor(settings)
        self.connections = ConnectionPolicy(settings)
        self.shutdown = GracefulShutdown(settings)

    def has_free_slot(self) -> bool:
        """Whether one more request may run now."""
        requests = self.requests
        return self.concurrency.has_free_slot(
            requests.running, requests.waiting_for_calls, self.warm_up.progress
        )

    def may_run(self, request: Request) -> bool:
        """Whether memory, and for a request that needs a call also the calls in progress, allow it to run."""
        if request.may_have_run:  # suspended: it holds its memory, and its call counts as made
            return self.memory.has_capacity_for(0.0)
        additional_kb = (self.settings.running_memory_factor - 1) * request.footprint_kb
        if not self.memory.has_capacity_for(additional_kb):
            return False
        needs_call = request.settings.calls_downstream and not request.settings.weight_without_call
        return not needs_call or self.concurrency.allows_call(self.requests.waiting_for_calls)
