"""HTTP requests between nodes, authenticated by keyed digests.

Each request carries a random nonce, which the digest of its answer covers, so that an answer to one request
is not valid for another. Answers to polls are ordered by version, so that a replayed old one has no effect.
Posts are accepted once per nonce. Other modules decide which peers to poll and which answers to use
(`member.py`).
"""

from __future__ import annotations

import asyncio
import os
import time
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import NotRequired, TypedDict
from urllib.parse import urlencode

from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from shelfhaven.config import Address
from shelfhaven.errors import ShelfhavenError
from shelfhaven.membership.list_version import ListVersion
from shelfhaven.membership.snapshot_codec import (
    PeerAnswer,
    decode,
    encode,
    is_valid_digest,
    keyed_digest,
)
from shelfhaven.server.log import Log

LIST_PATH = "/list"
NONCE_HEADER = "X-Number"
DIGEST_HEADER = "X-Digest"
NONCE_BYTES = 8

# Each digest covers one of these, so that the digest of one kind of message is not valid for another.
POLL_PURPOSE = b"ask"
POST_PURPOSE = b"post"
ANSWER_PURPOSE = b"answer"

MAX_HEADER_BYTES = 8192
MAX_ANSWER_BYTES = 16 << 20
MAX_POST_BYTES = 64 << 10
MAX_ADDRESS_CHARS = 256
IDLE_CONNECTION_TIMEOUT_S = 10.0
MAX_CONCURRENT_REQUESTS = 8  # sent by this node, without slow posts
MAX_CONCURRENT_SLOW_POSTS = 64  # sent by this node, whose answers may take long
MAX_CONCURRENT_POSTS_ANSWERED = 256  # received from peers
MAX_REMEMBERED_NONCES = 16_384  # of posts, to reject replayed ones

ANSWER_BUDGET_PER_S = 50.0  # rate at which the budget for answers to polls refills
MAX_ANSWER_BUDGET = 100.0  # size of that budget
ENTRIES_PER_COST_UNIT = 200.0  # that cost as much as an answer without entries
MIN_RETRY_AFTER_S = 0.5
TORNADO_NO_ANSWER_STATUS = 599

AnswerPoll = Callable[[str, ListVersion, bool], PeerAnswer]  # peer, its version, whether to add backends
Route = Callable[[bytes], Awaitable[bytes]]
PollQuery = TypedDict(
    "PollQuery",
    {"era": int, "revision": int, "store": str, "from": str, "whole": int, "servers": NotRequired[int]},
)


class PeerRpcError(ShelfhavenError):
    """A request to a peer failed.

    `sent` tells whether the peer may have received the request. `retry_after` is the delay in seconds that
    the peer requested, or None.
    """

    def __init__(self, text: str, sent: bool, retry_after: float | None = None) -> None:
        super().__init__(text)
        self.sent = sent
        self.retry_after = retry_after


class AnswerBudget:
    """Token bucket that bounds the cost of this node's answers to polls."""

    def __init__(self) -> None:
        self._available = MAX_ANSWER_BUDGET
        self._updated_at = time.monotonic()

    def try_spend(self, cost: float) -> bool:
        """Spend the cost of an answer if the budget allows it; a cost above the maximum spends all."""
        now = time.monotonic()
        self._available = min(
            MAX_ANSWER_BUDGET, self._available + (now - self._updated_at) * ANSWER_BUDGET_PER_S
        )
        self._updated_at = now
        if self._available < min(max(cost, 1.0), MAX_ANSWER_BUDGET):
            return False
        self._available -= min(cost, self._available)
        return True

    def retry_after(self) -> float:
        """Return the delay in seconds after which a rejected peer may poll again."""
        return MIN_RETRY_AFTER_S + max(0.0, 1.0 - self._available) / ANSWER_BUDGET_PER_S


