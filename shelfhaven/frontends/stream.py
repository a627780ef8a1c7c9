"""A Tornado stream that can leave its socket open when it ends.

This module only keeps the socket open; `connection.py` decides when a connection ends and closes the socket.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

from tornado.iostream import IOStream

CHUNK_BYTES = 64 * 1024  # in which unsent bytes are copied
READ_CHUNK_BYTES = 16 * 1024  # at most, in one read: as much as each of hundreds of connections may keep


class DetachableStream(IOStream):
    """An IOStream whose socket stays open when the peer ends its stream, or after `detach`.

    Tornado closes the descriptor when it reads the end of the stream.  In TCP that ends one direction only: a
    peer that has shut down its sending direction may still wait for answers.

    Attributes:
        eof_received: whether the end of the peer's stream has been read.
        detached_socket: the socket, once this stream has ended without closing it.
        unsent: the bytes that had been written but not sent when the socket was detached.
        on_received: called in the next iteration of the event loop after bytes were received.
    """

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, read_chunk_size=READ_CHUNK_BYTES)
        self.eof_received = False
        self.detached_socket: socket.socket | None = None
        self.unsent = b""
        self.on_received: Callable[[], None] | None = None
        self._detach_on_close = False

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read as IOStream does, and record the end of the stream."""
        count = super().read_from_fd(buf)
        if count == 0:
            self.eof_received = self._detach_on_close = True
        elif count and self.on_received:
            self.io_loop.add_callback(self.on_received)
        return count

    @property
    def unread_bytes(self) -> int:
        """Number of bytes that have been received and that nobody has read from this stream."""
        return self._read_buffer_size

    def detach_on_close(self) -> None:
        """Leave the socket open whatever closes the stream from now on."""
        self._detach_on_close = True

    def detach(self) -> None:
        """End the stream and leave its socket open; do nothing if the stream is closed."""
        self._detach_on_close = True
        self.close()

    def close_fd(self) -> None:
        """Close the descriptor, or detach the socket."""
        if not self._detach_on_close:
            super().close_fd()
            return
        self.unsent = self._take_unsent()
        self.detached_socket = self.socket
        self.socket = None  # type: ignore[assignment]

    def _take_unsent(self) -> bytes:
        buffer, chunks = self._write_buffer, []
        while len(buffer):
            chunk = bytes(buffer.peek(CHUNK_BYTES))
            buffer.advance(len(chunk))
            chunks.append(chunk)
        return b"".join(chunks)
