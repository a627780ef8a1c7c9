"""The proxies' front: the published external-processing service, one stream a request.

Owns the gRPC server, its streams and the words of that protocol. It must never decide: what a message means
for the verdict and for the run is `routing/consult.py`'s to say, what a request asks the mapping's, whether
it may run the core's. Each message of a proxy has one answer on its stream; a verdict is written at once.

gRPC and protobuf by libraries (grpcio 1.85, protobuf 7.36), imported only where a listener asks for them.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import os
import time
import traceback
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import replace
from pathlib import Path
from typing import Any

import grpc
from google.protobuf.message import DecodeError

from shelfhaven.backends.proxy import ProxyRunner
from shelfhaven.fronts.connection import ToCore
from shelfhaven.operatorfile import Listen, Tls
from shelfhaven.protocol.pb import core_pb2, extproc_pb2, mode_pb2, status_pb2
from shelfhaven.routing import consult
from shelfhaven.routing.mapping import Fault, Mapping
from shelfhaven.server import messages as m
from shelfhaven.server.log import Log

SERVICE = "envoy.service.ext_proc.v3.ExternalProcessor"
HEALTH = "/grpc.health.v1.Health/Check"
SERVING, NOT_SERVING = b"\x08\x01", b"\x08\x02"  # HealthCheckResponse, of one field
CALL_BYTES = 8
MESSAGE_MOST = 1 << 20  # bytes
HEADERS_MOST = 32 * 1024  # bytes of gRPC metadata
BEAT, REMEMBERED = 0.02, 0.05  # seconds between beats of the loop, and that a pause counts on
OVERWRITE = core_pb2.HeaderValueOption.OVERWRITE_IF_EXISTS_OR_ADD
WHOLE = mode_pb2.ProcessingMode.BUFFERED
SEND = mode_pb2.ProcessingMode.SEND
Response = extproc_pb2.ProcessingResponse


def _mutation(fields: Iterable[tuple[str, str]]) -> extproc_pb2.HeaderMutation:
    mutation = extproc_pb2.HeaderMutation()
    for name, value in fields:
        option = mutation.set_headers.add(append_action=OVERWRITE)
        option.header.key, option.header.raw_value = name, value.encode("latin-1", "replace")
    return mutation


def immediate(action: consult.Immediate, load: float | None, content_type: str) -> bytes:
    """The bytes of an immediate response."""
    fields = [("x-load", f"{load:g}")] if load is not None else []
    if action.not_run:
        fields.append(("x-not-run", "1"))
    if action.retry_after > 0:
        fields.append(("retry-after", str(math.ceil(action.retry_after))))
        fields.append(("x-retry-after-ms", str(math.ceil(action.retry_after * 1000))))
    if action.stay:
        fields.append(("x-stay", "1"))
    if action.result is not None:
        fields.append(("content-type", content_type))
    body = action.result if action.result is not None else f"{action.text}\n".encode()
    status = status_pb2.HttpStatus(code=action.status)  # type: ignore[arg-type]
    answer = extproc_pb2.ImmediateResponse(status=status, headers=_mutation(fields), body=body)
    return Response(immediate_response=answer).SerializeToString()


def variables_of(headers: core_pb2.HeaderMap) -> dict[str, str]:
    """Headers as the mapping knows them, by their names in CGI; several of one name are joined."""
    found: dict[str, str] = {}
    for header in headers.headers:
        value = header.raw_value.decode("latin-1") if header.raw_value else header.value
        name = header.key.lower()
        if name == ":method":
            found["REQUEST_METHOD"] = value
        elif name == ":path":
            found["REQUEST_URI"] = value
            found["PATH_INFO"], _, found["QUERY_STRING"] = value.partition("?")
        elif name == "content-type":
            found["CONTENT_TYPE"] = value
        elif not name.startswith(":"):
            name = "HTTP_" + name.upper().replace("-", "_")
            found[name] = f"{found[name]}, {value}" if name in found else value
    return found


class Stream:
    """One consultation: a front of the core, and what the proxy runner knows."""

    def __init__(self, processor: Processor, peer: str) -> None:
        self.processor, self.peer = processor, peer
        self.consultation: consult.Consultation
        self.call = os.urandom(CALL_BYTES).hex()
        self.verdict: asyncio.Future[bytes] | None = None
        self.lease: asyncio.TimerHandle | None = None
        self.cls = -1
        self.load: float | None = None
        self.held = 0
        self.asked: m.Submit | None = None
        self.asked_body = False

    # Messages of the proxy

    async def take(self, data: bytes) -> bytes | None:
        """The answer to one message; None where it needs none. Raises DecodeError, Fault."""
        request = extproc_pb2.ProcessingRequest.FromString(data)
        kind = request.WhichOneof("request")
        now = time.monotonic()
        if not hasattr(self, "consultation"):
            if kind != "request_headers":
                raise Fault(400, "a stream that does not begin with request headers")
            return await self._headers(request.request_headers, now)
        c = self.consultation
        match kind:
            case "response_headers":
                told = variables_of(request.response_headers.headers)
                status = _status(request.response_headers.headers)
                not_run = told.get("HTTP_X_NOT_RUN") == "1"
                end = request.response_headers.end_of_stream
                actions = c.response_headers(now, status, not_run, end)
            case "request_body":
                actions = c.request_body(request.request_body.body, request.request_body.end_of_stream)
            case "response_body":
                part = request.response_body
                actions = c.response_body(now, part.body, part.end_of_stream)
            case "request_trailers" | "response_trailers":
                actions = c.trailers(now, kind == "response_trailers")
            case "request_headers":
                raise Fault(400, "request headers a second time")
            case _:
                return None  # a kind that is not known here asks for nothing
        self._note_held(len(c.body))
        return await self._do(actions, str(kind))

    async def _headers(self, headers: extproc_pb2.HttpHeaders, now: float) -> bytes | None:
        processor = self.processor
        late = processor.lateness.at(now)
        settings = processor.settings
        self.consultation = consult.Consultation(settings, False, False, now - late)
        variables = variables_of(headers.headers)
        try:
            mapped = processor.mapping.take(now, variables, self.peer, 0)
        except Fault as fault:
            return await self._do(self.consultation.invalid(fault.status, str(fault)), "request_headers")
        c = self.consultation
        c.keyed, c.shadow = bool(mapped.key), mapped.cls in settings.shadow
        self.cls = mapped.cls
        processor.asked[mapped.cls] += 1
        self.asked = m.Submit(
            front=self, ref=1, call=self.call, cls=mapped.cls, tenant=mapped.tenant, caller=mapped.caller,
            recv=time.time() - late, budget=mapped.left, hint=mapped.work, footprint_kb=mapped.footprint_kb,
            rank=mapped.rank, retry=mapped.retry, dedupe=mapped.key, key=mapped.row, body=b"",
            asked=m.Asked(variables["REQUEST_METHOD"], variables["PATH_INFO"], variables["QUERY_STRING"],
                          variables.get("CONTENT_TYPE", ""), mapped.passed, mapped.parts),
            start_within=settings.within, runner=processor.runner,
        )  # fmt: skip
        actions = c.headers(headers.end_of_stream)
        return await self._do(actions, "request_headers")

    def _note_held(self, now_held: int) -> None:
        if self.processor.streams.hold(now_held - self.held):
            self.held = now_held
        elif not self.consultation.decided:
            raise Fault(503, "too many bodies in hand")

    # What the consultation wants done

    async def _do(self, actions: list[consult.Action], kind: str) -> bytes | None:
        """Do what is asked; the answer to the message in hand, which may have to wait for the verdict."""
        answer: bytes | None = None
        for action in actions:
            match action:
                case consult.PassOn():
                    answer = self._pass_on(kind, action.ask_body)
                case consult.Submit():
                    answer = await self._submit(action.body)
                case consult.Immediate():
                    answer = immediate(action, self.load, self.processor.listen.content_type)
                case _:
                    self._aside(action)
        return answer

    def _aside(self, action: consult.Action) -> None:
        """What needs no answer to the proxy."""
        processor = self.processor
        match action:
            case consult.Ended():
                if self.lease:
                    self.lease.cancel()
                processor.runner.ended(self.call, action.outcome, action.spent, action.result)
            case consult.Withdraw():
                processor.tell(m.Cancel(self, 1, action.may_run))
            case consult.Fault():
                processor.log.event("proxy_fault", peer=self.peer, text=action.text)

    async def _submit(self, body: bytes) -> bytes:
        """Ask the core and wait for the verdict; the core gives one in time, by its timers."""
        assert self.asked
        submit = self.asked
        if body:
            submit = replace(submit, body=body, footprint_kb=submit.footprint_kb + len(body) / 1024)
        self.verdict = asyncio.get_running_loop().create_future()
        self.processor.runner.open[self.call] = self
        self.processor.tell(submit)
        return await self.verdict

    def _decided(self, actions: list[consult.Action], launch: m.Launch | None = None) -> None:
        """The core has spoken."""
        for action in actions:
            match action:
                case consult.Continue():
                    self._set_verdict(self._continue(action, launch))
                    loop = asyncio.get_running_loop()
                    self.lease = loop.call_later(self.processor.settings.lease, self._lease_out)
                case consult.Immediate():
                    self._set_verdict(immediate(action, self.load, self.processor.listen.content_type))
                case _:
                    self._aside(action)

    def _set_verdict(self, data: bytes) -> None:
        if self.verdict and not self.verdict.done():
            self.verdict.set_result(data)

    def launched(self, launch: m.Launch) -> None:
        """The core lets it run."""
        self._decided(self.consultation.launched(time.monotonic()), launch)

    def answer(self, answer: m.Answer) -> None:
        """Take the core's answer: a verdict if there was none yet, else the end of what it owes."""
        now, c = time.monotonic(), self.consultation
        self.load = answer.load
        self.processor.answered[self.cls, type(answer).__name__.lower()] += 1
        match answer:
            case m.Served():
                self._decided(c.served(answer.body))
            case m.Refused():
                self._decided(c.refused(now, answer.retry_after, answer.stay))
            case m.Failed():
                self._decided(c.failed(now, answer.text, answer.late))
            case m.Healthy():
                pass

    def _lease_out(self) -> None:
        self.processor.log.event("lease_out", peer=self.peer)
        self._decided(self.consultation.lease_out(time.monotonic()))

    # Words

    def _continue(self, action: consult.Continue, launch: m.Launch | None) -> bytes:
        """The verdict, as the answer to the message that it was awaited with."""
        fields = [("x-budget-left-ms", str(max(0, int(launch.left * 1000))))] if launch else []
        if self.load is not None:
            fields.append(("x-load", f"{self.load:g}"))
        common = extproc_pb2.CommonResponse(header_mutation=_mutation(fields))
        if self.consultation.keyed and self.asked_body:
            response = Response(request_body=extproc_pb2.BodyResponse(response=common))
        else:
            response = Response(request_headers=extproc_pb2.HeadersResponse(response=common))
        if action.ask_result:
            response.mode_override.response_header_mode = SEND
            response.mode_override.response_body_mode = WHOLE
        return response.SerializeToString()

    def _pass_on(self, kind: str, ask_body: bool) -> bytes:
        if not ask_body:
            return PASSED[kind]
        self.asked_body = True
        response = Response(request_headers=extproc_pb2.HeadersResponse())
        mode = response.mode_override
        mode.request_body_mode = mode.response_body_mode = WHOLE
        mode.response_header_mode = SEND
        return response.SerializeToString()

    def closed(self) -> None:
        """The stream is over."""
        self.processor.runner.open.pop(self.call, None)
        if self.held:
            self.processor.streams.hold(-self.held)
        if hasattr(self, "consultation"):
            for action in self.consultation.closed(time.monotonic()):
                self._aside(action)
        if self.lease:
            self.lease.cancel()


