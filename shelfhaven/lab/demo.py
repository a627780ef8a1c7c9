"""The command `demo`: an overloaded node between callers of all protocols and backend stubs.

The printed table is computed from the logs of the callers and the backends, and checker.py checks the
guarantees on the same logs. Neither uses the node's own logs or counters.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import time
from collections import Counter
from collections.abc import Coroutine
from random import Random
from typing import NamedTuple

import click
import grpc

from shelfhaven.config import Address
from shelfhaven.lab import checker
from shelfhaven.lab.backend_stub import BackendStub, ExecutedRun, result_for
from shelfhaven.lab.callers import LOST, NOT_REACHED, Message, Reply, Router, ask, connect
from shelfhaven.lab.checker import AnswerKind, Attempt
from shelfhaven.lab.node import run_node
from shelfhaven.lab.ports import reserved_address
from shelfhaven.lab.proxy import ProxiedRequest, ProxyStub, UpstreamResponse
from shelfhaven.protocol import jsonrpc

SERVERS = 4
WORKERS = 4  # per server
MEAN_RUN_S = 0.1
# Requests per second of the backends and the service behind the proxy.
CAPACITY = (SERVERS + 1) * WORKERS / MEAN_RUN_S
PROTOCOLS = ("uwsgi", "jsonrpc", "extproc")
TOPUP_FRACTION = 0.3  # fraction of requests that are top-ups
# Fraction of top-ups that are sent again over another protocol, whether or not the first was answered.
REPEATED_FRACTION = 0.3
MAX_REPEAT_DELAY_S = 3.0
OBJECTIVE_AND_DEADLINE_S = {"balance": (0.5, 1.5), "topup": (2.0, 4.0)}  # as in OPERATOR_FILE
ROUTERS = 4
GATEWAYS = 4
MAX_PRINTED_VIOLATIONS = 20
STOP_AT = 0.4  # fraction of the duration after which a server stops
RESTART_AT = 0.7  # fraction of the duration after which the server restarts
KIND_OF_ERROR_CODE = {jsonrpc.REJECTED: AnswerKind.REJECTED, jsonrpc.FAILED: AnswerKind.FAILED}
OPERATOR_FILE = """
node "demo" stop="2s"
work {{
    at-once {at_once}
    callers 8
    class "balance" aim="500ms" deadline="1500ms" worth=1 repeat="safe"
    class "topup" aim="2s" deadline="4s" worth=3 repeat="keyed" window="8s"
    tenant "retail" share=0.6
    tenant "bank" share=0.4
}}
mapping "vendors" {{
    route "topup" method="POST" path="/topup"
    route "balance" method="GET" path="/balance/*"
    tenant variable="HTTP_X_TENANT" default="retail"
    caller variable="HTTP_X_GATEWAY"
}}
listen "gateways" protocol="uwsgi" address="{gateways}" mapping="vendors"
listen "routers" protocol="jsonrpc" address="{routers}"
listen "proxies" protocol="extproc" address="{proxies}" mapping="vendors" verdict="400ms" margin="50ms"
pool "vendors" {{
{servers}
    runs "topup" path="/topup"
    runs "balance" method="GET" path="/balance/any"
}}
"""


class LoadGenerator:
    """Generates requests over all protocols and records each attempt and its answers.

    Attributes:
        gateways: the address for gateways.
        routers: the address for routers.
        proxy: the proxy, which consults the node.
        upstream_workers: limits the concurrency of the service behind the proxy.
        attempts: all attempts so far.
        connections: the routers' connections.
        request_count: number of requests started so far; a request's name contains its number.
        tasks: the attempts in progress.
    """

    def __init__(self, gateways: Address, routers: Address, proxy: ProxyStub, seed: int) -> None:
        self.gateways = gateways
        self.routers = routers
        self.proxy = proxy
        self.upstream_workers = asyncio.Semaphore(WORKERS)
        proxy.upstream = self._serve_upstream
        self.random = Random(seed)
        self.attempts: list[Attempt] = []
        self.connections: list[Router] = []
        self.request_count = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Open the connections of the routers."""
        for _ in range(ROUTERS):
            self.connections.append(Router(*await connect(self.routers)))

    def start_request(self) -> None:
        """Start a request over a random protocol; some top-ups are sent again over another protocol."""
        self.request_count += 1
        name = f"r{self.request_count}"
        is_topup = self.random.random() < TOPUP_FRACTION
        protocols = list(PROTOCOLS)
        self.random.shuffle(protocols)
        tenant = self.random.choice(["retail", "bank"])
        self._spawn(self._attempt(protocols[0], name, is_topup, tenant))
        if is_topup and self.random.random() < REPEATED_FRACTION:
            delay = self.random.uniform(0.0, MAX_REPEAT_DELAY_S)
            self._spawn(self._attempt(protocols[1], name, is_topup, tenant, delay))

    async def finish(self) -> None:
        """Wait until every attempt has been answered or has timed out."""
        while self.tasks:
            await asyncio.gather(*self.tasks)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _attempt(
        self, protocol: str, name: str, is_topup: bool, tenant: str, delay: float = 0.0
    ) -> None:
        if delay:
            await asyncio.sleep(delay)
        attempt = _new_attempt(protocol, name, is_topup, tenant)
        self.attempts.append(attempt)
        if protocol == "uwsgi":
            await self._attempt_by_gateway(attempt)
        elif protocol == "extproc":
            await self._attempt_by_proxy(attempt)
        else:
            await self._attempt_by_router(attempt)

    async def _attempt_by_gateway(self, attempt: Attempt) -> None:
        more = {"HTTP_X_TENANT": attempt.tenant, "HTTP_X_GATEWAY": f"g{self.random.randrange(GATEWAYS)}"}
        if attempt.key:
            more["HTTP_IDEMPOTENCY_KEY"] = attempt.key
        reply = LOST
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_reply_timeout(attempt)):
                reply = await ask(self.gateways, _method(attempt), attempt.path, attempt.body, **more)
        if reply is NOT_REACHED:
            attempt.record_answer(time.time(), AnswerKind.NOT_REACHED)
        elif reply.status:
            attempt.record_answer(time.time(), kind_of(reply), reply.body, reply.retry_after)

    async def _serve_upstream(self, exchange: ProxiedRequest) -> UpstreamResponse:
        """Act as the service behind the proxy, which has as many workers as a backend."""
        async with self.upstream_workers:
            await asyncio.sleep(MEAN_RUN_S * (0.5 + self.random.random()))
        return UpstreamResponse(200, result_for(exchange.body, exchange.path))

    async def _attempt_by_proxy(self, attempt: Attempt) -> None:
        headers = {"x-tenant": attempt.tenant} | ({"idempotency-key": attempt.key} if attempt.key else {})
        request = await self.proxy.ask(_method(attempt), attempt.path, attempt.body, **headers)
        if request.stream_status is grpc.StatusCode.UNAVAILABLE:
            attempt.record_answer(time.time(), AnswerKind.NOT_REACHED)
        elif request.reply:
            reply = request.reply
            kind = AnswerKind.REJECTED if reply.not_run else AnswerKind.FAILED
            kind = AnswerKind.SERVED if reply.status == 200 else kind
            attempt.record_answer(time.time(), kind, reply.body, reply.retry_after)

    async def _attempt_by_router(self, attempt: Attempt) -> None:
        connection = self.random.choice(self.connections)
        if connection.ended or connection.received_shutdown():
            # a real router would choose another node
            attempt.record_answer(time.time(), AnswerKind.NOT_REACHED)
            return
        request_id = len(self.attempts)  # unique, as attempts are numbered across all connections
        params = {
            "src": self.connections.index(connection) + 1,
            "org": attempt.tenant,
            "call": f"{request_id:016x}",
        }
        if attempt.key:
            params["dedupe"] = attempt.key
        body = base64.b64encode(attempt.body).decode()
        connection.request(request_id, attempt.class_name, body=body, **params)
        with contextlib.suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(_reply_timeout(attempt)):
                _record_message(attempt, await connection.wait_for_answer(request_id))


