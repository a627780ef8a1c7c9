"""The external-processing frontend under faults: unusual HTTP/2, stopped servers, changed certificates."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import time
from pathlib import Path
from unittest.mock import patch

import grpc
import h2.config
import h2.connection
import h2.settings
import pytest
import trustme

from shelfhaven.config import Address
from shelfhaven.frontends.extproc_stream import MAX_HEADERS_MESSAGE_BYTES
from shelfhaven.lab.backend_stub import ExecutedRun
from shelfhaven.lab.callers import connect, until
from shelfhaven.lab.node import run_node
from shelfhaven.lab.ports import reserved_address
from shelfhaven.lab.proxy import (
    PROCESS_METHOD,
    ProxiedRequest,
    ProxyStub,
    UpstreamResponse,
    first_message,
    new_request,
)
from tests.frontends.proxy_nodes import (
    ProxyNode,
    ask_until_forwarded,
    running_proxy_node,
)
from tests.peers import run_async

# HTTP/2


class Http2Client:
    """An HTTP/2 client whose frames a test chooses one by one, which a gRPC library would not permit."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.http = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
        self.http.initiate_connection()

    def flush(self) -> None:
        self.writer.write(self.http.data_to_send())

    def begin(self, **more_headers: str) -> int:
        stream: int = self.http.get_next_available_stream_id()
        headers = [
            (":method", "POST"), (":path", PROCESS_METHOD), (":scheme", "http"), (":authority", "x"),
            ("content-type", "application/grpc"), ("te", "trailers"), *more_headers.items(),
        ]  # fmt: skip
        self.http.send_headers(stream, headers)
        return stream

    def send(self, stream: int, message: bytes) -> None:
        self.http.send_data(stream, b"\0" + len(message).to_bytes(4, "big") + message)


async def open_http2_client(node: ProxyNode) -> Http2Client:
    return Http2Client(*await connect(node.proxy_address))


def encoded_first_message(path: str) -> bytes:
    return first_message(new_request("GET", path, b"", {})).SerializeToString()


def test_a_flow_control_window_of_zero_stalls_its_own_stream_only() -> None:
    async def check() -> None:
        async with running_proxy_node() as node:
            client = await open_http2_client(node)
            log = node.app.proxy_listeners[0].log
            client.http.update_settings({h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 0})
            with patch.object(log, "event", wraps=log.event) as events:
                for number in range(20):
                    client.send(client.begin(), encoded_first_message(f"/balance/{number}"))
                client.flush()
                # Each stream times out on its own.
                await until(
                    lambda: [call.args[0] for call in events.call_args_list].count("proxy_stalls") == 20
                )
            await until(
                lambda: not node.app.proxy_listeners[0].open_requests() and not node.app.core.requests
            )
            await ask_until_forwarded(node.new_proxy())
            client.writer.close()

    run_async(check)


def test_no_request_stays_open_after_thousands_of_stream_resets() -> None:
    async def check() -> None:
        async with running_proxy_node() as node:
            client = await open_http2_client(node)
            for number in range(2000):
                stream = client.begin()
                if number < 500:  # no more messages fit in the flow-control window of the connection
                    client.send(stream, encoded_first_message(f"/balance/{number}"))
                client.http.reset_stream(stream)
                if number % 50 == 0:
                    client.flush()
                    with contextlib.suppress(ConnectionError):
                        await client.writer.drain()
            client.flush()
            await ask_until_forwarded(node.new_proxy(verdict_timeout=5.0))
            client.writer.close()
            await until(
                lambda: not node.app.proxy_listeners[0].open_requests() and not node.app.core.requests
            )

    run_async(check)


@pytest.mark.parametrize(("extra_bytes", "status"), [(-1000, 200), (1000, 431)])
def test_the_first_message_of_a_stream_has_a_size_limit_below_that_of_bodies(
    extra_bytes: int, status: int
) -> None:
    # guards against many streams whose headers take long to decode (incident flood-on-one-connection)
    async def check() -> None:
        async with running_proxy_node() as node:
            value = "y" * (MAX_HEADERS_MESSAGE_BYTES + extra_bytes)
            exchange = await node.new_proxy().ask("GET", "/balance/1", b"", **{"x-large": value})
            assert exchange.reply
            assert exchange.reply.status == status
            assert exchange.forwarded is (status == 200)
            await until(lambda: node.app.proxy_listeners[0].open_requests() == 0)

    run_async(check)