def _status(headers: core_pb2.HeaderMap) -> int:
    for header in headers.headers:
        if header.key == ":status":
            text = header.raw_value.decode("latin-1") if header.raw_value else header.value
            return int(text) if text.isdigit() and len(text) == 3 else 0
    return 0


PASSED = {
    "request_headers": Response(request_headers=extproc_pb2.HeadersResponse()).SerializeToString(),
    "response_headers": Response(response_headers=extproc_pb2.HeadersResponse()).SerializeToString(),
    "request_body": Response(request_body=extproc_pb2.BodyResponse()).SerializeToString(),
    "response_body": Response(response_body=extproc_pb2.BodyResponse()).SerializeToString(),
    "request_trailers": Response(request_trailers=extproc_pb2.TrailersResponse()).SerializeToString(),
    "response_trailers": Response(response_trailers=extproc_pb2.TrailersResponse()).SerializeToString(),
}


class Processor:
    """Actor of one listener for proxies."""

    def __init__(
        self, listen: Listen, mapping: Mapping, runner: ProxyRunner, tell: ToCore, log: Log,
        good: Callable[[], bool],
    ) -> None:  # fmt: skip
        self.listen, self.mapping, self.runner, self.tell, self.log = listen, mapping, runner, tell, log
        self.good = good
        self.settings = listen.consult
        self.streams = consult.Streams(self.settings)
        self.lateness = consult.Lateness(BEAT, REMEMBERED)
        self.asked: Counter[int] = Counter()
        self.answered: Counter[tuple[int, str]] = Counter()
        self.full = immediate(
            consult.Immediate(503, "too many consultations; nothing ran", True, 1.0), None, ""
        )
        self.server: Any = None
        self.port = 0
        self.beat: asyncio.TimerHandle | None = None
        self.stopping: asyncio.Future[None] | None = None

    async def start(self) -> None:
        """Listen. Raises OSError."""
        options = [
            ("grpc.so_reuseport", 0),
            ("grpc.max_receive_message_length", MESSAGE_MOST),
            ("grpc.max_metadata_size", HEADERS_MOST),
            ("grpc.max_concurrent_streams", 2 * self.settings.streams_most),
        ]
        self.server = grpc.aio.server(options=options)
        process: Any = grpc.stream_stream_rpc_method_handler(self._process)
        health: Any = grpc.unary_unary_rpc_method_handler(self._health)
        self.server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(SERVICE, {"Process": process}),
                grpc.method_handlers_generic_handler("grpc.health.v1.Health", {"Check": health}),
            )
        )
        address = self.listen.address
        target = f"unix:{address}" if isinstance(address, Path) else str(address)
        try:
            if self.listen.tls:
                self.port = self.server.add_secure_port(target, credentials(self.listen.tls))
            else:
                self.port = self.server.add_insecure_port(target)
        except RuntimeError as error:
            raise OSError(str(error)) from error
        await self.server.start()
        self._beat()

    def _beat(self) -> None:
        loop = asyncio.get_running_loop()
        self.lateness.beat(time.monotonic())
        self.beat = loop.call_later(BEAT, self._beat)

    async def _health(self, _: bytes, context: Any) -> bytes:
        return SERVING if self.good() and not self.stopping else NOT_SERVING

    async def _process(self, _: Any, context: Any) -> None:
        """One stream: each message has its answer, and its end is told whatever ends it."""
        if not self.streams.admit():
            if await context.read() is not grpc.aio.EOF:
                await context.write(self.full)
            return
        stream = Stream(self, _peer(context.peer()))
        try:
            while (data := await context.read()) is not grpc.aio.EOF:
                answer = await stream.take(data)
                if answer:
                    await context.write(answer)
        except (DecodeError, Fault) as error:
            self.log.event("proxy_unreadable", peer=stream.peer, error=str(error))
            with contextlib.suppress(grpc.aio.AbortError):
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        except (asyncio.CancelledError, grpc.aio.BaseError):
            raise
        except Exception:
            self.log.event("proxy_failed", error=traceback.format_exc(limit=-4))
            raise
        finally:
            self.streams.gone()
            stream.closed()

    def leave(self, left: float) -> None:
        """Take no new stream, say so on each connection, let what is open end; `left` seconds remain."""
        if self.server and not self.stopping:
            self.stopping = asyncio.ensure_future(self.server.stop(left))

    def open_requests(self) -> int:
        """Streams that are open."""
        return self.streams.open

    async def end(self) -> None:
        """End what is still open."""
        if self.beat:
            self.beat.cancel()
        if self.server:
            await self.server.stop(0)

    def load_now(self) -> dict[str, Any]:
        """What was asked and answered, for the log."""
        answered = {f"{cls} {kind}": count for (cls, kind), count in self.answered.items()}
        return {"streams": self.streams.open, "turned_away": self.streams.turned_away, **answered}


def _peer(text: str) -> str:
    """`ipv4:127.0.0.1:5000` without its port."""
    kind, _, rest = text.partition(":")
    return rest.rpartition(":")[0] if kind in ("ipv4", "ipv6") else kind


def credentials(tls: Tls) -> Any:
    """Certificates that are read again when their files change; connections that are open keep theirs."""

    def load() -> Any:
        chain = [(tls.key.read_bytes(), tls.certificate.read_bytes())]
        authority = tls.client_ca.read_bytes() if tls.client_ca else None
        return grpc.ssl_server_certificate_configuration(chain, authority)

    seen = [_stamp(tls)]

    def fetch() -> Any:
        stamp = _stamp(tls)
        if stamp == seen[0]:
            return None
        try:
            fresh = load()
        except OSError:
            return None  # the old ones go on
        seen[0] = stamp
        return fresh

    return grpc.dynamic_ssl_server_credentials(load(), fetch, tls.client_ca is not None)


def _stamp(tls: Tls) -> tuple[float, ...]:
    paths = [path for path in (tls.key, tls.certificate, tls.client_ca) if path]
    return tuple(path.stat().st_mtime if path.exists() else 0.0 for path in paths)
