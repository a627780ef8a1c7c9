"""Components of the elector in isolation: lease upkeep, candidate ranks, listings and record decoding."""

from __future__ import annotations

import math
from random import Random

import pytest

from shelfhaven.consensus.store import Entry, Snapshot
from shelfhaven.election.candidacy import FALLBACK_RANK, Candidacy
from shelfhaven.election.candidate_ranking import CandidateRanking
from shelfhaven.election.elector_state import TOKEN_RANGE, ElectorState
from shelfhaven.election.lease_upkeep import LeaseUpkeep
from shelfhaven.election.messages import (
    LeaseGranted,
    LeaseRenewed,
    ReadRecords,
    RenewLease,
    RequestLease,
    RevokeLease,
)
from shelfhaven.election.records import (
    Holder,
    TaskRecord,
    decode_holder,
    holder_key,
    keys_of_tasks,
    task_key,
    task_name,
)
from shelfhaven.election.settings import ElectorSettings
from shelfhaven.election.store_scan import StoreScan
from shelfhaven.election.task_ownership import UNREADABLE_HOLDER, OwnershipState, TaskOwnership
from tests.election.helpers import HOLDER_KEY, SingleTaskElector

SETTINGS = ElectorSettings(lease_duration=10.0, safety_margin=0.5, clock_drift=0.05)


def elector_state(*tasks: TaskOwnership) -> ElectorState:
    state = ElectorState(SETTINGS, "me", "", Random(1), store_paused_until=0.0)
    state.tasks.update({task.name: task for task in tasks})
    return state


def test_the_duration_of_a_lease_counts_from_its_request() -> None:
    state = elector_state()
    upkeep = LeaseUpkeep(state)
    assert upkeep.safe_until() == -math.inf
    upkeep.request(1.0)
    upkeep.request(2.0)  # ignored while a request is pending
    assert state.take_effects() == [RequestLease(10.0)]
    upkeep.granted(3.0, LeaseGranted(7, 10.0))
    assert upkeep.safe_until() == pytest.approx(1.0 + 10.0 * 0.95 - 0.5)
    upkeep.renew_or_revoke(upkeep.next_renewal())
    renewal_sent_at = 1.0 + 10.0 / 3
    assert state.take_effects() == [RenewLease(7)]
    upkeep.renewed(LeaseRenewed(7, 10.0))
    assert upkeep.safe_until() == pytest.approx(renewal_sent_at + 10.0 * 0.95 - 0.5)


def test_an_idle_lease_is_revoked() -> None:
    state = elector_state()
    upkeep = LeaseUpkeep(state)
    upkeep.request(0.0)
    upkeep.granted(0.0, LeaseGranted(7, 10.0))
    upkeep.renew_or_revoke(29.0)
    upkeep.renewed(LeaseRenewed(7, 10.0))
    upkeep.renew_or_revoke(60.0)
    assert state.take_effects() == [RequestLease(10.0), RenewLease(7), RevokeLease(7)]
    assert upkeep.lease.id is None


@pytest.mark.parametrize(
    ("order", "successor", "healthy", "rank"),
    [
        (("me", "a"), "", True, 0),
        (("a", "me"), "", True, 1),
        (("a", "me"), "a", True, 2),
        (("a", "me"), "me", True, 0),
        (("me", "a"), "", False, FALLBACK_RANK),
        (("a", "b"), "", True, math.inf),
    ],
)
def test_the_rank_depends_on_order_successor_and_health(
    order: tuple[str, ...], successor: str, healthy: bool, rank: float
) -> None:
    task = TaskOwnership("d", ranking=CandidateRanking(order), record=TaskRecord(successor=successor))
    state = elector_state(task)
    state.healthy = healthy
    candidacy = Candidacy(state, LeaseUpkeep(state))
    assert candidacy.rank(0.0, task) == rank
    state.draining = True
    assert candidacy.rank(0.0, task) == math.inf


def test_any_node_may_acquire_a_task_that_no_candidate_has_acquired() -> None:
    task = TaskOwnership("d", ranking=CandidateRanking(("a", "b")))
    state = elector_state(task)
    scan = StoreScan(state)
    scan.holders_listed(Snapshot(3, {holder_key("d"): Entry(b"", 2, 1)}))
    assert not task.unclaimed
    scan.holders_listed(Snapshot(4, {}))
    assert task.unclaimed
    assert Candidacy(state, LeaseUpkeep(state)).rank(0.0, task) == FALLBACK_RANK
    scan.send_requests(0.0)
    assert state.take_effects()[0] == ReadRecords(keys_of_tasks(["d"]))


def test_a_holder_record_that_cannot_be_decoded_counts_as_an_unknown_holder() -> None:
    task = TaskOwnership("d")
    task.update({holder_key("d"): Entry(b"?", 4, 9), task_key("d"): Entry(b"?", 4)}, 4)
    assert task.holder == UNREADABLE_HOLDER
    assert (task.record, task.record_revision, task.holder_lease_id) == (TaskRecord(), 4, 9)
    task.update({holder_key("d"): Entry(Holder("me", 8).encode(), 5, 7)}, 5)
    assert task.is_led_under("me", 7)
    assert not task.is_led_under("me", 6)
    assert not task.is_led_under("me", None)
    assert task.highest_token == 8
    assert {task_name(key) for key in keys_of_tasks(["d"])} == {"d"}


def test_only_allowed_state_transitions_are_made() -> None:
    task = TaskOwnership("d")
    state = elector_state(task)
    with pytest.raises(RuntimeError):
        state.transition(task, OwnershipState.HANDING_OVER, "not allowed")
    state.transition(task, OwnershipState.NOT_LEADING, "no change")
    assert state.take_effects() == []


def test_nodes_that_know_the_same_highest_token_choose_different_tokens() -> None:
    tokens = []
    for seed in (1, 2):
        node = SingleTaskElector()
        node.elector.state.token_range, node.elector.state.random = TOKEN_RANGE, Random(seed)
        node.task.highest_token = 6 * TOKEN_RANGE + 5
        tokens.append(decode_holder(node.acquire().put[HOLDER_KEY].value).fencing_token)
    assert len(set(tokens)) == 2
    assert all(7 * TOKEN_RANGE <= token < 8 * TOKEN_RANGE for token in tokens)
