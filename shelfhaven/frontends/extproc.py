"""The frontend for proxies that use the external-processing service: gRPC, with one stream for each request.

This module runs the gRPC server and serves its streams.  Each message of a proxy gets one response on its
stream; a verdict is sent as soon as it is known.  Decisions are made elsewhere: the mapping determines what a
request asks for, the core whether it may run, and `routing/processor_policy.py` what a message means for the
verdict and for the run.

gRPC and protobuf take start-up time and memory, so this module is imported only if a listener needs it.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
import traceback
from http import HTTPStatus
from pathlib import Path
from typing import TypeAlias

import grpc

from shelfhaven.frontends import extproc_messages
from shelfhaven.frontends.consulting import (
    OVERLOAD_RETRY_AFTER_S,
    ProxyListener,
    ProxyListenerContext,
)
from shelfhaven.frontends.extproc_stream import (
    ExternalProcessingStream,
    ProcessedMessage,
    UnexpectedMessageError,
)
from shelfhaven.frontends.message_reads import MessageReads
from shelfhaven.frontends.tls_credentials import server_credentials
from shelfhaven.operator_config import Listen
from shelfhaven.routing import processor_policy
from shelfhaven.routing.processor_policy import ConsultationStage
from shelfhaven.routing.request_mapping import RequestMapping
from shelfhaven.routing.stream_shutdown import ResponseDelay

SERVICE = "envoy.service.ext_proc.v3.ExternalProcessor"
HEALTH_SERVICE = "grpc.health.v1.Health"
SERVING = b"\x08\x01"  # a HealthCheckResponse: its only field, with the status SERVING
NOT_SERVING = b"\x08\x02"
MAX_MESSAGE_BYTES = 1 << 20
LOOKAHEAD_BYTES = 16 * 1024  # of a stream, that a peer may send before the application waits for them
MAX_METADATA_BYTES = 32 * 1024
ANNOUNCEMENT_TIME_S = 0.01  # after which the end is announced on each connection, before what is sent later
ANNOUNCEMENT_CHECK_INTERVAL_S = 0.005
CLOSING_FRACTION = 0.15  # of the time left to the server, reserved for closing streams that are still open
MAX_CLOSING_TIME_S = 0.12
STALL_TEXT = "nothing was sent or taken in time"
TRACEBACK_FRAMES = -4  # a negative limit keeps the innermost frames

# Limits of the gRPC library, as multiples of the number of streams that this server admits.  They are above
# that number, as the library rejects streams at random from its first limit on, whichever proxy sent them.
PENDING_REQUESTS_FACTOR = 5
PENDING_REQUESTS_HARD_FACTOR = 10

# Reading yields the bytes of a message or `grpc.aio.EOF`, which has no public type.
StreamContext: TypeAlias = "grpc.aio.ServicerContext[object, bytes]"


class ExternalProcessingListener(ProxyListener):
    """Actor of one listener for proxies that use the external-processing service.

    Attributes:
        rejection: the encoded response to a stream that is not admitted.  It does not promise that a retry is
            safe, as the request is not read.
        port: the port that the server is bound to, once it has started.
        response_delay: determines how long responses are delayed before the listener announces its end.
        announced: set once the listener has announced its end.
        unadmitted: number of streams that wait to be admitted, or for their rejection.
        message_reads: limits the messages that the library receives at a time.
        stopping: the graceful stop of the server, once it has begun.
    """

    def __init__(self, listen: Listen, mapping: RequestMapping, context: ProxyListenerContext) -> None:
        super().__init__(listen, mapping, context)
        verdict = processor_policy.ImmediateResponse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            "not looked at: too many consultations",
            not_run=False,
            retry_after=OVERLOAD_RETRY_AFTER_S,
        )
        self.rejection = extproc_messages.encode_immediate(verdict, load=None, content_type="")
        self.server: grpc.aio.Server | None = None
        self.port = 0
        self.response_delay = ResponseDelay(self.settings.verdict_budget)
        self.announced = asyncio.Event()
        self.unadmitted = 0
        self.message_reads = MessageReads(context.memory_mb, MAX_MESSAGE_BYTES)
        self.stopping: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen.

        Raises:
            OSError: the address cannot be bound, or a file of the certificate cannot be read.
        """
        self.server = self._make_server()
        try:
            self.port = self._bind(self.server)
        except RuntimeError as error:
            raise OSError(str(error)) from error
        await self.server.start()
        self._measure_load()

    def stop_listening(self, time_left: float) -> None:
        """Announce on each connection that no new streams are accepted, and let open streams end."""
        if self.server and not self.stopping:
            self.stopping = asyncio.ensure_future(self._stop_server(self.server, time_left))

    def open_requests(self) -> int:
        """Return the number of streams without an end, admitted or not."""
        return super().open_requests() + self.unadmitted

    async def end(self, _time_left: float) -> None:
        """Close all open streams."""
        self._stop_load_measurement()
        self._end_delay()
        if self.server:
            await self.server.stop(0)
        if self.stopping:
            await self.stopping

    async def _stop_server(self, server: grpc.aio.Server, time_left: float) -> None:
        """Delay responses until no streams arrive, announce the end, and send them; then end the server."""
        closing_time = min(MAX_CLOSING_TIME_S, CLOSING_FRACTION * time_left)
        stop_at = time.monotonic() + time_left - closing_time
        self.response_delay.begin(time.monotonic())
        while not self.response_delay.ended and not self.response_delay.is_over(time.monotonic()):
            await asyncio.sleep(ANNOUNCEMENT_CHECK_INTERVAL_S)
        stopped = asyncio.ensure_future(server.stop(max(0.0, stop_at - time.monotonic())))
        await asyncio.sleep(ANNOUNCEMENT_TIME_S)
        self._end_delay()
        await stopped

    def _end_delay(self) -> None:
        self.response_delay.end()
        self.announced.set()

    async def _wait_for_announcement(self, started_at: float) -> None:
        """Wait while the responses to a stream are delayed; `started_at`: when it was taken up."""
        delay_left = self.response_delay.time_left(time.monotonic(), started_at)
        if delay_left > 0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(delay_left):
                    await self.announced.wait()

    async def _send(self, context: StreamContext, response: bytes, started_at: float) -> None:
        """Send a response, which may be delayed first.

        Raises:
            TimeoutError: the response was not taken in time.
        """
        await self._wait_for_announcement(started_at)
        async with asyncio.timeout(self.settings.verdict_timeout):
            await context.write(response)

    def _make_server(self) -> grpc.aio.Server:
        max_streams = self.settings.max_streams
        server = grpc.aio.server(
            options=[
                ("grpc.so_reuseport", 0),
                ("grpc.http2.bdp_probe", 0),  # it would let a peer send megabytes that nobody waits for
                ("grpc.http2.lookahead_bytes", LOOKAHEAD_BYTES),
                ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
                ("grpc.max_metadata_size", MAX_METADATA_BYTES),
                ("grpc.max_concurrent_streams", self.settings.max_connection_streams),
                ("grpc.server.max_pending_requests", PENDING_REQUESTS_FACTOR * max_streams),
                ("grpc.server.max_pending_requests_hard_limit", PENDING_REQUESTS_HARD_FACTOR * max_streams),
            ]
        )
        process: grpc.RpcMethodHandler[bytes, bytes] = grpc.stream_stream_rpc_method_handler(self._process)
        check: grpc.RpcMethodHandler[bytes, bytes] = grpc.unary_unary_rpc_method_handler(self._check_health)
        server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(SERVICE, {"Process": process}),
                grpc.method_handlers_generic_handler(HEALTH_SERVICE, {"Check": check}),
            )
        )
        return server

    def _bind(self, server: grpc.aio.Server) -> int:
        address = self.listen.address
        target = f"unix:{address}" if isinstance(address, Path) else str(address)
        if self.listen.tls:
            return server.add_secure_port(target, server_credentials(self.listen.tls))
        return server.add_insecure_port(target)

    async def _check_health(self, _request: bytes, _context: StreamContext) -> bytes:
        """Answer a health check; during a drain the answer is NOT_SERVING.

        A stream that is opened just as the listener closes would get no verdict, so proxies get time to turn
        to other servers.  Streams opened during the drain still get a verdict.
        """
        return SERVING if self.is_healthy() and not self.draining else NOT_SERVING

    async def _process(self, _requests: object, context: StreamContext) -> None:
        """Serve one stream.  While responses are delayed, it is only taken up, so that this is soon over."""
        started_at = time.monotonic()
        self.response_delay.stream_started(started_at)
        self.unadmitted += 1
        try:
            await self._wait_for_announcement(started_at)
            is_admitted = self.admit(context.peer())
            if not is_admitted:
                await self._reject(context, started_at)
        finally:
            self.unadmitted -= 1
        if is_admitted:
            stream = ExternalProcessingStream(self, _peer_host(context.peer()), started_at)
            await self._serve_to_end(stream, context)

    async def _reject(self, context: StreamContext, started_at: float) -> None:
        """Answer the first message of a stream that is not admitted, without looking at it."""
        try:
            if await self._read_in_turn(context) is not grpc.aio.EOF:
                await self._send(context, self.rejection, started_at)
        except TimeoutError:
            with contextlib.suppress(grpc.aio.AbortError):
                await context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, STALL_TEXT)

    async def _serve_to_end(self, stream: ExternalProcessingStream, context: StreamContext) -> None:
        """Serve an admitted stream and handle its end, however it ends."""
        try:
            await self._serve(stream, context)
        except TimeoutError:  # releases the resources of a proxy that has stopped sending or reading
            self.log.event("proxy_stalls", peer=stream.peer, stage=stream.consultation.stage.value)
            if stream.headers_received and not stream.consultation.has_verdict:
                await self._reject_stalled(stream, context)
                return
            with contextlib.suppress(grpc.aio.AbortError):
                await context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, STALL_TEXT)
        except UnexpectedMessageError as error:
            self.log.event("proxy_unreadable", peer=stream.peer, error=str(error))
            with contextlib.suppress(grpc.aio.AbortError):
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        except (asyncio.CancelledError, grpc.aio.BaseError):
            raise
        except Exception:
            self.log.event("proxy_failed", error=traceback.format_exc(limit=TRACEBACK_FRAMES))
            raise
        finally:
            self.streams.release_stream()
            stream.closed()

    async def _reject_stalled(self, stream: ExternalProcessingStream, context: StreamContext) -> None:
        """Give a verdict on a request whose body has not come in time."""
        with contextlib.suppress(TimeoutError):
            await self._send(context, self.rejection, stream.started_at)

    async def _read_in_turn(self, context: StreamContext) -> object:
        """Return what is read next of a stream without a verdict.

        Raises:
            TimeoutError: nothing came in time, or too many reads take long and this is the oldest one.
        """
        async with (
            asyncio.timeout(self.listen.request_timeout) as limit,
            self.message_reads.turn(limit, context.peer()),
        ):
            return await context.read()

    def _measure_load(self) -> None:
        super()._measure_load()
        self.message_reads.end_turns(time.monotonic())

    async def _serve(self, stream: ExternalProcessingStream, context: StreamContext) -> None:
        """Respond to messages until the proxy ends the stream.

        Raises:
            TimeoutError: a message did not come, or a response was not taken, in time.
        """
        while (message := await self._receive(stream, context)) is not None:
            response = await stream.respond(message)
            if response:
                await self._send(context, response, stream.started_at)
            if stream.consultation.stage is ConsultationStage.ANSWERED:
                return  # nothing that the proxy may still send is of use

    async def _receive(
        self, stream: ExternalProcessingStream, context: StreamContext
    ) -> ProcessedMessage | None:
        """Receive and process the next message, which is not kept; None at the end of the stream.

        Raises:
            TimeoutError: a message that is needed for the verdict did not come in time.
            UnexpectedMessageError: the message cannot be decoded, or is not allowed at this point.
        """
        if stream.consultation.has_verdict:  # the run may take any time, and the core limits their number
            data = await context.read()
        else:
            data = await self._read_in_turn(context)
        if data is grpc.aio.EOF:
            return None
        assert isinstance(data, bytes)
        try:
            return stream.process(data)
        finally:
            del data


def _peer_host(peer: str) -> str:
    """Return the host of an IP peer such as `ipv4:127.0.0.1:5000`; for others the scheme, such as `unix`."""
    kind, _, address = peer.partition(":")
    return address.rpartition(":")[0] if kind in ("ipv4", "ipv6") else kind
