"""Module path of the replicated document's entries in pysyncobj's dump files.

The files contain pickled objects, so this path must stay importable.
"""

from shelfhaven.consensus.store import Entry

__all__ = ["Entry"]
