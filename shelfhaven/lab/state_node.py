"""A durable key store whose commits can be stalled or made to fail by a test.

A gate and an error are applied before each commit; the written data is never changed.
"""

from __future__ import annotations

import threading
from collections.abc import Sequence
from pathlib import Path

from shelfhaven.lab.election_fleet import soon
from shelfhaven.membership.clock import boottime
from shelfhaven.server import messages
from shelfhaven.server.log import Log
from shelfhaven.state.actor import DurableKeyStore, IncarnationHooks, StateMessage
from shelfhaven.state.disk_health import DiskSettings
from shelfhaven.state.records import Mutation
from shelfhaven.state.settings import StateSettings, SyncMode
from shelfhaven.state.store import Store

MAX_STALL = 10.0  # seconds after which a stalled commit continues by itself
KEY_TTL = 8.0  # seconds
DEADLINE = 3.0  # seconds
LEGACY_DIGEST = b"\xff" * 16  # a digest in the earlier format, of which there are no records


def key(number: int) -> bytes:
    """Return the digest of the key with this number."""
    return number.to_bytes(2, "big") * 12


class CommitFaults:
    """Stalls commits while the gate is closed and fails them while an error is set.

    Attributes:
        gate: commits wait while this event is not set.
        error: the exception that commits raise; None for no fault.
    """

    def __init__(self) -> None:
        self.gate = threading.Event()
        self.gate.set()
        self.error: Exception | None = None

    def apply(self) -> None:
        """Apply the faults before a commit: wait for the gate, then raise the error if one is set."""
        self.gate.wait(MAX_STALL)
        if self.error:
            raise self.error


class FaultyStore(Store):
    """A store with injected commit faults."""

    def __init__(self, path: Path, faults: CommitFaults) -> None:
        super().__init__(path, sync=True)
        self._faults = faults

    def commit(self, mutations: Sequence[Mutation], boot: int, now: float) -> None:
        """Apply the faults, then commit all mutations atomically."""
        self._faults.apply()
        super().commit(mutations, boot, now)


class Node:
    """A key store and the messages that it sends to the core.

    Attributes:
        settings: the settings of the key store.
        messages: all messages sent so far.
        faults: the faults of the store's commits.
        state: the key store.
    """

    def __init__(
        self,
        path: Path,
        sync: SyncMode = SyncMode.EACH,
        disk: DiskSettings | None = None,
        uncertain_period: float = KEY_TTL + DEADLINE,
        class_summary: str = f"topup {KEY_TTL:g} {DEADLINE:g}",
        hooks: IncarnationHooks | None = None,
    ) -> None:
        self.settings = StateSettings(
            path / "k",
            sync,
            uncertain_period=uncertain_period,
            class_summary=class_summary,
            disk=disk or DiskSettings(),
        )
        self.messages: list[StateMessage] = []
        self.faults = CommitFaults()
        self.state = DurableKeyStore(self.settings, self.messages.append, Log("test"), hooks, self._open)

    def _open(self) -> Store:
        return FaultyStore(self.settings.file, self.faults)

    async def start(self) -> Node:
        """Start the key store, wait until the keys of earlier incarnations are loaded, and return self."""
        self.state.start()
        await soon(lambda: self.state.disk.loaded)
        return self

    def record_intent(self, number: int, time_left: float = KEY_TTL + DEADLINE) -> None:
        """Record the intent to run the key with this number; the number is also the request id."""
        durable_key = messages.DurableKey(key(number), "topup", "one", f"k{number}", time_left)
        self.state.record_intent(number, durable_key)

    def remaining_validity(self, number: int) -> float:
        """Return how many seconds a key of an earlier incarnation remains valid; 0 if not recorded."""
        previous = self.state.find_previous(key(number), (LEGACY_DIGEST,), KEY_TTL)
        return max((found.valid_for for found in previous if found.is_recorded), default=0.0)

    def uncertain_for(self) -> float:
        """Return for how many seconds any unrecorded key counts as possibly run by an earlier incarnation."""
        return self.state.previous.uncertain_for(boottime())

    async def run(
        self, number: int, result: bytes | None = b"done", time_left: float = KEY_TTL + DEADLINE
    ) -> None:
        """Record the intent and the outcome of a run and wait until both are durable."""
        self.record_intent(number, time_left)
        await soon(lambda: messages.IntentRecorded(number, True) in self.messages)
        assert self.state.record_outcome(number, key(number), result)
        await soon(lambda: messages.OutcomeRecorded(number) in self.messages)
