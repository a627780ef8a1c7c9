"""Which peers a node polls for the endpoint list, and when.

A few peers are polled at the start, then one every so often for what has changed. Most polls go to nodes on
the list, in two tiers: nodes that watch the list service are polled by a few relays, and the relays by all
others, so that a change reaches everybody over two hops and nobody is polled by more than a few. Some polls
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

FIRST_POLLS = 3  # peers that are polled at once at the start
ANSWERS_PER_S = 20.0  # that a peer gives to nodes that know no other
MAX_CONTACTS = 64  # remembered peers that polled this node or were named by others
SEEKING_INTERVAL_FACTOR = 0.25  # of the poll interval, while there is no list
INTERVAL_JITTER = 0.25  # fraction by which the interval is drawn longer or shorter
UNLISTED_POLL_FRACTION = 0.25  # of polls go to peers that are not on the list
ZONE_WATCHER_POLL_FRACTION = 0.5  # of polls of listed peers go to the watchers of zones, if there are any
NODES_PER_RELAY = 20  # that poll one relay
MAX_DRAWS = 4  # attempts to draw a peer that can be polled
WARMTH_SAMPLES = 16  # last answers from which the cold fraction of the fleet is estimated


class PeerPolling:
    """State machine of one node's polls of its peers."""

    def __init__(self, fleet: FleetView, now: float, neighbours: Sequence[str]) -> None:
        self.fleet = fleet
        self.neighbours: list[str] = []
        self.set_neighbours(neighbours)
        self.contacts: OrderedDict[str, None] = OrderedDict()  # the oldest first
        self.retry_at: dict[str, float] = {}  # of peers that are to be polled later
        self.in_flight: set[str] = set()  # peers that have not answered yet
        self.warmth: deque[bool] = deque(maxlen=WARMTH_SAMPLES)
        self.due_at = now
        self._polled_before = False

    def set_neighbours(self, neighbours: Sequence[str]) -> None:
        """Use these addresses of neighbours, which the operator's file names."""
        self.neighbours = [peer for peer in neighbours if peer != self.fleet.identity.address]

    def spread_first_poll(self, now: float) -> None:
        """Delay the first poll where too many nodes would come to the neighbours at once."""
        interval = self._min_interval()
        if interval > 1.0:
            self.due_at = now + self.fleet.random.random() * interval

    # What is known of peers

    def cold_fraction(self) -> float:
        """The fraction of the fleet that is cold, from the last peers heard; 0 while none was."""
        return 1.0 - sum(self.warmth) / len(self.warmth) if self.warmth else 0.0

    def some_contacts(self, count: int) -> list[str]:
        """Addresses of a few peers, for another node that polls this one."""
        known = list(self.contacts)
        return self.fleet.random.sample(known, min(count, len(known)))

    # What peers answer

    def peer_answered(self, event: PeerAnswered) -> None:
        """Remember the peer and whom it knows."""
        self.in_flight.discard(event.peer)
        self.warmth.append(event.warm)
        self.remember(event.peer)
        for contact in event.contacts:
            self.remember(contact)

    def peer_failed(self, now: float, event: PeerFailed) -> None:
        """Forget the peer, or leave it alone for as long as it asked for."""
        self.in_flight.discard(event.peer)
        if event.retry_after:
            self.retry_at[event.peer] = now + event.retry_after
        else:
            self.contacts.pop(event.peer, None)

    def remember(self, peer: str) -> None:
        """Remember a peer that is there; the oldest is forgotten."""
        if not peer or peer == self.fleet.identity.address:
            return
        self.contacts[peer] = None
        self.contacts.move_to_end(peer)
        while len(self.contacts) > MAX_CONTACTS:
            self.contacts.popitem(last=False)

    # Polls

    def poll_complete_list(self, peer: str) -> PollPeer:
        """Poll a peer again whose changes do not fit this node's list."""
        self.in_flight.add(peer)
        return PollPeer(peer, ListVersion())

    def due_polls(self, now: float, seeking: bool) -> list[PollPeer]:
        """The polls that are due; `seeking`: the node has no list yet."""
        if now < self.due_at:
            return []
        count = 1 if self._polled_before else FIRST_POLLS
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
        """Seconds between polls of each node that a few peers bear whom the whole fleet knows alone."""
        known = max(1, len(self.fleet.nodes) + len(self.neighbours) + len(self.contacts))
        return self.fleet.size() / (known * ANSWERS_PER_S)

    def _upstream_count(self) -> int:
        """How many of the first by rank this node polls: the watchers if it is a relay, else the relays."""
        watcher_count = self.fleet.settings.watcher_count
        relay_count = max(watcher_count, len(self.fleet.nodes) // NODES_PER_RELAY)
        is_relay = self.fleet.nodes.is_among_first(self.fleet.identity.key, relay_count)
        return watcher_count if is_relay else relay_count

    def _draw_peer(self, now: float) -> str | None:
        """A random peer: from the list, else from those that were met, else from the neighbours."""
        self.retry_at = {peer: until for peer, until in self.retry_at.items() if until > now}
        unlisted = [pool for pool in (list(self.contacts), self.neighbours) if pool]
        use_list = bool(self.fleet.nodes) and self.fleet.random.random() >= UNLISTED_POLL_FRACTION
        upstream_count = self._upstream_count()
        for attempt in range(MAX_DRAWS):
            peer: str | None = None
            if use_list and attempt == 0:
                peer = self._draw_zone_watcher()
            if peer is None and (use_list or not unlisted):
                first = upstream_count if attempt == 0 else None
                peer = self.fleet.nodes.random_address(
                    self.fleet.random, self.fleet.endpoint_list.items, first
                )
            if peer is None and unlisted:
                peer = self.fleet.random.choice(self.fleet.random.choice(unlisted))
            if peer and self._can_poll(peer):
                return peer
        return None

    def _draw_zone_watcher(self) -> str | None:
        """With some probability a node that watches for its zone, this node's own zone first."""
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
