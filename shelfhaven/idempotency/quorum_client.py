"""Runs requests with idempotency keys: reserves each key at a quorum of replicas before the run starts.

This module owns the reservations in progress. The replicas decide who gets a key (`quorum_replica.py`). No
request with a key runs without a reservation; requests without a key do not pass through this module.
`run_results.py` keeps the results of this node's runs.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import TypeAlias

import orjson

from shelfhaven.decision.settings import Outcome
from shelfhaven.idempotency import wire
from shelfhaven.idempotency.claimant import ClaimantIdentity, address_of
from shelfhaven.idempotency.quorum_replica import (
    QuorumReplica,
    ReplicaLoad,
    ReservationRequest,
    ReservationSettings,
    VoteReply,
)
from shelfhaven.idempotency.replica_messenger import (
    ReplicaMessenger,
    SendDatagram,
    replicas_by_group,
    replicas_for_key,
)
from shelfhaven.idempotency.run_results import (
    LocalReservation,
    ResultQuery,
    RunResults,
    RunState,
    encode_query,
)
from shelfhaven.idempotency.vote_count import ReservationResult, VoteCount, may_start
from shelfhaven.idempotency.vote_transfer import VoteTransfer
from shelfhaven.membership.clock import boottime
from shelfhaven.membership.peer_rpc import PeerRpc, PeerRpcError
from shelfhaven.server import messages
from shelfhaven.server.background_tasks import BackgroundTasks
from shelfhaven.server.log import Log

RESULT_PATH = "/claims/result"  # peers post result queries here
MAX_PENDING = 4096  # reservations in progress
MIN_RETRY_AFTER = 1.0  # seconds, for a rejected run, also if no replica says when it will vote
MAX_RESERVE_ATTEMPTS = 4  # at reserving a key, if the claimant that has it did not run the request
MAX_RESERVE_BACKOFF = 0.03  # seconds, multiplied by the number of attempts made
RESULT_TIME_MARGIN = 0.05  # seconds kept for answering the caller after a result query to another node
NEVER_STARTED = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.ABANDONED)
# how the result of another node's run is reported here; an error for all other states
OUTCOME_BY_STATE = {RunState.SERVED: Outcome.OK, RunState.NOT_RUN: Outcome.REJECTED}

StartRun: TypeAlias = Callable[[messages.LaunchRun], None]


@dataclass(eq=False, slots=True)
class PendingReservation:
    """A reservation in progress."""

    launch: messages.LaunchRun
    start_run: StartRun
    votes: VoteCount
    key_ttl: float  # seconds
    timers: list[asyncio.TimerHandle]
    reservation: LocalReservation
    attempt: int  # at reserving the key, from 1

    def cancel_timers(self) -> None:
        """Cancel the timers for the vote timeout and for resending the request."""
        for timer in self.timers:
            timer.cancel()


@dataclass(frozen=True, slots=True)
class FetchedResult:
    """The state and result of another node's run, as reported by that node."""

    state: RunState
    body: bytes


