"""Hundreds of clients at once whose messages are large, slow, half sent or of many fields."""

from __future__ import annotations

import asyncio
import contextlib
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass

import grpc
import h2.exceptions
import pytest

from shelfhaven.config import Address
from shelfhaven.lab.callers import Connection, connect, read_reply, variables
from shelfhaven.lab.proxy import ProxyStub, first_message, new_request
from shelfhaven.protocol import uwsgi
from shelfhaven.protocol.pb import extproc_pb2
from shelfhaven.server.receive_buffers import MIN_RELEASED_BYTES, ReceiveBuffers, buffer_limit
from tests.frontends.node_process import (
    DEADLINE_S,
    MEMORY_LIMIT_MB,
    NodeUnderTest,
    WellBehavedClients,
    running_process,
)
from tests.frontends.test_extproc_faults import Http2Client
from tests.peers import run_async

pytestmark = pytest.mark.alone

CLIENTS = 400
OBSERVED_S = 1.2  # less than the time after which an incomplete message is answered
STREAM_MEMORY_MB = 192  # the default limit
SLOW_BODY_S = 0.1  # longer than a turn to read, within the verdict time
STOPPED_S = 0.5  # until what stopped clients have sent has been read
BLOCK_LIMIT = 16 * 1024
HEAD_LIMIT = 32 * 1024
FIELD_LIMIT = 512


def uwsgi_head(size: int, body_length: int) -> bytes:
    """Return the head of a request whose block has many variables of three letters and no value."""
    block = b""
    for name, value in (
        (b"REQUEST_METHOD", b"POST"),
        (b"PATH_INFO", b"/topup"),
        (b"CONTENT_LENGTH", b"%d" % body_length),
    ):
        block += struct.pack("<H", len(name)) + name + struct.pack("<H", len(value)) + value
    number = 0
    while len(block) < size - 7:
        block += struct.pack("<H", 3) + b"%03x" % number + struct.pack("<H", 0)
        number += 1
    return struct.pack("<BHB", 0, len(block), 0) + block


def http_head(fields: int, end: bytes, more: bytes = b"") -> bytes:
    """Return the head of a subrequest with many short fields."""
    lines = b"".join(b"%x:\r\n" % number for number in range(fields))
    return (b"GET /balance/1 HTTP/1.1\r\n" + more + lines)[: HEAD_LIMIT - 4] + end


@dataclass(frozen=True)
class Picture:
    """What each of the clients sends; `address`: to which listener."""

    address: Callable[[NodeUnderTest], Address]
    sent: bytes
    uwsgi: str = ""


PICTURES = {
    "uwsgi, many variables, half a body": Picture(
        lambda node: node.gateways, uwsgi_head(BLOCK_LIMIT, 65536) + b"x" * 60000
    ),
    "uwsgi, variables at the limit, half a body": Picture(
        lambda node: node.gateways, uwsgi_head(7 * FIELD_LIMIT, 65536) + b"x" * 60000
    ),
    "uwsgi, half of a body of a megabyte": Picture(
        lambda node: node.gateways, uwsgi_head(200, 1_000_000) + b"x" * 500_000, uwsgi='body-most="1MB"'
    ),
    "jsonrpc, half a message": Picture(
        lambda node: node.routers, b"Content-Length: 16000\r\n\r\n" + b"x" * 15000
    ),
    "subrequest, many fields": Picture(lambda node: node.subrequests, http_head(5000, b"\r\n\r\n")),
    "subrequest, many fields, half a body": Picture(
        lambda node: node.subrequests,
        http_head(5000, b"\r\n\r\n", b"Content-Length: 60000\r\n") + b"x" * 9000,
    ),
    "subrequest, fields at the limit": Picture(
        lambda node: node.subrequests, http_head(FIELD_LIMIT - 1, b"\r\n")
    ),
    "subrequest, half a head": Picture(lambda node: node.subrequests, http_head(5000, b"")),
}


async def send(node: NodeUnderTest, picture: Picture) -> Connection:
    connection = await connect(picture.address(node))
    connection.writer.write(picture.sent)
    return connection


