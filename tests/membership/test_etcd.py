"""The list service's client against the stand-in: each call ends in one event, whatever the service does."""

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
    """A client and what it told."""

    def __init__(self, *stores: EtcdStub, within: float = 0.5) -> None:
        self.told: list[Event] = []
        self.etcd = EtcdListService(
            [store.address for store in stores], PREFIX, within, self.told.append, Log("test", NULL)
        )

    async def does(self, action: Action, kind: type[T]) -> T:
        """Carry out an action, and wait for the one event that it ends in."""
        before = len(self.told)
        self.etcd.carry_out(action, "nodes/z/n1", "127.0.0.1:1 r")
        await until(lambda: len(self.told) > before)
        (event,) = self.told[before:]
        assert isinstance(event, kind), event
        return event


@contextlib.asynccontextmanager
async def service(within: float = 0.5) -> AsyncIterator[tuple[EtcdStub, Client]]:
    store = EtcdStub()
    await store.start()
    client = Client(store, within=within)
    try:
        yield store, client
    finally:
        await client.etcd.end()
        await store.stop()


def test_the_end_of_a_prefix_is_the_first_key_behind_it() -> None:
    assert range_end(b"/fleet/") == b"/fleet0"
    assert range_end(b"a\xff\xff") == b"b"
    assert range_end(b"\xff") == b"\0"


def test_a_list_is_read_page_by_page_at_one_revision(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(etcd_client, "PAGE", 3)

    async def check() -> None:
        async with service() as (store, client):
            store.put("/other", "not ours")
            for number in range(8):
                store.put(f"{PREFIX}k{number}", f"v{number}")
            done = await client.does(ReadList(), ListReadCompleted)
            assert done.items == {f"k{n}": Endpoint(f"v{n}", n + 3) for n in range(8)}
            assert (done.store, done.revision, store.requests_by_method["Range"]) == ("abcd", 10, 3)

    run_async(check)


def test_a_registration_has_a_lease_that_can_be_renewed_revoked_and_lost() -> None:
    async def check() -> None:
        async with service() as (store, client):
            got = await client.does(RegisterSelf(7.2), SelfRegistered)
            assert got.ttl == 7.0
            assert store.kvs[b"/fleet/nodes/z/n1"].value == b"127.0.0.1:1 r"
            assert not (await client.does(RenewLease(got.lease_id), LeaseRenewalAnswered)).lease_lost
            client.etcd.carry_out(DeregisterSelf(got.lease_id))
            await until(lambda: not store.kvs)
            assert (await client.does(RenewLease(got.lease_id), LeaseRenewalAnswered)).lease_lost

    run_async(check)


def test_a_watch_reports_later_changes_and_no_later_revision_before_them() -> None:
    async def check() -> None:
        async with service() as (store, client):
            for number in range(3):
                store.put(f"{PREFIX}k{number}", "v")
            store.delete(b"/fleet/k0")
            client.etcd.carry_out(WatchList(2))
            await until(lambda: len(client.told) >= 2)
            first, then = client.told[:2]
            assert first == WatchEventReceived("abcd", 2), "where the store is says nothing of what has come"
            assert isinstance(then, WatchEventReceived)
            assert (set(then.put), then.removed, then.revision) == ({"k1", "k2"}, ("k0",), 5)
            store.put(f"{PREFIX}k9", "v")
            await until(lambda: len(client.told) == 3)

    run_async(check)


def test_a_response_with_events_reports_the_revision_of_the_last_one() -> None:
    told: list[Event] = []
    client = EtcdListService([], PREFIX, 1.0, told.append, Log("test", NULL))
    event = pb.Event(kv=pb.KeyValue(key=b"/fleet/k", value=b"v", mod_revision=60))
    client._report_changes(
        pb.WatchResponse(header=pb.ResponseHeader(cluster_id=10, revision=100), events=[event])
    )
    client._report_changes(pb.WatchResponse(header=pb.ResponseHeader(cluster_id=10, revision=100)))
    assert told == [WatchEventReceived("a", 60, {"k": Endpoint("v", 60)}), WatchEventReceived("a", 100)]


def test_a_watch_that_wants_what_is_compacted_says_so_and_one_that_breaks_does_not() -> None:
    async def check() -> None:
        async with service() as (store, client):
            for number in range(3):
                store.put(f"{PREFIX}k{number}", "v")
            store.compact()
            assert (await client.does(WatchList(1), WatchLost)).compacted
            client.etcd.carry_out(WatchList(store.revision))
            await until(lambda: store.watches == 1)
            await store.stop()
            await until(lambda: client.told[-1] == WatchLost(False, None))

    run_async(check)


@pytest.mark.parametrize("mode", [Mode.HANG, Mode.REJECT, Mode.LEADERLESS])
def test_every_call_ends_in_one_event_with_the_services_advice(mode: Mode) -> None:
    async def check() -> None:
        async with service(within=0.2) as (store, client):
            store.mode, store.advice = mode, 2.5
            retry_after = 2.5 if mode is Mode.REJECT else None
            requests: dict[Action, ListOperation] = {
                ReadList(): ListOperation.READ,
                RegisterSelf(5.0): ListOperation.REGISTER,
                RenewLease(1): ListOperation.RENEW,
            }
            for action, operation in requests.items():
                failed = await client.does(action, ListServiceFailed)
                assert failed == ListServiceFailed(operation, retry_after)
            assert (await client.does(WatchList(0), WatchLost)).retry_after == retry_after
            await asyncio.sleep(0.3)
            assert len(client.told) == 4, "nothing comes late"

    run_async(check)


def test_after_a_failed_endpoint_the_next_one_is_used() -> None:
    async def check() -> None:
        gone, there = EtcdStub(), EtcdStub()
        await gone.start()
        await gone.stop()
        await there.start()
        client = Client(gone, there)
        await client.does(ReadList(), ListServiceFailed)
        assert (await client.does(ReadList(), ListReadCompleted)).revision == 1
        await client.etcd.end()
        await there.stop()

    run_async(check)


def test_a_watch_without_changes_reports_progress_and_a_dead_one_is_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(etcd_client, "PROGRESS_EVERY", 0.1)

    async def check() -> None:
        async with service(within=0.3) as (store, client):
            client.etcd.carry_out(WatchList(store.revision))
            await until(lambda: len(client.told) >= 3)
            assert client.told[2] == WatchEventReceived("abcd", 1)
            store.mode = Mode.HANG
            await until(lambda: isinstance(client.told[-1], WatchLost))

    run_async(check)