def test_headers_over_the_limit_and_a_flood_of_pings_do_not_affect_other_connections() -> None:
    async def check() -> None:
        async with running_proxy_node() as node:
            large, pings = await open_http2_client(node), await open_http2_client(node)
            large.begin(**{"x-large": "y" * 15_000, "x-more": "z" * 15_000, "x-most": "a" * 15_000})
            large.flush()
            for number in range(5000):
                pings.http.ping(number.to_bytes(8, "big"))
            pings.flush()
            await ask_until_forwarded(node.new_proxy())
            await until(lambda: node.app.proxy_listeners[0].open_requests() == 0)
            large.writer.close()
            pings.writer.close()

    run_async(check)


# A stopped process


OPERATOR_FILE = """
node "n" stop="2s"
work at-once=8 {{
    class "balance" aim="600ms" deadline="3s" repeat="safe"
    class "topup" aim="600ms" deadline="3s" worth=3 repeat="keyed" window="8s"
    {cold}
}}
mapping "m" {{
    route "topup" method="POST" path="/topup"
    route "balance" path="/balance/*"
}}
listen "p" protocol="extproc" address="{proxies}" mapping="m" verdict="300ms"
"""


def test_requests_that_came_while_the_process_was_stopped_are_rejected_and_none_continues_late() -> None:
    async def check() -> None:
        address = reserved_address()
        log: list[ExecutedRun] = []
        async with run_node(OPERATOR_FILE.format(proxies=address, cold=""), address) as node:
            proxy = ProxyStub(address.port, log, verdict_timeout=5.0)
            assert (await proxy.ask("GET", "/balance/0")).forwarded
            os.kill(node.pid, signal.SIGSTOP)
            asking = [asyncio.ensure_future(proxy.ask("GET", f"/balance/{number}")) for number in range(20)]
            started = time.monotonic()
            await until(lambda: time.monotonic() > started + 1.0)  # the process stays stopped for a second
            os.kill(node.pid, signal.SIGCONT)
            exchanges = await asyncio.gather(*asking)
            assert {exchange.reply.status for exchange in exchanges if exchange.reply} == {503}
            assert not any(exchange.forwarded for exchange in exchanges)
            assert len(log) == 1
            await ask_until_forwarded(proxy)
            await proxy.close()

    run_async(check)


# A rolling deploy


@pytest.mark.alone
def test_every_request_gets_a_verdict_under_load_while_two_of_three_servers_are_replaced() -> None:
    async def check() -> None:
        log: list[ExecutedRun] = []
        addresses = [reserved_address() for _ in range(3)]
        exchanges: list[ProxiedRequest] = []
        lost: list[ProxiedRequest] = []

        async def upstream(_: ProxiedRequest) -> UpstreamResponse:
            await asyncio.sleep(0.02)
            return UpstreamResponse(200, b"done")

        def new_proxy(address: Address) -> ProxyStub:
            proxy = ProxyStub(address.port, log, verdict_timeout=0.5)
            proxy.upstream = upstream
            return proxy

        proxies = [new_proxy(address) for address in addresses]

        async def ask_one_of_the_nodes(number: int) -> None:
            """Ask a healthy node, and another one if the stream never reached the first."""
            exchange = ProxiedRequest("GET", "", b"", {})
            for offset in range(3):
                if not proxies[(number + offset) % 3].healthy:
                    continue
                exchange = await proxies[(number + offset) % 3].ask("GET", f"/balance/{number}")
                if exchange.verdict_latency is not None:
                    exchanges.append(exchange)
                    return
                if exchange.stream_status is not grpc.StatusCode.UNAVAILABLE:
                    break
            lost.append(exchange)

        async with contextlib.AsyncExitStack() as stack:
            nodes = [
                await stack.enter_async_context(
                    run_node(OPERATOR_FILE.format(proxies=address, cold=""), address)
                )
                for address in addresses
            ]
            tasks = []
            cold = 'cold true\n cold-from 0.3\n warm-up "2s"'

            async def replace(index: int) -> None:
                assert await nodes[index].shut_down() == 0
                file = OPERATOR_FILE.format(proxies=addresses[index], cold=cold)
                await stack.enter_async_context(run_node(file, addresses[index]))

            replacing = []
            watching = [asyncio.ensure_future(proxy.watch()) for proxy in proxies]
            for number in range(600):
                tasks.append(asyncio.ensure_future(ask_one_of_the_nodes(number)))
                if number == 100:
                    replacing = [asyncio.ensure_future(replace(index)) for index in (0, 1)]
                await asyncio.sleep(0.008)
            await asyncio.gather(*tasks, *replacing)
            for proxy, watch in zip(proxies, watching, strict=True):
                watch.cancel()
                await proxy.close()
        assert lost == []
        assert len(exchanges) == 600
        latencies = [done.verdict_latency for done in exchanges if done.verdict_latency is not None]
        assert len(latencies) == 600
        assert max(latencies) < 0.5
        assert sum(exchange.forwarded for exchange in exchanges) > 300

    run_async(check)


