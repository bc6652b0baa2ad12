"""The sending side of a client connection: replies are sent in the order of the commands."""

from __future__ import annotations

import asyncio
import math
from collections import deque

from rainturn.node.gateway import Clock
from rainturn.node.requests import Request

FAILURE_REPLY = b"-ERR failed\r\n"


class QueuedReply:
    """A reply to a command that is not a request; it waits for the replies before it."""

    __slots__ = ("reply",)

    def __init__(self, reply: bytes) -> None:
        self.reply: bytes | None = reply


class ClientReplies(asyncio.Protocol):
    """Sends the replies of one connection.

    A long value is sent in pieces once the replies before it have been sent.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.transport: asyncio.Transport
        self.pending: deque[Request | QueuedReply] = deque()  # unanswered commands in order
        self.closing = False  # whether input is ignored and the connection ends after the last reply
        self.writing_paused = False  # whether the write buffer is full: the client leaves replies unread

    def send_value(self, request: Request, value: bytes) -> None:
        """Send a host's value."""
        self._reply_to_request(request, b"$%d\r\n%s\r\n" % (len(value), value))

    def send_refusal(self, request: Request, backoff_ms: float, until: float) -> None:
        """Send a refusal, with the backoff if there is one: the client may safely try again.

        If the reply can only be sent after `until` (Unix time in ms), a failure is sent instead.
        """
        request.refusal_valid_until = until
        self._reply_to_request(
            request, b"-BUSY %d\r\n" % max(1, round(backoff_ms)) if backoff_ms > 0 else b"-BUSY\r\n"
        )

    def send_failure(self, request: Request) -> None:
        """Send an error that does not say whether the request has run."""
        self._reply_to_request(request, FAILURE_REPLY)

    def begin_value(self, request: Request, length: int) -> None:
        """Begin a long value of `length` bytes."""
        self.send_piece(request, b"$%d\r\n" % length)

    def send_piece(self, request: Request, data: bytes) -> None:
        """Send a piece of a long value once the replies before it have been sent."""
        request.value_pieces.append(data)
        self._flush()

    def accepts_piece(self, request: Request) -> bool:
        """Return whether the next piece of a long value can be sent now.

        This requires that the request is first in the queue and the client reads its replies.
        """
        return bool(self.pending) and self.pending[0] is request and not self.writing_paused

    def end_value(self, request: Request) -> None:
        """End a long value that is complete."""
        self._reply_to_request(request, b"\r\n")

    def cut_value(self, request: Request) -> None:
        """Close the connection after an incomplete long value, so that the client sees that it is cut short.

        Guards against losing the requests before it: while the value waits for their replies, nothing of it
        has been sent, and its request fails like any other.
        """
        if self.pending and self.pending[0] is not request:
            request.value_pieces.clear()
            return self.send_failure(request)
        self.closing = True
        self.transport.close()

    def _reply_to_request(self, request: Request, reply: bytes) -> None:
        request.reply = reply
        self._flush()

    def _reply(self, reply: bytes) -> None:
        """Reply to a command that is not a request."""
        self.pending.append(QueuedReply(reply))
        self._flush()

    def _flush(self) -> None:
        """Write the replies at the head of the queue, and the available pieces of a long value after them."""
        ready: list[bytes] = []
        while self.pending:
            entry = self.pending[0]
            if isinstance(entry, Request) and entry.value_pieces:
                ready += entry.value_pieces
                entry.value_pieces.clear()
            if entry.reply is None:
                break
            ready.append(self._reply_to_send(entry) if isinstance(entry, Request) else entry.reply)
            self.pending.popleft()
        if not ready or self.transport.is_closing():
            return
        self.transport.write(b"".join(ready) if len(ready) > 1 else ready[0])
        self._on_replies_written()

    def _reply_to_send(self, request: Request) -> bytes:
        """Return the reply that is correct now: a refusal sent too late becomes a failure."""
        late = request.refusal_valid_until < math.inf and self.clock.now() > request.refusal_valid_until
        return FAILURE_REPLY if late or request.reply is None else request.reply

    def _on_replies_written(self) -> None:
        """Handle replies, or pieces of a long value, that have been written."""
        raise NotImplementedError

    def _resume_value(self) -> None:
        """Resume the long value whose request is first in the queue."""
        if self.pending and not self.writing_paused:
            entry = self.pending[0]
            if isinstance(entry, Request) and entry.value_source is not None:
                entry.value_source.resume_value()
