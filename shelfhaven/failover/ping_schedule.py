"""Schedules a node's pings, tracks those that are pending, and measures the reachability of the zones.

A node pings one other node per period, whatever the fleet's size. A node whose pings are rarely answered
considers itself unhealthy and waits longer for answers (Lifeguard's local health multiplier).
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from shelfhaven.failover.digest_table import DigestTable
from shelfhaven.failover.load_digest import MAX_ZONES
from shelfhaven.failover.members import MemberList
from shelfhaven.failover.settings import GossipSettings

MAX_MISSES = 8.0  # upper bound of the decaying count of unanswered pings
SUSPECT_PINGS_FRACTION = 0.5  # of pings go to suspects with a quorum against them: an answer clears a suspect
OTHER_ZONES_FRACTION = 0.7  # of pings go to other zones, because failover depends on their reachability


@dataclass(slots=True)
class PendingPing:
    """A ping that has not been answered yet."""

    ping_id: int
    name: str
    zone: str
    address: str
    sent_at: float
    due_at: float  # when its timeout expires
    relayed: bool = False  # whether relays were asked to ping the node


class PingSchedule:
    """The pings that one node sends, and the reachability that they measure."""

    def __init__(
        self, settings: GossipSettings, members: MemberList, own_zone: str, now: float, random: Random
    ) -> None:
        self.settings = settings
        self.members = members
        self.own_zone = own_zone
        self.random = random
        self.pending: dict[int, PendingPing] = {}  # by ping id
        self.next_ping_at = now + random.random() * settings.ping_interval
        self.reachability: dict[str, float] = {}  # by zone: moving average of the fraction of pings answered
        self.misses = 0.0  # decaying count of unanswered pings; the more, the less healthy this node is

    def next_wake(self) -> float:
        """The time at which the next ping must be sent or a pending one becomes overdue."""
        return min([self.next_ping_at, *(ping.due_at for ping in self.pending.values())])

    def overdue(self, now: float) -> list[PendingPing]:
        """The pending pings whose timeout has expired."""
        return [ping for ping in self.pending.values() if now >= ping.due_at]

    def schedule_next(self, now: float) -> None:
        """Set the time of the next ping. Periods vary at random, so that nodes do not ping in step."""
        self.next_ping_at = now + self.settings.ping_interval * (0.75 + 0.5 * self.random.random())

    def start_ping(self, now: float, ping_id: int, name: str) -> PendingPing:
        """Record that a ping is sent to a node, and return it."""
        location = self.members.locations[name]
        ping = PendingPing(ping_id, name, location.zone, location.address, now, now + self._timeout())
        self.pending[ping_id] = ping
        return ping

    def await_relays(self, now: float, ping: PendingPing) -> None:
        """Extend a ping's timeout after relays were asked to ping the node, which takes two round trips."""
        ping.relayed = True
        ping.due_at = now + 2 * self._timeout()

    def record_ack(self, ping_id: int) -> None:
        """Record the answer to a ping; an answer to a ping that is not pending is ignored."""
        if ping := self.pending.pop(ping_id, None):
            self.misses *= self.settings.history_weight
            self._update_reachability(ping.zone, 1.0)

    def record_miss(self, ping: PendingPing) -> None:
        """Record that a ping was not answered."""
        del self.pending[ping.ping_id]
        self.misses = min(MAX_MISSES, self.misses * self.settings.history_weight + 1.0)
        self._update_reachability(ping.zone, 0.0)

    def forget_unlisted_zones(self) -> None:
        """Drop the reachability of zones that are no longer listed."""
        listed = self.members.by_zone
        self.reachability = {zone: fraction for zone, fraction in self.reachability.items() if zone in listed}

    def rounded_reachability(self) -> dict[str, float]:
        """The reachability by zone, rounded as in a digest."""
        reported = list(self.reachability.items())[:MAX_ZONES]
        return {zone: round(fraction, 2) for zone, fraction in reported}

    def choose_target(self, suspects: Sequence[str]) -> str | None:
        """Choose at random the node to ping next; None if there is none.

        If suspects are given, the target is one of them. Otherwise other zones are preferred over the node's
        own, and each of them is equally likely whatever its size.
        """
        members, random = self.members, self.random
        if suspects:
            return random.choice(suspects)
        zone = self.own_zone
        zones = [other for other in members.by_zone if other != zone]
        if zones and (zone not in members.by_zone or random.random() < OTHER_ZONES_FRACTION):
            zone = random.choice(zones)
        names = members.by_zone.get(zone)
        return random.choice(names) if names else None

    def choose_relays(self, now: float, target: str, table: DigestTable) -> list[str]:
        """Choose at random nodes to ping the target on this node's behalf, and return their addresses.

        They have fresh digests, are not suspected and, if possible, are in other zones than the target.
        """
        digests = [
            peer.digest for name, peer in table.peers.items()
            if name != target and name in self.members and not peer.votes and table.is_fresh(now, peer)
        ]  # fmt: skip
        target_zone = self.members.zone_of(target)
        candidates = [digest for digest in digests if digest.zone != target_zone] or digests
        chosen = self.random.sample(candidates, min(self.settings.relay_count, len(candidates)))
        return [self.members.address_of(digest.name) for digest in chosen]

    def prefers_suspect(self) -> bool:
        """Draw at random whether the next ping goes to a suspect with a quorum, if there is one."""
        return self.random.random() < SUSPECT_PINGS_FRACTION

    def _timeout(self) -> float:
        return self.settings.ping_timeout * (1.0 + self.misses)

    def _update_reachability(self, zone: str, latest: float) -> None:
        previous = self.reachability.get(zone, latest)
        self.reachability[zone] = latest + self.settings.history_weight * (previous - latest)
