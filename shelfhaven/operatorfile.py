"""The operator's file: KDL, read, checked and given defaults in one place.

Owns the way from the file's text to typed values, and the record of where each comes from. It must never
decide anything that depends on load. What makes no sense raises ConfigError with the file, the node and the
property at fault; for a name that is not known the message tells the nearest one that is.

Imported only where a file is given: the parser takes 4.6 MB and 0.09 s.
"""

from __future__ import annotations

import difflib
import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any, TypeVar

import humanfriendly
from kdl.errors import ParseError
from kdl.parsefuncs import parse as parse_kdl
from kdl.types import Node

from shelfhaven.config import (
    MAX_ITEMS,
    NAME,
    Address,
    Config,
    ConfigError,
    Limits,
    parse_address,
)
from shelfhaven.decision.interface import Advert, ClassSettings, Repeat, Settings, TenantSettings
from shelfhaven.protocol import uwsgi
from shelfhaven.routing.consult import ConsultSettings
from shelfhaven.routing.mapping import MappingSettings, Pattern, Route, Source
from shelfhaven.routing.pool import PoolSettings

T = TypeVar("T")
Place = Address | Path  # of a socket

REPEATS = {"safe": Repeat.SAFE, "keyed": Repeat.KEYED, "once": Repeat.UNSAFE}
ADVERTS = {"none": Advert.NONE, "level": Advert.LEVEL, "window": Advert.WINDOW, "weight": Advert.WEIGHT}
PROTOCOLS = {"jsonrpc": "jsonrpc", "uwsgi": "uwsgi", "extproc": "extproc", "subrequest": "subrequest"}
CONSULTED = ("extproc", "subrequest")
TIME_UNITS = {"ms": 0.001, "s": 1.0}
GAUGES = ("cpu_busy", "runs_room")  # that pools tell
TICK = 0.01  # seconds; events are told at most so often
KEY_KB = 0.5  # of the module's memory, for an entry of the key table
TEXT_MOST = 1 << 20  # bytes of a file


@dataclass(frozen=True, slots=True)
class Tls:
    """Files of a listener's certificate; with `client_ca` its callers need one too."""

    certificate: Path
    key: Path
    client_ca: Path | None = None


@dataclass(frozen=True, slots=True)
class Listen:
    """One listening socket beside the platform's; sizes in bytes, times in seconds."""

    name: str
    protocol: str
    address: Place
    mapping: str = ""
    keep: bool = False  # connections carry further requests after an answer
    most: int = 0  # connections; 0: what descriptors allow
    within: float = 1.5  # for a whole request
    unread: float = 10.0  # for an answer to be taken
    block_most: int = uwsgi.BLOCK_MOST
    body_most: int = uwsgi.BODY_MOST
    health: str = "/-/health"
    load: str = "/-/load"
    content_type: str = "application/json"  # of results
    consult: ConsultSettings = ConsultSettings()
    tls: Tls | None = None
    refuse_status: int = 403  # of a subrequest that is refused; common proxies know 401 and 403


@dataclass(frozen=True, slots=True)
class RunAs:
    """How a run is asked of a server if its front told no path."""

    method: str
    path: str


@dataclass(frozen=True, slots=True)
class PoolConfig:
    """One pool of uwsgi servers."""

    name: str
    servers: Mapping[str, Place]
    runs: Mapping[str, RunAs]  # by class
    settings: PoolSettings
    result_most: int  # bytes


@dataclass(frozen=True, slots=True)
class Origin:
    """One value in force and where it comes from."""

    path: str
    value: str
    origin: str


@dataclass(frozen=True, slots=True)
class Operator:
    """All that the operator's file tells beside the node's own configuration."""

    listens: tuple[Listen, ...] = ()
    mappings: Mapping[str, MappingSettings] = ()  # type: ignore[assignment]
    pools: Mapping[str, PoolConfig] = ()  # type: ignore[assignment]
    origins: tuple[Origin, ...] = ()


