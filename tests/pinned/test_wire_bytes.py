"""Bytes on the wire are those on record, both ways, for every message that leaves or enters a process.

`tests/data/wire.json` was written by the version of 2026-12-02 (f3ba403).  Decoded messages are compared as
plain values in the order of their fields, so that a field may be renamed, and neither moved nor left out.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import fields, is_dataclass
from enum import Enum
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import orjson
import pytest

from shelfhaven.consensus import codec, state_machine
from shelfhaven.election import records as duties
from shelfhaven.failover import traffic_policy as zones
from shelfhaven.failover import wire as gossip
from shelfhaven.frontends import extproc_messages, extproc_stream
from shelfhaven.idempotency import vote_transfer
from shelfhaven.idempotency import wire as claims
from shelfhaven.membership import signed_datagram, snapshot_codec
from shelfhaven.protocol import agent, http, jsonrpc, members, uwsgi
from shelfhaven.protocol.pb import extproc_pb2
from shelfhaven.routing import processor_policy
from shelfhaven.server import messages
from shelfhaven.state import saved_estimates

RECORDED: dict[str, dict[str, Any]] = orjson.loads(
    (Path(__file__).parents[1] / "data" / "wire.json").read_bytes()
)
SECRET = b"a secret of thirty-two bytes or so"


def plain(value: Any) -> Any:
    """A value without names: fields in their order, words of enumerations, bytes in hex."""
    if is_dataclass(value) and not isinstance(value, type):
        return [plain(getattr(value, one.name)) for one in fields(value)]
    if isinstance(value, Enum):
        return plain(value.value)
    if isinstance(value, bytes | bytearray):
        return value.hex()
    if isinstance(value, Mapping):
        return {str(key): plain(part) for key, part in value.items()}
    if isinstance(value, list | tuple):
        return [plain(part) for part in value]
    return value


def kinds(notices: list[Any]) -> list[Any]:
    """Messages of several kinds: how many fields each has tells them apart beside their values."""
    return [plain(notice) for notice in notices]


def agent_link() -> dict[str, Any]:
    """The agent's notices as decoded, and this side's commands."""
    stream = (
        b"greeting EMPTY 12.5\r\ngreeting LOADED 99\r\noutcome 7 0011223344556677 ok 41.25 5\r\nhello\r\n"
        b"outcome 8 0011223344556678 error 3 0\r\n\r\nrequest 9 0011223344556679 3\r\nabc\r\n"
        b"sampled t1 0.5 3 0.25\r\nrefusal launch 0011223344556677\r\naside 10 any words\r\n"
        b"nonsense\r\noutcome x y\r\n"
    )
    return {
        "notices": kinds(agent.NoticeParser().feed(stream)),
        "launch": agent.encode_command(agent.LaunchRun("0011223344556677", "topup", b"\x00body")).hex(),
        "deliver": agent.encode_command(agent.DeliverCallReply("0011223344556677", b"reply")).hex(),
        "forgo": agent.encode_command(agent.ProceedWithoutCall("0011223344556677", 9)).hex(),
        "sample": agent.encode_command(agent.SampleGauges("t1")).hex(),
        "subscribe": agent.encode_subscription(41).hex(),
    }


def router() -> dict[str, Any]:
    """The routers' protocol: requests as decoded, answers."""
    whole = {
        "call": "00112233445566aa", "recv": 1790000000.25, "src": 7, "org": "one", "rep": 1, "work": 12.5,
        "heap": 40.5, "crit": 0.25, "dedupe": "k-1", "row": "ff", "ttl": 1500, "body": "aGVsbG8=",
    }  # fmt: skip
    least = {"call": "00112233445566ab", "recv": 1, "src": 0, "heap": 1}
    bodies = [
        {"jsonrpc": "2.0", "id": 1, "method": "topup", "params": whole},
        {"jsonrpc": "2.0", "id": 2, "method": "look", "params": least},
        {"jsonrpc": "2.0", "id": 3, "method": "look", "params": {**least, "heap": 0}},
        {"jsonrpc": "2.0", "id": 4, "method": "look", "params": []},
        {"jsonrpc": "2.0", "id": 5, "method": "alive"},
        {"jsonrpc": "1.0", "id": 6, "method": "look"},
        {"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": 1}},
    ]
    raw = [orjson.dumps(body) for body in bodies]
    frames = b"".join(b"Content-Length: %d\r\n\r\n%b" % (len(body), body) for body in raw)
    return {
        "messages": kinds([jsonrpc.decode(body) for body in jsonrpc.FrameParser().feed(frames)]),
        "served": jsonrpc.encode_result(1, b"result", None).hex(),
        "served_with_load": jsonrpc.encode_result(1, b"result", 0.75).hex(),
        "refused": jsonrpc.encode_error(2, jsonrpc.REJECTED, "refused", 0.5, 120.0, True).hex(),
        "failed": jsonrpc.encode_error(3, jsonrpc.FAILED, "the run failed", None).hex(),
        "invalid": jsonrpc.encode_error(4, jsonrpc.INVALID_PARAMS, "params: not an object", 1.0).hex(),
        "healthy": jsonrpc.encode_health(5, True, None).hex(),
        "not_healthy": jsonrpc.encode_health(5, False, 0.25).hex(),
        "unreadable": jsonrpc.UNREADABLE_ANSWER.hex(),
        "shutdown": jsonrpc.SHUTDOWN_NOTICE.hex(),
    }


