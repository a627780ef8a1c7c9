"""State shared by the parts of a member: settings, identity, and the node's view of the fleet."""

from __future__ import annotations

from random import Random

from shelfhaven.membership.endpoint_list import EndpointList
from shelfhaven.membership.endpoint_registry import NodeIndex
from shelfhaven.membership.node_identity import NodeIdentity
from shelfhaven.membership.settings import MemberSettings


class FleetView:
    """One node's endpoint list with the index of its nodes, and the settings and identity of the node."""

    def __init__(self, settings: MemberSettings, identity: NodeIdentity, random: Random) -> None:
        self.settings = settings
        self.identity = identity
        self.random = random
        self.endpoint_list = EndpointList(settings.shrink_guard)
        self.nodes = NodeIndex()
        self.endpoint_list.on_put = self.nodes.add
        self.endpoint_list.on_removed = self.nodes.remove
        self.is_zone_watcher = False  # this node runs the singleton task of watching the list for its zone
        self.zone_watchers: set[str] = set()  # keys of the nodes assigned to that task

    def size(self) -> int:
        """Return the number of nodes in the fleet: those listed, or the expected number if that is larger."""
        return max(1, len(self.nodes), self.settings.expected_nodes)

    def reconfigure(self, settings: MemberSettings) -> None:
        """Replace the settings."""
        self.settings = settings
        self.endpoint_list.settings = settings.shrink_guard
