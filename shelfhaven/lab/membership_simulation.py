"""Simulation of a fleet's membership in virtual time, with the real `Member` of up to thousands of nodes.

The links and the list service are simulated. Members only receive events; the scenario controls the links.
No sockets or processes are used and no CPU time is modelled, so all figures are simulated, not measured.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from random import Random

from shelfhaven.lab.simulated_list_service import SimulatedListService
from shelfhaven.lab.virtual_clock import VirtualClock
from shelfhaven.membership.list_version import Endpoint, ListSnapshot
from shelfhaven.membership.member import Member, MemberStart
from shelfhaven.membership.messages import (
    Action,
    DeregisterSelf,
    Event,
    LeaseRenewalAnswered,
    ListChanged,
    ListOperation,
    ListReadCompleted,
    ListServiceFailed,
    NodeReady,
    PeerAnswered,
    PeerFailed,
    PolledByPeer,
    PollPeer,
    ReadList,
    RegisterSelf,
    RenewLease,
    SelfRegistered,
    StopWatch,
    WatchEventReceived,
    WatchList,
    WatchLost,
)
from shelfhaven.membership.node_identity import NodeIdentity
from shelfhaven.membership.settings import MemberSettings

SERVICE = "service"  # name of the list service as an endpoint of a link
PROGRESS_INTERVAL_S = 5.0  # interval of progress notifications, as in a real node
MIN_DELAY_S, MAX_DELAY_S = 0.0005, 0.004  # one-way delay of a message
PEER_TIMEOUT_S = 1.0
SERVICE_TIMEOUT_S = 2.0
SUSPENDED_RETRY_S = 0.1  # interval at which an event is offered again to a suspended process
EXPIRY_INTERVAL_S = 0.25  # interval at which the list service expires leases
CONTACTS_PER_ANSWER = 4  # other peers named in the answer to a poll
REQUESTS_PER_REGISTRATION = 2  # one lease grant and one put
ZONES = 3


@dataclass(frozen=True, slots=True)
class FleetStart:
    """How a simulated fleet starts.

    Attributes:
        neighbours: number of nodes that all others know from their operator configuration.
        cached_list: the list cached by the previous incarnation of each node, if any.
        window: range of the nodes' start times in seconds.
        member_type: the class of the members.
    """

    neighbours: int = 3
    cached_list: ListSnapshot | None = None
    window: tuple[float, float] = (0.0, 1.0)
    member_type: type[Member] = Member


class _FirstResult:
    """Reports only the first of several possible results of a request."""

    def __init__(self, report: Callable[[Event], None]) -> None:
        self._report = report
        self._reported = False

    def __call__(self, event: Event | None) -> None:
        if event and not self._reported:
            self._reported = True
            self._report(event)


def _no_cut(_source: str, _target: str) -> bool:
    """Return False: no link is cut."""
    return False


def _timeout_event(action: Action) -> Event | None:
    """Return the event for a timed out request to the list service; None if it has no timeout."""
    match action:
        case ReadList():
            return ListServiceFailed(ListOperation.READ)
        case RegisterSelf():
            return ListServiceFailed(ListOperation.REGISTER)
        case RenewLease():
            return ListServiceFailed(ListOperation.RENEW)
        case WatchList():
            return WatchLost()
    return None


class MembershipSimulation(VirtualClock):
    """Nodes, links and the list service on one virtual clock.

    Attributes:
        random: the source of all random delays and of the members' seeds.
        settings: the membership settings of all nodes.
        service: the list service.
        fleet_start: how the fleet starts.
        members: the members of running nodes, by address.
        wakes: the next time at which a member is woken, by address.
        suspended: addresses of nodes whose process is suspended.
        is_cut: tells whether the link from a source to a target, each an address or `SERVICE`, is cut.
        peer_polls: number of polls of each peer, by address.
        peer_entries_sent: number of list entries that peers sent each other.
        listed_at: time of the first registration since a node's last start, by address.
        known_at: time at which a node first reported a changed list, by address.
        started: time of the last start, by address.
        identities: the identities of all nodes, by address.
        neighbours: addresses that all nodes know from their operator configuration.
    """

    def __init__(
        self, count: int, settings: MemberSettings, seed: int, service: SimulatedListService,
        start: FleetStart | None = None,
    ) -> None:  # fmt: skip
        super().__init__()
        self.random = Random(seed)
        self.settings = settings
        self.service = service
        self.fleet_start = start or FleetStart()
        self.members: dict[str, Member] = {}
        self.wakes: dict[str, float] = {}
        self.suspended: set[str] = set()
        self.is_cut: Callable[[str, str], bool] = _no_cut
        self.peer_polls: Counter[str] = Counter()
        self.peer_entries_sent = 0
        self.listed_at: dict[str, float] = {}
        self.known_at: dict[str, float] = {}
        self.started: dict[str, float] = {}
        identities = [NodeIdentity(f"n{n:05}", f"z{n % ZONES}", "r", f"an{n:05}") for n in range(count)]
        self.identities = {identity.address: identity for identity in identities}
        self.neighbours = [identity.address for identity in identities[: self.fleet_start.neighbours]]
        for identity in identities:
            begin = partial(self.start_node, identity.address, self.fleet_start.cached_list)
            self.at(self.random.uniform(*self.fleet_start.window), begin)
        self._expire()

    def delay(self) -> float:
        """Return a random one-way delay of a message."""
        return self.random.uniform(MIN_DELAY_S, MAX_DELAY_S)

    # Nodes

    def start_node(self, address: str, cached_list: ListSnapshot | None = None) -> None:
        """Start a node; its only state is its cached list, if any."""
        self.started[address] = self.now
        self.listed_at.pop(address, None)
        random = Random(self.random.random())
        neighbours = [peer for peer in self.neighbours if peer != address]
        start = MemberStart(self.now, self.now, neighbours, cached_list)
        member = self.fleet_start.member_type(self.settings, self.identities[address], random, start)
        self.members[address] = member
        self.wakes.pop(address, None)
        self.deliver(address, member, NodeReady())

    def kill(self, address: str) -> None:
        """Kill a node; its lease is not revoked and expires."""
        self.members.pop(address, None)
        self.service.watchers.pop(address, None)

    def deliver(self, address: str, member: Member, event: Event) -> None:
        """Deliver an event to a member.

        The event is delayed while the process is suspended and dropped if the node was killed or restarted.
        """
        if self.members.get(address) is not member:
            return
        if address in self.suspended:
            self.after(SUSPENDED_RETRY_S, lambda: self.deliver(address, member, event))
            return
        self.execute_actions(address, member, member.on(self.now, event))

    def execute_actions(self, address: str, member: Member, actions: list[Action]) -> None:
        """Execute the actions of a member."""
        for action in actions:
            match action:
                case PollPeer():
                    self.poll_peer(address, member, action)
                case ListChanged():
                    self.known_at.setdefault(address, self.now)
                case _:
                    self.request_service(address, member, action)
        self.schedule_wake(address, member)

    def schedule_wake(self, address: str, member: Member) -> None:
        """Schedule the next wake-up of a member."""
        due = max(member.next_wake(), self.now)
        if due < self.wakes.get(address, float("inf")):
            self.wakes[address] = due
            self.at(due, lambda: self.wake(address, member, due))

    def wake(self, address: str, member: Member, due: float) -> None:
        """Wake a member, unless it was killed, restarted or rescheduled meanwhile."""
        if self.members.get(address) is not member or self.wakes.get(address) != due:
            return
        if address in self.suspended:
            self.wakes[address] = self.now + SUSPENDED_RETRY_S
            self.after(SUSPENDED_RETRY_S, lambda: self.wake(address, member, self.wakes[address]))
            return
        del self.wakes[address]
        self.execute_actions(address, member, member.wake(self.now))

    # Links

    def poll_peer(self, address: str, member: Member, action: PollPeer) -> None:
        """A poll of one node by another."""
        self.peer_polls[action.peer] += 1
        report = _FirstResult(partial(self.deliver, address, member))
        self.after(self.delay(), lambda: self._answer_poll(address, action, report))
        self.after(PEER_TIMEOUT_S, lambda: report(PeerFailed(action.peer)))

    def _answer_poll(self, address: str, poll: PollPeer, report: _FirstResult) -> None:
        polled = self.members.get(poll.peer)
        if polled is None or poll.peer in self.suspended or self.is_cut(address, poll.peer):
            return
        self.deliver(poll.peer, polled, PolledByPeer(address))
        snapshot = polled.endpoint_list.snapshot(self.now, poll.since)
        self.peer_entries_sent += len(snapshot.items) + len(snapshot.removed)
        contacts = polled.peers.sample_contacts(CONTACTS_PER_ANSWER)
        if not self.is_cut(poll.peer, address):
            event = PeerAnswered(poll.peer, snapshot, True, contacts)
            self.after(self.delay(), lambda: report(event))

    def request_service(self, address: str, member: Member, action: Action) -> None:
        """Send a request to the list service, which counts it on arrival and answers in queue order."""
        report = _FirstResult(partial(self.deliver, address, member))
        self.after(self.delay(), lambda: self._reach_service(address, member, action, report))
        if failure := _timeout_event(action):
            self.after(SERVICE_TIMEOUT_S, lambda: report(failure))

    def _reach_service(self, address: str, member: Member, action: Action, report: _FirstResult) -> None:
        if self.is_cut(address, SERVICE):
            return
        requests = REQUESTS_PER_REGISTRATION if isinstance(action, RegisterSelf) else 1
        self.service.count_request(self.now, type(action).__name__, requests)
        if self.service.up:
            served_at = self.service.enqueue(self.now, requests)
            self.at(served_at, lambda: self._serve(address, member, action, report))

    def _serve(self, address: str, member: Member, action: Action, report: _FirstResult) -> None:
        if not self.service.up:
            return
        event = self.answer(address, member, action)
        if not self.is_cut(SERVICE, address):
            self.after(self.delay(), lambda: report(event))

    # The list service

    def answer(self, address: str, member: Member, action: Action) -> Event | None:
        """Execute a request at the list service and return its answer."""
        service = self.service
        match action:
            case ReadList():
                return ListReadCompleted(service.store, service.revision, service.read())
            case RegisterSelf():
                identity = member.identity
                lease_id = service.register(self.now, identity.key, identity.address, action.ttl)
                self.listed_at.setdefault(address, self.now)
                return SelfRegistered(lease_id, action.ttl)
            case RenewLease():
                return LeaseRenewalAnswered(lease_lost=not service.renew(self.now, action.lease_id))
            case WatchList():
                return self._open_watch(address, member, action)
            case StopWatch():
                service.watchers.pop(address, None)
            case DeregisterSelf():
                service.revoke(action.lease_id)
        return None

    def _open_watch(self, address: str, member: Member, action: WatchList) -> Event:
        service = self.service
        store = service.store

        def notify(revision: int, put: Mapping[str, Endpoint], removed: tuple[str, ...]) -> None:
            """Send a watch event to the member."""
            event = WatchEventReceived(store, revision, put, removed)
            if not self.is_cut(SERVICE, address):
                self.after(self.delay(), lambda: self.deliver(address, member, event))

        def report_progress() -> None:
            """Send a progress notification at each interval while the watch is open."""
            if service.watchers.get(address) is notify:
                if service.up and not self.is_cut(address, SERVICE):
                    service.count_request(self.now, "Progress")
                    notify(service.revision, {}, ())
                self.after(PROGRESS_INTERVAL_S, report_progress)

        service.watchers[address] = notify
        self.after(PROGRESS_INTERVAL_S, report_progress)
        put, removed = service.changes_after(action.after_revision)
        return WatchEventReceived(store, service.revision, put, removed)

    def _expire(self) -> None:
        if self.service.up:
            self.service.expire(self.now)
        self.after(EXPIRY_INTERVAL_S, self._expire)

    # Checks

    def converged(self) -> bool:
        """Return whether the list of every running node contains exactly the running nodes."""
        running = {self.identities[address].key for address in self.members}
        return all(member.fleet.nodes.positions.keys() == running for member in self.members.values())
