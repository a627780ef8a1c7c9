"""The elector of one node: the effects that it returns for sequences of inputs."""

from __future__ import annotations

import math

import pytest

from shelfhaven.consensus.store import CompareAndSetResult, Entry
from shelfhaven.election import messages
from shelfhaven.election.candidate_ranking import CandidateRanking
from shelfhaven.election.records import Holder, TaskRecord, decode_holder, decode_task_record
from shelfhaven.election.task_ownership import OwnershipState, WritePurpose
from tests.election.helpers import (
    HOLDER_KEY,
    SAFE_SECONDS,
    SETTINGS,
    TASK_KEY,
    SingleTaskElector,
)


def test_one_write_that_compares_both_records_acquires_a_task() -> None:
    node = SingleTaskElector()
    change = node.acquire()
    assert change.compare == {HOLDER_KEY: 0, TASK_KEY: 0}
    assert change.put[HOLDER_KEY].lease == 7
    assert change.put[TASK_KEY].lease == 0
    assert (
        decode_holder(change.put[HOLDER_KEY].value).fencing_token
        == decode_task_record(change.put[TASK_KEY].value).fencing_token
        > 0
    )
    assert [effect for effect in node.effects if isinstance(effect, messages.StartTask)] == [
        messages.StartTask("d", 1, "")
    ]


def test_a_lease_counts_from_the_time_of_its_request() -> None:
    node = SingleTaskElector()
    node.acquire()
    requested_at = node.lease.requested_at
    assert node.elector.time_to_act(requested_at + SAFE_SECONDS - 0.01, "d", 1) == pytest.approx(0.01)
    assert node.elector.time_to_act(requested_at + SAFE_SECONDS + 0.01, "d", 1) == 0.0
    assert node.elector.time_to_act(requested_at + 1.0, "d", 2) == 0.0, "not with another token"
    renewal = node.until(requested_at, messages.RenewLease)
    assert renewal == messages.RenewLease(7)
    renewal_sent_at = node.now
    node.tell(renewal_sent_at + 2.0, messages.LeaseRenewed(7, 10.0))
    assert node.elector.safe_until() == pytest.approx(
        renewal_sent_at + SAFE_SECONDS
    ), "from the request, not from its answer"


def test_after_a_stall_the_node_may_not_act_until_the_records_are_read() -> None:
    node = SingleTaskElector()
    node.acquire()
    woken = node.lease.requested_at + 60.0
    assert (
        node.elector.time_to_act(woken, "d", 1) == 0.0
    ), "the clock alone decides, before any timer has fired"
    assert messages.SuspendTask("d", 1) in node.tell(woken)
    assert node.state() is OwnershipState.UNCERTAIN
    node.tell(woken + 0.1, messages.LeaseRenewed(7, 10.0))  # the answer to a request from before the stall
    assert node.state() is OwnershipState.UNCERTAIN
    node.effects.clear()
    node.read(woken + 0.2, Entry(Holder("other", 2).encode(), 9, 8), Entry(TaskRecord(2).encode(), 9), 9)
    assert messages.StopTask("d", 1) in node.effects
    assert node.state() is OwnershipState.NOT_LEADING


def test_leadership_that_is_confirmed_after_uncertainty_keeps_its_token() -> None:
    node = SingleTaskElector()
    node.acquire()
    late = node.lease.requested_at + SAFE_SECONDS + 0.1
    node.tell(late)
    node.until(late, messages.RenewLease) if not node.lease.pending else None
    node.tell(late + 0.2, messages.LeaseRenewed(7, 10.0))
    assert any(isinstance(effect, messages.ReadRecords) for effect in node.effects)
    holder, record = node.entries()
    node.lease.requested_at = late  # as if the renewal had been sent at this time
    node.read(late + 0.3, holder, record, 6)
    assert messages.ResumeTask("d", 1) in node.effects
    assert node.state() is OwnershipState.LEADING


