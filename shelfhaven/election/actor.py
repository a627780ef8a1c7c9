"""Runs one node's elector: carries out its effects on the consensus store and on the node's work.

Owns the requests to the store, the watch, the timers and the ranking of candidates. It must never decide
(`elector.py` does), nor let a client's request wait.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from random import Random
from typing import TypedDict

from shelfhaven.consensus.store import ConsensusError, ConsensusStore, NotAppliedError
from shelfhaven.election import messages
from shelfhaven.election.candidate_ranking import CandidateNode, CandidateRanking, rank_candidates
from shelfhaven.election.elector import Elector
from shelfhaven.election.leader_tasks import LeaderTask
from shelfhaven.election.records import HOLDER_PREFIX
from shelfhaven.election.settings import ElectorSettings
from shelfhaven.election.task_runner import TaskRunner
from shelfhaven.membership.clock import boottime
from shelfhaven.server.log import Log

WAKE_DELAY_MIN = 0.002  # seconds
RANKING_INTERVAL = 1.0  # seconds between two rankings at least
RANKING_REST = 20.0  # times what a ranking took, until the next one
HEALTH_MIN = 0.5  # of the node's health, to lead
HEALTH_CHECK_INTERVAL = 0.5  # seconds
CLOSE_TIMEOUT = 1.0  # seconds at the end, for what is on its way to the store
CLOSE_CHECK_INTERVAL = 0.02  # seconds
LISTED_IN_LOG = 16  # tasks, of one line


class ElectionLoad(TypedDict):
    """What the node's line on its load says of elections."""

    states: dict[str, int]  # tasks by the state of their ownership
    holding: list[str]  # tasks that this node leads
    lease: int  # 0: none
    lease_left: float | None  # seconds
    acted: dict[str, int]  # actions by task, of the work that runs
    asked_store: int  # requests to the store since the start
    asked_by_kind: dict[str, int]
    events: dict[str, int]  # inputs of the elector by name, since the line before


FailureInput = Callable[[ConsensusError], messages.Input | None]


@dataclass(frozen=True, slots=True)
class ElectionEnvironment:
    """What an elector's actor has around it; `make_task` makes a task's work anew for each leadership."""

    node: str
    address: str  # at which peers reach the node
    store: ConsensusStore
    make_task: Callable[[str], LeaderTask]
    health: Callable[[], float]
    seed: int
    log: Log
    expected_nodes: int = 1  # at least: a fleet that starts is not a small one


