"""Transfer of votes across a restart: stored at another replica, and fetched by the next incarnation.

This module makes and answers the POST requests for it. `vote_snapshots.py` decides which incarnation gets a
snapshot. The last page of a snapshot is never sent to two replicas, and no client request waits for a
transfer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto

import orjson

from shelfhaven.idempotency.claimant import ClaimantIdentity
from shelfhaven.idempotency.quorum_replica import QuorumReplica, ReplicaEndpoint, Reservation
from shelfhaven.idempotency.vote_snapshots import (
    ReservationVote,
    SnapshotPage,
    VoteSnapshots,
    is_plausible,
    split_into_pages,
)
from shelfhaven.idempotency.wire import JsonValue
from shelfhaven.membership.clock import boottime
from shelfhaven.membership.peer_rpc import PeerRpc, PeerRpcError
from shelfhaven.membership.signed_datagram import count, number, text
from shelfhaven.server.log import Log

PUT_PATH = "/claims/park"  # peers post pages here
TAKE_PATH = "/claims/take"  # peers post requests for pages here
PAGE_TIMEOUT = 0.5  # seconds for one page
FETCH_INTERVAL = 0.3  # seconds until silent replicas are asked again for a snapshot
MAX_NAME_LENGTH = 128  # characters of a replica's name or a hexadecimal key digest
MAX_CLAIMANT_LENGTH = 128  # characters
PAGE_FIELDS = 6  # elements of the JSON array for a page
VOTE_FIELDS = 4  # elements of the JSON array for a vote
TIME_DIGITS = 3  # decimal places of times in seconds
NO_SNAPSHOT = b"null"  # answer if there is no snapshot for the sender


def encode(page: SnapshotPage) -> bytes:
    """Return the body of the POST request for a page."""
    votes = [
        [vote.key_digest.hex(), vote.claimant, vote.run, round(vote.seconds_left, TIME_DIGITS)]
        for vote in page.votes
    ]
    return orjson.dumps(
        [page.replica, page.incarnation, page.number, page.page_count, page.max_duration, votes]
    )


def decode(raw: bytes, max_duration: float) -> SnapshotPage:
    """Return the page in the body of a POST request. Raises ValueError."""
    fields = orjson.loads(raw)
    if not isinstance(fields, list) or len(fields) != PAGE_FIELDS or not isinstance(fields[5], list):
        raise ValueError("invalid snapshot page")
    votes = tuple(map(_decode_vote, fields[5]))
    if not all(is_plausible(vote, max_duration) for vote in votes):
        raise ValueError("implausible vote in a snapshot page")
    incarnation, page_number, page_count = map(count, fields[1:4])
    replica = text(fields[0], MAX_NAME_LENGTH)
    return SnapshotPage(replica, incarnation, page_number, page_count, number(fields[4]), votes)


def _decode_vote(raw: JsonValue) -> ReservationVote:
    if not isinstance(raw, list) or len(raw) != VOTE_FIELDS:
        raise ValueError("invalid vote in a snapshot page")
    key_digest, claimant, run, seconds_left = raw
    return ReservationVote(
        bytes.fromhex(text(key_digest, MAX_NAME_LENGTH)),
        text(claimant, MAX_CLAIMANT_LENGTH),
        count(run),
        number(seconds_left),
    )


class SendStatus(Enum):
    """Whether another replica stores the complete snapshot."""

    STORED = auto()
    NOT_STORED = auto()  # it may safely be sent to a further replica
    UNKNOWN = auto()


@dataclass(frozen=True, slots=True)
class SendOutcome:
    """The outcome of sending a snapshot to another replica, and the reason for a failure."""

    status: SendStatus
    reason: str = ""


@dataclass(frozen=True, slots=True)
class SnapshotAnswer:
    """A replica's answer: the previous incarnation's reservations by key; None if it has no snapshot."""

    reservations: Mapping[bytes, Reservation] | None


class VoteTransfer:
    """Hands over and restores the votes of one replica, and stores snapshots of other replicas."""

    def __init__(
        self,
        replica: QuorumReplica,
        identity: ClaimantIdentity,
        endpoints: Mapping[str, ReplicaEndpoint],
        peer_rpc: PeerRpc,
        log: Log,
    ) -> None:
        settings = replica.settings
        self.replica = replica
        self.identity = identity
        self.max_duration = settings.max_duration * (1 + settings.clock_drift)  # allows for the slowest clock
        self.other_addresses = {
            endpoint.name: endpoint.address
            for endpoint in endpoints.values()
            if endpoint.name != identity.name
        }
        self.peer_rpc = peer_rpc
        self.log = log
        self.snapshots = VoteSnapshots(settings.max_duration, settings.max_reservations)
        peer_rpc.routes |= {PUT_PATH: self.answer_put, TAKE_PATH: self.answer_take}

    # Snapshots of other replicas

    async def answer_put(self, raw: bytes) -> bytes:
        """Store a page of another replica's snapshot."""
        try:
            page = decode(raw, self.max_duration)
            is_stored = page.replica in self.other_addresses and self.snapshots.put(boottime(), page)
        except ValueError as error:
            self.log.event("keeper_page", error=str(error))
            is_stored = False
        return orjson.dumps({"kept": is_stored})

    async def answer_take(self, raw: bytes) -> bytes:
        """Return a page of a snapshot to the next incarnation of the replica that sent it."""
        try:
            fields = orjson.loads(raw)
            replica = text(fields["keeper"], MAX_NAME_LENGTH)
            incarnation, page_number = count(fields["life"]), count(fields["page"])
            max_duration = number(fields["hold"])
        except (ValueError, KeyError, TypeError):
            return NO_SNAPSHOT
        page = self.snapshots.take(boottime(), replica, incarnation, page_number, max_duration)
        return encode(page) if page else NO_SNAPSHOT

    # Votes of the local replica

    async def hand_over(self, timeout: float) -> str | None:
        """Stop voting, and send the votes to another replica; return its name if it has stored them all."""
        reservations = self.replica.close(boottime())
        if reservations is None:
            self.log.event("keeper_left", to="", why="in quarantine: votes may be missing")
            return None
        now = boottime()
        votes = [
            ReservationVote(key_digest, reservation.claimant, reservation.run, reservation.expires_at - now)
            for key_digest, reservation in reservations.items()
            if reservation.expires_at > now
        ]
        deadline = now + timeout
        pages = split_into_pages(
            self.identity.name, self.identity.incarnation, self.replica.settings.max_duration, votes
        )
        reason = "no replica answered"
        for name, address in self.other_addresses.items():
            outcome = await self._send_snapshot(address, pages, deadline)
            reason = outcome.reason
            if outcome.status is SendStatus.NOT_STORED:
                continue
            is_stored = outcome.status is SendStatus.STORED
            self.log.event("keeper_left", to=name, votes=len(votes), whole=is_stored, why=reason)
            return name if is_stored else None
        self.log.event("keeper_left", to="", votes=len(votes), why=reason)
        return None

    async def _send_snapshot(self, address: str, pages: list[SnapshotPage], deadline: float) -> SendOutcome:
        """Send all pages to a replica; stop at the first page that is not stored."""
        for page in pages:
            is_last = page is pages[-1]
            # without its last page a snapshot is incomplete, whatever happened to the earlier pages
            failure_status = SendStatus.UNKNOWN if is_last else SendStatus.NOT_STORED
            timeout = min(PAGE_TIMEOUT, deadline - boottime())
            if timeout <= 0:
                return SendOutcome(failure_status, "shutdown timeout exceeded")
            try:
                raw = await self.peer_rpc.post(
                    address, self.identity.address, PUT_PATH, encode(page), timeout
                )
                is_stored = orjson.loads(raw).get("kept") is True
            except PeerRpcError as error:
                return SendOutcome(failure_status if error.sent else SendStatus.NOT_STORED, str(error))
            except (ValueError, AttributeError) as error:
                return SendOutcome(failure_status, str(error))
            if not is_stored:
                return SendOutcome(SendStatus.NOT_STORED, "rejected by the replica")
        return SendOutcome(SendStatus.STORED)

    async def restore(self) -> bool:
        """Fetch the votes of the previous incarnation, and return whether the local replica restored them.

        Silent replicas are asked again until all have answered, the quarantine ends or the replica closes.
        """
        unanswered = dict(self.other_addresses)
        while unanswered and self.replica.quarantine_left(boottime()) > 0 and not self.replica.closed:
            for name, address in list(unanswered.items()):
                answer = await self._fetch_snapshot(address)
                if answer is None:
                    continue
                del unanswered[name]
                reservations = answer.reservations
                if reservations is not None and self.replica.restore(reservations):
                    self.log.event("keeper_back", by=name, votes=len(reservations))
                    return True
            if unanswered:
                await asyncio.sleep(FETCH_INTERVAL)
        self.log.event("keeper_waits", seconds=round(self.replica.quarantine_left(boottime()), 1))
        return False

    async def _fetch_snapshot(self, address: str) -> SnapshotAnswer | None:
        """Return a replica's answer; None if there is no valid one."""
        reservations: dict[bytes, Reservation] = {}
        page_number = 1  # page 0, the header, has no votes
        page_count = page_number + 1
        while page_number < page_count:
            try:
                raw = await self.peer_rpc.post(
                    address, self.identity.address, TAKE_PATH, self._take_request(page_number), PAGE_TIMEOUT
                )
                if raw == NO_SNAPSHOT:
                    return SnapshotAnswer(None)
                page = decode(raw, self.max_duration)
            except (PeerRpcError, ValueError):
                return None
            if page.replica != self.identity.name or page.number != page_number:
                return None
            now = boottime()
            for vote in page.votes:
                expires_at = now + vote.seconds_left
                reservations[vote.key_digest] = Reservation(vote.claimant, vote.run, expires_at)
            page_number += 1
            page_count = page.page_count
        return SnapshotAnswer(reservations)

    def _take_request(self, page_number: int) -> bytes:
        return orjson.dumps(
            {
                "keeper": self.identity.name,
                "life": self.identity.incarnation,
                "page": page_number,
                "hold": self.replica.settings.max_duration,
            }
        )
