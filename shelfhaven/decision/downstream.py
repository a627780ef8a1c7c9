"""Downstream calls: when a call is placed, how long it may take, and what happens when it fails.

A shared dependency fails when too many calls are in progress there on average, so this server keeps to its
quota of them (`call_load`).  A downstream tier sheds its own load.
"""

from __future__ import annotations

from enum import Enum

from shelfhaven.decision.averages import CONTROL_INTERVAL_S, RATE_WINDOW_S, RECENT_GAIN
from shelfhaven.decision.call_load import CallLoad
from shelfhaven.decision.events import CallFinished
from shelfhaven.decision.inputs import positive_or_zero
from shelfhaven.decision.request import Request
from shelfhaven.decision.run_estimates import RunEstimates
from shelfhaven.decision.settings import NEVER_RAN, DownstreamKind, Outcome, RetrySafety, Settings

# Fraction of recent calls rejected downstream that counts like a queue wait at its target.  Each rejected
# call had already been tried on other servers downstream.
REJECTED_FRACTION_THRESHOLD = 0.3

# Weight of a new call in that fraction: it covers about the last 16 calls, a few seconds on a small server.
REJECTED_FRACTION_GAIN = 1 / 16

# A call times out this many deviations above the mean duration of successful calls, as in RFC 6298.
TIMEOUT_DEVIATIONS = 4.0

# Weight of a new sample in the deviation: twice its weight in the mean, as in RFC 6298.
DEVIATION_GAIN = 2 * RECENT_GAIN

# Fraction of the mean run time that remains after the call.
RUN_FRACTION_AFTER_CALL = 0.5

# Multiple of the usual run time after which a run that may not have got the reply to its call is assumed to
# wait for it still.  The rest of a run is only a part of it, but run times vary.
PROGRESS_RUN_MULTIPLE = 2.0

# Seconds before retrying a call that is known not to have run, as each attempt costs work downstream.
CALL_BACKOFF_S = 0.3

# Fraction of this server's quota of a shared dependency that it uses; the rest is a safety margin.
USABLE_CAPACITY_FRACTION = 0.9


class CallStep(Enum):
    """What to do next about a request's downstream call."""

    PLACE = "place"
    SKIP = "skip"
    RETRY_LATER = "retry later"
    GIVE_UP = "give up"  # on the call and on its request


