"""In a drain, a consultation about a HEAD request gets no verdict: its connection just ends."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from standins2 import CaseError, Node, Record, free_port, play_case, trouble

PROXIES = 12  # every second one asks by HEAD, the others by GET
LATE = 3.0  # seconds after the notice, which is past the grace of 2.5 s and before the stop at 5 s

FILE = """
node "clearing-1" {{
    cores 1.0
    memory "192MB"
    descriptors 512
    stop "5s"
}}
work {{
    at-once 16
    memory "64MB"
    callers 4
    drain-grace "2500ms"
    class "topup" aim="2s" deadline="4s" worth=3 repeat="keyed" window="8s"
    class "balance" aim="500ms" deadline="1500ms" worth=1 repeat="safe"
}}
mapping "vendors" {{
    route "topup" method="POST" path="/topup"
    route "balance" method="GET HEAD" path="/balance/*"
    key variable="HTTP_IDEMPOTENCY_KEY"
    footprint "24KB"
}}
listen "proxies" protocol="subrequest" address="127.0.0.1:{port}" mapping="vendors" {{
    verdict "200ms"
    lease "300ms"
}}
"""


class Proxy:
    """A proxy that asks with the method and path of the request that it was sent, on a kept connection."""

    def __init__(self, method: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.method = method
        self.reader = reader
        self.writer = writer

    async def ask(self, number: int) -> int:
        """Ask for the verdict on a request; return its status, 0 if there is none."""
        self.writer.write(b"%b /balance/%d HTTP/1.1\r\nHost: node\r\n\r\n" % (self.method.encode(), number))
        try:
            async with asyncio.timeout(5.0):
                head = await self.reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").lower().split("\r\n")
                lengths = [
                    int(line.partition(":")[2]) for line in lines if line.startswith("content-length:")
                ]
                if self.method != "HEAD":  # a response to HEAD has no body, whatever its length says
                    await self.reader.readexactly(sum(lengths))
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return 0
        return int(lines[0].split()[1])


async def play(record: Record, folder: Path) -> bool:
    """Play the case; return whether each consultation got a verdict."""
    port = free_port()
    node = Node(record, folder, FILE.format(port=port), [port])
    proxies: list[Proxy] = []
    without = 0
    try:
        await node.start()
        await asyncio.sleep(1.5)
        for number in range(PROXIES):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            proxies.append(Proxy("HEAD" if number % 2 else "GET", reader, writer))
        for number, proxy in enumerate(proxies):
            status = await proxy.ask(number)
            record.add(f"{proxy.method} /balance/{number}: verdict {status}")
            if status != 200:
                raise CaseError("a consultation was not permitted before the disruption")
        if trouble():
            node.signal(signal.SIGTERM)
            await node.logged("draining")
        await asyncio.sleep(LATE)
        for number, proxy in enumerate(proxies):
            status = await proxy.ask(number)
            record.add(
                f"{proxy.method} /balance/{number} again: verdict {status or 'none, the connection ended'}"
            )
            without += status == 0
        for line in node.log_text().splitlines():
            if "proxy_failed" in line:
                record.add(f"node's log: {line[:200]}")
    finally:
        for proxy in proxies:
            proxy.writer.close()
        node.end()
    record.add(f"consultations without a verdict: {without} of {PROXIES}")
    return without == 0


if __name__ == "__main__":
    play_case(play, __file__)
