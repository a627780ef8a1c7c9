"""Stub of a proxy that consults a node before it forwards a request (Envoy's `ext_proc`).

The stub waits up to a configured time for the node's verdict and forwards the request if the verdict permits.
It interacts with the node only through the protocol.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import NamedTuple, TypeAlias

import grpc

from shelfhaven.lab.backend_stub import ExecutedRun, result_for
from shelfhaven.lab.callers import Reply
from shelfhaven.protocol.pb import core_pb2, extproc_pb2, mode_pb2

PROCESS_METHOD = "/envoy.service.ext_proc.v3.ExternalProcessor/Process"
HEALTH_METHOD = "/grpc.health.v1.Health/Check"
SERVING = b"\x08\x01"  # HealthCheckResponse with the status SERVING
HEALTH_TIMEOUT = 1.0  # seconds
BUFFERED = mode_pb2.ProcessingMode.BUFFERED

Request: TypeAlias = extproc_pb2.ProcessingRequest
Response: TypeAlias = extproc_pb2.ProcessingResponse
Stream: TypeAlias = "grpc.aio.StreamStreamCall[bytes, bytes]"
ProcessMethod: TypeAlias = "grpc.aio.StreamStreamMultiCallable[bytes, bytes]"
HealthMethod: TypeAlias = "grpc.aio.UnaryUnaryMultiCallable[bytes, bytes]"


class UpstreamResponse(NamedTuple):
    """The response of an upstream service."""

    status: int
    body: bytes


Upstream: TypeAlias = Callable[["ProxiedRequest"], Awaitable[UpstreamResponse]]


@dataclass
class ProxiedRequest:
    """One request at the proxy and its outcome.

    Attributes:
        method: the HTTP method.
        path: the path with the query.
        body: the request body.
        headers: the request headers, including pseudo headers.
        consulted_at: time on the monotonic clock at which the request arrived and the consultation began.
        verdict_latency: seconds until the verdict; None without a verdict.
        forwarded: whether the proxy forwarded the request.
        added_headers: headers that the verdict added to the request.
        reply: the response to the client; None if the proxy neither received one nor forwarded the request.
        stream_status: the gRPC status if the stream ended with an error.
    """

    method: str
    path: str
    body: bytes
    headers: dict[str, str]
    consulted_at: float = 0.0
    verdict_latency: float | None = None
    forwarded: bool = False
    added_headers: dict[str, str] = field(default_factory=dict)
    reply: Reply | None = None
    stream_status: grpc.StatusCode | None = None


def header_map(headers: dict[str, str]) -> core_pb2.HeaderMap:
    """Encode headers as Envoy does, with raw values."""
    encoded = core_pb2.HeaderMap()
    for name, value in headers.items():
        encoded.headers.add(key=name, raw_value=value.encode("latin-1"))
    return encoded


def new_request(method: str, path: str, body: bytes, headers: dict[str, str]) -> ProxiedRequest:
    """Create a request that arrives at the proxy now."""
    pseudo_headers = {":method": method, ":path": path, ":authority": "shop"}
    return ProxiedRequest(method, path, body, pseudo_headers | headers, time.monotonic())


def first_message(request: ProxiedRequest) -> Request:
    """Return the first message of a stream, which carries the request headers."""
    headers = extproc_pb2.HttpHeaders(headers=header_map(request.headers), end_of_stream=not request.body)
    return Request(request_headers=headers)


class Consultation(NamedTuple):
    """A stream to the node, its first message, and the request that the node is consulted about."""

    stream: Stream
    first: Request
    request: ProxiedRequest


class ProxyStub:
    """One proxy.

    Attributes:
        log: the runs of forwarded requests, in order of their start.
        name: the proxy's name in the log.
        verdict_timeout: seconds that the proxy waits for a verdict.
        channel: the gRPC channel to the node.
        process: the RPC that opens a stream to the node.
        upstream: the service that requests are forwarded to.
        fail_open: whether requests are forwarded when there is no verdict.
        honours_mode_overrides: whether the proxy sends bodies that the node requests by a mode override.
        healthy: the result of the last health check of the node.
    """

    def __init__(
        self,
        port: int,
        log: list[ExecutedRun],
        name: str = "proxy",
        verdict_timeout: float = 0.5,
        tls: grpc.ChannelCredentials | None = None,
    ) -> None:
        self.log = log
        self.name = name
        self.verdict_timeout = verdict_timeout
        options: list[tuple[str, int]] = [("grpc.use_local_subchannel_pool", 1)]
        if tls:
            self.channel = grpc.aio.secure_channel(f"127.0.0.1:{port}", tls, options=options)
        else:
            self.channel = grpc.aio.insecure_channel(f"127.0.0.1:{port}", options=options)
        self.process: ProcessMethod = self.channel.stream_stream(PROCESS_METHOD)
        self.upstream: Upstream = self.serve
        self.fail_open = False
        self.honours_mode_overrides = True
        self.healthy = True

    async def close(self) -> None:
        """Simulate a crash: close the channel, which cancels all streams."""
        await self.channel.close()

    async def watch(self, every: float = 0.05) -> None:
        """Check the node's health at an interval in seconds, until cancelled."""
        while True:
            try:
                async with asyncio.timeout(HEALTH_TIMEOUT):
                    self.healthy = await self.serving()
            except (grpc.aio.AioRpcError, TimeoutError):
                self.healthy = False
            await asyncio.sleep(every)

    async def serving(self) -> bool:
        """Return whether the node's health check reports SERVING."""
        check: HealthMethod = self.channel.unary_unary(HEALTH_METHOD)
        return bytes(await check(b"", wait_for_ready=True)) == SERVING

    async def serve(self, request: ProxiedRequest) -> UpstreamResponse:
        """Serve a request at once; the default upstream."""
        return UpstreamResponse(200, result_for(request.body, request.path))

    def open_consultation(self, method: str, path: str, body: bytes = b"", **headers: str) -> Consultation:
        """Open a stream for a new request without sending the first message."""
        request = new_request(method, path, body, headers)
        return Consultation(self.process(), first_message(request), request)

    async def ask(self, method: str, path: str, body: bytes = b"", **headers: str) -> ProxiedRequest:
        """Send one request through the proxy and return it with its outcome."""
        stream, first, request = self.open_consultation(method, path, body, **headers)
        try:
            response = await self._verdict(stream, first, request)
        except grpc.aio.AioRpcError as error:
            request.stream_status = error.code()
            response = None
        except TimeoutError:
            stream.cancel()
            response = None
        if response is None:
            if self.fail_open:
                await self._forward(request)
            return request
        request.verdict_latency = time.monotonic() - request.consulted_at
        kind = response.WhichOneof("response")
        if kind == "immediate_response":
            request.reply = reply_of(response.immediate_response)
            await stream.done_writing()
            return request
        common = getattr(response, kind).response
        added = common.header_mutation.set_headers
        request.added_headers = {option.header.key: option.header.raw_value.decode() for option in added}
        await self._forward_and_report(stream, response, request)
        return request

    async def _verdict(self, stream: Stream, first: Request, request: ProxiedRequest) -> Response | None:
        """Return the node's final response about the request; send the request body if requested."""
        async with asyncio.timeout(self.verdict_timeout):
            response = await self._exchange(stream, first)
            wants_body = response.mode_override.request_body_mode == BUFFERED
            answers_headers = response.WhichOneof("response") == "request_headers"
            if answers_headers and wants_body and self.honours_mode_overrides:
                body = extproc_pb2.HttpBody(body=request.body, end_of_stream=True)
                response = await self._exchange(stream, Request(request_body=body))
            return response

    async def _exchange(self, stream: Stream, message: Request) -> Response:
        """Send one message and read the response.

        Raises:
            AioRpcError: the stream ended without a response.
        """
        await stream.write(message.SerializeToString())
        data = await stream.read()
        if not isinstance(data, bytes):  # end of stream
            code = await stream.code()
            raise grpc.aio.AioRpcError(code, grpc.aio.Metadata(), grpc.aio.Metadata())
        return Response.FromString(data)

    async def _forward(self, request: ProxiedRequest) -> UpstreamResponse:
        request.forwarded = True
        key = request.headers.get("idempotency-key", "")
        self.log.append(ExecutedRun(self.name, time.time(), request.path, key, request.body, ""))
        response = await self.upstream(request)
        request.reply = Reply(response.status, {}, response.body)
        return response

    async def _forward_and_report(self, stream: Stream, response: Response, request: ProxiedRequest) -> None:
        """Forward a request and send the node the headers, and on request the body, of the response."""
        status, body = await self._forward(request)
        headers = header_map({":status": str(status)} | ({"x-not-run": "1"} if status == 503 else {}))
        try:
            report = extproc_pb2.HttpHeaders(headers=headers, end_of_stream=not body)
            await self._exchange(stream, Request(response_headers=report))
            if response.mode_override.response_body_mode == BUFFERED:
                complete = extproc_pb2.HttpBody(body=body, end_of_stream=True)
                await self._exchange(stream, Request(response_body=complete))
            await stream.done_writing()
            await stream.code()
        except grpc.aio.AioRpcError as error:
            request.stream_status = error.code()


def reply_of(immediate: extproc_pb2.ImmediateResponse) -> Reply:
    """Convert an immediate response to the reply that the client receives."""
    fields = {
        option.header.key: option.header.raw_value.decode("latin-1")
        for option in immediate.headers.set_headers
    }
    return Reply(immediate.status.code, fields, immediate.body)
