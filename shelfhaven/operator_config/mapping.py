"""Reads the node `mapping`: how requests of gateways and proxies are mapped to classes and attributes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace

from shelfhaven.config import Config
from shelfhaven.decision.settings import RetrySafety
from shelfhaven.operator_config.reader import (
    ConfigNode,
    choice,
    integer,
    most_similar,
    positive_duration,
    request_path,
    size,
    text,
)
from shelfhaven.routing.path_pattern import PathPattern, Route
from shelfhaven.routing.request_mapping import AttributeSource, MappingSettings

TIME_UNITS = {"ms": 0.001, "s": 1.0}  # each unit in seconds
MAX_CALLERS_BOUND = 100_000  # upper bound of the setting `most` of the node `caller`
BYTES_PER_KB = 1024


@dataclass(frozen=True, slots=True)
class _CallerSettings:
    """How callers are identified, and how many are remembered; `idle_time`: seconds without a request."""

    source: AttributeSource
    max_callers: int
    idle_time: float


def read_mapping(mapping: ConfigNode, config: Config) -> MappingSettings:
    """Read a node `mapping`. Raises ConfigError."""
    name = mapping.take_name("mapping's name")
    routes = _read_routes(mapping, config.classes)
    default = MappingSettings(name, tuple(routes))
    callers = _read_callers(mapping, default)
    extra_variables = _read_variable_names(mapping, "pass")
    identity_variables = _read_variable_names(mapping, "identity")
    tenant = _read_source(mapping, "tenant", default.tenant)
    if tenant.default and config.tenants and tenant.default not in config.tenants:
        raise mapping.error("tenant > default", f"{tenant.default!r} is not a configured tenant")
    return replace(
        default,
        idempotent_classes=_idempotent_classes(config),
        tenants=config.tenants,
        tenant=tenant,
        idempotency_key=_read_source(mapping, "key", default.idempotency_key),
        budget=_read_time_source(mapping, "time-left", default.budget),
        retry=_read_source(mapping, "retry", default.retry),
        priority=_read_source(mapping, "rank", default.priority),
        partition_key=_read_source(mapping, "row", default.partition_key),
        work_hint=_read_time_source(mapping, "work", default.work_hint),
        footprint_kb=mapping.take("footprint", size, int(default.footprint_kb * BYTES_PER_KB)) / BYTES_PER_KB,
        extra_variables=extra_variables,
        identity_variables=identity_variables,
        caller=callers.source,
        max_callers=callers.max_callers,
        caller_idle_time=callers.idle_time,
    )


def _idempotent_classes(config: Config) -> frozenset[int]:
    """Return the indexes of the classes whose requests carry an idempotency key."""
    return frozenset(
        index
        for index, settings in enumerate(config.settings.classes)
        if settings.retry_safety is RetrySafety.IDEMPOTENCY_KEY
    )


def _read_routes(mapping: ConfigNode, classes: Sequence[str]) -> list[Route]:
    """Read the routes in file order and check that no route shadows a later one."""
    routes: list[Route] = []
    for node in mapping.children("route"):
        route = _read_route(node, classes)
        for earlier in routes:
            if earlier.shadows(route):
                raise node.error("path", f"unreachable: shadowed by the earlier route {earlier.pattern.text}")
        routes.append(route)
    if not routes:
        raise mapping.error("route", "missing: no request would be accepted")
    return routes


def _read_route(node: ConfigNode, classes: Sequence[str]) -> Route:
    """Read a node `route`: its class, path pattern and methods; without methods it matches all of them."""
    class_name = node.take_name("class")
    if class_name not in classes:
        similar = most_similar(class_name, classes)
        hint = f'; did you mean "{similar}"?' if similar else ""
        raise node.error("", f"no class with this name{hint}")
    methods = node.take("method", text, "")
    try:
        pattern = PathPattern(node.take("path", request_path, None))
    except ValueError as error:
        raise node.error("path", str(error)) from None
    return Route(classes.index(class_name), pattern, frozenset(methods.upper().split()))


def _read_callers(mapping: ConfigNode, default: MappingSettings) -> _CallerSettings:
    """Read the node `caller`; returns the defaults if there is none."""
    node = mapping.child("caller")
    if node is None:
        return _CallerSettings(default.caller, default.max_callers, default.caller_idle_time)
    return _CallerSettings(
        AttributeSource(node.take("variable", text, "")),
        node.take("most", integer(1, MAX_CALLERS_BOUND), default.max_callers),
        node.take("idle", positive_duration, default.caller_idle_time),
    )


def _read_variable_names(mapping: ConfigNode, name: str) -> tuple[str, ...]:
    """Read a node whose arguments are names of variables."""
    node = mapping.child(name)
    if node is None:
        return ()
    names = tuple(text(raw) for raw in node.args)
    node.args = []  # marks them as read for `reject_unknown`
    return names


def _read_source(mapping: ConfigNode, name: str, default_source: AttributeSource) -> AttributeSource:
    """Read the node that names the source of a string or of a number without a unit."""
    node = mapping.child(name)
    if node is None:
        mapping.record_origin(name, default_source.variable or "none", "default")
        return default_source
    variable = node.take("variable", text, default_source.variable)
    return AttributeSource(variable, node.take("default", text, default_source.default), default_source.scale)


def _read_time_source(mapping: ConfigNode, name: str, default_source: AttributeSource) -> AttributeSource:
    """Read the node that names the source of a time, and the time's unit."""
    node = mapping.child(name)
    if node is None:
        mapping.record_origin(name, default_source.variable or "none", "default")
        return default_source
    scale = node.take("unit", choice(TIME_UNITS), default_source.scale)
    variable = node.take("variable", text, default_source.variable)
    return AttributeSource(variable, node.take("default", text, default_source.default), scale)
