"""The durable key store as a component; imported only where the operator's file configures one."""

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
    """Records keyed runs before they begin and their outcomes before they are answered."""

    def __init__(self, operator: Operator, core: Core, pools: PoolsComponent | None, log: Log) -> None:
        assert operator.state
        self.core = core
        self.pools = pools
        self.log = log
        hooks = IncarnationHooks(self._encoded_estimates, self._restore_estimates, self._reconcile)
        self.state = DurableKeyStore(operator.state, core.put, log, hooks)
        core.keys.store = self.state
        ready = core.ready
        core.ready = lambda: ready() and self.state.accepts_work()

    def _pools_by_name(self) -> dict[str, Pool]:
        return self.pools.by_name() if self.pools else {}

    def _encoded_estimates(self) -> bytes:
        """What this node has measured, for its next incarnation."""
        now = time.monotonic()
        pools = {
            name: PoolEstimates(dict(pool.latencies.by_class), warm_start.estimates_of(now, pool))
            for name, pool in self._pools_by_name().items()
        }
        estimates = self.core.controller.estimates()
        classes = saved_estimates.class_estimates_by_name(self.core.config.classes, estimates)
        call = CallEstimates(estimates.call_mean, estimates.call_deviation)
        return saved_estimates.encode(SavedEstimates(classes, call, pools))

    def _restore_estimates(self, encoded: bytes, age: float) -> None:
        """Take what the previous incarnation had measured as a prior, as far as its age allows."""
        weight = saved_estimates.prior_weight(age)
        try:
            saved = saved_estimates.decode(encoded)
        except ValueError as error:
            self.log.event("learned_unreadable", error=str(error))
            return
        servers = 0
        if weight:
            estimates = saved_estimates.to_learned_estimates(self.core.config.classes, saved)
            self.core.controller.restore_estimates(estimates, weight)
            for name, pool in self._pools_by_name().items():
                known = saved.pools.get(name, PoolEstimates())
                known_servers = saved_estimates.aged_server_estimates(known, age)
                servers += warm_start.apply_estimates(time.monotonic(), pool, known_servers, weight)
                pool.latencies.restore(known.usual_durations)
        self.log.event("learned", age=round(age, 1), counts=round(weight, 3), servers=servers)

    def _reconcile(self, label: KeyLabel) -> None:
        """Hand on a key whose run may have had its effect, to whoever reconciles such keys by then."""
        self.core.keys.notify_uncertain(label.class_name, label.tenant, label.idempotency_key)

    async def start(self) -> None:
        """Open the file and read the keys of earlier incarnations."""
        self.state.start()

    def reload(self, old: Files, new: Files) -> list[str]:
        """Name the setting `keys` if it has changed: it takes effect at the next start."""
        before = old.operator.state if old.operator else None
        after = new.operator.state if new.operator else None
        return ["keys"] if before != after else []

    async def stop(self) -> None:
        """Write what is queued and close the file."""
        await self.state.end()

    def status(self) -> StatusFields:
        """The key store's figures for the periodic log line."""
        return {"keys_file": self.state.load_now()}
