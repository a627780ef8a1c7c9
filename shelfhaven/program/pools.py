"""The component for pools of uwsgi backends; imported only if there are pools or listeners for proxies."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import TypeAlias

from shelfhaven.backends.runner_load import LoadGauges, RunnerLoad
from shelfhaven.backends.uwsgi_runner import UwsgiRunner
from shelfhaven.operator_config import Operator, PoolConfig
from shelfhaven.program.component import Component, Files, StatusFields
from shelfhaven.routing.pool import Pool
from shelfhaven.server.core import Core
from shelfhaven.server.descriptors import Descriptors
from shelfhaven.server.log import Log

PoolConfigs: TypeAlias = Mapping[str, PoolConfig]


class PoolsComponent(Component):
    """Runs requests on the pools of the operator configuration.

    `other_loads` return the loads of the other runners of the same core. `with_listed_servers`, which the
    membership sets, replaces the servers in pool configurations by those of the endpoint list.
    """

    def __init__(
        self,
        operator: Operator,
        core: Core,
        descriptors: Descriptors,
        log: Log,
        other_loads: Sequence[Callable[[], RunnerLoad]],
    ) -> None:
        config = core.config
        gauges = LoadGauges(config.settings.gauges, other_loads)
        self.runner = UwsgiRunner(operator.pools, gauges, descriptors, core.put, log, config.seed)
        self.starts_without_agent = config.agent is None  # otherwise work starts when the agent connects
        self.configs: PoolConfigs = operator.pools
        self.with_listed_servers: Callable[[PoolConfigs], PoolConfigs] = lambda configs: configs

    def by_name(self) -> dict[str, Pool]:
        """Return the pools with the state of their backends, by name."""
        return {name: actor.router.pool for name, actor in self.runner.pools.items()}

    async def start(self) -> None:
        """Start running requests; with an agent, its connection starts them."""
        if self.starts_without_agent:
            self.runner.start()

    def reload(self, _old: Files, new: Files) -> list[str]:
        """Apply changed pools; a change of the classes that pools run takes effect only at a restart."""
        assert new.operator
        configs = new.operator.pools
        if _class_names(self.configs) != _class_names(configs):
            return ["pool"]
        self.runner.update(self.with_listed_servers(configs))
        self.configs = configs
        return []

    async def stop(self) -> None:
        """Close all connections."""
        self.runner.end()

    def status(self) -> StatusFields:
        """Return the load of each pool, for the log."""
        return {"pools": self.runner.load_now()}


def _class_names(configs: PoolConfigs) -> set[str]:
    return {class_name for config in configs.values() for class_name in config.runs}
