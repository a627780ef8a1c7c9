"""Whether the peer of a socket is still there, although data that it has sent is unread.

Reading tells that only after the last byte: data that came before the end of a connection is delivered first.
"""

from __future__ import annotations

import select
import socket
from enum import Enum

ALL_GONE = select.POLLERR | select.POLLHUP  # a reset, or both directions ended


class PeerPresence(Enum):
    """What is known of the peer of a socket."""

    PRESENT = "present"
    HALF_CLOSED = "half closed"  # it sends no more; it may have closed the connection or still read answers
    GONE = "gone"


def peer_presence(sock: socket.socket) -> PeerPresence:
    """Return whether the peer is there, without reading from the socket."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)  # errors and hang-ups are always reported
    events = poll.poll(0)
    if not events:
        return PeerPresence.PRESENT
    _, flags = events[0]
    return PeerPresence.GONE if flags & ALL_GONE else PeerPresence.HALF_CLOSED
