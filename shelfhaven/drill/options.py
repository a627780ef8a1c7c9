"""From the wire's settings (path=value lines) to `Settings`.  Unknown keys are ignored."""

from __future__ import annotations

from enum import Enum
from typing import TypeVar

from shelfhaven.decision.interface import (
    Advert,
    Below,
    ClassSettings,
    Repeat,
    Settings,
    Stop,
    TenantSettings,
)

E = TypeVar("E", bound=Enum)

REPEATS = {"repeatable": Repeat.SAFE, "by_key": Repeat.KEYED, "once": Repeat.UNSAFE}
STOPS = {"silent": Stop.NONE, "abort": Stop.ABORT, "suspend": Stop.PAUSE}
ADVERTS = {
    "silent": Advert.NONE,
    "threshold": Advert.LEVEL,
    "window": Advert.WINDOW,
    "share_of": Advert.WEIGHT,
}
BELOWS = {"silent": Below.NONE, "shared": Below.SHARED, "tier": Below.TIER}


class Options:
    """The pairs of one start, read by path, with a default for what is absent."""

    def __init__(self, text: str) -> None:
        pairs = (line.partition("=") for line in text.splitlines())
        self.pairs = {path.strip(): value.strip() for path, _, value in pairs if path.strip()}

    def number(self, path: str, default: float = 0.0) -> float:
        return float(self.pairs.get(path) or default)

    def flag(self, path: str, default: bool = False) -> bool:
        return self.pairs.get(path, str(default)).lower() in ("true", "1")

    def items(self, path: str) -> list[str]:
        return [item for item in self.pairs.get(path, "").split(",") if item]

    def word(self, path: str, known: dict[str, E], default: str) -> E:
        return known.get(self.pairs.get(path, default), known[default])

    def count(self, path: str) -> int:
        return int(self.number(f"{path}.count"))


def _class(options: Options, number: int) -> ClassSettings:
    path = f"classes.{number}"
    calls = options.items("domain.class-calls")
    skips = options.items("domain.class-skip-worth")
    deadline = options.number(f"{path}.deadline")
    return ClassSettings(
        aim=options.number(f"{path}.on-time", deadline),
        deadline=deadline,
        worth=options.number(f"{path}.points", 1.0),
        late_worth=options.number(f"{path}.late-worth"),
        repeat=options.word(f"{path}.repeat", REPEATS, "once"),
        window=options.number(f"{path}.key-ttl"),
        calls=number < len(calls) and calls[number] == "true",
        skip_worth=float(skips[number]) if number < len(skips) else 0.0,
        aim_stretch=options.number(f"{path}.aim-stretch"),
    )


def parse(text: str) -> Settings:
    """Settings of one start; what makes no sense is refused by the Controller."""
    o = Options(text)
    return Settings(
        cores=int(o.number("domain.cores")),
        memory_kb=o.number("domain.memory-kb"),
        classes=tuple(_class(o, n) for n in range(o.count("classes"))),
        tenants=tuple(
            TenantSettings(o.number(f"tenants.{n}.quota-per-s"), o.number(f"tenants.{n}.share"))
            for n in range(o.count("tenants"))
        ),
        servers=int(o.number("replicas-of-me", 1)),
        callers=int(o.number("domain.upstreams", 1)),
        tier=int(o.number("tier")),
        tick=o.number("tick"),
        run_factor=o.number("domain.run-factor", 1.0),
        key_kb=o.number("domain.key-kb"),
        cold=o.flag("domain.cold"),
        cold_from=o.number("invariants.cold-from", 1.0),
        warm_up=o.number("invariants.warm-up"),
        fall_multiple=o.number("invariants.tip-multiple", 3.0),
        fall_over=o.number("invariants.overload-for", 2.0),
        drain_grace=o.number("invariants.stop-sending-within"),
        answer_slack=o.number("invariants.answer-slack"),
        passes_deadline=o.flag("domain.passes-deadline"),
        tells_gone=o.flag("domain.tells-gone"),
        marks_retry=o.flag("callers.marks-retry"),
        worth_by_work=o.pairs.get("value-by") == "work",
        over_share_worth=o.number("over-share-worth", 1.0),
        retry_after=o.flag("ceilings.retry-after", True),
        max_retry_after=o.number("ceilings.max-retry-after", 1.0),
        stop=o.word("domain.stop-mode", STOPS, "silent"),
        advert=o.word("domain.advert", ADVERTS, "silent"),
        readiness=o.flag("domain.readiness"),
        below=o.word("domain.downstream", BELOWS, "silent"),
        calls_out=o.number("domain.calls-out"),
        calls_over=o.number("domain.calls-over"),
        linger=o.number("domain.linger"),
        idle=o.number("domain.idle"),
        connection_price=o.number("penalties.connection"),
        handshake_price=o.number("penalties.handshake"),
        gauges=tuple(o.items("domain.gauges")),
    )
