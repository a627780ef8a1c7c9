"""Settings, lists and constants shared by the membership tests."""

from __future__ import annotations

from shelfhaven.membership.list_version import Endpoint, ListSnapshot, ListVersion
from shelfhaven.membership.settings import MemberSettings

MAX_REQUESTS_PER_S = 100.0  # requests per second sent to the list service by the whole fleet


def settings(count: int, **changes: object) -> MemberSettings:
    return MemberSettings(**{"max_requests_per_s": MAX_REQUESTS_PER_S, "expected_nodes": count, **changes})  # type: ignore[arg-type]


def snapshot_of_nodes(count: int, revision: int = 50, age: float = 0.0) -> ListSnapshot:
    items = {f"nodes/z{n % 3}/n{n:05}": Endpoint(f"an{n:05}", revision) for n in range(count)}
    return ListSnapshot(ListVersion(0, revision, "store-1"), age, items)
