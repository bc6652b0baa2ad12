"""A client connection: reads commands, sends replies, and decides when and how the connection ends."""

from __future__ import annotations

import asyncio
import contextlib
import select
import sys
from collections import deque
from typing import Protocol, cast

from rainturn.node.arrival_times import ArrivalTimes
from rainturn.node.body import Body
from rainturn.node.client_commands import REQUEST_VERBS, CommandParser, MalformedCommand
from rainturn.node.client_replies import ClientReplies
from rainturn.node.client_timeouts import ConnectionTimeouts
from rainturn.node.gateway import Node
from rainturn.node.metrics import Ending
from rainturn.node.requests import Request
from rainturn.node.resp import ProtocolError, count_unread_bytes, count_unsent_bytes, parse_command
from rainturn.node.value_memory import ValueMemory

MAX_ERRORS = 8  # invalid commands on one connection; one more closes it
MAX_PENDING = 32  # unanswered commands per connection; further input stays unread
COMMAND_BATCH = 64  # commands of one connection per event loop iteration, so that other work is not delayed
LIVENESS_CHECK_INTERVAL_S = 0.1  # between checks for a hang-up of a client while reading is paused


class ConnectionOwner(Protocol):
    """The interface that a connection requires of the listener that accepted it."""

    node: Node
    parser: CommandParser
    timeouts: ConnectionTimeouts[ClientConnection]
    value_memory: ValueMemory
    draining: bool

    def has_room(self, request: Request) -> bool:
        """Return whether one more request may be open."""

    def on_idle(self, connection: ClientConnection) -> None:
        """Handle a connection whose requests have all been answered."""

    def on_closed(self, connection: ClientConnection) -> None:
        """Handle a connection that has ended."""


