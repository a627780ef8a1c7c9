"""The failover actor: sends one node's gossip over UDP and follows the traffic policy.

Owns the datagram socket, the timers and the tasks. `gossip.py` decides what is sent, `controller.py` and
`traffic_policy.py` decide where traffic goes. Requests never wait for this actor.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass

from shelfhaven.config import Address, parse_address
from shelfhaven.consensus.store import ConsensusError, ConsensusStore
from shelfhaven.failover.aggregation import ZoneSummary
from shelfhaven.failover.controller_task import read_policy
from shelfhaven.failover.gossip import Action, Gossip, NewerPolicyObserved, Send
from shelfhaven.failover.load_digest import LoadDigest
from shelfhaven.failover.load_figures import ActorCounter, ActorCounts, FailoverLoad
from shelfhaven.failover.members import MemberLocation
from shelfhaven.failover.node_view import NODE_VIEW_PATH, encode_node_view
from shelfhaven.failover.traffic_policy import PolicyFollower, TrafficPolicy, decode_policy, encode_policy
from shelfhaven.failover.wire import decode_message, encode_message
from shelfhaven.membership.peer_rpc import PeerRpc, PeerRpcError
from shelfhaven.membership.signed_datagram import JsonValue, seal, unseal
from shelfhaven.server.log import Log

MEASURE_INTERVAL = 0.5  # seconds between two load measurements of this node
STORE_READ_INTERVAL = 2.0  # seconds between two reads, on the nodes that read the consensus store
# The excess is dropped. A quorum replica receives a few datagrams for each run with an idempotency key.
MAX_DATAGRAMS_PER_SECOND = 5000
MIN_WAKE_DELAY = 0.002  # seconds; keeps an overdue timer from causing a busy loop
POLICY_PATH = "/zones"  # peers request the traffic policy here


class _DatagramProtocol(asyncio.DatagramProtocol):
    """Passes each datagram to a callback and logs socket errors."""

    def __init__(self, receive: Callable[[bytes], None], log: Log) -> None:
        self.receive = receive
        self.log = log

    def datagram_received(self, data: bytes, _addr: object) -> None:
        """Handle a datagram; its signature, not its source address, authenticates the sender."""
        self.receive(data)

    def error_received(self, exc: Exception) -> None:
        """Log that an earlier send failed, usually because nothing listens at its address."""
        self.log.event("datagram", error=str(exc))


class _RateLimit:
    """Limits the number of datagrams that are processed in each second of the clock."""

    def __init__(self, max_per_second: int) -> None:
        self.max_per_second = max_per_second
        self.second = 0
        self.received = 0

    def exceeded(self, now: float) -> bool:
        """Count a datagram and return whether it is over the limit of the current second."""
        second = int(now)
        if second != self.second:
            self.second = second
            self.received = 0
        self.received += 1
        return self.received > self.max_per_second


@dataclass(frozen=True, slots=True)
class FailoverEndpoint:
    """The addresses, keys and timeouts with which this node communicates with its peers."""

    listen: Address  # address of the datagram socket
    secret: bytes  # shared key that signs datagrams
    peer_rpc: PeerRpc
    rpc_timeout: float  # seconds


class FailoverActor:
    """Runs the gossip of one node and keeps its traffic policy current."""

    def __init__(
        self,
        endpoint: FailoverEndpoint,
        gossip: Gossip,
        measure: Callable[[LoadDigest], LoadDigest],
        log: Log,
    ) -> None:
        """Create an actor; `measure` returns the node's next load digest, given the previous one."""
        self.endpoint = endpoint
        self.gossip = gossip
        self.measure = measure
        self.log = log
        self.follower = PolicyFollower()
        self.policy_in_force: TrafficPolicy | None = None
        self.on_policy_change: Callable[[TrafficPolicy | None], None] = lambda _: None
        self.on_reservation_datagram: Callable[[JsonValue], None] = lambda _: None
        self.store: ConsensusStore | None = None
        self.reads_store = False  # only a few nodes read the store; the others learn the policy by gossip
        self.counts: Counter[ActorCounter] = Counter()  # since the last `load_now`
        self.bytes_sent = 0  # since the last `load_now`
        self._rate_limit = _RateLimit(MAX_DATAGRAMS_PER_SECOND)
        self._transport: asyncio.DatagramTransport | None = None
        self._wake_timer: asyncio.TimerHandle | None = None
        self._measure_timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._fetching_policy = False
        self._next_store_read = 0.0
        self._ended = False

    # Lifecycle

    async def start(self) -> None:
        """Open the socket, register the peer routes and start measuring and gossiping."""
        self.endpoint.peer_rpc.routes |= {POLICY_PATH: self._answer_policy, NODE_VIEW_PATH: self._answer_view}
        listen = self.endpoint.listen
        self._transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: _DatagramProtocol(self._receive, self.log), local_addr=(listen.host, listen.port)
        )
        self._measure()

    async def end(self) -> None:
        """Cancel all timers and tasks and close the socket; the actor cannot be started again."""
        self._ended = True
        for timer in (self._wake_timer, self._measure_timer):
            if timer:
                timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        if self._transport:
            self._transport.close()

    # Interface to the rest of the node

    def update_members(self, locations: Mapping[str, MemberLocation]) -> None:
        """Replace the gossip members by those of a new endpoint list."""
        self.gossip.update_members(locations)

    def zone_summaries(self) -> Mapping[str, ZoneSummary] | None:
        """Return the zone summaries as this node sees them; None while it considers itself unhealthy."""
        return self.gossip.zone_summaries(time.monotonic())

    def current_policy(self) -> TrafficPolicy:
        """Return the newest policy that this node has received, valid or expired."""
        return self.follower.policy

    def follow_policy(self, policy: TrafficPolicy) -> None:
        """Adopt a policy that was read from the store or a peer, or just written, if it is newer."""
        now = time.monotonic()
        previous = self.follower.policy
        if self.follower.accept(now, policy):
            self.gossip.policy_version = policy.version
            if policy.epoch != previous.epoch:
                self._log_followed(policy)
        self._update_in_force(now)

    def rejects_work(self) -> bool:
        """Return whether this node reports at its frontends that it takes no work."""
        own = self.gossip.own_digest
        return self.policy_in_force is not None and self.policy_in_force.diverts_node(own.name, own.zone)

    def load_now(self) -> FailoverLoad:
        """Return the figures for the log, and reset the counters."""
        counts: ActorCounts = {}
        for counter, count in self.counts.items():
            counts[counter] = count
        self.counts.clear()
        bytes_sent, self.bytes_sent = self.bytes_sent, 0
        return {
            **self.gossip.load_now(time.monotonic()),
            **counts,
            "bytes_sent": bytes_sent,
            "epoch": self.follower.policy.epoch,
            "in_force": self.policy_in_force is not None,
            "turns_away": self.rejects_work(),
        }

    def _log_followed(self, policy: TrafficPolicy) -> None:
        diverted = {
            zone: zone_policy for zone, zone_policy in policy.zones.items() if zone_policy.diverted_fraction
        }
        self.log.event(
            "zones_followed",
            epoch=policy.epoch,
            by=policy.decided_by,
            away={zone: round(zone_policy.diverted_fraction, 3) for zone, zone_policy in diverted.items()},
            by_hand=[zone for zone, zone_policy in diverted.items() if not zone_policy.automatic],
            loads={zone: round(zone_policy.load, 3) for zone, zone_policy in policy.zones.items()},
        )

    def _update_in_force(self, now: float) -> None:
        """Notify the listener when another policy takes effect or the current one expires."""
        policy_in_force = self.follower.policy_in_force(now)
        if policy_in_force is not self.policy_in_force:
            if policy_in_force is None:
                self.log.event("zones_over", epoch=self.follower.policy.epoch)
            self.policy_in_force = policy_in_force
            self.on_policy_change(policy_in_force)

    # Datagrams

    def send(self, to: str, raw: object) -> None:
        """Send a datagram without waiting for it; an invalid address is ignored."""
        try:
            address = parse_address(to)
        except ValueError:
            return
        data = seal(self.endpoint.secret, raw)
        self.bytes_sent += len(data)
        if self._transport and not self._transport.is_closing():
            self._transport.sendto(data, (address.host, address.port))

    def _receive(self, data: bytes) -> None:
        if self._rate_limit.exceeded(time.monotonic()):
            self.counts["dropped"] += 1
            return
        try:
            raw = unseal(self.endpoint.secret, data)
            if isinstance(raw, dict):  # a gossip message is a list
                self.on_reservation_datagram(raw)
            else:
                self._perform(self.gossip.receive(time.monotonic(), decode_message(raw)))
        except ValueError as error:
            self.counts["unreadable"] += 1
            self.log.event("datagram", error=str(error))

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send():
                    self.send(action.address, encode_message(action.message))
                case NewerPolicyObserved() if not self._fetching_policy:
                    self._fetching_policy = True
                    self._start_task(self._fetch_policy(action.address))
        self._set_wake_timer()

    def _set_wake_timer(self) -> None:
        if self._wake_timer:
            self._wake_timer.cancel()
        if not self._ended:
            delay = max(MIN_WAKE_DELAY, self.gossip.next_wake() - time.monotonic())
            self._wake_timer = asyncio.get_running_loop().call_later(delay, self._wake)

    def _wake(self) -> None:
        self._perform(self.gossip.wake(time.monotonic()))

    def _measure(self) -> None:
        now = time.monotonic()
        self.gossip.update_own_digest(self.measure(self.gossip.own_digest))
        self._update_in_force(now)
        if self.reads_store and self.store and now >= self._next_store_read:
            self._next_store_read = now + STORE_READ_INTERVAL
            self._start_task(self._read_store(self.store))
        if not self._ended:
            self._set_wake_timer()
            self._measure_timer = asyncio.get_running_loop().call_later(MEASURE_INTERVAL, self._measure)

    def _start_task(self, coroutine: Coroutine[object, object, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Exchange of policies and views

    async def _fetch_policy(self, peer: str) -> None:
        """Request the policy that a peer follows, and adopt it if it is newer."""
        rpc, own_address = self.endpoint.peer_rpc, self.gossip.own_digest.address
        try:
            answer = await rpc.post(peer, own_address, POLICY_PATH, b"{}", self.endpoint.rpc_timeout)
            self.follow_policy(decode_policy(answer))
        except (PeerRpcError, ValueError) as error:
            self.counts["unasked"] += 1
            self.log.event("peer_unanswered", peer=peer, path=POLICY_PATH, error=str(error))
        finally:
            self._fetching_policy = False

    async def _answer_policy(self, _: bytes) -> bytes:
        return encode_policy(self.follower.policy)

    async def _answer_view(self, _: bytes) -> bytes:
        summaries = self.zone_summaries()
        valid_for = max(0.0, self.follower.expires_at - time.monotonic())
        name = self.gossip.own_digest.name
        return encode_node_view(name, summaries, self.follower.policy.version, valid_for)

    async def _read_store(self, store: ConsensusStore) -> None:
        """Read the agreed policy from the store; gossip of its version lets the other nodes fetch it."""
        try:
            policy, revision = await read_policy(store)
            if revision:
                self.follow_policy(policy)
        except (ConsensusError, ValueError) as error:
            self.log.event("agreement", asked="zones", error=f"{type(error).__name__}: {error}")