def test_a_read_resolves_an_acquisition_whose_answer_was_lost() -> None:
    for applied in (True, False):
        node = SingleTaskElector()
        node.read(0.0)
        node.until(1.0, messages.RequestLease)
        now = node.now
        node.tell(now + 0.1, messages.LeaseGranted(7, 10.0))
        node.tell(now + 0.2, messages.WriteFailed("d", node.task.write_id))
        assert node.state() is OwnershipState.ACQUIRING
        node.until(now, messages.ReadRecords)
        if applied:
            node.read(node.now, *node.entries(), 6)
            assert node.state() is OwnershipState.LEADING
            assert messages.StartTask("d", 1, "") in node.effects
        else:
            node.read(node.now)
            assert node.state() is OwnershipState.NOT_LEADING
            node.until(node.now, messages.WriteRecord)  # another attempt


def test_a_late_answer_to_an_earlier_write_is_ignored() -> None:
    node = SingleTaskElector()
    node.acquire()
    node.tell(node.now + 1.0, messages.DrainStarted())
    node.tell(node.now + 1.1, messages.TaskEnded("d", 1))
    release = node.task.write_id
    node.elector.state.draining = False
    node.read(node.now + 1.2, None, None, 8)  # the release was applied, but its answer is late
    node.effects.clear()
    node.until(node.now + 1.3, messages.WriteRecord)
    assert node.state() is OwnershipState.ACQUIRING
    node.tell(node.now, messages.WriteAnswered("d", CompareAndSetResult(True, 7), release))
    assert node.state() is OwnershipState.ACQUIRING
    assert node.elector.time_to_act(node.now, "d", node.task.fencing_token) == 0.0


def test_an_acquisition_that_is_applied_after_its_timeout_counts() -> None:
    node = SingleTaskElector()
    node.read(0.0)
    node.until(1.0, messages.RequestLease)
    node.tell(node.now, messages.LeaseGranted(7, 10.0))
    node.tell(node.now, messages.WriteFailed("d", node.task.write_id))
    node.until(node.now, messages.ReadRecords)
    node.read(node.now)
    # The second attempt conflicts with the first one, which has been applied in the meantime.
    node.until(node.now, messages.WriteRecord)
    holder = Entry(Holder("me", 1).encode(), 6, 7)
    current = {HOLDER_KEY: holder, TASK_KEY: Entry(TaskRecord(1).encode(), 6)}
    node.tell(
        node.now, messages.WriteAnswered("d", CompareAndSetResult(False, 6, current), node.task.write_id)
    )
    assert node.state() is OwnershipState.LEADING
    assert messages.StartTask("d", 1, "") in node.effects


def test_an_acquisition_that_is_bound_to_an_expired_lease_does_not_count() -> None:
    node = SingleTaskElector()
    node.read(0.0)
    node.until(1.0, messages.RequestLease)
    node.tell(node.now, messages.LeaseGranted(7, 10.0))
    node.tell(node.now, messages.WriteFailed("d", node.task.write_id))
    node.tell(node.now, messages.LeaseExpired(7))  # the lease to which the write is bound
    node.read(node.now, *node.entries(lease=7), 6)
    assert node.state() is OwnershipState.NOT_LEADING
    assert not any(isinstance(effect, messages.StartTask) for effect in node.effects)


def test_a_release_compares_the_revisions_of_its_term_and_saves_the_checkpoint() -> None:
    node = SingleTaskElector()
    node.acquire()
    node.effects.clear()
    node.tell(node.now + 1.0, messages.CheckpointReached("d", 1, "line 40"))
    node.tell(node.now + 1.1, messages.DrainStarted())
    assert messages.FinishTask("d", 1, SETTINGS.hand_over_timeout) in node.effects
    # The checkpoint was not saved.
    node.tell(node.now + 1.2, messages.WriteFailed("d", node.task.write_id, not_applied=True))
    node.effects.clear()
    node.tell(node.now + 1.3, messages.TaskEnded("d", 1))
    node.read(node.now + 1.4, *node.entries(), 6)
    write = node.until(node.now + 1.5, messages.WriteRecord)
    assert write.change.compare == {HOLDER_KEY: 6, TASK_KEY: 6}
    assert write.change.delete == (HOLDER_KEY,)
    record = decode_task_record(write.change.put[TASK_KEY].value)
    assert (record.checkpoint, record.successor) == (
        "line 40",
        "other",
    ), "the successor starts from this checkpoint"
    node.tell(node.now + 2.0, messages.WriteAnswered("d", CompareAndSetResult(True, 7), node.task.write_id))
    assert node.state() is OwnershipState.RELINQUISHED


