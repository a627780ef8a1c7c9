"""The component for the durable key store; imported only if the operator configuration has one."""

from __future__ import annotations

import time

from shelfhaven.operator_config import Operator
from shelfhaven.program.component import Component, Files, StatusFields
from shelfhaven.program.pools import PoolsComponent
from shelfhaven.routing import warm_start
from shelfhaven.routing.pool import Pool
from shelfhaven.server.core import Core
from shelfhaven.server.log import Log
from shelfhaven.state import saved_estimates
from shelfhaven.state.actor import DurableKeyStore, IncarnationHooks
from shelfhaven.state.records import KeyLabel
from shelfhaven.state.saved_estimates import CallEstimates, PoolEstimates, SavedEstimates


class StateComponent(Component):
    """Records the intent of a keyed run before it starts, and its outcome before the answer is sent.

    It also passes the node's measurements on to the next incarnation, in the same file.
    """

    def __init__(self, operator: Operator, core: Core, pools: PoolsComponent | None, log: Log) -> None:
        assert operator.state
        self.core = core
        self.pools = pools
        self.log = log
        hooks = IncarnationHooks(self._encode_estimates, self._restore_estimates, self._report_uncertain_key)
        self.state = DurableKeyStore(operator.state, core.put, log, hooks)
        core.keys.store = self.state
        previous_ready = core.ready
        core.ready = lambda: previous_ready() and self.state.accepts_work()

    def _pools_by_name(self) -> dict[str, Pool]:
        return self.pools.by_name() if self.pools else {}

    def _encode_estimates(self) -> bytes:
        """Return this node's measurements, encoded for its next incarnation."""
        now = time.monotonic()
        pools = {
            name: PoolEstimates(dict(pool.latencies.by_class), warm_start.estimates_of(now, pool))
            for name, pool in self._pools_by_name().items()
        }
        estimates = self.core.controller.estimates()
        classes = saved_estimates.class_estimates_by_name(self.core.config.classes, estimates)
        call_estimates = CallEstimates(estimates.call_mean, estimates.call_deviation)
        return saved_estimates.encode(SavedEstimates(classes, call_estimates, pools))

    def _restore_estimates(self, encoded: bytes, age: float) -> None:
        """Use the measurements of the previous incarnation as a prior, weighted by their age in seconds."""
        weight = saved_estimates.prior_weight(age)
        try:
            saved = saved_estimates.decode(encoded)
        except ValueError as error:
            self.log.event("learned_unreadable", error=str(error))
            return
        server_count = 0
        if weight:
            estimates = saved_estimates.to_learned_estimates(self.core.config.classes, saved)
            self.core.controller.restore_estimates(estimates, weight)
            for name, pool in self._pools_by_name().items():
                saved_pool = saved.pools.get(name, PoolEstimates())
                server_estimates = saved_estimates.aged_server_estimates(saved_pool, age)
                server_count += warm_start.apply_estimates(time.monotonic(), pool, server_estimates, weight)
                pool.latencies.restore(saved_pool.usual_durations)
        self.log.event("learned", age=round(age, 1), counts=round(weight, 3), servers=server_count)

    def _report_uncertain_key(self, label: KeyLabel) -> None:
        """Report the key of a run of an earlier incarnation that may have had its effect."""
        self.core.keys.notify_uncertain(label.class_name, label.tenant, label.idempotency_key)

    async def start(self) -> None:
        """Open the file and load the keys of earlier incarnations."""
        self.state.start()

    def reload(self, old: Files, new: Files) -> list[str]:
        """Return `keys` if its settings have changed: they take effect only at a restart."""
        before = old.operator.state if old.operator else None
        after = new.operator.state if new.operator else None
        return ["keys"] if before != after else []

    async def stop(self) -> None:
        """Write the queued records and close the file."""
        await self.state.end()

    def status(self) -> StatusFields:
        """Return the state of the key store, for the log."""
        return {"keys_file": self.state.load_now()}
