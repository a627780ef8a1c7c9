"""Operator commands: show the traffic policy, and divert or restore zones manually.

Defines what each command changes and prints. A change is written only if the operator has confirmed it, and
only over the policy that was read, since the controller or another operator may have written in the meantime.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import Enum, IntEnum
from typing import NamedTuple

from shelfhaven.command_output import CommandOutput
from shelfhaven.consensus.store import ConsensusError, ConsensusStore, OutcomeUnknownError
from shelfhaven.failover.controller_task import read_policy, write_policy
from shelfhaven.failover.node_view import NodeView
from shelfhaven.failover.traffic_policy import FailoverCause, TrafficPolicy, ZonePolicy, ZoneState

MAX_ATTEMPTS = 5  # write attempts; the controller may renew the policy between them


class ExitCode(IntEnum):
    """The exit codes of the zone commands."""

    DONE = 0
    NOT_POSSIBLE = 2
    NO_ANSWER = 3
    CONFLICT = 4


class PlannedChange(NamedTuple):
    """The policy that a command would write, and the lines that it prints."""

    policy: TrafficPolicy | None  # None: the change is not possible
    lines: list[str]


class _DiversionTargets(NamedTuple):
    """The destinations of a zone's traffic and the concurrent runs that they have spare capacity for."""

    destinations: dict[str, float]  # by zone; the fractions sum to 1
    capacity: float


class ZoneAction(Enum):
    """The actions of the zone commands; the values are their names on the command line."""

    SHOW = "show"
    DRAIN = "drain"
    PIN = "pin"  # keep the controller from changing the zone, with a given fraction diverted
    RESTORE = "restore"
    FORGET = "forget"


@dataclass(frozen=True, slots=True)
class ZoneCommand:
    """A command from an operator. `diverted_fraction` is used only by `drain` and `pin`."""

    action: ZoneAction
    zone: str = ""
    diverted_fraction: float = 0.0
    confirmed: bool = False


def format_policy(policy: TrafficPolicy, view: NodeView) -> list[str]:
    """Format a policy: its origin, a table of the zones, and a note if there are no zone figures."""
    decided_by = policy.decided_by or "no node yet"
    lines = [f"epoch {policy.epoch}, decided by {decided_by}, fencing token {policy.fencing_token}"]
    if policy.halt_reason:
        lines.append(f"halted: {policy.halt_reason}")
    lines.append(f"{'zone':12} {'standing':16} {'away':>5} {'nodes':>6} {'load':>8} {'room':>8}  why")
    lines += [_format_zone(zone, policy.zone_policy(zone), view) for zone in _known_zones(policy, view)]
    if view.zones is None:
        lines.append(f"no zone figures: {view.node or 'the node'} is unhealthy or did not answer")
    return lines


def divert_zone(zone: str, diverted_fraction: float, policy: TrafficPolicy, view: NodeView) -> PlannedChange:
    """Divert a fraction of a zone's traffic, and pin the zone so that the controller leaves it alone."""
    policy = replace(policy, zones={other: policy.zone_policy(other) for other in _known_zones(policy, view)})
    targets = _diversion_targets(zone, policy, view)
    destinations = targets.destinations
    if diverted_fraction > 0 and not destinations:
        return PlannedChange(None, [f"{zone}: no other zone is open"])
    before = policy.zone_policy(zone)
    load = before.load if before.diverted_fraction else view.figures(zone).load
    pinned = ZonePolicy(
        state=_state_for(diverted_fraction),
        cause=FailoverCause.OPERATORS,
        diverted_fraction=diverted_fraction,
        destinations=destinations if diverted_fraction else {},
        load=load,
        pinned_by="operators",
        reason="by hand",
    )
    changed = policy.with_zone_policy(zone, pinned)
    if violations := changed.violations():
        return PlannedChange(None, violations)
    lines = [f"{zone}: {diverted_fraction:.2f} of its traffic is diverted until an operator restores it"]
    if diverted_fraction > 0:
        lines += _describe_diversion(load * diverted_fraction, targets)
    else:
        lines.append("the controller will not divert its traffic")
    return PlannedChange(changed, lines)


def restore_zone(zone: str, policy: TrafficPolicy) -> PlannedChange:
    """Unpin a zone, so that the controller manages it again."""
    before = policy.zone_policy(zone)
    if not before.pinned_by:
        return PlannedChange(None, [f"{zone}: not pinned; the controller already manages it"])
    restored = replace(
        before,
        state=ZoneState.RECOVERING if before.diverted_fraction else ZoneState.OPEN,
        cause=FailoverCause.NONE,
        pinned_by="",
        reason="given back by operators",
    )
    effect = "no traffic is diverted"
    if before.diverted_fraction:
        effect = f"{before.diverted_fraction:.2f} of its traffic returns in steps"
    lines = [f"{zone}: {effect}; the controller manages it from now on"]
    return PlannedChange(policy.with_zone_policy(zone, restored), lines)


def forget_zone(zone: str, policy: TrafficPolicy, view: NodeView) -> PlannedChange:
    """Remove a zone that no longer exists from the policy."""
    if zone not in policy.zones:
        return PlannedChange(None, [f"{zone}: the traffic policy has no entry for it"])
    figures = view.figures(zone)
    if figures.listed_nodes or figures.known_nodes:
        return PlannedChange(None, [f"{zone}: it still has nodes; drain it and stop them first"])
    zones = {other: zone_policy for other, zone_policy in policy.zones.items() if other != zone}
    changed = replace(policy, epoch=policy.epoch + 1, renewal=0, zones=zones)
    return PlannedChange(
        changed, [f"{zone}: removed from the traffic policy; if it comes back, it is open immediately"]
    )


