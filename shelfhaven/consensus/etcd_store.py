"""A consensus store in an etcd cluster, built on its transactions, leases and watches.

This module makes the calls to etcd and translates between etcd's messages and the store's interface. It
never repeats a change: if the response is lost, it raises `OutcomeUnknownError`, and the client has to read
the keys.

The module is imported only if the operator configuration names an etcd cluster: gRPC needs about 14 MB of
memory.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Mapping, Sequence
from typing import TypeAlias, TypeVar

import grpc

from shelfhaven.consensus.store import (
    CompactedError,
    CompareAndSet,
    CompareAndSetResult,
    ConsensusError,
    Entries,
    Entry,
    GrantedLease,
    NotAppliedError,
    OutcomeUnknownError,
    Snapshot,
)
from shelfhaven.membership.etcd_channel import (
    CALL_ERRORS,
    GRANT,
    KEEP_ALIVE,
    RANGE,
    REVOKE,
    TXN,
    WATCH,
    EtcdChannel,
    closed_channel_as_error,
    range_end,
    retry_after_of,
    status_code_of,
)
from shelfhaven.protocol.pb import etcd_pb2
from shelfhaven.server.log import Log

PROGRESS_INTERVAL = 2.0  # seconds between the progress requests of a watch
MAX_LISTED_ENTRIES = 4096
MAX_ERROR_LENGTH = 200  # characters of an error message
# gRPC status codes of calls that certainly had no effect.
NOT_APPLIED_CODES = (
    grpc.StatusCode.RESOURCE_EXHAUSTED,
    grpc.StatusCode.FAILED_PRECONDITION,
    grpc.StatusCode.INVALID_ARGUMENT,
    grpc.StatusCode.NOT_FOUND,
    grpc.StatusCode.OUT_OF_RANGE,
    grpc.StatusCode.UNAUTHENTICATED,
    grpc.StatusCode.PERMISSION_DENIED,
    grpc.StatusCode.UNIMPLEMENTED,
)

Result = TypeVar("Result")
KeepAliveStream: TypeAlias = grpc.aio.StreamStreamCall[
    etcd_pb2.LeaseKeepAliveRequest, etcd_pb2.LeaseKeepAliveResponse
]
WatchStream: TypeAlias = grpc.aio.StreamStreamCall[etcd_pb2.WatchRequest, etcd_pb2.WatchResponse]


class EtcdStore:
    """A `ConsensusStore` in an etcd cluster, which stores all keys under a prefix."""

    def __init__(self, endpoints: Sequence[str], prefix: str, timeout: float, log: Log) -> None:
        self.prefix = prefix.encode()
        self.timeout = timeout  # seconds
        self.etcd_channel = EtcdChannel(endpoints, log, "agreement", reconnect_after_failure=True)
        self.cluster_id: int | None = None  # of the last response; a different one means another store

    def set_endpoints(self, endpoints: Sequence[str]) -> None:
        """Replace the endpoints; the current channel is closed."""
        self.etcd_channel.set_endpoints(endpoints)
        self.cluster_id = None

    async def _within_timeout(self, call: Awaitable[Result]) -> Result:
        """Await a call within the timeout; raise a `ConsensusError` if it fails."""
        try:
            with closed_channel_as_error():
                async with asyncio.timeout(self.timeout):
                    return await call
        except CALL_ERRORS as error:
            self.etcd_channel.report_failure(error)
            not_applied = status_code_of(error) in NOT_APPLIED_CODES
            error_type = NotAppliedError if not_applied else OutcomeUnknownError
            raise error_type(_error_message(error), retry_after_of(error)) from None

    def _check_cluster(self, header: etcd_pb2.ResponseHeader) -> None:
        """Raise OutcomeUnknownError if the response comes from a different cluster than the previous one.

        A new cluster has none of the entries of the previous one, but may have applied the request.
        """
        if self.cluster_id and header.cluster_id != self.cluster_id:
            self.cluster_id = header.cluster_id
            raise OutcomeUnknownError("the response comes from a different etcd cluster")
        self.cluster_id = header.cluster_id

    def _key(self, key: str) -> bytes:
        return self.prefix + key.encode()

    # Leases

    async def grant_lease(self, ttl: float) -> GrantedLease:
        """Create a lease with a TTL in seconds, rounded to whole seconds for etcd."""
        request = etcd_pb2.LeaseGrantRequest(TTL=max(1, round(ttl)))
        response = await self._within_timeout(
            self.etcd_channel.call(GRANT, request, etcd_pb2.LeaseGrantResponse)
        )
        if response.error:
            raise NotAppliedError(response.error)
        self._check_cluster(response.header)
        return GrantedLease(response.ID, float(response.TTL))

    async def keep_alive(self, lease_id: int) -> float | None:
        """Renew a lease; return its TTL in seconds, or None if it has ended."""
        return await self._within_timeout(self._keep_alive_once(lease_id))

    async def _keep_alive_once(self, lease_id: int) -> float | None:
        stream: KeepAliveStream = self.etcd_channel.stream(
            KEEP_ALIVE, etcd_pb2.LeaseKeepAliveRequest, etcd_pb2.LeaseKeepAliveResponse
        )
        try:
            await stream.write(etcd_pb2.LeaseKeepAliveRequest(ID=lease_id))
            response = await stream.read()
            if not isinstance(response, etcd_pb2.LeaseKeepAliveResponse):
                raise ValueError("the keep-alive stream ended without a response")
            return float(response.TTL) if response.TTL > 0 else None
        finally:
            stream.cancel()

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete the entries that are bound to it."""
        request = etcd_pb2.LeaseRevokeRequest(ID=lease_id)
        with contextlib.suppress(NotAppliedError):  # the lease has already ended
            await self._within_timeout(self.etcd_channel.call(REVOKE, request, etcd_pb2.LeaseRevokeResponse))

    # Entries

    async def compare_and_set(self, change: CompareAndSet) -> CompareAndSetResult:
        """Apply a conditional change."""
        request = self._transaction(change)
        response = await self._within_timeout(self.etcd_channel.call(TXN, request, etcd_pb2.TxnResponse))
        self._check_cluster(response.header)
        if response.succeeded:
            return CompareAndSetResult(True, response.header.revision)
        current = _to_entries(list(change.compare), response.responses)
        return CompareAndSetResult(False, response.header.revision, current)

    def _transaction(self, change: CompareAndSet) -> etcd_pb2.TxnRequest:
        """Return the transaction for a change; it reads the compared keys if a comparison fails."""
        request = etcd_pb2.TxnRequest()
        for key, revision in change.compare.items():
            request.compare.add(
                result=etcd_pb2.Compare.EQUAL,
                target=etcd_pb2.Compare.MOD,
                key=self._key(key),
                mod_revision=revision,
            )
            request.failure.add(request_range=etcd_pb2.RangeRequest(key=self._key(key)))
        for key in change.delete:
            request.success.add(request_delete_range=etcd_pb2.DeleteRangeRequest(key=self._key(key)))
        for key, put in change.put.items():
            put_request = etcd_pb2.PutRequest(key=self._key(key), value=put.value, lease=put.lease)
            request.success.add(request_put=put_request)
        return request

    async def read(self, keys: Sequence[str]) -> Snapshot:
        """Return the current entries of these keys, read in one linearizable transaction."""
        request = etcd_pb2.TxnRequest()
        for key in keys:
            request.success.add(request_range=etcd_pb2.RangeRequest(key=self._key(key)))
        response = await self._within_timeout(self.etcd_channel.call(TXN, request, etcd_pb2.TxnResponse))
        self.cluster_id = response.header.cluster_id  # a read accepts a different cluster
        if len(response.responses) != len(keys):
            raise OutcomeUnknownError("the number of responses differs from the number of keys")
        return Snapshot(response.header.revision, _to_entries(keys, response.responses))

    async def list_prefix(self, prefix: str) -> Snapshot:
        """Return all entries whose keys start with the prefix."""
        start = self._key(prefix)
        request = etcd_pb2.RangeRequest(key=start, range_end=range_end(start), limit=MAX_LISTED_ENTRIES)
        response = await self._within_timeout(self.etcd_channel.call(RANGE, request, etcd_pb2.RangeResponse))
        self.cluster_id = response.header.cluster_id
        prefix_length = len(self.prefix)
        items = {kv.key[prefix_length:].decode(): _to_entry(kv) for kv in response.kvs}
        return Snapshot(response.header.revision, items)

    async def watch(self, keys: Sequence[str], after_revision: int) -> AsyncIterator[Snapshot]:
        """Yield the changes of these keys after a revision, from one stream with a watch for each key.

        Regular progress requests make it possible to detect a dead stream.
        """
        stream: WatchStream = self.etcd_channel.stream(WATCH, etcd_pb2.WatchRequest, etcd_pb2.WatchResponse)
        keys_by_etcd_key = {self._key(key): key for key in keys}
        progress_task: asyncio.Task[None] | None = None
        try:
            await self._create_watches(stream, list(keys_by_etcd_key), after_revision)
            progress_task = asyncio.ensure_future(_request_progress(stream))
            while True:
                response = await self._next_watch_response(stream)
                if response.events:
                    yield _to_snapshot(keys_by_etcd_key, response)
        except ConsensusError:
            raise
        except CALL_ERRORS as error:
            self.etcd_channel.report_failure(error)
            raise NotAppliedError(_error_message(error), retry_after_of(error)) from None
        finally:
            if progress_task:
                progress_task.cancel()
            stream.cancel()

    async def _create_watches(self, stream: WatchStream, keys: Sequence[bytes], after_revision: int) -> None:
        with closed_channel_as_error():
            async with asyncio.timeout(self.timeout):
                for watch_id, key in enumerate(keys, start=1):
                    create = etcd_pb2.WatchCreateRequest(
                        key=key, start_revision=after_revision + 1, watch_id=watch_id
                    )
                    await stream.write(etcd_pb2.WatchRequest(create_request=create))

    async def _next_watch_response(self, stream: WatchStream) -> etcd_pb2.WatchResponse:
        with closed_channel_as_error():
            async with asyncio.timeout(PROGRESS_INTERVAL + self.timeout):
                response = await stream.read()
        if not isinstance(response, etcd_pb2.WatchResponse):
            raise ValueError("the watch stream ended")
        if response.canceled:
            raise CompactedError(response.cancel_reason or "etcd cancelled the watch")
        self._check_cluster(response.header)
        return response

    async def close(self) -> None:
        """Close the channel to etcd."""
        await self.etcd_channel.end()