class Part:
    """One node of the file: its values are taken by name, and what is left over is a fault."""

    def __init__(self, node: Any, path: str, book: list[Origin], file: str) -> None:
        self.node, self.path, self.book, self.file = node, path, book, file
        self.known: set[str] = set()
        self.args = list(node.args)
        self.taken: set[str] = set()
        self.parts: list[Part] = []

    def fault(self, name: str, text: str) -> ConfigError:
        """A fault in this node, at the property or the node below of that name."""
        place = " ".join(filter(None, (self.path, name)))
        return ConfigError(f"{self.file}: {place}: {text}")

    def name(self, what: str) -> str:
        """The node's own name, its first argument."""
        if not self.args or not isinstance(self.args[0], str) or not NAME.match(self.args[0]):
            raise self.fault("", f"the {what} is missing or not one printable word")
        return str(self.args.pop(0))

    def children(self, name: str) -> list[Part]:
        """The nodes below of that name."""
        self.known.add(name)
        self.taken.add(name)
        found = [node for node in self.node.nodes if node.name == name]
        if len(found) > MAX_ITEMS:
            raise self.fault(name, "too many")
        parts = []
        for node in found:
            label = f' "{node.args[0]}"' if node.args and isinstance(node.args[0], str) else ""
            parts.append(Part(node, f"{self.path} > {name}{label}".removeprefix(" > "), self.book, self.file))
        self.parts += parts
        return parts

    def child(self, name: str) -> Part | None:
        """The node below of that name, of which there is one at most."""
        found = self.children(name)
        if len(found) > 1:
            raise self.fault(name, "is there twice")
        return found[0] if found else None

    def raw(self, name: str) -> Any:
        """A value given as a property (`aim="2s"`) or as a node below (`aim "2s"`); None without it."""
        self.known.add(name)
        self.taken.add(name)
        below = [node for node in self.node.nodes if node.name == name]
        if len(below) + (name in self.node.props) > 1:
            raise self.fault(name, "is there twice")
        if name in self.node.props:
            return self.node.props[name]
        if not below:
            return None
        if len(below[0].args) != 1 or below[0].props or below[0].nodes:
            raise self.fault(name, "takes one value")
        return below[0].args[0]

    def take(self, name: str, read: Callable[[Any], T], default: T | None) -> T:
        """A value by name, read and checked; without a default it is needed."""
        raw = self.raw(name)
        if raw is None:
            if default is None:
                raise self.fault(name, "missing")
            self.note(name, default, "default")
            return default
        try:
            value = read(raw)
        except ValueError as error:
            raise self.fault(name, str(error)) from None
        self.note(name, raw, self.file)
        return value

    def note(self, name: str, value: object, origin: str) -> None:
        """Record where a value comes from."""
        path = " > ".join(filter(None, (self.path, name)))
        self.book.append(Origin(path, str(value), origin))

    def done(self) -> None:
        """Nothing may be left over, here or below."""
        if self.args:
            raise self.fault("", f"{self.args[0]!r} is a value that nothing asks for")
        for name in [*self.node.props, *(node.name for node in self.node.nodes)]:
            if name not in self.taken:
                near = difflib.get_close_matches(name, sorted(self.known), 1, 0.4)
                hint = f"; the nearest that is: {near[0]}" if near else ""
                raise self.fault(name, f"not known here{hint}")
        for part in self.parts:
            part.done()


# Kinds of values: each raises ValueError with what is wrong


def text(raw: Any) -> str:
    """A text of one line."""
    if not isinstance(raw, str) or not raw.isprintable():
        raise ValueError("not a text in quotes")
    return raw


def path_of(raw: Any) -> str:
    """A path as a request has it."""
    if not text(raw).startswith("/"):
        raise ValueError(f"{raw!r} does not begin with /")
    return str(raw)


def flag(raw: Any) -> bool:
    """true or false."""
    if not isinstance(raw, bool):
        raise ValueError(f"{raw!r} is not true or false")
    return raw


def number(least: float = 0.0, most: float = math.inf) -> Callable[[Any], float]:
    """A finite number within bounds."""

    def read(raw: Any) -> float:
        if isinstance(raw, bool) or not isinstance(raw, int | float):
            raise ValueError(f"{raw!r} is not a number")
        if not math.isfinite(raw) or not least <= raw <= most:
            bound = f"from {least:g} up" if most == math.inf else f"from {least:g} to {most:g}"
            raise ValueError(f"{raw:g} is not a number {bound}")
        return float(raw)

    return read


