"""A client that opens streams on one gRPC connection as fast as it can, as a process of its own.

    python -m shelfhaven.lab.stream_flood_client PORT KIND SECONDS [unread]

Each stream carries one request.  Kinds of frames are written without a gRPC library, which would wait for
streams to end; with `unread` what the peer sends is not read.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import sys
import time
from enum import StrEnum

import grpc

from shelfhaven.lab import http2_frames
from shelfhaven.lab.flood_client import send_flood as send_messages
from shelfhaven.lab.proxy import PROCESS_METHOD, ProxyStub, first_message, new_request

CONCURRENT_STREAMS = 64
MANY_FIELDS = 30_000


class StreamFloodKind(StrEnum):
    """What the streams ask for."""

    REQUESTS = "requests"
    UNMAPPED_REQUESTS = "unmapped-requests"
    MANY_FIELDS = "many-fields"
    CANCELLED_REQUESTS = "cancelled-requests"  # at once, without waiting for the verdict
    FRAMES = "frames"
    CANCELLED_FRAMES = "cancelled-frames"

    @property
    def is_of_frames(self) -> bool:
        """Whether the streams are written as HTTP/2 frames, as many as the connection takes."""
        return self in (StreamFloodKind.FRAMES, StreamFloodKind.CANCELLED_FRAMES)


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


def send_frames(port: int, kind: StreamFloodKind, seconds: float, reads_answers: bool) -> None:
    """Write streams until the time is over or the peer has closed the connection."""
    message = _encoded(kind, 1)
    is_cancelled = kind is StreamFloodKind.CANCELLED_FRAMES

    def frames(number: int) -> bytes:
        return http2_frames.grpc_stream(2 * number - 1, PROCESS_METHOD, message, is_cancelled=is_cancelled)

    send_messages(port, frames, seconds, reads_answers, http2_frames.connection_start())


def main() -> None:
    """Run the client that the arguments describe."""
    port_text, kind_text, seconds_text, *options = sys.argv[1:]
    port = int(port_text)
    kind = StreamFloodKind(kind_text)
    seconds = float(seconds_text)
    if kind.is_of_frames:
        send_frames(port, kind, seconds, "unread" not in options)
    else:
        asyncio.run(send_flood(port, kind, seconds))


if __name__ == "__main__":
    main()
