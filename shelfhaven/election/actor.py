"""Runs the elector of a node and carries out its effects on the consensus store and the singleton tasks.

This module sends the requests to the store, runs the watch and the timers, and has the candidates ranked. All
decisions are made in `elector.py`. Nothing here may block the event loop, which also serves requests of
clients.
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

MIN_WAKE_DELAY = 0.002  # seconds
MIN_RANKING_INTERVAL = 1.0  # seconds between two rankings
RANKING_PAUSE_FACTOR = 20.0  # the pause after a ranking, as a multiple of its duration
MIN_LEADER_HEALTH = 0.5  # health below which a node should not lead
HEALTH_CHECK_INTERVAL = 0.5  # seconds
CLOSE_TIMEOUT = 1.0  # seconds in which `close` waits for tasks to be released and writes to be answered
CLOSE_CHECK_INTERVAL = 0.02  # seconds
MAX_TASKS_IN_LOG = 16  # tasks named in each list of a load log line


class ElectionLoad(TypedDict):
    """The fields on elections in the node's load log line."""

    states: dict[str, int]  # number of tasks by ownership state
    holding: list[str]  # tasks that this node leads
    lease: int  # lease id, 0 without a lease
    lease_left: float | None  # seconds for which the lease is safe, None without a lease
    acted: dict[str, int]  # actions started by each running task, in its current term
    asked_store: int  # requests to the store since the node's start
    asked_by_kind: dict[str, int]
    events: dict[str, int]  # inputs of the elector by name since the previous line


# Returns the input that reports a failed request to the elector, or None if the elector need not know.
FailureInputFactory = Callable[[ConsensusError], messages.Input | None]


@dataclass(frozen=True, slots=True)
class ElectionEnvironment:
    """The node, the store and the other dependencies of an `ElectionActor`."""

    node: str
    address: str  # at which peers reach the node
    store: ConsensusStore
    make_task: Callable[[str], LeaderTask]  # called with the task's name at the start of each term
    health: Callable[[], float]  # from 0 to 1
    seed: int
    log: Log
    expected_nodes: int = 1  # minimum fleet size to assume: a starting fleet lists only few of its nodes


