"""One connection to a host. It carries one attempt at a time: the command out, then the answer back."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from typing import Protocol

from rainturn import interface as it
from rainturn.node.gateway import Node
from rainturn.node.requests import Attempt
from rainturn.node.resp import LongValue, Outgoing, Spoilt, answer, end_sending, fields, pack, unsent

STALL_LIMIT_S = 0.5  # time limit between two pieces of an answer that is kept whole
VALUE_STALL_LIMIT_S = 4.0  # the same for a long value, which is passed on as it comes
UPLOAD_STALL_LIMIT_S = 3.0  # how long a host may accept no byte of a request body that is passed on


class ConnectionOwner(Protocol):
    """What a connection needs of the pool that it belongs to."""

    @property
    def node(self) -> Node:
        """The gateway's event loop and clock."""

    @property
    def idle_limit_ms(self) -> float:
        """How long a connection may stay idle before it is closed."""

    def release(self, connection: HostConnection) -> None:
        """Keep a connection that carries nothing any more as an idle one, or close it."""

    def remove(self, connection: HostConnection) -> None:
        """Forget a connection that has closed."""

    def close_idle_before(self, time: float) -> None:
        """Close the idle connections that received their last bytes before `time` (Unix time in ms)."""


def encode_command(attempt: Attempt, now: float) -> bytes:
    """The client's command with `d` set to the time that is left, in ms; without a body that is passed on."""
    request = attempt.request
    time_left_ms = max(1, int(min(attempt.deadline - now, request.time_limit_ms)))
    fields_sent = b"%sd=%d%s" % (request.fields_before, time_left_ms, request.fields_after)
    words = [*request.words[:3], fields_sent, *request.words[4:]]
    if request.body is None:
        return pack(words)
    return b"*%d%s$%d\r\n" % (len(words) + 1, pack(words)[2:], request.body.length)


