"""Run the adapter on standard input and output: `python -m shelfhaven.simulation`."""

from __future__ import annotations

import sys

from shelfhaven.simulation.adapter import serve
from shelfhaven.simulation.wire import WireError


def main() -> int:
    """Reply to frames until the input ends; return exit status 1 if the input is invalid."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"shelfhaven: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
