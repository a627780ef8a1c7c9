"""The membership service's actor: reports by datagram that this server is there.

Owns the datagram socket and the interval of reports.  It must never wait for the service or fail with it.

The first report to an address comes after a fraction of the interval that is the server's own, so that
hundreds that start, or change address, together do not report together ever after.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

from shelfhaven.config import Address
from shelfhaven.protocol import members
from shelfhaven.routing.hash_spread import hash_fraction
from shelfhaven.server import messages
from shelfhaven.server.log import Log
from shelfhaven.server.mailbox import Mailbox

REPORT_INTERVAL = 0.25  # seconds; a server leaves the list after 3, so eleven reports in a row may be lost


class LoadReporter:
    """Reports to one address at a time; without an address it is silent."""

    def __init__(self, address: Address | None, name: str, log: Log) -> None:
        self.address = address
        self.name = name
        self.mailbox: Mailbox[messages.ReportStatus] = Mailbox(self._set_status, log)
        self.accepting = True  # whether the server takes work
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.timer: asyncio.TimerHandle | None = None  # None before `start`

    def put(self, message: messages.ReportStatus) -> None:
        """Take the status to report from now on."""
        self.mailbox.put(message)

    def set_address(self, address: Address | None) -> None:
        """Report to another address from now on, and soon: the last report may have been lost."""
        if address != self.address:
            self.address = address
            if self.timer:
                self.timer.cancel()
                self._schedule_first()

    def start(self) -> None:
        """Report from now on, if there is a service."""
        if self.address:
            self._schedule_first()

    def end(self) -> None:
        """Stop reporting and close the socket."""
        if self.timer:
            self.timer.cancel()
        self.socket.close()

    def _schedule_first(self) -> None:
        delay = REPORT_INTERVAL * hash_fraction(self.name, "report")
        self.timer = asyncio.get_running_loop().call_later(delay, self._report)

    def _set_status(self, status: messages.ReportStatus) -> None:
        """Report a change at once."""
        if status.accepting != self.accepting:
            self.accepting = status.accepting
            if self.timer:
                self.timer.cancel()
                self._report()

    def _report(self) -> None:
        with contextlib.suppress(OSError):
            if self.address:
                datagram = members.encode_report(self.name, self.accepting)
                self.socket.sendto(datagram, (self.address.host, self.address.port))
        self.timer = asyncio.get_running_loop().call_later(REPORT_INTERVAL, self._report)
