"""Runner of the classes whose requests are executed by pools of uwsgi backends.

The runner passes each launch by the core to the pool of its class. It aggregates the gauges and the load of
all pools, and applies the locality settings of the node to them.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from random import Random
from typing import NamedTuple, Protocol, TypeAlias

from shelfhaven.backends.runner_load import LoadGauges, RunnerLoad
from shelfhaven.backends.uwsgi_pool import EventSink, PoolLoad, UwsgiPool
from shelfhaven.decision.settings import Outcome
from shelfhaven.operator_config import PoolConfig
from shelfhaven.routing.locality import LocalityRouter, LocalitySettings, TrafficDiversion
from shelfhaven.routing.pool import Pool
from shelfhaven.server import messages
from shelfhaven.server.descriptors import Descriptors
from shelfhaven.server.log import Log
from shelfhaven.server.mailbox import Mailbox

RunnerMessage: TypeAlias = messages.RunnerCommand | messages.SampleGauges


class KeyReservations(Protocol):
    """Ensures that a run with an idempotency key starts only once in the whole fleet."""

    def launch(self, launch: messages.LaunchRun, run: Callable[[messages.LaunchRun], None]) -> None:
        """Reserve the key and pass the launch to `run`, or report how the request ended without a run."""

    def on_run_completed(self, completed: messages.RunCompleted) -> None:
        """Handle the end of a run."""


class LoadByClass(NamedTuple):
    """The load of the pools, by class name."""

    in_flight: Mapping[str, int]
    typical_latency: Mapping[str, float]  # seconds


class UwsgiRunner:
    """Actor for all pools of uwsgi backends.

    Attributes:
        gauges: the gauges that the core samples.
        publish: function that passes an event to the core.
        seed: number from which the seeds of the pools' random generators are derived.
        reservations: fleet-wide reservations of idempotency keys; None if keys are known only to this node.
        pools: pools by name.
        pool_by_class: pools by the names of the classes that they run.
        draining: pools that were removed from the configuration but still have runs.
    """

    def __init__(
        self,
        configs: Mapping[str, PoolConfig],
        gauges: LoadGauges,
        descriptors: Descriptors,
        publish: EventSink,
        log: Log,
        seed: int,
    ) -> None:
        self.gauges = gauges
        self.descriptors = descriptors
        self.publish = publish
        self.log = log
        self.seed = seed
        self.reservations: KeyReservations | None = None
        self.mailbox: Mailbox[RunnerMessage] = Mailbox(self._handle_message, log)
        self.pools: dict[str, UwsgiPool] = {}
        self.pool_by_class: dict[str, UwsgiPool] = {}
        self.draining: list[UwsgiPool] = []
        self.update(configs)

    @property
    def up(self) -> bool:
        """Whether the runner samples gauges: always."""
        return True

    def start(self) -> None:
        """Report to the core that the runner accepts work."""
        self.tell(messages.RunnerConnected(True, 0.0))

    def put(self, message: RunnerMessage) -> None:
        """Queue a command."""
        self.mailbox.put(message)

    def tell(self, event: messages.RunnerEvent) -> None:
        """Report an event to the core; the end of a run is first reported to the reservations."""
        if self.reservations and isinstance(event, messages.RunCompleted):
            self.reservations.on_run_completed(event)
        self.publish(event)

    def update(self, configs: Mapping[str, PoolConfig]) -> None:
        """Apply a new configuration of the pools; attempts in flight continue."""
        for name in [name for name in self.pools if name not in configs]:
            pool = self.pools.pop(name)
            pool.drain()
            self.draining.append(pool)
        self.draining = [pool for pool in self.draining if pool.launches]
        for name, config in configs.items():
            if name in self.pools:
                self.pools[name].update(config)
            else:
                seed = self.seed + len(self.pools)
                self.pools[name] = UwsgiPool(config, self.descriptors, self.tell, self.log, seed)
        self.pool_by_class = {
            class_name: self.pools[name] for name, config in configs.items() for class_name in config.runs
        }

    def end(self) -> None:
        """Close all connections."""
        for pool in (*self.pools.values(), *self.draining):
            pool.close()

    # Commands

    def _handle_message(self, message: RunnerMessage) -> None:
        match message:
            case messages.LaunchRun():
                self._launch(message)
            case messages.SampleGauges():
                values = self.gauges.sample(self._total_load())
                self.tell(messages.GaugesSampled(message.tag, values))
            case messages.DeliverCallReply() | messages.ProceedWithoutCall():
                # The runs of this runner make no downstream calls.
                self.log.event("no_word_for", action=type(message).__name__)

    def _launch(self, launch: messages.LaunchRun) -> None:
        pool = self.pool_by_class.get(launch.class_name)
        if pool is None:
            self.tell(messages.RunCompleted(launch.attempt_id, Outcome.CONNECT_FAILED, 0.0))
        elif self.reservations and launch.key_digest:
            self.reservations.launch(launch, pool.launch)
        else:
            pool.launch(launch)

    # Load

    def load_now(self) -> dict[str, PoolLoad]:
        """Return the current load of each pool by name, for the log."""
        return {name: pool.load_now() for name, pool in self.pools.items()}

    def local_capacity(self) -> float | None:
        """Return how many runs backends in the node's zone can have in flight; None if there are no pools."""
        now = time.monotonic()
        capacities = [pool.local_capacity(now) for pool in self._routed_pools()]
        return sum(capacities) if capacities else None

    def has_local_backends(self) -> bool:
        """Return whether any backend is in the node's zone."""
        return any(pool.has_local_backends() for pool in self._routed_pools())

    def slow_start_progress(self) -> float:
        """Return the lowest progress of any pool's slow start, from 0 to 1; 1 if there is no slow start."""
        slow_starts = (pool.slow_start for pool in self._routed_pools())
        return min((slow_start.progress for slow_start in slow_starts if slow_start), default=1.0)

    def local_results(self) -> Counter[tuple[str, bool]]:
        """Count attempts since the start at backends in the node's zone, by class and whether they failed."""
        return sum((pool.router.local_results for pool in self.pools.values()), Counter())

    def load_by_class(self) -> LoadByClass:
        """Return the runs in flight and the typical latencies, by class name."""
        in_flight = Counter(
            run.class_name for pool in self.pools.values() for run in pool.router.runs.values()
        )
        typical_latency = {
            class_name: pool.router.pool.latencies.expected(class_name)
            for class_name, pool in self.pool_by_class.items()
        }
        return LoadByClass(in_flight, typical_latency)

    def _total_load(self) -> RunnerLoad:
        now = time.monotonic()
        capacity = sum(pool.router.capacity(now) for pool in self.pools.values())
        return RunnerLoad(sum(pool.in_flight() for pool in self._routed_pools()), capacity)

    def _routed_pools(self) -> Iterator[Pool]:
        return (pool.router.pool for pool in self.pools.values())

    # Locality

    def prefer_zone(
        self,
        zone: str,
        settings: LocalitySettings,
        regions: Mapping[str, str],
        diversion: TrafficDiversion | None,
    ) -> None:
        """Make every pool prefer the node's zone, and divert traffic as the failover controller decided.

        Args:
            zone: the node's zone.
            settings: locality settings.
            regions: region of each zone.
            diversion: current diversion of traffic to other zones, if any.
        """
        for pool in self._routed_pools():
            if pool.locality is None:
                pool.locality = LocalityRouter(settings, zone, Random(time.time_ns()))
            pool.locality.settings = settings
            pool.locality.regions = regions
            pool.locality.diversion = diversion
