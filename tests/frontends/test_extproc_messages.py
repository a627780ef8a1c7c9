"""Decoding and encoding of messages of the external-processing service, as seen by a proxy."""

from __future__ import annotations

import pytest

from shelfhaven.frontends import extproc_messages
from shelfhaven.frontends.extproc_messages import (
    PASS_THROUGH_RESPONSES,
    UNKNOWN_STATUS,
    MessageKind,
    ProcessingRequest,
    ProcessingResponse,
)
from shelfhaven.protocol.pb import core_pb2, extproc_pb2, mode_pb2
from shelfhaven.routing.processor_policy import Continue, ImmediateResponse


def header_map(*fields: tuple[str, str]) -> core_pb2.HeaderMap:
    """Return the protobuf message of these headers, in the given order."""
    headers = core_pb2.HeaderMap()
    for name, value in fields:
        headers.headers.add(key=name, raw_value=value.encode("latin-1"))
    return headers


def fields_of(mutation: extproc_pb2.HeaderMutation) -> dict[str, str]:
    """Return the headers that a response has the proxy set."""
    return {option.header.key: option.header.raw_value.decode() for option in mutation.set_headers}


def test_headers_become_cgi_variables_and_repeated_ones_are_joined() -> None:
    """Pseudo-headers other than the method and the path are not passed to the mapping."""
    headers = header_map(
        (":method", "POST"),
        (":path", "/topup?amount=1"),
        (":authority", "shop"),
        ("Content-Type", "text/plain"),
        ("x-key", "a"),
        ("X-Key", "b"),
    )
    assert extproc_messages.cgi_variables(headers) == {
        "REQUEST_METHOD": "POST",
        "REQUEST_URI": "/topup?amount=1",
        "PATH_INFO": "/topup",
        "QUERY_STRING": "amount=1",
        "CONTENT_TYPE": "text/plain",
        "HTTP_X_KEY": "a, b",
    }


@pytest.mark.parametrize(
    ("text", "status"), [("200", 200), ("503", 503), ("20", UNKNOWN_STATUS), ("abc", UNKNOWN_STATUS)]
)
def test_a_status_has_three_digits(text: str, status: int) -> None:
    """Any other text is an unknown status."""
    assert extproc_messages.response_status(header_map((":status", text))) == status


def test_a_response_without_a_status_has_an_unknown_one() -> None:
    """Only the pseudo-header `:status` counts, not a header named `status`."""
    assert extproc_messages.response_status(header_map(("status", "200"))) == UNKNOWN_STATUS


def test_a_header_value_is_also_read_from_the_text_field() -> None:
    """Older proxies send `value` instead of `raw_value`."""
    headers = core_pb2.HeaderMap()
    headers.headers.add(key=":status", value="404")
    assert extproc_messages.response_status(headers) == 404


@pytest.mark.parametrize("kind", MessageKind)
def test_each_kind_of_message_is_recognized_and_has_its_own_pass_through_response(kind: MessageKind) -> None:
    """The response to a message has the message's own kind."""
    request = ProcessingRequest()
    getattr(request, kind.value).SetInParent()
    assert extproc_messages.message_kind(request) is kind
    response = ProcessingResponse.FromString(PASS_THROUGH_RESPONSES[kind])
    assert response.WhichOneof("response") == kind.value


def test_a_message_without_a_known_kind_has_none() -> None:
    """Such a message gets no response."""
    assert extproc_messages.message_kind(ProcessingRequest()) is None


def test_a_rejection_states_when_to_retry_and_that_nothing_ran() -> None:
    """Retry-After is rounded up to whole seconds; X-Retry-After-Ms has the value in milliseconds."""
    verdict = ImmediateResponse(503, "refused", not_run=True, retry_after=1.25, no_retry_elsewhere=True)
    encoded = extproc_messages.encode_immediate(verdict, load=0.5, content_type="text/plain")
    immediate = ProcessingResponse.FromString(encoded).immediate_response
    assert immediate.status.code == 503
    assert immediate.body == b"refused\n"
    assert fields_of(immediate.headers) == {
        "x-load": "0.5",
        "x-not-run": "1",
        "retry-after": "2",
        "x-retry-after-ms": "1250",
        "x-stay": "1",
    }


def test_a_stored_result_is_sent_with_its_content_type() -> None:
    """Also an empty result is sent as a result, not as an error text."""
    verdict = ImmediateResponse(200, "", not_run=False, result=b"")
    encoded = extproc_messages.encode_immediate(verdict, load=None, content_type="text/plain")
    immediate = ProcessingResponse.FromString(encoded).immediate_response
    assert immediate.body == b""
    assert fields_of(immediate.headers) == {"content-type": "text/plain"}


@pytest.mark.parametrize(("time_left", "budget_ms"), [(0.25, "250"), (-0.1, "0")])
def test_a_continued_request_carries_its_remaining_budget(time_left: float, budget_ms: str) -> None:
    """An exhausted budget is sent as 0."""
    verdict = Continue(request_result=False)
    encoded = extproc_messages.encode_continue(verdict, time_left, load=2.0, answers_body=False)
    response = ProcessingResponse.FromString(encoded)
    mutation = response.request_headers.response.header_mutation
    assert fields_of(mutation) == {"x-budget-left-ms": budget_ms, "x-load": "2"}
    assert not response.HasField("mode_override")


def test_a_verdict_on_a_body_answers_the_body_and_may_ask_for_the_result() -> None:
    """Without the core's permission to run there is no budget header."""
    verdict = Continue(request_result=True)
    encoded = extproc_messages.encode_continue(verdict, None, load=None, answers_body=True)
    response = ProcessingResponse.FromString(encoded)
    assert response.WhichOneof("response") == "request_body"
    assert not fields_of(response.request_body.response.header_mutation)
    assert response.mode_override.response_body_mode == mode_pb2.ProcessingMode.BUFFERED
    assert response.mode_override.response_header_mode == mode_pb2.ProcessingMode.SEND


def test_a_body_request_asks_for_the_complete_bodies_of_request_and_response() -> None:
    """It is the response to the request's headers."""
    response = ProcessingResponse.FromString(extproc_messages.encode_body_request())
    assert response.WhichOneof("response") == "request_headers"
    assert response.mode_override.request_body_mode == mode_pb2.ProcessingMode.BUFFERED
    assert response.mode_override.response_body_mode == mode_pb2.ProcessingMode.BUFFERED
