"""Reports the results of disk operations to `DiskHealth`, and logs each change of state once.

Owns the mapping of exceptions to faults. How requests are handled during a fault is decided in
`disk_health.py`.
"""

from __future__ import annotations

import errno

import apsw

from shelfhaven.membership.clock import boottime
from shelfhaven.server.log import Log
from shelfhaven.state.disk_health import DiskFault, DiskHealth, DiskSettings, DiskState
from shelfhaven.state.errors import FileInUseError

IN_USE = "taken"  # logged in place of a `DiskState`


class DiskMonitor:
    """Passes successes and failures to `DiskHealth`, and logs changes of the disk's state."""

    def __init__(self, settings: DiskSettings, log: Log) -> None:
        self.health = DiskHealth(settings)
        self._log = log
        self._logged_state = DiskState.HEALTHY.value

    def succeeded(self) -> None:
        """Report a successful commit."""
        self.health.operation_succeeded()
        self._log_change(DiskState.HEALTHY.value, "")

    def failed(self, error: Exception) -> None:
        """Report a failed operation on the key file."""
        self.health.operation_failed(boottime(), disk_fault(error))
        self._log_change(self.health.state(boottime()).value, str(error))

    def file_in_use(self, error: FileInUseError) -> None:
        """Log that another process holds the key file; this does not count as a disk fault."""
        self._log_change(IN_USE, str(error))

    def _log_change(self, state: str, error: str) -> None:
        if state != self._logged_state:
            self._logged_state = state
            self._log.event("keys_disk", standing=state, error=error)


def disk_fault(error: Exception) -> DiskFault:
    """Classify an exception from SQLite or the operating system."""
    is_full = isinstance(error, apsw.FullError)
    is_full = is_full or (isinstance(error, OSError) and error.errno == errno.ENOSPC)
    return DiskFault.FULL if is_full else DiskFault.FAILING
