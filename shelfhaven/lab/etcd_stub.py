"""Stub of an etcd server, the list service and the consensus store of tests: the v3 gRPC API with faults.

It serves an `EtcdKeyspace` on one or several ports, limits and counts the requests, and implements the part
of the documented API that this program uses.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from typing import Any, TypeAlias, TypeVar

import grpc
from google.protobuf.message import Message

from shelfhaven.lab.etcd_keyspace import EtcdKeyspace
from shelfhaven.membership.etcd_channel import GRANT, KEEP_ALIVE, PUSHBACK, PUT, RANGE, REVOKE, TXN, WATCH
from shelfhaven.protocol.pb import etcd_pb2 as pb

EXPIRY_INTERVAL_S = 0.1
MAX_QUEUE = 4000  # waiting requests beyond which requests are rejected
HANG_S = 3600.0  # longer than any client waits for an answer
BATCH_DELAY_S = 0.02  # changes within this time are sent in one watch response

Context: TypeAlias = "grpc.aio.ServicerContext[Any, Any]"
RequestT = TypeVar("RequestT", bound=Message)
ResponseT = TypeVar("ResponseT", bound=Message)


class Mode(Enum):
    """How the server handles a request."""

    SERVE = "serve"
    HANG = "hang"  # accepts it and does not answer
    REJECT = "reject"  # RESOURCE_EXHAUSTED, with Retry-After
    LEADERLESS = "leaderless"  # UNAVAILABLE


@dataclass(eq=False, slots=True)
class WatchStream:
    """One open watch stream, which carries any number of watches."""

    epoch: int  # of the stub when the stream was opened
    watches: list[pb.WatchCreateRequest] = field(default_factory=list)  # confirmed watches
    unconfirmed: list[pb.WatchCreateRequest] = field(default_factory=list)  # requested, not yet confirmed
    progress_requested: bool = False
    wake: asyncio.Event = field(default_factory=asyncio.Event)

    def covers(self, event: pb.Event) -> bool:
        """Whether one of the watches covers the event's key."""
        return any(_covers(watch, event.kv.key) for watch in self.watches)


def _covers(watch: pb.WatchCreateRequest, key: bytes) -> bool:
    return watch.key <= key < watch.range_end if watch.range_end else key == watch.key


def _method_name(path: str) -> str:
    return path.rpartition("/")[2]


