"""The sending half of a client's connection: replies go out in the order of the commands."""

from __future__ import annotations

import asyncio
import math
from collections import deque

from rainturn.node.gateway import Clock
from rainturn.node.requests import Request

FAILED = b"-ERR failed\r\n"


class QueuedReply:
    """A reply that does not come from a request; it waits for those before it."""

    __slots__ = ("reply",)

    def __init__(self, reply: bytes) -> None:
        self.reply: bytes | None = reply


class ClientReplies(asyncio.Protocol):
    """Answers requests over one connection. A long value goes out in pieces, in its request's turn."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.transport: asyncio.Transport
        self.pending: deque[Request | QueuedReply] = deque()  # what is still to be answered, in order
        self.closing = False  # whether nothing more is read: the connection ends once all is answered
        self.writing_paused = False  # whether the client leaves so much unread that nothing more is written

    def send_value(self, request: Request, value: bytes) -> None:
        """Send a host's value."""
        self._answer(request, b"$%d\r\n%s\r\n" % (len(value), value))

    def send_refusal(self, request: Request, backoff_ms: float, until: float) -> None:
        """Say that trying again is harmless, and after how long, if its turn comes by `until`."""
        request.refusal_valid_until = until
        self._answer(request, b"-BUSY %d\r\n" % max(1, round(backoff_ms)) if backoff_ms > 0 else b"-BUSY\r\n")

    def send_failure(self, request: Request) -> None:
        """Send an error that promises nothing."""
        self._answer(request, FAILED)

    def begin_value(self, request: Request, length: int) -> None:
        """Begin a long value of so many bytes."""
        self.send_piece(request, b"$%d\r\n" % length)

    def send_piece(self, request: Request, data: bytes) -> None:
        """Send a piece of a long value, in its turn."""
        request.value_pieces.append(data)
        self._flush()

    def accepts_piece(self, request: Request) -> bool:
        """Whether the next piece of a long value may come: it is the request's turn, and the client reads."""
        return bool(self.pending) and self.pending[0] is request and not self.writing_paused

    def end_value(self, request: Request) -> None:
        """End a long value that is whole."""
        self._answer(request, b"\r\n")

    def cut_value(self, request: Request) -> None:
        """Close after what has come of a long value, so that the client sees that it is short.

        Guards against the requests before it being lost: while it waits for its turn nothing of it has gone
        out, and it fails as any other request.
        """
        if self.pending and self.pending[0] is not request:
            request.value_pieces.clear()
            return self.send_failure(request)
        self.closing = True
        self.transport.close()

    def _answer(self, request: Request, reply: bytes) -> None:
        request.reply = reply
        self._flush()

    def _reply(self, reply: bytes) -> None:
        """Answer a command that is no request."""
        self.pending.append(QueuedReply(reply))
        self._flush()

    def _flush(self) -> None:
        """Write the replies whose turn has come, and what has come of a long value."""
        ready: list[bytes] = []
        while self.pending:
            entry = self.pending[0]
            if isinstance(entry, Request) and entry.value_pieces:
                ready += entry.value_pieces
                entry.value_pieces.clear()
            if entry.reply is None:
                break
            ready.append(self._reply_now(entry) if isinstance(entry, Request) else entry.reply)
            self.pending.popleft()
        if not ready or self.transport.is_closing():
            return
        self.transport.write(b"".join(ready) if len(ready) > 1 else ready[0])
        self._replies_written()

    def _reply_now(self, request: Request) -> bytes:
        """A request's answer as it is true in its turn: a refusal may have come too late to be harmless."""
        late = request.refusal_valid_until < math.inf and self.clock.now() > request.refusal_valid_until
        return FAILED if late or request.reply is None else request.reply

    def _replies_written(self) -> None:
        """Called after replies went out; fewer are pending, or none."""
        raise NotImplementedError

    def _resume_value(self) -> None:
        """Let the long value go on whose turn it is."""
        if self.pending and not self.writing_paused:
            entry = self.pending[0]
            if isinstance(entry, Request) and entry.value_source is not None:
                entry.value_source.resume_value()
