"""Read-only command-line output of a running node's endpoint list."""

from __future__ import annotations

import math
import sys

from shelfhaven.command_output import CommandOutput
from shelfhaven.membership.endpoint_registry import NODE_KEY_PREFIX, address_of
from shelfhaven.membership.list_version import NO_LIST, ListSnapshot, ListVersion
from shelfhaven.membership.peer_rpc import PeerRpc, PeerRpcError
from shelfhaven.membership.settings import MembershipConfig
from shelfhaven.membership.snapshot_codec import PeerAnswer
from shelfhaven.server.log import Log

EXIT_UNREACHABLE = 3


def empty_answer(_peer: str, _since: ListVersion, _with_backends: bool) -> PeerAnswer:
    """Answer polls in a process that has no list of its own and only polls others."""
    return PeerAnswer(ListSnapshot(NO_LIST, math.inf, {}), False)


async def describe_list(config: MembershipConfig, address: str) -> CommandOutput:
    """Describe the list of the peer at an address, by default of the node that the configuration is for."""
    peer = address or str(config.advertise)
    log = Log("asking", sys.stderr.fileno())
    peer_rpc = PeerRpc(config.listen, config.secret, config.peer_timeout, empty_answer, log)
    try:
        # The empty own address keeps the polled node from remembering this process as a peer.
        answer = await peer_rpc.poll(peer, "", NO_LIST, False)
    except PeerRpcError as error:
        if error.retry_after:
            return CommandOutput(
                [f"{peer} refuses polls for the next {error.retry_after:g} s"], EXIT_UNREACHABLE
            )
        return CommandOutput(
            [f"{peer} sent no valid answer: it is unreachable or uses another secret"], EXIT_UNREACHABLE
        )
    finally:
        peer_rpc.client.close()
    return CommandOutput(format_answer(answer))


def format_answer(answer: PeerAnswer) -> list[str]:
    """Format an answer as text: a summary, the nodes sorted by zone, and the other entries."""
    snapshot = answer.snapshot
    version = snapshot.version
    if not version.store:
        return ["no endpoint list yet"]
    age = f"{snapshot.age:.0f} s ago" if math.isfinite(snapshot.age) else "never"
    nodes = sorted(key for key in snapshot.items if key.startswith(NODE_KEY_PREFIX))
    others = sorted(key for key in snapshot.items if not key.startswith(NODE_KEY_PREFIX))
    warm = "warm" if answer.warm else "cold"
    return [
        f"era {version.era}, revision {version.revision} of {version.store}, confirmed by the service {age}",
        f"{len(nodes)} nodes, {len(others)} other entries; the polled node is {warm}",
        *(_node_line(key, snapshot.items[key].value) for key in nodes),
        *(f"{key:37} {snapshot.items[key].value}" for key in others),
    ]


def _node_line(key: str, value: str) -> str:
    zone, _, name = key.removeprefix(NODE_KEY_PREFIX).partition("/")
    return f"{zone:12} {name:24} {address_of(value)}"
