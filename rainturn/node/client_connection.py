"""One client's connection: commands in, replies out, and how it ends."""

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
from rainturn.node.counters import Ending
from rainturn.node.gateway import Node
from rainturn.node.requests import Request
from rainturn.node.resp import ProtocolError, count_unread_bytes, count_unsent_bytes, parse_command

MAX_ERRORS = 8  # commands in error on one connection; one more ends it
MAX_PENDING = 32  # requests of one connection at once; more wait unread
COMMAND_BATCH = 64  # commands of one connection in one turn of the loop, so that many hold up no other work
LIVENESS_CHECK_S = 0.1  # how often a client is checked for its hang-up while nothing is read of it


class ConnectionOwner(Protocol):
    """What a connection needs of the listener that accepted it."""

    node: Node
    parser: CommandParser
    timeouts: ConnectionTimeouts[ClientConnection]
    draining: bool

    def has_room(self, request: Request) -> bool:
        """Whether one more request may be open."""

    def on_idle(self, connection: ClientConnection) -> None:
        """All requests of a connection are answered."""

    def on_closed(self, connection: ClientConnection) -> None:
        """A connection has ended."""


class ClientConnection(ClientReplies):
    """Reads one client's commands, and ends its connection when a limit is passed."""

    def __init__(self, owner: ConnectionOwner) -> None:
        super().__init__(owner.node.clock)
        self.owner, self.node, self.timeouts = owner, owner.node, owner.timeouts
        self.buffer = b""  # commands that are incomplete, or have to wait
        self.arrivals = ArrivalTimes()
        self.body: Body | None = None  # of the command that is coming in
        self.uploading: Request | None = None  # that command's request, if its body is passed on
        self.unsent_bytes = 0  # how much the client had left unread at the last check
        self.error_count = 0
        self.proven = False  # whether it has sent a command that can be served
        self.reading_paused = False
        self.reading_ended = False  # whether it is closed as soon as the client has its answers
        self.parsing = False  # guards against parsing again from within a command
        self.parse_handle: asyncio.Handle | None = None  # set while more commands wait for the next turn
        self.liveness_timer: asyncio.TimerHandle | None = None  # set while reading is paused
        self.hangup_poll = select.poll()  # shows the client's end, also behind what is not read yet
        self.input_poll = select.poll()  # shows bytes that are not read yet

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin the time in which a new client has to send something that can be served."""
        self.transport = cast(asyncio.Transport, transport)
        descriptor = transport.get_extra_info("socket").fileno()
        self.hangup_poll.register(descriptor, select.POLLRDHUP)
        self.input_poll.register(descriptor, select.POLLIN)
        self.timeouts.enter(self.timeouts.unproven, self)

    # Reading.

    def data_received(self, data: bytes) -> None:
        """Read commands; bytes that are no command end the connection, and what follows them is dropped."""
        if self.closing:
            return
        self.arrivals.note_received(len(data), self.node.clock.now())
        self.buffer = self.buffer + data if self.buffer else data
        self._parse()

    def _parse(self) -> None:
        if self.parsing or self.parse_handle is not None:
            return
        self.parsing = True
        data, at, incomplete, commands = self.buffer, 0, False, 0
        begin = self.arrivals.received - len(data)  # the offset of these bytes in the stream
        try:
            while (
                at < len(data)
                and commands < COMMAND_BATCH
                and not (self.closing or self.writing_paused)
                and (self.body is not None or not self._awaits_answers())
            ):
                if self.body is not None:
                    body = self.body
                    at, complete = self._read_body(body, data, at)
                    arrived_at = self.arrivals.take(begin + at)
                    if not complete:
                        break
                    self._end_body(body, arrived_at)
                    continue
                if (parsed := parse_command(data, at)) is None:
                    incomplete = True
                    break
                at = parsed.end
                commands += 1
                if parsed.body_length is None:
                    self._execute(parsed.arguments, self.arrivals.take(begin + at))
                else:
                    self._begin_body(
                        Body(parsed.arguments, parsed.body_length), self.arrivals.take(begin + at)
                    )
        except ProtocolError as error:
            self._reject(str(error))
        finally:
            self.parsing = False
        self.buffer = b"" if self.closing else data[at:] if at else data
        if commands == COMMAND_BATCH and self.buffer:
            self._parse_next_turn()
        if incomplete:
            if at:
                self.timeouts.incomplete.pop(self, None)  # that was another command, and is whole
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
        """Begin a command with a body: at once if that is passed on, else when it is whole.

        A command with a short body proves the client already now if its head can be served.
        """
        self.body = body
        body.resume_reading = self._update_reading
        if body.is_streamed:
            self._execute(body.arguments, arrived_at, body)
        elif not self.proven:
            with contextlib.suppress(MalformedCommand):
                self.owner.parser.parse_request([*body.arguments, b""], self, arrived_at)
                self._prove()

    def _read_body(self, body: Body, data: bytes, at: int) -> tuple[int, bool]:
        """Take what has come of a body; returns where that ends, and whether the command is whole."""
        piece = data[at : at + body.bytes_left]
        if piece:
            body.feed(piece)
        at += len(piece)
        tail = data[at : at + 2]
        if body.bytes_left or len(tail) < 2:
            if tail[:1] not in (b"", b"\r"):
                raise ProtocolError("a length does not fit")
            return at, False
        if tail != b"\r\n":
            raise ProtocolError("a length does not fit")
        return at + 2, True

    def _end_body(self, body: Body, arrived_at: float) -> None:
        """The last byte of a command with a body came at that time (Unix time in ms)."""
        self.body, request, self.uploading = None, self.uploading, None
        body.finish_receiving()
        if not body.is_streamed:
            self._execute([*body.arguments, b"".join(body.pieces)], arrived_at)
        elif request is not None:
            self.node.complete_body(request, arrived_at + request.time_limit_ms)
        if body.is_streamed and not self.pending:
            self._on_all_answered()

    def _update_reading(self) -> None:
        """Pause or resume reading: paused while many requests are open or the client leaves replies unread.

        Guards against a client that never reads filling the memory: all it can leave with us is what
        is open when its replies stop going out.
        """
        pause = self.reading_ended or (not self.closing and (self.writing_paused or self._has_enough()))
        if pause != self.reading_paused and not self.transport.is_closing():
            self.reading_paused = pause
            self._cancel_liveness_timer()
            if pause:
                self.transport.pause_reading()
                self._note_unread()
                self.liveness_timer = self.node.loop.call_later(LIVENESS_CHECK_S, self._check_liveness)
            else:
                self.transport.resume_reading()
        if self.body is None or pause or self.closing:
            self.timeouts.uploading.pop(self, None)
        else:
            self.timeouts.idle.pop(self, None)
            self.timeouts.enter(self.timeouts.uploading, self)

    def _has_enough(self) -> bool:
        """Whether more input would be too much: for what is parsed, the body, or the open requests."""
        if self.parse_handle is not None:
            return True
        if self.body is not None and self.body.is_streamed:
            return not self.body.accepts_more()
        return self._awaits_answers()

    def _awaits_answers(self) -> bool:
        """Whether no further command may be taken before some are answered.

        Guards against requests behind a long value being lost with it: if it breaks off the connection ends.
        """
        if len(self.pending) >= MAX_PENDING:
            return True
        return any(isinstance(entry, Request) and entry.value_source is not None for entry in self.pending)

    def begin_value(self, request: Request, length: int) -> None:
        """Begin a long value of so many bytes, and read no further commands until it has gone out."""
        super().begin_value(request, length)
        self._update_reading()

    # Commands.

    def _execute(self, words: list[bytes], arrived_at: float, body: Body | None = None) -> None:
        """Carry out a command; one with a body that is passed on need not be whole.

        `arrived_at`: when the last of its bytes so far came, Unix time in ms.
        """
        verb = words[0].upper()
        if body is not None:
            body.is_discarded = True  # until a request takes it
        if verb in REQUEST_VERBS:
            self._begin_request(words, arrived_at, body)
        elif verb == b"PING":
            self._prove()
            self._reply(b"+PONG\r\n" if self.node.is_ready() else b"-ERR not ready\r\n")
        elif verb in (b"CLIENT", b"SELECT"):
            self._prove()
            self._reply(b"+OK\r\n")
        else:
            self._reply_error("unknown command")

    def _begin_request(self, words: list[bytes], arrived_at: float, body: Body | None) -> None:
        try:
            request = self.owner.parser.parse_request(words, self, arrived_at, body)
        except MalformedCommand as error:
            return self._reply_error(str(error))
        self._prove()
        if not self.owner.has_room(request):
            self.node.metrics.count_ending(request.arrival.request_class, Ending.DROPPED)
            return self._reply(b"-BUSY\r\n")
        self.timeouts.idle.pop(self, None)
        self.pending.append(request)
        if body is not None:
            body.is_discarded, self.uploading = False, request
        self.node.add_request(request)

    def _prove(self) -> None:
        """Note that the client has sent a command that can be served."""
        if not self.proven:
            self.proven = True
            self.timeouts.unproven.pop(self, None)

    def _reply_error(self, reason: str) -> None:
        """Answer a command in error; too many of them end the connection."""
        self.error_count += 1
        if self.error_count > MAX_ERRORS:
            return self._reject("too many errors")
        if self.pending:
            self.timeouts.enter(self.timeouts.error_queued, self)
        self._reply(b"-ERR %s\r\n" % reason.encode())

    def _reject(self, reason: str) -> None:
        """Read no more, reply with an error once all before it is answered, then close."""
        self.closing, self.body = True, None
        self.timeouts.unproven.pop(self, None)
        request, self.uploading = self.uploading, None
        if request is not None and not request.done:
            self.node.abandon_request(request)  # it never came whole; the error is its answer
            if request in self.pending:
                self.pending.remove(request)
        if self.pending:
            self.timeouts.enter(self.timeouts.error_queued, self)
        self._reply(b"-ERR %s\r\n" % reason.encode())

    # Time limits, as the sweep finds them passed.

    def abort(self) -> None:
        """Close at once."""
        self.transport.abort()

    def abort_if_silent(self) -> None:
        """Close a connection that has sent nothing for too long.

        Guards against a request that came in time being cut off when the loop is late: time limits run
        before sockets are read. After the next read a proven client is idle anew; another has to be proven.
        """
        if not self.has_unread_input():
            self._end()
        elif not self.proven:
            self.node.loop.call_later(0, self._abort_if_unproven)

    def _abort_if_unproven(self) -> None:
        if not (self.proven or self.closing):
            self.abort()

    def reject_incomplete(self) -> None:
        """Guards against half a command, or a line without end, holding a connection."""
        self._reject("the command did not come whole in time")
        self.buffer = b""
        self._update_reading()
        self.end_pending_requests()  # the error is owed now, and comes behind their answers

    def abort_if_read(self) -> None:
        """Close a connection that has been told to go, but not while its client goes on reading answers."""
        unsent_bytes = count_unsent_bytes(self.transport)
        if not unsent_bytes or unsent_bytes >= self.unsent_bytes:
            return self.abort()
        self.unsent_bytes = unsent_bytes
        self.timeouts.enter(self.timeouts.lingering, self)

    def check_unread(self) -> None:
        """Close if the client has read nothing since the last check; slow is not stalled."""
        unsent_bytes = count_unsent_bytes(self.transport)
        if unsent_bytes >= self.unsent_bytes:
            return self.abort()
        self.unsent_bytes = unsent_bytes
        self.timeouts.enter(self.timeouts.unread, self)

    def end_pending_requests(self) -> None:
        """Guards against an error that waits long behind open requests: these get their final answers now."""
        for entry in list(self.pending):
            if isinstance(entry, Request) and not entry.done and entry.value_source is None:
                self.node.end_request_now(entry)

    # Replies, as they go out.

    def _replies_written(self) -> None:
        if self.reading_paused:
            self._parse_next_turn()
        if self.pending:
            self._resume_value()
        else:
            self.timeouts.error_queued.pop(self, None)
            self._on_all_answered()

    def _on_all_answered(self) -> None:
        if self.body is not None:
            return  # the rest of a command that is answered already
        if self.closing:
            # Guards against a reset that would overtake the last answer: the client ends its side first.
            self._end_sending()
        elif self.buffer:
            return  # a command has begun to come, or is parsed next
        elif self.owner.draining:
            self.close_if_idle()
        elif self.proven:
            self.owner.on_idle(self)

    def pause_writing(self) -> None:
        """The client leaves replies unread."""
        self.writing_paused = True
        self.unsent_bytes = count_unsent_bytes(self.transport)
        self.timeouts.enter(self.timeouts.unread, self)
        self._update_reading()

    def resume_writing(self) -> None:
        """The client reads again."""
        self.writing_paused = False
        self.timeouts.unread.pop(self, None)
        self._parse()
        self._resume_value()

    # The end.

    def close_if_idle(self) -> None:
        """Close between requests; one that has begun to come, read or not, is served first."""
        if self.pending or self.buffer or self.body is not None:
            return
        if not (self.closing or self.transport.is_closing() or self.has_unread_input()):
            self._end()

    def _end(self) -> None:
        """Close between requests: at once if the client's machine has all answers, else when it has them.

        Guards against bytes of the client that cross the close: they turn it into a reset, which drops what
        has not left this machine yet.
        """
        if not count_unsent_bytes(self.transport):
            return self.transport.close()
        self.closing = self.reading_ended = True
        self._update_reading()
        self._end_sending()

    def _end_sending(self) -> None:
        """Say that no more will come; the client has some time to read what has."""
        self.transport.write_eof()
        self.unsent_bytes = sys.maxsize
        self.timeouts.idle.pop(self, None)
        self.timeouts.enter(self.timeouts.lingering, self)

    def can_give_way(self) -> bool:
        """Whether a connection without open requests may be closed at once.

        Not while its answers are on their way, or something has come that is to be read.
        """
        return not (count_unsent_bytes(self.transport) or (self.has_unread_input() and not self.closing))

    def has_unread_input(self) -> bool:
        """Whether bytes of the client, or its end, lie in the system and the loop has yet to read them."""
        return not self.transport.is_closing() and bool(self.input_poll.poll(0))

    def is_connected(self) -> bool:
        """Whether the client is still connected; if not, its requests end now. Asked before each attempt.

        Guards against attempts that begin after its end has come but before it is read: from our buffers,
        from any wait, or as the loop comes late to its reading.
        """
        if self.transport.is_closing():
            self._end_requests()  # it was cut off, or broke and the loop has yet to say so
        elif self.hangup_poll.poll(0):
            self._hang_up()
        return not self.transport.is_closing()

    def _check_liveness(self) -> None:
        """See whether a client has gone of which nothing is read, so that its end is not read either."""
        if self.is_connected():
            self._note_unread()
            self.liveness_timer = self.node.loop.call_later(LIVENESS_CHECK_S, self._check_liveness)

    def _note_unread(self) -> None:
        """Note what has come while nothing is read: the time of these commands runs already."""
        self.arrivals.note_unread(count_unread_bytes(self.transport), self.node.clock.now())

    def _cancel_liveness_timer(self) -> None:
        if self.liveness_timer is not None:
            self.liveness_timer.cancel()
            self.liveness_timer = None

    def _hang_up(self) -> None:
        """The client has left: nothing is owed to it, whatever of ours it has not read yet."""
        self.closing = True
        self._cancel_liveness_timer()
        self.transport.abort()
        self._end_requests()

    def _end_requests(self) -> None:
        pending, self.pending = self.pending, deque()
        for entry in pending:
            if isinstance(entry, Request):
                self.node.abandon_request(entry)

    def eof_received(self) -> None:
        """The client's end counts at once, not when what waits to be written has left."""
        self._hang_up()

    def connection_lost(self, error: Exception | None) -> None:
        """Free all state of the connection; the module hears of its requests' end."""
        self._hang_up()
        self.owner.on_closed(self)
