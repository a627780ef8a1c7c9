"""Settings of one server, as its host passes them to the controller.

This module defines data types only.  Times are in seconds, memory is in kilobytes.  A class or tenant is
identified by its position in its tuple.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RetrySafety(Enum):
    """Whether a request may be executed twice."""

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"  # executed at most once per key, within the key's time to live
    NOT_IDEMPOTENT = "unsafe"


class CancelMode(Enum):
    """What stopping a running request does, or that it cannot be stopped."""

    NONE = "none"
    ABORT = "abort"
    SUSPEND = "pause"  # keeps its work, so that it can be resumed


class LoadAdvertisement(Enum):
    """How callers interpret the advertised load value."""

    NONE = "none"
    LEVEL = "level"  # the load, from 0 to 1
    WINDOW = "window"  # how many requests each caller may have outstanding
    WEIGHT = "weight"  # this server's weight in load balancing


class DownstreamKind(Enum):
    """What requests call while they run."""

    NONE = "none"
    SHARED = "shared"  # a dependency that all servers of the tier share
    TIER = "tier"  # a tier of servers that sheds its own load


class Outcome(Enum):
    """How a run or a downstream call ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    ABANDONED = "moot"  # its caller had left, or it had already ended: nothing was executed


# Outcomes that guarantee that nothing was executed.
NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.ABANDONED})


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """One class of request.

    Attributes:
        latency_objective: time within which an answer earns the full weight.
        deadline: time after which an answer is of no use to anyone.
        priority_weight: what an answer within the objective is worth.
        late_weight: fraction of that weight that an answer between objective and deadline earns.
        retry_safety: whether a request may be executed twice.
        key_ttl: time for which an idempotency key is valid, from the arrival of its request.
        calls_downstream: whether runs of this class place downstream calls.
        weight_without_call: fraction of its weight that a request earns if its downstream call is skipped;
            0 if the call cannot be skipped.
        objective_stretch: multiple of a request's work hint that is added to its objective.
    """

    latency_objective: float
    deadline: float
    priority_weight: float = 1.0
    late_weight: float = 0.0
    retry_safety: RetrySafety = RetrySafety.IDEMPOTENT
    key_ttl: float = 0.0
    calls_downstream: bool = False
    weight_without_call: float = 0.0
    objective_stretch: float = 0.0


@dataclass(frozen=True, slots=True)
class TenantSettings:
    """One tenant: its quota in requests per second across the fleet, and its share of the traffic."""

    quota_per_s: float
    share: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings that a server gets when it starts.

    Attributes:
        cores: number of cores of this server.
        memory_kb: memory for requests and keys.
        classes: classes of request.
        tenants: tenants that have a quota.
        replicas: number of servers of this tier listed at the start, including this one.
        callers: number of callers that hold connections to this server.
        tier: number of tiers in front of this one.
        tick: longest delay with which a timer may fire.
        running_memory_factor: memory of a running request, relative to that of a queued one.
        key_kb: memory of one entry in the key table.
        starts_cold: whether the server starts at less than full speed.
        cold_speed: speed of a cold server, as a fraction of full speed.
        warm_up: time until a cold server reaches full speed.
        crash_concurrency_factor: running requests per core at which a warmed-up server crashes.
        crash_window: time over which that concurrency is averaged.
        drain_grace: time after the start of a drain during which new arrivals may still run.
        answer_slack: time after its due time within which an answer does not yet count as late.
        passes_deadline: whether callers send how long they still wait.
        notifies_cancellation: whether callers report that they have stopped waiting.
        marks_retries: whether callers mark attempts after the first.
        weight_by_work: whether a request's weight counts per second of its work, not per request.
        over_quota_weight: fraction of its weight that a request beyond its tenant's quota earns.
        allows_retry_after: whether callers accept a retry-after.
        max_retry_after: longest retry-after that callers accept.
        cancel_mode: what stopping a running request does.
        load_advertisement: how callers interpret the advertised load.
        readiness: whether health checks decide which servers are listed.
        downstream: what requests call while they run.
        downstream_capacity: average number of concurrent calls that the shared dependency accepts from this
            server.
        downstream_window: time over which that average is taken.
        abandoned_call_occupancy: time for which a call abandoned here still occupies the dependency.
        connection_idle_timeout: time after which callers close an idle connection.
        connection_cost: cost of an open connection.
        handshake_cost: cost of a new connection.
        gauges: names of the gauges whose values come with timers, in the same order.
    """

    cores: int
    memory_kb: float
    classes: tuple[ClassSettings, ...]
    tenants: tuple[TenantSettings, ...] = ()
    replicas: int = 1
    callers: int = 1
    tier: int = 0
    tick: float = 0.0
    running_memory_factor: float = 1.0
    key_kb: float = 0.0
    starts_cold: bool = False
    cold_speed: float = 1.0
    warm_up: float = 0.0
    crash_concurrency_factor: float = 3.0
    crash_window: float = 2.0
    drain_grace: float = 0.0
    answer_slack: float = 0.0
    passes_deadline: bool = False
    notifies_cancellation: bool = False
    marks_retries: bool = False
    weight_by_work: bool = False
    over_quota_weight: float = 1.0
    allows_retry_after: bool = True
    max_retry_after: float = 1.0
    cancel_mode: CancelMode = CancelMode.NONE
    load_advertisement: LoadAdvertisement = LoadAdvertisement.NONE
    readiness: bool = False
    downstream: DownstreamKind = DownstreamKind.NONE
    downstream_capacity: float = 0.0
    downstream_window: float = 0.0
    abandoned_call_occupancy: float = 0.0
    connection_idle_timeout: float = 0.0
    connection_cost: float = 0.0
    handshake_cost: float = 0.0
    gauges: tuple[str, ...] = ()