def whole(least: int = 0, most: int = 1 << 31) -> Callable[[Any], int]:
    """A whole number within bounds."""

    def read(raw: Any) -> int:
        value = number(least, most)(raw)
        if not value.is_integer():
            raise ValueError(f"{raw} is not a whole number")
        return int(value)

    return read


def time(raw: Any) -> float:
    """A time with its unit, in seconds."""
    if not isinstance(raw, str) or raw.strip().replace(".", "").isdigit():
        raise ValueError(f'{raw!r} is not a time with a unit, such as "2.2s" or "100ms"')
    try:
        value = float(humanfriendly.parse_timespan(raw))
    except humanfriendly.InvalidTimespan:
        raise ValueError(f'{raw!r} is not a time with a unit, such as "2.2s" or "100ms"') from None
    if not 0 <= value < 1e6:
        raise ValueError(f"{raw!r} is not a time from 0 to a million seconds")
    return value


def positive_time(raw: Any) -> float:
    """A time above 0."""
    value = time(raw)
    if value <= 0:
        raise ValueError(f"{raw!r} is not above 0")
    return value


def size(raw: Any) -> int:
    """A size with its unit, in bytes; 1 KB is 1024 of them."""
    try:
        value = humanfriendly.parse_size(text(raw), binary=True)
    except (ValueError, humanfriendly.InvalidSize):
        raise ValueError(f'{raw!r} is not a size with a unit, such as "192MB"') from None
    return int(value)


def place(raw: Any) -> Place:
    """`host:port` in numbers, or `unix:/path`."""
    value = text(raw)
    if value.startswith("unix:"):
        path = Path(value[5:])
        if not path.is_absolute() or len(str(path)) > 100:
            raise ValueError(f"{raw!r} is not an absolute path of 100 characters at most")
        return path
    return parse_address(value)


def word(known: Mapping[str, T]) -> Callable[[Any], T]:
    """One of a few words."""

    def read(raw: Any) -> T:
        if raw not in known:
            raise ValueError(f"{raw!r} is none of {', '.join(known)}")
        return known[raw]

    return read


def _defaults(of: type) -> dict[str, Any]:
    return {f.name: f.default for f in fields(of)}


# The parts of the file


def _class(part: Part) -> tuple[str, ClassSettings]:
    name = part.name("class's name")
    deadline = part.take("deadline", positive_time, None)
    aim = part.take("aim", positive_time, deadline)
    if aim > deadline:
        raise part.fault("aim", "is later than the deadline")
    repeat = part.take("repeat", word(REPEATS), Repeat.UNSAFE)
    window = part.take("window", time, 0.0)
    if (repeat is Repeat.KEYED) != (window > 0):
        raise part.fault("window", "a class with repeat \"keyed\" needs one, no other has one")
    return name, ClassSettings(
        aim=aim,
        deadline=deadline,
        worth=part.take("worth", number(1e-9), 1.0),
        late_worth=part.take("late-worth", number(0, 1), 0.0),
        repeat=repeat,
        window=window,
    )


def _unique(found: Iterable[tuple[str, T]], part: Part, what: str) -> dict[str, T]:
    result: dict[str, T] = {}
    for name, value in found:
        if name in result:
            raise part.fault(f'{what} "{name}"', "is there twice")
        result[name] = value
    return result


