"""A connection to a host. It carries one attempt at a time: it sends the command, then reads the answer."""

from __future__ import annotations

import asyncio
import math
import select
from collections.abc import Callable
from typing import Protocol

from rainturn import interface as it
from rainturn.node.end_log import AttemptEnd, ConnectionEnd, Traffic
from rainturn.node.gateway import Node
from rainturn.node.input_buffer import READ_SIZE, READ_VIEW
from rainturn.node.memory_account import MIN_HOLDING_BYTES, Holding
from rainturn.node.requests import Attempt
from rainturn.node.resp import (
    LongValue,
    OutgoingConnection,
    ProtocolError,
    check_fields,
    count_missing_bytes,
    encode_array,
    end_sending,
    parse_answer,
)
from rainturn.node.send_progress import SendProgress

STALL_LIMIT_S = 10.0  # longest pause between two pieces of an answer; its request's deadline is often earlier
VALUE_STALL_LIMIT_S = (
    10.0  # longest pause between two pieces of a long value, which is streamed to the client
)
FIELDS_LIMIT_S = 0.5  # how long the fields after a value may take
UPLOAD_STALL_LIMIT_S = 10.0  # how long a host may accept no byte of a streamed request body
MIN_READ_BYTES = MIN_ANSWER_BYTES = MIN_HOLDING_BYTES  # what is read of an answer whatever the account holds


class ConnectionOwner(Protocol):
    """The part of a pool that its connections use."""

    @property
    def node(self) -> Node:
        """The gateway's event loop and clock."""

    @property
    def idle_limit_ms(self) -> float:
        """How long a connection may stay idle before it is closed."""

    def release(self, connection: HostConnection) -> None:
        """Keep a connection without an attempt as idle if it may be reused; otherwise close it."""

    def remove(self, connection: HostConnection) -> None:
        """Remove a closed connection from the pool."""

    def close_idle_before(self, time: float) -> None:
        """Close the idle connections that received their last bytes before `time` (Unix time in ms)."""


def encode_command(attempt: Attempt, now: float) -> bytes:
    """Encode the client's command with `d` set to the remaining time in ms.

    If the body is streamed, the result ends with the head of its bulk string.
    """
    request = attempt.request
    time_left_ms = max(1, int(min(attempt.deadline - now, request.time_limit_ms)))
    fields_sent = b"%sd=%d%s" % (request.fields_before_deadline, time_left_ms, request.fields_after_deadline)
    words = [*request.arguments[:3], fields_sent, *request.arguments[4:]]
    if request.body is None:
        return encode_array(words)
    return b"*%d%s$%d\r\n" % (len(words) + 1, encode_array(words)[2:], request.body.length)


