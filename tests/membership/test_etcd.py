"""The client of the list service against a stub: each call ends in one event, whatever the stub does."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import TypeVar

import pytest

from shelfhaven.lab.callers import until
from shelfhaven.lab.etcd_stub import EtcdStub, Mode
from shelfhaven.membership import etcd_client
from shelfhaven.membership.etcd_channel import range_end
from shelfhaven.membership.etcd_client import EtcdListService
from shelfhaven.membership.list_version import Endpoint
from shelfhaven.membership.messages import (
    Action,
    DeregisterSelf,
    Event,
    LeaseRenewalAnswered,
    ListOperation,
    ListReadCompleted,
    ListServiceFailed,
    ReadList,
    RegisterSelf,
    RenewLease,
    SelfRegistered,
    WatchEventReceived,
    WatchList,
    WatchLost,
)
from shelfhaven.protocol.pb import etcd_pb2 as pb
from shelfhaven.server.log import Log
from tests.peers import NULL, run_async

T = TypeVar("T")
PREFIX = "/fleet/"


class Client:
    """A client of the list service, and the events that it reported."""

    def __init__(self, *stores: EtcdStub, timeout: float = 0.5) -> None:
        self.events: list[Event] = []
        self.etcd = EtcdListService(
            [store.address for store in stores], PREFIX, timeout, self.events.append, Log("test", NULL)
        )

    async def run(self, action: Action, kind: type[T]) -> T:
        """Carry out an action, and return the one event that it ends in."""
        event_count = len(self.events)
        self.etcd.carry_out(action, "nodes/z/n1", "127.0.0.1:1 r")
        await until(lambda: len(self.events) > event_count)
        (event,) = self.events[event_count:]
        assert isinstance(event, kind), event
        return event


@contextlib.asynccontextmanager
async def service(timeout: float = 0.5) -> AsyncIterator[tuple[EtcdStub, Client]]:
    store = EtcdStub()
    await store.start()
    client = Client(store, timeout=timeout)
    try:
        yield store, client
    finally:
        await client.etcd.end()
        await store.stop()


def test_the_range_end_of_a_prefix_is_the_first_key_after_it() -> None:
    assert range_end(b"/fleet/") == b"/fleet0"
    assert range_end(b"a\xff\xff") == b"b"
    assert range_end(b"\xff") == b"\0"


def test_a_list_is_read_page_by_page_at_one_revision(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(etcd_client, "PAGE_ENTRIES", 3)

    async def check() -> None:
        async with service() as (store, client):
            store.put("/other", "not ours")
            for number in range(8):
                store.put(f"{PREFIX}k{number}", f"v{number}")
            completed = await client.run(ReadList(), ListReadCompleted)
            assert completed.items == {f"k{n}": Endpoint(f"v{n}", n + 3) for n in range(8)}
            assert (completed.store, completed.revision, store.requests_by_method["Range"]) == ("abcd", 10, 3)

    run_async(check)


def test_the_lease_of_a_registration_can_be_renewed_revoked_and_lost() -> None:
    async def check() -> None:
        async with service() as (store, client):
            registered = await client.run(RegisterSelf(7.2), SelfRegistered)
            assert registered.ttl == 7.0
            assert store.kvs[b"/fleet/nodes/z/n1"].value == b"127.0.0.1:1 r"
            assert not (await client.run(RenewLease(registered.lease_id), LeaseRenewalAnswered)).lease_lost
            client.etcd.carry_out(DeregisterSelf(registered.lease_id))
            await until(lambda: not store.kvs)
            assert (await client.run(RenewLease(registered.lease_id), LeaseRenewalAnswered)).lease_lost

    run_async(check)


def test_a_watch_reports_changes_and_no_revision_ahead_of_them() -> None:
    async def check() -> None:
        async with service() as (store, client):
            for number in range(3):
                store.put(f"{PREFIX}k{number}", "v")
            store.delete(b"/fleet/k0")
            client.etcd.carry_out(WatchList(2))
            await until(lambda: len(client.events) >= 2)
            created, changes = client.events[:2]
            assert created == WatchEventReceived("abcd", 2), "the store is ahead of the events"
            assert isinstance(changes, WatchEventReceived)
            assert (set(changes.put), changes.removed, changes.revision) == ({"k1", "k2"}, ("k0",), 5)
            store.put(f"{PREFIX}k9", "v")
            await until(lambda: len(client.events) == 3)

    run_async(check)


def test_a_response_with_events_reports_the_revision_of_the_last_one() -> None:
    events: list[Event] = []
    client = EtcdListService([], PREFIX, 1.0, events.append, Log("test", NULL))
    event = pb.Event(kv=pb.KeyValue(key=b"/fleet/k", value=b"v", mod_revision=60))
    client._report_changes(
        pb.WatchResponse(header=pb.ResponseHeader(cluster_id=10, revision=100), events=[event])
    )
    client._report_changes(pb.WatchResponse(header=pb.ResponseHeader(cluster_id=10, revision=100)))
    assert events == [WatchEventReceived("a", 60, {"k": Endpoint("v", 60)}), WatchEventReceived("a", 100)]


def test_only_a_watch_of_compacted_revisions_is_reported_as_compacted() -> None:
    async def check() -> None:
        async with service() as (store, client):
            for number in range(3):
                store.put(f"{PREFIX}k{number}", "v")
            store.compact()
            assert (await client.run(WatchList(1), WatchLost)).compacted
            client.etcd.carry_out(WatchList(store.revision))
            await until(lambda: store.watches == 1)
            await store.stop()
            await until(lambda: client.events[-1] == WatchLost(False, None))

    run_async(check)


@pytest.mark.parametrize("mode", [Mode.HANG, Mode.REJECT, Mode.LEADERLESS])
def test_each_failed_call_ends_in_one_event_with_the_retry_delay_of_the_service(mode: Mode) -> None:
    async def check() -> None:
        async with service(timeout=0.2) as (store, client):
            store.mode, store.retry_after = mode, 2.5
            retry_after = 2.5 if mode is Mode.REJECT else None
            requests: dict[Action, ListOperation] = {
                ReadList(): ListOperation.READ,
                RegisterSelf(5.0): ListOperation.REGISTER,
                RenewLease(1): ListOperation.RENEW,
            }
            for action, operation in requests.items():
                failed = await client.run(action, ListServiceFailed)
                assert failed == ListServiceFailed(operation, retry_after)
            assert (await client.run(WatchList(0), WatchLost)).retry_after == retry_after
            await asyncio.sleep(0.3)
            assert len(client.events) == 4, "no further event is reported later"

    run_async(check)


def test_after_a_failed_endpoint_the_next_one_is_used() -> None:
    async def check() -> None:
        stopped, running = EtcdStub(), EtcdStub()
        await stopped.start()
        await stopped.stop()
        async with running:
            client = Client(stopped, running)
            await client.run(ReadList(), ListServiceFailed)
            assert (await client.run(ReadList(), ListReadCompleted)).revision == 1
            await client.etcd.end()

    run_async(check)


def test_an_unchanged_watch_reports_progress_and_a_dead_one_is_reported_as_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(etcd_client, "PROGRESS_INTERVAL_S", 0.1)

    async def check() -> None:
        async with service(timeout=0.3) as (store, client):
            client.etcd.carry_out(WatchList(store.revision))
            await until(lambda: len(client.events) >= 3)
            assert client.events[2] == WatchEventReceived("abcd", 1)
            store.mode = Mode.HANG
            await until(lambda: isinstance(client.events[-1], WatchLost))

    run_async(check)
