#!/bin/sh
# The stand-ins of cases 6 to 10 are Python and need no build: this only checks that the deploy file's build is there.
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
cd "$root" || exit 2
exec .venv/bin/python -c "import sys; sys.path.insert(0, 'review'); import standins2"