class ElectionActor:
    """Takes part in leader elections for one node; `tasks` maps each singleton task to its zone."""

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
        self.request_tasks: set[asyncio.Task[None]] = set()
        self.watch_task: asyncio.Task[None] | None = None
        self.wake_timer: asyncio.TimerHandle | None = None
        self.health_timer: asyncio.TimerHandle | None = None
        self.nodes: list[CandidateNode] = []
        self.ranking_task: asyncio.Task[None] | None = None
        self.next_ranking_at = 0.0
        self.rankings_changed: Callable[[dict[str, CandidateRanking]], None] = lambda _: None
        self.inputs_by_name: Counter[str] = Counter()  # since the last load log line
        self.requests_by_kind: Counter[str] = Counter()
        self.closed = False

    # Lifecycle

    def start(self) -> None:
        """Start checking the node's health; elections begin once the candidates are ranked."""
        self._check_health()

    def nodes_changed(self, nodes: Sequence[CandidateNode]) -> None:
        """Set the nodes that may lead, and rank them again if they have changed."""
        sorted_nodes = sorted(nodes)
        if sorted_nodes != self.nodes:
            self.nodes = sorted_nodes
            self._schedule_ranking()

    def reconfigure(self, settings: ElectorSettings, tasks: Mapping[str, str]) -> None:
        """Apply a reloaded operator configuration."""
        self.elector.reconfigure(settings)
        if dict(tasks) != self.tasks:
            self.tasks = dict(tasks)
            self._schedule_ranking()

    def store_replaced(self) -> None:
        """Start over with a different store; answers still due from the previous one are ignored."""
        for request_task in list(self.request_tasks):
            request_task.cancel()
        self.tell(messages.StoreReplaced())

    def drain(self) -> None:
        """Hand over all tasks, for a graceful shutdown."""
        self.tell(messages.DrainStarted())

    async def close(self) -> None:
        """Wait up to `CLOSE_TIMEOUT` for releases and pending writes, then stop and close the store."""
        deadline = time.monotonic() + CLOSE_TIMEOUT
        while time.monotonic() < deadline and self.elector.has_unfinished_work:
            await asyncio.sleep(CLOSE_CHECK_INTERVAL)
        self.closed = True
        for timer in (self.wake_timer, self.health_timer):
            if timer:
                timer.cancel()
        self.task_runner.revoke_all()
        optional_tasks = (task for task in (self.watch_task, self.ranking_task) if task)
        asyncio_tasks = [*self.request_tasks, *self.task_runner.asyncio_tasks(), *optional_tasks]
        for task in asyncio_tasks:
            task.cancel()
        await asyncio.gather(*asyncio_tasks, return_exceptions=True)
        await self.store.close()

    # Ranking of candidates

    def _schedule_ranking(self) -> None:
        if self.ranking_task is None and not self.closed:
            self.ranking_task = asyncio.ensure_future(self._rank())

    async def _rank(self) -> None:
        """Rank the candidates in a thread, because many tasks and nodes would block the event loop."""
        await asyncio.sleep(max(0.0, self.next_ranking_at - time.monotonic()))
        tasks, nodes = dict(self.tasks), list(self.nodes)
        started_at = time.monotonic()
        try:
            rankings = await asyncio.to_thread(rank_candidates, tasks, nodes)
        finally:
            self.ranking_task = None
        duration = time.monotonic() - started_at
        self.next_ranking_at = time.monotonic() + max(MIN_RANKING_INTERVAL, RANKING_PAUSE_FACTOR * duration)
        self.rankings_changed(rankings)
        fleet_size = max(len(nodes), self.environment.expected_nodes)
        self.tell(messages.CandidatesRanked(rankings, fleet_size))
        if (tasks, nodes) != (self.tasks, self.nodes):
            self._schedule_ranking()

    # Inputs and effects

    def tell(self, event: messages.Input) -> None:
        """Pass an input to the elector and carry out the resulting effects."""
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
                self.watch_task = asyncio.ensure_future(self._watch_records(effect))
            case messages.CancelWatch():
                self._cancel_watch()
            case messages.StateChanged():
                self._log_state_change(effect)
            case messages.RequestLease() | messages.RenewLease() | messages.RevokeLease():
                self._send_lease_request(effect)
            case messages.ReadRecords() | messages.ListHolders() | messages.WriteRecord():
                self._send_records_request(effect)
            case _:
                self.task_runner.carry_out(effect)

    def _log_state_change(self, change: messages.StateChanged) -> None:
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

    def _send_lease_request(
        self, effect: messages.RequestLease | messages.RenewLease | messages.RevokeLease
    ) -> None:
        match effect:
            case messages.RequestLease(ttl=ttl):
                self._send(
                    "grant",
                    self._grant_lease(ttl),
                    lambda error: messages.LeaseRequestFailed(error.retry_after),
                )
            case messages.RenewLease(lease_id=lease_id):
                self._send(
                    "beat",
                    self._renew_lease(lease_id),
                    lambda error: messages.LeaseRenewalFailed(lease_id, error.retry_after),
                )
            case messages.RevokeLease(lease_id=lease_id):
                self._send("revoke", self.store.revoke_lease(lease_id), lambda _: None)

    def _send_records_request(
        self, effect: messages.ReadRecords | messages.ListHolders | messages.WriteRecord
    ) -> None:
        match effect:
            case messages.ReadRecords(keys=keys):
                self._send(
                    "read", self._read_records(keys), lambda error: messages.ReadFailed(error.retry_after)
                )
            case messages.ListHolders():
                self._send(
                    "sweep", self._list_holders(), lambda error: messages.ListingFailed(error.retry_after)
                )
            case messages.WriteRecord(task=task, write_id=write_id):
                self._send(
                    "change",
                    self._write_record(effect),
                    lambda error: messages.WriteFailed(
                        task, write_id, error.retry_after, isinstance(error, NotAppliedError)
                    ),
                )

    def _send(
        self, kind: str, request: Awaitable[messages.Input | None], failure_input: FailureInputFactory
    ) -> None:
        """Send a request in the background and pass its answer or its failure to the elector."""
        self.requests_by_kind[kind] += 1
        task = asyncio.ensure_future(self._await_answer(kind, request, failure_input))
        self.request_tasks.add(task)
        task.add_done_callback(self.request_tasks.discard)

    async def _await_answer(
        self, kind: str, request: Awaitable[messages.Input | None], failure_input: FailureInputFactory
    ) -> None:
        try:
            event = await request
        except ConsensusError as error:
            self._log_failure(kind, error)
            event = failure_input(error)
        if event:
            self.tell(event)

    def _log_failure(self, kind: str, error: ConsensusError) -> None:
        self.log.event("agreement", asked=kind, error=f"{type(error).__name__}: {error}")

    async def _grant_lease(self, ttl: float) -> messages.Input:
        granted = await self.store.grant_lease(ttl)
        return messages.LeaseGranted(granted.lease_id, granted.ttl)

    async def _renew_lease(self, lease_id: int) -> messages.Input:
        return messages.renewal_answer(lease_id, await self.store.keep_alive(lease_id))

    async def _read_records(self, keys: Sequence[str]) -> messages.Input:
        return messages.RecordsRead(await self.store.read(keys))

    async def _list_holders(self) -> messages.Input:
        return messages.HoldersListed(await self.store.list_prefix(HOLDER_PREFIX))

    async def _write_record(self, effect: messages.WriteRecord) -> messages.Input:
        result = await self.store.compare_and_set(effect.change)
        return messages.WriteAnswered(effect.task, result, effect.write_id)

    async def _watch_records(self, effect: messages.WatchRecords) -> None:
        retry_after: float | None = None
        try:
            async for snapshot in self.store.watch(effect.keys, effect.after_revision):
                self.tell(messages.RecordsChanged(snapshot))
        except ConsensusError as error:
            retry_after = error.retry_after
            self._log_failure("watch", error)
        self.watch_task = None
        self.tell(messages.WatchEnded(retry_after))

    def _cancel_watch(self) -> None:
        if self.watch_task:
            self.watch_task.cancel()
            self.watch_task = None

    # Timers

    def _set_wake_timer(self) -> None:
        if self.wake_timer:
            self.wake_timer.cancel()
        if not self.closed:
            delay = self.elector.next_wake() - boottime()
            if delay < float("inf"):
                loop = asyncio.get_running_loop()
                self.wake_timer = loop.call_later(max(MIN_WAKE_DELAY, delay), self._wake)

    def _wake(self) -> None:
        self._carry_out_all(self.elector.wake(boottime()))

    def _check_health(self) -> None:
        healthy = self.environment.health() >= MIN_LEADER_HEALTH
        if healthy != self.elector.healthy:
            self.tell(messages.HealthChanged(healthy))
        loop = asyncio.get_running_loop()
        self.health_timer = loop.call_later(HEALTH_CHECK_INTERVAL, self._check_health)

    def load_now(self) -> ElectionLoad:
        """Return the fields on elections for the load log line, and reset the counts of inputs."""
        inputs, self.inputs_by_name = self.inputs_by_name, Counter()
        states = Counter(task.state.value for task in self.elector.tasks.values())
        lease_id = self.elector.lease_id
        lease_left = None if lease_id is None else round(self.elector.safe_until() - boottime(), 2)
        leases = list(self.task_runner.leases.items())[:MAX_TASKS_IN_LOG]
        return {
            "states": dict(states),
            "holding": self.elector.led_tasks()[:MAX_TASKS_IN_LOG],
            "lease": lease_id or 0,
            "lease_left": lease_left,
            "acted": {name: lease.actions_started for name, lease in leases},
            "asked_store": sum(self.requests_by_kind.values()),
            "asked_by_kind": dict(self.requests_by_kind),
            "events": dict(inputs),
        }
