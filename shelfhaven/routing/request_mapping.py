"""Mapping of HTTP requests, received from gateways and proxies, to requests to the core.

A mapping determines the class, tenant, idempotency key, budget and other attributes of a request from its
CGI variables (`HTTP_IDEMPOTENCY_KEY`, `PATH_INFO` and so on). A missing value is replaced by its configured
default; a missing value that is required raises `MappingError`.

This module does no I/O and reads no clock; callers pass the current time.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace

from shelfhaven.errors import ShelfhavenError
from shelfhaven.routing.caller_numbers import CallerNumbers, hash_name
from shelfhaven.routing.path_pattern import Route

MAX_VALUE_LENGTH = 256  # characters, for the value of any single variable except the path
MAX_PATH_LENGTH = 2048  # characters
MIN_BUDGET = 1e-6  # seconds; a budget of 0 would mean that the caller stated none
SECONDS_PER_MILLISECOND = 0.001
TRUE_VALUES = ("1", "true", "yes", "on")

# Variables of each request that do not come from a header field of their own.
STANDARD_VARIABLES = ("REQUEST_METHOD", "PATH_INFO", "QUERY_STRING", "CONTENT_TYPE")

BAD_REQUEST = 400
FORBIDDEN = 403
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405


class MappingError(ShelfhavenError):
    """The request violates the rules of the mapping; `status` is the HTTP status to answer with."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class AttributeSource:
    """Source of an attribute: a variable with a default. Numbers are multiplied by `scale`."""

    variable: str = ""
    default: str = ""
    scale: float = 1.0

    def text(self, variables: Mapping[str, str]) -> str:
        """Return the value of the variable, or the default if the variable is missing or empty.

        Raises:
            MappingError: The value is too long.
        """
        value = variables.get(self.variable, "") if self.variable else ""
        if len(value) > MAX_VALUE_LENGTH:
            raise MappingError(BAD_REQUEST, f"{self.variable}: over {MAX_VALUE_LENGTH} characters")
        return value or self.default

    def number(self, variables: Mapping[str, str], upper_bound: float = math.inf) -> float | None:
        """Return the value as a scaled number, or None if there is neither a value nor a default.

        Raises:
            MappingError: The value is not a number, or the scaled number is not in [0, upper_bound).
        """
        text = self.text(variables)
        if not text:
            return None
        try:
            value = float(text)
        except ValueError:
            raise MappingError(BAD_REQUEST, f"{self.variable}: not a number") from None
        if not 0 <= value * self.scale < upper_bound:
            bound = f"{upper_bound / self.scale:g}"
            raise MappingError(BAD_REQUEST, f"{self.variable}: not a number from 0 to under {bound}")
        return value * self.scale


DEFAULT_TENANT = AttributeSource("HTTP_X_TENANT")
DEFAULT_IDEMPOTENCY_KEY = AttributeSource("HTTP_IDEMPOTENCY_KEY")
DEFAULT_BUDGET = AttributeSource("HTTP_X_TIME_LEFT_MS", scale=SECONDS_PER_MILLISECOND)
DEFAULT_RETRY = AttributeSource("HTTP_X_RETRY")
DEFAULT_PRIORITY = AttributeSource("HTTP_X_RANK")
DEFAULT_PARTITION_KEY = AttributeSource("HTTP_X_ROW")
DEFAULT_WORK_HINT = AttributeSource("HTTP_X_WORK_MS", scale=SECONDS_PER_MILLISECOND)
NO_SOURCE = AttributeSource()


