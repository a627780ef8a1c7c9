"""Fleets of processes in zones: nodes, backends in each zone, callers, and what the logs say of failover.

Nodes are influenced only from outside: by their configuration, their links and signals.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from collections.abc import AsyncIterator
from typing import NamedTuple, TypedDict, Unpack, cast

from shelfhaven.lab import failover_checker
from shelfhaven.lab.backend_stub import BackendStub, ExecutedRun
from shelfhaven.lab.callers import Reply
from shelfhaven.lab.election_fleet import FAST_MEMBERSHIP, soon
from shelfhaven.lab.etcd_stub import EtcdStub
from shelfhaven.lab.fault_links import Rule
from shelfhaven.lab.fleet import FileValues, Fleet, FleetNode, LogLine, fleet

MAX_DIVERTED = 0.5  # of all zones, the default of the configuration
CONTROLLER_TASK = """duties lease="2s" margin="200ms" step="150ms" settle="60s" dead="2s" {{
    agree engine="etcd" within="1s" {{ endpoint "127.0.0.1:{port}"; }}
    duty "zones" kind="decide-zones"
}}"""
ZONES = """zones {{
    gossip every="150ms" within="150ms" fresh="3s" suspicion="1s" accusers=1.5
    decide look="1s" evidence="500ms" calm="1500ms" roll="20s" holds="6s"
    {zones}
    {keys}
}}"""
ONE_REGION = {"z0": "r", "z1": "r", "z2": "r"}
TWO_REGIONS = {"z0": "west", "z1": "west", "z2": "east", "z3": "east"}
TOPUP = 'deadline="1500ms" window="4s"'  # of the class with idempotency keys, where replicas vote
NODES_PER_ZONE = 2
REQUEST_INTERVAL = 0.04  # seconds between two requests at a node
REQUEST_TIMEOUT = 3.0  # seconds
KEYED_REQUEST_TIMEOUT = 5.0  # seconds
BACKEND_LIMIT = 16  # concurrent runs
BACKEND_RUN_TIME = 0.01  # seconds


class RequestOutcome(NamedTuple):
    """How a request ended; `status` is None without an answer."""

    at: float
    node: str
    status: int | None


class ZonesLoad(TypedDict, total=False):
    """What the log event `load` says of a node's failover; empty before the first event."""

    known: int
    gone: int
    in_force: bool
    turns_away: bool


class VotesLoad(TypedDict, total=False):
    """What the log event `load` says of a quorum replica's votes; empty before the first event."""

    quarantine: float  # seconds