class EtcdStub(EtcdKeyspace):
    """One store behind one or several ports; it handles `rate` requests per second, 0 for no limit."""

    def __init__(self, rate: float = 0.0, port_count: int = 1) -> None:
        super().__init__()
        self.rate = rate
        self.ports = [0] * port_count  # 0: the system chooses one at the first start
        # Faults
        self.mode = Mode.SERVE
        self.port_modes = [Mode.SERVE] * port_count  # mode of each port, in addition to `mode`
        self.delay = 0.0  # seconds before each answer
        self.retry_after = 0.0  # seconds of Retry-After in rejections, 0 for none
        self.lost_answers: Counter[str] = Counter()  # by method: answers to lose after the execution
        self.answer_delays: dict[str, float] = {}  # by method: seconds between execution and answer
        self.lease_fraction = 1.0  # fraction of its TTL after which a lease really expires
        # Counters
        self.requests_by_second: Counter[int] = Counter()  # by whole second of the monotonic clock
        self.requests_by_method: Counter[str] = Counter()
        self.watches = 0  # open watch streams
        self.bytes_out = 0
        # Internal state
        self.queue_empty_at = 0.0  # monotonic time at which the queue will be empty
        self.epoch = 0  # watch streams of an earlier epoch end
        self.open_streams: set[WatchStream] = set()
        self.servers: list[grpc.aio.Server] = []
        self.expiry_task: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        """The first port."""
        return self.ports[0]

    @property
    def address(self) -> str:
        """The address of the first port."""
        return f"127.0.0.1:{self.port}"

    def peak_request_rate(self) -> int:
        """Return the number of requests in the busiest second."""
        return max(self.requests_by_second.values(), default=0)

    # Life cycle

    async def start(self) -> None:
        """Listen, after a restart on the same ports as before."""
        for port_index in range(len(self.ports)):
            server = grpc.aio.server(options=[("grpc.so_reuseport", 0)])
            server.add_generic_rpc_handlers(self._handlers(port_index))
            self.ports[port_index] = server.add_insecure_port(f"127.0.0.1:{self.ports[port_index]}")
            await server.start()
            self.servers.append(server)
        self.expiry_task = asyncio.ensure_future(self._expire_leases_periodically())

    async def __aenter__(self) -> EtcdStub:
        """Start; the context stops the store however it ends.

        If a gRPC server is garbage-collected without having been stopped, the process waits for it forever.
        """
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop."""
        await self.stop()

    async def stop(self) -> None:
        """Stop as in a crash: all connections break."""
        if self.expiry_task:
            self.expiry_task.cancel()
        self.epoch += 1
        self.changed()
        servers = self.servers
        self.servers = []
        for server in servers:
            await server.stop(0)

    def changed(self) -> None:
        """Wake all watch streams."""
        for stream in self.open_streams:
            stream.wake.set()

    def reset(self) -> None:
        """End all watch streams."""
        self.epoch += 1
        self.changed()

    async def _expire_leases_periodically(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self.expire_leases()

    # The gRPC interface

    def _handlers(self, port_index: int) -> tuple[grpc.GenericRpcHandler, ...]:
        unary_handlers = {
            RANGE: self._unary(RANGE, self._range, pb.RangeRequest, port_index),
            PUT: self._unary(PUT, self._put, pb.PutRequest, port_index),
            TXN: self._unary(TXN, self._txn, pb.TxnRequest, port_index),
            GRANT: self._unary(GRANT, self._grant, pb.LeaseGrantRequest, port_index),
            REVOKE: self._unary(REVOKE, self._revoke, pb.LeaseRevokeRequest, port_index),
        }
        stream_handlers = {
            WATCH: self._stream(self._watch, pb.WatchRequest, port_index),
            KEEP_ALIVE: self._stream(self._keep_alive, pb.LeaseKeepAliveRequest, port_index),
        }
        services: dict[str, dict[str, Any]] = {}
        for path, handler in (unary_handlers | stream_handlers).items():
            _, service, method = path.split("/")
            services.setdefault(service, {})[method] = handler
        return tuple(grpc.method_handlers_generic_handler(*service) for service in services.items())

    def _unary(
        self, path: str, answer: Callable[[RequestT, Context], Awaitable[ResponseT]],
        request_type: type[RequestT], port_index: int,
    ) -> grpc.RpcMethodHandler[RequestT, ResponseT]:  # fmt: skip
        async def handle(request: RequestT, context: Context) -> ResponseT:
            """Answer one request, with the configured faults."""
            await self._wait_for_turn(path, context, port_index)
            response = await answer(request, context)
            await self._apply_answer_faults(_method_name(path), context)
            return response

        return grpc.unary_unary_rpc_method_handler(handle, request_type.FromString, self._serialize)

    def _stream(
        self, answer: Callable[[int, AsyncIterator[RequestT], Context], AsyncIterator[ResponseT]],
        request_type: type[RequestT], port_index: int,
    ) -> grpc.RpcMethodHandler[RequestT, ResponseT]:  # fmt: skip
        return grpc.stream_stream_rpc_method_handler(
            partial(answer, port_index), request_type.FromString, self._serialize
        )

    def _serialize(self, response: Message) -> bytes:
        data = response.SerializeToString()
        self.bytes_out += len(data)
        return data

    async def _wait_for_turn(self, path: str, context: Context, port_index: int) -> None:
        """Count a request and wait for its turn in the queue; abort it on a fault or if the queue is full."""
        self.requests_by_second[int(time.monotonic())] += 1
        self.requests_by_method[_method_name(path)] += 1
        await self._apply_modes({self.mode, self.port_modes[port_index]}, context)
        now = time.monotonic()
        if self.rate:
            if (self.queue_empty_at - now) * self.rate > MAX_QUEUE:
                await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "etcdserver: too many requests")
            self.queue_empty_at = max(self.queue_empty_at, now) + 1 / self.rate
            await asyncio.sleep(self.queue_empty_at - now)
        if self.delay:
            await asyncio.sleep(self.delay)

    async def _apply_modes(self, modes: set[Mode], context: Context) -> None:
        if Mode.HANG in modes:
            await asyncio.sleep(HANG_S)
        if Mode.REJECT in modes:
            metadata = ((PUSHBACK, str(round(self.retry_after * 1000))),) if self.retry_after else ()
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "etcdserver: too many requests", metadata)
        if Mode.LEADERLESS in modes:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "etcdserver: no leader")

    async def _apply_answer_faults(self, method: str, context: Context) -> None:
        """Lose or delay the answer to a request that has been executed."""
        if self.lost_answers[method] > 0:
            self.lost_answers[method] -= 1
            await context.abort(grpc.StatusCode.UNAVAILABLE, "transport is closing")
        if method in self.answer_delays:
            await asyncio.sleep(self.answer_delays[method])

    # Keys

    async def _range(self, request: pb.RangeRequest, context: Context) -> pb.RangeResponse:
        if request.revision > self.revision:
            await context.abort(grpc.StatusCode.OUT_OF_RANGE, "etcdserver: mvcc: future revision")
        if 0 < request.revision < self.compacted:
            await context.abort(grpc.StatusCode.OUT_OF_RANGE, "etcdserver: mvcc: compacted")
        names = self.names_in(request.key, request.range_end)
        sent = names[: request.limit] if request.limit else names
        return pb.RangeResponse(
            header=self.header(),
            kvs=[self.kvs[name] for name in sent],
            more=len(sent) < len(names),
            count=len(names),
        )

    async def _put(self, request: pb.PutRequest, context: Context) -> pb.PutResponse:
        await self._check_lease(request.lease, context)
        self.put(request.key.decode(), request.value.decode(), request.lease)
        return pb.PutResponse(header=self.header())

    async def _txn(self, request: pb.TxnRequest, context: Context) -> pb.TxnResponse:
        """Execute a transaction; only comparisons of modification revisions for equality are supported."""
        succeeded = await self._compare(request.compare, context)
        operations = request.success if succeeded else request.failure
        puts = [operation.request_put for operation in operations if operation.HasField("request_put")]
        for put in puts:
            await self._check_lease(put.lease, context)
        deletes = [
            operation.request_delete_range.key
            for operation in operations
            if operation.HasField("request_delete_range")
        ]
        if deletes or puts:
            self.revision += 1
            self.delete_at(self.revision, deletes)
            for put in puts:
                self.put_at(self.revision, put.key, put.value, put.lease)
        responses = [await self._operation_response(operation, context) for operation in operations]
        return pb.TxnResponse(header=self.header(), succeeded=succeeded, responses=responses)

    async def _compare(self, compares: Sequence[pb.Compare], context: Context) -> bool:
        succeeded = True
        for compare in compares:
            if compare.target != pb.Compare.MOD or compare.result != pb.Compare.EQUAL:
                await context.abort(
                    grpc.StatusCode.UNIMPLEMENTED, "etcd stub: only equality of mod_revision is supported"
                )
            key_value = self.kvs.get(compare.key)
            succeeded &= (key_value.mod_revision if key_value else 0) == compare.mod_revision
        return succeeded

    async def _operation_response(self, operation: pb.RequestOp, context: Context) -> pb.ResponseOp:
        if operation.HasField("request_range"):
            return pb.ResponseOp(response_range=await self._range(operation.request_range, context))
        if operation.HasField("request_put"):
            return pb.ResponseOp(response_put=pb.PutResponse(header=self.header()))
        deleted = pb.DeleteRangeResponse(header=self.header(), deleted=1)
        return pb.ResponseOp(response_delete_range=deleted)

    # Leases

    async def _check_lease(self, lease_id: int, context: Context) -> None:
        if lease_id and lease_id not in self.leases:
            await context.abort(grpc.StatusCode.NOT_FOUND, "etcdserver: requested lease not found")

    async def _grant(self, request: pb.LeaseGrantRequest, _context: Context) -> pb.LeaseGrantResponse:
        lease_id = self.grant(request.ID, request.TTL, request.TTL * self.lease_fraction)
        return pb.LeaseGrantResponse(header=self.header(), ID=lease_id, TTL=request.TTL)

    async def _revoke(self, request: pb.LeaseRevokeRequest, context: Context) -> pb.LeaseRevokeResponse:
        lease = self.leases.pop(request.ID, None)
        if lease is None:
            await context.abort(grpc.StatusCode.NOT_FOUND, "etcdserver: requested lease not found")
        else:
            self.delete(*lease.keys)
        return pb.LeaseRevokeResponse(header=self.header())

    async def _keep_alive(
        self, port_index: int, requests: AsyncIterator[pb.LeaseKeepAliveRequest], context: Context
    ) -> AsyncIterator[pb.LeaseKeepAliveResponse]:
        async for request in requests:
            await self._wait_for_turn(KEEP_ALIVE, context, port_index)
            lease = self.leases.get(request.ID)
            if lease:
                lease.expires_at = time.monotonic() + lease.ttl * self.lease_fraction
            ttl = lease.ttl if lease else 0  # a TTL of 0 tells the client that the lease is unknown
            await self._apply_answer_faults(_method_name(KEEP_ALIVE), context)
            yield pb.LeaseKeepAliveResponse(header=self.header(), ID=request.ID, TTL=ttl)

    # Watches

    async def _watch(
        self, port_index: int, requests: AsyncIterator[pb.WatchRequest], context: Context
    ) -> AsyncIterator[pb.WatchResponse]:
        """Serve one watch stream: send changes of its watched keys and ranges, and progress notifications."""
        stream = WatchStream(self.epoch)
        async for request in requests:
            if request.WhichOneof("request_union") == "create_request":
                break
        else:
            return
        await self._wait_for_turn(WATCH, context, port_index)
        stream.unconfirmed.append(request.create_request)
        self.watches += 1
        self.open_streams.add(stream)
        reader = asyncio.ensure_future(self._read_watch_requests(port_index, requests, context, stream))
        try:
            async for response in self._watch_responses(stream):
                yield response
        finally:
            reader.cancel()
            self.open_streams.discard(stream)
            self.watches -= 1

    async def _read_watch_requests(
        self, port_index: int, requests: AsyncIterator[pb.WatchRequest], context: Context, stream: WatchStream
    ) -> None:
        """Read the further requests of a watch stream."""
        async for request in requests:
            kind = request.WhichOneof("request_union")
            if kind == "progress_request":
                await self._wait_for_turn(WATCH, context, port_index)
                stream.progress_requested = True
            elif kind == "create_request":
                stream.unconfirmed.append(request.create_request)
            stream.wake.set()

    async def _watch_responses(self, stream: WatchStream) -> AsyncIterator[pb.WatchResponse]:
        next_revision = self.revision + 1
        while stream.epoch == self.epoch:
            new_watches = stream.unconfirmed
            stream.unconfirmed = []
            events = [event for event in self.events_since(next_revision) if stream.covers(event)]
            for watch in new_watches:
                if 0 < watch.start_revision <= self.compacted:
                    yield self._compacted_response()
                    return
                yield pb.WatchResponse(header=self.header(), watch_id=max(1, watch.watch_id), created=True)
                first_revision = watch.start_revision or self.revision + 1
                events += [
                    event for event in self.events_since(first_revision) if _covers(watch, event.kv.key)
                ]
                stream.watches.append(watch)
            next_revision = self.revision + 1
            if events or stream.progress_requested:
                stream.progress_requested = False
                yield pb.WatchResponse(header=self.header(), watch_id=1, events=events)
            await stream.wake.wait()
            stream.wake.clear()
            await asyncio.sleep(BATCH_DELAY_S)

    def _compacted_response(self) -> pb.WatchResponse:
        return pb.WatchResponse(
            header=self.header(), watch_id=1, canceled=True, compact_revision=self.compacted
        )
