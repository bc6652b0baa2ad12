"""A client connection: reads commands and executes them."""

from __future__ import annotations

import asyncio
import contextlib

from rainturn.node.body import Body
from rainturn.node.client_closing import LIVENESS_CHECK_INTERVAL_S, ClosingConnection, ConnectionOwner
from rainturn.node.client_commands import REQUEST_VERBS, MalformedCommand
from rainturn.node.metrics import Ending
from rainturn.node.requests import Request
from rainturn.node.resp import ProtocolError, parse_command

MAX_ERRORS = 8  # invalid commands on one connection; one more closes it
MAX_PENDING = 32  # unanswered commands per connection; further input stays unread
COMMAND_BATCH = 64  # commands of one connection per event loop iteration, so that other work is not delayed


class ClientConnection(ClosingConnection):
    """Reads the commands of one client, and closes the connection when the client exceeds a limit."""

    def __init__(self, owner: ConnectionOwner) -> None:
        super().__init__(owner)
        self.upload_request: Request | None = None  # request of that command, if its body is streamed
        self.error_count = 0
        self.parsing = False  # guards against recursive parsing from within a command
        self.parse_handle: asyncio.Handle | None = None  # set while parsing continues in the next iteration

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
        self._watch_write_progress()
        self._update_reading()

    def resume_writing(self) -> None:
        """Continue parsing and sending once the client reads again."""
        self.writing_paused = False
        self._release_sent_values()
        self.timeouts.write_stalled.pop(self, None)
        self._parse()
        self._resume_value()