class World:
    """A consensus store, backends by zone, a fleet, and callers."""

    def __init__(
        self,
        store: EtcdStub,
        backends: dict[str, BackendStub],
        nodes: Fleet,
        ran: list[ExecutedRun],
        regions: dict[str, str],
        replica_zones: tuple[str, ...],
    ) -> None:
        """`backends` are by zone; the first nodes of `replica_zones` are quorum replicas."""
        self.store = store
        self.backends = backends
        self.fleet = nodes
        self.regions = regions
        self.replica_zones = replica_zones
        self.ran = ran  # all backends share this list
        self.answers: list[RequestOutcome] = []
        self.tasks: list[asyncio.Task[object]] = []
        self.keys = itertools.count()

    # The nodes

    @property
    def nodes(self) -> list[FleetNode]:
        """All of them."""
        return list(self.fleet.nodes.values())

    def of(self, zone: str) -> list[FleetNode]:
        """A zone's nodes."""
        return [node for node in self.nodes if node.zone == zone]

    def names_in(self, zone: str) -> list[str]:
        """Names of a zone's nodes."""
        return [node.name for node in self.of(zone)]

    def names_outside(self, zone: str) -> list[str]:
        """Names of all other nodes."""
        return [node.name for node in self.nodes if node.zone != zone]

    def names_in_region(self, region: str) -> list[str]:
        """Names of a region's nodes."""
        return [node.name for node in self.nodes if self.regions[node.zone] == region]

    def replicas(self) -> list[FleetNode]:
        """The quorum replicas: the first node of each zone that has one."""
        return [self.of(zone)[0] for zone in self.replica_zones]

    def zones_block(self, keys: bool) -> str:
        """The node `zones` of the configuration."""
        zones = "\n    ".join(f'zone "{zone}" region="{region}"' for zone, region in self.regions.items())
        return ZONES.format(zones=zones, keys=self._keys_block() if keys else "")

    def _keys_block(self) -> str:
        lines = [
            f'keeper "{node.name}" zone="{node.zone}" at="127.0.0.1:{node.gate.port}"'
            for node in self.replicas()
        ]
        return "keys {\n" + "\n".join(lines) + "\n}"

    async def up(self) -> None:
        """All nodes run, know each other, and follow a controller."""
        await self.fleet.start_all()
        count = len(self.nodes)
        await soon(lambda: self.fleet.all_know(count))
        await soon(lambda: all(self.zones_load(node).get("known", 0) >= count - 1 for node in self.nodes))
        await soon(lambda: self.leader() is not None)

    async def replicas_vote(self) -> None:
        """Wait until replicas vote: they have been up for longer than the longest reservation."""
        await soon(lambda: all(self._votes(node).get("quarantine") == 0.0 for node in self.replicas()))

    def cut(self, zone: str, store: bool = True, rule: Rule | None = Rule(hole=True)) -> None:  # noqa: B008
        """Cut a zone's nodes from the others' (and from the store), or heal that with None."""
        self.fleet.net.cut(self.names_in(zone), self.names_outside(zone), rule)
        if store:
            self.fleet.net.cut(self.names_in(zone), ["store"], rule)

    # Requests

    async def topped_up(self, node: FleetNode, key: str, body: bytes = b"100") -> Reply | None:
        """One request with an idempotency key; None without an answer."""
        try:
            async with asyncio.timeout(KEYED_REQUEST_TIMEOUT):
                return await node.ask("POST", "/topup", body, HTTP_IDEMPOTENCY_KEY=key)
        except (OSError, TimeoutError, ValueError):
            return None

    def load(self, interval: float = REQUEST_INTERVAL, keyed: bool = False) -> None:
        """Send requests to every node until the end; `keyed`: each with a key of its own."""
        self.tasks += [
            asyncio.ensure_future(self._send_requests(node, interval, keyed)) for node in self.nodes
        ]

    async def _send_requests(self, node: FleetNode, interval: float, keyed: bool) -> None:
        while True:
            if node.running:
                key = f"load{next(self.keys)}" if keyed else None
                request = self._read_balance(node) if key is None else self.topped_up(node, key)
                task = asyncio.ensure_future(request)
                self.tasks.append(task)
                task.add_done_callback(self.tasks.remove)
            await asyncio.sleep(interval)

    async def _read_balance(self, node: FleetNode) -> None:
        status = None
        with contextlib.suppress(OSError, TimeoutError, ValueError):
            async with asyncio.timeout(REQUEST_TIMEOUT):
                status = (await node.ask("GET", "/balance/1")).status
        self.answers.append(RequestOutcome(time.time(), node.name, status))

    def success_rate(self, since: float, until: float | None = None, zone: str = "") -> float:
        """Of the answers in a time, of one zone's nodes or of all, the fraction that was good."""
        names = self.names_in(zone) if zone else list(self.fleet.nodes)
        found = [
            one.status for one in self.answers
            if one.at >= since and (until is None or one.at < until) and one.node in names
        ]  # fmt: skip
        return sum(status == 200 for status in found) / len(found) if found else 0.0

    # What the backends ran

    def runs_of(self, key: str) -> list[ExecutedRun]:
        """Runs of a key, wherever."""
        return [run for run in self.ran if run.key == key]

    def runs_in(self, zone: str, since: float) -> int:
        """Runs at a zone's backends since a time."""
        return sum(run.backend == zone and run.at >= since for run in self.ran)

    # What the logs say

    def zones_load(self, node: FleetNode) -> ZonesLoad:
        """What a node last logged of its failover."""
        lines = node.events("load")
        return cast(ZonesLoad, lines[-1].get("zones", {})) if lines else {}

    def _votes(self, node: FleetNode) -> VotesLoad:
        """What a quorum replica last logged of its votes."""
        lines = node.events("load")
        return cast(VotesLoad, lines[-1].get("claims", {}).get("votes", {})) if lines else {}

    def remote_fraction(self, node: FleetNode, since: float) -> float:
        """The fraction of its runs that a node has begun in other zones since a time."""
        lines = [line["pools"]["p"]["by_zone"] for line in node.events("load") if line["at"] >= since]
        if len(lines) < 2:
            return 0.0
        began: dict[str, int] = {zone: lines[-1][zone] - lines[0].get(zone, 0) for zone in lines[-1]}
        return 1.0 - float(began.get(node.zone, 0)) / max(1, sum(began.values()))

    def leader(self) -> FleetNode | None:
        """The running node that last logged to hold the controller's lease."""
        leaders = [
            (line["fence"], node.name)
            for node in self.fleet.running()
            for line in node.events("duty")[-1:]
            if line["state"] == "holding"
        ]
        return self.fleet.nodes[max(leaders)[1]] if leaders else None

    def decisions(self, zone: str, since: float = 0.0) -> list[LogLine]:
        """Decisions on a zone, in the order of their epochs."""
        lines = [
            line for node in self.nodes for line in node.logged()
            if line["event"] == "zone_decided" and line["zone"] == zone and line["at"] >= since
        ]  # fmt: skip
        return sorted(lines, key=lambda line: line["epoch"])

    def diverted(self, node: FleetNode) -> dict[str, float]:
        """By zone, the diverted fractions of the policy that a node follows."""
        lines = node.events("zones_followed")
        return dict(lines[-1]["away"]) if lines else {}

    def followed_epoch(self, node: FleetNode) -> int:
        """The epoch of the policy that a node follows; 0 where it follows none."""
        lines = node.events("zones_followed")
        return int(lines[-1]["epoch"]) if lines else 0


