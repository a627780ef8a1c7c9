"""Admission control: which fraction of arrivals is admitted, and which requests are rejected.

A PI controller sets the admitted share.  Its input is the larger of two signals: the recent queue wait
relative to the target wait of the request's class, and the fraction of downstream calls that are rejected.
Each arrival then adds one minus the admitted share to the number of rejections due.  Callers over their
ceiling are rejected first (`caller_table`), then requests whose caller has a full headway counter and whose
weight is low for the work that they need.
"""

from __future__ import annotations

import math

from shelfhaven.decision.averages import CONTROL_INTERVAL_S, LONG_TERM_GAIN, RECENT_GAIN
from shelfhaven.decision.caller_table import REJECTION_THRESHOLD_STEP
from shelfhaven.decision.request import Request
from shelfhaven.decision.run_estimates import RunEstimates
from shelfhaven.decision.settings import Settings

# Target queue wait, as a fraction of the slack: the part of the latency objective that the run does not need.
TARGET_WAIT_FRACTION = 0.4

# Minimum slack, as a fraction of the latency objective, for requests whose run alone fills the objective.
MIN_SLACK_FRACTION = 0.25

# Decrease of the admitted share at once, and per second, for an error of 1 (a wait of twice the target).
PROPORTIONAL_GAIN = 0.3
INTEGRAL_GAIN_PER_S = 0.5

# Upper bound of the measured wait, relative to the target.  Hopeless requests count as waits of this length.
MAX_RELATIVE_WAIT = 3.0

# Without any admitted work the control loop could not see that waits have become shorter.
MIN_ADMITTED_SHARE = 0.05

# Upper bound of the doublings by which a request's weight for its work exceeds the mean of arrivals.
MAX_WEIGHT_DOUBLINGS = 2.0

# Upper bound of the rejections due: one more than the highest rejection threshold of a request.
MAX_REJECTIONS_DUE = 2 + REJECTION_THRESHOLD_STEP * (1 + MAX_WEIGHT_DOUBLINGS)


class AdmissionControl:
    """The admitted share, and the number of rejections due because of it."""

    __slots__ = (
        "_class_mix",
        "_previous_error",
        "_rejections_due",
        "_runs",
        "_settings",
        "admitted_share",
        "relative_wait",
    )

    def __init__(self, settings: Settings, runs: RunEstimates) -> None:
        self._settings = settings
        self._runs = runs
        # fraction of arrivals by class, where each arrival counts as the fraction of its weight that the
        # tenant's quota leaves
        self._class_mix = [0.0] * len(settings.classes)
        self._rejections_due = 0.0
        self._previous_error = 0.0  # in the previous control interval
        self.admitted_share = 1.0
        self.relative_wait = 0.0  # mean of recent queue waits, each divided by its target

    def record_arrival(self, class_index: int, tenant_fraction: float) -> None:
        """Update the class mix with an arrival."""
        gain = LONG_TERM_GAIN if any(self._class_mix) else 1.0
        self._class_mix = [
            mean + gain * ((tenant_fraction if index == class_index else 0.0) - mean)
            for index, mean in enumerate(self._class_mix)
        ]

    def record_queue_wait(self, now: float, request: Request) -> None:
        """Record how long a request has been queued; it is still queued or about to run.

        Suspended requests are ignored, since they have already run.
        """
        if request.may_have_run:
            return
        # the tiers that a request passes through share its latency objective evenly
        objective = request.settings.latency_objective / (1 + self._settings.tier)
        slack = max(objective - self._runs.expected_run(request), MIN_SLACK_FRACTION * objective)
        self._record_relative_wait((now - request.read_at) / (TARGET_WAIT_FRACTION * slack))

    def record_hopeless(self) -> None:
        """Record a request that was given up before it ran, as the longest wait whatever its own was."""
        self._record_relative_wait(MAX_RELATIVE_WAIT)

    def record_empty_queue(self) -> None:
        """Record a wait of zero because no request is queued."""
        self._record_relative_wait(0.0)

    def update_share(self, downstream_pressure: float) -> None:
        """Run one iteration of the PI controller.

        `downstream_pressure` is the fraction of rejected downstream calls, scaled so that 1 has the same
        effect as a queue wait at its target.
        """
        pressure = min(MAX_RELATIVE_WAIT, downstream_pressure)
        error = max(self.relative_wait, pressure) - 1
        proportional = PROPORTIONAL_GAIN * (error - self._previous_error)
        integral = INTEGRAL_GAIN_PER_S * error * CONTROL_INTERVAL_S
        share = self.admitted_share - (proportional + integral)
        self.admitted_share = min(1.0, max(MIN_ADMITTED_SHARE, share))
        self._previous_error = error

    def should_shed(self, request: Request, caller_threshold: float) -> bool:
        """Return whether to reject an arrival because the rejections due have reached its threshold.

        `caller_threshold` is the rejection threshold of the caller.  It is 0 for a caller over its ceiling,
        which is rejected whenever the admitted share is below 1.  For other callers, each doubling of the
        request's weight for its work raises the threshold as much as an empty headway counter does.

        This guards against tenants over their quota and floods of requests with a low weight: they are
        rejected before others.  Risk: it hurts sites where the worst-served class counts for more than its
        weight.
        """
        if self.admitted_share >= 1:
            self._rejections_due = 0.0
            return False
        self._rejections_due = min(self._rejections_due + 1 - self.admitted_share, MAX_REJECTIONS_DUE)
        threshold = caller_threshold
        if threshold:
            threshold += REJECTION_THRESHOLD_STEP * self._weight_doublings(request)
        if self._rejections_due < threshold:
            return False
        self._rejections_due -= 1
        return True

    def _weight_doublings(self, request: Request) -> float:
        """Return the base-2 logarithm of the request's weight for its work over the mean of arrivals."""
        classes = zip(self._class_mix, self._settings.classes, self._runs.run_means, strict=True)
        mean = sum(
            fraction * self._runs.weight_per_second(class_settings.priority_weight, run)
            for fraction, class_settings, run in classes
        )
        weight = self._runs.weight_per_second(request.priority_weight, self._runs.expected_run(request))
        ratio = weight / mean if mean > 0 else 1.0
        return min(MAX_WEIGHT_DOUBLINGS, math.log2(max(1.0, ratio)))

    def _record_relative_wait(self, wait: float) -> None:
        # averaged by event rather than by interval: on two cores a control interval has one event at most
        self.relative_wait += RECENT_GAIN * (min(wait, MAX_RELATIVE_WAIT) - self.relative_wait)
