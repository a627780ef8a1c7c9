"""The node `membership`: defaults, and error messages."""

from __future__ import annotations

from pathlib import Path

import pytest

from shelfhaven import operator_config
from shelfhaven.config import ConfigError
from tests.operator_config.sources import MEMBERSHIP, VALID_FILE, with_membership


def test_membership_is_read_with_defaults(tmp_path: Path) -> None:
    membership = operator_config.parse(with_membership(tmp_path), "f").operator.membership
    assert membership
    assert (membership.zone, membership.region) == ("a", "west")
    assert str(membership.advertise) == "127.0.0.1:7100"
    assert membership.service
    assert membership.service.endpoints == ("127.0.0.1:2379",)
    assert membership.service.prefix == "/shelfhaven/"
    assert membership.member.max_requests_per_s == 50.0
    assert membership.member.expected_nodes == 200
    assert membership.member.shrink_guard.retention_time == 20.0
    assert membership.member.watcher_count == 8
    assert membership.readiness.list_timeout == 10.0
    assert membership.max_cache_age == 3600.0
    assert operator_config.parse(VALID_FILE, "f").operator.membership is None


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ('secret "SECRET"', 'secret "/no/such"', "f: membership secret: '/no/such' is not an existing file"),
        ('secret "SECRET"', 'secret "SHORT"', "f: membership secret: the file has fewer than 16 bytes"),
        ('secret "SECRET"', "", "f: membership secret: missing"),
        ('endpoint "127.0.0.1:2379"', "", "f: membership > list endpoint: missing"),
        ('endpoint "127.0.0.1:2379"', 'endpoint "etcd:2379"', 'list > endpoint "etcd:2379"'),
        ('peer "127.0.0.1:7101"', 'peer "x"', 'f: membership > peer "x"'),
        ('listen "127.0.0.1:7100"', "", "f: membership listen: missing"),
        ("asks 50", "asks 0", "f: membership asks: 0 is not a number of at least 0.1"),
        ("expected 200", 'expected "many"', "f: membership expected: 'many' is not a number"),
        ('hold "20s"', 'holt "20s"', 'holt: unknown node or property; did you mean "hold"'),
        ("list within", 'list kind="zk" within', "kind: 'zk' is not one of etcd"),
    ],
)
def test_errors_name_the_node_and_property(tmp_path: Path, old: str, new: str, message: str) -> None:
    assert old in MEMBERSHIP
    with pytest.raises(ConfigError, match=message):
        operator_config.parse(with_membership(tmp_path, old, new), "f")


def test_required_settings_of_membership_and_pools(tmp_path: Path) -> None:
    text = with_membership(tmp_path, 'peer "127.0.0.1:7101"', "")
    without_list_service = text.replace('list within="1s" {\n        endpoint "127.0.0.1:2379"\n    }', "")
    with pytest.raises(ConfigError, match="neither a list service nor a peer"):
        operator_config.parse(without_list_service, "f")
    with pytest.raises(ConfigError, match="from-list: requires the node membership"):
        operator_config.parse(VALID_FILE.replace('pool "p" {', 'pool "p" from-list=true {'), "f")
    with pytest.raises(ConfigError, match="ramp bears: missing"):
        operator_config.parse(VALID_FILE.replace('pool "p" {', 'pool "p" {\n    ramp rise="1s"'), "f")
