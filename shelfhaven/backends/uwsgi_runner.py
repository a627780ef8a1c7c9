"""Runner of the classes that pools of uwsgi backends serve.

Gives each launch of the core to the pool of its class, and answers for all pools: their gauges, their load
and their part in the locality of the node.
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
    """Sees to it that a run with an idempotency key begins once over a whole fleet."""

    def launch(self, launch: messages.LaunchRun, run: Callable[[messages.LaunchRun], None]) -> None:
        """Have it begun by `run`, or report how it ended without that."""

    def on_run_completed(self, done: messages.RunCompleted) -> None:
        """A run is over."""


class LoadByClass(NamedTuple):
    """The load of the pools, by the names of classes."""

    in_flight: Mapping[str, int]
    typical_latency: Mapping[str, float]  # seconds that a run takes


class UwsgiRunner:
    """Actor of all pools.

    Attributes:
        reservations: of the keys of runs; None where each node decides for itself.
        pools: by name.
        by_class: the pool that runs a class.
        draining: pools that were removed from the file before their runs ended.
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
        self.mailbox: Mailbox[RunnerMessage] = Mailbox(self._take, log)
        self.pools: dict[str, UwsgiPool] = {}
        self.by_class: dict[str, UwsgiPool] = {}
        self.draining: list[UwsgiPool] = []
        self.update(configs)

    @property
    def up(self) -> bool:
        """Whether it samples gauges: always."""
        return True

    def start(self) -> None:
        """Take up work."""
        self.tell(messages.RunnerConnected(True, 0.0))

    def put(self, message: RunnerMessage) -> None:
        """Take a command."""
        self.mailbox.put(message)

    def tell(self, event: messages.RunnerEvent) -> None:
        """Report an event to the core, and ends of runs to the reservations before it."""
        if self.reservations and isinstance(event, messages.RunCompleted):
            self.reservations.on_run_completed(event)
        self.publish(event)

    def update(self, configs: Mapping[str, PoolConfig]) -> None:
        """Take the pools of a new file: attempts in flight end where they are."""
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
        self.by_class = {
            class_name: self.pools[name] for name, config in configs.items() for class_name in config.runs
        }

    def end(self) -> None:
        """Close all connections."""
        for pool in (*self.pools.values(), *self.draining):
            pool.close()

    # Commands

    def _take(self, message: RunnerMessage) -> None:
        match message:
            case messages.LaunchRun():
                self._launch(message)
            case messages.SampleGauges():
                values = self.gauges.sample(self._load())
                self.tell(messages.GaugesSampled(message.tag, values))
            case messages.DeliverCallReply() | messages.ProceedWithoutCall():  # runs here ask for no calls
                self.log.event("no_word_for", action=type(message).__name__)

    def _launch(self, launch: messages.LaunchRun) -> None:
        pool = self.by_class.get(launch.class_name)
        if pool is None:
            self.tell(messages.RunCompleted(launch.attempt_id, Outcome.CONNECT_FAILED, 0.0))
        elif self.reservations and launch.key_digest:
            self.reservations.launch(launch, pool.launch)
        else:
            pool.launch(launch)

    # Load

    def load_now(self) -> dict[str, PoolLoad]:
        """What each pool has in flight, by its name, for the log."""
        return {name: pool.load_now() for name, pool in self.pools.items()}

    def local_capacity(self) -> float | None:
        """Runs that backends of the node's own zone can have in flight; None without a pool."""
        now = time.monotonic()
        capacities = [pool.local_capacity(now) for pool in self._routed_pools()]
        return sum(capacities) if capacities else None

    def has_local_backends(self) -> bool:
        """Whether any backend is in the node's own zone."""
        return any(pool.has_local_backends() for pool in self._routed_pools())

    def slow_start_progress(self) -> float:
        """Progress of the slow start that is furthest behind, from 0 to 1."""
        slow_starts = (pool.slow_start for pool in self._routed_pools())
        return min((slow_start.progress for slow_start in slow_starts if slow_start), default=1.0)

    def local_results(self) -> Counter[tuple[str, bool]]:
        """Attempts at backends of the node's own zone, since the start: by class and whether they failed."""
        return sum((pool.router.local_results for pool in self.pools.values()), Counter())

    def load_by_class(self) -> LoadByClass:
        """Runs in flight and typical latencies."""
        in_flight = Counter(
            run.class_name for pool in self.pools.values() for run in pool.router.runs.values()
        )
        typical_latency = {
            class_name: pool.router.pool.latencies.expected(class_name)
            for class_name, pool in self.by_class.items()
        }
        return LoadByClass(in_flight, typical_latency)

    def _load(self) -> RunnerLoad:
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
        """Prefer the node's own zone in every pool from now on, and follow what the fleet decided."""
        for pool in self._routed_pools():
            if pool.locality is None:
                pool.locality = LocalityRouter(settings, zone, Random(time.time_ns()))
            pool.locality.settings = settings
            pool.locality.regions = regions
            pool.locality.diversion = diversion
