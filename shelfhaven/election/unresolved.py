"""Unresolved operations: keyed requests that may have taken effect, but whose runs returned no result.

A node keeps a bounded list of its own until their outcomes are found out (`reconcile_task.py`). The list is
not used to answer requests: the core keeps the idempotency keys until their TTL expires.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

MAX_OPERATIONS = 1024  # that a node keeps
MAX_OPERATIONS_PER_ANSWER = 64  # that a node reports to a peer at once
MAX_TEXT_LENGTH = 512  # characters of a key, class or tenant
JSON_FIELDS = 4  # of an operation


@dataclass(frozen=True, slots=True)
class UnresolvedOperation:
    """An unresolved operation, identified by class, tenant and idempotency key."""

    request_class: str
    tenant: str
    key: str
    since: float  # Unix time at which it became unresolved

    @property
    def id(self) -> str:
        """An identifier that is unique among all unresolved operations."""
        return f"{self.request_class}/{self.tenant}/{self.key}"


class UnresolvedOperations:
    """The unresolved operations of one node, oldest first."""

    def __init__(self, max_operations: int = MAX_OPERATIONS) -> None:
        self.max_operations = max_operations
        self.by_id: OrderedDict[str, UnresolvedOperation] = OrderedDict()
        self.forgotten = 0  # operations that were dropped because the list was full or their key too long
        self.resolved = 0

    def add(self, operation: UnresolvedOperation) -> None:
        """Add an operation; the oldest one is dropped if the list is full."""
        if len(operation.key) > MAX_TEXT_LENGTH:
            self.forgotten += 1
            return
        self.by_id[operation.id] = operation
        while len(self.by_id) > self.max_operations:
            self.by_id.popitem(last=False)
            self.forgotten += 1

    def resolve(self, operation_id: str) -> bool:
        """Remove an operation whose outcome is known now; return whether it was in the list."""
        found = self.by_id.pop(operation_id, None) is not None
        if found:
            self.resolved += 1
        return found

    def oldest(self, count: int = MAX_OPERATIONS_PER_ANSWER) -> list[UnresolvedOperation]:
        """Return the oldest operations, at most `count`."""
        return list(self.by_id.values())[:count]


def to_json_values(operations: Sequence[UnresolvedOperation]) -> list[list[str | float]]:
    """Return operations as a JSON-serializable list."""
    return [
        [operation.request_class, operation.tenant, operation.key, operation.since]
        for operation in operations
    ]


def from_json_values(raw: object) -> list[UnresolvedOperation]:
    """Decode the operations in a peer's answer. Raises ValueError."""
    if not isinstance(raw, list) or len(raw) > MAX_OPERATIONS_PER_ANSWER:
        raise ValueError(f"not a list of at most {MAX_OPERATIONS_PER_ANSWER} operations")
    return [_decode_operation(raw_operation) for raw_operation in raw]


def _decode_operation(raw: object) -> UnresolvedOperation:
    if not isinstance(raw, list) or len(raw) != JSON_FIELDS:
        raise ValueError(f"invalid operation: not a list of {JSON_FIELDS} fields")
    request_class, tenant, key, since = raw
    strings = (request_class, tenant, key)
    if not all(isinstance(string, str) and len(string) <= MAX_TEXT_LENGTH for string in strings):
        raise ValueError("invalid operation: class, tenant or key is invalid")
    if not isinstance(since, int | float):
        raise ValueError("invalid operation: the time is not a number")
    return UnresolvedOperation(request_class, tenant, key, float(since))
