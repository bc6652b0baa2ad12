"""The receiving side of a client connection: reads within the memory account, parses commands in turns."""

from __future__ import annotations

import asyncio

from rainturn.node.arrival_times import ArrivalTimes
from rainturn.node.body import Body
from rainturn.node.client_closing import ClosingConnection, ConnectionOwner
from rainturn.node.command_skipper import CommandSkipper
from rainturn.node.input_buffer import READ_SIZE, READ_VIEW, InputBuffer
from rainturn.node.memory_account import Holding
from rainturn.node.requests import Request
from rainturn.node.resp import ProtocolError, count_unread_bytes, parse_command

MAX_PENDING = 32  # unanswered commands per connection; further ones are read and wait unparsed
COMMANDS_PER_TURN = 8  # of one connection, after which others have their turn
BYTES_PER_TURN = 1 << 16  # of these commands; the last one may exceed it
LIVENESS_CHECK_INTERVAL_S = 0.1  # between checks for a hang-up of a client while reading is paused
DRY_S = 0.02  # how long a stream has to give nothing until it has run dry
MIN_READ_BYTES = 512  # with less room nothing is read
BLOCK_GRACE_MS = 50.0  # how long after a client could last be told to be connected its requests still begin


class InputConnection(ClosingConnection):
    """Reads what a client sends.

    Input is read also while no command can be executed, so that the client's end of stream is seen behind it.
    Only if there is no room for it in the memory account, it stays unread. Whether the client is still there
    cannot be told then: its requests that have not been sent to a host are refused.
    """

    def __init__(self, owner: ConnectionOwner) -> None:
        super().__init__(owner)
        self.buffer = InputBuffer()
        self.input = Holding(owner.node.memory)  # of the buffer and of the body that is being received
        self.arrivals = ArrivalTimes()
        self.body: Body | None = None  # of the command that is being received
        self.skipper: CommandSkipper | None = None  # set while the rest of a refused command is received
        self.upload_request: Request | None = None  # request of that command, if its body is streamed
        self.parsing = False  # guards against recursive parsing from within a command
        self.is_turn_due = False  # whether parsing continues in a later iteration of the event loop
        self.is_input_full = False  # whether reading is paused because there is no room for more input
        self.liveness_timer: asyncio.TimerHandle | None = None  # set while reading is paused
        self.dry_timer: asyncio.TimerHandle | None = None  # set while the stream may run dry

    # Receiving.

    def received_bytes(self) -> int:
        """Return how many bytes the client has sent, as far as they have been read."""
        return self.arrivals.received_bytes

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return a buffer for the next read, no larger than there is room for."""
        if self.closing or self.skipper is not None:
            return READ_VIEW
        return READ_VIEW[: max(MIN_READ_BYTES, min(READ_SIZE, self.input.room()))]

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes; a protocol error ends the connection, and the bytes after it are dropped."""
        if self.closing:
            return
        self.arrivals.note_received(nbytes, self.node.clock.now())
        self.buffer.append(bytes(READ_VIEW[:nbytes]))
        self._parse()

    def _parse(self) -> None:
        if self.parsing or self.is_turn_due:
            return self._update_input()
        self.parsing, is_incomplete, has_parsed = True, False, False
        commands_left, turn_end = COMMANDS_PER_TURN, self._stream_offset() + BYTES_PER_TURN
        try:
            while self._may_parse() and not is_incomplete:
                if self._is_at_command_start():
                    if not commands_left or self._stream_offset() >= turn_end:
                        break
                    commands_left -= 1
                is_incomplete = not self._parse_next()
                has_parsed = has_parsed or not is_incomplete
        except ProtocolError as error:
            self._reject(str(error))
        finally:
            self.parsing = False
        if self.closing:
            self.buffer.clear()
        elif self._may_parse() and not is_incomplete:
            self._parse_next_turn()
        self._time_incomplete(is_incomplete, has_parsed)
        self._update_input()
        if not (self.pending or self._is_receiving() or self.closing or self.transport.is_closing()):
            self._on_all_answered()

    def _may_parse(self) -> bool:
        """Return whether there is input for the parser, and it may be parsed now."""
        if self.closing or self._leaves_replies_unread() or not self.buffer:
            return False
        return not self._is_at_command_start() or not self._must_hold_commands()

    def _is_at_command_start(self) -> bool:
        return self.body is None and self.skipper is None

    def _must_hold_commands(self) -> bool:
        """Return whether the next command has to wait.

        It waits for earlier replies, and for the end of the client's input if that has been blocked.
        """
        return self._must_await_replies() or (self.is_blocked() and not self.is_input_full)

    def _parse_next(self) -> bool:
        """Parse a command, or more of a body; return whether it was whole."""
        if self.buffer.position == len(self.buffer.data):
            self.buffer.extend()
        if self.skipper is not None:
            return self._skip(self.skipper)
        if self.body is not None:
            return self._parse_body(self.body)
        while (parsed := parse_command(self.buffer.data, self.buffer.position)) is None:
            if not self.buffer.extend():
                return False
        self.buffer.position = parsed.end
        arrived_at = self.arrivals.consume(self._stream_offset())
        if parsed.body_length is None:
            self._execute(parsed.arguments, arrived_at)
        else:
            self._begin_body(Body(parsed.arguments, parsed.body_length), arrived_at)
        return True

    def _parse_body(self, body: Body) -> bool:
        """Parse what has come of a body and of the CRLF after it; return whether it is complete."""
        buffer = self.buffer
        while body.bytes_left:
            piece = buffer.data[buffer.position : buffer.position + body.bytes_left]
            buffer.position += len(piece)
            if piece:
                body.add_piece(piece)
            if body.bytes_left and not buffer.extend():
                return False
        while len(tail := buffer.data[buffer.position : buffer.position + 2]) < 2:
            if tail not in (b"", b"\r"):
                raise ProtocolError("a length does not fit")
            if not buffer.extend():
                return False
        if tail != b"\r\n":
            raise ProtocolError("a length does not fit")
        buffer.position += 2
        self._end_body(body, self.arrivals.consume(self._stream_offset()))
        return True

    def _skip(self, skipper: CommandSkipper) -> bool:
        if not skipper.skip(self.buffer):
            return False
        self.skipper = None
        return True

    def _stream_offset(self) -> int:
        """Return the offset in the client's stream of the next byte to parse."""
        return self.arrivals.received_bytes - self.buffer.unparsed_bytes

    def _parse_next_turn(self) -> None:
        if not (self.is_turn_due or self.parsing):
            self.is_turn_due = True
            self.owner.turns.add(self._take_turn)

    def _take_turn(self) -> None:
        self.is_turn_due = False
        if self.is_connected():
            self._parse()

    def _begin_body(self, body: Body, arrived_at: float) -> None:
        """Begin a command with a body."""
        raise NotImplementedError

    def _end_body(self, body: Body, arrived_at: float) -> None:
        """End a command with a body, whose last byte arrived at `arrived_at` (Unix time in ms)."""
        raise NotImplementedError

    def _execute(self, arguments: list[bytes], arrived_at: float, body: Body | None = None) -> None:
        """Execute a command."""
        raise NotImplementedError

    def _is_receiving(self) -> bool:
        return bool(self.buffer) or not self._is_at_command_start()

    # Time limits of commands.

    def _time_incomplete(self, is_incomplete: bool, has_parsed: bool) -> None:
        """Start or stop the time limits for the rest of a command.

        Each piece of a command restarts its limit, but for the first valid command of a connection.
        """
        if has_parsed or not is_incomplete or self.has_sent_valid_command:
            self.timeouts.incomplete.pop(self, None)
        if is_incomplete and self._is_at_command_start():
            self.timeouts.idle.pop(self, None)
            self.timeouts.enter(self.timeouts.incomplete, self)
        self.timeouts.uploading.pop(self, None)

    def reject_incomplete(self) -> None:
        """Reject an incomplete command with an error, unless more of it has come and is not read yet.

        Guards against a partial command, or a line that never ends, holding the connection open.
        """
        if self.has_unread_input():
            state = self.timeouts.incomplete if self._is_at_command_start() else self.timeouts.uploading
            return self.timeouts.enter(state, self)
        self._reject("the command did not come whole in time")
        self._release_input()
        self._update_reading()
        self.answer_pending_requests()  # the error is due now, but has to follow their replies

    # Pausing.

    def _update_input(self) -> None:
        """Bring the account up to date with the input, and pause or resume reading."""
        self.buffer.compact()
        self.input.resize(self.buffer.held_bytes + (self.body.held_bytes if self.body is not None else 0))
        if self in self.timeouts.incomplete and not self._has_room():
            self._refuse_incomplete()
        self._update_reading()

    def _has_room(self) -> bool:
        """Return whether more input may be read; what is only skipped needs no room."""
        return self.skipper is not None or self.input.room() >= MIN_READ_BYTES

    def _release_input(self) -> None:
        self.buffer.clear()
        self._cancel_timers()
        self.input.resize(0)

    def _refuse_incomplete(self) -> None:
        """Refuse a command whose rest finds no room, and skip that rest."""
        raise NotImplementedError

    def _update_reading(self) -> None:
        """Pause reading while there is no room or the client leaves replies unread; resume it after.

        Guards against a client that never reads its replies and so fills the memory: once its replies no
        longer go out, only the replies to the requests that are already open can accumulate.
        """
        if self.transport.is_closing():
            return
        self.is_input_full = not (self.closing or self._has_room())
        pause = self.reading_ended or (
            not self.closing
            and (self._leaves_replies_unread() or self.is_input_full or self._is_sending_value())
        )
        if pause != self.reading_paused:
            self.reading_paused = pause
            if pause:
                self.transport.pause_reading()
                self._cancel_timers()
                self._note_unread()
                self._start_liveness_timer()
            else:
                self._note_unread()
                self._cancel_timers()
                self.transport.resume_reading()
        if self.is_blocked() and not pause and self.dry_timer is None:
            self._await_dry()
        if self.is_input_full and self._may_parse():
            self._parse_next_turn()  # what had to wait for the end of the input is refused now
        if self._is_at_command_start() or pause or self.closing:
            self.timeouts.uploading.pop(self, None)
        else:
            self.timeouts.idle.pop(self, None)
            self.timeouts.enter(self.timeouts.uploading, self)

    def _must_await_replies(self) -> bool:
        """Return whether earlier commands have to be answered before the next one is executed."""
        return len(self.pending) >= MAX_PENDING or self._is_sending_value()

    def _is_sending_value(self) -> bool:
        """Return whether a long value is being sent as it arrives.

        Nothing is read then. Guards against losing the requests behind it: if it is cut short, the connection
        closes.
        """
        return any(isinstance(entry, Request) and entry.is_streaming() for entry in self.pending)

    # Clients that cannot be told to be connected.

    def is_blocked(self) -> bool:
        """Return whether the client may have left without a sign, behind input that is still to be read."""
        return self.arrivals.blocked_since is not None

    def is_present(self) -> bool:
        """Return whether the client is known to be connected; False too while that cannot be told."""
        blocked_since = self.arrivals.blocked_since
        if blocked_since is not None and self.node.clock.now() > blocked_since + BLOCK_GRACE_MS:
            return False
        return self.is_connected()

    def _check_liveness(self) -> None:
        """Detect a client that has hung up while reading is paused, when its end of stream is not read."""
        if self.is_connected():
            self._start_liveness_timer()
            self._note_unread()
            if self.is_input_full:
                self._update_reading()  # there may be room by now

    def _start_liveness_timer(self) -> None:
        self.liveness_timer = self.node.loop.call_later(LIVENESS_CHECK_INTERVAL_S, self._check_liveness)

    def _note_unread(self) -> None:
        """Record bytes that arrive while reading is paused: the time limits of their commands have begun."""
        unread_bytes, now = count_unread_bytes(self.transport), self.node.clock.now()
        if not self.is_input_full:
            return self.arrivals.note_unread(unread_bytes, now)
        was_blocked = self.is_blocked()
        self.arrivals.note_blocked(unread_bytes, now)
        if self.is_blocked() and not was_blocked:
            self.node.loop.call_later(BLOCK_GRACE_MS / 1000, self._on_blocked)

    def _on_blocked(self) -> None:
        """Handle input that has been blocked for `BLOCK_GRACE_MS`, unless it no longer is."""
        raise NotImplementedError

    def _await_dry(self) -> None:
        self.dry_timer = self.node.loop.call_later(DRY_S, self._check_dry, self.arrivals.received_bytes)

    def _check_dry(self, received_bytes: int) -> None:
        """End the block once the client has sent nothing for a while although it could."""
        self.dry_timer = None
        if self.reading_paused or not self.is_connected():
            return
        if self.arrivals.received_bytes != received_bytes or self.has_unread_input():
            return self._await_dry()
        self.arrivals.note_dry()
        self._on_dry()

    def _on_dry(self) -> None:
        """Handle input that is no longer blocked."""
        raise NotImplementedError

    def _cancel_timers(self) -> None:
        for timer in (self.liveness_timer, self.dry_timer):
            if timer is not None:
                timer.cancel()
        self.liveness_timer = self.dry_timer = None

    def _on_hangup(self) -> None:
        self._cancel_timers()
        super()._on_hangup()
