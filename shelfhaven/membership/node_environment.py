"""Interface through which the membership queries and notifies the node that it runs in."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeAlias

from shelfhaven.membership.list_version import Endpoint
from shelfhaven.routing import warm_start

BackendKnowledge: TypeAlias = Mapping[str, object]  # JSON, by "POOL/SERVER" (`routing/warm_start.py`)


class NodeEnvironment:
    """Queries to the node and notifications of it. The defaults are those of a node without pools."""

    def is_runner_connected(self) -> bool:
        """Whether the node is connected to the runner of its requests."""
        return True

    def has_backend_answered(self) -> bool:
        """Whether a backend has answered successfully since the start."""
        return False

    def health(self) -> float:
        """The node's health, from 0 (unhealthy) to 1."""
        return 1.0

    def overload_factor(self) -> float:
        """The factor by which backends are overloaded, as far as the node knows; 1 for no overload."""
        return 1.0

    def backend_knowledge(self) -> BackendKnowledge:
        """The node's estimates of backends, for a peer that is starting."""
        return {}

    def apply_backend_knowledge(
        self, knowledge: Mapping[str, warm_start.BackendEstimate], health: float
    ) -> int:
        """Apply a peer's backend estimates, weighted by its health; return the number of those applied."""
        del knowledge, health
        return 0

    def fleet_changed(self, cold_fraction: float, size: int, overload_factor: float) -> None:
        """Receive the current state of the fleet; called periodically, also without a change.

        `overload_factor` is the largest that peers reported since the previous call.
        """

    def list_changed(self, items: Mapping[str, Endpoint]) -> None:
        """Receive the entries of the endpoint list after a change."""
