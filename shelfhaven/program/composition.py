"""Builds the components of the server process, in the order of their dependencies.

Components that only an operator configuration can ask for are imported only if it does, because the libraries
that they use cost memory and start-up time.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from shelfhaven.program.component import Component
from shelfhaven.program.frontends import Listeners, Mappings, Proxies
from shelfhaven.program.peers import Peers
from shelfhaven.server.core import Core
from shelfhaven.server.descriptors import Descriptors
from shelfhaven.server.log import Log

if TYPE_CHECKING:
    from shelfhaven.operator_config import Operator
    from shelfhaven.program.failover import FailoverComponent
    from shelfhaven.program.membership import MembershipComponent
    from shelfhaven.program.pools import PoolsComponent
    from shelfhaven.program.singleton_tasks import SingletonTasksComponent


@dataclass(frozen=True, slots=True)
class Dependencies:
    """Objects that all components share."""

    core: Core
    descriptors: Descriptors
    peers: Peers
    listeners: Listeners
    log: Log


@dataclass(slots=True)
class Composition:
    """The components of a server process, in the order in which they start, drain and stop."""

    components: list[Component] = field(default_factory=list)
    proxies: Proxies | None = None
    pools: PoolsComponent | None = None
    membership: MembershipComponent | None = None


def compose(dependencies: Dependencies, operator: Operator | None) -> Composition:
    """Build all components; without an operator configuration, only those that the platform needs."""
    composition = Composition([dependencies.listeners, dependencies.peers])
    if operator is None:
        return composition
    mappings = _add_listeners(dependencies, operator, composition)
    composition.components.append(mappings)
    if composition.proxies:
        composition.components.insert(1, composition.proxies)
    composition.pools = _make_pools(dependencies, operator, composition.proxies)
    if composition.pools:
        composition.components.append(composition.pools)
    composition.membership = _make_membership(dependencies, operator, composition.pools)
    if composition.membership:
        composition.components.append(composition.membership)
    if operator.state:
        composition.components.append(_make_key_store(dependencies, operator, composition.pools))
    failover = _make_failover(dependencies, operator, composition)
    if failover:
        composition.components.append(failover)
    if operator.singleton_tasks:
        singleton_tasks = _make_singleton_tasks(dependencies, operator, composition, failover)
        composition.components.insert(_singleton_tasks_index(composition), singleton_tasks)
    return composition


def _add_listeners(dependencies: Dependencies, operator: Operator, composition: Composition) -> Mappings:
    """Add the listeners of the operator configuration; return the mappings that they use."""
    from shelfhaven.operator_config import ListenProtocol

    mappings = Mappings(operator)
    for listen in operator.listens:
        if listen.protocol is ListenProtocol.JSON_RPC:
            dependencies.listeners.add_router_listener(listen.address, listen.max_connections)
        elif listen.protocol.is_for_proxies:
            composition.proxies = composition.proxies or Proxies(
                dependencies.core,
                dependencies.descriptors,
                dependencies.listeners.receive_buffers,
                dependencies.log,
            )
            composition.proxies.add_listener(listen, mappings.by_name[listen.mapping])
        else:
            dependencies.listeners.add_gateway_listener(listen, mappings.by_name[listen.mapping])
    return mappings


def _make_pools(
    dependencies: Dependencies, operator: Operator, proxies: Proxies | None
) -> PoolsComponent | None:
    if not operator.pools and not proxies:
        return None
    from shelfhaven.program.pools import PoolsComponent

    other_loads = [proxies.runner.load] if proxies else []
    return PoolsComponent(
        operator, dependencies.core, dependencies.descriptors, dependencies.log, other_loads
    )


def _make_membership(
    dependencies: Dependencies, operator: Operator, pools: PoolsComponent | None
) -> MembershipComponent | None:
    if not operator.membership:
        return None
    from shelfhaven.program.membership import MembershipComponent

    return MembershipComponent(operator, dependencies.core, dependencies.peers, pools, dependencies.log)


def _make_key_store(
    dependencies: Dependencies, operator: Operator, pools: PoolsComponent | None
) -> Component:
    from shelfhaven.program.state import StateComponent

    return StateComponent(operator, dependencies.core, pools, dependencies.log)


def _make_failover(
    dependencies: Dependencies, operator: Operator, composition: Composition
) -> FailoverComponent | None:
    if not operator.zones or not composition.membership:
        return None
    from shelfhaven.program.failover import FailoverComponent

    return FailoverComponent(
        operator, dependencies.core, composition.membership, composition.pools, dependencies.log
    )


def _make_singleton_tasks(
    dependencies: Dependencies,
    operator: Operator,
    composition: Composition,
    failover: FailoverComponent | None,
) -> SingletonTasksComponent:
    from shelfhaven.program.singleton_tasks import SingletonTasksComponent

    return SingletonTasksComponent(
        operator, dependencies.core, composition.membership, dependencies.log, failover
    )


def _singleton_tasks_index(composition: Composition) -> int:
    """Return the index before the membership, which is needed to hand tasks over and so must stop later."""
    return (
        composition.components.index(composition.membership)
        if composition.membership
        else len(composition.components)
    )