def _controller_task(node: FleetNode) -> str:
    """Return the node `duties` of a configuration: the node runs for the failover controller's lease."""
    assert node.store_gate, "the fleet has a consensus store"
    return CONTROLLER_TASK.format(port=node.store_gate.port)


@contextlib.asynccontextmanager
async def world(
    keys: bool = False,
    regions: dict[str, str] = ONE_REGION,
    replica_zones: tuple[str, ...] = ("z0", "z1", "z2"),
    **changes: Unpack[FileValues],
) -> AsyncIterator[World]:
    """Zones, each with nodes and a backend, whose history is checked at the end.

    `keys`: idempotency keys are reserved at quorum replicas in the zones that `replica_zones` names.
    """
    store, ran = EtcdStub(port_count=1), list[ExecutedRun]()
    backends = {
        zone: BackendStub(zone, ran, BACKEND_LIMIT, BACKEND_RUN_TIME, number)
        for number, zone in enumerate(regions)
    }
    await store.start()
    for backend in backends.values():
        await backend.start()
    values: FileValues = {"datagrams": True, **changes, "more": f"{FAST_MEMBERSHIP}{changes.get('more', '')}"}
    servers = [backend.address for backend in backends.values()]
    count = len(regions)
    made: World | None = None
    try:
        async with fleet(count * NODES_PER_ZONE, store.port, servers, count, **values) as nodes:
            nodes.zone_of = {backend.address: zone for zone, backend in backends.items()}
            nodes.values["singleton_tasks"] = _controller_task
            made = World(store, backends, nodes, ran, regions, replica_zones)
            nodes.values["zones_section"] = made.zones_block(keys)
            yield made
            found = failover_checker.find_violations(nodes.whole_history(), count, MAX_DIVERTED, ran)
            if found:
                raise AssertionError(f"{len(found)} violations: {found[:5]}")
    finally:
        for task in list(made.tasks) if made else []:
            task.cancel()
        for backend in backends.values():
            backend.stop()
        await store.stop()


@contextlib.asynccontextmanager
async def voting(
    regions: dict[str, str] = ONE_REGION,
    replica_zones: tuple[str, ...] = ("z0", "z1", "z2"),
    **changes: Unpack[FileValues],
) -> AsyncIterator[World]:
    """A world that is up, and whose quorum replicas vote."""
    values: FileValues = {"topup": TOPUP, **changes}
    async with world(keys=True, regions=regions, replica_zones=replica_zones, **values) as made:
        await made.up()
        await made.replicas_vote()
        yield made
