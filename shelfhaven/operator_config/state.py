"""Reads the node `keys`: the file that stores idempotency keys, so that they survive a restart."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from importlib.util import find_spec
from pathlib import Path

from shelfhaven.config import Config
from shelfhaven.decision.settings import RetrySafety
from shelfhaven.operator_config.reader import ConfigNode, choice, integer, positive_duration, size, text
from shelfhaven.state.disk_health import DegradedMode, DiskSettings
from shelfhaven.state.settings import StateSettings, SyncMode

# Bounds of the setting `queue`
MIN_QUEUED_WRITES = 16
MAX_QUEUED_WRITES = 1 << 20


@dataclass(frozen=True, slots=True)
class _KeyedClass:
    """The times, in seconds, of a class whose requests carry an idempotency key."""

    key_ttl: float
    deadline: float


def read_state(root: ConfigNode, config: Config) -> StateSettings | None:
    """Read the node `keys`; returns None if there is none."""
    node = root.child("keys")
    if node is None:
        return None
    if find_spec("apsw") is None:
        raise node.error("", "requires the library in requirements-state.txt, which is not installed")
    keyed = _keyed_classes(config)
    if not keyed:
        raise node.error("", "no class uses idempotency keys: there are no keys to store")
    file = node.take("file", lambda raw: Path(text(raw)), None)
    if not file.parent.is_dir():
        raise node.error("file", f"{file.parent} is not a directory")
    default = StateSettings(file)
    sync = node.take("sync", choice({mode.value: mode for mode in SyncMode}), default.sync)
    sync_interval = node.take("every", positive_duration, default.sync_interval)
    disk = _read_disk(node, keyed)
    max_result_bytes = node.take("result-most", size, default.max_result_bytes)
    uncertain_period = max(cls.key_ttl + cls.deadline for cls in keyed.values())
    return StateSettings(
        file, sync, sync_interval, max_result_bytes, uncertain_period, _class_summary(keyed), disk
    )


def _keyed_classes(config: Config) -> dict[str, _KeyedClass]:
    return {
        name: _KeyedClass(cls.key_ttl, cls.deadline)
        for name, cls in zip(config.classes, config.settings.classes, strict=True)
        if cls.retry_safety is RetrySafety.IDEMPOTENCY_KEY and cls.key_ttl > 0
    }


def _read_disk(node: ConfigNode, keyed: Mapping[str, _KeyedClass]) -> DiskSettings:
    default = DiskSettings()
    settings = DiskSettings(
        node.take("within", positive_duration, default.max_wait),
        node.take("queue", integer(MIN_QUEUED_WRITES, MAX_QUEUED_WRITES), default.max_queued_writes),
        node.take("disk-gone", choice({mode.value: mode for mode in DegradedMode}), default.degraded_mode),
    )
    shortest_deadline = min(cls.deadline for cls in keyed.values())
    if settings.max_wait >= shortest_deadline:
        raise node.error(
            "within",
            f"not shorter than a deadline of {shortest_deadline:g} s: requests would expire on a slow disk",
        )
    return settings


def _class_summary(keyed: Mapping[str, _KeyedClass]) -> str:
    return "; ".join(f"{name} {cls.key_ttl:g} {cls.deadline:g}" for name, cls in sorted(keyed.items()))
