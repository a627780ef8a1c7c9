"""Reads and validates the operator's KDL file and fills in defaults.

Each module of the package reads the nodes of one subsystem with the helpers of `reader`. This module combines
the results and checks constraints between nodes. Nothing here depends on load.

The package is imported only if an operator's file is given: loading the KDL parser takes 4.6 MB and 0.09 s.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path

from kdl.errors import ParseError
from kdl.parsefuncs import parse as parse_kdl
from kdl.types import Node

from shelfhaven.config import Config, ConfigError
from shelfhaven.membership.settings import MembershipConfig
from shelfhaven.operator_config.listen import Listen, ListenProtocol, Tls, read_listen
from shelfhaven.operator_config.mapping import read_mapping
from shelfhaven.operator_config.membership import read_membership
from shelfhaven.operator_config.node import read_standalone
from shelfhaven.operator_config.pool import PoolConfig, RunTarget, read_pool
from shelfhaven.operator_config.reader import ConfigNode, Origin, SocketAddress, unique_by_name
from shelfhaven.operator_config.singleton_tasks import SingletonTasksConfig, read_singleton_tasks
from shelfhaven.operator_config.state import read_state
from shelfhaven.operator_config.zones import ZonesConfig, read_zones
from shelfhaven.routing.request_mapping import MappingSettings
from shelfhaven.state.settings import StateSettings

__all__ = [
    "Listen",
    "ListenProtocol",
    "LoadedConfig",
    "Operator",
    "Origin",
    "PoolConfig",
    "RunTarget",
    "SocketAddress",
    "Tls",
    "load",
    "parse",
]

MAX_FILE_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class Operator:
    """The settings of the operator's file, except for the node's basic configuration (`Config`)."""

    listens: tuple[Listen, ...] = ()
    mappings: Mapping[str, MappingSettings] = field(default_factory=dict)
    pools: Mapping[str, PoolConfig] = field(default_factory=dict)
    membership: MembershipConfig | None = None
    singleton_tasks: SingletonTasksConfig | None = None
    zones: ZonesConfig | None = None
    state: StateSettings | None = None
    origins: tuple[Origin, ...] = ()


@dataclass(frozen=True, slots=True)
class LoadedConfig:
    """A node's basic configuration and the other settings of the operator's file."""

    config: Config
    operator: Operator


def load(path: Path, platform: Config | None = None) -> LoadedConfig:
    """Read and validate the operator's file. Raises ConfigError."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise ConfigError(f"cannot be read: {error.strerror}", file=str(path)) from None
    if len(data) > MAX_FILE_BYTES:
        raise ConfigError(f"larger than {MAX_FILE_BYTES} bytes", file=str(path))
    try:
        return parse(data.decode(), str(path), platform)
    except UnicodeDecodeError:
        raise ConfigError("not valid UTF-8", file=str(path)) from None


def parse(source: str, file: str, platform: Config | None = None) -> LoadedConfig:
    """Parse and validate the text of an operator's file. Raises ConfigError.

    `file` is the file's name in error messages. A platform configuration takes precedence over the nodes
    `node` and `work`.
    """
    try:
        document = parse_kdl(source)
    except ParseError as error:
        raise ConfigError(str(error), file=file) from None
    origins: list[Origin] = []
    root = ConfigNode(Node("file", nodes=document.nodes), "", origins, file)
    if platform is None:
        config = read_standalone(root)
    else:
        config = platform
        _skip_standalone_nodes(root)
        origins.append(Origin("classes", ", ".join(platform.classes), "platform"))
    operator = _read_operator(root, config)
    root.reject_unknown()
    _check_duplicate_runs(root, operator.pools)
    if platform is None:
        _check_standalone(root, config, operator)
    _check_duplicate_addresses(root, operator.listens, platform.listen if platform else None)
    _check_pools_from_list(root, operator)
    return LoadedConfig(config, replace(operator, origins=tuple(origins)))


def _skip_standalone_nodes(root: ConfigNode) -> None:
    """Skip the nodes that are used only without a platform configuration."""
    for name in ("node", "work"):
        root.skip_children(name, "the platform's configuration takes precedence")


def _check_identity(nodes: Sequence[ConfigNode], mappings: Mapping[str, MappingSettings]) -> None:
    """Check that all mappings name the same variables: a request and its repeat may come by two of them."""
    for node, mapping in zip(nodes, mappings.values(), strict=True):
        first = next(iter(mappings.values()))
        if mapping.identity_variables != first.identity_variables:
            raise node.error("identity", f"differs from that of the mapping {first.name!r}")


def _read_operator(root: ConfigNode, config: Config) -> Operator:
    """Read all nodes except those of the node's basic configuration; leaves `origins` empty."""
    mapping_nodes = root.children("mapping")
    mappings = unique_by_name((read_mapping(node, config) for node in mapping_nodes), root, "mapping")
    _check_identity(mapping_nodes, mappings)
    listen_nodes = root.children("listen")
    listens = unique_by_name((read_listen(node, mappings, config) for node in listen_nodes), root, "listen")
    pool_nodes = root.children("pool")
    pools = unique_by_name((read_pool(node, config) for node in pool_nodes), root, "pool")
    membership = read_membership(root)
    singleton_tasks = read_singleton_tasks(root, membership)
    zones = read_zones(root, config, membership, singleton_tasks)
    state = read_state(root, config)
    return Operator(
        listens=tuple(listens.values()),
        mappings=mappings,
        pools=pools,
        membership=membership,
        singleton_tasks=singleton_tasks,
        zones=zones,
        state=state,
    )


def _check_duplicate_runs(root: ConfigNode, pools: Mapping[str, PoolConfig]) -> None:
    """Check that at most one pool runs each class."""
    pool_of_class: dict[str, str] = {}
    for pool in pools.values():
        for class_name in pool.runs:
            if class_name in pool_of_class:
                raise root.error(
                    f'pool "{pool.name}" > runs "{class_name}"',
                    f'pool "{pool_of_class[class_name]}" already runs this class',
                )
            pool_of_class[class_name] = pool.name


def _check_standalone(root: ConfigNode, config: Config, operator: Operator) -> None:
    """Check that requests can arrive and that each class is run; used without a platform configuration."""
    if not operator.listens:
        raise root.error("listen", "missing: the node would receive no requests")
    if any(listen.protocol.is_for_proxies for listen in operator.listens):
        return
    run_classes = {class_name for pool in operator.pools.values() for class_name in pool.runs}
    for class_name in config.classes:
        if class_name not in run_classes:
            raise root.error(f'work > class "{class_name}"', "neither a pool nor a proxy runs this class")


def _check_duplicate_addresses(
    root: ConfigNode, listens: Sequence[Listen], platform_address: SocketAddress | None
) -> None:
    """Check that no two sockets listen on the same address."""
    addresses = [*(listen.address for listen in listens), platform_address]
    for listen in listens:
        if addresses.count(listen.address) > 1:
            raise root.error(f'listen "{listen.name}" address', "is used by more than one listener")


def _check_pools_from_list(root: ConfigNode, operator: Operator) -> None:
    """Check that a membership is configured if a pool reads its servers from the endpoint list."""
    if operator.membership is not None:
        return
    for pool in operator.pools.values():
        if pool.from_list:
            raise root.error(
                f'pool "{pool.name}" from-list',
                "requires the node membership, which provides the endpoint list",
            )