def _new_attempt(protocol: str, name: str, is_topup: bool, tenant: str) -> Attempt:
    class_name = "topup" if is_topup else "balance"
    path = "/topup" if is_topup else "/balance/any" if protocol == "jsonrpc" else f"/balance/{name}"
    body = name.encode() if is_topup or protocol == "jsonrpc" else b""
    objective, deadline = OBJECTIVE_AND_DEADLINE_S[class_name]
    now = time.time()
    key = name if is_topup else ""
    return Attempt(protocol, class_name, tenant, key, body, path, now, now + deadline, now + objective)


def _method(attempt: Attempt) -> str:
    return "POST" if attempt.key else "GET"


def _reply_timeout(attempt: Attempt) -> float:
    """Return how long a caller waits for an answer, in seconds: 1 s beyond the deadline."""
    return attempt.deadline_at - attempt.sent_at + 1


def _record_message(attempt: Attempt, message: Message) -> None:
    """Record a JSON-RPC answer to a router."""
    error = message.get("error", {})
    retry_after = error.get("data", {}).get("pushback", 0.0) / 1000
    body = base64.b64decode(message.get("result", {}).get("body", ""))
    kind = AnswerKind.SERVED
    if "code" in error:
        kind = KIND_OF_ERROR_CODE.get(error["code"], AnswerKind.INVALID)
    attempt.record_answer(time.time(), kind, body, retry_after)


def kind_of(reply: Reply) -> AnswerKind:
    """Return the kind of answer of a gateway's response."""
    if reply.status == 200:
        return AnswerKind.SERVED
    if reply.status == 503 and reply.not_run:
        return AnswerKind.REJECTED
    return AnswerKind.FAILED if reply.status in (502, 504) else AnswerKind.INVALID


