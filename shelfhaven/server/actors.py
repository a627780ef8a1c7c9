"""Interfaces of the actors that the core sends messages to, and the set of connected actors.

The interfaces are independent of any wire protocol, so every frontend works with every runner.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol, TypeAlias, TypeVar

from shelfhaven.server import messages
from shelfhaven.server.request import Request

MessageT = TypeVar("MessageT", contravariant=True)


class Actor(Protocol[MessageT]):
    """Queues messages and handles them later, one at a time."""

    def put(self, message: MessageT) -> None:
        """Queue a message."""


DownstreamActor: TypeAlias = Actor[messages.PlaceCall | messages.CancelCall]
MembershipActor: TypeAlias = Actor[messages.ReportStatus]
FrontendsActor: TypeAlias = Actor[messages.SetIdleTimeout]


class KeyStore(Protocol):
    """Stores idempotency keys so that they outlive the process."""

    def find_previous(
        self, key_digest: bytes, legacy_digests: Sequence[bytes], key_ttl: float
    ) -> list[messages.PreviousKey]:
        """Return the unexpired keys of runs of this request that a previous incarnation may have started.

        There may be several if the attempt does not convey all that tells them apart.  `legacy_digests` are
        the key's digests in the records of earlier versions.
        """

    def record_intent(self, request_id: int, key: messages.DurableKey) -> None:
        """Record that a run is about to start; `IntentRecorded` follows."""

    def record_outcome(self, request_id: int, key_digest: bytes, result: bytes | None) -> bool:
        """Record that a run has finished; return whether `OutcomeRecorded` follows."""

    def discard_intent(self, key_digest: bytes) -> None:
        """Delete the intent of a run that never started."""

    def record_uncertain(self, key: messages.DurableKey) -> None:
        """Record that a request with this key may have run elsewhere."""

    def fetch_result(self, request_id: int, key_digest: bytes) -> None:
        """Fetch the result of a previous incarnation's run; `StoredResultFetched` follows."""


class ConnectedActors:
    """The actors of this process; `connect` sets them before the first message."""

    runners: Sequence[messages.Runner]  # by class index
    gauge_source: messages.Runner
    downstream: DownstreamActor
    membership: MembershipActor
    frontends: FrontendsActor

    def connect(
        self,
        runners: Sequence[messages.Runner],
        downstream: DownstreamActor,
        membership: MembershipActor,
        frontends: FrontendsActor,
    ) -> None:
        """Set the actors; `runners` are by class index, and the first one samples the gauges."""
        self.runners = runners
        self.gauge_source = runners[0]
        self.downstream = downstream
        self.membership = membership
        self.frontends = frontends

    def runner_of(self, request: Request) -> messages.Runner:
        """Return the runner that the request names, or else the runner of its class."""
        return request.submission.runner or self.runners[request.submission.class_index]