def test_a_task_that_does_not_finish_in_time_is_stopped_and_released() -> None:
    node = SingleTaskElector()
    node.acquire()
    drained_at = node.now + 1.0
    node.tell(drained_at, messages.DrainStarted())
    node.effects.clear()
    stop = node.until(drained_at, messages.StopTask)
    assert (stop, node.now) == (messages.StopTask("d", 1), drained_at + SETTINGS.hand_over_timeout)
    assert (
        any(isinstance(effect, messages.WriteRecord) for effect in node.tell(node.now))
        or node.task.pending_write is WritePurpose.RELEASE
    )


def test_a_drain_during_uncertainty_stops_the_task_and_releases_only_its_own_term() -> None:
    node = SingleTaskElector()
    node.acquire()
    late = node.lease.requested_at + SAFE_SECONDS + 0.1
    node.tell(late)
    assert node.state() is OwnershipState.UNCERTAIN
    node.effects.clear()
    node.tell(late + 0.1, messages.DrainStarted())
    assert messages.StopTask("d", 1) in node.effects
    assert node.elector.time_to_act(late + 0.1, "d", 1) == 0.0
    node.until(late + 0.1, messages.WriteRecord)
    node.tell(
        node.now,
        messages.WriteAnswered(
            "d", CompareAndSetResult(False, 9, {HOLDER_KEY: None, TASK_KEY: None}), node.task.write_id
        ),
    )
    assert node.state() is OwnershipState.RELINQUISHED


def test_a_task_acquired_with_an_unsafe_lease_starts_after_its_renewal() -> None:
    node = SingleTaskElector()
    node.read(0.0)
    node.until(1.0, messages.RequestLease)
    node.tell(node.now + 0.4, messages.LeaseGranted(7, 10.0))
    late = node.lease.requested_at + SAFE_SECONDS + 0.1
    node.tell(late, messages.WriteAnswered("d", CompareAndSetResult(True, 6), node.task.write_id))
    assert node.state() is OwnershipState.UNCERTAIN
    assert not any(isinstance(effect, messages.StartTask) for effect in node.effects)
    node.lease.pending_since = late
    node.tell(late + 0.1, messages.LeaseRenewed(7, 10.0))
    node.read(late + 0.2, *node.entries(), 6)
    assert node.state() is OwnershipState.LEADING
    assert messages.StartTask("d", 1, "") in node.effects


def test_only_the_leader_in_the_store_raises_a_rejected_token() -> None:
    for still_leader in (True, False):
        node = SingleTaskElector()
        node.acquire()
        node.effects.clear()
        node.tell(node.now + 1.0, messages.FencingTokenRejected("d", 1, 41))
        assert messages.SuspendTask("d", 1) in node.effects
        holder, record = node.entries()
        if not still_leader:
            holder = Entry(Holder("other", 41).encode(), 9, 8)
        node.effects.clear()
        node.read(node.now + 1.1, holder, record, 9)
        if not still_leader:
            assert messages.StopTask("d", 1) in node.effects
            continue
        write = node.until(node.now + 1.2, messages.WriteRecord)
        assert write.change.compare == {HOLDER_KEY: 6, TASK_KEY: 6}
        assert decode_holder(write.change.put[HOLDER_KEY].value).fencing_token == 42
        node.tell(
            node.now + 1.3, messages.WriteAnswered("d", CompareAndSetResult(True, 10), node.task.write_id)
        )
        assert messages.StartTask("d", 42, "") in node.effects


def test_a_task_whose_token_is_raised_during_a_drain_is_released() -> None:
    node = SingleTaskElector()
    node.acquire()
    node.tell(node.now + 1.0, messages.FencingTokenRejected("d", 1, 41))
    node.effects.clear()
    node.read(node.now + 1.1, *node.entries(), 6)
    node.until(node.now + 1.1, messages.WriteRecord)
    write_id = node.task.write_id  # of the write that raises the token
    node.tell(node.now, messages.DrainStarted())
    node.effects.clear()
    node.tell(node.now + 0.1, messages.WriteAnswered("d", CompareAndSetResult(True, 10), write_id))
    assert not any(isinstance(effect, messages.StartTask) for effect in node.effects)
    write = node.until(node.now + 0.1, messages.WriteRecord)
    assert write.change.compare == {HOLDER_KEY: 10, TASK_KEY: 10}
    assert write.change.delete == (HOLDER_KEY,)
    node.tell(node.now, messages.WriteAnswered("d", CompareAndSetResult(True, 11), node.task.write_id))
    assert node.state() is OwnershipState.RELINQUISHED