def table(attempts: list[Attempt], runs: list[ExecutedRun]) -> str:
    """Format a table of attempts and answers by protocol, and the number of keyed requests that ran twice."""
    rows = [f"{'':10}{'asked':>8}{'in time':>9}{'late':>7}{'refused':>9}{'with advice':>13}{'failed':>8}"]
    for protocol in PROTOCOLS:
        of_protocol = [attempt for attempt in attempts if attempt.protocol == protocol]
        counts = _count_answers(of_protocol)
        rows.append(
            f"{protocol:10}{len(of_protocol):8}{counts['served']:9}{counts['late']:7}{counts['refused']:9}"
            f"{counts['advice']:13}{counts['failed']:8}"
        )
    keyed: Counter[bytes] = Counter(run.body for run in runs if run.key)
    rows.append(f"run twice: {sum(count > 1 for count in keyed.values())}")
    return "\n".join(rows)


def _count_answers(attempts: list[Attempt]) -> Counter[str]:
    counts: Counter[str] = Counter()
    for attempt in attempts:
        for answer in attempt.answers:
            late = answer.kind is AnswerKind.SERVED and answer.at > attempt.objective_at
            counts["late" if late else answer.kind.value] += 1
            if answer.kind is AnswerKind.REJECTED and answer.retry_after > 0:
                counts["advice"] += 1
    return counts


class ScenarioResult(NamedTuple):
    """The attempts of the callers, the runs of the backends, and the node's exit code."""

    attempts: list[Attempt]
    runs: list[ExecutedRun]
    exit_code: int


async def run_scenario(
    seconds: float,
    load: float,
    seed: int,
    progress: bool = True,
    drain_at: float = 2.0,
    with_server_outage: bool = True,
) -> ScenarioResult:
    """Run the scenario against a new node process.

    Args:
        seconds: duration of the load.
        load: request rate as a multiple of the capacity.
        seed: seed of all random choices.
        progress: whether to print progress to standard error.
        drain_at: fraction of the duration after which the node drains; above 1 the load ends first.
        with_server_outage: whether one backend is stopped between `STOP_AT` and `RESTART_AT`.
    """
    runs: list[ExecutedRun] = []
    backends = [BackendStub(f"vendor-{n}", runs, WORKERS, MEAN_RUN_S, seed + n) for n in range(SERVERS)]
    for backend in backends:
        await backend.start()
    gateways = reserved_address()
    routers = reserved_address()
    proxies = reserved_address()
    servers = "\n".join(f'    server "{backend.address}"' for backend in backends)
    addresses = {"gateways": gateways, "routers": routers, "proxies": proxies, "servers": servers}
    text = OPERATOR_FILE.format(**addresses, at_once=(SERVERS + 1) * WORKERS)
    proxy = ProxyStub(proxies.port, runs, verdict_timeout=1.0)
    load_generator = LoadGenerator(gateways, routers, proxy, seed)
    async with run_node(text, proxies) as node:
        await load_generator.open()
        shutdown = asyncio.get_running_loop().call_later(drain_at * seconds, node.begin_shutdown)
        await _drive(load_generator, backends if with_server_outage else [], seconds, load, seed, progress)
        shutdown.cancel()
        exit_code = await node.shut_down()
    await proxy.close()
    for backend in backends:
        backend.stop()
    return ScenarioResult(load_generator.attempts, runs, exit_code)


async def _drive(
    load_generator: LoadGenerator,
    backends: list[BackendStub],
    seconds: float,
    load: float,
    seed: int,
    progress: bool,
) -> None:
    """Start requests in an open loop at random intervals.

    The last backend, if any, is stopped between `STOP_AT` and `RESTART_AT`.
    """
    random = Random(seed)
    started_at = time.monotonic()
    due = 0.0  # time of the next request in seconds since the start
    last_shown = 0
    is_stopped = False
    while due < seconds:
        await asyncio.sleep(max(0.0, started_at + due - time.monotonic()))
        load_generator.start_request()
        due += random.expovariate(load * CAPACITY)
        elapsed = due / seconds
        if backends and STOP_AT < elapsed < RESTART_AT and not is_stopped:
            is_stopped = True
            backends[-1].stop()
        elif elapsed > RESTART_AT and is_stopped:
            is_stopped = False
            await backends[-1].start()
        if progress and int(due) > last_shown:
            last_shown = int(due)
            click.echo(
                f"\r{last_shown} of {seconds:g} s, {len(load_generator.attempts)} attempts",
                nl=False,
                err=True,
            )
    await load_generator.finish()
    if progress:
        click.echo(err=True)


def main(seconds: float, load: float, seed: int) -> int:
    """Run the scenario, print its table and return the exit code: 1 for a violation or a failed node."""
    click.echo(
        f"{SERVERS} stub servers and a service behind a proxy with a capacity of {CAPACITY:.0f} requests per "
        f"second, loaded with {load:g} times their capacity; one server stops after {STOP_AT:.0%} of the "
        f"duration and restarts after {RESTART_AT:.0%}"
    )
    attempts, runs, exit_code = asyncio.run(run_scenario(seconds, load, seed))
    click.echo(table(attempts, runs))
    violations = checker.find_violations(attempts, runs)
    for violation in violations[:MAX_PRINTED_VIOLATIONS]:
        click.echo(violation)
    click.echo(f"violations: {len(violations)}; the node exited with code {exit_code}")
    return 1 if violations or exit_code else 0