async def apply_change(store: ConsensusStore, changed: TrafficPolicy, revision: int) -> CommandOutput:
    """Write a policy in place of the one that was read at `revision`.

    The controller renews the policy periodically. If the epoch is still the one that was read, nothing has
    been decided in the meantime, and the write is repeated over the renewed policy.
    """
    try:
        for _ in range(MAX_ATTEMPTS):
            if await write_policy(store, replace(changed, decided_by="operators"), revision):
                return CommandOutput([f"done: epoch {changed.epoch}"], ExitCode.DONE)
            stored, revision = await read_policy(store)
            if stored.epoch != changed.epoch - 1:
                break
            changed = replace(changed, fencing_token=stored.fencing_token)
    except OutcomeUnknownError as error:
        lines = [f"the outcome is unknown: {error}; check it with 'show'"]
        return CommandOutput(lines, ExitCode.NO_ANSWER)
    except ConsensusError as error:
        return CommandOutput([f"not applied: {error}"], ExitCode.NO_ANSWER)
    lines = ["the traffic policy was changed in the meantime; nothing was applied"]
    return CommandOutput(lines, ExitCode.CONFLICT)


async def run_command(store: ConsensusStore, view: NodeView, command: ZoneCommand) -> CommandOutput:
    """Execute an operator's command. Raises ConsensusError, ValueError."""
    policy, revision = await read_policy(store)
    if command.action is ZoneAction.SHOW:
        return CommandOutput(format_policy(policy, view), ExitCode.DONE)
    known = _known_zones(policy, view)
    if command.zone not in known:
        lines = [f"unknown zone {command.zone}; known zones: {', '.join(known) or 'none'}"]
        return CommandOutput(lines, ExitCode.NOT_POSSIBLE)
    changed, lines = _plan(command, policy, view)
    if changed is None:
        return CommandOutput(lines, ExitCode.NOT_POSSIBLE)
    if not command.confirmed:
        return CommandOutput([*lines, "nothing was changed; use --yes to apply this"], ExitCode.DONE)
    applied = await apply_change(store, changed, revision)
    return CommandOutput([*lines, *applied.lines], applied.exit_code)


def _plan(command: ZoneCommand, policy: TrafficPolicy, view: NodeView) -> PlannedChange:
    match command.action:
        case ZoneAction.RESTORE:
            return restore_zone(command.zone, policy)
        case ZoneAction.FORGET:
            return forget_zone(command.zone, policy, view)
        case _:
            return divert_zone(command.zone, command.diverted_fraction, policy, view)


def _known_zones(policy: TrafficPolicy, view: NodeView) -> list[str]:
    return sorted({*policy.zones, *view.zone_names()})


def _format_zone(zone: str, policy: ZonePolicy, view: NodeView) -> str:
    destinations = _format_fractions(policy.destinations)
    goes_to = f"to {destinations}" if destinations and policy.diverted_fraction else ""
    by_class = ", ".join(
        f"{fraction:.2f} of {cls}" for cls, fraction in sorted(policy.diverted_by_class.items())
    )
    why = " ".join(filter(None, (policy.cause.value, policy.reason, by_class, goes_to)))
    pinned = f" (pinned by {policy.pinned_by})" if policy.pinned_by else ""
    figures = view.figures(zone)
    return (
        f"{zone:12} {policy.state.value:16} {policy.diverted_fraction:5.2f} {figures.listed_nodes:6.0f} "
        f"{figures.load:8.1f} {figures.capacity:8.1f}  {why}{pinned}"
    )


def _format_fractions(fractions: Mapping[str, float]) -> str:
    return ", ".join(f"{zone} {fraction:.2f}" for zone, fraction in sorted(fractions.items()))


def _state_for(diverted_fraction: float) -> ZoneState:
    if diverted_fraction >= 1:
        return ZoneState.CLOSED
    return ZoneState.PARTIAL if diverted_fraction > 0 else ZoneState.OPEN


def _diversion_targets(zone: str, policy: TrafficPolicy, view: NodeView) -> _DiversionTargets:
    others = [
        other for other in _known_zones(policy, view)
        if other != zone and policy.zone_policy(other).diverted_fraction < 1
    ]  # fmt: skip
    figures = {other: view.figures(other) for other in others}
    spare = {
        other: max(0.0, zone_figures.capacity - zone_figures.load) for other, zone_figures in figures.items()
    }
    total = sum(spare.values())
    if total > 0:
        return _DiversionTargets({other: runs / total for other, runs in spare.items() if runs > 0}, total)
    return _DiversionTargets({other: 1 / len(others) for other in others}, 0.0)


def _describe_diversion(load: float, targets: _DiversionTargets) -> list[str]:
    capacity = targets.capacity
    to = ", ".join(f"{zone} {fraction:.2f}" for zone, fraction in targets.destinations.items())
    lines = [f"{load:.1f} concurrent runs go to {to}, which have spare capacity for {capacity:.1f}"]
    if load > capacity:
        lines.append("this exceeds their spare capacity: they will reject the excess")
    return lines
