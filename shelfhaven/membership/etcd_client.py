"""Client of a list service with the etcd v3 API: list reads, a watch, and the lease of a node's registration.

It carries out the actions of a member and reports their results as events. The member decides when to call
and how to interpret a result. Every call has a timeout. Each read, registration and renewal ends in exactly
one event, and a watch that is not stopped in exactly one `WatchLost`.

Import this module only if the operator configuration names such a service: gRPC takes about 14 MB of memory.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine, Sequence
from typing import NamedTuple, TypeAlias

import grpc

from shelfhaven.membership.etcd_channel import (
    CALL_ERRORS,
    GRANT,
    KEEP_ALIVE,
    PUT,
    RANGE,
    REVOKE,
    WATCH,
    EtcdChannel,
    StreamCall,
    closed_channel_as_error,
    range_end,
    retry_after_of,
)
from shelfhaven.membership.list_version import Endpoint
from shelfhaven.membership.messages import (
    Action,
    DeregisterSelf,
    Event,
    LeaseRenewalAnswered,
    ListOperation,
    ListReadCompleted,
    ListServiceFailed,
    ReadList,
    RegisterSelf,
    RenewLease,
    SelfRegistered,
    StopWatch,
    WatchEventReceived,
    WatchList,
    WatchLost,
)
from shelfhaven.protocol.pb import etcd_pb2 as pb
from shelfhaven.server.log import Log

PAGE_ENTRIES = 2000  # entries in one response
MAX_ENTRIES = 100_000  # in a complete list; no fleet has a longer one
PROGRESS_INTERVAL_S = 5.0  # between requests for the progress of a watch

ReportEvent: TypeAlias = Callable[[Event], None]


class _ListEntry(NamedTuple):
    """An entry of the endpoint list with its key."""

    key: str
    endpoint: Endpoint


class EtcdListService:
    """A node's client of the list service."""

    def __init__(
        self, endpoints: Sequence[str], prefix: str, timeout: float, report: ReportEvent, log: Log
    ) -> None:
        self.prefix = prefix.encode()
        self.timeout = timeout
        self.report = report
        self.log = log
        self.channel = EtcdChannel(endpoints, log, "list_service")
        self.call_tasks: set[asyncio.Task[None]] = set()
        self.watch_task: asyncio.Task[None] | None = None

    @property
    def request_count(self) -> int:
        """Number of requests sent so far, reported in the log."""
        return self.channel.request_count

    def set_endpoints(self, endpoints: Sequence[str]) -> None:
        """Replace the endpoints; the current channel is closed."""
        self.channel.set_endpoints(endpoints)

    def carry_out(self, action: Action, key: str = "", value: str = "") -> None:
        """Start an action; `key` and `value` are the entry with which the node registers."""
        match action:
            case ReadList():
                self._start_call(self._read(), ListOperation.READ)
            case RegisterSelf():
                self._start_call(self._register(action.ttl, key, value), ListOperation.REGISTER)
            case RenewLease():
                self._start_call(self._renew(action.lease_id), ListOperation.RENEW)
            case DeregisterSelf():
                self._start_call(self._revoke(action.lease_id), None)
            case WatchList():
                self.stop_watch()
                self.watch_task = asyncio.ensure_future(self._watch(action.after_revision))
            case StopWatch():
                self.stop_watch()

    def stop_watch(self) -> None:
        """Cancel the watch without reporting its end."""
        if self.watch_task:
            self.watch_task.cancel()
            self.watch_task = None

    async def end(self) -> None:
        """Stop the watch, wait for the other calls until the timeout, and close the channel."""
        self.stop_watch()
        if self.call_tasks:  # one may be the revocation of the lease
            calls = asyncio.gather(*self.call_tasks, return_exceptions=True)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(calls, self.timeout)
        await self.channel.end()

    # Calls with one response

    def _start_call(self, call: Coroutine[None, None, None], operation: ListOperation | None) -> None:
        task = asyncio.ensure_future(self._run_call(call, operation))
        self.call_tasks.add(task)
        task.add_done_callback(self.call_tasks.discard)

    async def _run_call(self, call: Coroutine[None, None, None], operation: ListOperation | None) -> None:
        """Run a call within the timeout; if it fails, log the error and report the operation as failed."""
        try:
            with closed_channel_as_error():
                async with asyncio.timeout(self.timeout):
                    await call
        except CALL_ERRORS as error:
            self.channel.report_failure(error)
            if operation:
                self.report(ListServiceFailed(operation, retry_after_of(error)))

    async def _read(self) -> None:
        """Read the complete list page by page, all pages at the revision of the first."""
        items: dict[str, Endpoint] = {}
        key = self.prefix
        end = range_end(self.prefix)
        revision = 0
        store = ""
        while True:
            request = pb.RangeRequest(key=key, range_end=end, limit=PAGE_ENTRIES, revision=revision)
            response = await self.channel.call(RANGE, request, pb.RangeResponse)
            revision = revision or response.header.revision
            store = store or _store_name(response.header)
            items |= dict(self._decode_entry(kv) for kv in response.kvs)
            if not response.more or not response.kvs:
                break
            if len(items) > MAX_ENTRIES:
                raise ValueError(f"the list has more than {MAX_ENTRIES} entries")
            key = response.kvs[-1].key + b"\0"
        self.report(ListReadCompleted(store, revision, items))

    async def _register(self, ttl: float, key: str, value: str) -> None:
        request = pb.LeaseGrantRequest(TTL=max(1, round(ttl)))
        granted = await self.channel.call(GRANT, request, pb.LeaseGrantResponse)
        if granted.error:
            raise ValueError(granted.error)
        put = pb.PutRequest(key=self.prefix + key.encode(), value=value.encode(), lease=granted.ID)
        await self.channel.call(PUT, put, pb.PutResponse)
        self.report(SelfRegistered(granted.ID, float(granted.TTL)))

    async def _renew(self, lease_id: int) -> None:
        call = self.channel.stream(KEEP_ALIVE, pb.LeaseKeepAliveRequest, pb.LeaseKeepAliveResponse)
        try:
            await call.write(pb.LeaseKeepAliveRequest(ID=lease_id))
            response = await call.read()
            if response is grpc.aio.EOF:
                raise ValueError("the keep-alive stream ended without a response")
            self.report(LeaseRenewalAnswered(lease_lost=response.TTL <= 0))
        finally:
            call.cancel()

    async def _revoke(self, lease_id: int) -> None:
        await self.channel.call(REVOKE, pb.LeaseRevokeRequest(ID=lease_id), pb.LeaseRevokeResponse)

    def _decode_entry(self, kv: pb.KeyValue) -> _ListEntry:
        if not kv.key.startswith(self.prefix):
            raise ValueError("the service returned a key outside the requested range")
        return _ListEntry(kv.key[len(self.prefix) :].decode(), Endpoint(kv.value.decode(), kv.mod_revision))

    # The watch

    async def _watch(self, after_revision: int) -> None:
        """Run a watch, and report its end."""
        compacted = False
        retry_after = None
        try:
            with closed_channel_as_error():
                compacted = await self._follow_watch(after_revision)
        except CALL_ERRORS as error:
            retry_after = retry_after_of(error)
            self.channel.report_failure(error)
        self.watch_task = None
        self.report(WatchLost(compacted, retry_after))

    async def _follow_watch(self, after_revision: int) -> bool:
        """Report the events of a watch until it ends.

        Returns whether the service cancelled it because the requested revisions were compacted.
        """
        call = self.channel.stream(WATCH, pb.WatchRequest, pb.WatchResponse)
        try:
            async with asyncio.timeout(self.timeout):
                await call.write(pb.WatchRequest(create_request=self._watch_request(after_revision)))
                response = await call.read()
            if response is not grpc.aio.EOF and response.created and not response.events:
                # Its revision is that of the store; the events up to there have not been received yet.
                response.header.revision = min(after_revision, response.header.revision)
            progress_task = asyncio.ensure_future(self._request_progress(call))
            try:
                while response is not grpc.aio.EOF:
                    if response.canceled:
                        return bool(response.compact_revision)
                    self._report_changes(response)
                    async with asyncio.timeout(PROGRESS_INTERVAL_S + self.timeout):
                        response = await call.read()
            finally:
                progress_task.cancel()
            raise ValueError("the watch stream ended")
        finally:
            call.cancel()

    def _watch_request(self, after_revision: int) -> pb.WatchCreateRequest:
        return pb.WatchCreateRequest(
            key=self.prefix,
            range_end=range_end(self.prefix),
            start_revision=after_revision + 1,
            progress_notify=True,
        )

    async def _request_progress(self, call: StreamCall) -> None:
        """Request progress regularly, which confirms an unchanged list and detects a dead watch."""
        with contextlib.suppress(grpc.aio.AioRpcError, grpc.aio.UsageError, asyncio.InvalidStateError):
            while True:
                await asyncio.sleep(PROGRESS_INTERVAL_S)
                self.channel.request_count += 1
                await call.write(pb.WatchRequest(progress_request=pb.WatchProgressRequest()))

    def _report_changes(self, response: pb.WatchResponse) -> None:
        put: dict[str, Endpoint] = {}
        removed: dict[str, None] = {}
        for event in response.events:  # ordered by revision: the last event of a key is authoritative
            key, item = self._decode_entry(event.kv)
            if event.type == pb.Event.DELETE:
                removed[key] = None
                put.pop(key, None)
            else:
                put[key] = item
                removed.pop(key, None)
        # The header has the store's revision even if some of the events up to it follow in another response,
        # so the list is known only up to the last event received.
        revisions = (event.kv.mod_revision for event in response.events)
        revision = max(revisions, default=response.header.revision)
        self.report(WatchEventReceived(_store_name(response.header), revision, put, tuple(removed)))


def _store_name(header: pb.ResponseHeader) -> str:
    """Return the id of the etcd cluster as the name of the store."""
    return f"{header.cluster_id:x}"
