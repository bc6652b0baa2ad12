"""A client connection: reads commands and executes them."""

from __future__ import annotations

import contextlib

from rainturn.node.body import Body
from rainturn.node.client_closing import ConnectionOwner
from rainturn.node.client_commands import REQUEST_VERBS, MalformedCommand
from rainturn.node.client_input import InputConnection
from rainturn.node.command_skipper import CommandSkipper
from rainturn.node.end_log import ConnectionEnd, RequestEnd
from rainturn.node.requests import Request

MAX_ERRORS = 8  # invalid commands on one connection; one more closes it
BUSY_REPLY = b"-BUSY\r\n"


class ClientConnection(InputConnection):
    """Executes the commands of one client, and closes the connection when the client exceeds a limit."""

    def __init__(self, owner: ConnectionOwner) -> None:
        super().__init__(owner)
        self.error_count = 0

    # Bodies.

    def _begin_body(self, body: Body, arrived_at: float) -> None:
        """Begin a command with a body: execute it now if the body is streamed, otherwise once it is complete.

        A client that sends a short body counts as valid from here on if the other arguments are valid.
        """
        self.body = body
        body.on_change = self._update_input
        body.is_client_present = lambda: self.is_connected() and not self.is_blocked()
        if body.is_streamed:
            self._execute(body.arguments, arrived_at, body)
        elif not self.has_sent_valid_command:
            with contextlib.suppress(MalformedCommand):
                self.owner.parser.parse_request([*body.arguments, b""], self, arrived_at)
                self._note_valid_command()

    def _end_body(self, body: Body, arrived_at: float) -> None:
        """End a command with a body, whose last byte arrived at `arrived_at` (Unix time in ms)."""
        self.body, request, self.upload_request = None, self.upload_request, None
        if not body.is_streamed:
            if not body.is_discarded:
                self._execute([*body.arguments, b"".join(body.pieces)], arrived_at)
        else:
            if request is not None:
                self.node.complete_body(request, arrived_at)
            body.finish_receiving()
            if not self.pending:
                self._on_all_answered()

    # Long values.

    def begin_value(self, request: Request, length: int) -> bool:
        """Begin a long value; if it is sent as it arrives, read no commands until it has been sent."""
        has_begun = super().begin_value(request, length)
        self._update_reading()
        return has_begun

    def release_value(self, request: Request) -> None:
        """Send what has come of a value that was to be sent whole, and the rest as it arrives."""
        super().release_value(request)
        self._update_reading()

    def _has_commands_behind(self, request: Request) -> bool:
        """Return whether commands behind the one of this request have been read, or are still being read.

        A part of a command does not count, as the rest of it stays unread: the client sends it once more.
        """
        if self.pending and self.pending[-1] is not request:
            return True
        has_whole_command = bool(self.buffer) and self not in self.timeouts.incomplete
        return has_whole_command or (self.body is not None and self.body.is_streamed)

    # Input for which there is no room.

    def _refuse_incomplete(self) -> None:
        """Refuse a command whose rest finds no room, and skip that rest."""
        self.timeouts.incomplete.pop(self, None)
        self._note_valid_command()
        self.skipper = CommandSkipper()
        if not self.skipper.skip(self.buffer):
            self.buffer.compact()
        self.input.resize(self.buffer.held_bytes)
        self._reply(BUSY_REPLY)

    def _on_blocked(self) -> None:
        """Refuse the requests that have not been sent to a host: their client may have left.

        A request whose body is on its way to a host goes on; the time of the rest of the body counts from the
        beginning of the block, as the client may have written it by then.
        """
        if self.arrivals.blocked_since is None or self.closing:
            return
        for entry in list(self.pending):
            if isinstance(entry, Request) and entry.is_unanswered() and not entry.is_begun():
                self.node.endings.end_now(entry, RequestEnd.CLIENT_UNKNOWN)
        request = self.upload_request
        if request is not None and not request.is_finished:
            self.node.deadlines.begin_time(request, self.arrivals.blocked_since)

    def _on_dry(self) -> None:
        """Go on with what had to wait until the client was known to be connected."""
        if self.upload_request is not None:
            self.node.deadlines.withdraw_time(self.upload_request)
        for entry in list(self.pending):
            if isinstance(entry, Request) and entry.body is not None:
                entry.body.forward()
        self._parse()

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
        if self.is_input_full or not self.owner.has_room(request):
            self.node.endings.refuse_unregistered(request)
            return self._reply(BUSY_REPLY)
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
        self._note_end(ConnectionEnd.REJECTED)
        self.closing, self.body, self.skipper = True, None, None
        self.timeouts.awaiting_valid_command.pop(self, None)
        request, self.upload_request = self.upload_request, None
        if request is not None and not request.is_finished:
            self.node.abandon_request(request, RequestEnd.INCOMPLETE)  # the error below is its reply
            self._discard_value(request)
            if request in self.pending:
                self.pending.remove(request)
        if self.pending:
            self.timeouts.enter(self.timeouts.error_queued, self)
        self._reply(b"-ERR %s\r\n" % reason.encode())

    # Sent replies.

    def _on_replies_written(self) -> None:
        if self.writing_paused:
            self._update_reading()
        if self.reading_paused or self.buffer:
            self._parse_next_turn()
        if self.pending:
            self._resume_value()
        else:
            self.timeouts.error_queued.pop(self, None)
            self._on_all_answered()

    def _on_all_answered(self) -> None:
        if self.closing:
            # Guards against a reset that overtakes the last reply: the client closes its side first.
            self._close_write_side()
        elif self._is_receiving():
            return  # of a command that has already been answered, that is incomplete, or is parsed next
        elif self.owner.draining:
            self.close_if_idle()
        elif self.has_sent_valid_command:
            self.owner.on_idle(self)

    def pause_writing(self) -> None:
        """Handle replies that stay in the write buffer: the client does not take them at once."""
        self.writing_paused = True
        self._watch_write_progress()

    def resume_writing(self) -> None:
        """Continue parsing and sending once the client reads again."""
        self.writing_paused, self.unsent_bytes = False, 0
        self._update_output()
        self.timeouts.write_stalled.pop(self, None)
        self._parse()
        self._resume_value()
