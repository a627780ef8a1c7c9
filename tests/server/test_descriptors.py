"""The limit on descriptors, and the order in which connections are evicted."""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from shelfhaven.server.connection_eviction import eviction_order
from shelfhaven.server.descriptors import INBOUND_HEADROOM, NON_CONNECTION_DESCRIPTORS, Descriptors

STEPS = ("open inbound", "open outbound", "close inbound", "close outbound")


@given(st.integers(16, 80), st.lists(st.sampled_from(STEPS)))
def test_the_limit_is_never_exceeded_and_outbound_connections_keep_their_reserved_descriptors(
    limit: int, steps: list[str]
) -> None:
    descriptors = Descriptors(limit)
    for step in steps:
        match step:
            case "open inbound":
                before = descriptors.inbound
                assert descriptors.acquire_inbound() == (descriptors.inbound == before + 1)
            case "open outbound":
                in_use = descriptors.outbound + descriptors.inbound
                reserved = descriptors.outbound < descriptors.reserved_outbound
                assert descriptors.acquire_outbound() or not (reserved and in_use < descriptors.capacity)
            case "close inbound" if descriptors.inbound:
                descriptors.release_inbound()
            case "close outbound" if descriptors.outbound:
                descriptors.release_outbound()
        assert (
            descriptors.inbound + descriptors.outbound
            <= descriptors.capacity
            <= limit - NON_CONNECTION_DESCRIPTORS
        )
        assert descriptors.inbound <= descriptors.max_inbound <= limit // 2


def test_outbound_connections_borrow_unused_descriptors_until_inbound_ones_need_them() -> None:
    descriptors = Descriptors(40)
    counts_when_released: list[int] = []
    descriptors.on_released.append(lambda: counts_when_released.append(descriptors.outbound))
    while descriptors.acquire_outbound():
        pass
    assert descriptors.outbound == descriptors.capacity - INBOUND_HEADROOM > descriptors.reserved_outbound
    while descriptors.acquire_inbound():
        pass
    assert descriptors.inbound == INBOUND_HEADROOM
    assert descriptors.inbound_waiting
    descriptors.release_outbound()
    assert counts_when_released == [descriptors.outbound]
    assert not descriptors.acquire_outbound()
    assert descriptors.acquire_inbound()
    assert not descriptors.inbound_waiting


@dataclass
class IdleConnection:
    """An idle connection."""

    name: str
    silent: bool
    last_used_at: float


def _eviction_order_of(*connections: IdleConnection) -> list[str]:
    return [connection.name for connection in eviction_order(connections)]


def test_silent_connections_are_evicted_first_each_kind_in_least_recently_used_order() -> None:
    active = [
        IdleConnection("a", False, 3.0),
        IdleConnection("b", False, 1.0),
        IdleConnection("c", False, 2.0),
    ]
    assert _eviction_order_of(*active, IdleConnection("s", True, 9.0), IdleConnection("t", True, 8.0)) == [
        "t",
        "s",
        "b",
        "c",
        "a",
    ]


def test_active_connections_are_not_evicted_while_they_are_at_most_half() -> None:
    active = [IdleConnection("a", False, 0.0), IdleConnection("b", False, 0.0)]
    assert _eviction_order_of(*active, IdleConnection("s", True, 9.0), IdleConnection("t", True, 8.0)) == [
        "t",
        "s",
    ]
    assert _eviction_order_of(*active) == ["a", "b"]
