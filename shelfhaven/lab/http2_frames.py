"""HTTP/2 frames of gRPC streams, for a client that ignores all flow control and limits of the protocol.

Header fields are encoded as literals that are not indexed, so that each stream has the same ones.
"""

from __future__ import annotations

import struct
from enum import IntEnum

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
END_STREAM = 1  # flag of a DATA frame
END_HEADERS = 4  # flag of a HEADERS frame
ACK = 1  # flag of a SETTINGS frame
CANCEL = 8  # error code
INITIAL_WINDOW_BYTES = 65_535
MAX_WINDOW_BYTES = 2**31 - 1
NOT_INDEXED = b"\0"  # precedes a literal header field
UNCOMPRESSED = b"\0"  # precedes the length of a gRPC message
CONNECTION = 0  # the stream number of frames about the connection


class FrameType(IntEnum):
    """Types of frames that a client sends."""

    DATA = 0
    HEADERS = 1
    RST_STREAM = 3
    SETTINGS = 4
    WINDOW_UPDATE = 8


def connection_start() -> bytes:
    """Return what a client sends first; it permits the peer to send all that it likes."""
    window_update = struct.pack(">I", MAX_WINDOW_BYTES - INITIAL_WINDOW_BYTES)
    return b"".join(
        [
            PREFACE,
            _frame(FrameType.SETTINGS, 0, CONNECTION, b""),
            _frame(FrameType.WINDOW_UPDATE, 0, CONNECTION, window_update),
            _frame(FrameType.SETTINGS, ACK, CONNECTION, b""),
        ]
    )


def grpc_stream(stream: int, method_path: str, message: bytes, *, is_cancelled: bool) -> bytes:
    """Return the frames of a stream with one message, which the client ends, or cancels at once.

    `stream` is the number of the stream: odd, and larger than those before it.
    """
    fields = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", method_path),
        (":authority", "node"),
        ("te", "trailers"),
        ("content-type", "application/grpc"),
    ]
    block = b"".join(NOT_INDEXED + _literal(name) + _literal(value) for name, value in fields)
    data = UNCOMPRESSED + struct.pack(">I", len(message)) + message
    frames = _frame(FrameType.HEADERS, END_HEADERS, stream, block)
    if is_cancelled:
        frames += _frame(FrameType.DATA, 0, stream, data)
        return frames + _frame(FrameType.RST_STREAM, 0, stream, struct.pack(">I", CANCEL))
    return frames + _frame(FrameType.DATA, END_STREAM, stream, data)


def _literal(text: str) -> bytes:
    return bytes([len(text)]) + text.encode()


def _frame(kind: FrameType, flags: int, stream: int, payload: bytes) -> bytes:
    length = struct.pack(">I", len(payload))[1:]
    return length + bytes([kind, flags]) + struct.pack(">I", stream) + payload
