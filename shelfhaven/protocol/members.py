"""Codec of the status reports to the membership service: datagrams of three words.

The function here is pure: it neither sends a report nor decides what to report.
"""

from __future__ import annotations


def encode_report(name: str, accepting: bool) -> bytes:
    """Return the datagram that reports whether the server with this name accepts requests."""
    return f"HB {name} {'UP' if accepting else 'OUT'}".encode()
