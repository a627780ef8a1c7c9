"""The types of a server's configuration, and the error for a configuration that is invalid."""

from __future__ import annotations

import re
from dataclasses import dataclass

from shelfhaven.decision.settings import Settings
from shelfhaven.errors import ShelfhavenError

MAX_ITEMS = 10_000  # in one list; no real list of classes or tenants is longer
NAME = re.compile(r"[!-~]{1,128}\Z")  # no spaces: the agent's protocol separates words by them


class ConfigError(ShelfhavenError):
    """The configuration cannot be read or is invalid.

    Attributes:
        reason: what is wrong, as text for the operator.
        key: the invalid key or property, None if the error concerns the whole file.
        file: path of the file, None if the caller knows it.
    """

    def __init__(self, reason: str, key: str | None = None, file: str | None = None) -> None:
        self.reason = reason
        self.key = key
        self.file = file
        super().__init__(": ".join(filter(None, (file, key, reason))))


@dataclass(frozen=True, slots=True)
class Address:
    """A numeric IPv4 address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Limits:
    """Resources that the program itself may use; `sockets` is a number of file descriptors."""

    cores: float
    memory_mb: float
    sockets: int


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one server.

    Attributes:
        name: the server's name in its status reports and in the log.
        listen: address for routers to connect to, None without a platform configuration.
        agent: address of the agent that runs requests, None without a platform configuration.
        members: address of the membership service, None without a platform configuration.
        ledger: address of the service for downstream calls, None without a platform configuration and for
            servers of the last tier.
        seed: seed of the controller's random numbers.
        stop: seconds from the signal to drain until the process is killed.
        limits: resources that the program itself may use.
        settings: the controller's settings.
        classes: names of the classes, in the order of the settings.
        tenants: names of the tenants, in the order of the settings.
        unsupported: keys that are set but that the agent's protocol cannot express; they are ignored.
    """

    name: str
    listen: Address | None
    agent: Address | None
    members: Address | None
    ledger: Address | None
    seed: int
    stop: float
    limits: Limits
    settings: Settings
    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    unsupported: tuple[str, ...]


def parse_address(text: str) -> Address:
    """Parse `HOST:PORT`, where HOST is a numeric IPv4 address.

    Raises:
        ValueError: the text is not such an address.
    """
    host, colon, port = text.rpartition(":")
    octets = host.split(".")
    is_ipv4 = len(octets) == 4 and all(octet.isdecimal() and int(octet) < 256 for octet in octets)
    if not colon or not is_ipv4:
        raise ValueError("not an address in numbers with a port")
    if not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{port!r} is not a port")
    return Address(host, int(port))
