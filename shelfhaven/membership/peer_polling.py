"""Schedule of a node's polls of its peers for the endpoint list.

A node polls a few peers at its start, then one per poll interval for the changes. Most polls go to nodes on
the list, in two tiers: a few relays poll the nodes that watch the list service, and all other nodes poll the
relays. A change thus reaches every node over two hops, and no node is polled by more than a few. Some polls
go to peers that are not on the list, because the list may be that of another fleet. This module does no I/O
and reads no clock.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Sequence

from shelfhaven.membership.endpoint_registry import NODE_KEY_PREFIX, address_of
from shelfhaven.membership.fleet_view import FleetView
from shelfhaven.membership.list_version import ListVersion
from shelfhaven.membership.messages import PeerAnswered, PeerFailed, PollPeer

INITIAL_POLLS = 3  # peers polled at once at the start
MAX_POLLS_PER_PEER_PER_S = 20.0  # that a peer receives if the fleet knows only few peers
MAX_CONTACTS = 64  # peers remembered because they polled this node, answered it or were named by others
SEEKING_INTERVAL_FACTOR = 0.25  # multiplies the poll interval while the node has no list
INTERVAL_JITTER = 0.25  # maximum relative deviation of an interval, in both directions
UNLISTED_POLL_FRACTION = 0.25  # of all polls, for peers that are not on the list
ZONE_WATCHER_POLL_FRACTION = 0.5  # of the polls of listed peers, for zone watchers if there are any
NODES_PER_RELAY = 20  # nodes that poll one relay
MAX_DRAWS = 4  # random choices per poll until one can be polled
WARMTH_SAMPLES = 16  # latest answers, from which the cold fraction of the fleet is estimated


class PeerPolling:
    """State machine that selects the peers to poll and the time of each poll."""

    def __init__(self, fleet: FleetView, now: float, neighbours: Sequence[str]) -> None:
        self.fleet = fleet
        self.neighbours: list[str] = []
        self.set_neighbours(neighbours)
        self.contacts: OrderedDict[str, None] = OrderedDict()  # least recently seen first
        self.retry_at: dict[str, float] = {}  # of peers that asked to be polled later
        self.in_flight: set[str] = set()  # polled peers that have not answered yet
        self.warmth: deque[bool] = deque(maxlen=WARMTH_SAMPLES)
        self.due_at = now
        self._polled_before = False

    def set_neighbours(self, neighbours: Sequence[str]) -> None:
        """Replace the neighbours: the addresses of peers that the operator configuration names."""
        self.neighbours = [peer for peer in neighbours if peer != self.fleet.identity.address]

    def delay_first_poll(self, now: float) -> None:
        """Delay the first poll by a random time if the fleet could overload the neighbours otherwise."""
        interval = self._min_interval()
        if interval > 1.0:
            self.due_at = now + self.fleet.random.random() * interval

    # Knowledge of peers

    def cold_fraction(self) -> float:
        """Return the estimated cold fraction of the fleet, from the latest answers; 0 without any."""
        return 1.0 - sum(self.warmth) / len(self.warmth) if self.warmth else 0.0

    def sample_contacts(self, count: int) -> list[str]:
        """Return the addresses of a few random contacts, for the answer to a peer's poll."""
        known = list(self.contacts)
        return self.fleet.random.sample(known, min(count, len(known)))

    # Answers of peers

    def peer_answered(self, event: PeerAnswered) -> None:
        """Record the answer; remember the peer and the contacts that it named."""
        self.in_flight.discard(event.peer)
        self.warmth.append(event.warm)
        self.remember(event.peer)
        for contact in event.contacts:
            self.remember(contact)

    def peer_failed(self, now: float, event: PeerFailed) -> None:
        """Forget the peer, or do not poll it again before the time that it asked for."""
        self.in_flight.discard(event.peer)
        if event.retry_after:
            self.retry_at[event.peer] = now + event.retry_after
        else:
            self.contacts.pop(event.peer, None)

    def remember(self, peer: str) -> None:
        """Remember a reachable peer; beyond the limit the least recently seen is forgotten."""
        if not peer or peer == self.fleet.identity.address:
            return
        self.contacts[peer] = None
        self.contacts.move_to_end(peer)
        while len(self.contacts) > MAX_CONTACTS:
            self.contacts.popitem(last=False)

    # Polls

    def poll_complete_list(self, peer: str) -> PollPeer:
        """Poll a peer for its complete list because its changes do not apply to this node's list."""
        self.in_flight.add(peer)
        return PollPeer(peer, ListVersion())

    def due_polls(self, now: float, seeking: bool) -> list[PollPeer]:
        """Return the polls that are due; `seeking` tells whether the node has no list yet."""
        if now < self.due_at:
            return []
        count = 1 if self._polled_before else INITIAL_POLLS
        self._polled_before = True
        interval = self.fleet.settings.poll_interval * (SEEKING_INTERVAL_FACTOR if seeking else 1.0)
        interval = max(interval, self._min_interval())
        self.due_at = now + interval * (1 + INTERVAL_JITTER * (2 * self.fleet.random.random() - 1))
        chosen: list[str] = []
        for _ in range(count):
            if peer := self._draw_peer(now):
                chosen.append(peer)
                self.in_flight.add(peer)
        return [PollPeer(peer, self.fleet.endpoint_list.version) for peer in chosen]

    def _min_interval(self) -> float:
        """Return the poll interval at which no peer receives more than `MAX_POLLS_PER_PEER_PER_S`.

        This assumes that all nodes of the fleet poll only the peers that this node knows.
        """
        known = max(1, len(self.fleet.nodes) + len(self.neighbours) + len(self.contacts))
        return self.fleet.size() / (known * MAX_POLLS_PER_PEER_PER_S)

    def _upstream_count(self) -> int:
        """Return how many of the highest-ranked nodes this node polls.

        A relay polls the watchers, any other node the relays.
        """
        watcher_count = self.fleet.settings.watcher_count
        relay_count = max(watcher_count, len(self.fleet.nodes) // NODES_PER_RELAY)
        is_relay = self.fleet.nodes.is_among_first(self.fleet.identity.key, relay_count)
        return watcher_count if is_relay else relay_count

    def _draw_peer(self, now: float) -> str | None:
        """Return a random peer from the list, the contacts or the neighbours; None if none can be polled."""
        self.retry_at = {peer: retry_at for peer, retry_at in self.retry_at.items() if retry_at > now}
        unlisted = [candidates for candidates in (list(self.contacts), self.neighbours) if candidates]
        use_list = bool(self.fleet.nodes) and self.fleet.random.random() >= UNLISTED_POLL_FRACTION
        upstream_count = self._upstream_count()
        for attempt in range(MAX_DRAWS):
            peer: str | None = None
            if use_list and attempt == 0:
                peer = self._draw_zone_watcher()
            if peer is None and (use_list or not unlisted):
                first_count = upstream_count if attempt == 0 else None
                peer = self.fleet.nodes.random_address(
                    self.fleet.random, self.fleet.endpoint_list.items, first_count
                )
            if peer is None and unlisted:
                peer = self.fleet.random.choice(self.fleet.random.choice(unlisted))
            if peer and self._can_poll(peer):
                return peer
        return None

    def _draw_zone_watcher(self) -> str | None:
        """Return a random zone watcher, preferably of this node's zone; None by chance or without any."""
        items = self.fleet.endpoint_list.items
        watchers = sorted(key for key in self.fleet.zone_watchers if key in items)
        if not watchers or self.fleet.random.random() >= ZONE_WATCHER_POLL_FRACTION:
            return None
        prefix = f"{NODE_KEY_PREFIX}{self.fleet.identity.zone}/"
        same_zone = [key for key in watchers if key.startswith(prefix)]
        return address_of(items[self.fleet.random.choice(same_zone or watchers)].value)

    def _can_poll(self, peer: str) -> bool:
        if peer == self.fleet.identity.address:
            return False
        return peer not in self.in_flight and peer not in self.retry_at
