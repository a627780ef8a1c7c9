"""Operator configuration and backend stubs of the node that `benchmarks.uwsgi` measures."""

from __future__ import annotations

from collections.abc import Sequence

from shelfhaven.config import Address
from shelfhaven.lab.backend_stub import BackendStub, ExecutedRun

OPERATOR_FILE_TEMPLATE = """
node "bench" descriptors=4096 stop="1s"
work at-once={max_concurrent} callers=8 {{
    class "balance" aim="500ms" deadline="1500ms" worth=1 repeat="safe"
    class "topup" aim="2s" deadline="4s" worth=3 repeat="keyed" window="8s"
}}
mapping "m" {{
    route "topup" method="POST" path="/topup"
    route "balance" path="/balance/*"
    caller variable="HTTP_X_GATEWAY"
}}
listen "g" protocol="uwsgi" address="{gateways}" mapping="m" keep={keep_alive} within="60s"
listen "r" protocol="jsonrpc" address="{routers}"
pool "p" {{
{servers}
    runs "topup"
    runs "balance" method="GET" path="/balance/any"
    limit first=64
}}
"""
BACKENDS = 4
BACKEND_WORKERS = 4
MAX_CONCURRENT = 16  # concurrent runs of a node: the number of workers of all its backends


def operator_file(
    backends: Sequence[BackendStub],
    gateways: Address,
    routers: Address,
    max_concurrent: int = MAX_CONCURRENT,
    keep_alive: bool = False,
) -> str:
    """Return the operator configuration of one node."""
    return OPERATOR_FILE_TEMPLATE.format(
        servers="\n".join(f'    server "{backend.address}"' for backend in backends),
        gateways=gateways,
        routers=routers,
        max_concurrent=max_concurrent,
        keep_alive=str(keep_alive).lower(),
    )


def new_backends(count: int, mean_run_s: float, seed: int = 1) -> list[BackendStub]:
    """Create backend stubs that share one log of runs."""
    runs: list[ExecutedRun] = []
    return [
        BackendStub(f"v{number}", runs, BACKEND_WORKERS, mean_run_s, seed + number) for number in range(count)
    ]
