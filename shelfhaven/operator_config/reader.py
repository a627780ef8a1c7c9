"""Typed, validating access to the KDL nodes of the operator's file.

Converts raw values to typed ones and records the origin of each. The names of nodes and properties are
defined by the other modules of this package, each of which reads the nodes of one subsystem. An invalid value
raises ConfigError with the file, the node and the property; for an unknown name the message suggests the most
similar known one.
"""

from __future__ import annotations

import difflib
import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Protocol, TypeVar

import humanfriendly
from kdl.types import Node

from shelfhaven.config import MAX_ITEMS, NAME, Address, ConfigError, parse_address


class Named(Protocol):
    """A value that was read from a named node."""

    @property
    def name(self) -> str:
        """The first argument of the node."""


T = TypeVar("T")
NamedT = TypeVar("NamedT", bound=Named)
SocketAddress = Address | Path  # TCP address, or path of a Unix socket

SIMILARITY_CUTOFF = 0.4  # minimum difflib ratio of a suggested name; 1 means equal
MAX_DURATION = 1e6  # seconds
MAX_SOCKET_PATH = 100  # characters; Linux allows 107 bytes
UNIX_PREFIX = "unix:"


@dataclass(frozen=True, slots=True)
class Origin:
    """A value in effect and its origin: the file's name, `default`, `platform`, or why it was not read."""

    path: str
    value: str
    origin: str


class ConfigNode:
    """Reads the values of a KDL node by name; `reject_unknown` reports those that were never requested."""

    def __init__(self, node: Node, path: str, origins: list[Origin], file: str) -> None:
        self.path = path
        self.file = file
        self.args: list[object] = list(node.args)
        self._properties: dict[str, object] = dict(node.props)
        self._nodes: list[Node] = list(node.nodes)
        self._origins = origins  # shared by all nodes of the file
        self._known_names: set[str] = set()
        self._children: list[ConfigNode] = []

    def error(self, name: str, message: str) -> ConfigError:
        """Return an error about the property or child `name`, or about this node if `name` is empty."""
        key = " ".join(filter(None, (self.path, name)))
        return ConfigError(message, key=key, file=self.file)

    def take_name(self, what: str) -> str:
        """Read and consume the node's first argument, its name; `what` describes it in error messages."""
        if not self.args or not isinstance(self.args[0], str) or not NAME.match(self.args[0]):
            raise self.error("", f"the {what} is missing or is not a single printable word")
        return str(self.args.pop(0))

    def children(self, name: str) -> list[ConfigNode]:
        """Return the child nodes with this name in file order."""
        self._known_names.add(name)
        matches = [node for node in self._nodes if node.name == name]
        if len(matches) > MAX_ITEMS:
            raise self.error(name, "too many nodes with this name")
        children = [self._wrap_child(node) for node in matches]
        self._children += children
        return children

    def _wrap_child(self, node: Node) -> ConfigNode:
        label = f' "{node.args[0]}"' if node.args and isinstance(node.args[0], str) else ""
        path = f"{self.path} > {node.name}{label}".removeprefix(" > ")
        return ConfigNode(node, path, self._origins, self.file)

    def child(self, name: str) -> ConfigNode | None:
        """Return the only child node with this name, or None if there is none."""
        matches = self.children(name)
        if len(matches) > 1:
            raise self.error(name, "is given more than once")
        return matches[0] if matches else None

    def child_or_empty(self, name: str) -> ConfigNode:
        """Return the only child node with this name, or an empty node, whose values are all defaults."""
        return self.child(name) or self._wrap_child(Node(name))

    def skip_children(self, name: str, reason: str) -> None:
        """Exclude the child nodes with this name from all checks and record the reason as their origin."""
        for child in self.children(name):
            child.record_origin("", "not read", reason)
            self._children.remove(child)

    def raw_value(self, name: str) -> object:
        """Return an unvalidated value, given as a property (`aim="2s"`) or as a child node (`aim "2s"`).

        Returns None if the value is not given.
        """
        self._known_names.add(name)
        matches = [node for node in self._nodes if node.name == name]
        is_property = name in self._properties
        if len(matches) > 1 or (matches and is_property):
            raise self.error(name, "is given more than once")
        if is_property:
            return self._properties[name]
        if not matches:
            return None
        if len(matches[0].args) != 1 or matches[0].props or matches[0].nodes:
            raise self.error(name, "takes exactly one value")
        values: list[object] = matches[0].args
        return values[0]

    def take(self, name: str, read: Callable[[object], T], default: T | None) -> T:
        """Return the value with this name, converted by `read`; it is required if `default` is None."""
        raw = self.raw_value(name)
        if raw is None:
            if default is None:
                raise self.error(name, "missing")
            self.record_origin(name, default, "default")
            return default
        try:
            value = read(raw)
        except ValueError as error:
            raise self.error(name, str(error)) from None
        self.record_origin(name, raw, self.file)
        return value

    def record_origin(self, name: str, value: object, origin: str) -> None:
        """Record a value in effect and its origin."""
        path = " > ".join(filter(None, (self.path, name)))
        plain_value = value.value if isinstance(value, Enum) else value
        self._origins.append(Origin(path, str(plain_value), origin))

    def reject_unknown(self) -> None:
        """Raise ConfigError for an argument, property or child that was not read, here or in a child node."""
        if self.args:
            raise self.error("", f"unexpected argument {self.args[0]!r}")
        for name in [*self._properties, *(node.name for node in self._nodes)]:
            if name not in self._known_names:
                similar = most_similar(name, sorted(self._known_names))
                hint = f'; did you mean "{similar}"?' if similar else ""
                raise self.error(name, f"unknown node or property{hint}")
        for child in self._children:
            child.reject_unknown()


