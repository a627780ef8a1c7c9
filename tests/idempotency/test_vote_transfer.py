"""Transfer of a replica's votes across its restart, also if requests between replicas or answers are lost."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shelfhaven.idempotency import vote_transfer
from shelfhaven.idempotency.quorum_replica import (
    QuorumReplica,
    ReservationRequest,
    VoteKind,
)
from shelfhaven.idempotency.vote_snapshots import (
    VOTES_PER_PAGE,
    SnapshotPage,
)
from shelfhaven.lab.vote_transfer_stub import ANSWER_LOST, MAX_DURATION, REQUEST_LOST, UNSENT, ReplicaNetwork
from shelfhaven.membership.clock import boottime


def key(number: int) -> bytes:
    return number.to_bytes(16, "big")


def request(number: int, claimant: str) -> ReservationRequest:
    return ReservationRequest(key(number), claimant, 1, 8.0)


def grant_keys(replica: QuorumReplica, *numbers: int) -> None:
    for number in numbers:
        assert replica.on_request(boottime(), request(number, "x")).kind is VoteKind.GRANTED


@dataclass
class Restart:
    """The result of a restart of replica k1: who stored its snapshot, and whether it was restored."""

    network: ReplicaNetwork
    stored_by: str | None  # as far as k1 knows
    restored: bool


def hand_over_and_restore(outcomes: list[str]) -> Restart:
    async def check() -> Restart:
        network = ReplicaNetwork(outcomes)
        first = network.start("k1", 1)
        network.start("k2", 1)
        network.start("k3", 1)
        grant_keys(first.replica, 1, 2)
        stored_by = await first.hand_over(2.0)
        restored = await network.start("k1", 2, age=0.0).restore()
        return Restart(network, stored_by, restored)

    return asyncio.run(check())


def test_snapshot_is_stored_at_one_replica_and_restored() -> None:
    restart = hand_over_and_restore([])
    assert (restart.stored_by, restart.restored) == ("k2", True)
    assert restart.network.replicas["k1"].on_request(boottime(), request(1, "y")).kind is VoteKind.TAKEN
    assert restart.network.replicas["k1"].quarantine_left(boottime()) == 0.0


@pytest.mark.parametrize("outcomes", [[UNSENT], [REQUEST_LOST], [ANSWER_LOST], ["", UNSENT]])
def test_snapshot_goes_to_the_next_replica_if_the_first_certainly_has_no_complete_one(
    outcomes: list[str],
) -> None:
    restart = hand_over_and_restore(outcomes)
    assert (restart.stored_by, restart.restored) == ("k3", True)
    assert restart.network.replicas["k1"].on_request(boottime(), request(2, "y")).kind is VoteKind.TAKEN


@pytest.mark.parametrize("outcomes", [["", REQUEST_LOST], ["", ANSWER_LOST]])
def test_snapshot_goes_to_no_further_replica_if_its_last_page_may_have_arrived(outcomes: list[str]) -> None:
    restart = hand_over_and_restore(outcomes)
    assert restart.stored_by is None
    assert restart.restored == (outcomes[1] == ANSWER_LOST), "restored only if the last page did arrive"
    assert {address for address, path in restart.network.posts if path == vote_transfer.PUT_PATH} == {"at-k2"}


def test_snapshot_is_requested_again_after_lost_answers_and_later_incarnations_wait() -> None:
    async def check() -> None:
        network = ReplicaNetwork()
        first = network.start("k1", 1)
        network.start("k2", 1)
        network.start("k3", 1)
        grant_keys(first.replica, 1)
        assert await first.hand_over(2.0) == "k2"
        network.outcomes = iter([ANSWER_LOST, REQUEST_LOST])
        assert await network.start("k1", 2, age=0.0).restore()
        assert not await network.start("k1", 3, age=0.0).restore(), "incarnation 2 may have voted since"
        in_quarantine = network.start("k1", 4, age=0.0)
        assert await in_quarantine.hand_over(1.0) is None, "a replica in quarantine sends no snapshot"
        network.start("k2", 2)
        assert not await network.start("k1", 5, age=0.0).restore()

    asyncio.run(check())


@pytest.mark.parametrize("raw", [
    b"{}", b"[]", b"[1,1,0,2,10,[]]", b'["k1",1,0,2,10,[[1]]]', b'["k1",1,0,2,10,[["00","x",1,3]]]',
    b'["k1",1,0,2,10,[["' + b"0" * 32 + b'","x",1,99]]]', b'["k1",-1,0,2,10,[]]',
    b'["k1",1,0,2,null,[]]', b"x",
])  # fmt: skip
def test_invalid_page_is_not_stored(raw: bytes) -> None:
    transfer = ReplicaNetwork().start("k2", 1)
    assert orjson.loads(asyncio.run(transfer.answer_put(raw))) == {"kept": False}
    assert orjson.loads(
        asyncio.run(
            transfer.answer_put(vote_transfer.encode(SnapshotPage("stranger", 1, 0, 2, MAX_DURATION)))
        )
    ) == {"kept": False}
    assert asyncio.run(transfer.answer_take(raw)) == b"null"
    assert not transfer.snapshots.snapshots


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.sampled_from(["", UNSENT, REQUEST_LOST, ANSWER_LOST]), max_size=6),
    st.integers(0, 3 * VOTES_PER_PAGE),
)
def test_incarnation_that_restores_a_snapshot_has_every_vote_despite_losses(
    outcomes: list[str], count: int
) -> None:
    async def check() -> None:
        network = ReplicaNetwork(outcomes)
        first = network.start("k1", 1)
        network.start("k2", 1)
        network.start("k3", 1)
        grant_keys(first.replica, *range(count))
        await first.hand_over(2.0)
        next_incarnations = [network.start("k1", number, age=MAX_DURATION - 0.05) for number in (2, 3)]
        restored = []
        for incarnation in next_incarnations:
            network.outcomes = iter([])
            if await incarnation.restore():
                restored.append(incarnation)
                assert incarnation.replica.reservations.keys() == {key(number) for number in range(count)}
        assert len(restored) <= 1, "only one incarnation restores the snapshot"

    asyncio.run(check())
