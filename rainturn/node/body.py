"""A command's last value while it comes: a short one is kept whole, a longer one is passed on in pieces."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from rainturn.node.resp import WHOLE


class Sink(Protocol):
    """What takes the pieces: a connection to a host."""

    unsent: bool

    def more(self, data: bytes) -> None:
        """Send a piece on."""

    def complete(self) -> None:
        """The value is whole: end the command."""


class Body:
    """Pieces that wait for a sink, or go to it; what has gone is not held any more."""

    __slots__ = (
        "words",
        "length",
        "left",
        "held",
        "waiting",
        "sink",
        "whole",
        "over",
        "spent",
        "resume",
        "taken",
    )

    def __init__(self, words: list[bytes], length: int) -> None:
        self.words, self.length, self.left = words, length, length
        self.held: list[bytes] = []
        self.waiting = 0  # bytes of these
        self.sink: Sink | None = None
        self.whole = self.spent = False
        self.taken = False  # its request has begun with its head
        self.over = False  # its request has ended: the rest is read and dropped
        self.resume: Callable[[], None] = lambda: None  # called when more may be read

    @property
    def long(self) -> bool:
        """Whether it is passed on rather than kept."""
        return self.length > WHOLE

    def wants(self) -> bool:
        """Whether more should be read from the client."""
        if self.sink is not None:
            return not self.sink.unsent
        return self.over or self.waiting < WHOLE

    def feed(self, data: bytes) -> None:
        """Take a piece."""
        self.left -= len(data)
        if self.sink is not None:
            self.sink.more(data)
        elif not self.over:
            self.held.append(data)
            self.waiting += len(data)

    def end(self) -> None:
        """The last byte has come."""
        self.whole = True
        if self.sink is not None:
            self.sink.complete()

    def attach(self, sink: Sink) -> None:
        """Give what is held to a sink, once: it can't be sent a second time."""
        self.sink, self.spent = sink, True
        for piece in self.held:
            sink.more(piece)
        self._drop()
        if self.whole:
            sink.complete()

    def detach(self) -> None:
        """The sink takes no more."""
        self.sink = None
        self.resume()

    def finish(self) -> None:
        """Its request has ended."""
        self.over = True
        self._drop()
        self.resume()

    def _drop(self) -> None:
        self.held.clear()
        self.waiting = 0
        self.resume()
