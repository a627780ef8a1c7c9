"""The control loop: what is updated in each control interval, and in which order."""

from __future__ import annotations

from shelfhaven.decision.actions import Action, SetHealth
from shelfhaven.decision.load_advertisement import LoadAdvertiser, LoadSnapshot
from shelfhaven.decision.server_state import ServerState


class ControlLoop:
    """Updates the server's state from the measurements of each control interval."""

    __slots__ = ("_advertiser", "_state")

    def __init__(self, state: ServerState) -> None:
        self._state = state
        self._advertiser = LoadAdvertiser(state.settings)

    def tick(self, now: float, gauges: dict[str, float]) -> list[Action]:
        """Run one iteration.  The order matters: later steps use the results of earlier ones."""
        state = self._state
        state.callers.update_completion_rate()
        state.keys.expire(now)
        actions: list[Action] = []
        if self._update_health(now):
            healthy = not state.health.unhealthy and not state.shutdown.started
            actions.append(SetHealth(healthy))
        self._update_admission(now)
        self._update_concurrency(now, gauges)
        idle_timeout = state.connections.update(state.callers.completion_rate)
        if idle_timeout is not None:
            actions.append(idle_timeout)
        actions += self.advertise_load(now)
        return actions

    def advertise_load(self, now: float) -> list[Action]:
        """Return the action that advertises the load, or no action if the value has hardly changed."""
        state = self._state
        snapshot = LoadSnapshot(
            admitted_share=state.admission.admitted_share,
            concurrency=state.concurrency.limit + state.requests.waiting_for_calls,
            completion_rate=state.callers.completion_rate,
            heaviest_caller_share=state.callers.heaviest_share,
            spare_fraction=state.concurrency.spare_fraction(),
            unhealthy=state.health.unhealthy,
            closed=now >= state.shutdown.advertises_closed_at,
        )
        advertisement = self._advertiser.update(snapshot)
        return [] if advertisement is None else [advertisement]

    def _update_health(self, now: float) -> bool:
        """Update warm-up and health; return whether the health has changed."""
        state = self._state
        running = state.requests.running
        state.warm_up.update(now)
        state.health.stall_detector.update(
            now, running, state.concurrency.slots(), state.run_estimates.longest_mean_run()
        )
        is_idle = not state.requests.queue and running < state.settings.cores
        state.health.lag_detector.update(is_idle)
        return state.health.update()

    def _update_admission(self, now: float) -> None:
        state = self._state
        for request in state.requests.queue.values():
            state.admission.record_queue_wait(now, request)
        if not state.requests.queue:
            state.admission.record_empty_queue()
        state.downstream.decay_rejected_fraction(now)
        state.admission.update_share(state.downstream.pressure())

    def _update_concurrency(self, now: float, gauges: dict[str, float]) -> None:
        state = self._state
        stall_detector = state.health.stall_detector
        slots_taken_for = 0.0
        if state.requests.running >= state.concurrency.slots():
            slots_taken_for = now - stall_detector.slots_taken_since
        has_waiting_work = bool(state.requests.queue) and not stall_detector.stalled
        state.concurrency.adjust(gauges, slots_taken_for, has_waiting_work, state.warm_up.progress)
