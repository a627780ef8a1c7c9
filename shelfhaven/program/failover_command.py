"""Runs the `shelfhaven zones` commands, which show and override the traffic policy.

This module opens the consensus store and requests the node's view of the zones; `failover/administration.py`
makes the changes and formats the output.
"""

from __future__ import annotations

from shelfhaven.command_output import CommandOutput
from shelfhaven.consensus.store import ConsensusError
from shelfhaven.failover import administration
from shelfhaven.failover.administration import ExitCode, ZoneCommand
from shelfhaven.failover.node_view import NODE_VIEW_PATH, NodeView, decode_node_view
from shelfhaven.membership.peer_rpc import PeerRpc, PeerRpcError
from shelfhaven.membership.settings import MembershipConfig
from shelfhaven.program.component import Files
from shelfhaven.program.consensus import command_line_store


async def run_command(files: Files, command: ZoneCommand) -> CommandOutput:
    """Run a `shelfhaven zones` command and return its output."""
    assert files.operator
    assert files.operator.membership
    membership = files.operator.membership
    try:
        async with command_line_store(files) as (store, peer_rpc):
            view = await _read_node_view(membership, peer_rpc)
            return await administration.run_command(store, view, command)
    except (ConsensusError, ValueError) as error:
        return CommandOutput([f"no answer from the consensus store: {error}"], ExitCode.NO_ANSWER)


async def _read_node_view(membership: MembershipConfig, peer_rpc: PeerRpc) -> NodeView:
    """Return the node's view of the zones; an empty view if it gives no valid answer."""
    node = str(membership.advertise)
    try:
        answer = await peer_rpc.post(node, "", NODE_VIEW_PATH, b"{}", membership.peer_timeout)
        return decode_node_view(answer)
    except (PeerRpcError, ValueError, KeyError, TypeError) as error:
        peer_rpc.log.event("peer_unanswered", peer=node, path=NODE_VIEW_PATH, error=str(error))
        return NodeView()
