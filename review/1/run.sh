#!/bin/sh
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
test -x "$root/.venv/bin/python" || exit 2
"$root/.venv/bin/python" -B "$here/case.py"
case $? in
    0) exit 0 ;;
    10) exit 1 ;; # any other code, also that of an uncaught exception, means that the case could not run
    *) exit 2 ;;
esac
