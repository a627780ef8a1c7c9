"""Faults of proxies: bad HTTP/2, paused and replaced servers, certificates."""

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
    """A client that speaks HTTP/2 as badly as a test wants."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.http = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
        self.http.initiate_connection()

    def flush(self) -> None:
        self.writer.write(self.http.data_to_send())

    def begin(self, **more: str) -> int:
        stream: int = self.http.get_next_available_stream_id()
        headers = [
            (":method", "POST"), (":path", PROCESS_METHOD), (":scheme", "http"), (":authority", "x"),
            ("content-type", "application/grpc"), ("te", "trailers"), *more.items(),
        ]  # fmt: skip
        self.http.send_headers(stream, headers)
        return stream

    def send(self, stream: int, message: bytes) -> None:
        self.http.send_data(stream, b"\0" + len(message).to_bytes(4, "big") + message)


async def open_http2_client(node: ProxyNode) -> Http2Client:
    return Http2Client(*await connect(node.proxies))


def first_bytes(path: str) -> bytes:
    return first_message(new_request("GET", path, b"", {})).SerializeToString()


def test_a_flow_control_window_of_zero_stalls_its_own_stream_only() -> None:
    async def check() -> None:
        async with running_proxy_node() as node:
            bad = await open_http2_client(node)
            log = node.app.processors[0].log
            bad.http.update_settings({h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 0})
            with patch.object(log, "event", wraps=log.event) as events:
                for number in range(20):
                    bad.send(bad.begin(), first_bytes(f"/balance/{number}"))
                bad.flush()
                # each of them by itself, in its own time
                await until(
                    lambda: [call.args[0] for call in events.call_args_list].count("proxy_stalls") == 20
                )
            await until(lambda: not node.app.processors[0].open_requests() and not node.app.core.requests)
            await ask_until_forwarded(node.proxy())
            bad.writer.close()

    run_async(check)


def test_thousands_of_resets_at_once_leave_nothing_behind() -> None:
    async def check() -> None:
        async with running_proxy_node() as node:
            bad = await open_http2_client(node)
            for number in range(2000):
                stream = bad.begin()
                if number < 500:  # the window of the connection has room for no more
                    bad.send(stream, first_bytes(f"/balance/{number}"))
                bad.http.reset_stream(stream)
                if number % 50 == 0:
                    bad.flush()
                    with contextlib.suppress(ConnectionError):
                        await bad.writer.drain()
            bad.flush()
            await ask_until_forwarded(node.proxy(verdict_timeout=5.0))
            bad.writer.close()
            await until(lambda: not node.app.processors[0].open_requests() and not node.app.core.requests)

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
            await ask_until_forwarded(node.proxy())
            await until(lambda: node.app.processors[0].open_requests() == 0)
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
            await until(lambda: time.monotonic() > started + 1.0)  # it stands still for so long
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
def test_a_flood_while_two_of_three_servers_are_replaced_leaves_no_request_without_a_verdict() -> None:
    async def check() -> None:
        log: list[ExecutedRun] = []
        addresses = [reserved_address() for _ in range(3)]
        exchanges: list[ProxiedRequest] = []
        lost: list[ProxiedRequest] = []

        async def upstream(_: ProxiedRequest) -> UpstreamResponse:
            await asyncio.sleep(0.02)
            return UpstreamResponse(200, b"done")

        def made(address: Address) -> ProxyStub:
            proxy = ProxyStub(address.port, log, verdict_timeout=0.5)
            proxy.upstream = upstream
            return proxy

        proxies = [made(address) for address in addresses]

        async def one(number: int) -> None:
            """A proxy tries another node if the stream never reached the first."""
            exchange = ProxiedRequest("GET", "", b"", {})
            for step in range(3):
                if not proxies[(number + step) % 3].healthy:
                    continue
                exchange = await proxies[(number + step) % 3].ask("GET", f"/balance/{number}")
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

            async def replace(which: int) -> None:
                assert await nodes[which].shut_down() == 0
                file = OPERATOR_FILE.format(proxies=addresses[which], cold=cold)
                await stack.enter_async_context(run_node(file, addresses[which]))

            replacing = []
            watching = [asyncio.ensure_future(proxy.watch()) for proxy in proxies]
            for number in range(600):
                tasks.append(asyncio.ensure_future(one(number)))
                if number == 100:
                    replacing = [asyncio.ensure_future(replace(which)) for which in (0, 1)]
                await asyncio.sleep(0.008)
            await asyncio.gather(*tasks, *replacing)
            for proxy, watch in zip(proxies, watching, strict=True):
                watch.cancel()
                await proxy.close()
        assert lost == []
        assert len(exchanges) == 600
        latencies = [one.verdict_latency for one in exchanges if one.verdict_latency is not None]
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
        old, new, callers = trustme.CA(), trustme.CA(), trustme.CA()
        write_certificate(old, tmp_path)
        callers.cert_pem.write_to_path(str(tmp_path / "ca.pem"))
        mine = callers.issue_cert("proxy@example.org")
        files = "\n".join(
            f'{name} "{tmp_path / file}"'
            for name, file in (("certificate", "cert.pem"), ("key", "key.pem"), ("client-ca", "ca.pem"))
        )
        async with running_proxy_node(consult=f"{{\n tls {{\n {files}\n }}\n}}") as node:

            def proxy(authority: trustme.CA, known: bool) -> ProxyStub:
                pair = (mine.private_key_pem.bytes(), mine.cert_chain_pems[0].bytes())
                own = pair if known else (None, None)
                tls = grpc.ssl_channel_credentials(authority.cert_pem.bytes(), *own)
                return node.proxy(tls=tls, verdict_timeout=2.0)

            assert (await proxy(old, True).ask("GET", "/balance/1")).forwarded
            assert not (await proxy(old, False).ask("GET", "/balance/2")).forwarded
            write_certificate(new, tmp_path)
            os.utime(tmp_path / "cert.pem", (1, 1))
            assert (await proxy(new, True).ask("GET", "/balance/3")).forwarded
            assert not (await proxy(old, True).ask("GET", "/balance/4")).forwarded

    run_async(check)


# Imports


def test_grpc_is_not_imported_where_no_listener_speaks_it(tmp_path: Path) -> None:
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
