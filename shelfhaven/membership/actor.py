"""The actor that runs one node's membership: its timers, its sockets and the file of the cached list.

Carries out what the member (`member.py`) and the node's readiness (`readiness.py`) decide, by way of
`peer_rpc.py` and `etcd_client.py`. No request waits for it.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections import Counter
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, TypedDict

from shelfhaven.membership import list_cache
from shelfhaven.membership.list_version import ListSnapshot, ListVersion
from shelfhaven.membership.member import Member, MemberStart
from shelfhaven.membership.messages import (
    LOGGED_EVENT_NAMES,
    Action,
    Event,
    ListChanged,
    ListServiceMoved,
    NodeLeaving,
    NodeReady,
    PeerAnswered,
    PeerFailed,
    PolledByPeer,
    PollPeer,
)
from shelfhaven.membership.node_environment import NodeEnvironment
from shelfhaven.membership.node_identity import NodeIdentity
from shelfhaven.membership.peer_rpc import PeerRpc, PeerRpcError
from shelfhaven.membership.readiness import Readiness, ReadinessStep
from shelfhaven.membership.settings import ListServiceSettings, MembershipConfig
from shelfhaven.membership.snapshot_codec import PeerAnswer
from shelfhaven.routing import warm_start
from shelfhaven.server.log import Log

if TYPE_CHECKING:
    from shelfhaven.membership.etcd_client import EtcdListService

READINESS_INTERVAL_S = 0.25  # between updates of the readiness and of what is known of the fleet
MIN_CACHE_INTERVAL_S = 5.0  # between two writes of the cached list
MIN_WAKE_DELAY_S = 0.002
CONTACTS_PER_ANSWER = 4

# Changed settings that need a restart, as the operator's file names them.
RESTART_SETTINGS = {
    "zone": "zone",
    "region": "region",
    "listen": "listen",
    "secret": "secret",
    "cache_file": "keep",
}


class MembershipLoad(TypedDict):
    """What the node's line on its load says of the membership."""

    knowing: str  # how the node knows the list
    listing: str  # the state of its registration
    step: str  # of its readiness
    nodes: int
    era: int
    revision: int
    list_age: float | None  # seconds; None: the list service never confirmed the list
    kept: int  # entries that are retained
    cold_part: float  # fraction of the fleet
    asked_service: int  # requests since the start
    answered_peers: int
    events: dict[str, int]  # by name, since the line before


