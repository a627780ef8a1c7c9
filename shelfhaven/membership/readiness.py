"""Readiness of a starting node, and the share of traffic that it takes while it warms up.

A node becomes ready once it has an endpoint list, a link to its runner, and a first successful answer from
there. It waits for the list and for the answer only until a timeout; a fleet without requests gives no
answer. If at least half of the fleet is cold, the node does not wait for the answer, since otherwise no node
would become ready. Once ready, it takes a rising share of requests. In a fleet that is mostly cold, the cold
nodes take a larger share at once, so that no warm node gets more than `MAX_WARM_LOAD` times its own. This
module does no I/O and reads no clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

COLD_FLEET_FRACTION = 0.5  # cold fraction of the fleet from which nodes do not wait for a first answer
MIN_READY_SHARE = 0.1  # of its full share, which a node takes as soon as it is ready
MAX_WARM_LOAD = 1.5  # load of a warm node, as a multiple of its own share
MIN_WARM_UP_S = 1e-9  # avoids a division by zero


class ReadinessStep(Enum):
    """Step of a node's start: what it waits for, or that it is ready. The values appear in the log."""

    WAITING_FOR_LIST = "no list"
    WAITING_FOR_LINK = "no link to what runs its work"
    WAITING_FOR_FIRST_ANSWER = "no good answer yet"
    READY = "ready"


@dataclass(frozen=True, slots=True)
class ReadinessSettings:
    """Settings from the operator configuration; times are in seconds."""

    list_timeout: float = 10.0  # for the endpoint list, from the start of the node
    first_answer_timeout: float = 3.0  # for the first successful answer, once the link is up
    warm_up: float = 20.0  # from readiness until the node takes its full share


@dataclass(slots=True)
class Readiness:
    """State machine of a node's start."""

    settings: ReadinessSettings
    started_at: float
    step: ReadinessStep = ReadinessStep.WAITING_FOR_LIST
    has_list: bool = False
    linked: bool = False
    linked_at: float = 0.0
    has_first_answer: bool = False
    ready_at: float = 0.0

    def update(self, now: float, linked: bool, cold_fraction: float) -> ReadinessStep:
        """Update and return the step.

        A node stays ready once it is; later faults only affect its health.
        """
        if linked and not self.linked:
            self.linked_at = now
        self.linked = linked
        if self.step is ReadinessStep.READY:
            return self.step
        if not self.has_list and now - self.started_at < self.settings.list_timeout:
            self.step = ReadinessStep.WAITING_FOR_LIST
        elif not linked:
            self.step = ReadinessStep.WAITING_FOR_LINK
        elif self._needs_first_answer(now, cold_fraction):
            self.step = ReadinessStep.WAITING_FOR_FIRST_ANSWER
        else:
            self.step = ReadinessStep.READY
            self.ready_at = now
        return self.step

    def _needs_first_answer(self, now: float, cold_fraction: float) -> bool:
        timed_out = now - self.linked_at >= self.settings.first_answer_timeout
        return not (self.has_first_answer or timed_out or cold_fraction >= COLD_FLEET_FRACTION)

    @property
    def ready(self) -> bool:
        """Whether the node is ready for requests."""
        return self.step is ReadinessStep.READY

    def warm(self, now: float) -> bool:
        """Return whether the node takes its full share."""
        return self.ready and now - self.ready_at >= self.settings.warm_up

    def share(self, now: float, cold_fraction: float) -> float:
        """Return the fraction of its full share that the node takes."""
        if not self.ready:
            return 0.0
        warmed_up_fraction = (now - self.ready_at) / max(self.settings.warm_up, MIN_WARM_UP_S)
        return min(1.0, max(MIN_READY_SHARE, warmed_up_fraction, min_cold_share(cold_fraction)))


def min_cold_share(cold_fraction: float) -> float:
    """Return the least share of each cold node that keeps warm nodes within `MAX_WARM_LOAD`.

    If a fraction w of the fleet is warm, a fraction c is cold, and each cold node takes the share s, a warm
    node gets 1 / (w + c s).
    """
    if cold_fraction <= 0:
        return 0.0
    return min(1.0, max(0.0, (1 / MAX_WARM_LOAD - (1 - cold_fraction)) / cold_fraction))
