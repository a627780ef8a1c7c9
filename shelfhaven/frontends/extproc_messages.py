"""Decoding and encoding of the messages of the external-processing service (Envoy's `ext_proc`).

The functions here are pure.  Importing this module imports protobuf.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import Enum
from typing import TypeAlias

from shelfhaven.protocol.pb import core_pb2, extproc_pb2, mode_pb2, status_pb2
from shelfhaven.routing import processor_policy

OVERWRITE = core_pb2.HeaderValueOption.OVERWRITE_IF_EXISTS_OR_ADD
BUFFERED = mode_pb2.ProcessingMode.BUFFERED  # the proxy sends the complete body in one message
SEND = mode_pb2.ProcessingMode.SEND
MILLISECONDS_PER_SECOND = 1000
STATUS_DIGITS = 3
UNKNOWN_STATUS = 0  # for a response without a valid status; the policy treats it as a success

HeaderField: TypeAlias = tuple[str, str]
ProcessingRequest: TypeAlias = extproc_pb2.ProcessingRequest
ProcessingResponse: TypeAlias = extproc_pb2.ProcessingResponse


class MessageKind(Enum):
    """Kinds of messages that a proxy sends; values are their names in the protocol."""

    REQUEST_HEADERS = "request_headers"
    REQUEST_BODY = "request_body"
    REQUEST_TRAILERS = "request_trailers"
    RESPONSE_HEADERS = "response_headers"
    RESPONSE_BODY = "response_body"
    RESPONSE_TRAILERS = "response_trailers"


# For each kind of message, the response that lets it pass unchanged.
PASS_THROUGH_RESPONSES = {
    MessageKind.REQUEST_HEADERS: ProcessingResponse(
        request_headers=extproc_pb2.HeadersResponse()
    ).SerializeToString(),
    MessageKind.RESPONSE_HEADERS: ProcessingResponse(
        response_headers=extproc_pb2.HeadersResponse()
    ).SerializeToString(),
    MessageKind.REQUEST_BODY: ProcessingResponse(request_body=extproc_pb2.BodyResponse()).SerializeToString(),
    MessageKind.RESPONSE_BODY: ProcessingResponse(
        response_body=extproc_pb2.BodyResponse()
    ).SerializeToString(),
    MessageKind.REQUEST_TRAILERS: ProcessingResponse(
        request_trailers=extproc_pb2.TrailersResponse()
    ).SerializeToString(),
    MessageKind.RESPONSE_TRAILERS: ProcessingResponse(
        response_trailers=extproc_pb2.TrailersResponse()
    ).SerializeToString(),
}


def message_kind(request: ProcessingRequest) -> MessageKind | None:
    """Return the kind of a message; None if this version of the protocol does not define it."""
    name = request.WhichOneof("request")
    return MessageKind(name) if name else None


def cgi_variables(headers: core_pb2.HeaderMap) -> dict[str, str]:
    """Return the headers as CGI variables, which the mapping reads; repeated headers are joined."""
    variables: dict[str, str] = {}
    for header in headers.headers:
        value = _header_value(header)
        name = header.key.lower()
        if name == ":method":
            variables["REQUEST_METHOD"] = value
        elif name == ":path":
            variables["REQUEST_URI"] = value
            variables["PATH_INFO"], _, variables["QUERY_STRING"] = value.partition("?")
        elif name == "content-type":
            variables["CONTENT_TYPE"] = value
        elif not name.startswith(":"):
            variable = "HTTP_" + name.upper().replace("-", "_")
            variables[variable] = f"{variables[variable]}, {value}" if variable in variables else value
    return variables


def response_status(headers: core_pb2.HeaderMap) -> int:
    """Return the status of a response; `UNKNOWN_STATUS` if it has no status of three digits."""
    for header in headers.headers:
        if header.key == ":status":
            text = _header_value(header)
            return int(text) if text.isdigit() and len(text) == STATUS_DIGITS else UNKNOWN_STATUS
    return UNKNOWN_STATUS


def encode_immediate(
    verdict: processor_policy.ImmediateResponse, load: float | None, content_type: str
) -> bytes:
    """Return the response that has the proxy answer a request itself.

    `load` is the load to advertise, `content_type` the content type of a stored result.
    """
    fields = _load_fields(load)
    if verdict.not_run:
        fields.append(("x-not-run", "1"))
    if verdict.retry_after > 0:
        fields.append(("retry-after", str(math.ceil(verdict.retry_after))))
        fields.append(("x-retry-after-ms", str(math.ceil(verdict.retry_after * MILLISECONDS_PER_SECOND))))
    if verdict.no_retry_elsewhere:
        fields.append(("x-stay", "1"))
    if verdict.result is not None:
        fields.append(("content-type", content_type))
    immediate = extproc_pb2.ImmediateResponse(
        status=status_pb2.HttpStatus(code=verdict.status),  # type: ignore[arg-type]
        headers=_header_mutation(fields),
        body=verdict.result if verdict.result is not None else f"{verdict.text}\n".encode(),
    )
    return ProcessingResponse(immediate_response=immediate).SerializeToString()


def encode_continue(
    verdict: processor_policy.Continue, time_left: float | None, load: float | None, answers_body: bool
) -> bytes:
    """Return the response that lets the proxy forward a request, with headers for the upstream server.

    `time_left` is the request's budget in seconds and `load` the load to advertise.  With `answers_body` the
    response answers the message with the request's body, otherwise the one with its headers.
    """
    fields: list[HeaderField] = []
    if time_left is not None:
        fields.append(("x-budget-left-ms", str(max(0, int(time_left * MILLISECONDS_PER_SECOND)))))
    fields += _load_fields(load)
    common = extproc_pb2.CommonResponse(header_mutation=_header_mutation(fields))
    if answers_body:
        response = ProcessingResponse(request_body=extproc_pb2.BodyResponse(response=common))
    else:
        response = ProcessingResponse(request_headers=extproc_pb2.HeadersResponse(response=common))
    if verdict.request_result:
        response.mode_override.response_header_mode = SEND
        response.mode_override.response_body_mode = BUFFERED
    return response.SerializeToString()


def encode_body_request() -> bytes:
    """Return the response to request headers that makes the proxy send both bodies, each in one message."""
    response = ProcessingResponse(request_headers=extproc_pb2.HeadersResponse())
    mode = response.mode_override
    mode.request_body_mode = BUFFERED
    mode.response_body_mode = BUFFERED
    mode.response_header_mode = SEND
    return response.SerializeToString()


def _header_value(header: core_pb2.HeaderValue) -> str:
    return header.raw_value.decode("latin-1") if header.raw_value else header.value


def _load_fields(load: float | None) -> list[HeaderField]:
    return [("x-load", f"{load:g}")] if load is not None else []


def _header_mutation(fields: Iterable[HeaderField]) -> extproc_pb2.HeaderMutation:
    mutation = extproc_pb2.HeaderMutation()
    for name, value in fields:
        option = mutation.set_headers.add(append_action=OVERWRITE)
        option.header.key = name
        option.header.raw_value = value.encode("latin-1", "replace")
    return mutation
