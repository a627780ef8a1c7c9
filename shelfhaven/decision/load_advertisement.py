"""The load that is advertised to callers: a load level, a window or a weight, depending on the settings."""

from __future__ import annotations

from dataclasses import dataclass

from shelfhaven.decision.actions import AdvertiseLoad
from shelfhaven.decision.admission import TARGET_WAIT_FRACTION
from shelfhaven.decision.settings import LoadAdvertisement, Settings

# Window or weight of an unhealthy server: above 0, so that callers notice when the server recovers.
UNHEALTHY_CAPACITY = 0.1

# Relative change from which a new value is sent.
MIN_RELATIVE_CHANGE = 0.05


@dataclass(frozen=True, slots=True)
class LoadSnapshot:
    """The measurements from which the advertised value is computed.

    Attributes:
        admitted_share: fraction of arrivals that are admitted.
        concurrency: the concurrency limit plus the number of requests that wait for downstream calls.
        completion_rate: requests completed per second.
        heaviest_caller_share: fraction of arrivals that come from the heaviest caller.
        spare_fraction: 0 while all cores are busy, rising to 1 with spare cores.
        unhealthy: whether this server is unhealthy.
        closed: whether callers should stop sending because the server is draining.
    """

    admitted_share: float
    concurrency: float
    completion_rate: float
    heaviest_caller_share: float
    spare_fraction: float
    unhealthy: bool
    closed: bool


class LoadAdvertiser:
    """Computes the advertised value from snapshots of the load."""

    __slots__ = ("_callers", "_kind", "_last_sent", "_shortest_objective")

    def __init__(self, settings: Settings) -> None:
        self._kind = settings.load_advertisement
        self._callers = max(1, settings.callers)
        self._shortest_objective = min(cls.latency_objective for cls in settings.classes)
        self._last_sent: float | None = None

    def update(self, load: LoadSnapshot) -> AdvertiseLoad | None:
        """Return an action if the value has changed enough to be sent."""
        if self._kind is LoadAdvertisement.NONE:
            return None
        value = self._value(load)
        if self._last_sent is not None and abs(value - self._last_sent) <= MIN_RELATIVE_CHANGE * abs(
            self._last_sent
        ):
            return None
        self._last_sent = value
        return AdvertiseLoad(value)

    def _value(self, load: LoadSnapshot) -> float:
        if self._kind is LoadAdvertisement.LEVEL:
            return 1.0 if load.unhealthy else 1 - self._capacity(load)
        return self._capacity(load)

    def _capacity(self, load: LoadSnapshot) -> float:
        """Return how much callers may send, as a window or as a fraction of 1; 0 for nothing."""
        if load.closed:
            return 0.0
        if load.unhealthy:
            return UNHEALTHY_CAPACITY
        if self._kind is LoadAdvertisement.WINDOW:
            return self._window(load)
        return load.admitted_share

    def _window(self, load: LoadSnapshot) -> float:
        """Return how many requests each caller may have outstanding.

        With spare cores the window is what the heaviest caller needs, because light callers never fill
        theirs.  As the cores become busy it shrinks to an even share for each caller.
        """
        queued = load.completion_rate * TARGET_WAIT_FRACTION * self._shortest_objective
        even_share = 1 / self._callers
        excess = max(0.0, load.heaviest_caller_share - even_share)
        share = even_share + excess * load.spare_fraction
        return load.admitted_share * ((load.concurrency + queued) * share + load.spare_fraction)
