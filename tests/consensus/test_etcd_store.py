"""Failures of an etcd cluster: a lost response leaves the outcome unknown, a rejected call had no effect."""

from __future__ import annotations

import asyncio

import pytest

from shelfhaven.consensus.etcd_store import EtcdStore
from shelfhaven.consensus.store import CompactedError, NotAppliedError, OutcomeUnknownError
from shelfhaven.lab.etcd_stub import EtcdStub, Mode
from tests.consensus.stores import LOG, conditional_put


def test_lost_responses_have_an_unknown_outcome_and_rejected_calls_are_not_applied() -> None:
    async def check() -> None:
        async with EtcdStub() as stub:
            store = EtcdStore([stub.address], "/agreed/", 0.5, LOG)
            stub.lost_answers["Txn"] = 1
            with pytest.raises(OutcomeUnknownError):
                await store.compare_and_set(conditional_put("a", b"1"))
            snapshot = await store.read(["a"])
            assert snapshot.items["a"], "the change was applied although the response was lost"
            stub.mode, stub.retry_after = Mode.REJECT, 7.0
            with pytest.raises(NotAppliedError) as rejected:
                await store.compare_and_set(conditional_put("b", b"1"))
            assert rejected.value.retry_after == 7.0
            stub.mode = Mode.LEADERLESS
            with pytest.raises(OutcomeUnknownError):
                await store.grant_lease(5.0)
            stub.mode = Mode.HANG
            with pytest.raises(OutcomeUnknownError):
                await store.keep_alive(1)
            stub.mode = Mode.SERVE
            with pytest.raises(NotAppliedError):
                await store.compare_and_set(conditional_put("b", b"1", lease=99))
            stub.answer_delays["Txn"] = 0.8
            with pytest.raises(OutcomeUnknownError):
                await store.compare_and_set(conditional_put("c", b"1"))
            stub.answer_delays.clear()
            assert (await store.read(["c"])).items["c"], "the change was applied, but too late"
            await store.close()

    asyncio.run(check())


def test_store_switches_to_the_next_endpoint_after_a_timeout() -> None:
    async def check() -> None:
        async with EtcdStub(port_count=3) as stub:
            stub.port_modes[0] = Mode.HANG
            store = EtcdStore([f"127.0.0.1:{port}" for port in stub.ports], "/agreed/", 0.4, LOG)
            with pytest.raises(OutcomeUnknownError):
                await store.read(["a"])
            assert (await store.compare_and_set(conditional_put("a", b"1"))).applied
            await store.close()

    asyncio.run(check())


def test_changes_and_watches_detect_a_replaced_store_behind_the_same_address() -> None:
    async def check() -> None:
        async with EtcdStub() as stub:
            store = EtcdStore([stub.address], "/agreed/", 1.0, LOG)
            first = await store.compare_and_set(conditional_put("a", b"1"))
            stub.replace_with_empty()
            with pytest.raises(OutcomeUnknownError):
                await store.compare_and_set(conditional_put("b", b"1"))
            snapshot = await store.read(["a", "b"])
            assert snapshot.items["a"] is None
            assert snapshot.items["b"], "the new store applied the change"
            assert snapshot.revision <= first.revision, "the revisions of the new store start again"
            assert (await store.compare_and_set(conditional_put("c", b"1"))).applied
            stub.put("/agreed/x", "1")
            stub.compact()
            watch = store.watch(["a"], 1)
            with pytest.raises(CompactedError):
                await anext(aiter(watch))
            await store.close()

    asyncio.run(check())


def test_calls_on_a_replaced_or_closed_channel_end_with_a_result_or_an_error() -> None:
    async def check() -> None:
        async with EtcdStub() as stub:
            store = EtcdStore([stub.address], "/agreed/", 1.0, LOG)
            lease = await store.grant_lease(5.0)
            stub.answer_delays["LeaseKeepAlive"] = 0.3
            renewal = asyncio.ensure_future(store.keep_alive(lease.lease_id))
            await asyncio.sleep(0.1)
            store.etcd_channel.switch_endpoint()  # as after the failure of another call
            assert await renewal == 5.0
            stub.answer_delays["LeaseKeepAlive"] = 5.0
            renewal = asyncio.ensure_future(store.keep_alive(lease.lease_id))
            await asyncio.sleep(0.1)
            assert store.etcd_channel.channel
            # gRPC then cancels the call; keep_alive must not raise CancelledError: nobody cancelled its task.
            await store.etcd_channel.channel.close()
            with pytest.raises(OutcomeUnknownError):
                await renewal
            await store.close()

    asyncio.run(check())
