"""Simulation of leader election in virtual time, with the real `Elector` of hundreds of nodes.

It simulates the clock of each node, the links to the consensus store, the store, and a target that checks
fencing tokens; it counts the requests and checks the invariants. What an elector receives never depends on
its internal state. All times and rates are simulated: sockets, processes and CPU time play no part in them.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import NamedTuple

from shelfhaven.consensus.store import Snapshot
from shelfhaven.election import elector, messages
from shelfhaven.election.candidate_ranking import CandidateNode, rank_candidates
from shelfhaven.election.records import HOLDER_PREFIX, task_name
from shelfhaven.election.settings import ElectorSettings
from shelfhaven.lab.simulated_store import SimulatedStore
from shelfhaven.lab.virtual_clock import VirtualClock

MESSAGE_DELAY = (0.0005, 0.004)  # seconds, minimum and maximum
REQUEST_TIMEOUT = 1.0  # seconds that a node waits for an answer from the store
ACTION_INTERVAL = 0.2  # seconds between two actions of a leader
FINISH_TIME = 0.05  # seconds that a task takes to finish its current step
DEATH_NOTICE_DELAY = 0.5  # seconds until the other nodes learn that a node has died
RANKING_DELAY_MAX = 0.5  # seconds until a node receives new rankings
DRAIN_TIME = 3.0  # seconds between the beginning of a node's drain and its end
CLOCK_OFFSET_MAX = 1e6  # seconds; each node's clock has a different offset
WAKE_DELAY_MIN = 0.001  # seconds


@dataclass(slots=True)
class LinkConditions:
    """Faults of the links to the store and the target; probabilities are from 0 to 1."""

    loss: float = 0.0  # probability that a message is lost
    delayed: float = 0.0  # probability that a message takes up to `delay_max` longer
    delay_max: float = 0.0  # seconds
    store_down: bool = False  # the store answers no request


class Effect(NamedTuple):
    """An action that the target has executed."""

    at: float
    task: str
    fencing_token: int
    node: str


class LeaderChange(NamedTuple):
    """A leader was recorded in the store."""

    at: float
    task: str
    node: str


class LeaderGap(NamedTuple):
    """The time in seconds for which the store recorded no leader of a task."""

    task: str
    seconds: float


@dataclass(slots=True)
class SimulatedNode:
    """One node and its clock, which advances by `clock_rate` seconds per second of virtual time."""

    name: str
    elector: elector.Elector
    clock_rate: float
    clock_offset: float
    alive: bool = True
    suspended: bool = False
    deferred: list[Callable[[], None]] = field(default_factory=list)  # to be called when it is resumed
    wake_id: int = 0  # of the last scheduled wake-up; earlier ones are ignored
    watch_id: int = 0  # of the current watch; events of earlier ones are ignored
    watched_keys: tuple[str, ...] = ()
    running_tasks: dict[str, int] = field(default_factory=dict)  # fencing token by task
    suspended_tasks: set[str] = field(default_factory=set)

    def clock(self, now: float) -> float:
        """Return the time on the node's clock at a virtual time."""
        return self.clock_offset + now * self.clock_rate

    def may_act(self, now: float, task: str, fencing_token: int) -> bool:
        """Whether the node's elector allows an action on a task with a fencing token."""
        return self.elector.time_to_act(self.clock(now), task, fencing_token) > 0