class PeerRpc:
    """Client and server for the requests between this node and its peers."""

    def __init__(
        self, listen: Address, secret: bytes, timeout: float, answer_poll: AnswerPoll, log: Log
    ) -> None:
        self.listen = listen
        self.secret = secret
        self.timeout = timeout
        self.answer_poll = answer_poll
        self.log = log
        self.server = HTTPServer(
            self._handle, max_header_size=MAX_HEADER_BYTES, max_body_size=MAX_POST_BYTES,
            idle_connection_timeout=IDLE_CONNECTION_TIMEOUT_S,
        )  # fmt: skip
        self.client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONCURRENT_REQUESTS, max_body_size=MAX_ANSWER_BYTES,
            max_buffer_size=MAX_ANSWER_BYTES,
        )  # fmt: skip
        self.slow_client: SimpleAsyncHTTPClient | None = None  # created at the first slow post
        self.budget = AnswerBudget()
        self.answered = 0  # answers sent and requests rejected, reported in the log
        self.rejected = 0
        self.routes: dict[str, Route] = {}  # handlers of posts, by path
        self.post_tasks: set[asyncio.Task[None]] = set()
        self.post_nonces: OrderedDict[str, None] = OrderedDict()  # oldest first

    def start(self) -> None:
        """Start serving requests of peers."""
        self.server.listen(self.listen.port, self.listen.host)

    async def end(self) -> None:
        """Stop serving requests, cancel those in progress, and close all connections."""
        self.server.stop()
        for task in list(self.post_tasks):
            task.cancel()
        await self.server.close_all_connections()
        self.client.close()
        if self.slow_client:
            self.slow_client.close()

    # Requests of peers

    def _handle(self, request: HTTPServerRequest) -> None:
        if request.method == "POST":
            self._handle_post(request)
        else:
            self._handle_poll(request)

    def _handle_poll(self, request: HTTPServerRequest) -> None:
        nonce = request.headers.get(NONCE_HEADER, "")
        if request.path != LIST_PATH or not self._is_authentic(request, POLL_PURPOSE, nonce):
            self._respond(request, HTTPStatus.FORBIDDEN)
            return
        query = {name: values[-1].decode("latin-1") for name, values in request.query_arguments.items()}
        try:
            since = _version_from_query(query)
        except ValueError:
            self._respond(request, HTTPStatus.BAD_REQUEST)
            return
        if not self.budget.try_spend(0.0):
            self._reject(request, self.budget.retry_after())
            return
        peer = query.get("from", "")[:MAX_ADDRESS_CHARS]
        answer = self.answer_poll(peer, since, "servers" in query)
        if not self.budget.try_spend(1.0 + len(answer.snapshot.items) / ENTRIES_PER_COST_UNIT):
            self._reject(request, self.budget.retry_after())
            return
        self.answered += 1
        self._respond(request, HTTPStatus.OK, encode(answer), nonce)

    def _handle_post(self, request: HTTPServerRequest) -> None:
        """Pass a post to the handler of its path if its digest is valid and its nonce is new."""
        nonce = request.headers.get(NONCE_HEADER, "")
        route = self.routes.get(request.path)
        authentic = self._is_authentic(request, POST_PURPOSE, nonce, request.body)
        if not authentic or nonce in self.post_nonces:
            self._respond(request, HTTPStatus.FORBIDDEN)
        elif route is None:
            self._respond(request, HTTPStatus.NOT_FOUND)
        elif len(self.post_tasks) >= MAX_CONCURRENT_POSTS_ANSWERED:
            self._reject(request, MIN_RETRY_AFTER_S)
        else:
            self._remember_nonce(nonce)
            task = asyncio.ensure_future(self._answer_post(request, route, nonce))
            self.post_tasks.add(task)
            task.add_done_callback(self.post_tasks.discard)

    async def _answer_post(self, request: HTTPServerRequest, route: Route, nonce: str) -> None:
        body = await route(request.body)
        self.answered += 1
        self._respond(request, HTTPStatus.OK, body, nonce)

    def _is_authentic(self, request: HTTPServerRequest, purpose: bytes, nonce: str, *fields: bytes) -> bool:
        digest = request.headers.get(DIGEST_HEADER, "")
        uri = request.uri or ""
        return is_valid_digest(self.secret, digest, purpose, nonce.encode(), uri.encode(), *fields)

    def _remember_nonce(self, nonce: str) -> None:
        self.post_nonces[nonce] = None
        while len(self.post_nonces) > MAX_REMEMBERED_NONCES:
            self.post_nonces.popitem(last=False)

    def _reject(self, request: HTTPServerRequest, retry_after: float) -> None:
        self.rejected += 1
        self._respond(request, HTTPStatus.TOO_MANY_REQUESTS, retry_after=retry_after)

    def _respond(
        self, request: HTTPServerRequest, status: HTTPStatus, body: bytes = b"", nonce: str = "",
        retry_after: float | None = None,
    ) -> None:  # fmt: skip
        headers = HTTPHeaders({"Content-Length": str(len(body)), "Content-Type": "application/json"})
        if nonce:
            headers[DIGEST_HEADER] = keyed_digest(self.secret, ANSWER_PURPOSE, nonce.encode(), body)
        if retry_after:
            headers["Retry-After"] = f"{retry_after:.1f}"
        connection = request.connection
        if connection is None or connection.stream.closed():  # type: ignore[attr-defined]
            return
        connection.write_headers(ResponseStartLine("HTTP/1.1", status, status.phrase), headers, body)
        connection.finish()

    # Requests to peers

    async def poll(self, peer: str, own_address: str, since: ListVersion, with_backends: bool) -> PeerAnswer:
        """Return a peer's list, or the changes in it since a version.

        Raises PeerRpcError.
        """
        nonce = os.urandom(NONCE_BYTES).hex()
        uri = f"{LIST_PATH}?{urlencode(_poll_query(since, own_address, with_backends))}"
        digest = keyed_digest(self.secret, POLL_PURPOSE, nonce.encode(), uri.encode())
        request = HTTPRequest(
            f"http://{peer}{uri}", headers={NONCE_HEADER: nonce, DIGEST_HEADER: digest},
            connect_timeout=self.timeout, request_timeout=self.timeout, follow_redirects=False,
            decompress_response=False,
        )  # fmt: skip
        # The timeout of the HTTP client does not include the time in its queue.
        response = await self._fetch(self.client, request, 2 * self.timeout)
        self._check_digest(peer, response, nonce)
        try:
            return decode(response.body)
        except ValueError as error:
            self.log.event("peer_unreadable", peer=peer, error=str(error))
            raise PeerRpcError(str(error), True) from None

    async def post(
        self, peer: str, own_address: str, path: str, body: bytes, timeout: float, slow: bool = False
    ) -> bytes:
        """Post a body to a peer, and return the body of its answer.

        A `slow` request, whose answer may take long, uses a separate HTTP client, so that it does not delay
        others.

        Raises PeerRpcError.
        """
        nonce = os.urandom(NONCE_BYTES).hex()
        uri = f"{path}?{urlencode({'from': own_address})}"
        digest = keyed_digest(self.secret, POST_PURPOSE, nonce.encode(), uri.encode(), body)
        request = HTTPRequest(
            f"http://{peer}{uri}", "POST", {NONCE_HEADER: nonce, DIGEST_HEADER: digest}, body,
            connect_timeout=timeout, request_timeout=timeout, follow_redirects=False,
            decompress_response=False,
        )  # fmt: skip
        client = self._slow_client() if slow else self.client
        response = await self._fetch(client, request, timeout)
        self._check_digest(peer, response, nonce)
        return response.body

    def _slow_client(self) -> SimpleAsyncHTTPClient:
        if self.slow_client is None:
            self.slow_client = SimpleAsyncHTTPClient(
                force_instance=True, max_clients=MAX_CONCURRENT_SLOW_POSTS
            )
        return self.slow_client

    async def _fetch(
        self, client: SimpleAsyncHTTPClient, request: HTTPRequest, timeout: float
    ) -> HTTPResponse:
        try:
            async with asyncio.timeout(timeout):
                return await client.fetch(request)
        except HTTPClientError as error:
            sent = error.code == TORNADO_NO_ANSWER_STATUS
            raise PeerRpcError(str(error), sent, _retry_after_of(error)) from None
        except ConnectionRefusedError as error:
            raise PeerRpcError(str(error), False) from None
        except (OSError, TimeoutError, ValueError) as error:
            raise PeerRpcError(str(error) or type(error).__name__, True) from None

    def _check_digest(self, peer: str, response: HTTPResponse, nonce: str) -> None:
        digest = response.headers.get(DIGEST_HEADER, "")
        if not is_valid_digest(self.secret, digest, ANSWER_PURPOSE, nonce.encode(), response.body):
            self.log.event("peer_unknown", peer=peer)
            raise PeerRpcError("the digest of the answer is not valid", True)


def _poll_query(since: ListVersion, own_address: str, with_backends: bool) -> PollQuery:
    query: PollQuery = {
        "era": since.era,
        "revision": since.revision,
        "store": since.store,
        "from": own_address,
        "whole": int(since.complete),
    }
    if with_backends:
        query["servers"] = 1
    return query


def _version_from_query(query: dict[str, str]) -> ListVersion:
    """Return the version in the query of a poll. Raises ValueError if a number is not valid."""
    era = int(query.get("era", 0))
    revision = int(query.get("revision", 0))
    return ListVersion(era, revision, query.get("store", ""), query.get("whole", "1") == "1")


def _retry_after_of(error: HTTPClientError) -> float | None:
    """Return the Retry-After of a peer's answer in seconds, or None."""
    header = error.response.headers.get("Retry-After", "") if error.response else ""
    return float(header) if header.replace(".", "", 1).isdigit() else None
