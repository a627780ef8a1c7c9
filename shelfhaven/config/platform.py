"""Reads the platform's JSON file, the complete configuration of one server.

The platform defines the keys.  An invalid value raises ConfigError with its key, and then no part of the file
takes effect.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path
from typing import Any, TypeAlias

import orjson

from shelfhaven.config.controller_settings import read_settings
from shelfhaven.config.options import Options
from shelfhaven.config.types import NAME, Address, Config, ConfigError, Limits, parse_address
from shelfhaven.decision.settings import CancelMode, Settings

SEED_MASK = (1 << 64) - 1
MIN_SOCKETS = 16  # the fewest descriptors with which a server works
DEFAULT_CORES = 1.0
DEFAULT_MEMORY_MB = 192
DEFAULT_SOCKETS = 1024
DEFAULT_STOP_MS = 5000

JsonObject: TypeAlias = dict[str, Any]


def load(path: Path) -> Config:
    """Read and validate the configuration file of a server.

    Raises:
        ConfigError: the file cannot be read, or a value is invalid.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        raise ConfigError(f"cannot be read: {error.strerror}") from None
    return parse_json(text)


def parse_json(text: bytes) -> Config:
    """Parse and validate a configuration in JSON.

    Raises:
        ConfigError: the text is not a JSON object, or a value is invalid.
    """
    data = _parse_object(text)
    name = data.get("name")
    if not isinstance(name, str) or not NAME.match(name):
        raise ConfigError("missing or not 1 to 128 printable ASCII characters without spaces", key="name")
    options = _flatten_settings(data)
    settings = _read_checked_settings(options)
    supported, unsupported = _split_unsupported(settings)
    return Config(
        name=name,
        listen=_read_address(data, "listen"),
        agent=_read_address(data, "agent"),
        members=_read_address(data, "members"),
        ledger=_read_address(data, "ledger") if data.get("ledger") else None,
        seed=_read_seed(data),
        stop=_read_positive(data, "stop_ms", DEFAULT_STOP_MS) / 1000,
        limits=_read_limits(data),
        settings=supported,
        classes=_read_names(options, "classes"),
        tenants=_read_names(options, "tenants"),
        unsupported=unsupported,
    )


def _parse_object(text: bytes) -> JsonObject:
    try:
        data = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"not JSON: {error}") from None
    if not isinstance(data, dict):
        raise ConfigError("not a JSON object")
    return data


def _flatten_settings(data: JsonObject) -> Options:
    """Flatten the object under the key `settings` to pairs of path and text, as the simulator sends them."""
    settings = data.get("settings")
    if not isinstance(settings, dict):
        raise ConfigError("missing or not an object", key="settings")
    try:
        pairs = dict(_flatten(settings, ""))
    except RecursionError:
        raise ConfigError("nested too deeply", key="settings") from None
    return Options(pairs, "settings.")


def _flatten(value: object, path: str) -> Iterable[tuple[str, str]]:
    if isinstance(value, dict):
        for name, member in value.items():
            yield from _flatten(member, f"{path}.{name}" if path else name)
    elif isinstance(value, list) and any(isinstance(item, dict | list) for item in value):
        yield f"{path}.count", str(len(value))
        for index, item in enumerate(value):
            yield from _flatten(item, f"{path}.{index}")
    elif isinstance(value, list):
        yield path, ",".join(_to_text(item) for item in value)
    elif value is not None:
        yield path, _to_text(value)


def _to_text(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def _read_checked_settings(options: Options) -> Settings:
    settings = read_settings(options)
    if settings.cores < 1:
        raise options.error("domain.cores", "missing or 0")
    if settings.memory_kb <= 0:
        raise options.error("domain.memory-kb", "missing or 0")
    if not settings.classes:
        raise options.error("classes", "missing or empty")
    for index, cls in enumerate(settings.classes):
        if cls.deadline <= 0 or cls.latency_objective <= 0:
            raise options.error(f"classes.{index}.deadline", "missing or 0")
    return settings


def _split_unsupported(settings: Settings) -> tuple[Settings, tuple[str, ...]]:
    """Return the settings without those that the agent's protocol cannot express, and the keys of those."""
    if settings.cancel_mode is CancelMode.NONE:
        return settings, ()
    return replace(settings, cancel_mode=CancelMode.NONE), ("domain.stop-mode",)


def _read_address(data: JsonObject, key: str) -> Address:
    try:
        return parse_address(str(data.get(key, "")))
    except ValueError as error:
        raise ConfigError(str(error), key=key) from None


def _read_positive(data: JsonObject, key: str, default: float, prefix: str = "") -> float:
    value = data.get(key, default)
    if type(value) not in (int, float) or not math.isfinite(value) or value <= 0:
        raise ConfigError("not a number above 0", key=f"{prefix}{key}")
    return float(value)


def _read_limits(data: JsonObject) -> Limits:
    limits = data.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigError("not an object", key="limits")
    prefix = "limits."
    sockets = int(_read_positive(limits, "sockets", DEFAULT_SOCKETS, prefix))
    if sockets < MIN_SOCKETS:
        raise ConfigError(f"less than {MIN_SOCKETS}, the minimum to serve requests", key="limits.sockets")
    return Limits(
        cores=_read_positive(limits, "cores", DEFAULT_CORES, prefix),
        memory_mb=_read_positive(limits, "memory_mb", DEFAULT_MEMORY_MB, prefix),
        sockets=sockets,
    )


def _read_names(options: Options, path: str) -> tuple[str, ...]:
    names = tuple(options.pairs.get(f"{path}.{index}.name", "") for index in range(options.count(path)))
    for index, name in enumerate(names):
        if not NAME.match(name) or name in names[:index]:
            raise options.error(
                f"{path}.{index}.name",
                "missing, not 1 to 128 printable ASCII characters without spaces, or used twice",
            )
    return names


def _read_seed(data: JsonObject) -> int:
    try:
        return int(str(data.get("seed", "0")), 16) & SEED_MASK
    except ValueError:
        raise ConfigError("not a hexadecimal number", key="seed") from None