def most_similar(name: str, known: Sequence[str]) -> str | None:
    """Return the known name that is most similar to a misspelt one, or None if none is similar enough."""
    matches = difflib.get_close_matches(name, known, 1, SIMILARITY_CUTOFF)
    return matches[0] if matches else None


# Value readers for `ConfigNode.take`: each raises ValueError with a message about the value


def text(raw: object) -> str:
    """Read a string without line breaks or other control characters."""
    if not isinstance(raw, str) or not raw.isprintable():
        raise ValueError("not a quoted string of printable characters")
    return raw


def request_path(raw: object) -> str:
    """Read the path of an HTTP request."""
    value = text(raw)
    if not value.startswith("/"):
        raise ValueError(f"{raw!r} does not begin with /")
    return value


def boolean(raw: object) -> bool:
    """Read `true` or `false`."""
    if not isinstance(raw, bool):
        raise ValueError(f"{raw!r} is not true or false")
    return raw


def number(min_value: float = 0.0, max_value: float = math.inf) -> Callable[[object], float]:
    """Return a reader of finite numbers within the bounds, inclusive."""

    def read(raw: object) -> float:
        if isinstance(raw, bool) or not isinstance(raw, int | float):
            raise ValueError(f"{raw!r} is not a number")
        if not math.isfinite(raw) or not min_value <= raw <= max_value:
            bound = (
                f"of at least {min_value:g}"
                if max_value == math.inf
                else f"from {min_value:g} to {max_value:g}"
            )
            raise ValueError(f"{raw:g} is not a number {bound}")
        return float(raw)

    return read


def integer(min_value: int = 0, max_value: int = 1 << 31) -> Callable[[object], int]:
    """Return a reader of integers within the bounds, inclusive."""
    read_number = number(min_value, max_value)

    def read(raw: object) -> int:
        value = read_number(raw)
        if not value.is_integer():
            raise ValueError(f"{raw} is not an integer")
        return int(value)

    return read


def duration(raw: object) -> float:
    """Read a duration with a unit; returns seconds."""
    if not isinstance(raw, str) or raw.strip().replace(".", "").isdigit():
        raise ValueError(f'{raw!r} is not a duration with a unit, such as "2.2s" or "100ms"')
    try:
        value = float(humanfriendly.parse_timespan(raw))
    except humanfriendly.InvalidTimespan:
        raise ValueError(f'{raw!r} is not a duration with a unit, such as "2.2s" or "100ms"') from None
    if not 0 <= value < MAX_DURATION:
        raise ValueError(f"{raw!r} is not a duration from 0 to less than 1000000 seconds")
    return value


def positive_duration(raw: object) -> float:
    """Read a nonzero duration with a unit; returns seconds."""
    value = duration(raw)
    if value <= 0:
        raise ValueError(f"{raw!r} is not greater than 0")
    return value


def size(raw: object) -> int:
    """Read a size with a unit, where 1 KB is 1024 bytes; returns bytes."""
    try:
        value = humanfriendly.parse_size(text(raw), binary=True)
    except (ValueError, humanfriendly.InvalidSize):
        raise ValueError(f'{raw!r} is not a size with a unit, such as "192MB"') from None
    return int(value)


def socket_address(raw: object) -> SocketAddress:
    """Read `HOST:PORT`, where HOST is a numeric IPv4 address, or `unix:/PATH`."""
    value = text(raw)
    if not value.startswith(UNIX_PREFIX):
        return parse_address(value)
    path = Path(value.removeprefix(UNIX_PREFIX))
    if not path.is_absolute() or len(str(path)) > MAX_SOCKET_PATH:
        raise ValueError(f"{raw!r} is not an absolute path of at most 100 characters")
    return path


def choice(options: Mapping[str, T]) -> Callable[[object], T]:
    """Return a reader of one of a set of words; it returns the value that the word maps to."""

    def read(raw: object) -> T:
        if raw not in options:
            raise ValueError(f"{raw!r} is not one of {', '.join(options)}")
        return options[str(raw)]

    return read


def existing_file(raw: object) -> Path:
    """Read the path of an existing file."""
    path = Path(text(raw))
    if not path.is_file():
        raise ValueError(f"{raw!r} is not an existing file")
    return path


def unique_by_name(values: Iterable[NamedT], parent: ConfigNode, node_name: str) -> dict[str, NamedT]:
    """Index values by name. A duplicate name raises ConfigError about the child `node_name` of `parent`."""
    result: dict[str, NamedT] = {}
    for value in values:
        if value.name in result:
            raise parent.error(f'{node_name} "{value.name}"', "is given more than once")
        result[value.name] = value
    return result