class Membership:
    """Actor of one node's membership."""

    def __init__(
        self, config: MembershipConfig, name: str, seed: int, environment: NodeEnvironment, log: Log
    ) -> None:
        self.config = config
        self.environment = environment
        self.log = log
        self.identity = NodeIdentity(name, config.zone, config.region, str(config.advertise))
        now = time.monotonic()
        random = Random(seed ^ time.time_ns())
        start = MemberStart(now, time.time(), config.peers, self._load_cache(), bool(config.service))
        self.member = Member(config.member, self.identity, random, start)
        self.readiness = Readiness(config.readiness, now)
        self.peer_rpc = PeerRpc(config.listen, config.secret, config.peer_timeout, self._answer_poll, log)
        self.service: EtcdListService | None = self._connect(config.service)
        self.poll_tasks: set[asyncio.Task[None]] = set()
        self.wake_timer: asyncio.TimerHandle | None = None
        self.readiness_timer: asyncio.TimerHandle | None = None
        self.learning = True  # peers are asked what they know of backends, until one knew something
        self.strain = 1.0  # heard of peers lately
        self.cache_due_at = 0.0
        self.cache_task: asyncio.Task[None] | None = None
        self.event_counts: Counter[str] = Counter()  # by logged name
        self.ended = False

    def _connect(self, settings: ListServiceSettings | None) -> EtcdListService | None:
        if settings is None:
            return None
        from shelfhaven.membership.etcd_client import EtcdListService

        return EtcdListService(settings.endpoints, settings.prefix, settings.timeout, self.report, self.log)

    def _load_cache(self) -> ListSnapshot | None:
        """The list of an earlier incarnation, if it is young enough."""
        if self.config.cache_file is None:
            return None
        try:
            return list_cache.load(self.config.cache_file, time.time(), self.config.max_cache_age)
        except ValueError as error:
            self.log.event("list_file", file=str(self.config.cache_file), error=str(error))
            return None

    # Life cycle

    def start(self) -> None:
        """Answer peers, poll them, and follow the node's readiness."""
        self.peer_rpc.start()
        if self.member.endpoint_list.items:
            self._list_changed()
        self._wake()
        self._update_readiness()

    def reconfigure(self, config: MembershipConfig) -> list[str]:
        """Use what a changed file allows to be changed; returns the settings that need a restart."""
        needs_restart = [
            f"membership {written}"
            for field, written in RESTART_SETTINGS.items()
            if getattr(config, field) != getattr(self.config, field)
        ]
        self.member.reconfigure(config.member, config.peers)
        new = config.service
        old = self.config.service
        if (new is None) != (old is None) or (new and old and new.prefix != old.prefix):
            needs_restart.append("membership list")
        elif new and old and self.service and new.endpoints != old.endpoints:
            self.service.set_endpoints(new.endpoints)
            self.config = config
            self.report(ListServiceMoved())
        return needs_restart

    def watch_for_zone(self, watch: bool) -> None:
        """Hold a watch whatever this node's rank, or leave that to the ranks."""
        self.member.fleet.is_zone_watcher = watch
        self._wake()

    def deregister(self) -> None:
        """The node drains: its registration is removed at once."""
        self._carry_out(self.member.on(time.monotonic(), NodeLeaving()))

    async def end(self) -> None:
        """Stop for good."""
        self.ended = True
        for timer in (self.wake_timer, self.readiness_timer):
            if timer:
                timer.cancel()
        for task in list(self.poll_tasks):
            task.cancel()
        if self.service:
            await self.service.end()
        await self.peer_rpc.end()
        if self.cache_task:
            await asyncio.gather(self.cache_task, return_exceptions=True)

    # Events and actions

    def report(self, event: Event) -> None:
        """Give the member an event, and carry out what follows."""
        if not self.ended:
            self.event_counts[LOGGED_EVENT_NAMES[type(event)]] += 1
            self._carry_out(self.member.on(time.monotonic(), event))

    def _carry_out(self, actions: list[Action]) -> None:
        value = f"{self.identity.address} {self.identity.region}"
        for action in actions:
            match action:
                case PollPeer():
                    task = asyncio.ensure_future(self._poll(action))
                    self.poll_tasks.add(task)
                    task.add_done_callback(self.poll_tasks.discard)
                case ListChanged():
                    self._log_list_changed(action)
                    self._list_changed()
                case _:
                    if self.service:
                        self.service.carry_out(action, self.identity.key, value)
        self._set_wake_timer()

    def _set_wake_timer(self) -> None:
        if self.wake_timer:
            self.wake_timer.cancel()
        if not self.ended:
            delay = self.member.next_wake() - time.monotonic()
            if delay < math.inf:
                loop = asyncio.get_running_loop()
                self.wake_timer = loop.call_later(max(MIN_WAKE_DELAY_S, delay), self._wake)

    def _wake(self) -> None:
        self._carry_out(self.member.wake(time.monotonic()))

    # The list

    def _log_list_changed(self, change: ListChanged) -> None:
        endpoint_list = self.member.endpoint_list
        self.log.event(
            "list_changed",
            verdict=change.outcome.value,
            nodes=len(self.member.fleet.nodes),
            entries=len(endpoint_list.items),
            kept=len(endpoint_list.retained),
            era=endpoint_list.version.era,
            revision=endpoint_list.version.revision,
            store=endpoint_list.version.store,
        )

    def _list_changed(self) -> None:
        """Pass the list on to the node, and write the cache before long."""
        self.readiness.has_list |= bool(self.member.endpoint_list.version.store)
        self.environment.list_changed(self.member.endpoint_list.items)
        if self.config.cache_file and not self.cache_task:
            self.cache_task = asyncio.ensure_future(self._write_cache(self.config.cache_file))

    async def _write_cache(self, path: Path) -> None:
        """Write the cached list, from a thread and not too often."""
        try:
            await asyncio.sleep(max(0.0, self.cache_due_at - time.monotonic()))
            snapshot = self.member.endpoint_list.snapshot(time.monotonic())
            if snapshot.version.store:
                await asyncio.to_thread(list_cache.save, path, snapshot, time.time())
        except OSError as error:
            self.log.event("list_file", file=str(path), error=str(error))
        finally:
            self.cache_due_at = time.monotonic() + MIN_CACHE_INTERVAL_S
            self.cache_task = None

    # Peers

    async def _poll(self, poll: PollPeer) -> None:
        try:
            answer = await self.peer_rpc.poll(poll.peer, self.identity.address, poll.since, self.learning)
        except PeerRpcError as error:
            self.report(PeerFailed(poll.peer, error.retry_after))
            return
        self.strain = max(self.strain, answer.strain)
        if self.learning and answer.backend_knowledge is not None:
            self._learn(poll.peer, answer)
        self.report(PeerAnswered(poll.peer, answer.snapshot, answer.warm, answer.contacts))

    def _learn(self, peer: str, answer: PeerAnswer) -> None:
        """Use what a peer knows of backends."""
        try:
            health = float(answer.backend_knowledge["health"])
            knowledge = warm_start.from_json_values(answer.backend_knowledge["known"])
        except (ValueError, KeyError, TypeError) as error:
            self.log.event("peer_unreadable", peer=peer, error=str(error))
            return
        if knowledge and health > 0:
            used = self.environment.learn(knowledge, health)
            self.learning = used == 0  # another peer may know more
            self.log.event("learned", peer=peer, servers=used, health=round(health, 3))

    def _answer_poll(self, peer: str, since: ListVersion, with_backends: bool) -> PeerAnswer:
        """The answer to a peer's poll."""
        now = time.monotonic()
        snapshot = self.member.endpoint_list.snapshot(now, since)
        knowledge = None
        if with_backends:
            knowledge = {"health": self.environment.health(), "known": self.environment.known_servers()}
        if peer:
            self.report(PolledByPeer(peer))
        warm = self.readiness.warm(now)
        contacts = tuple(self.member.peers.sample_contacts(CONTACTS_PER_ANSWER))
        return PeerAnswer(snapshot, warm, contacts, self.environment.strain(), knowledge)

    # Readiness

    def _update_readiness(self) -> None:
        now = time.monotonic()
        cold_fraction = self.member.peers.cold_fraction()
        before = self.readiness.step
        self.readiness.has_first_answer = self.readiness.has_first_answer or self.environment.proven()
        step = self.readiness.update(now, self.environment.linked(), cold_fraction)
        if step is not before:
            elapsed = round(now - self.readiness.started_at, 2)
            self.log.event("readiness", step=step.value, after=elapsed)
            if step is ReadinessStep.READY:
                self.learning = False
                self.report(NodeReady())
        heard = bool(self.member.peers.warmth)  # a node that heard of no peer takes the fleet to be cold
        size = self.member.fleet.size()
        self.environment.fleet_changed(cold_fraction if heard else 1.0, size, self.strain)
        self.strain = 1.0
        loop = asyncio.get_running_loop()
        self.readiness_timer = loop.call_later(READINESS_INTERVAL_S, self._update_readiness)

    def load_now(self) -> MembershipLoad:
        """The state for the log; event counts start anew."""
        event_counts = self.event_counts
        self.event_counts = Counter()
        endpoint_list = self.member.endpoint_list
        age = endpoint_list.age(time.monotonic())
        return {
            "knowing": self.member.knowledge.value,
            "listing": self.member.registration.state.value,
            "step": self.readiness.step.value,
            "nodes": len(self.member.fleet.nodes),
            "era": endpoint_list.version.era,
            "revision": endpoint_list.version.revision,
            "list_age": round(age, 1) if age < math.inf else None,
            "kept": len(endpoint_list.retained),
            "cold_part": round(self.member.peers.cold_fraction(), 2),
            "asked_service": self.service.request_count if self.service else 0,
            "answered_peers": self.peer_rpc.answered,
            "events": dict(event_counts),
        }