@pytest.mark.parametrize("picture", PICTURES.values(), ids=PICTURES)
def test_hundreds_of_incomplete_or_many_field_messages_stay_within_the_memory(picture: Picture) -> None:
    # guards against a process that is killed for its memory (incident memory-of-incomplete-messages)
    async def check() -> None:
        async with running_process(uwsgi=picture.uwsgi) as node:
            clients = WellBehavedClients(node)
            sending = asyncio.gather(*(send(node, picture) for _ in range(CLIENTS)))
            observing = asyncio.gather(node.peak_memory_mb(OBSERVED_S), clients.run(OBSERVED_S))
            connections = await sending
            peak_memory_mb, _ = await observing
            assert peak_memory_mb < MEMORY_LIMIT_MB
            for report in clients.reports.values():
                assert report.slowest < DEADLINE_S
                assert report.answers["served"] > 0
                assert not report.answers["none"]
            for connection in connections:
                connection.writer.close()

    run_async(check)


def test_sound_requests_near_each_limit_are_served() -> None:
    async def check() -> None:
        async with running_process() as node:
            reader, writer = await connect(node.subrequests)
            for filler in (b"X-Filler: %b\r\n" % (b"x" * 31_000), http_head(500, b"")[25:]):
                writer.write(b"GET /balance/1 HTTP/1.1\r\nHost: x\r\n" + filler + b"\r\n")
                assert (await read_reply(reader)).status == 200
            writer.close()
            reader, writer = await connect(node.gateways)
            body = b"b" * 65536
            for more in ({"X": "y" * 15_000}, {f"N{number}": "" for number in range(490)}):
                headers = variables("POST", "/topup", HTTP_IDEMPOTENCY_KEY=f"k{len(more)}", **more)
                writer.write(uwsgi.encode(headers, body))
                reply = await read_reply(reader)
                assert (reply.status, reply.body) == (200, b"made for " + body)
            writer.close()

    run_async(check)


def test_a_slow_sound_body_is_served_beside_clients_that_stopped_half_way() -> None:
    async def check() -> None:
        async with running_process(uwsgi='body-most="1MB" within="4s"') as node:
            picture = Picture(lambda node: node.gateways, uwsgi_head(200, 1_000_000) + b"x" * 500_000)
            stalled = await asyncio.gather(*(send(node, picture) for _ in range(100)))
            await asyncio.sleep(STOPPED_S)
            reader, writer = await connect(node.gateways)
            packet = uwsgi.encode(
                variables("POST", "/topup", HTTP_IDEMPOTENCY_KEY="slow"), body=b"b" * 200_000
            )
            for start in range(0, len(packet), 20_000):
                writer.write(packet[start : start + 20_000])
                await asyncio.sleep(0.02)
            assert (await read_reply(reader)).status == 200
            replies = await asyncio.gather(*(read_reply(connection.reader) for connection in stalled))
            assert {reply.status for reply in replies} == {408, 503}
            # another try may follow a 503, and an earlier one may have run
            assert all(reply.not_run == (reply.status == 408) for reply in replies)
            assert all("retry-after" in reply.fields for reply in replies if reply.status == 503)

    run_async(check)


# Streams


def large_request() -> bytes:
    message = first_message(new_request("GET", "/balance/1", b"", {"x-filler": "y" * 1_000_000}))
    return message.SerializeToString()


@pytest.mark.parametrize("message", [large_request(), large_request() + b"\x12"], ids=["sound", "unsound"])
def test_hundreds_of_streams_with_large_messages_stay_within_the_memory(message: bytes) -> None:
    async def check() -> None:
        async with running_process(memory_mb=STREAM_MEMORY_MB) as node:
            proxies = [ProxyStub(node.streams.port, []) for _ in range(300)]

            async def consult(proxy: ProxyStub) -> bool:
                stream = proxy.process()
                with contextlib.suppress(grpc.aio.AioRpcError, asyncio.InvalidStateError):
                    await stream.write(message)
                    return isinstance(await stream.read(), bytes)
                return False

            consulting = asyncio.gather(*(consult(proxy) for proxy in proxies))
            peak_memory_mb = await node.peak_memory_mb(OBSERVED_S)
            verdicts = await consulting
            assert peak_memory_mb < STREAM_MEMORY_MB
            assert all(verdicts) or message != large_request()
            await asyncio.gather(*(proxy.close() for proxy in proxies))

    run_async(check)


