"""The end of a client connection: expired time limits, orderly closes, and clients that have hung up."""

from __future__ import annotations

import asyncio
import math
import select
from collections import deque
from typing import Protocol, cast

from rainturn.node.client_commands import CommandParser
from rainturn.node.client_replies import ClientReplies
from rainturn.node.client_timeouts import ConnectionTimeouts
from rainturn.node.end_log import ConnectionEnd, RequestEnd, Traffic
from rainturn.node.gateway import Node
from rainturn.node.requests import Request
from rainturn.node.resp import count_unsent_bytes
from rainturn.node.turns import TurnQueue


class ConnectionOwner(Protocol):
    """The interface that a connection requires of the listener that accepted it."""

    node: Node
    parser: CommandParser
    timeouts: ConnectionTimeouts[ClosingConnection]
    draining: bool
    turns: TurnQueue

    def has_room(self, request: Request) -> bool:
        """Return whether one more request may be open."""

    def on_idle(self, connection: ClosingConnection) -> None:
        """Handle a connection whose requests have all been answered."""

    def on_closed(self, connection: ClosingConnection) -> None:
        """Handle a connection that has ended."""


class ClosingConnection(ClientReplies):
    """The part of a client connection that decides when and how it ends."""

    def __init__(self, owner: ConnectionOwner) -> None:
        super().__init__(owner.node.clock, owner.node.memory)
        self.owner, self.node, self.timeouts = owner, owner.node, owner.timeouts
        self.number = owner.node.end_log.number_connection()
        self.made_at = self.clock.now()
        self.end_reason: ConnectionEnd | None = None  # the first one
        self.time_left_ms = math.inf  # of its most urgent request, when it began to end
        self.has_sent_valid_command = False
        self.reading_paused = False
        self.reading_ended = False  # whether the connection closes as soon as the client has its replies
        self.hangup_poll = select.poll()  # detects that the client has hung up, even behind unread input
        self.input_poll = select.poll()  # detects unread input

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the time limit within which a new client has to send a valid command."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(0)  # `pause_writing` is called as soon as bytes stay there
        descriptor = transport.get_extra_info("socket").fileno()
        self.hangup_poll.register(descriptor, select.POLLRDHUP)
        self.input_poll.register(descriptor, select.POLLIN)
        self.timeouts.enter(self.timeouts.awaiting_valid_command, self)

    def _update_reading(self) -> None:
        """Pause or resume reading, as the state of the connection requires."""
        raise NotImplementedError

    def reject_incomplete(self) -> None:
        """Reject an incomplete command with an error, unless more of it has come and is not read yet."""
        raise NotImplementedError

    def _on_all_answered(self) -> None:
        """Handle that no command is unanswered and none has been received in part."""
        raise NotImplementedError

    def _is_receiving(self) -> bool:
        """Return whether input is unparsed, or the rest of a command is due."""
        raise NotImplementedError

    def _release_input(self) -> None:
        """Drop all input."""
        raise NotImplementedError

    def _reject(self, reason: str) -> None:
        """Stop reading, reply with an error after all earlier replies, then close the connection."""
        raise NotImplementedError

    # Expired time limits, called by the sweep.

    def abort(self, reason: ConnectionEnd) -> None:
        """Close the connection immediately."""
        self._note_end(reason)
        self.transport.abort()

    def _note_end(self, reason: ConnectionEnd) -> None:
        """Record why the connection ends; the first reason counts."""
        if self.end_reason is None:
            self.end_reason = reason
            open_requests = [e for e in self.pending if isinstance(e, Request) and not e.is_finished]
            deadlines = [request.deadline for request in open_requests]
            self.time_left_ms = min(deadlines, default=math.inf) - self.clock.now()

    def close_if_silent(self) -> None:
        """Close a connection that has sent nothing for too long.

        Guards against cutting off a request that arrived in time when the event loop is late, since timers
        run before sockets are read. After the next read, a client that has sent a valid command counts as
        idle again; any other client must have sent one by then.
        """
        if self.has_sent_valid_command and count_unsent_bytes(self.transport):
            self._await_unsent_replies()
        elif not self.has_unread_input():
            is_idle = self.has_sent_valid_command
            self._close_gracefully(ConnectionEnd.IDLE if is_idle else ConnectionEnd.NO_COMMAND)
        elif not self.has_sent_valid_command:
            self.node.loop.call_later(0, self._abort_if_no_valid_command)

    def _await_unsent_replies(self) -> None:
        """Keep an idle connection open while its client still takes the last replies."""
        self.timeouts.enter(self.timeouts.idle, self)
        self._watch_write_progress()

    def _watch_write_progress(self) -> None:
        """Abort the connection unless the client takes bytes from now on."""
        if self not in self.timeouts.write_stalled:
            self.send_progress.has_advanced(self.transport)  # what it has taken before does not count
            self.timeouts.enter(self.timeouts.write_stalled, self)

    def _abort_if_no_valid_command(self) -> None:
        if not (self.has_sent_valid_command or self.closing):
            self.abort(ConnectionEnd.NO_COMMAND)

    def abort_if_replies_sent(self) -> None:
        """Abort a connection that is being closed, unless the client has still to take replies."""
        if not count_unsent_bytes(self.transport):
            return self.abort(ConnectionEnd.PEER_CLOSED)
        self.timeouts.enter(self.timeouts.lingering, self)
        self._watch_write_progress()

    def check_write_progress(self) -> None:
        """Abort the connection if the client has read nothing since the last check; a slow client stays."""
        if not count_unsent_bytes(self.transport):
            return
        if not self.send_progress.has_advanced(self.transport):
            return self.abort(ConnectionEnd.WRITE_STALLED)
        self.timeouts.enter(self.timeouts.write_stalled, self)

    def answer_pending_requests(self) -> None:
        """Give the open requests their final replies now.

        Guards against an error waiting for a long time behind open requests.
        """
        for entry in list(self.pending):
            if isinstance(entry, Request) and not entry.is_finished and not entry.is_streaming():
                self.node.endings.end_now(entry, RequestEnd.ERROR_BEHIND)

    # Closing.

    def close_if_idle(self) -> None:
        """Close the connection between requests; a partly received command, read or not, is served first."""
        if self.pending or self._is_receiving():
            return
        if not (self.closing or self.transport.is_closing() or self.has_unread_input()):
            self._close_gracefully(ConnectionEnd.DRAINED)

    def _close_gracefully(self, reason: ConnectionEnd) -> None:
        """Close between requests: immediately if the client's machine has all replies, otherwise once it has.

        Guards against bytes from the client that arrive during the close. They turn it into a reset, which
        drops the replies that have not left this machine yet.
        """
        self._note_end(reason)
        if not count_unsent_bytes(self.transport):
            return self.transport.close()
        self.closing = self.reading_ended = True
        self._update_reading()
        self._close_write_side()

    def _end_after_cut_value(self) -> None:
        """Close after a part of a long value, once the client's machine has what was sent before."""
        self._note_end(ConnectionEnd.VALUE_CUT)
        pending, self.pending = self.pending, deque()
        for entry in list(pending)[1:]:  # behind the value, whose request ends itself
            if isinstance(entry, Request):
                self.node.abandon_request(entry, RequestEnd.VALUE_CUT)
                self._discard_value(entry)
        self._close_gracefully(ConnectionEnd.VALUE_CUT)

    def _close_write_side(self) -> None:
        """Half-close the connection; the client has some time to read the replies already written."""
        self.transport.write_eof()
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
            self._note_end(ConnectionEnd.LOST)
            self._drop_requests()  # aborted, or broken and not reported by the event loop yet
        elif self.hangup_poll.poll(0):
            self._on_hangup()
        return not self.transport.is_closing()

    def _on_hangup(self) -> None:
        """Abort the connection of a client that has left; replies that it has not read are dropped."""
        self._note_end(ConnectionEnd.PEER_CLOSED)
        self.closing = True
        self.transport.abort()
        self._drop_requests()

    def _drop_requests(self) -> None:
        pending, self.pending = self.pending, deque()
        for entry in pending:
            if isinstance(entry, Request):
                self.node.abandon_request(entry)
                self._discard_value(entry)
        self._release_output()
        self._release_input()

    def eof_received(self) -> None:
        """Handle the client's end of stream immediately, without waiting for pending writes."""
        self._on_hangup()

    def connection_lost(self, error: Exception | None) -> None:
        """Free all state of the connection, and report the end of its requests to the decision module."""
        if error is not None:
            self._note_end(ConnectionEnd.LOST)
        self._on_hangup()
        self.record_end()
        self.owner.on_closed(self)

    def record_end(self) -> None:
        """Log why the connection has ended."""
        traffic = Traffic(
            self.received_bytes(),
            self.send_progress.written_bytes,
            self.clock.now() - self.made_at,
            self.time_left_ms,
        )
        self.node.end_log.connection("client", self.number, self.end_reason or ConnectionEnd.LOST, traffic)

    def received_bytes(self) -> int:
        """Return how many bytes the client has sent, as far as they have been read."""
        raise NotImplementedError
