"""Results of this node's runs, kept for other nodes that receive a duplicate of the same request.

The number of reservations and the bytes of their results are bounded. A run is reported as not run only if
that is certain; if its reservation may have been evicted, it is reported as failed, since it may have run.
"""

from __future__ import annotations

import asyncio
import base64
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

import orjson

from shelfhaven.idempotency.quorum_replica import ReservationRequest
from shelfhaven.idempotency.wire import JsonValue
from shelfhaven.membership.clock import boottime

MAX_RESULT_BYTES = 4 << 20  # total size of the stored results
MAX_RESERVATIONS = 50_000  # reservations of this node whose state is remembered
MAX_WAITING_QUERIES = 128  # concurrent queries of other nodes that wait for a run to finish


class RunState(Enum):
    """The state of a reservation of this node and of its run."""

    RUNNING = "running"  # the key is being reserved, or the run is in progress
    SERVED = "served"
    FAILED = "failed"  # it may have run, but there is no result
    NOT_RUN = "unrun"


@dataclass(eq=False, slots=True)
class LocalReservation:
    """A reservation of this node, and the state and result of its run."""

    request: ReservationRequest
    replicas: frozenset[str]  # the replicas that were asked for votes
    expires_at: float  # time from which no replica holds the reservation
    state: RunState = RunState.RUNNING
    body: bytes = b""
    finished: asyncio.Event | None = None  # created by the first query that waits for it

    def finish(self, state: RunState) -> None:
        """Set the final state, and wake the queries that wait for it."""
        self.state = state
        if self.finished:
            self.finished.set()


@dataclass(frozen=True, slots=True)
class ResultQuery:
    """Another node's query for the result of a claimant's run."""

    key_digest: bytes
    claimant: str
    wait: float  # seconds to wait for a run that is in progress


def encode_query(query: ResultQuery) -> bytes:
    """Return the body of the POST request for a query."""
    return orjson.dumps({"id": query.key_digest.hex(), "by": query.claimant, "wait": query.wait})


def decode_query(raw: bytes) -> ResultQuery:
    """Return the query in the body of a POST request. Raises ValueError, KeyError or TypeError."""
    fields: JsonValue = orjson.loads(raw)
    return ResultQuery(bytes.fromhex(fields["id"]), str(fields["by"]), float(fields["wait"]))


def encode_result(state: RunState, body: bytes = b"") -> bytes:
    """Return the answer to a query; only a served run has a body."""
    answer: dict[str, str] = {"state": state.value}
    if state is RunState.SERVED:
        answer["body"] = base64.b64encode(body).decode()
    return orjson.dumps(answer)


class RunResults:
    """The reservations of this incarnation of the node, and the results of their runs."""

    def __init__(self, claimant: str) -> None:
        self.claimant = claimant
        self.reservations: OrderedDict[bytes, LocalReservation] = OrderedDict()  # by key, oldest first
        self.result_sizes: OrderedDict[bytes, int] = OrderedDict()  # in bytes, by key, oldest first
        self.result_bytes = 0
        self.waiting_queries = 0
        # until this time, a missing reservation may be one that was evicted after its run
        self.uncertain_until = float("-inf")

    def add(self, reservation: LocalReservation, now: float) -> None:
        """Add a new reservation; it replaces an earlier one of the same key."""
        key_digest = reservation.request.key_digest
        self._remove(key_digest)
        self.reservations[key_digest] = reservation
        self._evict(now)

    def store_body(self, reservation: LocalReservation, body: bytes) -> None:
        """Store the result of a run; drop the oldest results beyond the limit on bytes.

        A run whose result is dropped counts as failed, because it has run.
        """
        reservation.body = body
        self.result_sizes[reservation.request.key_digest] = len(body)
        self.result_bytes += len(body)
        while self.result_bytes > MAX_RESULT_BYTES:
            key_digest, size = self.result_sizes.popitem(last=False)
            self.result_bytes -= size
            oldest = self.reservations[key_digest]
            oldest.state = RunState.FAILED
            oldest.body = b""

    def _evict(self, now: float) -> None:
        """Remove expired reservations, and the oldest ones beyond the limit on reservations."""
        while True:
            oldest = next(iter(self.reservations.values()))
            if oldest.expires_at > now:
                if len(self.reservations) <= MAX_RESERVATIONS:
                    return
                self.uncertain_until = max(self.uncertain_until, oldest.expires_at)
            self._remove(oldest.request.key_digest)

    def _remove(self, key_digest: bytes) -> None:
        self.reservations.pop(key_digest, None)
        self.result_bytes -= self.result_sizes.pop(key_digest, 0)

    async def answer(self, raw: bytes) -> bytes:
        """Answer another node's query."""
        try:
            query = decode_query(raw)
        except (ValueError, KeyError, TypeError):
            return encode_result(RunState.FAILED)
        if query.claimant != self.claimant:  # an earlier incarnation, which may have run the request
            return encode_result(RunState.FAILED)
        reservation = self.reservations.get(query.key_digest)
        if reservation is None:
            is_certain = boottime() >= self.uncertain_until
            return encode_result(RunState.NOT_RUN if is_certain else RunState.FAILED)
        if reservation.state is RunState.RUNNING:
            await self._wait_until_finished(reservation, query.wait)
        if reservation.state is RunState.RUNNING:  # it may have run, or may run yet
            return encode_result(RunState.FAILED)
        return encode_result(reservation.state, reservation.body)

    async def _wait_until_finished(self, reservation: LocalReservation, wait: float) -> None:
        if wait <= 0 or self.waiting_queries >= MAX_WAITING_QUERIES:
            return
        reservation.finished = reservation.finished or asyncio.Event()
        self.waiting_queries += 1
        try:
            async with asyncio.timeout(min(wait, reservation.request.duration)):
                await reservation.finished.wait()
        except TimeoutError:
            pass
        finally:
            self.waiting_queries -= 1
