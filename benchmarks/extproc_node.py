"""Operator configuration and verdict timeouts of the node that `benchmarks.extproc` measures."""

from __future__ import annotations

from shelfhaven.config import Address

OPERATOR_FILE_TEMPLATE = """
node "bench" descriptors=8192 stop="1s"
work at-once={max_concurrent} memory="2GB" callers=4 {{
    class "balance" aim="500ms" deadline="1500ms" worth=1 repeat="safe"
    class "topup" aim="500ms" deadline="1500ms" worth=3 repeat="keyed" window="8s"
}}
mapping "m" {{
    route "topup" method="POST" path="/topup"
    route "balance" path="/balance/*"
}}
listen "p" protocol="extproc" address="{proxies}" mapping="m" verdict="200ms" margin="20ms" {{
    streams {max_streams}
    lease "60s"
}}
listen "a" protocol="subrequest" address="{subrequests}" mapping="m" verdict="200ms" lease="1ms"
"""
MAX_CONCURRENT = 4000  # concurrent runs
MAX_STREAMS = 4000
VERDICT_TIMEOUT_S = 0.2  # of a proxy under load
LONG_VERDICT_TIMEOUT_S = 5.0  # of a proxy where only the CPU cost is measured


def operator_file(
    proxies: Address,
    subrequests: Address,
    max_concurrent: int = MAX_CONCURRENT,
    max_streams: int = MAX_STREAMS,
) -> str:
    """Return the operator configuration of one node."""
    return OPERATOR_FILE_TEMPLATE.format(
        proxies=proxies, subrequests=subrequests, max_concurrent=max_concurrent, max_streams=max_streams
    )
