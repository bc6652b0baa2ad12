"""The sending side of a client connection: replies are sent in the order of the commands."""

from __future__ import annotations

import asyncio
import math
from collections import deque

from rainturn.node.gateway import Clock
from rainturn.node.requests import Request
from rainturn.node.send_progress import SendProgress
from rainturn.node.value_memory import ValueMemory

FAILURE_REPLY = b"-ERR failed\r\n"


class QueuedReply:
    """A reply to a command that is not a request; it waits for the replies before it."""

    __slots__ = ("reply",)

    def __init__(self, reply: bytes) -> None:
        self.reply: bytes | None = reply


class ClientReplies(asyncio.Protocol):
    """Sends the replies of one connection.

    A long value is sent in pieces as they arrive, once the replies before it have been sent. If it breaks off
    after that, the connection has to end, because the protocol has no other sign for it. So a value that has
    commands behind it is sent only once it is whole: they would get no reply.
    """

    def __init__(self, clock: Clock, value_memory: ValueMemory) -> None:
        self.clock, self.value_memory = clock, value_memory
        self.transport: asyncio.Transport
        self.pending: deque[Request | QueuedReply] = deque()  # unanswered commands in order
        self.closing = False  # whether input is ignored and the connection ends after the last reply
        self.writing_paused = False  # whether the write buffer is full: the client leaves replies unread
        self.send_progress = SendProgress()
        self.unsent_reserved_bytes = 0  # reserved for whole values in the write buffer

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

    def begin_value(self, request: Request, length: int) -> bool:
        """Begin a long value of `length` bytes; return False if it must be buffered and there is no room."""
        if self._has_commands_behind(request):
            if not self.value_memory.reserve(length):
                return False
            request.reserved_bytes = length
        self.send_piece(request, b"$%d\r\n" % length)
        return True

    def _has_commands_behind(self, request: Request) -> bool:
        """Return whether commands behind the one of this request have been read, or are still being read."""
        raise NotImplementedError

    def send_piece(self, request: Request, data: bytes) -> None:
        """Send a piece of a long value, or buffer it until the value may be sent."""
        request.value_pieces.append(data)
        self._flush()

    def accepts_piece(self, request: Request) -> bool:
        """Return whether the host may give the next piece of a long value now.

        Either memory is reserved for all of the value, or the piece can be sent: the request is first in the
        queue and the client reads its replies.
        """
        if request.reserved_bytes:
            return True
        return bool(self.pending) and self.pending[0] is request and not self.writing_paused

    def end_value(self, request: Request) -> None:
        """End a long value that is complete."""
        self._reply_to_request(request, b"\r\n")

    def withdraw_value(self, request: Request) -> bool:
        """Take back an incomplete long value; return whether the request can still get another reply.

        If a part of the value has been sent, the connection ends, so that the client sees that it is cut
        short. No command behind it has been read in that case.
        """
        is_sent = bool(self.pending) and self.pending[0] is request and not request.reserved_bytes
        self._discard_value(request)
        if is_sent:
            self._end_after_cut_value()
        return not is_sent

    def _end_after_cut_value(self) -> None:
        """End the connection after a part of a long value, without losing the replies before it."""
        raise NotImplementedError

    def _discard_value(self, request: Request) -> None:
        """Drop the buffered pieces of a long value, and free their memory."""
        request.value_pieces.clear()
        self.value_memory.release(request.reserved_bytes)
        request.reserved_bytes = 0

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
            if isinstance(entry, Request) and not (entry.reserved_bytes and entry.reply is None):
                ready += entry.value_pieces
                entry.value_pieces.clear()
            if entry.reply is None:
                break
            ready.append(self._reply_to_send(entry) if isinstance(entry, Request) else entry.reply)
            if isinstance(entry, Request):
                self.unsent_reserved_bytes += entry.reserved_bytes
                entry.reserved_bytes = 0
            self.pending.popleft()
        if not ready:
            return
        if self.transport.is_closing():
            return self._release_sent_values()
        self.send_progress.note_written(sum(map(len, ready)))
        if self.unsent_reserved_bytes:
            self.transport.writelines(ready)  # joining whole values would take their memory a second time
        else:
            self.transport.write(b"".join(ready) if len(ready) > 1 else ready[0])
        if not self.writing_paused:
            self._release_sent_values()
        self._on_replies_written()

    def _release_sent_values(self) -> None:
        """Free the memory of whole values that have left the write buffer, or never will."""
        self.value_memory.release(self.unsent_reserved_bytes)
        self.unsent_reserved_bytes = 0

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
            if isinstance(entry, Request) and entry.transfer is not None:
                entry.transfer.source.resume_value()
