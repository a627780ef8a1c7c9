"""The order in which components start, drain and stop, and the changes that take effect only at a restart."""

from __future__ import annotations

import os
from pathlib import Path
from unittest.mock import Mock, call, create_autospec

import pytest

from shelfhaven import operator_config
from shelfhaven.consensus.etcd_store import EtcdStore
from shelfhaven.election.actor import ElectionActor
from shelfhaven.program.app import App, _changes_pending_restart
from shelfhaven.program.component import Files
from shelfhaven.program.singleton_tasks import SingletonTasksComponent
from shelfhaven.server.log import Log
from tests.operator_config.sources import VALID_FILE, with_membership, with_singleton_tasks, with_zones

PROXY_LISTENER = 'listen "proxy" protocol="subrequest" address="127.0.0.1:4102" mapping="m"\n'


ETCD_SINGLETON_TASKS = """
duties {
    agree engine="etcd" within="1s" {
        endpoint "127.0.0.1:2479"
    }
    duty "settle" kind="send" to="http://127.0.0.1:8800" file="/var/lib/day"
}
"""


def _files(text: str) -> Files:
    parsed = operator_config.parse(text, "f")
    return Files(parsed.config, parsed.operator)


def _app(files: Files) -> App:
    return App(files, Log("test", os.open(os.devnull, os.O_WRONLY)))


def _component_names(text: str) -> list[str]:
    return [type(component).__name__ for component in _app(_files(text)).components]


def test_all_components_are_ordered_by_their_dependencies(tmp_path: Path) -> None:
    text = with_zones(tmp_path) + PROXY_LISTENER + f'keys file="{tmp_path}/keys.db"\n'
    assert _component_names(text) == [
        "Listeners",
        "Proxies",
        "Peers",
        "Mappings",
        "PoolsComponent",
        "SingletonTasksComponent",
        "MembershipComponent",
        "StateComponent",
        "FailoverComponent",
    ]


def test_only_configured_components_are_created(tmp_path: Path) -> None:
    components_with_pools = ["Listeners", "Peers", "Mappings", "PoolsComponent"]
    assert _component_names(VALID_FILE) == components_with_pools
    assert _component_names(with_membership(tmp_path)) == [*components_with_pools, "MembershipComponent"]


def test_without_a_membership_singleton_tasks_come_last() -> None:
    singleton_tasks = """
duties {
    agree engine="alone"
    duty "settle" kind="send" to="http://127.0.0.1:8800" file="/var/lib/day"
}
"""
    assert _component_names(VALID_FILE + singleton_tasks)[-1] == "SingletonTasksComponent"


@pytest.mark.parametrize(
    ("before", "after", "pending_restart"),
    [
        ("valid", "valid", []),
        ("valid", "other address", ["listen"]),
        ("valid", "other stop", ["stop"]),
        ("membership", "singleton tasks", ["duties"]),
        ("valid", "zones and keys", ["duties", "zones", "keys"]),
        ("zones and keys", "valid", []),
    ],
)
def test_changes_pending_a_restart_are_returned_by_key(
    before: str, after: str, pending_restart: list[str], tmp_path: Path
) -> None:
    texts = {
        "valid": VALID_FILE,
        "other address": VALID_FILE.replace("127.0.0.1:4101", "127.0.0.1:4109"),
        "other stop": VALID_FILE.replace('stop="3s"', 'stop="4s"'),
        "membership": with_membership(tmp_path),
        "singleton tasks": with_singleton_tasks(tmp_path),
        "zones and keys": with_zones(tmp_path) + f'keys file="{tmp_path}/keys.db"\n',
    }
    assert _changes_pending_restart(_files(texts[before]), _files(texts[after])) == pending_restart


def test_reload_with_only_other_etcd_endpoints_sets_them_and_tells_the_election_actor(tmp_path: Path) -> None:
    """Guards against a misspelled or renamed store method, which mypy cannot report here.

    `ConsensusStore` has no `set_endpoints`, so its call has a type: ignore. The mocks have only the methods
    of the real classes.
    """
    with_etcd = with_membership(tmp_path) + ETCD_SINGLETON_TASKS
    old, new = _files(with_etcd), _files(with_etcd.replace("127.0.0.1:2479", "127.0.0.1:2480"))
    (component,) = (
        component for component in _app(old).components if isinstance(component, SingletonTasksComponent)
    )
    store = create_autospec(EtcdStore, instance=True)
    actor = create_autospec(ElectionActor, instance=True, store=store)
    component.actor = actor
    calls = Mock()
    calls.attach_mock(store.set_endpoints, "set_endpoints")
    calls.attach_mock(actor.store_replaced, "store_replaced")
    assert component.reload(old, new) == []
    assert calls.mock_calls == [call.set_endpoints(("127.0.0.1:2480",)), call.store_replaced()]
    assert component.config.store.endpoints == ("127.0.0.1:2480",)
