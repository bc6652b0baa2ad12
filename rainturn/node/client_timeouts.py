"""Time limits of client connections: since when each is in a state that may not last, and the sweep."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import chain
from typing import Generic, NamedTuple, Protocol, TypeVar

SWEEP_INTERVAL_S = 0.25  # interval of the sweep; each limit below is that much under what clients are owed
VALID_COMMAND_TIMEOUT_S = 2.5  # how long a new connection may send nothing that can be served
DRAINING_VALID_COMMAND_TIMEOUT_S = 1.0  # the same while all connections are being closed
COMMAND_TIMEOUT_S = 2.5  # how long a command's head may take to come whole
BODY_STALL_TIMEOUT_S = 2.0  # how long its body may make no progress
QUEUED_ERROR_TIMEOUT_S = 2.0  # how long an error may wait behind requests that are still open
IDLE_TIMEOUT_S = 6.0  # how long a client may be idle
WRITE_STALL_TIMEOUT_S = 10.0  # how long a client may leave its answers unread
LINGER_TIMEOUT_S = 1.0  # how long a client may take to read why its connection ends


class TimedConnection(Protocol):
    """What the sweep does with a connection whose time in a state is over."""

    def is_evictable(self) -> bool:
        """Whether it may be closed at once: nothing has come that is not read, nothing waits to leave."""

    def abort(self) -> None:
        """Close at once."""

    def close_if_silent(self) -> None:
        """Close at once, unless something has come that is not read yet."""

    def abort_unless_reading(self) -> None:
        """Close, unless the client goes on reading what it has been sent."""

    def reject_incomplete(self) -> None:
        """End a command that did not come whole in time, with an error."""

    def answer_pending_requests(self) -> None:
        """Give the open requests that an error waits for their final answers."""

    def abort_if_write_stalled(self) -> None:
        """Close unless the client has read some of its answers."""


ConnectionT = TypeVar("ConnectionT", bound=TimedConnection)


class TimeLimit(NamedTuple, Generic[ConnectionT]):
    """A state's connections, how long each may be in it, in s, and what is done with one at the end."""

    state: dict[ConnectionT, float]
    seconds: float
    on_expiry: Callable[[ConnectionT], None]


class ConnectionTimeouts(Generic[ConnectionT]):
    """Connections by state, each with the time, on the loop's clock in s, at which it entered the state.

    The connection that entered first stands first in each state; one may be in several states.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.valid_command_timeout_s = VALID_COMMAND_TIMEOUT_S
        self.awaiting_valid_command: dict[ConnectionT, float] = {}  # has sent nothing that could be served
        self.idle: dict[ConnectionT, float] = {}  # all its requests are answered
        self.incomplete: dict[ConnectionT, float] = {}  # has begun a command
        self.uploading: dict[ConnectionT, float] = {}  # owes more of a body, since its last piece
        self.error_queued: dict[ConnectionT, float] = {}  # an error waits behind its open requests
        self.lingering: dict[ConnectionT, float] = {}  # has been sent the reason of its end
        self.write_stalled: dict[ConnectionT, float] = {}  # leaves answers unread
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
        """Wait less for new connections while all are being closed."""
        self.valid_command_timeout_s = (
            DRAINING_VALID_COMMAND_TIMEOUT_S if draining else VALID_COMMAND_TIMEOUT_S
        )

    def enter(self, state: dict[ConnectionT, float], connection: ConnectionT) -> None:
        """Note that a connection enters one of the states; its time runs on if it is in it already."""
        if connection not in state:
            state[connection] = self.loop.time()

    def forget(self, connection: ConnectionT) -> None:
        """Take a connection out of all states."""
        for state in self.states:
            state.pop(connection, None)

    def eviction_candidate(self) -> ConnectionT | None:
        """The connection that is closed first for a new one; None: each has a request open.

        Guards against connections that are opened and left silent pushing out clients that are served: one
        that has been told to go comes first, then one that never proved itself, then the one idle longest.
        One whose next command has come, read or not, or whose answers have not left, is left alone.
        """
        candidates = chain(self.lingering, self.awaiting_valid_command, self.idle)
        return next((connection for connection in candidates if connection.is_evictable()), None)

    def start(self) -> None:
        """Begin to sweep."""
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
            TimeLimit(self.lingering, LINGER_TIMEOUT_S, lambda connection: connection.abort_unless_reading()),
            TimeLimit(
                self.uploading, BODY_STALL_TIMEOUT_S, lambda connection: connection.reject_incomplete()
            ),
            TimeLimit(
                self.write_stalled,
                WRITE_STALL_TIMEOUT_S,
                lambda connection: connection.abort_if_write_stalled(),
            ),
        )
