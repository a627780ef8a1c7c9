"""Builds the controller's settings from options named as in the platform's documentation.

No default may depend on the load or be tuned for it.  Unknown keys are ignored.
"""

from __future__ import annotations

from dataclasses import replace

from shelfhaven.config.options import Options
from shelfhaven.decision.settings import (
    CancelMode,
    ClassSettings,
    DownstreamKind,
    LoadAdvertisement,
    RetrySafety,
    Settings,
    TenantSettings,
)

RETRY_SAFETIES = {
    "repeatable": RetrySafety.IDEMPOTENT,
    "by_key": RetrySafety.IDEMPOTENCY_KEY,
    "once": RetrySafety.NOT_IDEMPOTENT,
}
CANCEL_MODES = {"silent": CancelMode.NONE, "abort": CancelMode.ABORT, "suspend": CancelMode.SUSPEND}
LOAD_ADVERTISEMENTS = {
    "silent": LoadAdvertisement.NONE,
    "threshold": LoadAdvertisement.LEVEL,
    "window": LoadAdvertisement.WINDOW,
    "share_of": LoadAdvertisement.WEIGHT,
}
DOWNSTREAM_KINDS = {
    "silent": DownstreamKind.NONE,
    "shared": DownstreamKind.SHARED,
    "tier": DownstreamKind.TIER,
}
WEIGHT_BY_WORK = {"work": True, "request": False}


def read_settings(options: Options) -> Settings:
    """Return the controller's settings.

    Raises:
        ConfigError: a value is invalid; the error names its path.
    """
    settings = _read_server(options)
    settings = _with_lifecycle(settings, options)
    settings = _with_callers(settings, options)
    settings = _with_downstream(settings, options)
    return _with_connections(settings, options)


def _read_server(options: Options) -> Settings:
    """Return settings with the server's resources, its classes and tenants, and its place in the fleet."""
    return Settings(
        cores=int(options.number("domain.cores")),
        memory_kb=options.number("domain.memory-kb"),
        classes=tuple(_read_class(options, index) for index in range(options.count("classes"))),
        tenants=tuple(_read_tenant(options, index) for index in range(options.count("tenants"))),
        replicas=int(options.number("replicas-of-me", 1)),
        callers=int(options.number("domain.upstreams", 1)),
        tier=int(options.number("tier")),
        tick=options.number("tick"),
        running_memory_factor=options.number("domain.run-factor", 1.0),
        key_kb=options.number("domain.key-kb"),
    )


def _with_lifecycle(settings: Settings, options: Options) -> Settings:
    """Add how the server warms up, when overload crashes it, and how it drains."""
    return replace(
        settings,
        starts_cold=options.flag("domain.cold"),
        cold_speed=options.fraction("invariants.cold-from", 1.0),
        warm_up=options.number("invariants.warm-up"),
        crash_concurrency_factor=options.number("invariants.tip-multiple", 3.0),
        crash_window=options.number("invariants.overload-for", 2.0),
        drain_grace=options.number("invariants.stop-sending-within"),
        answer_slack=options.number("invariants.answer-slack"),
    )


def _with_callers(settings: Settings, options: Options) -> Settings:
    """Add what callers tell the server, what their requests are worth, and what the server tells them."""
    return replace(
        settings,
        passes_deadline=options.flag("domain.passes-deadline"),
        notifies_cancellation=options.flag("domain.tells-gone"),
        marks_retries=options.flag("callers.marks-retry"),
        weight_by_work=options.choice("value-by", WEIGHT_BY_WORK, "request"),
        over_quota_weight=options.fraction("over-share-worth", 1.0),
        allows_retry_after=options.flag("ceilings.retry-after", True),
        max_retry_after=options.number("ceilings.max-retry-after", 1.0),
        cancel_mode=options.choice("domain.stop-mode", CANCEL_MODES, "silent"),
        load_advertisement=options.choice("domain.advert", LOAD_ADVERTISEMENTS, "silent"),
        readiness=options.flag("domain.readiness"),
    )


def _with_downstream(settings: Settings, options: Options) -> Settings:
    """Add the capacity and behaviour of the service that runs call."""
    return replace(
        settings,
        downstream=options.choice("domain.downstream", DOWNSTREAM_KINDS, "silent"),
        downstream_capacity=options.number("domain.calls-out"),
        downstream_window=options.number("domain.calls-over"),
        abandoned_call_occupancy=options.number("domain.linger"),
    )


def _with_connections(settings: Settings, options: Options) -> Settings:
    """Add the cost of connections, and the names of the gauges that are sampled for timers."""
    return replace(
        settings,
        connection_idle_timeout=options.number("domain.idle"),
        connection_cost=options.number("penalties.connection"),
        handshake_cost=options.number("penalties.handshake"),
        gauges=tuple(options.items("domain.gauges")),
    )


def _read_class(options: Options, index: int) -> ClassSettings:
    path = f"classes.{index}"
    deadline = options.number(f"{path}.deadline")
    return ClassSettings(
        latency_objective=options.number(f"{path}.on-time", deadline),
        deadline=deadline,
        priority_weight=options.number(f"{path}.points", 1.0),
        late_weight=options.fraction(f"{path}.late-worth"),
        retry_safety=options.choice(f"{path}.repeat", RETRY_SAFETIES, "once"),
        key_ttl=options.number(f"{path}.key-ttl"),
        calls_downstream=options.item_flag("domain.class-calls", index),
        weight_without_call=options.item_fraction("domain.class-skip-worth", index),
        objective_stretch=options.number(f"{path}.aim-stretch"),
    )


def _read_tenant(options: Options, index: int) -> TenantSettings:
    path = f"tenants.{index}"
    return TenantSettings(
        quota_per_s=options.number(f"{path}.quota-per-s"), share=options.number(f"{path}.share")
    )


def parse_lines(text: str) -> Settings:
    """Parse the settings that the simulator sends when it starts, as lines of `path=value`.

    Each value is checked by itself; the controller checks whether the values are consistent.
    """
    pairs = (line.partition("=") for line in text.splitlines())
    return read_settings(Options({path.strip(): value.strip() for path, _, value in pairs if path.strip()}))
