"""Runs the `shelfhaven duties` commands, which list, show, assign and disable singleton tasks.

This module opens the consensus store and requests the node's endpoint list; `election/administration.py`
makes the changes and formats the output.
"""

from __future__ import annotations

from collections.abc import Sequence

from shelfhaven.command_output import CommandOutput
from shelfhaven.consensus.store import ConsensusError, ConsensusStore
from shelfhaven.election import administration
from shelfhaven.election.administration import TaskStatus
from shelfhaven.election.candidate_ranking import (
    NO_CANDIDATES,
    CandidateNode,
    CandidateRanking,
    rank_candidates,
)
from shelfhaven.membership.endpoint_registry import nodes_of
from shelfhaven.membership.list_version import NO_LIST
from shelfhaven.membership.peer_rpc import PeerRpc, PeerRpcError
from shelfhaven.operator_config.singleton_tasks import SingletonTasksConfig
from shelfhaven.program.component import Files
from shelfhaven.program.consensus import command_line_store

EXIT_BAD_NODE = 2


async def run_command(files: Files, name: str, command: str, node: str, confirmed: bool) -> CommandOutput:
    """Run `list`, `show`, `give` or `take-away` and return its output.

    `name` is the task, "" for all tasks (`list` only). `node` is the node to which `give` assigns it, "" for
    the first candidate. A change that is not `confirmed` is only described.
    """
    config = _config(files)
    try:
        async with command_line_store(files) as (store, peer_rpc):
            names = [name] if name else sorted(config.tasks)
            statuses = await administration.read_statuses(store, names)
            if command == "list":
                return CommandOutput(administration.format_table(statuses))
            (status,) = statuses
            if command == "take-away":
                return await _apply_or_describe(store, administration.plan_disabling(status), confirmed)
            rankings = rank_candidates(config.zone_by_task(), await _candidates(files, peer_rpc))
            ranking = rankings.get(name, NO_CANDIDATES)
            if command == "show":
                return CommandOutput(administration.format_detail(status, ranking))
            return await _assign(store, status, node, ranking, confirmed)
    except ConsensusError as error:
        return CommandOutput(
            [f"no answer from the consensus store: {error}"], administration.EXIT_STORE_UNREACHABLE
        )


async def _assign(
    store: ConsensusStore, status: TaskStatus, node: str, ranking: CandidateRanking, confirmed: bool
) -> CommandOutput:
    try:
        change = administration.plan_assignment(status, node, ranking)
    except administration.NotACandidateError as error:
        return CommandOutput([str(error)], EXIT_BAD_NODE)
    return await _apply_or_describe(store, change, confirmed)


async def _apply_or_describe(
    store: ConsensusStore, change: administration.PlannedChange, confirmed: bool
) -> CommandOutput:
    if not confirmed:
        return CommandOutput([change.description, "nothing was changed; use --yes to apply this"])
    output = await administration.apply_change(store, change)
    return CommandOutput([change.description, *output.lines], output.exit_code)


def _config(files: Files) -> SingletonTasksConfig:
    assert files.operator
    assert files.operator.singleton_tasks
    return files.operator.singleton_tasks


async def _candidates(files: Files, peer_rpc: PeerRpc) -> Sequence[CandidateNode]:
    """Return the nodes that may lead, with their zones.

    With a list service these are the nodes of the running node's endpoint list, none if it does not answer;
    without one, the members of the store.
    """
    assert files.operator
    assert files.operator.membership
    membership = files.operator.membership
    if membership.service is None:
        return [CandidateNode(member, membership.zone) for member in _config(files).store.members]
    try:
        answer = await peer_rpc.poll(str(membership.advertise), "", NO_LIST, False)
    except PeerRpcError:
        return []
    return [CandidateNode(node.name, node.zone) for node in nodes_of(answer.snapshot.items)]
