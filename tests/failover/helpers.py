"""Helpers for the failover tests: a group of gossiping nodes, and a simulated fleet with a controller."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random

from shelfhaven.failover.aggregation import ZoneSummary
from shelfhaven.failover.controller import FailoverController
from shelfhaven.failover.gossip import Action, Gossip, Send
from shelfhaven.failover.load_digest import ClassLoad, LoadDigest, Message
from shelfhaven.failover.members import MemberLocation
from shelfhaven.failover.settings import FailoverSettings, GossipSettings
from shelfhaven.failover.traffic_policy import TrafficPolicy
from shelfhaven.routing.locality import LocalityRouter, LocalitySettings

SECRET = b"a secret of the tests"


class GossipGroup:
    """Gossiping nodes whose messages are delivered immediately, unless `is_lost` drops them."""

    def __init__(self, zones: dict[str, str], **changes: float) -> None:
        self.now = 0.0
        settings = GossipSettings(**{"ping_interval": 0.5, "ping_timeout": 0.2, **changes})  # type: ignore[arg-type]
        self.nodes = {
            name: Gossip(settings, LoadDigest(name, zone, name, 1, capacity=10.0), 0.0, Random(number))
            for number, (name, zone) in enumerate(zones.items())
        }
        for node in self.nodes.values():
            node.update_members({name: MemberLocation(zone, name) for name, zone in zones.items()})
        self.stopped: set[str] = set()
        self.is_lost: Callable[[str, str], bool] = lambda sender, receiver: False
        self.messages: list[Message] = []

    def run(self, seconds: float) -> None:
        """Advance the time by a number of seconds."""
        until = self.now + seconds
        while self.now < until:
            self.now += 0.05
            for name, node in self.nodes.items():
                if name not in self.stopped and node.next_wake() <= self.now:
                    self.deliver(name, node.wake(self.now))
            for name, node in self.nodes.items():
                if name not in self.stopped and round(self.now / 0.05) % 10 == 0:
                    node.update_own_digest(node.own_digest)

    def deliver(self, name: str, actions: list[Action]) -> None:
        """Deliver the messages that a node sends, and those sent in response."""
        for action in actions:
            if isinstance(action, Send):
                self.messages.append(action.message)
                if self._delivers(name, action.address):
                    self.deliver(action.address, self.nodes[action.address].receive(self.now, action.message))

    def _delivers(self, sender: str, receiver: str) -> bool:
        reachable = receiver in self.nodes and receiver not in self.stopped
        return reachable and not self.is_lost(sender, receiver)


NINE_NODES = {f"{zone}{number}": zone for zone in "abc" for number in range(3)}


QUICK_SETTINGS = FailoverSettings(
    step_interval=2.0, evidence_time=1.0, recovery_delay=4.0, max_recovery_delay=64.0, rollout_window=30.0
)


REACHABILITY = {"a": {"b": 1.0, "c": 1.0}, "b": {"a": 1.0, "c": 1.0}, "c": {"a": 1.0, "b": 1.0}}


def class_loads(value_rate: float = 30.0, **failure_rates: float) -> dict[str, ClassLoad]:
    """Return the loads of a zone's classes.

    `look` makes up 60 % of the load, and its value rate is a tenth of that of `topup`.
    """
    loads = {"look": 36.0, "topup": 24.0}
    value_rates = {"look": value_rate / 10, "topup": value_rate}
    return {cls: ClassLoad(rate, loads[cls], value_rates[cls]) for cls, rate in failure_rates.items()}


class ControlledFleet:
    """Zone summaries of three zones, and a controller that decides every half second."""

    def __init__(self, **changes: float) -> None:
        self.controller = FailoverController(replace(QUICK_SETTINGS, **changes), dict.fromkeys("abcd", "r"))
        self.policy = TrafficPolicy()
        self.now = 0.0
        self.summaries = {
            zone: ZoneSummary(zone, 10, 10, 100.0, 60.0, reachability=REACHABILITY[zone]) for zone in "abc"
        }
        self.policies: list[tuple[float, TrafficPolicy]] = []

    def change(self, zone: str, **changes: object) -> None:
        """Change fields of a zone's summary."""
        self.summaries[zone] = replace(self.summaries[zone], **changes)  # type: ignore[arg-type]

    def run(self, seconds: float) -> None:
        """Advance the time by a number of seconds."""
        until = self.now + seconds
        while self.now < until:
            self.now += 0.5
            next_policy = self.controller.decide(self.now, self.policy, self.summaries)
            if next_policy is not None:
                assert next_policy.epoch == self.policy.epoch + 1
                assert next_policy.violations() == []
                self.policy = next_policy
                self.policies.append((self.now, next_policy))

    def lose(self, zone: str) -> None:
        """Make a zone unreachable for the others."""
        self.change(
            zone, known_nodes=0, capacity=0.0, load=0.0, reachability=dict.fromkeys(REACHABILITY[zone], 0.0)
        )

    def diverted(self, zone: str) -> float:
        """Return the diverted fraction of a zone's traffic."""
        return self.policy.zone_policy(zone).diverted_fraction


def local_router(**changes: float) -> LocalityRouter:
    """Return a router in zone a; zone b is in the same region, zone c in another."""
    return LocalityRouter(LocalitySettings(**changes), "a", Random(1), {"a": "r", "b": "r", "c": "s"})  # type: ignore[arg-type]
