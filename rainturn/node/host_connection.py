"""A connection to a host. It carries one attempt at a time: it sends the command, then reads the answer."""

from __future__ import annotations

import asyncio

from rainturn import interface as it
from rainturn.node.answer_progress import AnswerProgress
from rainturn.node.end_log import AttemptEnd, ConnectionEnd
from rainturn.node.host_sending import ConnectionOwner, SendingConnection
from rainturn.node.input_buffer import READ_SIZE, READ_VIEW
from rainturn.node.memory_account import MIN_HOLDING_BYTES
from rainturn.node.requests import Attempt, StreamStart
from rainturn.node.resp import (
    LongValue,
    ProtocolError,
    check_fields,
    count_missing_bytes,
    parse_answer,
)

STALL_LIMIT_S = 10.0  # longest pause between two pieces of an answer; its request's deadline is often earlier
# Longest pause between two pieces of a long value, which is streamed to the client.
VALUE_STALL_LIMIT_S = 10.0
FIELDS_LIMIT_S = 10.0  # how long the fields after a value may take; no request waits for them
MIN_READ_BYTES = MIN_ANSWER_BYTES = MIN_HOLDING_BYTES  # what is read of an answer whatever the account holds


class HostConnection(SendingConnection, asyncio.BufferedProtocol):
    """A connection to a host: the receiving side."""

    def __init__(self, pool: ConnectionOwner, address: tuple[str, int]) -> None:
        super().__init__(pool, address)
        self.value_bytes_left: int | None = None  # remaining bytes of a streamed value
        self.fields_after_value = 0  # number of fields that follow the streamed value
        self.fields_expected: int | None = None  # number of fields after a complete value; None before that
        self.reading_paused = False  # whether reading waits for the client, or for room for the answer

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
        self._parse_answer()
        if attempt is not None and self.attempt is attempt and self.value_bytes_left is None:
            self._note_piece(attempt)  # its answer is not whole yet

    def _parse_answer(self) -> None:
        attempt = self.attempt
        if attempt is None:
            self.pool.note_second_answer(self.pool.node.clock.now() - self.idle_since)
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
        self._await_room()

    def _await_room(self) -> None:
        """Read nothing more of an answer until bytes of the memory account are released."""
        if not self.reading_paused:
            self.reading_paused = True
            self.transport.pause_reading()
        self._cancel_stall_timer()
        self.pool.node.memory.call_when_released(self._resume_answer)

    def _resume_answer(self) -> None:
        """Go on with an answer that has waited for room; it waits again if there is none yet."""
        is_waiting = self.reading_paused and self.value_bytes_left is None
        if self.closed or self.attempt is None or not is_waiting:
            return
        self.reading_paused = False
        self.transport.resume_reading()
        self._parse_answer()
        self._update_memory()

    def _note_piece(self, attempt: Attempt) -> None:
        """Record that a part of the answer has come, and tell the decision module of the first one."""
        now = self.pool.node.clock.now()
        if attempt.progress is not None:
            return attempt.progress.note_piece(now)
        attempt.progress = AnswerProgress(now)
        self.pool.node.dispatch(it.AnswerBegan(attempt.request.number, attempt.number))

    def _begin_value(self, attempt: Attempt, value: LongValue) -> None:
        start = self.pool.node.begin_streaming(attempt, value.length, self)
        if start is StreamStart.NO_ROOM:
            return self._await_room()
        if start is StreamStart.UNWANTED:
            return self._close_unneeded()
        data, self.buffer = self.buffer[value.start :], b""
        self.value_bytes_left, self.fields_after_value = value.length, value.field_count
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
        self._note_piece(attempt)
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
            # One time limit covers all fields: with a limit per piece, a host that sends a few bytes now and
            # then would occupy the connection forever.
            if self.stall_timer is None:
                self._set_stall_timer(FIELDS_LIMIT_S, self._close_without_fields)
                self.pool.keep_for_fields(self)
            return
        if not complete:
            # Bytes that follow a valid answer must not be taken for the answer to the next request.
            return self.close(ConnectionEnd.MALFORMED)
        self._cancel_stall_timer()
        self.fields_expected, self.buffer = None, b""
        self.idle_since = self.pool.node.clock.now()
        self.pool.release(self)

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
