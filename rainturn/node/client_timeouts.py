"""Time limits of client connections: the times at which they entered their states, and the periodic sweep."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import chain
from typing import Generic, NamedTuple, Protocol, TypeVar

SWEEP_INTERVAL_S = 0.25  # each limit below is shorter by this than the time that clients are promised
VALID_COMMAND_TIMEOUT_S = 2.5  # how long a new connection may take to send a valid command
DRAINING_VALID_COMMAND_TIMEOUT_S = 1.0  # the same while all connections are being closed
COMMAND_TIMEOUT_S = 2.5  # how long the head of a command may take to arrive completely
BODY_STALL_TIMEOUT_S = 2.0  # how long the body of a command may make no progress
QUEUED_ERROR_TIMEOUT_S = 2.0  # how long an error may wait behind open requests
IDLE_TIMEOUT_S = 6.0  # how long a client may be idle
# How long a client may acknowledge none of its replies; its machine does so in steps of its receive window.
WRITE_STALL_TIMEOUT_S = 30.0
LINGER_TIMEOUT_S = 1.0  # how long a client may take to close its side once it has all replies


class TimedConnection(Protocol):
    """A connection as the sweep sees it: what can be done once its time limit in a state has expired."""

    def is_evictable(self) -> bool:
        """Return whether it may be closed immediately: no unread input and no unsent replies."""

    def close_if_silent(self) -> None:
        """Close unless there is unread input."""

    def abort_if_replies_sent(self) -> None:
        """Abort unless the client has still to take replies."""

    def reject_incomplete(self) -> None:
        """Reject a command that did not arrive completely in time."""

    def answer_pending_requests(self) -> None:
        """Send the final replies of the open requests that a queued error waits for."""

    def check_write_progress(self) -> None:
        """Abort unless the client has read some of its replies."""


ConnectionT = TypeVar("ConnectionT", bound=TimedConnection)


class TimeLimit(NamedTuple, Generic[ConnectionT]):
    """The connections in one state, how many seconds each may stay in it, and the action on expiry."""

    state: dict[ConnectionT, float]
    seconds: float
    on_expiry: Callable[[ConnectionT], None]


class ConnectionTimeouts(Generic[ConnectionT]):
    """Connections by state, each with the time at which it entered the state (event loop time in s).

    Within a state, connections are in the order in which they entered it. A connection may be in several
    states.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.valid_command_timeout_s = VALID_COMMAND_TIMEOUT_S
        self.awaiting_valid_command: dict[ConnectionT, float] = {}  # has not sent a valid command yet
        self.idle: dict[ConnectionT, float] = {}  # all its requests are answered
        self.incomplete: dict[ConnectionT, float] = {}  # has sent part of a command
        self.uploading: dict[ConnectionT, float] = {}  # more of a body is due; timed from its last piece
        self.error_queued: dict[ConnectionT, float] = {}  # an error waits behind its open requests
        self.lingering: dict[ConnectionT, float] = {}  # write side is closed; the client may read the rest
        self.write_stalled: dict[ConnectionT, float] = {}  # its replies are being taken slowly, or not at all
        self.states = (
            self.awaiting_valid_command,
            self.idle,
            self.incomplete,
            self.uploading,
            self.error_queued,
            self.lingering,
            self.write_stalled,
        )

    def set_draining(self, draining: bool) -> None:
        """Shorten the time limit of new connections while all connections are being closed."""
        self.valid_command_timeout_s = (
            DRAINING_VALID_COMMAND_TIMEOUT_S if draining else VALID_COMMAND_TIMEOUT_S
        )

    def enter(self, state: dict[ConnectionT, float], connection: ConnectionT) -> None:
        """Add a connection to a state; if it is already there, its time continues."""
        if connection not in state:
            state[connection] = self.loop.time()

    def forget(self, connection: ConnectionT) -> None:
        """Remove a connection from all states."""
        for state in self.states:
            state.pop(connection, None)

    def eviction_candidate(self) -> ConnectionT | None:
        """Return the connection to close first in favour of a new one, or None if all have to stay.

        Guards against connections that are opened and left silent displacing clients that are served.
        Connections that are being closed come first, then those that have not sent a valid command, then the
        one that has been idle longest. A connection stays while it has an open request, while its next
        command has arrived, read or not, or while replies are in transit.
        """
        candidates = chain(self.lingering, self.awaiting_valid_command, self.idle)
        return next((connection for connection in candidates if connection.is_evictable()), None)

    def start(self) -> None:
        """Start the periodic sweep."""
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        for limit in self._limits():
            entered_by = self.loop.time() - limit.seconds
            while limit.state:
                connection, entered = next(iter(limit.state.items()))
                if entered > entered_by:
                    break
                del limit.state[connection]
                limit.on_expiry(connection)

    def _limits(self) -> tuple[TimeLimit[ConnectionT], ...]:
        return (
            TimeLimit(
                self.error_queued,
                QUEUED_ERROR_TIMEOUT_S,
                lambda connection: connection.answer_pending_requests(),
            ),
            TimeLimit(self.incomplete, COMMAND_TIMEOUT_S, lambda connection: connection.reject_incomplete()),
            TimeLimit(
                self.awaiting_valid_command,
                self.valid_command_timeout_s,
                lambda connection: connection.close_if_silent(),
            ),
            TimeLimit(self.idle, IDLE_TIMEOUT_S, lambda connection: connection.close_if_silent()),
            TimeLimit(
                self.lingering, LINGER_TIMEOUT_S, lambda connection: connection.abort_if_replies_sent()
            ),
            TimeLimit(
                self.uploading, BODY_STALL_TIMEOUT_S, lambda connection: connection.reject_incomplete()
            ),
            TimeLimit(
                self.write_stalled,
                WRITE_STALL_TIMEOUT_S,
                lambda connection: connection.check_write_progress(),
            ),
        )
