"""A client that opens streams on one gRPC connection as fast as they end, as a process of its own.

    python -m shelfhaven.lab.stream_flood_client PORT KIND SECONDS

Each stream carries one request; the client reads the verdict.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import sys
import time
from enum import StrEnum

import grpc

from shelfhaven.lab.proxy import ProxyStub, first_message, new_request

CONCURRENT_STREAMS = 64
MANY_FIELDS = 30_000


class StreamFloodKind(StrEnum):
    """What the streams ask for."""

    REQUESTS = "requests"
    UNMAPPED_REQUESTS = "unmapped-requests"
    MANY_FIELDS = "many-fields"
    CANCELLED_REQUESTS = "cancelled-requests"  # at once, without waiting for the verdict


def _encoded(kind: StreamFloodKind, number: int) -> bytes:
    path = f"/none/{number}" if kind is StreamFloodKind.UNMAPPED_REQUESTS else f"/balance/{number}"
    message = first_message(new_request("GET", path, b"", {"x-gateway": f"gateway {number}"}))
    if kind is StreamFloodKind.MANY_FIELDS:
        for _ in range(MANY_FIELDS):
            message.request_headers.headers.headers.add(key="a")
    return message.SerializeToString()


async def _open_streams(
    proxy: ProxyStub, kind: StreamFloodKind, numbers: itertools.count[int], ends_at: float
) -> None:
    while time.monotonic() < ends_at:
        stream = proxy.process()
        with contextlib.suppress(grpc.aio.AioRpcError, asyncio.InvalidStateError):
            await stream.write(_encoded(kind, next(numbers)))
            if kind is StreamFloodKind.CANCELLED_REQUESTS:
                stream.cancel()
                continue
            await stream.read()
            await stream.done_writing()


async def send_flood(port: int, kind: StreamFloodKind, seconds: float) -> None:
    """Open streams until the time is over."""
    proxy = ProxyStub(port, [])
    ends_at = time.monotonic() + seconds
    numbers = itertools.count(1)
    await asyncio.gather(*(_open_streams(proxy, kind, numbers, ends_at) for _ in range(CONCURRENT_STREAMS)))
    await proxy.close()


if __name__ == "__main__":
    port_text, kind_text, seconds_text = sys.argv[1:]
    asyncio.run(send_flood(int(port_text), StreamFloodKind(kind_text), float(seconds_text)))
