#!/bin/sh
# exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0: no disruption
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
cd "$root" || exit 2
test -x .venv/bin/python || exit 2
PYTHONPATH="$root/review" exec .venv/bin/python "$folder/case.py"
