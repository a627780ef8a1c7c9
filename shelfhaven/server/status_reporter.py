"""The actor that reports to the membership service, by UDP datagram, that this server is alive.

It owns the socket and the timer of the reports.  It never waits for the service and never fails when the
service does.

The first report to an address is sent after a fraction of the interval that depends on the server's name.
Without that, hundreds of servers that start or change the address together would all report at the same
moments from then on.
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

REPORT_INTERVAL = 0.25  # seconds; the list drops a server after 3 without one, so 11 in a row may be lost


class StatusReporter:
    """Reports to one address at a time, or to none without an address."""

    def __init__(self, address: Address | None, name: str, log: Log) -> None:
        self.address = address
        self.name = name
        self.mailbox: Mailbox[messages.ReportStatus] = Mailbox(self._set_status, log)
        self.accepting = True  # whether the server accepts requests
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.timer: asyncio.TimerHandle | None = None  # None before `start`

    def put(self, message: messages.ReportStatus) -> None:
        """Queue the status to report from now on."""
        self.mailbox.put(message)

    def set_address(self, address: Address | None) -> None:
        """Report to another address from now on, starting anew with a first report."""
        if address != self.address:
            self.address = address
            if self.timer:
                self.timer.cancel()
                self._schedule_first()

    def start(self) -> None:
        """Start reporting, if there is an address."""
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
        """Report a change of status at once."""
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
