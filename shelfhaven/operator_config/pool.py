"""Reads the node `pool`: a group of uwsgi backends that run requests."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from shelfhaven.config import Config
from shelfhaven.operator_config.reader import (
    ConfigNode,
    SocketAddress,
    boolean,
    duration,
    integer,
    number,
    positive_duration,
    request_path,
    size,
    socket_address,
    text,
)
from shelfhaven.routing.pool_settings import PoolSettings
from shelfhaven.routing.slow_start import SlowStartSettings

DEFAULT_METHOD = "POST"
DEFAULT_MAX_RESULT_BYTES = 1 << 20
MAX_ATTEMPTS_BOUND = 10  # attempts of one run; more would take longer than any caller waits


@dataclass(frozen=True, slots=True)
class RunTarget:
    """HTTP method and path for runs whose frontend provides none."""

    method: str
    path: str


@dataclass(frozen=True, slots=True)
class PoolConfig:
    """A pool of uwsgi backends.

    Attributes:
        name: the pool's name in the file.
        servers: addresses of the backends, by their text in the file.
        runs: HTTP method and path of each class that the pool runs, by the class's name.
        settings: settings of load balancing, retries and ejection.
        max_result_bytes: maximum size of an answer.
        from_list: whether the backends come from the endpoint list; until it is known, the file's are used.
        slow_start: settings of the node's slow start towards the backends; None without slow start.
        zones: zones of the backends for which the file gives one, by the address's text in the file.
    """

    name: str
    servers: Mapping[str, SocketAddress]
    runs: Mapping[str, RunTarget]
    settings: PoolSettings
    max_result_bytes: int
    from_list: bool = False
    slow_start: SlowStartSettings | None = None
    zones: Mapping[str, str] = field(default_factory=dict)


class _Servers(NamedTuple):
    """The contents of a pool's nodes `server`, by the addresses' text."""

    addresses: dict[str, SocketAddress]
    zones: dict[str, str]  # only of servers with a zone


def read_pool(node: ConfigNode, config: Config) -> PoolConfig:
    """Read a node `pool`. Raises ConfigError."""
    name = node.take_name("pool's name")
    server_nodes = node.children("server")
    servers = _read_servers(node, server_nodes)
    from_list = node.take("from-list", boolean, False)
    if not servers.addresses and not from_list:
        raise node.error("server", "missing")
    if len(servers.addresses) < len(server_nodes):
        raise node.error("server", "an address is given more than once")
    return PoolConfig(
        name=name,
        servers=servers.addresses,
        runs=_read_runs(node, config),
        settings=_read_settings(node),
        max_result_bytes=node.take("result-most", size, DEFAULT_MAX_RESULT_BYTES),
        from_list=from_list,
        slow_start=_read_slow_start(node),
        zones=servers.zones,
    )


def _read_servers(pool_node: ConfigNode, server_nodes: Sequence[ConfigNode]) -> _Servers:
    """Read the addresses and zones of the nodes `server`."""
    servers = _Servers({}, {})
    for node in server_nodes:
        address = str(node.args.pop(0)) if node.args else ""
        try:
            servers.addresses[address] = socket_address(address)
        except ValueError as error:
            raise node.error("", str(error)) from None
        pool_node.record_origin("server", address, pool_node.file)
        if zone := node.take("zone", text, ""):
            servers.zones[address] = zone
    return servers


def _read_runs(pool_node: ConfigNode, config: Config) -> dict[str, RunTarget]:
    """Read the nodes `runs`: the classes that the pool runs, with HTTP method and path."""
    runs: dict[str, RunTarget] = {}
    for node in pool_node.children("runs"):
        class_name = node.take_name("class")
        if class_name not in config.classes:
            raise node.error("", "no class with this name")
        if class_name in runs:
            raise node.error("", "is given more than once")
        method = node.take("method", text, DEFAULT_METHOD)
        runs[class_name] = RunTarget(method, node.take("path", request_path, f"/{class_name}"))
    if not runs:
        raise pool_node.error("runs", "missing: the pool would run no class")
    return runs


def _read_settings(node: ConfigNode) -> PoolSettings:
    """Read the settings of the pool; `check-config --explain` lists the values in the order of reading."""
    settings = _with_limit(PoolSettings(), node.child_or_empty("limit"))
    settings = _with_ejection(settings, node.child_or_empty("eject"))
    settings = _with_attempts(settings, node.child_or_empty("tries"))
    settings = _with_pending_runs(settings, node.child_or_empty("wait"))
    settings = replace(
        settings,
        slow_start_window=node.take("rise", duration, settings.slow_start_window),
        idempotent_grace=node.take("linger", duration, settings.idempotent_grace),
        connect_timeout=node.take("connect", duration, settings.connect_timeout),
    )
    if not settings.min_limit <= settings.initial_limit <= settings.max_limit:
        raise node.error("limit", "first is not between least and most")
    return settings


def _with_limit(settings: PoolSettings, node: ConfigNode) -> PoolSettings:
    return replace(
        settings,
        initial_limit=node.take("first", number(1), settings.initial_limit),
        min_limit=node.take("least", number(1), settings.min_limit),
        max_limit=node.take("most", number(1), settings.max_limit),
        latency_tolerance=node.take("tolerance", number(1), settings.latency_tolerance),
    )


def _with_ejection(settings: PoolSettings, node: ConfigNode) -> PoolSettings:
    return replace(
        settings,
        ejection_failures=node.take("failures", integer(1), settings.ejection_failures),
        ejection_latency_ratio=node.take("slow", number(1.1), settings.ejection_latency_ratio),
        max_ejected_fraction=node.take("part", number(0, 1), settings.max_ejected_fraction),
        base_ejection_time=node.take("first", positive_duration, settings.base_ejection_time),
        max_ejection_time=node.take("most", positive_duration, settings.max_ejection_time),
    )


def _with_attempts(settings: PoolSettings, node: ConfigNode) -> PoolSettings:
    return replace(
        settings,
        max_attempts=node.take("most", integer(1, MAX_ATTEMPTS_BOUND), settings.max_attempts),
        retry_ratio=node.take("part", number(0, 1), settings.retry_ratio),
        retry_reserve=node.take("reserve", number(0), settings.retry_reserve),
    )


def _with_pending_runs(settings: PoolSettings, node: ConfigNode) -> PoolSettings:
    return replace(
        settings,
        max_pending_time=node.take("time", duration, settings.max_pending_time),
        max_pending_runs=node.take("most", integer(0), settings.max_pending_runs),
    )


def _read_slow_start(pool_node: ConfigNode) -> SlowStartSettings | None:
    node = pool_node.child("ramp")
    if node is None:
        pool_node.record_origin("ramp", "none", "default")
        return None
    default = SlowStartSettings()
    return SlowStartSettings(
        window=node.take("rise", positive_duration, default.window),
        cold_fleet_stretch=node.take("stretch", number(), default.cold_fleet_stretch),
        backend_concurrency=node.take("bears", number(0.01), None),
        backend_connection_rate=node.take("connects", number(0.01), default.backend_connection_rate),
        final_quota_factor=node.take("spare", number(0.5), default.final_quota_factor),
    )
