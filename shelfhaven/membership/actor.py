"""Actor that runs one node's membership and owns its timers, its sockets and the list cache file.

The decisions are made by the state machines in `member.py` and `readiness.py`; the actor performs the I/O,
through `peer_rpc.py` and `etcd_client.py`. It is off the request path: no request waits for it.
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

READINESS_INTERVAL_S = 0.25  # between updates of the readiness and of the fleet state passed to the node
MIN_CACHE_INTERVAL_S = 5.0  # between two writes of the cache file
MIN_WAKE_DELAY_S = 0.002
CONTACTS_PER_ANSWER = 4  # addresses of other peers sent with each answer

# Fields of MembershipConfig that only a restart changes, with their names in the operator configuration.
RESTART_SETTINGS = {
    "zone": "zone",
    "region": "region",
    "listen": "listen",
    "secret": "secret",
    "cache_file": "keep",
}


class MembershipLoad(TypedDict):
    """Membership fields of the node's periodic load log line."""

    knowing: str  # the member's state
    listing: str  # the registration's state
    step: str  # of the node's readiness
    nodes: int
    era: int
    revision: int
    list_age: float | None  # seconds; None if the list service never confirmed the list
    kept: int  # retained entries
    cold_part: float  # fraction of the fleet that is cold
    asked_service: int  # requests sent to the list service since the start
    answered_peers: int  # polls answered since the start
    events: dict[str, int]  # counts by event name since the previous line


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
        self.service: EtcdListService | None = self._create_service_client(config.service)
        self.poll_tasks: set[asyncio.Task[None]] = set()
        self.wake_timer: asyncio.TimerHandle | None = None
        self.readiness_timer: asyncio.TimerHandle | None = None
        self.wants_backend_knowledge = True  # until a peer supplied usable estimates or the node is ready
        self.peer_overload_factor = 1.0  # largest that peers reported since the last update
        self.next_cache_write_at = 0.0
        self.cache_task: asyncio.Task[None] | None = None
        self.event_counts: Counter[str] = Counter()  # by name in the log
        self.ended = False

    def _create_service_client(self, settings: ListServiceSettings | None) -> EtcdListService | None:
        if settings is None:
            return None
        from shelfhaven.membership.etcd_client import EtcdListService

        return EtcdListService(settings.endpoints, settings.prefix, settings.timeout, self.report, self.log)

    def _load_cache(self) -> ListSnapshot | None:
        """Load the list cached by an earlier incarnation; None if there is none that can be used."""
        if self.config.cache_file is None:
            return None
        try:
            return list_cache.load(self.config.cache_file, time.time(), self.config.max_cache_age)
        except ValueError as error:
            self.log.event("list_file", file=str(self.config.cache_file), error=str(error))
            return None

    # Life cycle

    def start(self) -> None:
        """Start answering and polling peers and updating the node's readiness."""
        self.peer_rpc.start()
        if self.member.endpoint_list.items:
            self._publish_list()
        self._wake()
        self._update_readiness()

    def reconfigure(self, config: MembershipConfig) -> list[str]:
        """Apply the settings that may change at run time; return the names of those that need a restart."""
        needs_restart = [
            f"membership {setting}"
            for field, setting in RESTART_SETTINGS.items()
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

    def set_zone_watcher(self, enabled: bool) -> None:
        """Set whether this node is a zone watcher, which holds a watch regardless of its rank."""
        self.member.fleet.is_zone_watcher = enabled
        self._wake()

    def deregister(self) -> None:
        """Remove the node's registration; called when the node starts to drain."""
        self._carry_out(self.member.on(time.monotonic(), NodeLeaving()))

    async def end(self) -> None:
        """Cancel timers and polls, and close the connections; the actor cannot be restarted."""
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
        """Pass an event to the member and carry out the actions it returns."""
        if not self.ended:
            self.event_counts[LOGGED_EVENT_NAMES[type(event)]] += 1
            self._carry_out(self.member.on(time.monotonic(), event))

    def _carry_out(self, actions: list[Action]) -> None:
        registration_value = f"{self.identity.address} {self.identity.region}"
        for action in actions:
            match action:
                case PollPeer():
                    task = asyncio.ensure_future(self._poll(action))
                    self.poll_tasks.add(task)
                    task.add_done_callback(self.poll_tasks.discard)
                case ListChanged():
                    self._log_list_changed(action)
                    self._publish_list()
                case _:
                    if self.service:
                        self.service.carry_out(action, self.identity.key, registration_value)
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

    def _publish_list(self) -> None:
        """Pass the list to the node, and schedule a write of the cache file."""
        self.readiness.has_list |= bool(self.member.endpoint_list.version.store)
        self.environment.list_changed(self.member.endpoint_list.items)
        if self.config.cache_file and not self.cache_task:
            self.cache_task = asyncio.ensure_future(self._write_cache(self.config.cache_file))

    async def _write_cache(self, path: Path) -> None:
        """Write the cache file in a thread, after waiting until the minimum interval has passed."""
        try:
            await asyncio.sleep(max(0.0, self.next_cache_write_at - time.monotonic()))
            snapshot = self.member.endpoint_list.snapshot(time.monotonic())
            if snapshot.version.store:
                await asyncio.to_thread(list_cache.save, path, snapshot, time.time())
        except OSError as error:
            self.log.event("list_file", file=str(path), error=str(error))
        finally:
            self.next_cache_write_at = time.monotonic() + MIN_CACHE_INTERVAL_S
            self.cache_task = None

    # Peers

    async def _poll(self, poll: PollPeer) -> None:
        try:
            answer = await self.peer_rpc.poll(
                poll.peer, self.identity.address, poll.since, self.wants_backend_knowledge
            )
        except PeerRpcError as error:
            self.report(PeerFailed(poll.peer, error.retry_after))
            return
        self.peer_overload_factor = max(self.peer_overload_factor, answer.strain)
        if self.wants_backend_knowledge and answer.backend_knowledge is not None:
            self._apply_backend_knowledge(poll.peer, answer)
        self.report(PeerAnswered(poll.peer, answer.snapshot, answer.warm, answer.contacts))

    def _apply_backend_knowledge(self, peer: str, answer: PeerAnswer) -> None:
        """Apply the backend estimates in a peer's answer."""
        try:
            health = float(answer.backend_knowledge["health"])
            knowledge = warm_start.from_json_values(answer.backend_knowledge["known"])
        except (ValueError, KeyError, TypeError) as error:
            self.log.event("peer_unreadable", peer=peer, error=str(error))
            return
        if knowledge and health > 0:
            applied = self.environment.apply_backend_knowledge(knowledge, health)
            self.wants_backend_knowledge = applied == 0  # if none applied, another peer may have some
            self.log.event("learned", peer=peer, servers=applied, health=round(health, 3))

    def _answer_poll(self, peer: str, since: ListVersion, with_backends: bool) -> PeerAnswer:
        """Build the answer to a peer's poll: the list, or its changes since the version that the peer has."""
        now = time.monotonic()
        snapshot = self.member.endpoint_list.snapshot(now, since)
        knowledge = None
        if with_backends:
            knowledge = {"health": self.environment.health(), "known": self.environment.backend_knowledge()}
        if peer:
            self.report(PolledByPeer(peer))
        warm = self.readiness.warm(now)
        contacts = tuple(self.member.peers.sample_contacts(CONTACTS_PER_ANSWER))
        return PeerAnswer(snapshot, warm, contacts, self.environment.overload_factor(), knowledge)

    # Readiness

    def _update_readiness(self) -> None:
        now = time.monotonic()
        cold_fraction = self.member.peers.cold_fraction()
        previous_step = self.readiness.step
        self.readiness.has_first_answer = (
            self.readiness.has_first_answer or self.environment.has_backend_answered()
        )
        step = self.readiness.update(now, self.environment.is_runner_connected(), cold_fraction)
        if step is not previous_step:
            elapsed = round(now - self.readiness.started_at, 2)
            self.log.event("readiness", step=step.value, after=elapsed)
            if step is ReadinessStep.READY:
                self.wants_backend_knowledge = False
                self.report(NodeReady())
        # Without an answer from any peer, the whole fleet counts as cold.
        has_peer_answers = bool(self.member.peers.warmth)
        size = self.member.fleet.size()
        self.environment.fleet_changed(
            cold_fraction if has_peer_answers else 1.0, size, self.peer_overload_factor
        )
        self.peer_overload_factor = 1.0
        loop = asyncio.get_running_loop()
        self.readiness_timer = loop.call_later(READINESS_INTERVAL_S, self._update_readiness)

    def load_now(self) -> MembershipLoad:
        """Return the fields for the load log line, and reset the event counts."""
        event_counts = self.event_counts
        self.event_counts = Counter()
        endpoint_list = self.member.endpoint_list
        age = endpoint_list.age(time.monotonic())
        return {
            "knowing": self.member.state.value,
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