@dataclass(frozen=True, slots=True)
class MappingSettings:
    """Rules of one mapping, from the operator configuration.

    Attributes:
        name: name of the mapping in the operator configuration.
        routes: routes that determine the class; the first match applies.
        idempotent_classes: classes whose requests must have an idempotency key.
        tenants: tenant names, in the order of the tenant settings; empty if there is a single tenant.
        tenant: source of the tenant name.
        idempotency_key: source of the idempotency key.
        budget: source of the budget, in seconds after scaling.
        retry: source of the flag that marks a retry.
        priority: source of the priority, a number in [0, 1).
        partition_key: source of the name of the data that the request works on.
        work_hint: source of the expected run time, in seconds after scaling.
        caller: source of the caller's name; without a name, a caller is identified by its peer address.
        max_callers: maximum number of caller names that are remembered.
        caller_idle_time: seconds without requests after which a caller's name may be evicted.
        footprint_kb: memory reserved for a request in addition to its body.
        extra_variables: variables passed to the backend in addition to the standard ones.
        identity_variables: variables that, beside the idempotency key and the body, tell requests apart.
    """

    name: str
    routes: tuple[Route, ...]
    idempotent_classes: frozenset[int] = frozenset()
    tenants: tuple[str, ...] = ()
    tenant: AttributeSource = DEFAULT_TENANT
    idempotency_key: AttributeSource = DEFAULT_IDEMPOTENCY_KEY
    budget: AttributeSource = DEFAULT_BUDGET
    retry: AttributeSource = DEFAULT_RETRY
    priority: AttributeSource = DEFAULT_PRIORITY
    partition_key: AttributeSource = DEFAULT_PARTITION_KEY
    work_hint: AttributeSource = DEFAULT_WORK_HINT
    caller: AttributeSource = NO_SOURCE
    max_callers: int = 512
    caller_idle_time: float = 60.0
    footprint_kb: float = 24.0
    extra_variables: tuple[str, ...] = ()
    identity_variables: tuple[str, ...] = ()

    def with_classes(self, own: Sequence[str], other: Sequence[str]) -> MappingSettings | None:
        """Return the same rules with the positions that classes have in another list, found by their names.

        None if the other list lacks a class that is used.  `own`: the list of the present positions.
        """
        used = {route.class_index for route in self.routes}
        if any(own[index] not in other for index in used):
            return None
        routes = tuple(
            replace(route, class_index=other.index(own[route.class_index])) for route in self.routes
        )
        idempotent = frozenset(
            other.index(own[index]) for index in self.idempotent_classes if own[index] in other
        )
        return replace(self, routes=routes, idempotent_classes=idempotent)

    def variable_names(self) -> frozenset[str]:
        """Return the names of the variables that requests are mapped by, or that backends get."""
        sources = (
            self.tenant, self.idempotency_key, self.budget, self.retry, self.priority, self.partition_key,
            self.work_hint, self.caller,
        )  # fmt: skip
        named = (source.variable for source in sources if source.variable)
        return frozenset((*STANDARD_VARIABLES, *named, *self.extra_variables, *self.identity_variables))


@dataclass(frozen=True, slots=True)
class MappedRequest:
    """The attributes of a mapped request. Times are in seconds; 0 means that the request states no value.

    Attributes:
        class_index: index of the request's class.
        tenant: index of the tenant.
        caller: number that identifies the caller.
        idempotency_key: idempotency key, empty if the class needs none.
        budget: time for which the caller still waits.
        is_retry: whether the caller marked the request as a retry.
        priority: priority, in [0, 1).
        partition_key: hash of the name of the data that the request works on.
        work_hint: expected run time.
        footprint_kb: memory to reserve for the request, including its body.
        identity_parts: values of the identity variables, in their order.
        legacy_identity_parts: what earlier versions took for the identity: the segments that the route's
            wildcards match, and the query; only records of those versions are found by them.
        extra_variables: additional variables to pass to the backend.
    """

    class_index: int
    tenant: int
    caller: int
    idempotency_key: str
    budget: float
    is_retry: bool
    priority: float
    partition_key: int
    work_hint: float
    footprint_kb: float
    identity_parts: tuple[str, ...]
    legacy_identity_parts: tuple[str, ...]
    extra_variables: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class MatchedRoute:
    """A route, and the path segments that its wildcards matched."""

    route: Route
    captured_segments: tuple[str, ...]


