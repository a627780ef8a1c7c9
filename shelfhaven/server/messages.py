"""What actors tell each other: small typed values that name no protocol.

Owns the types alone, so that a second front with another protocol goes through the same core.  No logic here.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, TypeAlias

from shelfhaven.decision.interface import Outcome


@dataclass(frozen=True, slots=True)
class Served:
    """The result that a run made."""

    ref: int
    body: bytes
    load: float | None


@dataclass(frozen=True, slots=True)
class Refused:
    """This try never ran."""

    ref: int
    retry_after: float
    stay: bool
    load: float | None


@dataclass(frozen=True, slots=True)
class Failed:
    """An error with no promise; `code` is the front's own for a message that it could not read."""

    ref: int
    text: str
    load: float | None
    code: int = 0


@dataclass(frozen=True, slots=True)
class Healthy:
    """The answer to a health check."""

    ref: int
    good: bool
    load: float | None


Answer: TypeAlias = Served | Refused | Failed | Healthy


class Front(Protocol):
    """Where a request came from."""

    def answer(self, answer: Answer) -> None:
        """Take one answer."""


@dataclass(frozen=True, slots=True)
class Submit:
    """A request; `ref` is the front's name for it, `recv` the Unix time at which it reached the machine.

    `budget` is how long its caller waits, counted from `recv` (0: not told).
    """

    front: Front
    ref: int
    call: str
    cls: int
    tenant: int
    caller: int
    recv: float
    budget: float
    hint: float
    footprint_kb: float
    rank: float
    retry: bool
    dedupe: str
    key: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Cancel:
    """Nobody waits for that request any more."""

    front: Front
    ref: int


@dataclass(frozen=True, slots=True)
class Reject:
    """A message that could not be read is owed an answer that says so."""

    front: Front
    ref: int
    code: int
    text: str


@dataclass(frozen=True, slots=True)
class Check:
    """A health check."""

    front: Front
    ref: int


@dataclass(frozen=True, slots=True)
class LinkDown:
    """The agent's link broke; runs go on."""


@dataclass(frozen=True, slots=True)
class AgentRestarted:
    """The agent started anew: what ran before is gone."""


@dataclass(frozen=True, slots=True)
class CallDone:
    """A call to the ledger is over."""

    ref: int
    outcome: Outcome
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Leave:
    """The notice to leave, `left` seconds before the process is ended."""

    left: float


@dataclass(frozen=True, slots=True)
class PlaceCall:
    """Place a call, and give it up after `limit` seconds."""

    ref: int
    txn: str
    limit: float
    body: bytes


@dataclass(frozen=True, slots=True)
class DropCall:
    """Give the call up; nothing is to be told of it any more."""

    ref: int


@dataclass(frozen=True, slots=True)
class KeepIdle:
    """How long connections without a request may stay (0: as long as their callers like)."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Standing:
    """What the membership service is to be told."""

    up: bool
