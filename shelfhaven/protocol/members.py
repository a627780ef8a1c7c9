"""Codec of the reports to the membership service: one datagram of three words.

Owns the form of a report.  It must never send one or decide what it says.
"""

from __future__ import annotations


def report(name: str, up: bool) -> bytes:
    """The datagram that says whether this server takes work."""
    return f"HB {name} {'UP' if up else 'OUT'}".encode()
