"""A client that sends messages on one connection as fast as they are taken, as a process of its own.

    python -m shelfhaven.lab.flood_client PORT KIND SECONDS [unread]

It ignores every limit of the protocols on purpose.  With `unread` it does not read the answers.
"""

from __future__ import annotations

import contextlib
import socket
import sys
import threading
import time
from collections.abc import Callable
from enum import StrEnum

import orjson

MESSAGES_PER_CHUNK = 200
SEND_TIMEOUT_S = 0.2
READ_BYTES = 64 * 1024
KEY_DIGITS = 32


class FloodKind(StrEnum):
    """What the client sends; every message has a name, id or key that is new."""

    UNKNOWN_METHODS = "unknown-methods"
    HEALTH_CHECKS = "health-checks"
    INVALID_PARAMS = "invalid-params"
    CANCELLATIONS = "cancellations"
    KEYED_REQUESTS = "keyed-requests"
    UNMAPPED_SUBREQUESTS = "unmapped-subrequests"
    HEALTH_SUBREQUESTS = "health-subrequests"


def _frame(message: dict[str, object]) -> bytes:
    body = orjson.dumps(message)
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def _call(number: int, method: str, **params: object) -> bytes:
    return _frame({"jsonrpc": "2.0", "id": number, "method": method, "params": params})


def _keyed_request(number: int) -> bytes:
    return _call(
        number,
        "topup",
        call=f"{number:016x}",
        recv=int(time.time() * 1000),
        src=1,
        heap=10.0,
        dedupe=f"{number:0{KEY_DIGITS}x}",
        body="YXNr",
    )


MESSAGES: dict[FloodKind, Callable[[int], bytes]] = {
    FloodKind.UNKNOWN_METHODS: lambda number: _call(
        number, f"method{number}", call=f"{number:016x}", recv=0, src=1, heap=1.0
    ),
    FloodKind.HEALTH_CHECKS: lambda number: _call(number, "alive"),
    FloodKind.INVALID_PARAMS: lambda number: _call(number, "balance", call=f"name {number}"),
    FloodKind.CANCELLATIONS: lambda number: _frame(
        {"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": number}}
    ),
    FloodKind.KEYED_REQUESTS: _keyed_request,
    FloodKind.UNMAPPED_SUBREQUESTS: lambda number: b"GET /none/%d HTTP/1.1\r\nHost: x\r\n\r\n" % number,
    FloodKind.HEALTH_SUBREQUESTS: lambda _: b"GET /-/health HTTP/1.1\r\nHost: x\r\n\r\n",
}


def send_flood(
    port: int,
    make_message: Callable[[int], bytes],
    seconds: float,
    reads_answers: bool,
    connection_start: bytes = b"",
) -> None:
    """Send messages until the time is over or the peer has closed the connection.

    Args:
        port: the port of the listener.
        make_message: returns the message with a number, which begins at 1.
        seconds: duration of the flood.
        reads_answers: whether to read and drop the answers.
        connection_start: what is sent before the messages.
    """
    ends_at = time.monotonic() + seconds
    number = 0
    pending = connection_start
    with socket.create_connection(("127.0.0.1", port)) as connection, contextlib.suppress(ConnectionError):
        if reads_answers:
            threading.Thread(target=_read_answers, args=(connection,), daemon=True).start()
        connection.settimeout(SEND_TIMEOUT_S)
        while time.monotonic() < ends_at:
            if not pending:
                pending = b"".join(make_message(number + 1 + index) for index in range(MESSAGES_PER_CHUNK))
                number += MESSAGES_PER_CHUNK
            with contextlib.suppress(TimeoutError):
                pending = pending[connection.send(pending) :]


def _read_answers(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while True:
            try:
                if not connection.recv(READ_BYTES):
                    return
            except TimeoutError:
                continue


if __name__ == "__main__":
    port_text, kind_text, seconds_text, *options = sys.argv[1:]
    message_maker = MESSAGES[FloodKind(kind_text)]
    send_flood(int(port_text), message_maker, float(seconds_text), "unread" not in options)
