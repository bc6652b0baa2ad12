"""The body of a command, its last argument, while it arrives: buffered if it is short, otherwise streamed."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from rainturn.node.resp import MAX_BUFFERED_BYTES


class Sink(Protocol):
    """The destination of a streamed body: a connection to a host."""

    has_unsent_bytes: bool

    def send_body_piece(self, data: bytes) -> None:
        """Send a piece of the body."""

    def end_body(self) -> None:
        """End the command: the body is complete."""


class Body:
    """Holds the pieces of a body until a sink is attached, and passes later pieces to the sink directly."""

    __slots__ = (
        "arguments",
        "length",
        "bytes_left",
        "pieces",
        "held_bytes",
        "sink",
        "fully_received",
        "is_discarded",
        "was_forwarded",
        "resume_reading",
        "has_request",
    )

    def __init__(self, arguments: list[bytes], length: int) -> None:
        self.arguments, self.length, self.bytes_left = arguments, length, length
        self.pieces: list[bytes] = []
        self.held_bytes = 0  # total size of `pieces`
        self.sink: Sink | None = None
        self.fully_received = self.was_forwarded = False
        self.has_request = False  # whether its request has begun, on the arrival of the other arguments
        self.is_discarded = False  # whether its request has ended: the rest is read and dropped
        self.resume_reading: Callable[[], None] = lambda: None  # called when `accepts_more` may have changed

    @property
    def is_streamed(self) -> bool:
        """Whether the body is too long to be buffered."""
        return self.length > MAX_BUFFERED_BYTES

    def accepts_more(self) -> bool:
        """Return whether more of the body should be read from the client."""
        if self.sink is not None:
            return not self.sink.has_unsent_bytes
        return self.is_discarded or self.held_bytes < MAX_BUFFERED_BYTES

    def add_piece(self, data: bytes) -> None:
        """Pass a piece that has arrived to the sink, or hold it if there is none."""
        self.bytes_left -= len(data)
        if self.sink is not None:
            self.sink.send_body_piece(data)
        elif not self.is_discarded:
            self.pieces.append(data)
            self.held_bytes += len(data)

    def finish_receiving(self) -> None:
        """Mark the body as complete: its last byte has arrived."""
        self.fully_received = True
        if self.sink is not None:
            self.sink.end_body()

    def attach(self, sink: Sink) -> None:
        """Attach a sink and pass it the held pieces. They are not kept, so the body cannot be sent twice."""
        self.sink, self.was_forwarded = sink, True
        for piece in self.pieces:
            sink.send_body_piece(piece)
        self._drop_pieces()
        if self.fully_received:
            sink.end_body()

    def detach(self) -> None:
        """Remove the sink, which accepts no more pieces."""
        self.sink = None
        self.resume_reading()

    def discard_rest(self) -> None:
        """Drop the held pieces and all that follow: the request has ended."""
        self.is_discarded = True
        self._drop_pieces()
        self.resume_reading()

    def _drop_pieces(self) -> None:
        self.pieces.clear()
        self.held_bytes = 0
        self.resume_reading()
