"""The other nodes on the endpoint list, indexed by name and by zone."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple


class MemberLocation(NamedTuple):
    """The zone and the address of a node."""

    zone: str
    address: str


class MemberList:
    """The nodes on the endpoint list, without this node."""

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        self.locations: dict[str, MemberLocation] = {}
        self.by_zone: dict[str, list[str]] = {}

    def __contains__(self, name: str) -> bool:
        return name in self.locations

    def __len__(self) -> int:
        return len(self.locations)

    def update(self, locations: Mapping[str, MemberLocation]) -> None:
        """Replace the members with those of a new endpoint list."""
        self.locations = {name: location for name, location in locations.items() if name != self.own_name}
        self.by_zone = {}
        for name, (zone, _) in sorted(self.locations.items()):
            self.by_zone.setdefault(zone, []).append(name)

    def zone_of(self, name: str) -> str:
        """The zone of a node, or "" if it is not listed."""
        return self.locations[name].zone if name in self.locations else ""

    def address_of(self, name: str) -> str:
        """The address of a node. Raises KeyError if it is not listed."""
        return self.locations[name].address
