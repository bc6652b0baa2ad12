"""Received bytes that are not parsed yet, and the buffer into which all connections read."""

from __future__ import annotations

from collections import deque

READ_SIZE = 1 << 16  # most bytes that one read takes
SMALL_PIECE_BYTES = 4096  # smaller pieces are joined, so that single bytes do not cost an object each

# Reads of the event loop end before the next one begins, so that one buffer serves all connections.
READ_BUFFER = bytearray(READ_SIZE)
READ_VIEW = memoryview(READ_BUFFER)


class InputBuffer:
    """The unparsed bytes of a connection: `data` from `position` on, then pieces that came after it.

    The pieces are joined with `data` one at a time, when the parser needs them: joining all of a long input
    with each read would copy it again and again.
    """

    __slots__ = ("data", "position", "pieces", "piece_bytes")

    def __init__(self) -> None:
        self.data = b""
        self.position = 0
        self.pieces: deque[bytes] = deque()
        self.piece_bytes = 0  # total size of `pieces`

    def __bool__(self) -> bool:
        return self.position < len(self.data) or bool(self.pieces)

    @property
    def held_bytes(self) -> int:
        """The memory of the buffer, with the bytes that have been parsed and not dropped yet."""
        return len(self.data) + self.piece_bytes

    @property
    def unparsed_bytes(self) -> int:
        """How many bytes are still to be parsed."""
        return len(self.data) - self.position + self.piece_bytes

    def append(self, piece: bytes) -> None:
        """Add bytes that have been received."""
        self.piece_bytes += len(piece)
        if self.pieces and len(self.pieces[-1]) + len(piece) <= SMALL_PIECE_BYTES:
            piece = self.pieces.pop() + piece
        self.pieces.append(piece)

    def extend(self) -> bool:
        """Join the next piece with what is unparsed of `data`; return False if there is none."""
        if not self.pieces:
            return False
        piece = self.pieces.popleft()
        self.piece_bytes -= len(piece)
        rest = self.data[self.position :]
        self.data, self.position = rest + piece if rest else piece, 0
        return True

    def compact(self) -> None:
        """Drop parsed bytes if they are most of `data`."""
        if self.position * 2 >= len(self.data):
            self.data, self.position = self.data[self.position :], 0

    def clear(self) -> None:
        """Drop all bytes."""
        self.data, self.position = b"", 0
        self.pieces.clear()
        self.piece_bytes = 0