class HostConnection(OutgoingConnection, asyncio.BufferedProtocol):
    """A connection to a host, owned by a pool."""

    def __init__(self, pool: ConnectionOwner, address: tuple[str, int]) -> None:
        super().__init__()
        self.pool, self.address = pool, address
        self.number = pool.node.end_log.number_connection()
        self.made_at = pool.node.clock.now()
        self.received_bytes = 0
        self.attempt: Attempt | None = None
        self.idle_since = pool.node.clock.now()  # when its last answer ended, or when it was connected
        self.input_poll = select.poll()  # detects input that the event loop has not read yet
        self.stall_timer: asyncio.TimerHandle | None = None  # runs while the host has to send or accept bytes
        self.uploading = False  # whether part of a streamed body still has to be sent
        self.send_progress = SendProgress()
        self.memory = Holding(pool.node.memory)  # of the answer and of what is written and not sent
        self.unsent_bytes = 0  # written since the write buffer was last empty
        self.reserved_bytes = 0  # for an answer that is buffered whole
        self.value_bytes_left: int | None = None  # remaining bytes of a streamed value
        self.fields_after_value = 0  # number of fields that follow the streamed value
        self.fields_expected: int | None = None  # number of fields after a complete value; None before that
        self.reading_paused = False  # whether reading waits for the client, or for room for the answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the socket for the check for unread input in `is_usable`."""
        super().connection_made(transport)
        self.input_poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def is_usable(self, now: float) -> bool:
        """Whether an idle connection is within its idle limit and has no unread input.

        This guards against two faults: the host closes the connection while a request is on its way, and an
        unsolicited answer is taken for the answer to the next request.
        """
        return now - self.idle_since <= self.pool.idle_limit_ms and not self.input_poll.poll(0)

    # Sending.

    def send_command(self, attempt: Attempt, now: float) -> None:
        """Send an attempt's command, and attach the connection to a streamed body."""
        self.attempt, attempt.connection = attempt, self
        attempt.connection_number = self.number
        attempt.sent_bytes, attempt.received_bytes = -self.send_progress.written_bytes, -self.received_bytes
        body = attempt.request.body
        self.uploading = body is not None
        self._write(encode_command(attempt, now))
        if body is None:
            self._count_sent()
        else:
            body.attach(self)

    def send_body_piece(self, data: bytes) -> None:
        """Send a piece of the body."""
        if not self.closed:
            self._write(data)

    def _write(self, data: bytes) -> None:
        self.send_progress.note_written(len(data))
        self.transport.write(data)
        if self.has_unsent_bytes:
            self.unsent_bytes += len(data)
            self._update_memory()

    def _update_memory(self) -> None:
        """Bring the account up to date with what this connection holds."""
        self.memory.resize(
            0 if self.closed else max(len(self.buffer), self.reserved_bytes) + self.unsent_bytes
        )

    def end_body(self) -> None:
        """End the command after its body.

        The attempt's time starts here, because the host has the complete command only now.
        """
        if self.closed or self.attempt is None:
            return
        self.uploading = False
        self._write(b"\r\n")
        self.attempt.started_at = self.pool.node.clock.now()
        self._count_sent()

    def _count_sent(self) -> None:
        if not self.has_unsent_bytes:
            self.pool.node.metrics.upstream_tries += 1

    def pause_writing(self) -> None:
        """Note that bytes wait to be sent; during an upload, start the check that the host accepts bytes."""
        super().pause_writing()
        if self.uploading:
            self.send_progress.has_advanced(self.transport)  # what it has taken before does not count
            self._set_stall_timer(UPLOAD_STALL_LIMIT_S, self._check_upload)

    def _check_upload(self) -> None:
        if not self.send_progress.has_advanced(self.transport):
            # An incomplete command never runs.
            return self.close(ConnectionEnd.UPLOAD_STALLED, it.Outcome.UNREACHABLE, AttemptEnd.UPLOAD_STALLED)
        self._set_stall_timer(UPLOAD_STALL_LIMIT_S, self._check_upload)

    def resume_writing(self) -> None:
        """Note that all written bytes have been sent, and go on with the streamed body."""
        super().resume_writing()
        self.unsent_bytes = 0
        self._update_memory()
        if self.closed or self.attempt is None:
            return
        self._cancel_stall_timer()
        if not self.uploading:
            self.pool.node.metrics.upstream_tries += 1
        elif self.attempt.request.body is not None:
            self.attempt.request.body.forward()

    # Receiving.

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return a buffer for the next read, no larger than there is room for."""
        attempt = self.attempt
        if attempt is not None and self.value_bytes_left is not None:
            room = attempt.request.client.piece_size_limit(attempt.request)
        else:
            room = self.memory.room()
        return READ_VIEW[: max(MIN_READ_BYTES, min(READ_SIZE, room))]

    def buffer_updated(self, nbytes: int) -> None:
        """Buffer an answer until it is complete; stream a long value to the client as it arrives."""
        self.received_bytes += nbytes
        if not self.closed:
            self._receive(bytes(READ_VIEW[:nbytes]))
            self._update_memory()

    def _receive(self, data: bytes) -> None:
        if self.value_bytes_left is not None:
            return self._forward_value(data)
        self.buffer = self.buffer + data if self.buffer else data
        if self.fields_expected is not None:
            return self._finish_answer()
        attempt = self.attempt
        if attempt is None:
            return self.close(ConnectionEnd.UNSOLICITED)
        try:
            reply = parse_answer(self.buffer)
        except ProtocolError:
            return self.fail_malformed()
        if reply is None:
            return self._await_rest()
        if isinstance(reply, LongValue):
            return self._begin_value(attempt, reply)
        outcome, value = it.Outcome.OK, reply.value
        if value is None:
            # Only the exact word BUSY says that nothing ran; a word like BUSYKEY does not.
            refused = reply.error.split(b" ", 1)[0] == b"BUSY"
            outcome, value = it.Outcome.FULL if refused else it.Outcome.ERROR, b""
        self._end_attempt(attempt, outcome, value, reply.field_count, self.buffer[reply.end :])

    def _await_rest(self) -> None:
        """Wait for the rest of an answer that is buffered whole, once there is room for it."""
        self._update_memory()
        missing_bytes = 0 if self.reserved_bytes else count_missing_bytes(self.buffer) or 0
        if self.memory.reserve(missing_bytes):
            self.reserved_bytes = len(self.buffer) + missing_bytes if missing_bytes else self.reserved_bytes
            return self._set_stall_timer(STALL_LIMIT_S, self.fail_stalled)
        if len(self.buffer) < MIN_ANSWER_BYTES:
            return self._set_stall_timer(STALL_LIMIT_S, self.fail_stalled)
        if not self.reading_paused:
            self.reading_paused = True
            self.transport.pause_reading()
        self._cancel_stall_timer()
        self.pool.node.memory.call_when_released(self._resume_answer)

    def _resume_answer(self) -> None:
        """Go on with an answer that has waited for room, if there is some now."""
        if self.reading_paused and not self.closed:
            self._await_rest()
            if self.stall_timer is not None:
                self.reading_paused = False
                self.transport.resume_reading()

    def _begin_value(self, attempt: Attempt, value: LongValue) -> None:
        data, self.buffer = self.buffer[value.start :], b""
        self.value_bytes_left, self.fields_after_value = value.length, value.field_count
        if not self.pool.node.begin_streaming(attempt, value.length, self):
            return self._close_unneeded()
        self._forward_value(data)

    def _forward_value(self, data: bytes) -> None:
        """Send a piece of the value to the client, and pause reading until the client accepts the next piece.

        The CRLF after a value shows whether its announced length was correct, so the attempt ends only once
        the CRLF has arrived.
        """
        attempt = self.attempt
        if attempt is None or self.value_bytes_left is None:
            return self.close(ConnectionEnd.UNSOLICITED)
        request = attempt.request
        if request.is_finished or not request.is_fed_by(attempt):
            return self._close_unneeded()
        piece = data[: self.value_bytes_left]
        self.value_bytes_left -= len(piece)
        if piece:
            request.client.send_piece(request, piece)
        if not self.value_bytes_left:
            self.buffer += data[len(piece) :]
            if self.buffer[:2] != b"\r\n"[: len(self.buffer)]:
                return self.fail_malformed()
            if len(self.buffer) >= 2:
                self.value_bytes_left = None
                return self._end_attempt(
                    attempt, it.Outcome.OK, b"", self.fields_after_value, self.buffer[2:]
                )
        elif not request.client.accepts_piece(request):
            self.reading_paused = True
            self.transport.pause_reading()
            return self._cancel_stall_timer()
        self._set_stall_timer(VALUE_STALL_LIMIT_S, self.fail_stalled)

    def resume_value(self) -> None:
        """Continue to read a streamed value once the client accepts more."""
        if self.reading_paused and not self.closed:
            self.reading_paused = False
            self._set_stall_timer(VALUE_STALL_LIMIT_S, self.fail_stalled)
            self.transport.resume_reading()

    def _end_attempt(
        self, attempt: Attempt, outcome: it.Outcome, value: bytes, field_count: int, remainder: bytes
    ) -> None:
        """End the attempt. The connection becomes idle once the fields after the value have arrived."""
        self._cancel_stall_timer()
        self._detach(attempt)
        self.fields_expected, self.buffer, self.reserved_bytes = field_count, remainder, 0
        if self.uploading:
            self.close(ConnectionEnd.EARLY_ANSWER)  # it would take the rest of the body for a command
        else:
            self._finish_answer()
        node = self.pool.node
        if attempt.request.body is not None:
            attempt.request.body.detach()
        node.end_attempt(attempt, outcome, value)

    def _finish_answer(self) -> None:
        complete = check_fields(self.buffer, 0, self.fields_expected or 0)
        if complete is None:
            # One time limit covers all fields. No request waits for them, and with a limit per piece, a host
            # that sends a few bytes now and then would occupy the connection forever.
            if self.stall_timer is None:
                self._set_stall_timer(FIELDS_LIMIT_S, self._close_without_fields)
            return
        if not complete:
            # Bytes that follow a valid answer must not be taken for the answer to the next request.
            return self.close(ConnectionEnd.MALFORMED)
        self._cancel_stall_timer()
        self.fields_expected, self.buffer = None, b""
        self.idle_since = self.pool.node.clock.now()
        self.pool.release(self)

    def _detach(self, attempt: Attempt) -> None:
        """Part with an attempt that ends; it keeps what has passed for it."""
        attempt.sent_bytes += self.send_progress.written_bytes
        attempt.received_bytes += self.received_bytes
        self.attempt = attempt.connection = None

    def _close_without_fields(self) -> None:
        self.close(ConnectionEnd.FIELDS_LATE)

    def _close_unneeded(self) -> None:
        """Close in the middle of an answer whose request has ended, or has the value of another attempt."""
        self.close(ConnectionEnd.ATTEMPT_ENDED, it.Outcome.CANCELLED, AttemptEnd.NOT_NEEDED)

    def fail_malformed(self) -> None:
        """Close the connection because its answer is malformed. The request may have run.

        The outcome is ERROR, which means that the host is up, and not RESET: any host may send a malformed
        answer, and that must not make it suspect.
        """
        self.close(ConnectionEnd.MALFORMED, it.Outcome.ERROR, AttemptEnd.MALFORMED)

    def fail_stalled(self) -> None:
        """Close the connection because its answer has stood still for too long, like a malformed one."""
        self.close(ConnectionEnd.ANSWER_STALLED, it.Outcome.ERROR, AttemptEnd.ANSWER_STALLED)

    def _set_stall_timer(self, limit_s: float, on_stall: Callable[[], None]) -> None:
        """Call `on_stall` after `limit_s` seconds unless progress cancels it; replaces an earlier timer."""
        self._cancel_stall_timer()
        self.stall_timer = self.pool.node.loop.call_later(limit_s, on_stall)

    def _cancel_stall_timer(self) -> None:
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None

    def close(
        self,
        reason: ConnectionEnd,
        outcome: it.Outcome | None = None,
        attempt_reason: AttemptEnd | None = None,
    ) -> None:
        """Close at once and discard unsent bytes.

        An open attempt ends with `outcome`; without an outcome its end is not reported.
        """
        if self.closed:
            return
        self._record_end(reason)
        self.closed, self.buffer = True, b""
        self._update_memory()
        self._cancel_stall_timer()
        attempt = self.attempt
        if attempt is not None:
            self._detach(attempt)
            # The event loop closes the socket only in its next turn, and a repeat may be sent before that.
            # This guards against two copies of a request being open at hosts at the same time.
            end_sending(self.transport)
        self.transport.abort()
        self.pool.remove(self)
        if attempt is not None:
            if attempt.request.body is not None:
                attempt.request.body.detach()
            if outcome is not None:
                self.pool.node.end_attempt(attempt, outcome, reason=attempt_reason)

    def _record_end(self, reason: ConnectionEnd) -> None:
        node = self.pool.node
        now = node.clock.now()
        deadline = self.attempt.request.deadline if self.attempt is not None else math.inf
        traffic = Traffic(
            self.received_bytes, self.send_progress.written_bytes, now - self.made_at, deadline - now
        )
        node.end_log.connection("host", self.number, reason, traffic)

    def eof_received(self) -> None:
        """Treat the end of input from the host as a lost connection, because no answer will come."""
        self._end_by_peer(ConnectionEnd.PEER_CLOSED)

    def connection_lost(self, error: Exception | None) -> None:
        """Close, unless this side has done so."""
        self._end_by_peer(ConnectionEnd.LOST if error is not None else ConnectionEnd.PEER_CLOSED)

    def _end_by_peer(self, reason: ConnectionEnd) -> None:
        """Close; the request provably did not run only if its last byte had not been sent."""
        is_incomplete = self.has_unsent_bytes or self.uploading
        outcome = it.Outcome.UNREACHABLE if is_incomplete else it.Outcome.RESET
        self.close(reason, outcome, AttemptEnd.CONNECTION_LOST)
