"""An in-memory store of run results for duplicates, limited in bytes.

The store holds result bodies only; the key table decides when a key expires.  When the limit is exceeded, the
oldest results are evicted.
"""

from __future__ import annotations

from collections import OrderedDict

from shelfhaven.server.request_key import RequestKey


class ResultStore:
    """Result bodies by key, oldest first; their total size never exceeds the capacity."""

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self.size_bytes = 0
        self.bodies: OrderedDict[RequestKey, bytes] = OrderedDict()

    def __len__(self) -> int:
        return len(self.bodies)

    def get(self, key: RequestKey) -> bytes | None:
        """Return the result of a key, None if it was never stored or has been evicted."""
        return self.bodies.get(key)

    def put(self, key: RequestKey, body: bytes) -> None:
        """Store the result of a key that has none, and evict the oldest results beyond the capacity."""
        self.bodies[key] = body
        self.size_bytes += len(body)
        while self.size_bytes > self.capacity_bytes:
            _, oldest = self.bodies.popitem(last=False)
            self.size_bytes -= len(oldest)

    def remove(self, key: RequestKey) -> None:
        """Remove the result of a key, if there is one."""
        body = self.bodies.pop(key, None)
        if body is not None:
            self.size_bytes -= len(body)
