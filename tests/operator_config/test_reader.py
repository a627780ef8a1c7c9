"""Reading typed values from KDL nodes, recording their origins, and rejecting unknown names."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest
from kdl.parsefuncs import parse as parse_kdl
from kdl.types import Node

from shelfhaven.config import Address, ConfigError
from shelfhaven.operator_config import reader
from shelfhaven.operator_config.reader import ConfigNode, Origin


def _root(source: str) -> tuple[ConfigNode, list[Origin]]:
    origins: list[Origin] = []
    return ConfigNode(Node("file", nodes=parse_kdl(source).nodes), "", origins, "f.kdl"), origins


def _read_pool(root: ConfigNode) -> None:
    for pool in root.children("pool"):
        pool.take("within", reader.number(), 3.0)
    root.reject_unknown()


def test_origins_are_recorded_in_the_order_of_reading() -> None:
    root, origins = _root('pool "p" within="2s"')
    (pool,) = root.children("pool")
    assert pool.take_name("pool's name") == "p"
    assert pool.take("within", reader.duration, 1.0) == 2.0
    assert pool.take("most", reader.integer(), 7) == 7
    root.reject_unknown()
    assert origins == [
        Origin('pool "p" > within', "2s", "f.kdl"),
        Origin('pool "p" > most', "7", "default"),
    ]


@pytest.mark.parametrize(
    ("source", "message"),
    [
        ("pool withim=1", 'unknown node or property; did you mean "within"'),
        ("pool 1", "unexpected argument 1.0"),
        ("pool within=1 { within 2; }", "is given more than once"),
        ("pool { within 1 2; }", "takes exactly one value"),
        ("pool within=-1", "-1 is not a number of at least 0"),
    ],
)
def test_unexpected_and_invalid_values_are_rejected(source: str, message: str) -> None:
    root, _ = _root(source)
    with pytest.raises(ConfigError, match=message):
        _read_pool(root)


def test_duplicate_node_is_rejected() -> None:
    root, _ = _root("node; node")
    with pytest.raises(ConfigError, match="is given more than once"):
        root.child("node")


def test_missing_child_is_read_as_an_empty_node() -> None:
    root, origins = _root("other")
    assert root.child("wait") is None
    assert root.child_or_empty("wait").take("most", reader.integer(), 7) == 7
    assert origins == [Origin("wait > most", "7", "default")]


def test_skipped_children_are_unchecked_and_recorded_as_not_read() -> None:
    root, origins = _root('node "n" unknown=1')
    root.skip_children("node", "elsewhere")
    root.reject_unknown()
    assert origins == [Origin('node "n"', "not read", "elsewhere")]


@pytest.mark.parametrize(
    ("read", "raw", "value"),
    [
        (reader.text, "a b", "a b"),
        (reader.request_path, "/a", "/a"),
        (reader.boolean, True, True),
        (reader.number(0, 2), 1, 1.0),
        (reader.integer(1), 3.0, 3),
        (reader.duration, "100ms", 0.1),
        (reader.size, "1KB", 1024),
        (reader.socket_address, "unix:/run/a.sock", Path("/run/a.sock")),
        (reader.socket_address, "127.0.0.1:80", Address("127.0.0.1", 80)),
        (reader.choice({"on": 1}), "on", 1),
    ],
)
def test_value_readers_return_typed_values(
    read: Callable[[object], object], raw: object, value: object
) -> None:
    assert read(raw) == value


@pytest.mark.parametrize(
    ("read", "raw"),
    [
        (reader.text, 1),
        (reader.text, "a\nb"),
        (reader.request_path, "a"),
        (reader.boolean, 1),
        (reader.number(), True),
        (reader.number(), float("inf")),
        (reader.integer(), 1.5),
        (reader.duration, "3"),
        (reader.duration, 3),
        (reader.positive_duration, "0s"),
        (reader.size, "many"),
        (reader.socket_address, "unix:run/a.sock"),
        (reader.socket_address, "unix:/" + "a" * 100),
        (reader.choice({"on": 1}), "off"),
        (reader.existing_file, "/no/such/file"),
    ],
)
def test_value_readers_reject_wrong_types_and_values_out_of_bounds(
    read: Callable[[object], object], raw: object
) -> None:
    with pytest.raises(ValueError, match=r"\w"):
        read(raw)


def test_only_similar_names_are_suggested() -> None:
    assert reader.most_similar("balanc", ["topup", "balance"]) == "balance"
    assert reader.most_similar("zzz", ["topup", "balance"]) is None
