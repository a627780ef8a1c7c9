"""The data of the etcd stub: keys with revisions, leases with their keys, and the event history for watches.

It implements the part of the documented etcd v3 data model that this program uses. `etcd_stub.py` serves it
over gRPC.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from shelfhaven.protocol.pb import etcd_pb2 as pb

MAX_HISTORY = 100_000  # events that a watch can replay
LEASE_ID_BASE = 1000
FIRST_CLUSTER_ID = 0xABCD
RAFT_TERM = 2


@dataclass(slots=True)
class Lease:
    """A lease and the keys attached to it."""

    ttl: int  # seconds
    expires_at: float  # monotonic clock
    keys: set[bytes] = field(default_factory=set)


class KeyspaceSnapshot(NamedTuple):
    """The revision and the keys of a store at one time."""

    revision: int
    kvs: dict[bytes, pb.KeyValue]


class EtcdKeyspace:
    """The keys, leases and history of one store; a subclass may override `changed` and `reset`."""

    def __init__(self) -> None:
        self.cluster_id = FIRST_CLUSTER_ID
        self.revision = 1
        self.kvs: dict[bytes, pb.KeyValue] = {}
        self.leases: dict[int, Lease] = {}
        self.last_lease_id = LEASE_ID_BASE
        self.history: deque[pb.Event] = deque(maxlen=MAX_HISTORY)
        self.compacted = 0  # revision up to which the history was compacted

    def end_watches(self) -> None:
        """Clear the history and end all watches."""
        self.history.clear()
        self.reset()

    def changed(self) -> None:
        """Called after each change of a key."""

    def reset(self) -> None:
        """Called when all watches have to end."""

    def header(self) -> pb.ResponseHeader:
        """Return the header that every response carries."""
        return pb.ResponseHeader(
            cluster_id=self.cluster_id, member_id=1, revision=self.revision, raft_term=RAFT_TERM
        )

    # Keys

    def put(self, key: str, value: str, lease: int = 0) -> None:
        """Put a key, in a new revision."""
        self.revision += 1
        self.put_at(self.revision, key.encode(), value.encode(), lease)

    def put_at(self, revision: int, name: bytes, value: bytes, lease: int) -> None:
        """Put a key as part of a revision; a lease ID of 0 stands for no lease."""
        old = self.kvs.get(name)
        key_value = pb.KeyValue(
            key=name,
            value=value,
            lease=lease,
            mod_revision=revision,
            create_revision=old.create_revision if old else revision,
            version=old.version + 1 if old else 1,
        )
        if old:
            self._detach(old)
        if lease:
            self.leases[lease].keys.add(name)
        self.kvs[name] = key_value
        self._record(pb.Event(type=pb.Event.PUT, kv=key_value))

    def delete(self, *names: bytes) -> None:
        """Delete those of the keys that exist, in one new revision."""
        existing = [name for name in names if name in self.kvs]
        if existing:
            self.revision += 1
            self.delete_at(self.revision, existing)

    def delete_at(self, revision: int, names: Sequence[bytes]) -> None:
        """Delete keys as part of a revision."""
        for name in names:
            old = self.kvs.pop(name, None)
            if old is None:
                continue
            self._detach(old)
            self._record(pb.Event(type=pb.Event.DELETE, kv=pb.KeyValue(key=name, mod_revision=revision)))

    def names_in(self, key: bytes, range_end: bytes) -> list[bytes]:
        """Return the keys of a range in order; without a range end, the single key if it exists."""
        return sorted(name for name in self.kvs if name == key or (range_end and key <= name < range_end))

    def _detach(self, key_value: pb.KeyValue) -> None:
        if key_value.lease in self.leases:
            self.leases[key_value.lease].keys.discard(key_value.key)

    def _record(self, event: pb.Event) -> None:
        self.history.append(event)
        self.changed()

    # Leases

    def grant(self, lease_id: int, ttl: int, lifetime: float) -> int:
        """Grant a lease and return its ID, which is the next free one if `lease_id` is 0.

        The lease expires after `lifetime` seconds, whatever TTL is reported.
        """
        self.last_lease_id += 1
        new_id = lease_id or self.last_lease_id
        self.leases[new_id] = Lease(ttl, time.monotonic() + lifetime)
        return new_id

    def expire_leases(self) -> None:
        """Remove the expired leases and delete their keys."""
        now = time.monotonic()
        for lease_id, lease in list(self.leases.items()):
            if lease.expires_at <= now:
                del self.leases[lease_id]
                self.delete(*lease.keys)

    # History

    def events_since(self, revision: int) -> list[pb.Event]:
        """Return the events from a revision on, oldest first."""
        found: list[pb.Event] = []
        for event in reversed(self.history):
            if event.kv.mod_revision < revision:
                break
            found.append(event)
        return found[::-1]

    def compact(self) -> None:
        """Compact the history: watches that start at an earlier revision are cancelled."""
        self.compacted = self.revision
        self.history.clear()

    def replace_with_empty(self) -> None:
        """Become a different, empty store: another cluster ID, no keys, no leases."""
        self.cluster_id += 1
        self.revision = 1
        self.kvs.clear()
        self.leases.clear()
        self.end_watches()

    def snapshot(self) -> KeyspaceSnapshot:
        """Return the current revision and keys, for `restore`."""
        return KeyspaceSnapshot(self.revision, dict(self.kvs))

    def restore(self, snapshot: KeyspaceSnapshot) -> None:
        """Restore an earlier state of the same store; later changes and all leases are lost."""
        self.revision = snapshot.revision
        self.kvs = dict(snapshot.kvs)
        self.leases.clear()
        self.end_watches()
