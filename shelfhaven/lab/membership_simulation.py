"""Simulation of a fleet's membership in virtual time: the real `Member` of each of up to thousands of nodes.

The links and the list service are simulated; members receive events alone, and the scenario controls
the links. All figures from here are simulated ones: no sockets, no processes, no CPU time.
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

SERVICE = "service"  # the list service's name as an end of a link
PROGRESS_INTERVAL_S = 5.0  # as in a node
MIN_DELAY_S, MAX_DELAY_S = 0.0005, 0.004  # of a message, one way
PEER_TIMEOUT_S = 1.0
SERVICE_TIMEOUT_S = 2.0
PAUSED_RETRY_S = 0.1  # after which an event for a suspended process is tried again
EXPIRY_INTERVAL_S = 0.25  # between looks of the list service at its leases
CONTACTS_PER_ANSWER = 4
REQUESTS_PER_REGISTRATION = 2  # a lease grant and a put
ZONES = 3


@dataclass(frozen=True, slots=True)
class FleetStart:
    """How a simulated fleet starts."""

    neighbours: int = 3  # nodes that all others know from their files
    cached_list: ListSnapshot | None = None  # of an earlier incarnation
    window: tuple[float, float] = (0.0, 1.0)  # seconds within which the nodes start
    member_type: type[Member] = Member


class _OneReport:
    """Reports the first of several possible results of a request, and no other."""

    def __init__(self, report: Callable[[Event], None]) -> None:
        self._report = report
        self._reported = False

    def __call__(self, event: Event | None) -> None:
        if event and not self._reported:
            self._reported = True
            self._report(event)


def _no_cut(_source: str, _target: str) -> bool:
    """All links work."""
    return False


def _failure_of(action: Action) -> Event | None:
    """The event if the list service does not answer a request in time, None where nobody waits for it."""
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
    """Nodes, links and the list service on one clock."""

    def __init__(
        self, count: int, settings: MemberSettings, seed: int, service: SimulatedListService,
        start: FleetStart | None = None,
    ) -> None:  # fmt: skip
        super().__init__()
        self.random = Random(seed)
        self.settings = settings
        self.service = service
        self.fleet_start = start or FleetStart()
        self.members: dict[str, Member] = {}  # by address, those that run
        self.wakes: dict[str, float] = {}  # by address, when the member is next woken
        self.stopped: set[str] = set()  # addresses whose process is suspended
        self.cut: Callable[[str, str], bool] = _no_cut  # from, to: addresses, or SERVICE
        self.peer_polls: Counter[str] = Counter()
        self.peer_entries_sent = 0  # between peers
        self.listed_at: dict[str, float] = {}
        self.known_at: dict[str, float] = {}
        self.started: dict[str, float] = {}
        identities = [NodeIdentity(f"n{n:05}", f"z{n % ZONES}", "r", f"an{n:05}") for n in range(count)]
        self.identities = {identity.address: identity for identity in identities}
        self.neighbours = [identity.address for identity in identities[: self.fleet_start.neighbours]]
        for identity in identities:
            begin = partial(self.begin, identity.address, self.fleet_start.cached_list)
            self.at(self.random.uniform(*self.fleet_start.window), begin)
        self._expire()

    def delay(self) -> float:
        """The delay of a message, one way."""
        return self.random.uniform(MIN_DELAY_S, MAX_DELAY_S)

    # Nodes

    def begin(self, address: str, cached_list: ListSnapshot | None = None) -> None:
        """Start a node, with nothing but its cached list."""
        self.started[address] = self.now
        self.listed_at.pop(address, None)
        random = Random(self.random.random())
        neighbours = [peer for peer in self.neighbours if peer != address]
        start = MemberStart(self.now, self.now, neighbours, cached_list)
        member = self.fleet_start.member_type(self.settings, self.identities[address], random, start)
        self.members[address] = member
        self.wakes.pop(address, None)
        self.tell(address, member, NodeReady())

    def kill(self, address: str) -> None:
        """End a node; its lease ends by itself."""
        self.members.pop(address, None)
        self.service.watchers.pop(address, None)

    def tell(self, address: str, member: Member, event: Event) -> None:
        """Give a member an event, later if its process is suspended, and not at all if it was restarted."""
        if self.members.get(address) is not member:
            return
        if address in self.stopped:
            self.after(PAUSED_RETRY_S, lambda: self.tell(address, member, event))
            return
        self.carry_out(address, member, member.on(self.now, event))

    def carry_out(self, address: str, member: Member, actions: list[Action]) -> None:
        """Carry out an action of a member."""
        for action in actions:
            match action:
                case PollPeer():
                    self.poll_peer(address, member, action)
                case ListChanged():
                    self.known_at.setdefault(address, self.now)
                case _:
                    self.request_service(address, member, action)
        self.plan_wake(address, member)

    def plan_wake(self, address: str, member: Member) -> None:
        """Wake a member when something is due."""
        due = max(member.next_wake(), self.now)
        if due < self.wakes.get(address, float("inf")):
            self.wakes[address] = due
            self.at(due, lambda: self.wake(address, member, due))

    def wake(self, address: str, member: Member, due: float) -> None:
        """Wake a member, unless it was woken or restarted meanwhile."""
        if self.members.get(address) is not member or self.wakes.get(address) != due:
            return
        if address in self.stopped:
            self.wakes[address] = self.now + PAUSED_RETRY_S
            self.after(PAUSED_RETRY_S, lambda: self.wake(address, member, self.wakes[address]))
            return
        del self.wakes[address]
        self.carry_out(address, member, member.wake(self.now))

    # Links

    def poll_peer(self, address: str, member: Member, action: PollPeer) -> None:
        """A poll of one node by another."""
        self.peer_polls[action.peer] += 1
        report = _OneReport(partial(self.tell, address, member))
        self.after(self.delay(), lambda: self._answer_poll(address, action, report))
        self.after(PEER_TIMEOUT_S, lambda: report(PeerFailed(action.peer)))

    def _answer_poll(self, address: str, poll: PollPeer, report: _OneReport) -> None:
        polled = self.members.get(poll.peer)
        if polled is None or poll.peer in self.stopped or self.cut(address, poll.peer):
            return
        self.tell(poll.peer, polled, PolledByPeer(address))
        snapshot = polled.endpoint_list.snapshot(self.now, poll.since)
        self.peer_entries_sent += len(snapshot.items) + len(snapshot.removed)
        contacts = polled.peers.sample_contacts(CONTACTS_PER_ANSWER)
        if not self.cut(poll.peer, address):
            event = PeerAnswered(poll.peer, snapshot, True, contacts)
            self.after(self.delay(), lambda: report(event))

    def request_service(self, address: str, member: Member, action: Action) -> None:
        """A request to the list service: counted on arrival, answered in the order of the queue."""
        report = _OneReport(partial(self.tell, address, member))
        self.after(self.delay(), lambda: self._reach_service(address, member, action, report))
        if failure := _failure_of(action):
            self.after(SERVICE_TIMEOUT_S, lambda: report(failure))

    def _reach_service(self, address: str, member: Member, action: Action, report: _OneReport) -> None:
        if self.cut(address, SERVICE):
            return
        requests = REQUESTS_PER_REGISTRATION if isinstance(action, RegisterSelf) else 1
        self.service.count_request(self.now, type(action).__name__, requests)
        if self.service.up:
            served_at = self.service.enqueue(self.now, requests)
            self.at(served_at, lambda: self._serve(address, member, action, report))

    def _serve(self, address: str, member: Member, action: Action, report: _OneReport) -> None:
        if not self.service.up:
            return
        event = self.answer(address, member, action)
        if not self.cut(SERVICE, address):
            self.after(self.delay(), lambda: report(event))

    # The list service

    def answer(self, address: str, member: Member, action: Action) -> Event | None:
        """Execute a request at the list service; returns its answer."""
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
            if not self.cut(SERVICE, address):
                self.after(self.delay(), lambda: self.tell(address, member, event))

        def report_progress() -> None:
            """Send a progress notification at each interval while the watch is open."""
            if service.watchers.get(address) is notify:
                if service.up and not self.cut(address, SERVICE):
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
        """Whether every running node knows exactly the nodes that run."""
        running = {self.identities[address].key for address in self.members}
        return all(member.fleet.nodes.positions.keys() == running for member in self.members.values())