def _standalone(root: Part) -> Config:
    """The node's own configuration, where no platform tells it."""
    node, work = root.child("node"), root.child("work")
    if node is None or work is None:
        missing = "node" if node is None else "work"
        raise root.fault(missing, "missing: without a platform's configuration the file has to tell it")
    name = node.name("node's name")
    try:
        seed = int(node.take("seed", text, "0"), 16) & (1 << 64) - 1
    except ValueError:
        raise node.fault("seed", "not a number in hex") from None
    classes = _unique((_class(part) for part in work.children("class")), work, "class")
    if not classes:
        raise work.fault("class", "missing: nothing would be served")
    tenants = _unique(
        (
            (part.name("tenant's name"), TenantSettings(
                part.take("quota", number(), 0.0), part.take("share", number(0, 1), 0.0)
            ))
            for part in work.children("tenant")
        ),
        work,
        "tenant",
    )  # fmt: skip
    settings = Settings(
        cores=work.take("at-once", whole(1), None),
        memory_kb=work.take("memory", size, 64 << 20) / 1024,
        classes=tuple(classes.values()),
        tenants=tuple(tenants.values()),
        servers=work.take("servers", whole(1), 1),
        callers=work.take("callers", whole(1), 1),
        tick=TICK,
        key_kb=KEY_KB,
        cold=work.take("cold", flag, False),
        cold_from=work.take("cold-from", number(0.01, 1), 1.0),
        warm_up=work.take("warm-up", time, 0.0),
        drain_grace=work.take("drain-grace", time, 0.5),
        answer_slack=work.take("answer-slack", time, 0.05),
        passes_deadline=True,
        tells_gone=True,
        marks_retry=True,
        max_retry_after=work.take("advice-most", positive_time, 10.0),
        advert=work.take("advert", word(ADVERTS), Advert.NONE),
        gauges=GAUGES,
    )
    return Config(
        name=name,
        listen=None,
        agent=None,
        members=None,
        ledger=None,
        seed=seed,
        stop=node.take("stop", positive_time, 5.0),
        limits=Limits(
            cores=node.take("cores", number(0.01), 1.0),
            memory_mb=node.take("memory", size, 192 << 20) / (1 << 20),
            sockets=node.take("descriptors", whole(16), 1024),
        ),
        settings=settings,
        classes=tuple(classes),
        tenants=tuple(tenants),
        unsupported=(),
    )


def _source(part: Part, name: str, given: Source, timed: bool = False) -> Source:
    below = part.child(name)
    if below is None:
        part.note(name, given.variable or "none", "default")
        return given
    unit = below.take("unit", word(TIME_UNITS), given.unit) if timed else given.unit
    variable = below.take("variable", text, given.variable)
    return Source(variable, below.take("default", text, given.default), unit)


def _route(part: Part, classes: tuple[str, ...]) -> Route:
    cls = part.name("class")
    if cls not in classes:
        near = difflib.get_close_matches(cls, classes, 1, 0.4)
        raise part.fault("", f"no class of this name{f'; the nearest is {near[0]}' if near else ''}")
    methods = part.take("method", text, "")
    try:
        pattern = Pattern(part.take("path", path_of, None))
    except ValueError as error:
        raise part.fault("path", str(error)) from None
    return Route(classes.index(cls), pattern, frozenset(methods.upper().split()))


def _mapping(part: Part, config: Config) -> tuple[str, MappingSettings]:
    name = part.name("mapping's name")
    routes: list[Route] = []
    for below in part.children("route"):
        route = _route(below, config.classes)
        for earlier in routes:
            if earlier.shadows(route):
                raise below.fault("path", f"never reached: {earlier.pattern.text} before it takes all of it")
        routes.append(route)
    if not routes:
        raise part.fault("route", "missing: nothing would be served")
    given = _defaults(MappingSettings)
    caller = part.child("caller")
    named: dict[str, Any] = {} if caller is None else {
        "caller": Source(caller.take("variable", text, "")),
        "callers_most": caller.take("most", whole(1, 100_000), given["callers_most"]),
        "callers_idle": caller.take("idle", positive_time, given["callers_idle"]),
    }  # fmt: skip
    passed = part.child("pass")
    names = tuple(text(raw) for raw in passed.args) if passed else ()
    if passed:
        passed.args = []
    tenant = _source(part, "tenant", given["tenant"])
    if tenant.default and config.tenants and tenant.default not in config.tenants:
        raise part.fault("tenant > default", f"{tenant.default!r} is no tenant")
    return name, MappingSettings(
        name=name,
        routes=tuple(routes),
        keyed=frozenset(n for n, c in enumerate(config.settings.classes) if c.repeat is Repeat.KEYED),
        tenants=config.tenants,
        tenant=tenant,
        key=_source(part, "key", given["key"]),
        left=_source(part, "time-left", given["left"], timed=True),
        retry=_source(part, "retry", given["retry"]),
        rank=_source(part, "rank", given["rank"]),
        row=_source(part, "row", given["row"]),
        work=_source(part, "work", given["work"], timed=True),
        footprint_kb=part.take("footprint", size, int(given["footprint_kb"] * 1024)) / 1024,
        passed=names,
        **named,
    )


