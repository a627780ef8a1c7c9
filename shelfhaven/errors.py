"""The base class of all exceptions that this package defines.

A module with its own kinds of failure derives classes named `...Error` from `ShelfhavenError`, whose
attributes describe the failure.  A built-in exception that escapes from a function means a bug or a system
error.
"""

from __future__ import annotations


class ShelfhavenError(Exception):
    """Base class of all errors of this package."""