class ElectionActor:
    """One node's part in the election of leaders; `tasks` gives each singleton task its zone."""

    def __init__(
        self, settings: ElectorSettings, tasks: Mapping[str, str], environment: ElectionEnvironment
    ) -> None:
        self.environment = environment
        self.store = environment.store
        self.log = environment.log
        self.tasks = dict(tasks)
        random = Random(environment.seed ^ time.time_ns())
        self.elector = Elector(settings, environment.node, boottime(), random, environment.address)
        self.task_runner = TaskRunner(
            environment.make_task,
            lambda name, token: self.elector.time_to_act(boottime(), name, token),
            lambda event: self.tell(event),
            self.log,
        )
        self.requests: set[asyncio.Task[None]] = set()
        self.watch: asyncio.Task[None] | None = None
        self.wake_timer: asyncio.TimerHandle | None = None
        self.health_timer: asyncio.TimerHandle | None = None
        self.nodes: list[CandidateNode] = []
        self.ranking: asyncio.Task[None] | None = None
        self.next_ranking_at = 0.0
        self.rankings_changed: Callable[[dict[str, CandidateRanking]], None] = lambda _: None
        self.inputs_by_name: Counter[str] = Counter()  # since the last line of the log
        self.requests_by_kind: Counter[str] = Counter()
        self.closed = False

    # From start to end

    def start(self) -> None:
        """Take part in elections, as soon as the nodes are known."""
        self._check_health()

    def nodes_changed(self, nodes: Sequence[CandidateNode]) -> None:
        """Rank anew: the nodes that may lead are these."""
        nodes_in_order = sorted(nodes)
        if nodes_in_order != self.nodes:
            self.nodes = nodes_in_order
            self._rank_soon()

    def reconfigure(self, settings: ElectorSettings, tasks: Mapping[str, str]) -> None:
        """Go by a new operator's file."""
        self.elector.reconfigure(settings)
        if dict(tasks) != self.tasks:
            self.tasks = dict(tasks)
            self._rank_soon()

    def store_replaced(self) -> None:
        """Begin anew with another store: what the one before answers yet says nothing."""
        for request in list(self.requests):
            request.cancel()
        self.tell(messages.StoreReplaced())

    def drain(self) -> None:
        """Hand all tasks over: the node shuts down gracefully."""
        self.tell(messages.DrainStarted())

    async def close(self) -> None:
        """Stop for good, after what is on its way to the store; close the store."""
        deadline = time.monotonic() + CLOSE_TIMEOUT
        while time.monotonic() < deadline and self.elector.has_unfinished_business:
            await asyncio.sleep(CLOSE_CHECK_INTERVAL)
        self.closed = True
        for timer in (self.wake_timer, self.health_timer):
            if timer:
                timer.cancel()
        self.task_runner.revoke_all()
        others = (task for task in (self.watch, self.ranking) if task)
        tasks = [*self.requests, *self.task_runner.asyncio_tasks(), *others]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.store.close()

    # Ranking of candidates

    def _rank_soon(self) -> None:
        if self.ranking is None and not self.closed:
            self.ranking = asyncio.ensure_future(self._rank())

    async def _rank(self) -> None:
        """Rank candidates in a thread: it takes a moment where tasks and nodes are many."""
        await asyncio.sleep(max(0.0, self.next_ranking_at - time.monotonic()))
        tasks, nodes = dict(self.tasks), list(self.nodes)
        began = time.monotonic()
        try:
            rankings = await asyncio.to_thread(rank_candidates, tasks, nodes)
        finally:
            self.ranking = None
        took = time.monotonic() - began
        self.next_ranking_at = time.monotonic() + max(RANKING_INTERVAL, RANKING_REST * took)
        self.rankings_changed(rankings)
        fleet_size = max(len(nodes), self.environment.expected_nodes)
        self.tell(messages.CandidatesRanked(rankings, fleet_size))
        if (tasks, nodes) != (self.tasks, self.nodes):
            self._rank_soon()

    # Inputs and effects

    def tell(self, event: messages.Input) -> None:
        """Give the elector an input and carry out what follows."""
        if not self.closed:
            self.inputs_by_name[event.log_name] += 1
            self._carry_out_all(self.elector.on(boottime(), event))

    def _carry_out_all(self, effects: list[messages.Effect]) -> None:
        for effect in effects:
            self._carry_out(effect)
        self._set_wake_timer()

    def _carry_out(self, effect: messages.Effect) -> None:
        match effect:
            case messages.WatchRecords():
                self._cancel_watch()
                self.watch = asyncio.ensure_future(self._watch(effect))
            case messages.CancelWatch():
                self._cancel_watch()
            case messages.StateChanged():
                self._log_state(effect)
            case messages.RequestLease() | messages.RenewLease() | messages.RevokeLease():
                self._request_for_lease(effect)
            case messages.ReadRecords() | messages.ListHolders() | messages.WriteRecord():
                self._request_for_records(effect)
            case _:
                self.task_runner.carry_out(effect)

    def _log_state(self, change: messages.StateChanged) -> None:
        time_to_act = self.elector.time_to_act(boottime(), change.task, change.fencing_token)
        self.log.event(
            "duty",
            duty=change.task,
            state=change.state.value,
            fence=change.fencing_token,
            why=change.reason,
            acts=time_to_act > 0,
        )

    # Requests to the store

    def _request_for_lease(
        self, effect: messages.RequestLease | messages.RenewLease | messages.RevokeLease
    ) -> None:
        match effect:
            case messages.RequestLease(ttl=ttl):
                self._send(
                    "grant",
                    self._request_lease(ttl),
                    lambda error: messages.LeaseRequestFailed(error.retry_after),
                )
            case messages.RenewLease(lease_id=lease_id):
                self._send(
                    "beat",
                    self._renew(lease_id),
                    lambda error: messages.LeaseRenewalFailed(lease_id, error.retry_after),
                )
            case messages.RevokeLease(lease_id=lease_id):
                self._send("revoke", self.store.revoke_lease(lease_id), lambda _: None)

    def _request_for_records(
        self, effect: messages.ReadRecords | messages.ListHolders | messages.WriteRecord
    ) -> None:
        match effect:
            case messages.ReadRecords(keys=keys):
                self._send("read", self._read(keys), lambda error: messages.ReadFailed(error.retry_after))
            case messages.ListHolders():
                self._send(
                    "sweep", self._list_holders(), lambda error: messages.ListingFailed(error.retry_after)
                )
            case messages.WriteRecord(task=task, write_id=write_id):
                self._send(
                    "change",
                    self._write(effect),
                    lambda error: messages.WriteFailed(
                        task, write_id, error.retry_after, isinstance(error, NotAppliedError)
                    ),
                )

    def _send(self, kind: str, request: Awaitable[messages.Input | None], failed: FailureInput) -> None:
        """Send a request; tell the elector its answer, or the input that a failure makes."""
        self.requests_by_kind[kind] += 1
        task = asyncio.ensure_future(self._answered(kind, request, failed))
        self.requests.add(task)
        task.add_done_callback(self.requests.discard)

    async def _answered(
        self, kind: str, request: Awaitable[messages.Input | None], failed: FailureInput
    ) -> None:
        try:
            event = await request
        except ConsensusError as error:
            self._log_failure(kind, error)
            event = failed(error)
        if event:
            self.tell(event)

    def _log_failure(self, kind: str, error: ConsensusError) -> None:
        self.log.event("agreement", asked=kind, error=f"{type(error).__name__}: {error}")

    async def _request_lease(self, ttl: float) -> messages.Input:
        granted = await self.store.grant_lease(ttl)
        return messages.LeaseGranted(granted.lease_id, granted.ttl)

    async def _renew(self, lease_id: int) -> messages.Input:
        return messages.renewal_answer(lease_id, await self.store.keep_alive(lease_id))

    async def _read(self, keys: Sequence[str]) -> messages.Input:
        return messages.RecordsRead(await self.store.read(keys))

    async def _list_holders(self) -> messages.Input:
        return messages.HoldersListed(await self.store.list_prefix(HOLDER_PREFIX))

    async def _write(self, effect: messages.WriteRecord) -> messages.Input:
        result = await self.store.compare_and_set(effect.change)
        return messages.WriteAnswered(effect.task, result, effect.write_id)

    async def _watch(self, effect: messages.WatchRecords) -> None:
        retry_after: float | None = None
        try:
            async for snapshot in self.store.watch(effect.keys, effect.after_revision):
                self.tell(messages.RecordsChanged(snapshot))
        except ConsensusError as error:
            retry_after = error.retry_after
            self._log_failure("watch", error)
        self.watch = None
        self.tell(messages.WatchEnded(retry_after))

    def _cancel_watch(self) -> None:
        if self.watch:
            self.watch.cancel()
            self.watch = None

    # Timers

    def _set_wake_timer(self) -> None:
        if self.wake_timer:
            self.wake_timer.cancel()
        if not self.closed:
            delay = self.elector.next_wake() - boottime()
            if delay < float("inf"):
                loop = asyncio.get_running_loop()
                self.wake_timer = loop.call_later(max(WAKE_DELAY_MIN, delay), self._wake)

    def _wake(self) -> None:
        self._carry_out_all(self.elector.wake(boottime()))

    def _check_health(self) -> None:
        healthy = self.environment.health() >= HEALTH_MIN
        if healthy != self.elector.healthy:
            self.tell(messages.HealthChanged(healthy))
        loop = asyncio.get_running_loop()
        self.health_timer = loop.call_later(HEALTH_CHECK_INTERVAL, self._check_health)

    def load_now(self) -> ElectionLoad:
        """Return what the node's line on its load says of elections."""
        inputs, self.inputs_by_name = self.inputs_by_name, Counter()
        states = Counter(task.state.value for task in self.elector.tasks.values())
        lease_id = self.elector.lease_id
        lease_left = None if lease_id is None else round(self.elector.safe_until() - boottime(), 2)
        leases = list(self.task_runner.leases.items())[:LISTED_IN_LOG]
        return {
            "states": dict(states),
            "holding": self.elector.led_tasks()[:LISTED_IN_LOG],
            "lease": lease_id or 0,
            "lease_left": lease_left,
            "acted": {name: lease.actions_started for name, lease in leases},
            "asked_store": sum(self.requests_by_kind.values()),
            "asked_by_kind": dict(self.requests_by_kind),
            "events": dict(inputs),
        }
