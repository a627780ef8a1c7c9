"""Leader election as a component: the consensus store that the file names, the work of each singleton task,
and what the rest of the node tells them.
"""

from __future__ import annotations

import time
from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING

from shelfhaven.consensus.store import ConsensusStore
from shelfhaven.election import leader_tasks
from shelfhaven.election.actor import ElectionActor, ElectionEnvironment
from shelfhaven.election.candidate_ranking import CandidateNode, CandidateRanking
from shelfhaven.election.fenced_target import FencedTarget
from shelfhaven.election.reconcile_task import ReconcileTask, peer_routes
from shelfhaven.election.send_task import SendSettings, SendTask
from shelfhaven.election.unresolved import UnresolvedOperation, UnresolvedOperations
from shelfhaven.election.watch_list_task import WatchListTask
from shelfhaven.membership.endpoint_registry import NODE_KEY_PREFIX, nodes_of
from shelfhaven.membership.list_version import Endpoint
from shelfhaven.membership.peer_rpc import PeerRpcError
from shelfhaven.operator_config import Operator
from shelfhaven.operator_config.singleton_tasks import SingletonTasksConfig, StoreConfig, StoreKind, TaskKind
from shelfhaven.program.component import Component, Files, StatusFields
from shelfhaven.program.consensus import open_store
from shelfhaven.program.membership import MembershipComponent
from shelfhaven.server.core import Core
from shelfhaven.server.log import Log

if TYPE_CHECKING:  # imported only where the file has zones
    from shelfhaven.program.failover import FailoverComponent


def _nodes_with_zones(items: Mapping[str, Endpoint]) -> list[CandidateNode]:
    """Return the nodes on a list."""
    return [CandidateNode(node.name, node.zone) for node in nodes_of(items)]


class MembershipServices:
    """What the node's membership offers to the work of leaders; nothing, where there is none."""

    def __init__(self, membership: MembershipComponent | None) -> None:
        self.membership = membership

    def addresses(self) -> list[str]:
        """Return the addresses of the other nodes that are known."""
        if self.membership is None:
            return []
        actor = self.membership.actor
        listed = {node.address for node in nodes_of(actor.member.endpoint_list.items)}
        return sorted({*listed, *actor.member.peers.neighbours} - {actor.identity.address})

    async def post(self, peer: str, path: str, body: bytes) -> bytes | None:
        """Return a peer's answer, None if it gave none."""
        if self.membership is None:
            return None
        actor = self.membership.actor
        try:
            return await actor.peer_rpc.post(
                peer, actor.identity.address, path, body, actor.config.peer_timeout
            )
        except PeerRpcError as error:
            actor.log.event("peer_unanswered", peer=peer, path=path, error=str(error))
            return None

    def watch_list(self, enabled: bool) -> None:
        """Watch the list service for the zone, or leave that to others."""
        if self.membership:
            self.membership.actor.set_zone_watcher(enabled)


