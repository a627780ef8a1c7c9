"""In the second half of a drain, a proxy is told that a top-up that has run was not run."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from standins2 import NO_ANSWER, Answer, CaseError, Node, Record, free_port, play_case, read_answer, trouble

PROXIES = 6
STOP = 5.0  # seconds, from the file below

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
    class "topup" aim="2s" deadline="4s" worth=3 repeat="keyed" window="8s"
    class "balance" aim="500ms" deadline="1500ms" worth=1 repeat="safe"
}}
mapping "vendors" {{
    route "topup" method="POST" path="/topup"
    route "balance" method="GET" path="/balance/*"
    key variable="HTTP_IDEMPOTENCY_KEY"
    footprint "24KB"
}}
listen "proxies" protocol="subrequest" address="127.0.0.1:{port}" mapping="vendors" {{
    verdict "200ms"
    lease "5s"
}}
"""


class Proxy:
    """One kept connection of a proxy, which asks before it forwards a request."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def ask(self, key: str) -> Answer:
        """Ask for the verdict on a top-up."""
        self.writer.write(
            b"GET /ask HTTP/1.1\r\nHost: node\r\nX-Original-Method: POST\r\nX-Original-URI: /topup\r\n"
            b"Idempotency-Key: %b\r\n\r\n" % key.encode()
        )
        try:
            return await asyncio.wait_for(read_answer(self.reader), 5.0)
        except (OSError, TimeoutError):
            return NO_ANSWER


async def play(record: Record, folder: Path) -> bool:
    """Play the case; return whether no top-up that was forwarded is told not to have run."""
    port = free_port()
    node = Node(record, folder, FILE.format(port=port), [port])
    turned_away = 0
    proxies: list[Proxy] = []
    try:
        await node.start()
        await asyncio.sleep(1.5)
        for _ in range(PROXIES):
            proxies.append(Proxy(*await asyncio.open_connection("127.0.0.1", port)))  # noqa: PERF401
        for number, proxy in enumerate(proxies):
            answer = await proxy.ask(f"{number:032x}")
            record.add(f"top-up {number}, first try: {answer}")
            if answer.status != 200:
                raise CaseError("a top-up got no permission before the disruption")
            record.add(f"the proxy forwards top-up {number}, which runs")
        if trouble():
            node.signal(signal.SIGTERM)
            await node.logged("draining")
        await asyncio.sleep(0.6 * STOP)
        for number, proxy in enumerate(proxies):
            answer = await proxy.ask(f"{number:032x}")
            record.add(f"top-up {number}, repeat: {answer}")
            turned_away += answer.not_run
    finally:
        for proxy in proxies:
            proxy.writer.close()
        node.end()
    record.add(f"{PROXIES} top-ups ran; repeats answered as not run: {turned_away}")
    return turned_away == 0


if __name__ == "__main__":
    play_case(play, __file__)