def test_a_checkpoint_during_a_hand_over_is_saved() -> None:
    node = SingleTaskElector()
    node.acquire()
    node.tell(node.now + 1.0, messages.DrainStarted())
    node.effects.clear()
    node.tell(node.now + 1.0, messages.CheckpointReached("d", 1, "0?5"))
    write = node.until(node.now + 1.0, messages.WriteRecord)
    assert write.change.delete == ()
    assert decode_task_record(write.change.put[TASK_KEY].value).checkpoint == "0?5"
    node.tell(node.now, messages.WriteAnswered("d", CompareAndSetResult(True, 7), node.task.write_id))
    assert messages.CheckpointSaved("d", "0?5") in node.effects


def test_the_elector_wakes_rarely_while_the_store_does_not_answer() -> None:
    """A step that waits for the store must not be due at once again: that would be a busy loop."""

    def count_wakes(node: SingleTaskElector, end: float) -> int:
        count, now = 0, node.now
        while (now := max(now, node.elector.next_wake())) < end:
            node.tell(now)
            count, now = count + 1, now + 0.002
            if node.lease.pending and node.lease.id:
                node.tell(now, messages.LeaseRenewalFailed(node.lease.id))
        return count

    requesting = SingleTaskElector()
    requesting.read(0.0)
    requesting.until(1.0, messages.RequestLease)  # gets no answer
    assert count_wakes(requesting, requesting.now + 2.0) <= 5
    late = SingleTaskElector()  # its lease runs out after it has lost its only task, which then has no leader
    late.acquire()
    late.tell(late.now, messages.LeaseRenewed(7, 10.0))
    late.read(late.now + 8.0, Entry(Holder("other", 2).encode(), 9, 8), Entry(TaskRecord(2).encode(), 9), 9)
    late.now += 12.0
    late.tell(late.now)
    late.read(late.now, None, Entry(TaskRecord(2).encode(), 9), 10)
    assert count_wakes(late, late.now + 10.0) <= 40
    unresolved = SingleTaskElector()
    unresolved.acquire()
    unresolved.tell(unresolved.now + 0.1, messages.CheckpointReached("d", 1, "5"))
    unresolved.tell(unresolved.now + 0.2, messages.WriteFailed("d", unresolved.task.write_id))
    unresolved.until(unresolved.now, messages.ReadRecords)  # gets no answer
    assert count_wakes(unresolved, unresolved.now + 2.0) <= 10


def test_after_a_change_of_store_tokens_stay_above_the_highest_seen() -> None:
    node = SingleTaskElector()
    node.acquire()
    node.effects.clear()
    now = node.now + 1.0
    node.tell(now, messages.StoreReplaced())
    assert messages.StopTask("d", 1) in node.effects
    node.until(now, messages.ReadRecords)
    node.read(node.now, None, None, 1)
    node.until(node.now, messages.RequestLease)
    node.tell(node.now, messages.LeaseGranted(1, 10.0))
    write = next(effect for effect in node.effects if isinstance(effect, messages.WriteRecord))
    assert decode_holder(write.change.put[HOLDER_KEY].value).fencing_token == 2


def test_a_checkpoint_reported_during_the_write_of_another_is_saved_next() -> None:
    node = SingleTaskElector()
    node.acquire()
    node.effects.clear()
    node.tell(node.now + 1.0, messages.CheckpointReached("d", 1, "40"))
    write = node.until(node.now + 1.0, messages.WriteRecord)
    assert decode_task_record(write.change.put[TASK_KEY].value).checkpoint == "40"
    node.tell(node.now + 0.1, messages.CheckpointReached("d", 1, "50?"))
    node.effects.clear()
    node.tell(node.now + 0.2, messages.WriteAnswered("d", CompareAndSetResult(True, 7), node.task.write_id))
    assert node.effects[0] == messages.CheckpointSaved("d", "40"), "only the checkpoint that was written"
    write = node.until(node.now + 0.2, messages.WriteRecord)
    assert decode_task_record(write.change.put[TASK_KEY].value).checkpoint == "50?"
    assert write.change.compare == {HOLDER_KEY: 6, TASK_KEY: 7}