class ElectionSimulation(VirtualClock):
    """Simulated nodes, a consensus store and a target on one virtual clock."""

    calls_per_check = 64

    def __init__(
        self, nodes: int, tasks: int, settings: ElectorSettings, seed: int, clock_drift: float = 0.0
    ) -> None:
        super().__init__()
        self.random = Random(seed)
        self.settings = settings
        self.clock_drift = clock_drift
        self.links = LinkConditions()
        self.is_cut_off: Callable[[str], bool] = lambda _: False  # whether a node cannot reach the store
        self.store = SimulatedStore(self, self.random, self._records_changed)
        self.tasks = {f"duty-{number:03}": "" for number in range(tasks)}  # zone by task
        self.nodes: dict[str, SimulatedNode] = {}
        self.requests_by_second: Counter[int] = Counter()
        self.requests_by_kind: Counter[str] = Counter()
        self.highest_tokens: Counter[str] = Counter()  # seen by the target, by task
        self.effects: list[Effect] = []
        self.rejected_actions = 0  # actions rejected because of a lower fencing token
        self.breaches: list[str] = []
        self.leader_changes: list[LeaderChange] = []
        self.leaderless_since: dict[str, float] = {}
        self.leader_gaps: list[LeaderGap] = []
        for number in range(nodes):
            self.start_node(f"n{number:04}", self.random.random())
        self.rank_candidates()

    # Nodes

    def start_node(self, name: str, delay: float) -> None:
        """Start a node, or restart it; it receives the rankings after a delay in seconds."""
        rate = 1.0 + self.clock_drift * (self.random.random() - 0.5)
        offset = self.random.random() * CLOCK_OFFSET_MAX
        random = Random(self.random.random())
        node_elector = elector.Elector(self.settings, name, offset + self.now * rate, random)
        node = SimulatedNode(name, node_elector, rate, offset)
        self.nodes[name] = node
        self.at(self.now + delay, partial(self._deliver_rankings, node))

    def kill_node(self, name: str) -> None:
        """Kill a node; the others learn of it after `DEATH_NOTICE_DELAY`."""
        self.nodes.pop(name).alive = False
        self.at(self.now + DEATH_NOTICE_DELAY, self.rank_candidates)

    def suspend_node(self, name: str, seconds: float) -> None:
        """Suspend a node's process for a time; its clock keeps running."""
        node = self.nodes[name]
        node.suspended = True
        self.at(self.now + seconds, partial(self._resume_node, node))

    def drain_node(self, name: str) -> None:
        """Shut a node down gracefully."""
        node = self.nodes[name]
        self._deliver(node, messages.DrainStarted())
        self.at(self.now + DRAIN_TIME, lambda: self.kill_node(name) if self.nodes.get(name) is node else None)

    def rank_candidates(self) -> None:
        """Rank the live nodes as candidates, and send the rankings to each of them."""
        self.rankings = rank_candidates(self.tasks, [CandidateNode(name) for name in self.nodes])
        for node in list(self.nodes.values()):
            self.at(
                self.now + self.random.random() * RANKING_DELAY_MAX, partial(self._deliver_rankings, node)
            )

    def _resume_node(self, node: SimulatedNode) -> None:
        node.suspended = False
        deferred, node.deferred = node.deferred, []
        for call in deferred:
            call()

    def _deliver_rankings(self, node: SimulatedNode) -> None:
        self._deliver(node, messages.CandidatesRanked(self.rankings, len(self.nodes)))

    def _deliver(self, node: SimulatedNode, event: messages.Input | None) -> None:
        """Pass an input to a node's elector, or wake it without one; deferred while the node is suspended."""
        if not node.alive:
            return
        if node.suspended:
            node.deferred.append(partial(self._deliver, node, event))
            return
        clock = node.clock(self.now)
        effects = node.elector.on(clock, event) if event else node.elector.wake(clock)
        for effect in effects:
            self._execute_effect(node, effect)
        self._schedule_wake(node)

    def _schedule_wake(self, node: SimulatedNode) -> None:
        wake_at = node.elector.next_wake()
        if wake_at == math.inf:
            return
        node.wake_id += 1
        wake_id = node.wake_id
        delay = max(WAKE_DELAY_MIN, (wake_at - node.clock(self.now)) / node.clock_rate)

        def wake() -> None:
            """Wake the node, unless a later wake-up has replaced this one."""
            if node.wake_id == wake_id:
                self._deliver(node, None)

        self.at(self.now + delay, wake)

    # Requests to the store

    def _message_delay(self) -> float:
        is_delayed = self.random.random() < self.links.delayed
        base_delay = self.random.uniform(*MESSAGE_DELAY)
        return base_delay + (self.random.random() * self.links.delay_max if is_delayed else 0.0)

    def _request(
        self,
        node: SimulatedNode,
        kind: str,
        execute: Callable[[], messages.Input | None],
        failure: messages.Input | None,
    ) -> None:
        """Send a request to the store; the node receives the answer or, after a timeout, the failure."""
        answered = False

        def deliver_once(event: messages.Input | None) -> None:
            """Pass the answer or the failure to the node, whichever comes first."""
            nonlocal answered
            if not answered:
                answered = True
                if event:
                    self._deliver(node, event)

        def arrive() -> None:
            """Execute the request at the store and send the answer."""
            if self.links.store_down or self.is_cut_off(node.name):
                return
            self.requests_by_second[int(self.now)] += 1
            self.requests_by_kind[kind] += 1
            event = execute()
            if self.random.random() >= self.links.loss and not self.is_cut_off(node.name):
                self.at(self.now + self._message_delay(), partial(deliver_once, event))

        if self.random.random() >= self.links.loss:
            self.at(self.now + self._message_delay(), arrive)
        self.at(self.now + REQUEST_TIMEOUT, partial(deliver_once, failure))

    def _execute_effect(self, node: SimulatedNode, effect: messages.Effect) -> None:
        match effect:
            case messages.RequestLease(ttl=ttl):
                self._request(node, "grant", partial(self._grant, ttl), messages.LeaseRequestFailed())
            case messages.RenewLease(lease_id=lease_id):
                self._request(
                    node, "renew", partial(self._renew, lease_id), messages.LeaseRenewalFailed(lease_id)
                )
            case messages.RevokeLease(lease_id=lease_id):
                self._request(node, "revoke", partial(self.store.revoke_lease, lease_id), None)
            case messages.ReadRecords(keys=keys):
                self._request(node, "read", partial(self._read, keys), messages.ReadFailed())
            case messages.WatchRecords():
                node.watch_id += 1
                node.watched_keys = effect.keys
                self._request(node, "watch", partial(self._begin_watch, effect), messages.WatchEnded())
            case messages.CancelWatch():
                node.watch_id += 1
                node.watched_keys = ()
            case messages.ListHolders():
                self._request(node, "list", self._list_holders, messages.ListingFailed())
            case messages.WriteRecord():
                failure = messages.WriteFailed(effect.task, effect.write_id)
                self._request(node, "write", partial(self._write, node, effect), failure)
            case _:
                self._control_task(node, effect)

    # Store

    def replace_store(self) -> None:
        """Replace the store by an empty one; every watch breaks."""
        self.store.replace_with_empty()
        for node in self.nodes.values():
            self._break_watch(node)

    def _grant(self, ttl: float) -> messages.Input:
        granted = self.store.grant_lease(ttl)
        return messages.LeaseGranted(granted.lease_id, granted.ttl)

    def _renew(self, lease_id: int) -> messages.Input:
        return messages.renewal_answer(lease_id, self.store.renew_lease(lease_id))

    def _read(self, keys: tuple[str, ...]) -> messages.Input:
        return messages.RecordsRead(self.store.read(keys))

    def _list_holders(self) -> messages.Input:
        return messages.HoldersListed(self.store.list_prefix(HOLDER_PREFIX))

    def _begin_watch(self, effect: messages.WatchRecords) -> messages.Input | None:
        changed = self.store.changes_since(effect.keys, effect.after_revision)
        if changed is None:
            return messages.WatchEnded()
        return messages.RecordsChanged(changed) if changed.items else None

    def _write(self, node: SimulatedNode, effect: messages.WriteRecord) -> messages.Input:
        result = self.store.compare_and_set(effect.change)
        if result.applied and any(key.startswith(HOLDER_PREFIX) for key in effect.change.put):
            self._record_leader_change(node, effect.task)
        return messages.WriteAnswered(effect.task, result, effect.write_id)

    def _records_changed(self, keys: list[str]) -> None:
        snapshot = self.store.read(keys)
        for key, entry in snapshot.items.items():
            if key.startswith(HOLDER_PREFIX) and entry is None:
                self.leaderless_since.setdefault(task_name(key), self.now)
        for node in self.nodes.values():
            watched = {key: snapshot.items[key] for key in keys if key in node.watched_keys}
            if watched:
                event = Snapshot(snapshot.revision, watched)
                arrive = partial(self._watch_event_arrived, node, node.watch_id, event)
                self.at(self.now + self._message_delay(), arrive)

    def _watch_event_arrived(self, node: SimulatedNode, watch_id: int, snapshot: Snapshot) -> None:
        if node.watch_id != watch_id:
            return
        if self.is_cut_off(node.name) or self.links.store_down:  # a stream that loses an event breaks
            self._break_watch(node)
        else:
            self._deliver(node, messages.RecordsChanged(snapshot))

    def _break_watch(self, node: SimulatedNode) -> None:
        node.watch_id += 1
        self.at(self.now + REQUEST_TIMEOUT, partial(self._watch_broken, node, node.watch_id))

    def _watch_broken(self, node: SimulatedNode, watch_id: int) -> None:
        if node.watch_id == watch_id:
            self._deliver(node, messages.WatchEnded())

    def _record_leader_change(self, node: SimulatedNode, task: str) -> None:
        """Record a change of leader; it is a breach if another node may still act on the task."""
        for other in self.nodes.values():
            ownership = other.elector.tasks.get(task)
            if other is node or other.suspended or ownership is None:
                continue
            if other.may_act(self.now, task, ownership.fencing_token):
                self.breaches.append(
                    f"{self.now:.3f} {task}: {other.name} may act while {node.name} becomes leader"
                )
        self.leader_changes.append(LeaderChange(self.now, task, node.name))
        if task in self.leaderless_since:
            self.leader_gaps.append(LeaderGap(task, self.now - self.leaderless_since.pop(task)))

    # Tasks and their target

    def _control_task(self, node: SimulatedNode, effect: messages.Effect) -> None:
        match effect:
            case messages.StartTask(task=task, fencing_token=token):
                node.running_tasks[task] = token
                node.suspended_tasks.discard(task)
                self._act(node, task, token)
            case messages.SuspendTask(task=task):
                node.suspended_tasks.add(task)
            case messages.ResumeTask(task=task):
                node.suspended_tasks.discard(task)
            case messages.StopTask(task=task):
                node.running_tasks.pop(task, None)
            case messages.FinishTask(task=task, fencing_token=token):
                if node.running_tasks.pop(task, None):
                    ended = messages.TaskEnded(task, token)
                    self.at(self.now + FINISH_TIME, partial(self._deliver, node, ended))

    def _act(self, node: SimulatedNode, task: str, token: int) -> None:
        """Send actions to the target at an interval, as long as the node runs the task under this token."""
        if not node.alive or node.running_tasks.get(task) != token:
            return
        if node.suspended:
            node.deferred.append(partial(self._act, node, task, token))
            return
        if task not in node.suspended_tasks and node.may_act(self.now, task, token):
            self.at(self.now + self._message_delay(), partial(self._action_arrived, node, task, token))
        self.at(self.now + ACTION_INTERVAL, partial(self._act, node, task, token))

    def _action_arrived(self, node: SimulatedNode, task: str, token: int) -> None:
        if token < self.highest_tokens[task]:
            self.rejected_actions += 1
            self._deliver(node, messages.FencingTokenRejected(task, token, self.highest_tokens[task]))
            return
        self.highest_tokens[task] = token
        self.effects.append(Effect(self.now, task, token, node.name))

    # Inspection

    def leaders(self) -> dict[str, str]:
        """Return the node that may act at present, by task."""
        leaders = {}
        for node in self.nodes.values():
            for task in node.elector.led_tasks():
                token = node.elector.tasks[task].fencing_token
                if not node.suspended and node.may_act(self.now, task, token):
                    leaders[task] = node.name
        return leaders

    def all_led(self) -> bool:
        """Whether every task has a leader that may act."""
        return len(self.leaders()) == len(self.tasks)

    def requests_per_second(self, begin: float, end: float) -> float:
        """Return the mean rate of requests at the store over a period, per second."""
        counts = (count for second, count in self.requests_by_second.items() if begin <= second < end)
        return sum(counts) / (end - begin)