async def send_half_a_message(client: Http2Client, stop_at: float) -> None:
    """Send half of a large message, as far as the flow control allows it."""
    client.http.increment_flow_control_window(1 << 20)
    stream = client.begin()
    message = large_request()
    pending = b"\0" + len(message).to_bytes(4, "big") + message[:500_000]
    while pending and time.monotonic() < stop_at:
        window = min(client.http.local_flow_control_window(stream), client.http.max_outbound_frame_size)
        if window:
            client.http.send_data(stream, pending[:window])
            pending = pending[window:]
            client.flush()
            continue
        client.flush()
        with contextlib.suppress(TimeoutError):
            data = await asyncio.wait_for(client.reader.read(65536), 0.2)
            if not data:
                return
            client.http.receive_data(data)
            client.flush()


def test_hundreds_of_streams_that_stop_half_way_stay_within_the_memory() -> None:
    async def check() -> None:
        async with running_process(memory_mb=STREAM_MEMORY_MB) as node:
            clients = [Http2Client(*await connect(node.streams)) for _ in range(300)]
            stop_at = time.monotonic() + OBSERVED_S
            with contextlib.suppress(h2.exceptions.ProtocolError, ConnectionError):
                sending = asyncio.gather(
                    *(send_half_a_message(client, stop_at) for client in clients), return_exceptions=True
                )
                assert await node.peak_memory_mb(OBSERVED_S) < STREAM_MEMORY_MB
                await sending
            well_behaved = WellBehavedClients(node)
            await well_behaved.run(1.0)
            assert well_behaved.reports["extproc"].answers["served"] > 0
            assert not well_behaved.reports["extproc"].answers["none"]
            for client in clients:
                client.writer.close()

    run_async(check)


def test_bodies_at_the_limit_that_come_slowly_get_their_verdicts() -> None:
    async def check() -> None:
        async with running_process(memory_mb=STREAM_MEMORY_MB, at_once=64) as node:
            proxy = ProxyStub(node.streams.port, [], verdict_timeout=DEADLINE_S)

            async def consult(number: int) -> str:
                body = b"%d" % number + b"b" * 65_000
                headers = {"idempotency-key": f"key {number}"}
                stream, first, _ = proxy.open_consultation("POST", "/topup", body, **headers)
                await proxy._exchange(stream, first)
                await asyncio.sleep(SLOW_BODY_S)
                message = extproc_pb2.ProcessingRequest(
                    request_body=extproc_pb2.HttpBody(body=body, end_of_stream=True)
                )
                return str((await proxy._exchange(stream, message)).WhichOneof("response"))

            verdicts = await asyncio.gather(*(consult(number) for number in range(30)))
            assert verdicts.count("request_body") == 30
            await proxy.close()

    run_async(check)


class Waiting:
    """A connection whose message began at a time."""

    def __init__(self, message_awaited_since: float) -> None:
        self.message_awaited_since = message_awaited_since


def test_the_large_message_with_the_lowest_rate_goes_first() -> None:
    buffers: ReceiveBuffers[Waiting] = ReceiveBuffers(6 * MIN_RELEASED_BYTES)
    small, stopped, going_on = Waiting(0.0), Waiting(1.0), Waiting(0.9)
    buffers.update(small, MIN_RELEASED_BYTES - 1)
    buffers.update(stopped, MIN_RELEASED_BYTES)
    buffers.update(going_on, 4 * MIN_RELEASED_BYTES)
    assert buffers.connection_to_close(2.0) is None
    buffers.update(going_on, 5 * MIN_RELEASED_BYTES)
    assert buffers.connection_to_close(2.0) is stopped
    buffers.update(stopped, 0)
    assert buffers.connection_to_close(2.0) is None
    buffers.update(going_on, 0)
    buffers.update(small, 0)
    assert buffers.total == 0


def test_the_limit_is_a_part_of_the_memory_limit() -> None:
    assert buffer_limit(192) == 12 * 1024 * 1024