def gateway() -> dict[str, Any]:
    """uwsgi requests both ways, and the HTTP that answers them."""
    variables = {"REQUEST_METHOD": "POST", "PATH_INFO": "/topup/7", "HTTP_X_KEY": "k\xe4", "EMPTY": ""}
    packet = uwsgi.encode(variables, b"a body")
    [request] = uwsgi.RequestParser().feed(packet)
    assert uwsgi.encode(request.variables, request.body) == packet
    replies = [
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Untouched: 1\r\n\r\nok",
        b"HTTP/1.0 503 No\r\nX-Not-Run: 1\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 204 No Content\r\n\r\n",
    ]
    return {
        "packet": packet.hex(),
        "request": plain(request),
        "replies": [plain(http.ResponseParser().feed(reply)) for reply in replies],
        "call": http.encode_ledger_call("127.0.0.1:8900", "00112233445566aa", 250, b"call").hex(),
        "answer": http.encode_response(
            503, [("Retry-After", "2"), ("X-Stay", "1")], b"refused\n", True
        ).hex(),
        "kept": http.encode_response(200, [("Content-Type", "text/plain")], b"", False).hex(),
    }


def reports() -> dict[str, Any]:
    """What the membership service is told."""
    return {"up": members.encode_report("n3", True).hex(), "out": members.encode_report("n3", False).hex()}


def processor() -> dict[str, Any]:
    """External processing: what is answered to a proxy's messages, and its headers as decoded."""
    request = extproc_pb2.ProcessingRequest()
    for name, value in ((":method", "POST"), (":path", "/topup?a=1"), ("x-key", "k"), ("x-key", "l")):
        request.request_headers.headers.headers.add(key=name, raw_value=value.encode())
    recorded = request.SerializeToString(deterministic=True)
    again = extproc_pb2.ProcessingRequest.FromString(recorded)
    assert again.SerializeToString(deterministic=True) == recorded
    refused = processor_policy.ImmediateResponse(503, "refused; nothing ran", True, 1.25, True)
    served = processor_policy.ImmediateResponse(200, "", False, result=b"stored")
    launch = messages.LaunchRun("00112233445566aa", "topup", b"", 0.4)
    listener: Any = SimpleNamespace(streams=SimpleNamespace(hold=lambda size: True), load=0.5)
    stream = object.__new__(extproc_stream.ExternalProcessingStream)
    stream.listener = listener
    stream.body_requested = False
    stream.headers_received = True
    stream.load = 0.5
    to_headers = stream._encode_continue(processor_policy.Continue(True), launch)
    stream.body_requested = True
    to_body = stream._encode_continue(processor_policy.Continue(False), None)
    return {
        "request": recorded.hex(),
        "variables": extproc_messages.cgi_variables(again.request_headers.headers),
        "passed": {kind.value: data.hex() for kind, data in extproc_messages.PASS_THROUGH_RESPONSES.items()},
        "refused": extproc_messages.encode_immediate(refused, 0.5, "").hex(),
        "served": extproc_messages.encode_immediate(served, None, "application/json").hex(),
        "continued_headers": to_headers.hex(),
        "continued_body": to_body.hex(),
    }