@dataclass(slots=True)
class RequestMapping:
    """The rules of one mapping, and the numbers of its callers."""

    settings: MappingSettings
    callers: CallerNumbers = field(init=False)
    variable_names: frozenset[str] = field(init=False)  # that the rules refer to

    def __post_init__(self) -> None:
        self.variable_names = self.settings.variable_names()
        self.callers = CallerNumbers(self.settings.max_callers, self.settings.caller_idle_time)

    def update(self, settings: MappingSettings) -> None:
        """Replace the rules; callers keep their numbers."""
        self.settings = settings
        self.variable_names = settings.variable_names()
        self.callers.max_names = settings.max_callers
        self.callers.idle_time = settings.caller_idle_time

    def map_request(self, now: float, variables: Mapping[str, str], peer: str, size: int) -> MappedRequest:
        """Map a request.

        Args:
            now: current time, in seconds.
            variables: CGI variables of the request.
            peer: address of the peer.
            size: size of the body, in bytes.

        Raises:
            MappingError: The request violates the rules of the mapping.
        """
        settings = self.settings
        matched = self.match_route(variables.get("REQUEST_METHOD", ""), variables.get("PATH_INFO", ""))
        class_index = matched.route.class_index
        idempotency_key = self._idempotency_key(class_index, variables)
        budget = settings.budget.number(variables)
        partition = settings.partition_key.text(variables)
        return MappedRequest(
            class_index=class_index,
            tenant=self._tenant(variables),
            caller=self.callers.number_for(now, settings.caller.text(variables), peer),
            idempotency_key=idempotency_key,
            budget=0.0 if budget is None else max(MIN_BUDGET, budget),
            is_retry=settings.retry.text(variables).lower() in TRUE_VALUES,
            priority=settings.priority.number(variables, upper_bound=1.0) or 0.0,
            partition_key=hash_name(partition) if partition else 0,
            work_hint=settings.work_hint.number(variables) or 0.0,
            footprint_kb=settings.footprint_kb + size / 1024,
            identity_parts=tuple(variables.get(name, "") for name in settings.identity_variables),
            legacy_identity_parts=_legacy_identity_parts(
                matched.captured_segments, variables.get("QUERY_STRING", "")
            ),
            extra_variables=tuple(
                (name, variables[name]) for name in settings.extra_variables if name in variables
            ),
        )

    def match_route(self, method: str, path: str) -> MatchedRoute:
        """Return the first route that matches.

        Raises:
            MappingError: No route matches, or the path is malformed.
        """
        segments = _split_path(path)
        path_matched = False
        for route in self.settings.routes:
            captured = route.pattern.match_segments(segments)
            if captured is None:
                continue
            if not route.methods or method in route.methods:
                return MatchedRoute(route, captured)
            path_matched = True
        if path_matched:
            raise MappingError(METHOD_NOT_ALLOWED, f"{method or 'no method'} is not served on this path")
        raise MappingError(NOT_FOUND, "no route fits this path")

    def _idempotency_key(self, class_index: int, variables: Mapping[str, str]) -> str:
        """Return the idempotency key if the class needs one, else an empty string."""
        source = self.settings.idempotency_key
        key = source.text(variables)
        if class_index not in self.settings.idempotent_classes:
            return ""
        if not key:
            raise MappingError(BAD_REQUEST, f"{source.variable}: missing, and this class needs a key")
        return key

    def _tenant(self, variables: Mapping[str, str]) -> int:
        settings = self.settings
        name = settings.tenant.text(variables)
        if not settings.tenants or not name:
            return 0
        if name not in settings.tenants:
            raise MappingError(FORBIDDEN, f"{settings.tenant.variable}: no tenant of this name")
        return settings.tenants.index(name)


def _split_path(path: str) -> list[str]:
    """Split an absolute path without dot segments into its segments.

    Raises:
        MappingError: The path is malformed.
    """
    if not path.startswith("/") or len(path) > MAX_PATH_LENGTH or "\0" in path:
        raise MappingError(BAD_REQUEST, "PATH_INFO: missing, too long or no path")
    segments = path[1:].split("/")
    if ".." in segments or "." in segments:
        raise MappingError(BAD_REQUEST, "PATH_INFO: steps that are not resolved")
    return segments


def _legacy_identity_parts(captured_segments: tuple[str, ...], query: str) -> tuple[str, ...]:
    return (*captured_segments, query) if captured_segments or query else ()
