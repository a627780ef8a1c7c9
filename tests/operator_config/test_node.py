"""The nodes `node` and `work`: defaults, seeds, and error messages."""

from __future__ import annotations

import pytest
from kdl.parsefuncs import parse as parse_kdl
from kdl.types import Node

from shelfhaven.config import Config, ConfigError
from shelfhaven.decision.settings import LoadAdvertisement, TenantSettings
from shelfhaven.operator_config.node import read_standalone
from shelfhaven.operator_config.reader import ConfigNode

WORK = 'work at-once=2 { class "c" deadline="1s"; tenant "t" quota=3 share=0.5; }'


def _read(source: str) -> Config:
    root = ConfigNode(Node("file", nodes=parse_kdl(source).nodes), "", [], "f.kdl")
    config = read_standalone(root)
    root.reject_unknown()
    return config


def test_omitted_settings_have_their_defaults() -> None:
    config = _read('node "n" seed="ff"\n' + WORK)
    assert (config.name, config.seed, config.stop) == ("n", 255, 5.0)
    assert (config.limits.cores, config.limits.memory_mb, config.limits.sockets) == (1.0, 192.0, 1024)
    assert config.settings.memory_kb == 64 * 1024
    assert config.settings.load_advertisement is LoadAdvertisement.NONE
    assert config.settings.tenants == (TenantSettings(3.0, 0.5),)
    assert config.settings.classes[0].latency_objective == config.settings.classes[0].deadline == 1.0


def test_seed_is_truncated_to_64_bits_and_random_by_default() -> None:
    assert _read(f'node "n" seed="1{"0" * 15}2"\n{WORK}').seed == 2
    assert _read('node "n"\n' + WORK).seed != _read('node "n"\n' + WORK).seed


@pytest.mark.parametrize(
    ("source", "message"),
    [
        ('node "n"', "work: missing: required without"),
        (WORK, "node: missing: required without"),
        ('node "n" seed="x"\n' + WORK, "not a hexadecimal number"),
        ('node "n"\nwork at-once=2', "the node would accept no requests"),
        ('node "n"\n' + WORK.replace('"1s"', '"1s" aim="2s"'), "is longer than the deadline"),
        ('node "n"\n' + WORK.replace('"1s"', '"1s" window="2s"'), "not allowed otherwise"),
    ],
)
def test_errors_name_the_node_and_property(source: str, message: str) -> None:
    with pytest.raises(ConfigError, match=message):
        _read(source)