def file(raw: Any) -> Path:
    """A file that is there."""
    path = Path(text(raw))
    if not path.is_file():
        raise ValueError(f"{raw!r} is no file")
    return path


def _tls(part: Part) -> Tls | None:
    below = part.child("tls")
    if below is None:
        return None
    asked = below.raw("client-ca") is not None
    authority = below.take("client-ca", file, None) if asked else None
    return Tls(below.take("certificate", file, None), below.take("key", file, None), authority)


def _consult(part: Part, config: Config) -> ConsultSettings:
    given = _defaults(ConsultSettings)
    shadow = part.child("shadow")
    names = [text(raw) for raw in shadow.args] if shadow else []
    for name in names:
        if name not in config.classes:
            raise part.fault("shadow", f"{name!r} is no class")
    if shadow:
        shadow.args = []
    settings = ConsultSettings(
        verdict=part.take("verdict", positive_time, given["verdict"]),
        margin=part.take("margin", time, given["margin"]),
        lease=part.take("lease", positive_time, given["lease"]),
        body_most=part.take("body-most", size, given["body_most"]),
        streams_most=part.take("streams", whole(1, 100_000), given["streams_most"]),
        bytes_most=part.take("bytes", size, given["bytes_most"]),
        fail_open=part.take("fail-open", flag, given["fail_open"]),
        shadow=frozenset(config.classes.index(name) for name in names),
    )
    if settings.margin >= settings.verdict:
        raise part.fault("margin", "leaves nothing of the verdict's time")
    return settings


def _listen(part: Part, mappings: Mapping[str, MappingSettings], config: Config) -> tuple[str, Listen]:
    name = part.name("listener's name")
    given = _defaults(Listen)
    protocol = part.take("protocol", word(PROTOCOLS), None)
    address = part.take("address", place, None)
    if protocol == "jsonrpc":
        return name, Listen(name, protocol, address, most=part.take("most", whole(), 0))
    mapping = part.take("mapping", text, None)
    if mapping not in mappings:
        raise part.fault("mapping", f"{mapping!r} is no mapping of this file")
    content_type = part.take("content-type", text, given["content_type"])
    if protocol == "extproc":
        consult = _consult(part, config)
        return name, Listen(
            name, protocol, address, mapping, content_type=content_type, consult=consult, tls=_tls(part)
        )
    if protocol == "subrequest":
        return name, Listen(
            name, protocol, address, mapping, content_type=content_type, consult=_consult(part, config),
            health=part.take("health", path_of, given["health"]),
            refuse_status=part.take("refuse-status", whole(400, 599), given["refuse_status"]),
        )  # fmt: skip
    return name, Listen(
        name,
        protocol,
        address,
        mapping,
        keep=part.take("keep", flag, given["keep"]),
        most=part.take("most", whole(), given["most"]),
        within=part.take("within", positive_time, given["within"]),
        unread=part.take("unread", positive_time, given["unread"]),
        block_most=part.take("block-most", size, given["block_most"]),
        body_most=part.take("body-most", size, given["body_most"]),
        health=part.take("health", path_of, given["health"]),
        load=part.take("load", path_of, given["load"]),
        content_type=content_type,
    )


def _pool_settings(part: Part) -> PoolSettings:
    given = _defaults(PoolSettings)

    def below(node: str, kinds: dict[str, tuple[str, Callable[[Any], Any]]]) -> dict[str, Any]:
        found = part.child(node)
        taken = {}
        for name, (key, read) in kinds.items():
            if found is None:
                part.note(f"{node} > {name}", given[key], "default")
            else:
                taken[key] = found.take(name, read, given[key])
        return taken

    values = below("limit", {
        "first": ("limit_first", number(1)), "least": ("limit_least", number(1)),
        "most": ("limit_most", number(1)), "tolerance": ("tolerance", number(1)),
    }) | below("eject", {
        "failures": ("eject_failures", whole(1)), "slow": ("eject_slow", number(1.1)),
        "part": ("eject_part", number(0, 1)), "first": ("eject_first", positive_time),
        "most": ("eject_most", positive_time),
    }) | below("tries", {
        "most": ("tries_most", whole(1, 10)), "part": ("tries_part", number(0, 1)),
        "reserve": ("tries_reserve", number(0)),
    }) | below("wait", {"time": ("wait", time), "most": ("waiting_most", whole(0))})  # fmt: skip
    for name in ("rise", "linger", "connect"):
        values[name] = part.take(name, time, given[name])
    settings = PoolSettings(**values)
    if not settings.limit_least <= settings.limit_first <= settings.limit_most:
        raise part.fault("limit", "first is not between least and most")
    return settings


