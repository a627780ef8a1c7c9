"""Identity of claimants. A claimant is one incarnation of a node, and reserves idempotency keys."""

from __future__ import annotations

from dataclasses import dataclass

SEPARATOR = "/"  # between a claimant's address and its incarnation


@dataclass(frozen=True, slots=True)
class ClaimantIdentity:
    """One incarnation of a node: the node's name, its address for peers, and the incarnation number."""

    name: str
    address: str
    incarnation: int  # increases with each start of the node

    @property
    def claimant(self) -> str:
        """The name under which this incarnation reserves keys."""
        return f"{self.address}{SEPARATOR}{self.incarnation}"


def address_of(claimant: str) -> str:
    """Return the node address that a claimant's name contains."""
    return claimant.partition(SEPARATOR)[0]
