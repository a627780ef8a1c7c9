"""Identity of a node: its name and location, and its key on the endpoint list."""

from __future__ import annotations

from dataclasses import dataclass

from shelfhaven.membership.endpoint_registry import NODES


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """A node's name, location and address."""

    name: str
    zone: str = ""
    region: str = ""
    address: str = ""  # where peers poll it

    @property
    def key(self) -> str:
        """The node's key on the endpoint list."""
        return f"{NODES}{self.zone}/{self.name}"
