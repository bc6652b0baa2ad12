"""The sending side of a client connection: replies are sent in the order of the commands."""

from __future__ import annotations

import asyncio
import math
from collections import deque

from rainturn.node.clock import Clock
from rainturn.node.input_buffer import READ_SIZE
from rainturn.node.memory_account import Holding, MemoryAccount
from rainturn.node.requests import Request
from rainturn.node.send_progress import SendProgress

FAILURE_REPLY = b"-ERR failed\r\n"
MAX_UNSENT_BYTES = 1 << 16  # with more unsent replies no further commands are read
MAX_JOINED_BYTES = 1 << 16  # joining more would take too much memory a second time


class QueuedReply:
    """A reply to a command that is not a request; it waits for the replies before it."""

    __slots__ = ("reply",)

    def __init__(self, reply: bytes) -> None:
        self.reply: bytes | None = reply


class ClientReplies(asyncio.BufferedProtocol):
    """Sends the replies of one connection.

    A long value is sent in pieces as they arrive, once the replies before it have been sent. If it breaks off
    after that, the connection has to end, because the protocol has no other sign for it. So a value that has
    commands behind it is buffered and sent only once it is whole: they would get no reply. Only one that its
    host is still writing some time after its deadline is sent as it arrives all the same.
    """

    def __init__(self, clock: Clock, memory: MemoryAccount) -> None:
        self.clock, self.output = clock, Holding(memory)
        self.transport: asyncio.Transport
        self.pending: deque[Request | QueuedReply] = deque()  # unanswered commands in order
        self.closing = False  # whether input is ignored and the connection ends after the last reply
        self.writing_paused = False  # whether the write buffer holds bytes that the system does not take yet
        self.send_progress = SendProgress()
        self.queued_bytes = 0  # of replies and pieces that wait for those before them, and reserved for more
        self.unsent_bytes = 0  # written since the write buffer was last empty

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
            if not self.output.reserve(length):
                return False
            self.queued_bytes += length
            request.is_buffered_whole, request.reserved_bytes = True, length
        self.send_piece(request, b"$%d\r\n" % length)
        return True

    def release_value(self, request: Request) -> None:
        """Send what has come of a value that was to be sent whole, and the rest as it arrives."""
        self.queued_bytes -= request.reserved_bytes
        request.is_buffered_whole, request.reserved_bytes = False, 0
        self._flush()

    def _has_commands_behind(self, request: Request) -> bool:
        """Return whether commands behind the one of this request have been read, or are still being read."""
        raise NotImplementedError

    def send_piece(self, request: Request, data: bytes) -> None:
        """Send a piece of a long value, or buffer it until the value may be sent."""
        reserved_bytes = min(len(data), request.reserved_bytes)
        request.reserved_bytes -= reserved_bytes
        request.sent_bytes += len(data)
        self.queued_bytes += len(data) - reserved_bytes
        request.value_pieces.append(data)
        self._flush()

    def accepts_piece(self, request: Request) -> bool:
        """Return whether the host may give the next piece of a long value now.

        Either memory is reserved for all of the value, or the piece can be sent, as the request is first in
        the queue and the client reads its replies, or there is room for it to wait for those before it.
        """
        if request.is_buffered_whole:
            return True
        if self.pending and self.pending[0] is request:
            return not self.writing_paused
        return self.output.room() >= READ_SIZE

    def piece_size_limit(self, request: Request) -> int:
        """Return how long the next piece of a long value may be, in bytes."""
        return request.reserved_bytes or self.output.room()

    def end_value(self, request: Request) -> None:
        """End a long value that is complete."""
        self._reply_to_request(request, b"\r\n")

    def withdraw_value(self, request: Request) -> bool:
        """Take back an incomplete long value; return whether the request can still get another reply.

        If a part of the value has been sent, the connection ends, so that the client sees that it is cut
        short.
        """
        is_sent = bool(self.pending) and self.pending[0] is request and not request.is_buffered_whole
        self._discard_value(request)
        if is_sent:
            self._end_after_cut_value()
        return not is_sent

    def _end_after_cut_value(self) -> None:
        """End the connection after a part of a long value, without losing the replies before it."""
        raise NotImplementedError

    def _discard_value(self, request: Request) -> None:
        """Drop the buffered pieces of a long value, and free their memory."""
        self.queued_bytes -= sum(map(len, request.value_pieces)) + request.reserved_bytes
        request.value_pieces.clear()
        request.is_buffered_whole, request.reserved_bytes = False, 0
        self._update_output()

    def _reply_to_request(self, request: Request, reply: bytes) -> None:
        request.reply = reply
        request.sent_bytes += len(reply)
        self.queued_bytes += len(reply)
        self._flush()

    def _reply(self, reply: bytes) -> None:
        """Reply to a command that is not a request."""
        self.pending.append(QueuedReply(reply))
        self.queued_bytes += len(reply)
        self._flush()

    def _flush(self) -> None:
        """Write the replies at the head of the queue, and the available pieces of a long value after them."""
        ready = self._take_ready()
        if ready and not self.transport.is_closing():
            self._write(ready)
        self._update_output()
        if ready and not self.transport.is_closing():
            self._on_replies_written()

    def _take_ready(self) -> list[bytes]:
        """Remove what can be sent now from the queue and return it."""
        ready: list[bytes] = []
        while self.pending:
            entry = self.pending[0]
            if isinstance(entry, Request) and (entry.reply is not None or not entry.is_buffered_whole):
                self.queued_bytes -= sum(map(len, entry.value_pieces))
                ready += entry.value_pieces
                entry.value_pieces.clear()
            if entry.reply is None:
                break
            self.queued_bytes -= len(entry.reply)
            ready.append(self._reply_to_send(entry) if isinstance(entry, Request) else entry.reply)
            self.pending.popleft()
        return ready

    def _write(self, pieces: list[bytes]) -> None:
        size = sum(map(len, pieces))
        self.send_progress.note_written(size)
        if size > MAX_JOINED_BYTES:
            self.transport.writelines(pieces)
        else:
            self.transport.write(b"".join(pieces) if len(pieces) > 1 else pieces[0])
        if self.writing_paused:
            self.unsent_bytes += size

    def _leaves_replies_unread(self) -> bool:
        """Return whether the client takes its replies too slowly for more commands."""
        return self.writing_paused and self.unsent_bytes > MAX_UNSENT_BYTES

    def _update_output(self) -> None:
        """Bring the account up to date with what is held for the client."""
        self.output.resize(self.queued_bytes + self.unsent_bytes)

    def _release_output(self) -> None:
        """Record that nothing is held for the client any more."""
        self.queued_bytes = self.unsent_bytes = 0
        self._update_output()

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
