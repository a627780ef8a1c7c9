"""Settings of the durable key store.

This module does not depend on apsw, so that the configuration can be read where apsw is not installed.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

from shelfhaven.state.disk_health import DiskSettings


class SyncMode(Enum):
    """When a write is acknowledged."""

    EACH = "each"  # once it is on disk
    EVERY = "every"  # at once; it is committed and synced after `sync_interval`
    # At once; commits are not synced: they survive a crash of the process, but not of the machine.
    NONE = "none"


@dataclass(frozen=True, slots=True)
class StateSettings:
    """Where and how keys are stored.

    `sync_interval`: seconds from a write to its commit, unless each write is synced.
    `max_result_bytes`: longer results are not stored.
    `uncertain_period`: the longest time in seconds that a key can count: the largest sum of a class's key TTL
    and deadline.
    `class_summary`: the keyed classes with their TTLs and deadlines as text; a start compares it with the
    stored one and logs whether it has changed.
    """

    file: Path
    sync: SyncMode = SyncMode.EACH
    sync_interval: float = 0.02
    max_result_bytes: int = 65_536
    uncertain_period: float = 60.0
    class_summary: str = ""
    disk: DiskSettings = field(default_factory=DiskSettings)