def _error_message(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"[:MAX_ERROR_LENGTH]


def _to_entry(kv: etcd_pb2.KeyValue) -> Entry:
    return Entry(kv.value, kv.mod_revision, kv.lease)


def _to_entries(keys: Sequence[str], responses: Sequence[etcd_pb2.ResponseOp]) -> Entries:
    """Return the entries that a transaction has read; there is one response for each key."""
    entries: dict[str, Entry | None] = {}
    for key, response in zip(keys, responses, strict=False):
        kvs = response.response_range.kvs
        entries[key] = _to_entry(kvs[0]) if kvs else None
    return entries


def _to_snapshot(keys_by_etcd_key: Mapping[bytes, str], response: etcd_pb2.WatchResponse) -> Snapshot:
    items: dict[str, Entry | None] = {}
    for event in response.events:
        key = keys_by_etcd_key.get(event.kv.key)
        if key is None:
            continue
        deleted = event.type == etcd_pb2.Event.DELETE
        items[key] = None if deleted else _to_entry(event.kv)
    return Snapshot(max(event.kv.mod_revision for event in response.events), items)


async def _request_progress(stream: WatchStream) -> None:
    with contextlib.suppress(grpc.aio.AioRpcError, grpc.aio.UsageError, asyncio.InvalidStateError):
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL)
            await stream.write(etcd_pb2.WatchRequest(progress_request=etcd_pb2.WatchProgressRequest()))
