"""Reads the nodes `node` and `work`: a node's identity and limits, its classes and its tenants.

They are read only without a platform configuration, which otherwise provides these settings.
"""

from __future__ import annotations

import secrets
from collections.abc import Iterable
from typing import NamedTuple

from shelfhaven.config import Config, Limits
from shelfhaven.decision.settings import (
    ClassSettings,
    LoadAdvertisement,
    RetrySafety,
    Settings,
    TenantSettings,
)
from shelfhaven.operator_config.reader import (
    ConfigNode,
    boolean,
    choice,
    duration,
    integer,
    number,
    positive_duration,
    size,
    text,
    unique_by_name,
)

RETRY_SAFETY = {
    "safe": RetrySafety.IDEMPOTENT,
    "keyed": RetrySafety.IDEMPOTENCY_KEY,
    "once": RetrySafety.NOT_IDEMPOTENT,
}
LOAD_ADVERTISEMENTS = {
    "none": LoadAdvertisement.NONE,
    "level": LoadAdvertisement.LEVEL,
    "window": LoadAdvertisement.WINDOW,
    "weight": LoadAdvertisement.WEIGHT,
}
GAUGES = ("cpu_busy", "runs_room")  # gauges that pools report
RANDOM_SEED = "drawn at each start"  # displayed if the file gives no seed
SEED_BITS = 64
TICK = 0.01  # seconds by which a timer may fire late; a platform would provide its own value
KEY_KB = 0.5  # memory of one entry of the idempotency key table
MIN_PRIORITY_WEIGHT = 1e-9  # stands for "greater than 0", as bounds of numbers are inclusive
MIN_DESCRIPTORS = 16
BYTES_PER_KB = 1 << 10
BYTES_PER_MB = 1 << 20
DEFAULT_WORK_MEMORY = 64 * BYTES_PER_MB
DEFAULT_PROCESS_MEMORY = 192 * BYTES_PER_MB


class _StandaloneNodes(NamedTuple):
    """The KDL nodes `node` and `work`."""

    node: ConfigNode
    work: ConfigNode


class _ClassNode(NamedTuple):
    """The contents of a node `class`."""

    name: str
    settings: ClassSettings


class _TenantNode(NamedTuple):
    """The contents of a node `tenant`."""

    name: str
    settings: TenantSettings


def read_standalone(root: ConfigNode) -> Config:
    """Read the node's basic configuration, as used without a platform. Raises ConfigError."""
    node, work = _required_nodes(root)
    name = node.take_name("node's name")
    seed = _read_seed(node)
    classes = unique_by_name(map(_read_class, work.children("class")), work, "class")
    if not classes:
        raise work.error("class", "missing: the node would accept no requests")
    tenants = unique_by_name(map(_read_tenant, work.children("tenant")), work, "tenant")
    settings = _read_settings(work, classes.values(), tenants.values())
    return Config(
        name=name,
        listen=None,
        agent=None,
        members=None,
        ledger=None,
        seed=seed,
        stop=node.take("stop", positive_duration, 5.0),
        limits=_read_limits(node),
        settings=settings,
        classes=tuple(classes),
        tenants=tuple(tenants),
        unsupported=(),
    )


def _required_nodes(root: ConfigNode) -> _StandaloneNodes:
    """Return the nodes `node` and `work`, both of which are required."""
    node = root.child("node")
    work = root.child("work")
    if node is None or work is None:
        missing = "node" if node is None else "work"
        raise root.error(missing, "missing: required without a platform configuration")
    return _StandaloneNodes(node, work)


def _read_seed(node: ConfigNode) -> int:
    # Random by default: nodes with the same seed would make the same choices and overload the same servers.
    seed = node.take("seed", text, RANDOM_SEED)
    if seed == RANDOM_SEED:
        return secrets.randbits(SEED_BITS)
    try:
        return int(seed, 16) & (1 << SEED_BITS) - 1
    except ValueError:
        raise node.error("seed", "not a hexadecimal number") from None


def _read_class(node: ConfigNode) -> _ClassNode:
    """Read a node `class`."""
    name = node.take_name("class's name")
    deadline = node.take("deadline", positive_duration, None)
    latency_objective = node.take("aim", positive_duration, deadline)
    if latency_objective > deadline:
        raise node.error("aim", "is longer than the deadline")
    retry_safety = node.take("repeat", choice(RETRY_SAFETY), RetrySafety.NOT_IDEMPOTENT)
    key_ttl = node.take("window", duration, 0.0)
    if (retry_safety is RetrySafety.IDEMPOTENCY_KEY) != (key_ttl > 0):
        raise node.error("window", 'required if repeat is "keyed", not allowed otherwise')
    settings = ClassSettings(
        latency_objective=latency_objective,
        deadline=deadline,
        priority_weight=node.take("worth", number(MIN_PRIORITY_WEIGHT), 1.0),
        late_weight=node.take("late-worth", number(0, 1), 0.0),
        retry_safety=retry_safety,
        key_ttl=key_ttl,
    )
    return _ClassNode(name, settings)


def _read_tenant(node: ConfigNode) -> _TenantNode:
    """Read a node `tenant`."""
    name = node.take_name("tenant's name")
    quota = node.take("quota", number(), 0.0)
    share = node.take("share", number(0, 1), 0.0)
    return _TenantNode(name, TenantSettings(quota, share))


def _read_settings(
    work: ConfigNode,
    classes: Iterable[_ClassNode],
    tenants: Iterable[_TenantNode],
) -> Settings:
    """Read the settings of the decision core from the node `work`."""
    return Settings(
        cores=work.take("at-once", integer(1), None),
        memory_kb=work.take("memory", size, DEFAULT_WORK_MEMORY) / BYTES_PER_KB,
        classes=tuple(node.settings for node in classes),
        tenants=tuple(node.settings for node in tenants),
        replicas=work.take("servers", integer(1), 1),
        callers=work.take("callers", integer(1), 1),
        tick=TICK,
        key_kb=KEY_KB,
        starts_cold=work.take("cold", boolean, False),
        cold_speed=work.take("cold-from", number(0.01, 1), 1.0),
        warm_up=work.take("warm-up", duration, 0.0),
        drain_grace=work.take("drain-grace", duration, 0.5),
        answer_slack=work.take("answer-slack", duration, 0.05),
        passes_deadline=True,
        notifies_cancellation=True,
        marks_retries=True,
        max_retry_after=work.take("advice-most", positive_duration, 10.0),
        load_advertisement=work.take("advert", choice(LOAD_ADVERTISEMENTS), LoadAdvertisement.NONE),
        gauges=GAUGES,
    )


def _read_limits(node: ConfigNode) -> Limits:
    """Read the resource limits of the process from the node `node`."""
    return Limits(
        cores=node.take("cores", number(0.01), 1.0),
        memory_mb=node.take("memory", size, DEFAULT_PROCESS_MEMORY) / BYTES_PER_MB,
        sockets=node.take("descriptors", integer(MIN_DESCRIPTORS), 1024),
    )