class SingletonTasksComponent(Component):
    """Singleton tasks, whose leaders are elected by lease."""

    def __init__(
        self, operator: Operator, core: Core, membership: MembershipComponent | None, log: Log,
        failover: FailoverComponent | None = None,
    ) -> None:  # fmt: skip
        assert operator.singleton_tasks
        self.failover = failover
        self.config: SingletonTasksConfig = operator.singleton_tasks
        self.core = core
        self.membership = membership
        self.log = log
        self.services = MembershipServices(membership)
        self.unresolved = UnresolvedOperations()
        self.actor: ElectionActor | None = None

    async def start(self) -> None:
        """Open the store and take part in elections."""
        environment = self._environment()
        self.actor = ElectionActor(self.config.elector, self.config.zone_by_task(), environment)
        if self.failover:
            self.failover.use_store(environment.store)
        self.core.keys.on_uncertain = self._outcome_unknown
        if self.membership:
            self.membership.actor.peer_rpc.routes |= peer_routes(self.unresolved)
        self._follow_candidates(self.actor)
        self.actor.start()

    def _environment(self) -> ElectionEnvironment:
        """Return what elections use of this node; without a membership it is the only one."""
        environment = ElectionEnvironment(
            node=self.core.config.name,
            address="",
            store=self._open_store(),
            make_task=self._make_task,
            health=lambda: 1.0,
            seed=self.core.config.seed,
            log=self.log,
        )
        if self.membership is None:
            return environment
        membership = self.membership.actor
        has_list = membership.config.service is not None
        return replace(
            environment,
            address=membership.identity.address,
            health=self.membership.node.health,
            expected_nodes=membership.config.member.expected_nodes if has_list else 1,
        )

    def _open_store(self) -> ConsensusStore:
        name = self.core.config.name
        if self.membership is None:
            return open_store(self.config.store, name, "", None, b"", self.log)
        membership = self.membership.actor
        address = membership.identity.address
        secret = membership.config.secret
        return open_store(self.config.store, name, address, membership.peer_rpc, secret, self.log)

    def _follow_candidates(self, actor: ElectionActor) -> None:
        """Tell elections of the nodes that may lead, and of changes where there is a list service."""
        if self.membership is None or self.membership.actor.config.service is None:
            actor.nodes_changed(self._nodes_without_list(self.core.config.name))
            return
        actor.rankings_changed = self._prefer_list_watchers
        self.membership.node.watchers.append(self._list_changed)
        self._list_changed(self.membership.node.items)

    def reload(self, _old: Files, new: Files) -> list[str]:
        """Go by a new file; another store is used at once only where it is the same one elsewhere."""
        config = new.operator.singleton_tasks if new.operator else None
        if config is None or self.actor is None:
            return ["duties"]
        store, store_before = config.store, self.config.store
        self.config = SingletonTasksConfig(store_before, config.elector, config.tasks)
        self.actor.reconfigure(config.elector, self.config.zone_by_task())
        if store == store_before:
            return []
        if not _only_endpoints_differ(store, store_before):
            return ["duties agree"]
        self.actor.store.set_endpoints(store.endpoints)  # type: ignore[attr-defined]
        self.actor.store_replaced()
        self.config = config
        return []

    def begin_drain(self) -> None:
        """Hand all tasks over: the node shuts down gracefully."""
        if self.actor:
            self.actor.drain()

    async def stop(self) -> None:
        """Stop for good."""
        if self.actor:
            await self.actor.close()

    def status(self) -> StatusFields:
        """Return what the node's line on its load says of singleton tasks."""
        if self.actor is None:
            return {}
        operations = self.unresolved
        counts = {
            "unclear": len(operations.by_id),
            "settled": operations.resolved,
            "forgotten": operations.forgotten,
        }
        return {"duties": self.actor.load_now() | counts}

    def _nodes_without_list(self, name: str) -> Sequence[CandidateNode]:
        """Return who may lead where there is no list service: the store's members, or this node alone."""
        zone = self.membership.actor.identity.zone if self.membership else ""
        members = self.config.store.members
        return [CandidateNode(member, zone) for member in members or [name]]

    def _list_changed(self, items: dict[str, Endpoint]) -> None:
        if self.actor:
            self.actor.nodes_changed(_nodes_with_zones(items))

    def _prefer_list_watchers(self, rankings: dict[str, CandidateRanking]) -> None:
        """Have the nodes of a zone ask first whichever node watches the zone's list."""
        assert self.membership
        # rankings may be those of the file before
        tasks = [task for task in self.config.tasks.values() if task.kind is TaskKind.WATCH_LIST]
        orders = {task.zone: rankings[task.name].order for task in tasks if task.name in rankings}
        watchers = {zone: order[0] for zone, order in orders.items() if order}
        member = self.membership.actor.member
        member.fleet.zone_watchers = {f"{NODE_KEY_PREFIX}{zone}/{node}" for zone, node in watchers.items()}

    def _outcome_unknown(self, request_class: str, tenant: str, key: str) -> None:
        self.unresolved.add(UnresolvedOperation(request_class, tenant, key, time.time()))

    def _make_task(self, name: str) -> leader_tasks.LeaderTask:
        """Make the work of a task, as the file has it just now."""
        task = self.config.tasks[name]
        if task.kind is TaskKind.WATCH_LIST:
            return WatchListTask(self.services)
        if task.kind is TaskKind.DECIDE_ZONES:
            assert self.failover
            return self.failover.make_controller_task()
        assert task.target
        target = FencedTarget(task.target.url, task.target.timeout, task.target.fenced)
        if task.kind is TaskKind.RECONCILE:
            return ReconcileTask(target, task.interval, self.unresolved, self.services, self.log)
        assert task.send
        settings = SendSettings(task.send.path, task.interval, task.send.batch_lines, task.send.resend)
        return SendTask(settings, target, self.log)


def _only_endpoints_differ(store: StoreConfig, before: StoreConfig) -> bool:
    """Whether both are one etcd store, reached at other endpoints."""
    if store.kind is not StoreKind.ETCD or before.kind is not StoreKind.ETCD:
        return False
    return store.prefix == before.prefix and store.timeout == before.timeout
