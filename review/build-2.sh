#!/bin/sh
# The stand-ins of cases 6 to 10 are Python and need no build. Case 9 starts a node with a key file, for which the project has
# requirements of its own; they are installed here if they are missing, after the deploy file's build.
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
cd "$root" || exit 2
test -x .venv/bin/python || { echo "run the deploy file's build first" >&2; exit 2; }
.venv/bin/python -c "import apsw" 2>/dev/null ||
    .venv/bin/pip install -q --disable-pip-version-check -r requirements-state.txt || exit 2
exec .venv/bin/python -c "import sys; sys.path.insert(0, 'review'); import apsw, standins2"