class QuorumClient:
    """Reserves keys for the runs of one node, and holds the node's replica if it has one."""

    def __init__(
        self,
        settings: ReservationSettings,
        identity: ClaimantIdentity,
        send: SendDatagram,
        peer_rpc: PeerRpc,
        publish: Callable[[messages.RunnerEvent], None],
        log: Log,
    ) -> None:
        self.settings = settings
        self.identity = identity
        self.peer_rpc = peer_rpc
        self.publish = publish
        self.log = log
        endpoints = {
            endpoint.name: endpoint for replicas in settings.replica_sets for endpoint in replicas.values()
        }
        # for each set of replicas, the replicas of each group
        self.group_sets = [replicas_by_group(replicas) for replicas in settings.replica_sets]
        is_replica = identity.name in endpoints
        self.replica = QuorumReplica(settings.replica, boottime()) if is_replica else None
        self.vote_transfer: VoteTransfer | None = None
        if self.replica:
            self.vote_transfer = VoteTransfer(self.replica, identity, endpoints, peer_rpc, log)
        self.messenger = ReplicaMessenger(identity, endpoints, self.replica, send)
        # counting from the incarnation, so that votes on requests of an earlier incarnation are not counted
        self.request_numbers = itertools.count(identity.incarnation)
        self.pending: dict[int, PendingReservation] = {}  # by request number
        self.results = RunResults(identity.claimant)
        self.running: dict[str, LocalReservation] = {}  # by attempt id
        self.random = Random(identity.incarnation)
        self.tasks = BackgroundTasks()
        self.hand_over_task: asyncio.Task[str | None] | None = None
        self.counts: Counter[str] = Counter()  # for the log
        peer_rpc.routes[RESULT_PATH] = self.results.answer

    def start(self) -> None:
        """Start; a replica begins to fetch the votes of its previous incarnation."""
        if self.vote_transfer:
            self.tasks.start(self.vote_transfer.restore())

    def close(self, timeout: float) -> None:
        """Begin the shutdown: a replica stops voting and hands its votes over to another replica."""
        if self.vote_transfer and self.hand_over_task is None:
            self.hand_over_task = self.tasks.start(self.vote_transfer.hand_over(timeout))

    async def wait_closed(self) -> None:
        """Wait until the shutdown that `close` began is complete."""
        if self.hand_over_task:
            await asyncio.wait([self.hand_over_task])

    def end(self) -> None:
        """Cancel all timers and tasks."""
        for pending in self.pending.values():
            pending.cancel_timers()
        self.tasks.cancel()

    # Runs

    def launch(self, launch: messages.LaunchRun, start_run: StartRun, attempt: int = 1) -> None:
        """Reserve the key of a request, and call `start_run` once it is granted."""
        key_ttl, deadline = self.settings.key_times[launch.class_name]
        number = next(self.request_numbers)
        now = boottime()
        duration = key_ttl + deadline
        generation = self.settings.replica.generation
        request = ReservationRequest(launch.key_digest, self.identity.claimant, number, duration, generation)
        if len(self.pending) >= MAX_PENDING:
            self._reject(launch, self.settings.vote_timeout)
            return
        replica_sets = [replicas_for_key(launch.key_digest, groups) for groups in self.group_sets]
        reservation = LocalReservation(request, frozenset().union(*replica_sets), now + duration)
        self.results.add(reservation, now)
        votes = VoteCount(replica_sets, now)
        pending = PendingReservation(launch, start_run, votes, key_ttl, [], reservation, attempt)
        self.pending[number] = pending
        self._set_timers(number, pending)
        self._request_votes(number)

    def _set_timers(self, number: int, pending: PendingReservation) -> None:
        loop = asyncio.get_running_loop()
        timeout = max(0.0, min(self.settings.vote_timeout, pending.launch.time_left))
        pending.timers.append(loop.call_later(timeout, self._on_timeout, number))
        if self.settings.resend_after < timeout:
            resend = loop.call_later(self.settings.resend_after, self._request_votes, number)
            pending.timers.append(resend)

    def on_run_completed(self, completed: messages.RunCompleted) -> None:
        """Record the result of a run that was reserved here, for nodes that receive its duplicates."""
        reservation = self.running.pop(completed.attempt_id, None)
        if reservation is None:
            return
        if completed.outcome is Outcome.OK:
            self.results.store_body(reservation, completed.body or b"")
            reservation.finish(RunState.SERVED)
        elif completed.outcome in NEVER_STARTED:
            self.messenger.release(reservation.request, reservation.replicas)
            reservation.finish(RunState.NOT_RUN)
        else:
            reservation.finish(RunState.FAILED)

    # Votes

    def _request_votes(self, number: int) -> None:
        """Send the request to the replicas that have not answered."""
        pending = self.pending.get(number)
        if pending is None:
            return
        local_vote = self.messenger.request_votes(
            number, pending.reservation.request, pending.votes.unanswered()
        )
        if local_vote is not None:
            self._on_vote(number, self.identity.name, local_vote)

    def receive(self, raw: wire.JsonValue) -> None:
        """Handle a datagram from a claimant or a replica. Raises ValueError."""
        message = wire.decode_message(raw)
        if isinstance(message, wire.VoteAnswer):
            self._on_vote(message.number, message.replica, message.reply)
        else:
            self.messenger.answer(message)

    def _on_vote(self, number: int, replica: str, reply: VoteReply) -> None:
        pending = self.pending.get(number)
        if pending is None or replica not in pending.reservation.replicas:
            return
        result = pending.votes.on_vote(replica, reply)
        if result is not None:
            self._conclude(number, result)

    def _on_timeout(self, number: int) -> None:
        pending = self.pending.get(number)
        if pending is not None:
            self._conclude(number, pending.votes.conclude())

    def _conclude(self, number: int, result: ReservationResult) -> None:
        """Start the run if its key was granted in time; otherwise answer without running the request."""
        pending = self.pending.pop(number)
        pending.cancel_timers()
        now = boottime()
        launch = pending.launch
        votes = pending.votes
        time_left = launch.time_left - (now - votes.requested_at)
        in_time = may_start(now, votes.requested_at, pending.reservation.request.duration, pending.key_ttl)
        self.counts[result.value] += 1
        if result is ReservationResult.GRANTED and in_time:
            self.running[launch.attempt_id] = pending.reservation
            pending.start_run(replace(launch, time_left=time_left))
            return
        self.messenger.release(pending.reservation.request, pending.reservation.replicas)
        pending.reservation.finish(RunState.NOT_RUN)
        if result is ReservationResult.TAKEN:
            self.tasks.start(self._answer_from_holder(pending, time_left))
        else:
            self._reject(launch, max(votes.retry_after(), MIN_RETRY_AFTER))

    def _reject(self, launch: messages.LaunchRun, retry_after: float) -> None:
        """Reject a request that has not run and will not run."""
        self.counts["refused"] += 1
        self.publish(messages.RunCompleted(launch.attempt_id, Outcome.REJECTED, 0.0, retry_after=retry_after))

    # Results of other nodes

    async def _answer_from_holder(self, pending: PendingReservation, time_left: float) -> None:
        """Answer with the result from the holder of the key; if it did not run, reserve the key again."""
        launch = pending.launch
        votes = pending.votes
        wait = max(0.0, time_left - RESULT_TIME_MARGIN)
        result = await self._fetch_result(ResultQuery(launch.key_digest, votes.likely_holder(), wait))
        self.counts[f"taken_{result.state.value}"] += 1
        elapsed = boottime() - votes.requested_at
        may_retry = pending.attempt < MAX_RESERVE_ATTEMPTS and launch.time_left - elapsed > RESULT_TIME_MARGIN
        if result.state is RunState.NOT_RUN and may_retry:
            # two claimants split the votes: a random backoff keeps them from doing so again
            await asyncio.sleep(self.random.random() * MAX_RESERVE_BACKOFF * pending.attempt)
            time_left = launch.time_left - (boottime() - votes.requested_at)
            self.launch(replace(launch, time_left=time_left), pending.start_run, pending.attempt + 1)
            return
        outcome = OUTCOME_BY_STATE.get(result.state, Outcome.ERROR)
        retry_after = MIN_RETRY_AFTER if outcome is Outcome.REJECTED else None
        self.publish(messages.RunCompleted(launch.attempt_id, outcome, 0.0, result.body, retry_after))

    async def _fetch_result(self, query: ResultQuery) -> FetchedResult:
        """Ask the holder of a key for the result of its run; without a valid answer, it counts as failed."""
        state = RunState.FAILED
        body = b""
        timeout = query.wait + RESULT_TIME_MARGIN / 2
        address = address_of(query.claimant)
        try:
            answer = await self.peer_rpc.post(
                address, self.identity.address, RESULT_PATH, encode_query(query), timeout, slow=True
            )
            raw = orjson.loads(answer)
            state = RunState(raw["state"])
            body = base64.b64decode(raw["body"]) if state is RunState.SERVED else b""
        except (PeerRpcError, ValueError, KeyError, TypeError) as error:
            self.log.event("claim_unclear", by=query.claimant, error=str(error))
        return FetchedResult(state, body)

    def load_now(self) -> dict[str, object]:
        """Return counts since the last call and current sizes, for the log."""
        counts, self.counts = self.counts, Counter()
        votes: ReplicaLoad = self.replica.load_now(boottime()) if self.replica else {}
        return {**counts, "asking": len(self.pending), "own": len(self.results.reservations), "votes": votes}
