"""The sending side of a connection to a host: commands, and the end of the connection."""

from __future__ import annotations

import asyncio
import math
import select
from collections.abc import Callable
from typing import Protocol

from rainturn import interface as it
from rainturn.node.end_log import AttemptEnd, ConnectionEnd, Traffic
from rainturn.node.gateway import Node
from rainturn.node.memory_account import Holding
from rainturn.node.requests import Attempt
from rainturn.node.resp import OutgoingConnection, count_unsent_bytes, encode_array, end_sending
from rainturn.node.send_progress import SendProgress
from rainturn.node.transfer_watch import TransferWatch

UPLOAD_STALL_LIMIT_S = 10.0  # how long a host may accept no byte of a streamed request body
WATCHED_COMMAND_BYTES = 4096  # shorter commands fit into a host's receive buffer
TRANSFER_CHECK_S = 0.02


class ConnectionOwner(Protocol):
    """The part of a pool that its connections use."""

    @property
    def node(self) -> Node:
        """The gateway's event loop and clock."""

    @property
    def idle_limit_ms(self) -> float:
        """How long a connection may stay idle before it is closed."""

    def release(self, connection: SendingConnection) -> None:
        """Keep a connection without an attempt as idle if it may be reused; otherwise close it."""

    def keep_for_fields(self, connection: SendingConnection) -> None:
        """Keep a connection whose last answer lacks its fields, until they come or its place is needed."""

    def note_second_answer(self, lateness_ms: float) -> None:
        """Learn that a host has sent something so long after an answer, with no attempt on the connection."""

    def remove(self, connection: SendingConnection) -> None:
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


class SendingConnection(OutgoingConnection):
    """Sends one command at a time to a host, and closes with a reason. A pool owns it."""

    def __init__(self, pool: ConnectionOwner, address: tuple[str, int]) -> None:
        super().__init__()
        self.pool, self.address = pool, address
        self.number = pool.node.end_log.number_connection()
        self.made_at = self.idle_since = pool.node.clock.now()  # idle since its last answer ended
        self.received_bytes = 0
        self.attempt: Attempt | None = None
        self.input_poll = select.poll()  # detects input that the event loop has not read yet
        self.stall_timer: asyncio.TimerHandle | None = None  # runs while the host has to send or accept bytes
        self.transfer_timer: asyncio.TimerHandle | None = None  # until the host has taken a command
        self.is_transfer_under_way = False  # as the decision module was told last
        self.uploading = False  # whether part of a streamed body still has to be sent
        self.send_progress = SendProgress()
        self.memory = Holding(pool.node.memory)  # of the answer and of what is written and not sent
        self.unsent_bytes = 0  # written since the write buffer was last empty
        self.reserved_bytes = 0  # for an answer that is buffered whole

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
        command = encode_command(attempt, now)
        self._write(command)
        if body is not None:
            return body.attach(self)
        self._count_sent()
        if len(command) > WATCHED_COMMAND_BYTES:
            self._begin_transfer(len(command), now)

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

    # Whether the host takes a command that is sent at once. A body that is streamed cannot be moved anyway.

    def _begin_transfer(self, size: int, now: float) -> None:
        """Tell the decision module that the host's silence shows nothing while it takes the command."""
        self._tell_transfer(True)
        self._check_transfer(TransferWatch(size, now))

    def _check_transfer(self, watch: TransferWatch) -> None:
        """Follow the transfer of a command to its end."""
        self.transfer_timer = None
        if self.closed or self.attempt is None:
            return
        now = self.pool.node.clock.now()
        watch.note(count_unsent_bytes(self.transport), now)
        if watch.is_under_way(now) != self.is_transfer_under_way:
            self._tell_transfer(watch.is_under_way(now))
        if not watch.is_over(now):
            self.transfer_timer = self.pool.node.loop.call_later(
                TRANSFER_CHECK_S, self._check_transfer, watch
            )

    def _tell_transfer(self, is_under_way: bool) -> None:
        self.is_transfer_under_way = is_under_way
        if self.attempt is not None:
            request = self.attempt.request
            self.pool.node.dispatch(it.CommandTransfer(request.number, self.attempt.number, is_under_way))

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

    # Time limits.

    def _set_stall_timer(self, limit_s: float, on_stall: Callable[[], None]) -> None:
        """Call `on_stall` after `limit_s` seconds unless progress cancels it; replaces an earlier timer."""
        self._cancel_stall_timer()
        self.stall_timer = self.pool.node.loop.call_later(limit_s, on_stall)

    def _cancel_stall_timer(self) -> None:
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None

    # The end.

    def _detach(self, attempt: Attempt) -> None:
        """Part with an attempt that ends; it keeps what has passed for it."""
        attempt.sent_bytes += self.send_progress.written_bytes
        attempt.received_bytes += self.received_bytes
        self.attempt = attempt.connection = None
        if self.transfer_timer is not None:
            self.transfer_timer.cancel()
            self.transfer_timer = None

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
