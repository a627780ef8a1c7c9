"""Every kind of store gives the guarantees of the common interface."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from shelfhaven.consensus.store import CompareAndSet, Entry, Put
from tests.consensus.stores import conditional_put, open_store

KINDS = ("alone", "etcd", "nodes")


@pytest.mark.parametrize("kind", KINDS)
def test_entries_and_leases_work_alike_in_every_store(kind: str) -> None:
    async def check() -> None:
        async with open_store(kind) as store:
            lease = await store.grant_lease(5.0)
            assert lease.ttl == 5.0
            puts = {"hold": Put(b"a", lease.lease_id), "duty": Put(b"1")}
            first = await store.compare_and_set(CompareAndSet({"hold": 0, "duty": 0}, puts))
            assert first.applied
            rejected = await store.compare_and_set(CompareAndSet({"hold": 0, "duty": 0}, {"hold": Put(b"b")}))
            assert not rejected.applied
            hold = rejected.current["hold"]
            assert hold
            assert (hold.value, hold.lease, hold.revision) == (b"a", lease.lease_id, first.revision)
            before_revocation = await store.read(["hold", "duty", "other"])
            assert before_revocation.items["other"] is None
            assert before_revocation.items["hold"] == hold
            listed = await store.list_prefix("hold")
            assert set(listed.items) == {"hold"}
            assert await store.keep_alive(lease.lease_id) == 5.0
            await store.revoke_lease(lease.lease_id)
            assert await store.keep_alive(lease.lease_id) is None
            after_revocation = await store.read(["hold", "duty"])
            assert after_revocation.items["hold"] is None
            assert after_revocation.items["duty"] == Entry(b"1", first.revision)
            second = await store.compare_and_set(
                CompareAndSet({"hold": 0, "duty": first.revision}, {"hold": Put(b"c")})
            )
            assert second.applied
            assert second.revision > first.revision
            stale = await store.compare_and_set(CompareAndSet({"hold": second.revision + 7}, {}, ("hold",)))
            assert not stale.applied

    asyncio.run(check())


@pytest.mark.parametrize("kind", KINDS)
def test_a_watch_reports_the_deletion_of_an_entry_whose_lease_expires(kind: str) -> None:
    async def check() -> None:
        async with open_store(kind) as store, asyncio.timeout(15):
            lease = await store.grant_lease(1.0)
            created = await store.compare_and_set(conditional_put("hold", b"a", lease=lease.lease_id))
            observed: list[Any] = []
            async for snapshot in store.watch(["hold", "duty"], created.revision):
                observed.append(snapshot.items)
                if snapshot.items.get("hold", 0) is None:
                    break
            assert observed[-1] == {"hold": None}

    asyncio.run(check())


@pytest.mark.parametrize("kind", KINDS)
def test_only_one_of_many_concurrent_creations_succeeds(kind: str) -> None:
    async def check() -> None:
        async with open_store(kind) as store:
            results = await asyncio.gather(
                *(store.compare_and_set(conditional_put("hold", b"%d" % n)) for n in range(12))
            )
            assert sum(result.applied for result in results) == 1

    asyncio.run(check())
