"""Makes the wall clock of a test process jump by `STEP_BY` seconds, `STEP_AFTER` seconds after its start.

Python imports this module at its start if this folder is on its path.
"""

import os
import time

_system_time, _started_at = time.time, time.monotonic()
_step, _step_after = float(os.environ.get("STEP_BY", "0")), float(os.environ.get("STEP_AFTER", "0"))


def _time_with_step() -> float:
    return _system_time() + (_step if time.monotonic() - _started_at >= _step_after else 0.0)


time.time = _time_with_step