# Certificates


def write_certificate(authority: trustme.CA, folder: Path) -> None:
    issued = authority.issue_cert("127.0.0.1")
    issued.private_key_pem.write_to_path(str(folder / "key.pem"))
    issued.cert_chain_pems[0].write_to_path(str(folder / "cert.pem"))


def test_certificates_are_reloaded_and_a_client_without_one_is_rejected(tmp_path: Path) -> None:
    async def check() -> None:
        old, new, client_ca = trustme.CA(), trustme.CA(), trustme.CA()
        write_certificate(old, tmp_path)
        client_ca.cert_pem.write_to_path(str(tmp_path / "ca.pem"))
        client_certificate = client_ca.issue_cert("proxy@example.org")
        tls_options = "\n".join(
            f'{name} "{tmp_path / file}"'
            for name, file in (("certificate", "cert.pem"), ("key", "key.pem"), ("client-ca", "ca.pem"))
        )
        async with running_proxy_node(consult=f"{{\n tls {{\n {tls_options}\n }}\n}}") as node:

            def new_proxy(server_ca: trustme.CA, has_certificate: bool) -> ProxyStub:
                key_and_certificate = (
                    client_certificate.private_key_pem.bytes(),
                    client_certificate.cert_chain_pems[0].bytes(),
                )
                own = key_and_certificate if has_certificate else (None, None)
                tls = grpc.ssl_channel_credentials(server_ca.cert_pem.bytes(), *own)
                return node.new_proxy(tls=tls, verdict_timeout=2.0)

            assert (await new_proxy(old, True).ask("GET", "/balance/1")).forwarded
            assert not (await new_proxy(old, False).ask("GET", "/balance/2")).forwarded
            write_certificate(new, tmp_path)
            os.utime(tmp_path / "cert.pem", (1, 1))  # a changed modification time triggers the reload
            assert (await new_proxy(new, True).ask("GET", "/balance/3")).forwarded
            assert not (await new_proxy(old, True).ask("GET", "/balance/4")).forwarded

    run_async(check)


# Imports


def test_grpc_is_not_imported_if_no_listener_needs_it(tmp_path: Path) -> None:
    path = tmp_path / "operator.kdl"
    path.write_text(OPERATOR_FILE.format(proxies="127.0.0.1:1", cold="").replace("extproc", "subrequest"))
    code = (
        "import sys\nfrom pathlib import Path\nfrom shelfhaven.program.app import App\n"
        "from shelfhaven.program.component import load\nfrom shelfhaven.server.log import Log\n"
        "import asyncio\n"
        "async def made():\n"
        f"    files = load(None, Path({str(path)!r}))\n"
        "    App(files, Log('t', 2))\n"
        "asyncio.run(made())\nsys.exit('grpc' in sys.modules)\n"
    )
    assert os.spawnv(os.P_WAIT, sys.executable, [sys.executable, "-c", code]) == 0