class ClientConnection(ClientReplies):
    """Reads the commands of one client, and closes the connection when the client exceeds a limit."""

    def __init__(self, owner: ConnectionOwner) -> None:
        super().__init__(owner.node.clock, owner.value_memory)
        self.owner, self.node, self.timeouts = owner, owner.node, owner.timeouts
        self.buffer = b""  # bytes of commands that are incomplete or not parsed yet
        self.arrivals = ArrivalTimes()
        self.body: Body | None = None  # of the command that is being received
        self.upload_request: Request | None = None  # request of that command, if its body is streamed
        self.unsent_bytes = 0  # bytes that the client had not received at the last check
        self.error_count = 0
        self.has_sent_valid_command = False
        self.reading_paused = False
        self.reading_ended = False  # whether the connection closes as soon as the client has its replies
        self.parsing = False  # guards against recursive parsing from within a command
        self.parse_handle: asyncio.Handle | None = None  # set while parsing continues in the next iteration
        self.liveness_timer: asyncio.TimerHandle | None = None  # set while reading is paused
        self.hangup_poll = select.poll()  # detects that the client has hung up, even behind unread input
        self.input_poll = select.poll()  # detects unread input

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the time limit within which a new client has to send a valid command."""
        self.transport = cast(asyncio.Transport, transport)
        descriptor = transport.get_extra_info("socket").fileno()
        self.hangup_poll.register(descriptor, select.POLLRDHUP)
        self.input_poll.register(descriptor, select.POLLIN)
        self.timeouts.enter(self.timeouts.awaiting_valid_command, self)

    # Reading.

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; a protocol error ends the connection, and the bytes after it are dropped."""
        if self.closing:
            return
        self.arrivals.note_received(len(data), self.node.clock.now())
        self.buffer = self.buffer + data if self.buffer else data
        self._parse()

    def _parse(self) -> None:
        if self.parsing or self.parse_handle is not None:
            return
        self.parsing = True
        data, position, incomplete, command_count = self.buffer, 0, False, 0
        data_offset = self.arrivals.received_bytes - len(data)  # offset of `data` in the stream
        try:
            while (
                position < len(data)
                and command_count < COMMAND_BATCH
                and not (self.closing or self.writing_paused)
                and (self.body is not None or not self._must_await_replies())
            ):
                if self.body is not None:
                    body = self.body
                    position, complete = self._read_body(body, data, position)
                    arrived_at = self.arrivals.consume(data_offset + position)
                    if not complete:
                        break
                    self._end_body(body, arrived_at)
                    continue
                if (parsed := parse_command(data, position)) is None:
                    incomplete = True
                    break
                position = parsed.end
                command_count += 1
                if parsed.body_length is None:
                    self._execute(parsed.arguments, self.arrivals.consume(data_offset + position))
                else:
                    self._begin_body(
                        Body(parsed.arguments, parsed.body_length),
                        self.arrivals.consume(data_offset + position),
                    )
        except ProtocolError as error:
            self._reject(str(error))
        finally:
            self.parsing = False
        self.buffer = b"" if self.closing else data[position:] if position else data
        if command_count == COMMAND_BATCH and self.buffer:
            self._parse_next_turn()
        if incomplete:
            if position:
                self.timeouts.incomplete.pop(self, None)  # the earlier incomplete command is now complete
            self.timeouts.idle.pop(self, None)
            self.timeouts.enter(self.timeouts.incomplete, self)
        elif self in self.timeouts.incomplete:
            del self.timeouts.incomplete[self]
        self.timeouts.uploading.pop(self, None)
        self._update_reading()
        if not (self.pending or self.buffer or self.closing or self.transport.is_closing()):
            self._on_all_answered()

    def _parse_next_turn(self) -> None:
        if self.parse_handle is None and not self.parsing:
            self.parse_handle = self.node.loop.call_soon(self._parse_batch)

    def _parse_batch(self) -> None:
        self.parse_handle = None
        if self.is_connected():
            self._parse()

    def _begin_body(self, body: Body, arrived_at: float) -> None:
        """Begin a command with a body: execute it now if the body is streamed, otherwise once it is complete.

        A client that sends a short body counts as valid from here on if the other arguments are valid.
        """
        self.body = body
        body.resume_reading = self._update_reading
        if body.is_streamed:
            self._execute(body.arguments, arrived_at, body)
        elif not self.has_sent_valid_command:
            with contextlib.suppress(MalformedCommand):
                self.owner.parser.parse_request([*body.arguments, b""], self, arrived_at)
                self._note_valid_command()

    def _read_body(self, body: Body, data: bytes, position: int) -> tuple[int, bool]:
        """Read the available bytes of a body; return the position after them and whether it is complete."""
        piece = data[position : position + body.bytes_left]
        if piece:
            body.add_piece(piece)
        position += len(piece)
        tail = data[position : position + 2]
        if body.bytes_left or len(tail) < 2:
            if tail[:1] not in (b"", b"\r"):
                raise ProtocolError("a length does not fit")
            return position, False
        if tail != b"\r\n":
            raise ProtocolError("a length does not fit")
        return position + 2, True

    def _end_body(self, body: Body, arrived_at: float) -> None:
        """End a command with a body, whose last byte arrived at `arrived_at` (Unix time in ms)."""
        self.body, request, self.upload_request = None, self.upload_request, None
        body.finish_receiving()
        if not body.is_streamed:
            self._execute([*body.arguments, b"".join(body.pieces)], arrived_at)
        elif request is not None:
            self.node.complete_body(request, arrived_at + request.time_limit_ms)
        if body.is_streamed and not self.pending:
            self._on_all_answered()

    def _update_reading(self) -> None:
        """Pause reading while many requests are open or the client leaves replies unread; resume it after.

        Guards against a client that never reads its replies and so fills the memory: once its replies no
        longer go out, only the replies to the requests that are already open can accumulate.
        """
        pause = self.reading_ended or (not self.closing and (self.writing_paused or self._has_enough_input()))
        if pause != self.reading_paused and not self.transport.is_closing():
            self.reading_paused = pause
            self._cancel_liveness_timer()
            if pause:
                self.transport.pause_reading()
                self._note_unread()
                self.liveness_timer = self.node.loop.call_later(
                    LIVENESS_CHECK_INTERVAL_S, self._check_liveness
                )
            else:
                self.transport.resume_reading()
        if self.body is None or pause or self.closing:
            self.timeouts.uploading.pop(self, None)
        else:
            self.timeouts.idle.pop(self, None)
            self.timeouts.enter(self.timeouts.uploading, self)

    def _is_receiving_streamed_body(self) -> bool:
        """Return whether the rest of a streamed body is due, whose command is already being executed."""
        return self.body is not None and self.body.is_streamed

    def _has_enough_input(self) -> bool:
        """Return whether the parser, the body or the open requests cannot accept more input for now."""
        if self.parse_handle is not None:
            return True
        if self.body is not None and self.body.is_streamed:
            return not self.body.accepts_more()
        return self._must_await_replies()

    def _must_await_replies(self) -> bool:
        """Return whether earlier commands have to be answered before the next one is executed.

        Guards against losing the requests behind a long value that is sent as it arrives: if the value is cut
        short, the connection closes.
        """
        if len(self.pending) >= MAX_PENDING:
            return True
        return any(isinstance(entry, Request) and entry.is_streaming() for entry in self.pending)

    def begin_value(self, request: Request, length: int) -> bool:
        """Begin a long value; if it is sent as it arrives, read no commands until it has been sent."""
        has_begun = super().begin_value(request, length)
        self._update_reading()
        return has_begun

    def _has_commands_behind(self, request: Request) -> bool:
        """Return whether commands behind the one of this request have been read, or are still being read.

        A part of a command does not count, as the rest of it stays unread: the client sends it once more.
        """
        if self.pending and self.pending[-1] is not request:
            return True
        has_whole_command = bool(self.buffer) and self not in self.timeouts.incomplete
        return has_whole_command or self._is_receiving_streamed_body()

    # Commands.

    def _execute(self, arguments: list[bytes], arrived_at: float, body: Body | None = None) -> None:
        """Execute a command; if its body is streamed, the body may still be incomplete.

        `arrived_at` is the time at which the last byte received so far arrived, in Unix ms.
        """
        verb = arguments[0].upper()
        if body is not None:
            body.is_discarded = True  # until a request accepts the body
        if verb in REQUEST_VERBS:
            self._begin_request(arguments, arrived_at, body)
        elif verb == b"PING":
            self._note_valid_command()
            self._reply(b"+PONG\r\n" if self.node.is_ready() else b"-ERR not ready\r\n")
        elif verb in (b"CLIENT", b"SELECT"):
            self._note_valid_command()
            self._reply(b"+OK\r\n")
        else:
            self._reply_error("unknown command")

    def _begin_request(self, arguments: list[bytes], arrived_at: float, body: Body | None) -> None:
        try:
            request = self.owner.parser.parse_request(arguments, self, arrived_at, body)
        except MalformedCommand as error:
            return self._reply_error(str(error))
        self._note_valid_command()
        if not self.owner.has_room(request):
            self.node.metrics.count_ending(request.arrival.request_class, Ending.DROPPED)
            return self._reply(b"-BUSY\r\n")
        self.timeouts.idle.pop(self, None)
        self.pending.append(request)
        if body is not None:
            body.is_discarded, self.upload_request = False, request
        self.node.add_request(request)

    def _note_valid_command(self) -> None:
        """Record that the client has sent a valid command."""
        if not self.has_sent_valid_command:
            self.has_sent_valid_command = True
            self.timeouts.awaiting_valid_command.pop(self, None)

    def _reply_error(self, reason: str) -> None:
        """Reply to an invalid command with an error; too many of them end the connection."""
        self.error_count += 1
        if self.error_count > MAX_ERRORS:
            return self._reject("too many errors")
        if self.pending:
            self.timeouts.enter(self.timeouts.error_queued, self)
        self._reply(b"-ERR %s\r\n" % reason.encode())

    def _reject(self, reason: str) -> None:
        """Stop reading, reply with an error after all earlier replies, then close the connection."""
        self.closing, self.body = True, None
        self.timeouts.awaiting_valid_command.pop(self, None)
        request, self.upload_request = self.upload_request, None
        if request is not None and not request.is_finished:
            self.node.abandon_request(request)  # its body was never complete; the error below is its reply
            self._discard_value(request)
            if request in self.pending:
                self.pending.remove(request)
        if self.pending:
            self.timeouts.enter(self.timeouts.error_queued, self)
        self._reply(b"-ERR %s\r\n" % reason.encode())

    # Expired time limits, called by the sweep.

    def abort(self) -> None:
        """Close the connection immediately."""
        self.transport.abort()

    def close_if_silent(self) -> None:
        """Close a connection that has sent nothing for too long.

        Guards against cutting off a request that arrived in time when the event loop is late, since timers
        run before sockets are read. After the next read, a client that has sent a valid command counts as
        idle again; any other client must have sent one by then.
        """
        if not self.has_unread_input():
            self._close_gracefully()
        elif not self.has_sent_valid_command:
            self.node.loop.call_later(0, self._abort_if_no_valid_command)

    def _abort_if_no_valid_command(self) -> None:
        if not (self.has_sent_valid_command or self.closing):
            self.abort()

    def reject_incomplete(self) -> None:
        """Reject an incomplete command with an error.

        Guards against a partial command, or a line that never ends, holding the connection open.
        """
        self._reject("the command did not come whole in time")
        self.buffer = b""
        self._update_reading()
        self.answer_pending_requests()  # the error is due now, but has to follow their replies

    def abort_unless_reading(self) -> None:
        """Abort a connection that is being closed, unless the client is still reading its replies."""
        unsent_bytes = count_unsent_bytes(self.transport)
        if not unsent_bytes or unsent_bytes >= self.unsent_bytes:
            return self.abort()
        self.unsent_bytes = unsent_bytes
        self.timeouts.enter(self.timeouts.lingering, self)

    def check_write_progress(self) -> None:
        """Abort the connection if the client has read nothing since the last check; a slow client stays."""
        unsent_bytes = count_unsent_bytes(self.transport)
        if unsent_bytes >= self.unsent_bytes:
            return self.abort()
        self.unsent_bytes = unsent_bytes
        self.timeouts.enter(self.timeouts.write_stalled, self)

    def answer_pending_requests(self) -> None:
        """Give the open requests their final replies now.

        Guards against an error waiting for a long time behind open requests.
        """
        for entry in list(self.pending):
            if isinstance(entry, Request) and not entry.is_finished and not entry.is_streaming():
                self.node.end_request_now(entry)

    # Sent replies.

    def _on_replies_written(self) -> None:
        if self.reading_paused:
            self._parse_next_turn()
        if self.pending:
            self._resume_value()
        else:
            self.timeouts.error_queued.pop(self, None)
            self._on_all_answered()

    def _on_all_answered(self) -> None:
        if self.body is not None:
            return  # the rest of a command that has already been answered is still being received
        if self.closing:
            # Guards against a reset that overtakes the last reply: the client closes its side first.
            self._close_write_side()
        elif self.buffer:
            return  # a command is incomplete, or is parsed next
        elif self.owner.draining:
            self.close_if_idle()
        elif self.has_sent_valid_command:
            self.owner.on_idle(self)

    def pause_writing(self) -> None:
        """Handle a full write buffer: the client leaves replies unread."""
        self.writing_paused = True
        self.unsent_bytes = count_unsent_bytes(self.transport)
        self.timeouts.enter(self.timeouts.write_stalled, self)
        self._update_reading()

    def resume_writing(self) -> None:
        """Continue parsing and sending once the client reads again."""
        self.writing_paused = False
        self._release_sent_values()
        self.timeouts.write_stalled.pop(self, None)
        self._parse()
        self._resume_value()

    # Closing.

    def close_if_idle(self) -> None:
        """Close the connection between requests; a partly received command, read or not, is served first."""
        if self.pending or self.buffer or self.body is not None:
            return
        if not (self.closing or self.transport.is_closing() or self.has_unread_input()):
            self._close_gracefully()

    def _close_gracefully(self) -> None:
        """Close between requests: immediately if the client's machine has all replies, otherwise once it has.

        Guards against bytes from the client that arrive during the close. They turn it into a reset, which
        drops the replies that have not left this machine yet.
        """
        if not count_unsent_bytes(self.transport):
            return self.transport.close()
        self.closing = self.reading_ended = True
        self._update_reading()
        self._close_write_side()

    def _end_after_cut_value(self) -> None:
        """Close after a part of a long value, once the client's machine has what was sent before."""
        self.pending.clear()
        self._close_gracefully()

    def _close_write_side(self) -> None:
        """Half-close the connection; the client has some time to read the replies already written."""
        self.transport.write_eof()
        self.unsent_bytes = sys.maxsize
        self.timeouts.idle.pop(self, None)
        self.timeouts.enter(self.timeouts.lingering, self)

    def is_evictable(self) -> bool:
        """Return whether a connection without open requests may be closed immediately.

        It may not while replies are in transit, or while there is unread input that is still to be served.
        """
        return not (count_unsent_bytes(self.transport) or (self.has_unread_input() and not self.closing))

    def has_unread_input(self) -> bool:
        """Return whether bytes of the client, or its end of stream, wait in the socket buffer."""
        return not self.transport.is_closing() and bool(self.input_poll.poll(0))

    def is_connected(self) -> bool:
        """Return whether the client is still connected; if it is not, end its requests.

        Called before each attempt. Guards against attempts that begin after the client has hung up but
        before the event loop reads its end of stream: for commands in our buffers, after any wait, or when
        the loop is late.
        """
        if self.transport.is_closing():
            self._drop_requests()  # aborted, or broken and not reported by the event loop yet
        elif self.hangup_poll.poll(0):
            self._on_hangup()
        return not self.transport.is_closing()

    def _check_liveness(self) -> None:
        """Detect a client that has hung up while reading is paused, when its end of stream is not read."""
        if self.is_connected():
            self._note_unread()
            self.liveness_timer = self.node.loop.call_later(LIVENESS_CHECK_INTERVAL_S, self._check_liveness)

    def _note_unread(self) -> None:
        """Record bytes that arrive while reading is paused: the time limits of their commands have begun."""
        self.arrivals.note_unread(count_unread_bytes(self.transport), self.node.clock.now())

    def _cancel_liveness_timer(self) -> None:
        if self.liveness_timer is not None:
            self.liveness_timer.cancel()
            self.liveness_timer = None

    def _on_hangup(self) -> None:
        """Abort the connection of a client that has left; replies that it has not read are dropped."""
        self.closing = True
        self._cancel_liveness_timer()
        self.transport.abort()
        self._drop_requests()

    def _drop_requests(self) -> None:
        pending, self.pending = self.pending, deque()
        for entry in pending:
            if isinstance(entry, Request):
                self.node.abandon_request(entry)
                self._discard_value(entry)
        self._release_sent_values()

    def eof_received(self) -> None:
        """Handle the client's end of stream immediately, without waiting for pending writes."""
        self._on_hangup()

    def connection_lost(self, error: Exception | None) -> None:
        """Free all state of the connection, and report the end of its requests to the decision module."""
        self._on_hangup()
        self.owner.on_closed(self)
