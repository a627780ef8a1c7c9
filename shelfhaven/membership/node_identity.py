"""Identity of a node: its name and location, and its key on the endpoint list."""

from __future__ import annotations

from dataclasses import dataclass

from shelfhaven.membership.endpoint_registry import NODE_KEY_PREFIX


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
        return f"{NODE_KEY_PREFIX}{self.zone}/{self.name}"
