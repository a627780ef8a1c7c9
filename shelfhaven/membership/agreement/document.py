"""Module path of the replicated document and its leases in pysyncobj's dump files.

The files contain pickled objects, so this path must stay importable.
"""

from shelfhaven.consensus.state_machine import Document, Lease

__all__ = ["Document", "Lease"]
