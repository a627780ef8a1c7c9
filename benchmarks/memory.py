"""Measures memory growth of a node over many router connections: `python -m benchmarks.memory [--quick]`.

The node is a separate process, as on the platform; the render farm agent and the ledger are stubs of this
repository. The last line of output is JSON with every figure, among them the unique set size (USS) of the
node in MB after each quarter of the requests.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from pathlib import Path
from random import Random
from typing import NamedTuple

import click
import orjson
import psutil

from benchmarks.measuring import MIB, Figures, cpu_seconds, print_figures
from shelfhaven.lab.callers import Router, until
from shelfhaven.lab.platform import Agent, Ledger, Members
from shelfhaven.lab.ports import reserved_port

CONNECTIONS = 40  # open at the same time
REQUESTS_PER_CONNECTION = 30  # after which a router closes it
MAX_BODY_BYTES = 1024  # of a request
MAX_RESULT_BYTES = 2048
KEYED_FRACTION = 0.3  # of requests, with an idempotency key
CALL_FRACTION = 0.33  # of runs, which begin with a downstream call
RUNS_PER_S = 50.0  # inverse of a run's mean duration
MAX_PAUSE_S = 0.02  # between two requests of a router
STARTUP_S = 0.3  # between the node's connection to the agent and the first request
SAMPLES = 8
QUARTERS = 4
SETTINGS: dict[str, object] = {
    "classes": [
        {"name": "look", "on-time": 4.0, "deadline": 6.0, "repeat": "repeatable"},
        {"name": "pay", "on-time": 4.0, "deadline": 6.0, "repeat": "by_key", "key-ttl": 8.0},
    ],
    "tenants": [{"name": "one", "share": 1.0}],
    "domain": {"cores": 64, "memory-kb": 64000.0, "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
               "class-calls": [True, True], "tells-gone": True, "upstreams": 100},
}  # fmt: skip


async def run_router(port: int, numbers: itertools.count[int], last_number: int, random: Random) -> None:
    """Send requests on one connection after another until `last_number` is reached."""
    while True:
        router = Router(*await asyncio.open_connection("127.0.0.1", port))
        for request_id in range(1, REQUESTS_PER_CONNECTION + 1):
            number = next(numbers)
            if number > last_number:
                await router.close()
                return
            send_request(router, request_id, number, random)
            await router.wait_for_answer(request_id)
            await asyncio.sleep(random.random() * MAX_PAUSE_S)
        await router.close()


def send_request(router: Router, request_id: int, number: int, random: Random) -> None:
    """Send a request with a random body; a fraction of requests has an idempotency key."""
    keyed = random.random() < KEYED_FRACTION
    key_fields = {"dedupe": f"{number:032x}"} if keyed else {}
    body = orjson.dumps("A" * (4 * random.randrange(1, MAX_BODY_BYTES // 4)))[1:-1].decode()
    method = "pay" if keyed else "look"
    source_id = random.randrange(100)
    router.request(request_id, method, call=f"{number:016x}", src=source_id, body=body, **key_fields)


class RenderFarm(Agent):
    """An agent whose runs take a random time; a fraction of them makes a downstream call first."""

    def __init__(self, random: Random) -> None:
        super().__init__()
        self.random = random
        self.on_launch = self._launch

    def _launch(self, run_id: str) -> None:
        action = self.call_downstream if self.random.random() < CALL_FRACTION else self.pass_run
        asyncio.get_running_loop().call_later(self.random.expovariate(RUNS_PER_S), action, run_id)

    def pass_run(self, run_id: str) -> None:
        """Report that a run succeeded."""
        self.notice(f"outcome # {run_id} PASS 5", b"r" * self.random.randrange(MAX_RESULT_BYTES))

    def notice(self, text: str, body: bytes | None = None) -> None:
        """Send a notice without keeping a copy for replay."""
        super().notice(text, body)
        self.notices[-1] = b""  # no connection is reopened, so nothing is replayed


class MeasuredNode(NamedTuple):
    """A node's process, its router port and the render farm behind it."""

    pid: int
    port: int
    farm: RenderFarm

    def unique_set_size(self) -> float:
        """Return the node's unique set size in MB."""
        return round(psutil.Process(self.pid).memory_full_info().uss / MIB, 2)


@contextlib.asynccontextmanager
async def running_node(random: Random) -> AsyncIterator[MeasuredNode]:
    """Run a node with stubs of the other systems, and wait until it connects to the agent."""
    farm = RenderFarm(random)
    ledger = Ledger()
    members = Members()
    await farm.start()
    await ledger.start()
    port = reserved_port()
    config = {"name": "m", "listen": f"127.0.0.1:{port}", "agent": f"127.0.0.1:{farm.port}", "seed": "5",
              "members": f"127.0.0.1:{members.port}", "ledger": f"127.0.0.1:{ledger.port}", "stop_ms": 1000,
              "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 1024}, "settings": SETTINGS}  # fmt: skip
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_bytes(orjson.dumps(config))
        environment = {**os.environ, "GW_CONFIG": str(path)}
        with (Path(folder) / "log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "shelfhaven", "serve", stderr=log, env=environment
            )
        try:
            await until(lambda: farm.writer)
            await asyncio.sleep(STARTUP_S)
            yield MeasuredNode(process.pid, port, farm)
        finally:
            process.kill()
            await process.wait()
            farm.stop()


async def measure(requests: int) -> Figures:
    """Send all requests and sample the memory; progress goes to standard error."""
    random = Random(5)
    async with running_node(random) as node:
        sizes = [node.unique_set_size()]
        cpu_before = cpu_seconds(node.pid)
        started_at = time.monotonic()
        numbers = itertools.count(1)
        for sample in range(1, SAMPLES + 1):
            last_number = requests * sample // SAMPLES
            routers = (run_router(node.port, numbers, last_number, random) for _ in range(CONNECTIONS))
            await asyncio.gather(*routers)
            numbers = itertools.count(last_number + 1)
            sizes.append(node.unique_set_size())
            elapsed = time.monotonic() - started_at
            click.echo(f"{last_number} requests, {elapsed:.0f} s, {sizes[-1]} MB", err=True)
        cpu_spent = cpu_seconds(node.pid) - cpu_before
        runs = len(node.farm.launched)
    quarters = [sizes[round(SAMPLES * quarter / QUARTERS)] for quarter in range(1, QUARTERS + 1)]
    return {
        "requests": requests,
        "run": runs,
        "mb_at_start": sizes[0],
        "mb_by_quarters": quarters,
        "grown_mb_after_first_quarter": round(quarters[-1] - quarters[0], 2),
        "cpu_ms_a_request": round(1000 * cpu_spent / requests, 3),
    }


@click.command()
@click.option("--quick", is_flag=True)
def main(quick: bool) -> None:
    """Run the benchmark and print its figures as one line of JSON."""
    print_figures(asyncio.run(measure(20_000 if quick else 200_000)))


if __name__ == "__main__":
    main()