def datagrams() -> dict[str, Any]:
    """Datagrams between nodes: gossip, claims and votes."""
    made: dict[str, Any] = {}
    for name, raw in GOSSIP.items():
        sent = signed_datagram.seal(SECRET, raw)
        message = gossip.decode_message(signed_datagram.unseal(SECRET, sent))
        assert signed_datagram.seal(SECRET, gossip.encode_message(message)) == sent
        made[name] = [sent.hex(), plain(message)]
    for name, raw in CLAIMS.items():
        sent = signed_datagram.seal(SECRET, raw)
        claim = claims.decode_message(signed_datagram.unseal(SECRET, sent))
        assert signed_datagram.seal(SECRET, claims.encode_message(claim)) == sent
        made[name] = [sent.hex(), plain(claim)]
    return made


def peers() -> dict[str, Any]:
    """What nodes ask each other over HTTP: lists, tables of votes, keyed digests."""
    raw = orjson.dumps(ANSWER)
    assert snapshot_codec.encode(snapshot_codec.decode(raw)) == raw
    page = orjson.dumps(["n1", 17, 1, 2, 10.0, [["00" * 16, "127.0.0.1:4100#9", 3, 2.5]]])
    assert vote_transfer.encode(vote_transfer.decode(page, 10.0)) == page
    return {
        "answer": plain(snapshot_codec.decode(raw)),
        "page": plain(vote_transfer.decode(page, 10.0)),
        "digest": snapshot_codec.keyed_digest(SECRET, b"ask", b"0011", b"/list?era=1"),
    }


def agreed_documents() -> dict[str, Any]:
    """What is agreed on: holders and records of duties, zones, steps of the replicated document."""
    hold, record = orjson.dumps(["n1", 7, "127.0.0.1:4200"]), orjson.dumps(RECORD)
    assert duties.decode_holder(hold).encode() == hold
    assert duties.decode_task_record(record).encode() == record
    document = orjson.dumps(ZONES)
    assert zones.encode_policy(zones.decode_policy(document)) == document
    steps = [codec.decode_command(step) for step in STEPS]
    assert [codec.encode_command(step) for step in steps] == STEPS
    held = state_machine.Document()
    answers = [codec.apply_request(held, step) for step in [*STEPS, *QUESTIONS]]
    done = [codec.encode_result(codec.decode_result(answer)) for answer in answers[: len(STEPS)]]
    assert done == answers[: len(STEPS)]
    found = [codec.decode_snapshot(answer) for answer in answers[len(STEPS) :]]
    assert [codec.encode_snapshot(one) for one in found] == answers[len(STEPS) :]
    return {
        "keys": [duties.holder_key("d"), duties.task_key("d"), zones.POLICY_KEY],
        "hold": plain(duties.decode_holder(hold)),
        "record": plain(duties.decode_task_record(record)),
        "zones": plain(zones.decode_policy(document)),
        "steps": kinds(steps),
        "answers": answers,
    }


def measurements() -> dict[str, Any]:
    """Saved estimates."""
    raw = orjson.dumps(LEARNED)
    assert saved_estimates.encode(saved_estimates.decode(raw)) == raw
    return {"learned": plain(saved_estimates.decode(raw))}


