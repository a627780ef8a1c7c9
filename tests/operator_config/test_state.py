"""The node `keys`: the file that stores idempotency keys across restarts."""

from __future__ import annotations

from pathlib import Path

import pytest

from shelfhaven import operator_config
from shelfhaven.config import ConfigError
from shelfhaven.state.disk_health import DegradedMode
from shelfhaven.state.settings import SyncMode
from tests.operator_config.sources import VALID_FILE


def _parse_with_keys(tmp_path: Path, keys_node: str) -> operator_config.LoadedConfig:
    return operator_config.parse(VALID_FILE + keys_node.replace("DIR", str(tmp_path)), "f")


def test_keys_node_is_read_with_defaults(tmp_path: Path) -> None:
    state = _parse_with_keys(tmp_path, 'keys file="DIR/k"').operator.state
    assert state
    assert state.file == tmp_path / "k"
    assert state.sync is SyncMode.EACH
    assert state.sync_interval == 0.02
    assert state.max_result_bytes == 65_536
    assert state.uncertain_period == 12.0, "key TTL and deadline of the longest keyed class"
    assert state.class_summary == "topup 8 4"
    assert state.disk.max_wait == 0.1
    assert state.disk.degraded_mode is DegradedMode.REJECT


def test_all_properties_of_the_keys_node_can_be_set(tmp_path: Path) -> None:
    keys_node = 'keys file="DIR/k" sync="every" every="5ms" within="50ms" disk-gone="go-on" result-most="1KB"'
    state = _parse_with_keys(tmp_path, keys_node).operator.state
    assert state
    assert state.sync is SyncMode.EVERY
    assert state.sync_interval == 0.005
    assert state.max_result_bytes == 1024
    assert state.disk.max_wait == 0.05
    assert state.disk.degraded_mode is DegradedMode.RUN_WITHOUT_DISK


def test_without_a_keys_node_keys_are_not_stored(tmp_path: Path) -> None:
    assert _parse_with_keys(tmp_path, "").operator.state is None


@pytest.mark.parametrize(
    ("keys_node", "message"),
    [
        ("keys", "keys file: missing"),
        ('keys file="DIR/no/k"', "is not a directory"),
        ('keys file="DIR/k" sync="often"', "not one of each, every, none"),
        ('keys file="DIR/k" within="4s"', "not shorter than a deadline of 4 s: requests would expire"),
        ('keys file="DIR/k" disk-gone="panic"', "not one of refuse, go-on, leave"),
        ('keys file="DIR/k" synch="each"', 'did you mean "sync"'),
    ],
)
def test_errors_in_the_keys_node(tmp_path: Path, keys_node: str, message: str) -> None:
    with pytest.raises(ConfigError, match=message):
        _parse_with_keys(tmp_path, keys_node)


def test_keys_node_requires_a_class_with_idempotency_keys(tmp_path: Path) -> None:
    without_keyed_class = VALID_FILE.replace('repeat="keyed" window="8s"', 'repeat="safe"')
    with pytest.raises(ConfigError, match="no keys to store"):
        operator_config.parse(without_keyed_class + f'keys file="{tmp_path}/k"', "f")
