"""The interface of components, and the configuration that they are built from.

A component is started, reloaded at any time, drained and stopped; `app.py` calls each of these methods on all
components in order.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, TypeAlias, TypedDict

from shelfhaven import config
from shelfhaven.config import Config

if TYPE_CHECKING:
    from shelfhaven.operator_config import Operator


StatusValues: TypeAlias = Mapping[str, object]  # status of a subsystem, by log field


class StatusFields(TypedDict, total=False):
    """Fields of the `load` log line, each contributed by one component."""

    connections: int
    proxies: Sequence[StatusValues]
    calls: int
    pools: StatusValues
    membership: StatusValues
    keys_file: StatusValues
    zones: StatusValues
    claims: StatusValues
    duties: StatusValues


@dataclass(frozen=True)
class Files:
    """The validated configuration of a node.

    `config` holds the values in force, from both files. `operator` is None without an operator configuration.
    """

    config: Config
    operator: Operator | None = None


def load(path: Path | None, operator_path: Path | None) -> Files:
    """Read and validate the configuration files of a node.

    Raises:
        ConfigError: a file is invalid, or none is given.
    """
    platform = config.load(path) if path else None
    if operator_path:
        from shelfhaven import operator_config

        loaded = operator_config.load(operator_path, platform)
        return Files(loaded.config, loaded.operator)
    if platform is None:
        raise config.ConfigError(
            "neither a platform (--config) nor an operator configuration (--operator) is given"
        )
    return Files(platform)


class Component:
    """A subsystem of the server process. The default of each method does nothing."""

    async def start(self) -> None:
        """Start the component."""

    def reload(self, _old: Files, _new: Files) -> list[str]:
        """Apply a new configuration; return the keys whose changes take effect only at a restart."""
        return []

    def begin_drain(self) -> None:
        """Announce the graceful shutdown, but keep serving."""

    def stop_listening(self, left: float) -> None:
        """Accept no new connections; open requests may finish within `left` seconds."""

    def open_requests(self) -> int:
        """Return the number of unanswered requests."""
        return 0

    def has_connections(self) -> bool:
        """Return whether a caller is still connected."""
        return False

    async def disconnect(self, left: float) -> None:
        """Close the remaining connections of callers within `left` seconds."""

    async def stop(self) -> None:
        """Release all resources."""

    def status(self) -> StatusFields:
        """Return this component's fields of the `load` log line."""
        return {}
