"""The body of a command, its last argument, while it arrives: buffered if it is short, otherwise streamed."""

from __future__ import annotations

from collections import deque
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
    """Holds the received pieces of a body, and passes them to its sink as fast as the sink takes them."""

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
        "is_forwarded_whole",
        "on_change",
        "is_client_present",
    )

    def __init__(self, arguments: list[bytes], length: int) -> None:
        self.arguments, self.length, self.bytes_left = arguments, length, length
        self.pieces: deque[bytes] = deque()
        self.held_bytes = 0  # total size of `pieces`
        self.sink: Sink | None = None
        self.fully_received = False
        self.was_forwarded = False  # whether a sink has been attached: the pieces it got are not kept
        self.is_forwarded_whole = False  # whether the sink has got the end of the command
        self.is_discarded = False  # whether its request has ended: the rest is read and dropped
        self.on_change: Callable[[], None] = lambda: None  # called when it holds less than before
        self.is_client_present: Callable[[], bool] = lambda: True  # asked before the command is ended

    @property
    def is_streamed(self) -> bool:
        """Whether the body is too long to be buffered."""
        return self.length > MAX_BUFFERED_BYTES

    def add_piece(self, data: bytes) -> None:
        """Hold a piece that has arrived, and pass on what the sink takes."""
        self.bytes_left -= len(data)
        if not self.is_discarded:
            self.pieces.append(data)
            self.held_bytes += len(data)
            self.forward()

    def finish_receiving(self) -> None:
        """Mark the body as complete: its last byte has arrived."""
        self.fully_received = True
        self.forward()

    def attach(self, sink: Sink) -> None:
        """Attach a sink and pass it the held pieces. They are not kept, so the body cannot be sent twice."""
        self.sink, self.was_forwarded = sink, True
        self.forward()

    def forward(self) -> None:
        """Pass held pieces to the sink until it takes no more; end the command after the last one.

        The command is not ended for a client that has left.
        """
        had_bytes = self.held_bytes
        while self.pieces and self._sink_is_ready():
            piece = self.pieces.popleft()
            self.held_bytes -= len(piece)
            assert self.sink is not None
            self.sink.send_body_piece(piece)
        if self.held_bytes < had_bytes:
            self.on_change()
        if self._may_end() and self.is_client_present() and self._may_end():
            self.is_forwarded_whole = True
            assert self.sink is not None
            self.sink.end_body()

    def _sink_is_ready(self) -> bool:
        return self.sink is not None and not self.sink.has_unsent_bytes

    def _may_end(self) -> bool:
        is_due = self.fully_received and not self.pieces and not self.is_forwarded_whole
        return is_due and not self.is_discarded and self._sink_is_ready()

    def detach(self) -> None:
        """Remove the sink, which accepts no more pieces."""
        self.sink = None

    def discard_rest(self) -> None:
        """Drop the held pieces and all that follow: the request has ended."""
        self.is_discarded = True
        self.pieces.clear()
        self.held_bytes = 0
        self.on_change()