class HostConnection(Outgoing):
    """One connection to a host."""

    def __init__(self, pool: ConnectionOwner, address: tuple[str, int]) -> None:
        super().__init__()
        self.pool, self.address = pool, address
        self.attempt: Attempt | None = None
        self.idle_since = pool.node.clock.now()  # the end of its last answer, or of its connect
        self.poll = select.poll()  # shows bytes that the loop has not read yet
        self.stall_timer: asyncio.TimerHandle | None = None  # set while the host has to send or accept bytes
        self.uploading = False  # whether the body that follows the command is incomplete
        self.upload_backlog = 0  # bytes that the host had not accepted at the last check
        self.value_bytes_left: int | None = None  # of a long value whose head has come
        self.fields_after_value = 0  # how many fields follow that value
        self.fields_expected: int | None = None  # how many follow the value that has come whole
        self.reading_paused = False  # because the client does not accept what was passed on

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Watch the socket for input that the loop has not read yet."""
        super().connection_made(transport)
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def is_usable(self, now: float) -> bool:
        """Whether an idle connection may carry an attempt: within its idle limit, and with no input on it.

        Guards against a request that crosses the host's close, and against an answer that nobody asked for
        being taken for the next request's.
        """
        return now - self.idle_since <= self.pool.idle_limit_ms and not self.poll.poll(0)

    # Sending.

    def send_command(self, attempt: Attempt, now: float) -> None:
        """Write an attempt's command."""
        self.attempt, attempt.connection = attempt, self
        body = attempt.request.body
        self.uploading = body is not None
        self.transport.write(encode_command(attempt, now))
        if body is None:
            self._count_sent()
        else:
            body.attach(self)

    def more(self, data: bytes) -> None:
        """Send a piece of the body."""
        if not self.closed:
            self.transport.write(data)

    def complete(self) -> None:
        """End the command after its body; the attempt's time counts from here, as the host has it whole."""
        if self.closed or self.attempt is None:
            return
        self.uploading = False
        self.transport.write(b"\r\n")
        self.attempt.started_at = self.pool.node.clock.now()
        self._count_sent()

    def _count_sent(self) -> None:
        if not self.unsent:
            self.pool.node.counters.upstream_tries += 1

    def pause_writing(self) -> None:
        """Bytes wait to be sent; give up a host that accepts none of a body for too long."""
        super().pause_writing()
        if self.uploading:
            self._check_upload(first=True)

    def _check_upload(self, first: bool = False) -> None:
        backlog = unsent(self.transport)
        if not first and backlog >= self.upload_backlog:
            return self.close(it.Outcome.UNREACHABLE)  # the command stays incomplete: it never runs
        self.upload_backlog = backlog
        self._set_stall_timer(UPLOAD_STALL_LIMIT_S, self._check_upload)

    def resume_writing(self) -> None:
        """All bytes that we have of the command have been sent."""
        super().resume_writing()
        if self.closed or self.attempt is None:
            return
        if not self.uploading:
            self.pool.node.counters.upstream_tries += 1
        self._cancel_stall_timer()
        if self.attempt.request.body is not None:
            self.attempt.request.body.resume()

    # Receiving.

    def data_received(self, data: bytes) -> None:
        """Take an answer once it is whole; pass a long value on as it comes."""
        if self.closed:
            return
        if self.value_bytes_left is not None:
            return self._forward_value(data)
        self.buffer = self.buffer + data if self.buffer else data
        if self.fields_expected is not None:
            return self._finish_answer()
        attempt = self.attempt
        if attempt is None:
            return self.close()  # an answer that nobody asked for
        try:
            reply = answer(self.buffer)
        except Spoilt:
            return self.fail()
        if reply is None:
            return self._set_stall_timer(STALL_LIMIT_S, self.fail)
        if isinstance(reply, LongValue):
            return self._begin_value(attempt, reply)
        outcome, value = it.Outcome.OK, reply.value
        if value is None:
            # Only this very word says that nothing ran; one like BUSYKEY does not.
            refused = reply.error.split(b" ", 1)[0] == b"BUSY"
            outcome, value = it.Outcome.FULL if refused else it.Outcome.ERROR, b""
        self._answered(attempt, outcome, value, reply.fields, self.buffer[reply.end :])

    def _begin_value(self, attempt: Attempt, value: LongValue) -> None:
        data, self.buffer = self.buffer[value.start :], b""
        self.value_bytes_left, self.fields_after_value = value.length, value.fields
        if not self.pool.node.value_began(attempt, value.length, self):
            return self.close(it.Outcome.CANCELLED)  # its request has ended
        self._forward_value(data)

    def _forward_value(self, data: bytes) -> None:
        """Pass a piece of the value to the client, and pause reading until the client can accept the next.

        The two bytes after a value show whether its length was true, so its end is reported after them.
        """
        attempt = self.attempt
        if attempt is None or self.value_bytes_left is None:
            return self.close()
        request = attempt.request
        if request.done:
            return self.close(it.Outcome.CANCELLED)
        piece = data[: self.value_bytes_left]
        self.value_bytes_left -= len(piece)
        if piece:
            request.client.send_piece(request, piece)
        if not self.value_bytes_left:
            self.buffer += data[len(piece) :]
            if self.buffer[:2] != b"\r\n"[: len(self.buffer)]:
                return self.fail()
            if len(self.buffer) >= 2:
                self.value_bytes_left = None
                return self._answered(attempt, it.Outcome.OK, b"", self.fields_after_value, self.buffer[2:])
        elif not request.client.accepts_piece(request):
            self.reading_paused = True
            self.transport.pause_reading()
            return self._cancel_stall_timer()
        self._set_stall_timer(VALUE_STALL_LIMIT_S, self.fail)

    def resume_value(self) -> None:
        """Read on: the client accepts more."""
        if self.reading_paused and not self.closed:
            self.reading_paused = False
            self._set_stall_timer(VALUE_STALL_LIMIT_S, self.fail)
            self.transport.resume_reading()

    def _answered(
        self, attempt: Attempt, outcome: it.Outcome, value: bytes, field_count: int, rest: bytes
    ) -> None:
        """End the attempt; the connection is free again once the fields after the value have come."""
        self._cancel_stall_timer()
        self.attempt = attempt.connection = None
        self.fields_expected, self.buffer = field_count, rest
        if self.uploading:
            self.close()  # answered before it was read: the rest of the body would be taken for a command
        else:
            self._finish_answer()
        node = self.pool.node
        if attempt.request.body is not None:
            attempt.request.body.detach()
        node.attempt_ended(attempt, outcome, value)

    def _finish_answer(self) -> None:
        complete = fields(self.buffer, 0, self.fields_expected or 0)
        if complete is None:
            # One limit for all fields together: nobody waits for them, and a few bytes now and then would
            # hold the connection for good.
            if self.stall_timer is None:
                self._set_stall_timer(STALL_LIMIT_S, self.close)
            return
        if not complete:
            # Guards against taking bytes that follow a good answer for the answer to the next request.
            return self.close()
        self._cancel_stall_timer()
        self.fields_expected, self.buffer = None, b""
        self.idle_since = self.pool.node.clock.now()
        self.pool.release(self)

    def fail(self) -> None:
        """Give up on an answer that is malformed, or that has stopped coming; its request may have run.

        Guards against waiting for the rest until the deadline. To the module it is an error of a host that is
        up, not a reset: malformed answers come from any host and must not make hosts suspect.
        """
        self.close(it.Outcome.ERROR)

    def _set_stall_timer(self, limit_s: float, on_stall: Callable[[], None]) -> None:
        """Call `on_stall` after so long, in place of an earlier timer; the next progress cancels it."""
        self._cancel_stall_timer()
        self.stall_timer = self.pool.node.loop.call_later(limit_s, on_stall)

    def _cancel_stall_timer(self) -> None:
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None

    def close(self, outcome: it.Outcome | None = None) -> None:
        """Close at once and drop what is unsent; an attempt on it ends as `outcome`, or without a report."""
        if self.closed:
            return
        self.closed, self.buffer = True, b""
        self._cancel_stall_timer()
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            # Guards against a second copy: a repeat is sent before the loop has closed this connection.
            end_sending(self.transport)
        self.transport.abort()
        self.pool.remove(self)
        if attempt is not None:
            attempt.connection = None
            if attempt.request.body is not None:
                attempt.request.body.detach()
            if outcome is not None:
                self.pool.node.attempt_ended(attempt, outcome)

    def eof_received(self) -> None:
        """The host has closed its side: no answer will come."""
        self.connection_lost(None)

    def connection_lost(self, error: Exception | None) -> None:
        """A break proves that nothing ran only if the request's last byte had not been sent."""
        self.close(it.Outcome.UNREACHABLE if self.unsent or self.uploading else it.Outcome.RESET)
