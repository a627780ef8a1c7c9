"""Calls to a service with the etcd v3 API over one gRPC channel, with round-robin failover between endpoints.

The callers decide when to call and how to interpret a response. Import this module only if the operator
configuration names such a service: gRPC takes about 14 MB of memory.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator, Sequence
from itertools import cycle
from typing import Any, TypeAlias, TypeVar

import grpc
from google.protobuf.message import Message

from shelfhaven.server.log import Log

# Methods of the etcd v3 API.
RANGE = "/etcdserverpb.KV/Range"
PUT = "/etcdserverpb.KV/Put"
TXN = "/etcdserverpb.KV/Txn"
GRANT = "/etcdserverpb.Lease/LeaseGrant"
REVOKE = "/etcdserverpb.Lease/LeaseRevoke"
KEEP_ALIVE = "/etcdserverpb.Lease/LeaseKeepAlive"
WATCH = "/etcdserverpb.Watch/Watch"

PUSHBACK = "grpc-retry-pushback-ms"  # metadata key in which the gRPC retry design returns a retry delay
MAX_MESSAGE_BYTES = 16 << 20
MAX_RETRY_AFTER_S = 3600.0
CLOSE_GRACE_S = 10.0  # for open calls when their channel is replaced; each has a shorter timeout of its own
MAX_LOGGED_ERROR_CHARS = 300

# Exceptions that a call raises if it gets no response.
CALL_ERRORS = (grpc.aio.AioRpcError, grpc.aio.UsageError, OSError, TimeoutError, ValueError)

# gRPC's own reconnect backoff is short because the callers have a backoff of their own.
CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.min_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.enable_retries", 0),
)


ResponseT = TypeVar("ResponseT", bound=Message)

# A `grpc.aio.StreamStreamCall`. Any, because its type does not distinguish a response from the end of the
# stream.
StreamCall: TypeAlias = Any


def range_end(prefix: bytes) -> bytes:
    """Return the end of the etcd range of all keys with this prefix: the first key after them."""
    trimmed = prefix.rstrip(b"\xff")
    return trimmed[:-1] + bytes([trimmed[-1] + 1]) if trimmed else b"\0"


def retry_after_of(error: Exception) -> float | None:
    """Return the retry delay in seconds that the service requested, or None."""
    if not isinstance(error, grpc.aio.AioRpcError):
        return None
    for name, value in error.trailing_metadata() or ():
        if name == PUSHBACK:
            with contextlib.suppress(ValueError):
                return min(MAX_RETRY_AFTER_S, max(0.0, int(value) / 1000))
    return None


def status_code_of(error: Exception) -> grpc.StatusCode | None:
    """Return the gRPC status code of an error, or None if it has none."""
    return error.code() if isinstance(error, grpc.aio.AioRpcError) else None


@contextlib.contextmanager
def closed_channel_as_error() -> Iterator[None]:
    """Raise ConnectionAbortedError if a call is cancelled because its channel was closed.

    gRPC cancels the open calls of a closed channel. A cancellation of the current task passes unchanged.
    """
    try:
        yield
    except asyncio.CancelledError:
        task = asyncio.current_task()
        if task is None or task.cancelling():
            raise
        raise ConnectionAbortedError("the channel was closed during a call") from None


class EtcdChannel:
    """One gRPC channel at a time to the service, to its endpoints in turn."""

    def __init__(
        self, endpoints: Sequence[str], log: Log, failure_event: str, reconnect_after_failure: bool = False
    ) -> None:
        self.log = log
        self.failure_event = failure_event  # name of the log event for failures
        # Whether to replace the channel after a failure even if there is only one endpoint, since otherwise
        # gRPC's backoff adds to that of the caller.
        self.reconnect_after_failure = reconnect_after_failure
        self.endpoints = list(endpoints)
        self.rotation = cycle(self.endpoints)
        self.channel: grpc.aio.Channel | None = None
        self.closing_tasks: set[asyncio.Task[None]] = set()
        self.request_count = 0  # reported in the log

    def set_endpoints(self, endpoints: Sequence[str]) -> None:
        """Replace the endpoints; the current channel is closed."""
        self.endpoints = list(endpoints)
        self.rotation = cycle(self.endpoints)
        self.switch_endpoint()

    def switch_endpoint(self) -> None:
        """Use the next endpoint for further calls; open calls have a grace period to finish."""
        if self.channel:
            task = asyncio.ensure_future(self.channel.close(CLOSE_GRACE_S))
            self.closing_tasks.add(task)
            task.add_done_callback(self.closing_tasks.discard)
            self.channel = None

    async def end(self) -> None:
        """Close the current channel, and stop waiting for the calls of earlier ones."""
        if self.channel:
            channel = self.channel
            self.channel = None
            await channel.close()
        for task in list(self.closing_tasks):
            task.cancel()

    def report_failure(self, error: Exception) -> None:
        """Log a failure; switch endpoints if there are several, unless the service is only overloaded."""
        code = status_code_of(error)
        text = f"{code.name if code else type(error).__name__}: {error}"
        self.log.event(self.failure_event, error=text[:MAX_LOGGED_ERROR_CHARS])
        overloaded = code is grpc.StatusCode.RESOURCE_EXHAUSTED
        if not overloaded and (self.reconnect_after_failure or len(self.endpoints) > 1):
            self.switch_endpoint()

    def call(self, method: str, request: Message, response: type[ResponseT]) -> Awaitable[ResponseT]:
        """Start a unary call; await the result for the response."""
        self.request_count += 1
        call: Callable[[Message], Awaitable[ResponseT]] = self._open_channel().unary_unary(
            method,
            request_serializer=type(request).SerializeToString,
            response_deserializer=response.FromString,
        )
        return call(request)

    def stream(self, method: str, request: type[Message], response: type[ResponseT]) -> StreamCall:
        """Start a bidirectional streaming call."""
        self.request_count += 1
        call = self._open_channel().stream_stream(
            method, request_serializer=request.SerializeToString, response_deserializer=response.FromString
        )
        return call()

    def _open_channel(self) -> grpc.aio.Channel:
        """Return the current channel; open one to the next endpoint if there is none."""
        if self.channel is None:
            self.channel = grpc.aio.insecure_channel(next(self.rotation), options=CHANNEL_OPTIONS)
        return self.channel