class DownstreamCalls:
    """Statistics of downstream calls, and the decisions based on them."""

    __slots__ = (
        "_capacity",
        "_kind",
        "_last_call_finished_at",
        "_run_estimates",
        "deviation",
        "load",
        "mean",
        "rejected_fraction",
    )

    def __init__(self, settings: Settings, run_estimates: RunEstimates) -> None:
        self._kind = settings.downstream
        self._capacity = settings.downstream_capacity
        self._run_estimates = run_estimates
        self._last_call_finished_at = 0.0
        self.load = CallLoad(settings.downstream_window, settings.abandoned_call_occupancy)
        self.mean = 0.0  # duration of successful calls in seconds; 0 until one is measured
        self.deviation = 0.0  # of those durations
        self.rejected_fraction = 0.0  # of recent calls

    def next_step(self, now: float, request: Request) -> CallStep:
        """Return what to do about a call that the request needs now."""
        if request.answered or request.due_at <= now:
            return CallStep.GIVE_UP
        many_rejected = self.rejected_fraction > REJECTED_FRACTION_THRESHOLD
        if many_rejected and request.settings.weight_without_call > 0:
            # leaves the few calls that succeed to requests that cannot skip theirs
            return CallStep.SKIP
        return CallStep.PLACE if self._has_capacity(now) else CallStep.RETRY_LATER

    def step_after_failure(self, now: float, request: Request, outcome: Outcome) -> CallStep:
        """Return what to do after a failed call.

        A call that may run twice or never ran is retried; otherwise it is skipped if possible.
        """
        if self._may_retry_reset_call(now, request, outcome):
            request.call_retried = True
            return self.next_step(now, request)
        if request.settings.weight_without_call > 0:
            return CallStep.SKIP
        if outcome in NEVER_RAN and request.due_at - now > 2 * CALL_BACKOFF_S:
            return CallStep.RETRY_LATER
        return CallStep.GIVE_UP

    def timeout(self, now: float, request: Request) -> float | None:
        """Return how long a call may take, or None if neither the objective nor a measurement gives a limit.

        A call may take as long as its request can still meet its objective, or as long as successful calls
        usually take if that is longer, but never past the due time.  This bounds calls that never return (a
        dead path, a hung server), which would hold memory and call quota here.  Where late answers earn much
        and call durations vary widely, it may cut off calls that would have succeeded.
        """
        usual_limit = self.mean + TIMEOUT_DEVIATIONS * self.deviation
        remaining_run = RUN_FRACTION_AFTER_CALL * self._run_estimates.run_means[request.class_index]
        limit = max(usual_limit, request.objective_at - now - remaining_run)
        return min(request.due_at - now, limit) or None

    def progress_time(self, request: Request) -> float:
        """Return the time within which a run that got the reply to its call should end or call again."""
        class_mean = self._run_estimates.run_means[request.class_index]
        return PROGRESS_RUN_MULTIPLE * max(class_mean, self._run_estimates.expected_run(request))

    def record(self, now: float, event: CallFinished) -> None:
        """Add a finished call to the statistics.

        Rejected calls lower the admitted share as long queue waits do: when a downstream tier or dependency
        reports that it lacks capacity, requests are shed here before work is wasted on them.  Calls that were
        lost on the way do not count, since other paths still work.  A few downstream servers that reject
        everything can lower the admitted share more than they should.
        """
        self._last_call_finished_at = now
        rejected = 1.0 if event.outcome is Outcome.REJECTED else 0.0
        self.rejected_fraction += REJECTED_FRACTION_GAIN * (rejected - self.rejected_fraction)
        if event.outcome is Outcome.OK:
            duration = positive_or_zero(event.duration)
            self.deviation += DEVIATION_GAIN * (abs(duration - self.mean) - self.deviation)
            self.mean += RECENT_GAIN * (duration - self.mean) if self.mean else duration
        elif event.outcome is not Outcome.ERROR and event.outcome not in NEVER_RAN:
            self.load.abandon(now)  # the dependency may still be working on it

    def decay_rejected_fraction(self, now: float) -> None:
        """Slowly forget rejections when no call has finished for a while, so that calls are tried again."""
        if now - self._last_call_finished_at > RATE_WINDOW_S:
            self.rejected_fraction -= self.rejected_fraction * CONTROL_INTERVAL_S / RATE_WINDOW_S

    def pressure(self) -> float:
        """Return the rejected fraction over its threshold; 1 counts like a queue wait at its target."""
        return self.rejected_fraction / REJECTED_FRACTION_THRESHOLD

    def restore(self, mean: float, deviation: float, weight: float) -> None:
        """Take over the statistics of a previous incarnation, unless a call was measured in this one."""
        if not self.mean and positive_or_zero(mean) * weight:
            self.mean = mean
            self.deviation = positive_or_zero(deviation)

    def _may_retry_reset_call(self, now: float, request: Request, outcome: Outcome) -> bool:
        """Whether a reset call may run twice, can return in time, and has not been retried before."""
        idempotent = request.settings.retry_safety is RetrySafety.IDEMPOTENT
        if outcome is not Outcome.RESET or not idempotent or request.call_retried:
            return False
        remaining_run = RUN_FRACTION_AFTER_CALL * self._run_estimates.run_means[request.class_index]
        return now + self.mean + remaining_run < request.objective_at

    def _has_capacity(self, now: float) -> bool:
        """Whether one more call, and what calls in progress will still add, keeps within the quota.

        A call may always be placed if there was none within the window.
        """
        if self._kind is not DownstreamKind.SHARED:
            return True
        load = self.load
        used = load.call_seconds(now)
        expected = (load.in_progress + 1) * (self.mean + self.deviation + load.abandoned_call_occupancy)
        fits = used + expected <= USABLE_CAPACITY_FRACTION * self._capacity * load.window
        is_idle = not used + load.in_progress
        return load.in_progress < max(1.0, self._capacity) and (fits or is_idle)