def test_a_failed_listing_is_followed_by_another_one() -> None:
    node = SingleTaskElector()
    node.read(0.0, Entry(Holder("other", 1).encode(), 3, 1), Entry(TaskRecord(1).encode(), 3))
    node.until(0.0, messages.ListHolders)
    node.tell(node.now + 1.0, messages.ListingFailed())
    node.until(node.now + 1.0, messages.ListHolders)


def test_a_disabled_task_is_released_and_not_acquired_again() -> None:
    node = SingleTaskElector()
    node.acquire()
    node.effects.clear()
    holder, _ = node.entries()
    node.read(node.now + 1.0, holder, Entry(TaskRecord(1, disabled=True).encode(), 9), 9)
    node.tell(node.now + 1.0)
    assert messages.FinishTask("d", 1, SETTINGS.hand_over_timeout) in node.effects
    node.tell(node.now + 1.1, messages.TaskEnded("d", 1))
    write = node.until(node.now + 1.2, messages.WriteRecord)
    assert decode_task_record(write.change.put[TASK_KEY].value).disabled
    node.tell(node.now + 1.3, messages.WriteAnswered("d", CompareAndSetResult(True, 10), node.task.write_id))
    assert node.state() is OwnershipState.RELINQUISHED
    assert node.task.acquire_at == math.inf


def test_candidates_of_lower_rank_wait_longer() -> None:
    attempts = []
    for order in (("me", "a", "b"), ("a", "me", "b"), ("a", "b", "me"), ("a", "b")):
        node = SingleTaskElector(order)
        node.read(0.0)
        attempts.append(node.task.acquire_at)
    assert attempts[0] < attempts[1] < attempts[2]
    assert attempts[3] == math.inf
    assert attempts[2] <= 3 * SETTINGS.candidate_delay


def test_a_better_candidate_gets_the_task_only_after_the_cooldown() -> None:
    node = SingleTaskElector()
    node.acquire()
    node.effects.clear()
    now = node.now
    node.tell(now + 1.0, messages.CandidatesRanked({"d": CandidateRanking(("other", "me"))}, 3))
    assert not any(isinstance(effect, messages.FinishTask) for effect in node.effects)
    at = now + 1.0
    while not any(isinstance(effect, messages.FinishTask) for effect in node.effects):
        at = max(at, node.elector.next_wake())
        node.effects += node.tell(at)
        if node.lease.pending:
            node.tell(at, messages.LeaseRenewed(7, 10.0))
    assert at >= now + SETTINGS.hand_over_cooldown - 1.0, "the cooldown after the acquisition has not passed"
    assert node.task.successor == "other"


def test_a_failed_task_is_released_to_another_node_and_not_acquired_during_its_cooldown() -> None:
    node = SingleTaskElector()
    node.acquire()
    node.effects.clear()
    failed_at = node.now + 1.0
    node.tell(failed_at, messages.TaskEnded("d", 1, failed=True))
    write = node.until(failed_at, messages.WriteRecord)
    assert write.change.delete == (HOLDER_KEY,)
    assert decode_task_record(write.change.put[TASK_KEY].value).successor == "other"
    node.tell(failed_at + 0.1, messages.WriteAnswered("d", CompareAndSetResult(True, 7), node.task.write_id))
    assert node.state() is OwnershipState.NOT_LEADING
    cooldown_ends = failed_at + SETTINGS.failed_task_cooldown
    assert node.elector.candidacy.rank(cooldown_ends - 0.1, node.task) == math.inf
    assert node.elector.candidacy.rank(cooldown_ends, node.task) < math.inf
    assert cooldown_ends < node.task.acquire_at < cooldown_ends + SETTINGS.candidate_delay
