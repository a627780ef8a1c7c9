#!/bin/sh
# The stand-ins are Python files that need the standard library alone: there is nothing to build but what the deploy file builds.
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
test -x "$root/.venv/bin/python"
