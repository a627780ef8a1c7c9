"""The component for singleton tasks and their leader election.

It opens the consensus store, creates the tasks that this node leads, and connects both to the membership, the
key store and the failover of the node.
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

if TYPE_CHECKING:  # at run time imported only if zones are configured
    from shelfhaven.program.failover import FailoverComponent


def _listed_candidates(items: Mapping[str, Endpoint]) -> list[CandidateNode]:
    """Return the nodes of an endpoint list as candidates."""
    return [CandidateNode(node.name, node.zone) for node in nodes_of(items)]


class MembershipServices:
    """What singleton tasks use of the node's membership; without a membership the methods do nothing."""

    def __init__(self, membership: MembershipComponent | None) -> None:
        self.membership = membership

    def addresses(self) -> list[str]:
        """Return the addresses of all known peers."""
        if self.membership is None:
            return []
        actor = self.membership.actor
        listed = {node.address for node in nodes_of(actor.member.endpoint_list.items)}
        return sorted({*listed, *actor.member.peers.neighbours} - {actor.identity.address})

    async def post(self, peer: str, path: str, body: bytes) -> bytes | None:
        """Send a request to a peer; return its answer, or None if it gives none."""
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
        """Make this node the zone watcher, or stop it from being so."""
        if self.membership:
            self.membership.actor.set_zone_watcher(enabled)


class SingletonTasksComponent(Component):
    """Takes part in the elections of singleton tasks, and runs those that this node leads."""

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
        """Open the consensus store and start taking part in elections."""
        environment = self._environment()
        self.actor = ElectionActor(self.config.elector, self.config.zone_by_task(), environment)
        if self.failover:
            self.failover.set_store(environment.store)
        self.core.keys.on_uncertain = self._add_unresolved_operation
        if self.membership:
            self.membership.actor.peer_rpc.routes |= peer_routes(self.unresolved)
        self._track_candidates(self.actor)
        self.actor.start()

    def _environment(self) -> ElectionEnvironment:
        """Return the dependencies of the election actor; without a membership this is the only node."""
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

    def _track_candidates(self, actor: ElectionActor) -> None:
        """Set the nodes that may lead and, with a list service, keep them up to date."""
        if self.membership is None or self.membership.actor.config.service is None:
            actor.nodes_changed(self._unlisted_candidates(self.core.config.name))
            return
        actor.rankings_changed = self._prefer_list_watchers
        self.membership.node.watchers.append(self._list_changed)
        self._list_changed(self.membership.node.items)

    def reload(self, _old: Files, new: Files) -> list[str]:
        """Apply changed tasks and election settings.

        Of the store, only the endpoints of an etcd store change at once; other changes need a restart.
        """
        config = new.operator.singleton_tasks if new.operator else None
        if config is None or self.actor is None:
            return ["duties"]
        new_store, old_store = config.store, self.config.store
        self.config = SingletonTasksConfig(old_store, config.elector, config.tasks)
        self.actor.reconfigure(config.elector, self.config.zone_by_task())
        if new_store == old_store:
            return []
        if not _only_endpoints_differ(new_store, old_store):
            return ["duties agree"]
        self.actor.store.set_endpoints(new_store.endpoints)  # type: ignore[attr-defined]
        self.actor.store_replaced()
        self.config = config
        return []

    def begin_drain(self) -> None:
        """Hand all tasks over to other nodes."""
        if self.actor:
            self.actor.drain()

    async def stop(self) -> None:
        """Stop taking part in elections and close the store."""
        if self.actor:
            await self.actor.close()

    def status(self) -> StatusFields:
        """Return the state of elections and of unresolved operations, for the log."""
        if self.actor is None:
            return {}
        unresolved = self.unresolved
        counts = {
            "unclear": len(unresolved.by_id),
            "settled": unresolved.resolved,
            "forgotten": unresolved.forgotten,
        }
        return {"duties": self.actor.load_now() | counts}

    def _unlisted_candidates(self, own_name: str) -> Sequence[CandidateNode]:
        """Return the candidates without a list service: the members of the store, or else only this node."""
        zone = self.membership.actor.identity.zone if self.membership else ""
        members = self.config.store.members
        return [CandidateNode(member, zone) for member in members or [own_name]]

    def _list_changed(self, items: dict[str, Endpoint]) -> None:
        if self.actor:
            self.actor.nodes_changed(_listed_candidates(items))

    def _prefer_list_watchers(self, rankings: dict[str, CandidateRanking]) -> None:
        """Make this node prefer zone watchers when it polls peers.

        A zone watcher is the first candidate of the task that watches the list for its zone.
        """
        assert self.membership
        # after a reload, the rankings may still be those of the previous configuration
        tasks = [task for task in self.config.tasks.values() if task.kind is TaskKind.WATCH_LIST]
        candidates_by_zone = {task.zone: rankings[task.name].order for task in tasks if task.name in rankings}
        watchers = {zone: candidates[0] for zone, candidates in candidates_by_zone.items() if candidates}
        member = self.membership.actor.member
        member.fleet.zone_watchers = {f"{NODE_KEY_PREFIX}{zone}/{node}" for zone, node in watchers.items()}

    def _add_unresolved_operation(self, request_class: str, tenant: str, key: str) -> None:
        self.unresolved.add(UnresolvedOperation(request_class, tenant, key, time.time()))

    def _make_task(self, name: str) -> leader_tasks.LeaderTask:
        """Create the task named `name` from the current configuration."""
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


def _only_endpoints_differ(new: StoreConfig, old: StoreConfig) -> bool:
    """Return whether both are etcd stores that differ in nothing but their endpoints."""
    if new.kind is not StoreKind.ETCD or old.kind is not StoreKind.ETCD:
        return False
    return new.prefix == old.prefix and new.timeout == old.timeout
