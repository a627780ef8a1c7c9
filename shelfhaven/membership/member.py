"""State machine by which one node obtains the endpoint list and registers itself on it.

It receives events and returns actions (`messages.py`); it does no I/O and reads no clock. The same class runs
in a node (`actor.py`) and, in thousands of instances, in the simulation (`lab/membership_simulation.py`).

Peers are the first source of the list and are polled all the time (`peer_polling.py`). Requests to the list
service, to read or watch the list (`list_watch.py`) and to register the node (`registration.py`), stay within
the node's share of the configured rate (`service_quota.py`).
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

from shelfhaven.membership.endpoint_list import EndpointList, MergeOutcome
from shelfhaven.membership.fleet_view import FleetView
from shelfhaven.membership.list_version import ListSnapshot
from shelfhaven.membership.list_watch import ListWatch, change_actions
from shelfhaven.membership.messages import (
    Action,
    Event,
    LeaseRenewalAnswered,
    ListOperation,
    ListReadCompleted,
    ListServiceFailed,
    ListServiceMoved,
    NodeLeaving,
    NodeReady,
    PeerAnswered,
    PeerFailed,
    PolledByPeer,
    SelfRegistered,
    WatchEventReceived,
    WatchLost,
)
from shelfhaven.membership.node_identity import NodeIdentity
from shelfhaven.membership.peer_polling import PeerPolling
from shelfhaven.membership.registration import Registration
from shelfhaven.membership.service_quota import ServiceQuota
from shelfhaven.membership.settings import MemberSettings


class MemberState(Enum):
    """Whether the node has the list and how it follows changes to it. The values appear in the log."""

    SEEKING = "seeking"  # has no list yet
    FOLLOWING = "following"  # receives changes by polling peers
    WATCHING = "watching"  # holds a watch at the list service, and passes changes on to peers
    LEFT = "left"  # shut down, ignores further events


@dataclass(frozen=True, slots=True)
class MemberStart:
    """Initial state of a member."""

    now: float
    unix_time: float  # wall-clock time at `now`, from which slots are computed
    neighbours: Sequence[str] = ()  # addresses of the configured peers, polled first
    cached_list: ListSnapshot | None = None  # saved by an earlier incarnation, with its current age
    has_list_service: bool = True


class Member:
    """State machine of one node's membership."""

    # Overridden in simulations of a simpler protocol, used as a baseline.
    quota_type: type[ServiceQuota] = ServiceQuota
    polling_type: type[PeerPolling] = PeerPolling
    watch_type: type[ListWatch] = ListWatch

    def __init__(
        self, settings: MemberSettings, identity: NodeIdentity, random: Random, start: MemberStart
    ) -> None:
        now = start.now
        self.fleet = FleetView(settings, identity, random)
        self.quota = self.quota_type(self.fleet, now, start.unix_time)
        self.peers = self.polling_type(self.fleet, now, start.neighbours)
        self.list_watch = self.watch_type(self.fleet, self.quota)
        self.registration = Registration(self.quota)
        self.has_list_service = start.has_list_service
        self.state = MemberState.SEEKING
        if start.cached_list is not None:
            self.endpoint_list.merge_peer_snapshot(now, start.cached_list)
            self._update_state()
        self.list_watch.plan_read(now)
        self.peers.delay_first_poll(now)

    @property
    def settings(self) -> MemberSettings:
        """The settings in force."""
        return self.fleet.settings

    @property
    def identity(self) -> NodeIdentity:
        """The node's identity."""
        return self.fleet.identity

    @property
    def endpoint_list(self) -> EndpointList:
        """The node's copy of the endpoint list."""
        return self.fleet.endpoint_list

    def reconfigure(self, settings: MemberSettings, neighbours: Sequence[str]) -> None:
        """Replace the settings and the configured peers."""
        self.fleet.reconfigure(settings)
        self.peers.set_neighbours(neighbours)

    def on(self, now: float, event: Event) -> list[Action]:
        """Handle one event and return the resulting actions."""
        if self.state is MemberState.LEFT:
            return []
        if isinstance(event, NodeLeaving):
            return self._node_leaving(now)
        actions = self._handle(now, event)
        self._update_state()
        return actions + self.wake(now)

    def next_wake(self) -> float:
        """Return the time of the earliest due action; infinite if there is none."""
        if self.state is MemberState.LEFT:
            return math.inf
        if not self.has_list_service:
            return self.peers.due_at
        service_due = min(self.registration.next_due(), self.list_watch.next_due())
        return min(self.peers.due_at, max(self.quota.blocked_until, service_due))

    def wake(self, now: float) -> list[Action]:
        """Return the actions that are due."""
        if self.state is MemberState.LEFT:
            return []
        seeking = self.state is MemberState.SEEKING
        actions: list[Action] = [*self.peers.due_polls(now, seeking)]
        if self.has_list_service and now >= self.quota.blocked_until:
            actions += self.list_watch.due_read(now)
            actions += self.registration.due_requests(now)
            actions += self.list_watch.update_watch(now, self.registration.registered)
        return actions

    # Events

    def _handle(self, now: float, event: Event) -> list[Action]:
        match event:
            case PeerAnswered() | PeerFailed() | PolledByPeer():
                return self._handle_peer(now, event)
            case ListReadCompleted():
                return self.list_watch.read_completed(now, event)
            case WatchEventReceived():
                return self.list_watch.watch_event_received(now, event)
            case ListServiceMoved():
                return self.list_watch.service_moved(now)
            case WatchLost():
                self.list_watch.watch_lost(now, event)
            case ListServiceFailed():
                self._service_failed(now, event)
            case SelfRegistered() | LeaseRenewalAnswered() | NodeReady():
                self._handle_registration(now, event)
        return []

    def _handle_peer(self, now: float, event: PeerAnswered | PeerFailed | PolledByPeer) -> list[Action]:
        match event:
            case PeerAnswered():
                self.peers.peer_answered(event)
                return self._merge_peer_snapshot(now, event.peer, event.snapshot)
            case PeerFailed():
                self.peers.peer_failed(now, event)
            case PolledByPeer():
                self.peers.remember(event.peer)
        return []

    def _handle_registration(
        self, now: float, event: SelfRegistered | LeaseRenewalAnswered | NodeReady
    ) -> None:
        match event:
            case SelfRegistered():
                self.registration.completed(event)
            case LeaseRenewalAnswered():
                self.registration.renewal_answered(now, event)
            case NodeReady():
                self.registration.node_ready(now)

    def _merge_peer_snapshot(self, now: float, peer: str, snapshot: ListSnapshot) -> list[Action]:
        outcome = self.endpoint_list.merge_peer_snapshot(now, snapshot)
        if outcome is MergeOutcome.WRONG_BASE:
            return [self.peers.poll_complete_list(peer)]
        return [*self.list_watch.peer_list_merged(outcome), *change_actions(outcome)]

    def _service_failed(self, now: float, event: ListServiceFailed) -> None:
        self.quota.back_off(now, event.retry_after)
        if event.operation is ListOperation.READ:
            self.list_watch.read_failed()
        else:
            self.registration.request_failed(now, event.operation)

    def _node_leaving(self, now: float) -> list[Action]:
        actions: list[Action] = self.list_watch.stop_watch()
        actions += self.registration.deregister(now, self.has_list_service)
        self.state = MemberState.LEFT
        return actions

    def _update_state(self) -> None:
        if self.list_watch.watching:
            self.state = MemberState.WATCHING
        elif self.endpoint_list.version.store or self.endpoint_list.items:
            self.state = MemberState.FOLLOWING
        else:
            self.state = MemberState.SEEKING
