"""The output and exit code of a command-line command."""

from __future__ import annotations

from typing import NamedTuple


class CommandOutput(NamedTuple):
    """The lines to print and the exit code: 0 for success, others as the command's module defines them."""

    lines: list[str]
    exit_code: int = 0
