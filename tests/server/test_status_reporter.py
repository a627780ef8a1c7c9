"""Reports to the membership service: servers that start together spread them over the interval."""

from __future__ import annotations

import asyncio
import time

from shelfhaven.config import Address
from shelfhaven.lab.platform import Members as Service
from shelfhaven.server import status_reporter
from shelfhaven.server.log import Log
from shelfhaven.server.status_reporter import StatusReporter
from tests.peers import NULL, run_async


def test_servers_that_start_together_spread_their_reports() -> None:
    async def check() -> None:
        service = Service()
        address = Address("127.0.0.1", service.port)
        reporters = [StatusReporter(address, f"n{number}", Log("test", NULL)) for number in range(40)]
        started_at = time.monotonic()
        first_report_times: dict[bytes, float] = {}
        for reporter in reporters:
            reporter.start()
        while len(first_report_times) < 40:
            for report in service.reports():
                first_report_times.setdefault(report, time.monotonic() - started_at)
            await asyncio.sleep(0.001)
        for reporter in reporters:
            reporter.end()
        sorted_times = sorted(first_report_times.values())
        assert sorted_times[-1] <= status_reporter.REPORT_INTERVAL + 0.2
        assert (
            sorted_times[30] - sorted_times[9] >= 0.25 * status_reporter.REPORT_INTERVAL
        ), "the reports bunch together"

    run_async(check)
