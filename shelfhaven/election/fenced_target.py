"""HTTP client for the target of a singleton task; every request carries the task's fencing token.

The header `X-Fence` contains `TASK TOKEN`, and `Idempotency-Key` identifies the operation. A target that has
seen a higher token of the task rejects the request with 412 (RFC 9110: Precondition Failed) and returns the
highest token in `X-Fence`.

The client sends a request only with a `Permit` and never retries it.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from urllib.parse import quote

from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from shelfhaven.election.lease import FencedOffError, LeaseUncertainError, Permit
from shelfhaven.errors import ShelfhavenError

FENCING_HEADER = "X-Fence"
IDEMPOTENCY_HEADER = "Idempotency-Key"
MAX_RESPONSE_BYTES = 1 << 20
MAX_CONNECTIONS = 4
MAX_TOKEN_DIGITS = 18  # decimal numbers of this length always fit into 64 bits


class TargetError(ShelfhavenError):
    """The target sent no successful response; it may have executed the request nevertheless."""


class FencedTarget:
    """A service that a singleton task acts on.

    If the target checks fencing tokens (`checks_tokens`), it rejects the requests of former leaders itself.
    Otherwise, each request must end while the leader's lease is certainly valid.
    """

    def __init__(self, url: str, timeout: float, checks_tokens: bool = True) -> None:
        self.url = url.rstrip("/")
        self.timeout = timeout
        self.checks_tokens = checks_tokens
        self.client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONNECTIONS, max_body_size=MAX_RESPONSE_BYTES
        )

    @property
    def min_time_to_act(self) -> float:
        """Seconds for which the node must still be the leader when it sends a request."""
        return 0.0 if self.checks_tokens else self.timeout

    async def send(self, permit: Permit, method: str, path: str, body: bytes, key: str) -> bytes:
        """Send a request with an idempotency key; return the body of the response.

        Raises FencedOffError, LeaseUncertainError and TargetError.
        """
        time_left = permit.time_left()
        if time_left <= self.min_time_to_act:  # the last check before the request is sent
            raise LeaseUncertainError("the lease has too little time left")
        timeout = self.timeout if self.checks_tokens else min(self.timeout, time_left)
        request = HTTPRequest(
            f"{self.url}/{quote(path)}",
            method,
            {FENCING_HEADER: f"{permit.task} {permit.fencing_token}", IDEMPOTENCY_HEADER: key},
            body if method != "GET" else None,
            connect_timeout=timeout,
            request_timeout=timeout,
            follow_redirects=False,
        )
        try:
            async with asyncio.timeout(timeout):
                response = await self.client.fetch(request)
        except HTTPClientError as error:
            if error.code == HTTPStatus.PRECONDITION_FAILED and error.response:
                highest = _parse_highest_token(error.response.headers.get(FENCING_HEADER, ""))
                raise FencedOffError(highest) from None
            raise TargetError(str(error)) from None
        except (OSError, TimeoutError, ValueError) as error:
            raise TargetError(str(error) or type(error).__name__) from None
        return response.body

    def close(self) -> None:
        """Close the client's connections."""
        self.client.close()


def _parse_highest_token(header: str) -> int:
    """Return the highest token that a rejection reports.

    Returns 0 if the header contains no valid token: then the target is only known to reject the token of
    this request.
    """
    token = header.rpartition(" ")[2]
    is_number = token.isascii() and token.isdigit() and len(token) <= MAX_TOKEN_DIGITS
    return int(token) if is_number else 0