def _pool(part: Part, config: Config) -> tuple[str, PoolConfig]:
    name = part.name("pool's name")
    servers: dict[str, Place] = {}
    listed = part.children("server")
    for below in listed:
        address = str(below.args.pop(0)) if below.args else ""
        try:
            servers[address] = place(address)
        except ValueError as error:
            raise below.fault("", str(error)) from None
        part.note("server", address, part.file)
    if not servers:
        raise part.fault("server", "missing")
    if len(servers) < len(listed):
        raise part.fault("server", "one is there twice")
    runs: dict[str, RunAs] = {}
    for below in part.children("runs"):
        cls = below.name("class")
        if cls not in config.classes:
            raise below.fault("", "no class of this name")
        if cls in runs:
            raise below.fault("", "is there twice")
        runs[cls] = RunAs(below.take("method", text, "POST"), below.take("path", path_of, f"/{cls}"))
    if not runs:
        raise part.fault("runs", "missing: no class would be run here")
    settings = _pool_settings(part)
    return name, PoolConfig(name, servers, runs, settings, part.take("result-most", size, 1 << 20))


def parse(source: str, file: str, platform: Config | None = None) -> tuple[Config, Operator]:
    """The configuration of a node; what the platform tells prevails."""
    try:
        document = parse_kdl(source)
    except ParseError as error:
        raise ConfigError(f"{file}: {error}") from None
    book: list[Origin] = []
    root = Part(Node("file", nodes=document.nodes), "", book, file)
    if platform is None:
        config = _standalone(root)
    else:
        config = platform
        for name in ("node", "work"):
            for part in root.children(name):
                part.note("", "not read", "the platform's configuration prevails")
                root.parts.remove(part)
        book.append(Origin("classes", ", ".join(platform.classes), "platform"))
    mappings = _unique((_mapping(part, config) for part in root.children("mapping")), root, "mapping")
    listens = _unique((_listen(part, mappings, config) for part in root.children("listen")), root, "listen")
    pools = _unique((_pool(part, config) for part in root.children("pool")), root, "pool")
    root.done()
    _check_whole(root, config, listens, pools, platform)
    return config, Operator(tuple(listens.values()), mappings, pools, tuple(book))


def _check_whole(
    root: Part,
    config: Config,
    listens: Mapping[str, Listen],
    pools: Mapping[str, PoolConfig],
    platform: Config | None,
) -> None:
    """What no part can see by itself."""
    run: dict[str, str] = {}
    for pool in pools.values():
        for cls in pool.runs:
            if cls in run:
                raise root.fault(f'pool "{pool.name}" > runs "{cls}"', f'pool "{run[cls]}" runs it already')
            run[cls] = pool.name
    if platform is None:
        if not listens:
            raise root.fault("listen", "missing: nobody could ask anything")
        proxied = any(listen.protocol in CONSULTED for listen in listens.values())
        for cls in config.classes:
            if cls not in run and not proxied:
                raise root.fault(f'work > class "{cls}"', "no pool runs it, and no proxy")
    addresses = [listen.address for listen in listens.values()] + [platform.listen if platform else None]
    for listen in listens.values():
        if addresses.count(listen.address) > 1:
            raise root.fault(f'listen "{listen.name}" address', "is there twice")


def load(path: Path, platform: Config | None = None) -> tuple[Config, Operator]:
    """Read and check the operator's file."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise ConfigError(f"{path}: cannot be read: {error.strerror}") from None
    if len(data) > TEXT_MOST:
        raise ConfigError(f"{path}: over {TEXT_MOST} bytes")
    try:
        return parse(data.decode(), str(path), platform)
    except UnicodeDecodeError:
        raise ConfigError(f"{path}: not UTF-8") from None
