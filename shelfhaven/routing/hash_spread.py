"""Hash of a name to a fraction, by which nodes spread their activities without communicating."""

from __future__ import annotations

import hashlib


def hash_fraction(name: str, purpose: str) -> float:
    """Hash a name to a fraction from 0 to 1.

    The fraction depends only on the name and the purpose, so it is the same on every node and after restarts.
    """
    digest = hashlib.blake2b(f"{purpose}/{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / float(1 << 64)