GOSSIP: dict[str, Any] = {
    "ping": [0, 9, "127.0.0.1:4300", "127.0.0.1:4301", [
        ["n1", "z1", "127.0.0.1:4300", 3, 41, 1.25, [12.0, 3.5, 0.125, 0.0, 1.0, 0.75],
         {"z1": 1.0, "z2": 0.25}, {"topup": [0.5, 2.5, 1.25]}],
        ["n2", "z2", "127.0.0.1:4301", 0, 0, 0.0, [0.0, 0.0, 0.0, 0.0, 0.0, 0.0], {}, {}],
    ], [["n9", 2, 4, "n1", "z1", 0.75]], [4, 19]],
    "ack": [1, 9, "127.0.0.1:4301", "", [], [], [0, 0]],
    "ask": [2, 10, "127.0.0.1:4300", "127.0.0.1:4302", [], [], [4, 19]],
}  # fmt: skip
CLAIMS: dict[str, Any] = {
    "claim": {"n": 5, "from": "127.0.0.1:4300", "id": "0f" * 16, "by": "127.0.0.1:4300#7", "run": 3,
              "hold": 8.25, "gen": 2, "release": False},
    "release": {"n": 6, "from": "127.0.0.1:4300", "id": "0f" * 16, "by": "127.0.0.1:4300#7", "run": 3,
                "hold": 8.25, "gen": 2, "release": True},
    "yes": {"n": 5, "keeper": "n2", "vote": "yes", "by": "127.0.0.1:4300#7", "left": 8.25},
    "taken": {"n": 6, "keeper": "n2", "vote": "taken", "by": "127.0.0.1:4301#2", "left": 1.5},
    "unable": {"n": 7, "keeper": "n3", "vote": "unable", "by": "", "left": 0.0},
}  # fmt: skip
ANSWER: dict[str, Any] = {
    "stamp": [2, 40, "store-1", True], "age": 1.5,
    "items": {"nodes/z1/n1": ["127.0.0.1:4100", 12], "pools/p/s1": ["127.0.0.1:9000", 40]},
    "base": [2, 31, "store-1", False], "gone": ["nodes/z1/n7"], "warm": True,
    "contacts": ["127.0.0.1:4200"], "strain": 1.5, "servers": {"p": {"s1": [1.5, 4.0, 0.0, 2.5]}},
}  # fmt: skip
RECORD = {"fence": 7, "note": "at 12", "by": "n1", "to": "n2", "off": False}
ZONES: dict[str, Any] = {
    "epoch": 12, "beat": 3, "fence": 7, "by": "n1", "holds": 6.0, "halted": "",
    "zones": {
        "z1": {"standing": "shunned in part", "cause": "failing", "away": 0.25, "to": {"z2": 1.0},
               "load": 12.5, "strikes": 1, "pinned": "", "why": "it fails", "parts": {"topup": 0.5}},
        "z2": {"standing": "open", "cause": "", "away": 0.0, "to": {}, "load": 0.0, "strikes": 0,
               "pinned": "operators", "why": "by hand", "parts": {}},
        "z3": {"standing": "closed", "cause": "not reached", "away": 1.0, "to": {"z2": 1.0}, "load": 3.0,
               "strikes": 0, "pinned": "", "why": "", "parts": {}},
        "z4": {"standing": "coming back", "cause": "full", "away": 0.5, "to": {"z2": 1.0}, "load": 3.0,
               "strikes": 2, "pinned": "", "why": "", "parts": {}},
    },
}  # fmt: skip
STEPS: list[dict[str, Any]] = [
    {"do": "grant", "seconds": 2.5, "lease": 77},
    {
        "do": "change",
        "compare": {"duty/d": 0},
        "put": {"duty/d": ["{}", 0], "hold/d": ["[]", 77]},
        "delete": [],
    },
    {"do": "change", "compare": {"duty/d": 0}, "put": {}, "delete": ["duty/d"]},
    {"do": "beat", "lease": 77},
    {"do": "expire", "lease": 77, "beat": 0},
    {"do": "expire", "lease": 77, "beat": 1},
    {"do": "revoke", "lease": 77},
]
QUESTIONS: list[dict[str, Any]] = [
    {"do": "read", "keys": ["duty/d", "hold/d"]},
    {"do": "listed", "prefix": "duty/"},
]
LEARNED = [
    {"topup": [0.25, 0.2, 0.3], "look": [0.05, 0.0, 0.0]}, [0.125, 0.03],
    {"p": [{"topup": 0.25}, {"s1": [1.5, 4.0, 0.0, 2.5]}]},
]  # fmt: skip

PROTOCOLS: dict[str, Callable[[], dict[str, Any]]] = {
    "agent link": agent_link,
    "router protocol": router,
    "gateway protocol": gateway,
    "membership reports": reports,
    "external processing": processor,
    "datagrams": datagrams,
    "peers": peers,
    "agreed documents": agreed_documents,
    "measurements": measurements,
}


@pytest.mark.parametrize("protocol", list(PROTOCOLS))
def test_messages_are_those_on_record(protocol: str) -> None:
    assert orjson.loads(orjson.dumps(PROTOCOLS[protocol]())) == RECORDED[protocol]


def test_every_protocol_is_on_record() -> None:
    assert set(RECORDED) == set(PROTOCOLS)
