"""Admission control: the fraction of arrivals that are admitted, and who is rejected below full admission.

A PI loop sets the admitted share by recent queue waits, each measured against what its class can afford,
and by how many downstream calls are rejected.  Each arrival then owes one minus the share of a rejection.
Debts are paid first by callers over their ceiling (`caller_table`), then by those with the fullest headway
counters and the lowest weight for their work.
"""

from __future__ import annotations

import math

from shelfhaven.decision.averages import CONTROL_INTERVAL_S, LONG_TERM_GAIN, RECENT_GAIN
from shelfhaven.decision.caller_table import PROTECTION_STEP
from shelfhaven.decision.request import Request
from shelfhaven.decision.run_estimates import RunEstimates
from shelfhaven.decision.settings import Settings

# Fraction of the time that a latency objective leaves beside the run which may be spent in the queue.
WAIT_FRACTION = 0.4

# Fraction of an objective that counts as left beside the run where the run alone fills the objective.
MIN_LEFT_FRACTION = 0.25

# Admitted share lost at once, and each second, for a wait of twice the wait aimed at.
PROPORTIONAL_GAIN = 0.3
INTEGRAL_GAIN_PER_S = 0.5

# Longest wait that the loop sees, in waits aimed at: a hopeless request counts as this.
MAX_RELATIVE_WAIT = 3.0

# Some work must be admitted for the loop to see that waits have fallen.
MIN_ADMITTED_SHARE = 0.05

# Doublings of a request's weight for its work, over the mean of arrivals, that count as protection.
MAX_DOUBLINGS = 2.0

# Rejections owed at most: what the best protected request needs, and one more.
MAX_DEBT = 2 + PROTECTION_STEP * (1 + MAX_DOUBLINGS)


class AdmissionControl:
    """The admitted share, and the rejections that are owed for it."""

    __slots__ = ("_class_mix", "_debt", "_error", "_runs", "_settings", "admitted_share", "relative_wait")

    def __init__(self, settings: Settings, runs: RunEstimates) -> None:
        self._settings = settings
        self._runs = runs
        # fraction of arrivals by class, each counted by its tenant's fraction of the weight
        self._class_mix = [0.0] * len(settings.classes)
        self._debt = 0.0  # rejections owed
        self._error = 0.0  # of the last interval
        self.admitted_share = 1.0
        self.relative_wait = 0.0  # recent queue waits, in waits aimed at

    def record_arrival(self, class_index: int, tenant_fraction: float) -> None:
        """Count an arrival in the mix of classes."""
        gain = LONG_TERM_GAIN if any(self._class_mix) else 1.0
        self._class_mix = [
            mean + gain * ((tenant_fraction if index == class_index else 0.0) - mean)
            for index, mean in enumerate(self._class_mix)
        ]

    def record_queue_wait(self, now: float, request: Request) -> None:
        """Take the wait of a request that is queued, or about to run; a suspended one has run before."""
        if request.may_have_run:
            return
        # the tiers that a request passes share its time evenly
        objective = request.settings.latency_objective / (1 + self._settings.tier)
        left = max(objective - self._runs.expected_run(request), MIN_LEFT_FRACTION * objective)
        self._record_relative_wait((now - request.read_at) / (WAIT_FRACTION * left))

    def record_hopeless(self) -> None:
        """Take a request that was given up unrun: however short, the time that it lacked counts as waited."""
        self._record_relative_wait(MAX_RELATIVE_WAIT)

    def record_empty_queue(self) -> None:
        """Nothing waits."""
        self._record_relative_wait(0.0)

    def update_share(self, downstream_pressure: float) -> None:
        """One iteration of the PI loop; the pressure of rejected calls counts like a relative wait."""
        pressure = min(MAX_RELATIVE_WAIT, downstream_pressure)
        error = max(self.relative_wait, pressure) - 1
        proportional = PROPORTIONAL_GAIN * (error - self._error)
        integral = INTEGRAL_GAIN_PER_S * error * CONTROL_INTERVAL_S
        share = self.admitted_share - (proportional + integral)
        self.admitted_share = min(1.0, max(MIN_ADMITTED_SHARE, share))
        self._error = error

    def should_shed(self, request: Request, caller_protection: float) -> bool:
        """Whether an arrival pays a rejection that is owed.

        A caller over its ceiling (protection 0) pays whenever anything is owed.  Below the ceiling each
        doubling of the weight for the work protects as much as an empty counter.  Guards against tenants
        over their quota and floods of low weight: they are rejected themselves.  Risk: where the
        worst-served class counts for more than its weight, it is hurt.
        """
        if self.admitted_share >= 1:
            self._debt = 0.0
            return False
        self._debt = min(self._debt + 1 - self.admitted_share, MAX_DEBT)
        protection = caller_protection
        if protection:
            protection += PROTECTION_STEP * self._doublings(request)
        if self._debt < protection:
            return False
        self._debt -= 1
        return True

    def _doublings(self, request: Request) -> float:
        """How often the mean weight of arrivals for their work is to be doubled to come to this request's."""
        classes = zip(self._class_mix, self._settings.classes, self._runs.run_means, strict=True)
        mean = sum(
            fraction * self._runs.weight_per_second(class_settings.priority_weight, run)
            for fraction, class_settings, run in classes
        )
        weight = self._runs.weight_per_second(request.priority_weight, self._runs.expected_run(request))
        ratio = weight / mean if mean > 0 else 1.0
        return min(MAX_DOUBLINGS, math.log2(max(1.0, ratio)))

    def _record_relative_wait(self, wait: float) -> None:
        # a mean over events: a control interval holds one or none of them on a server of two cores
        self.relative_wait += RECENT_GAIN * (min(wait, MAX_RELATIVE_WAIT) - self.relative_wait)
