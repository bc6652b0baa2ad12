"""The listener for clients: accepts connections within a budget, and drains them."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import errno
import logging
import socket

from rainturn.node.client_commands import CommandParser
from rainturn.node.client_connection import ClientConnection
from rainturn.node.client_timeouts import ConnectionTimeouts
from rainturn.node.gateway import Node
from rainturn.node.requests import Request
from rainturn.node.system_errors import CLIENT_GONE, RETRY_S
from rainturn.settings import Names

log = logging.getLogger(__name__)

BACKLOG = 1024  # connections that the system holds until they are accepted
ACCEPT_BATCH = 32  # connections accepted in one turn of the loop, so that many cannot hold up the others
ACCEPT_LAST_S = 0.25  # for how long those that wait as the listener closes are accepted if accept fails
COMMANDS_SHARE = 0.25  # share of the memory limit for the commands of open requests
DRAIN_DELAY_S = 0.6  # from out of service to the drain: clients' last new connections have come by then
CLOSE_S = 0.2  # how long the last replies may take to leave when the gateway stops


class Accept(enum.Enum):
    """What came of accepting a connection."""

    DONE = enum.auto()  # accepted, or it had gone; another may wait
    NONE_WAITS = enum.auto()
    NO_ROOM = enum.auto()
    FAILED = enum.auto()  # for a shortage of this machine: others may wait


class ClientListener:
    """The listener and the budget of client connections."""

    def __init__(self, node: Node, names: Names, budget: int, max_open: int, memory_mb: float) -> None:
        self.node, self.budget, self.max_open = node, budget, max_open
        self.max_held_bytes = int(memory_mb * COMMANDS_SHARE * (1 << 20))
        self.parser = CommandParser(node, names)
        self.timeouts: ConnectionTimeouts[ClientConnection] = ConnectionTimeouts(node.loop)
        self.connections: set[ClientConnection] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.listener: socket.socket | None = None
        self.accepting = False
        self.accept_failing = False  # since the last connection was accepted
        self.draining = False  # whether connections close once they are answered
        self.drain_timer: asyncio.TimerHandle | None = None
        self.all_closed: asyncio.Event | None = None

    # Accepting.

    def accept_from(self, listener: socket.socket) -> tuple[str, int]:
        """Accept from a socket that listens already; returns its address."""
        self.listener = listener
        self.listener.setblocking(False)
        self._resume_accepting()
        self.timeouts.start()
        host, port = self.listener.getsockname()
        return host, port

    def _resume_accepting(self) -> None:
        if self.listener is not None and not self.accepting:
            self.accepting = True
            self.node.loop.add_reader(self.listener, self._accept_batch)

    def _pause_accepting(self) -> None:
        if self.listener is not None and self.accepting:
            self.accepting = False
            self.node.loop.remove_reader(self.listener)

    def _accept_batch(self) -> Accept:
        """Accept some of the connections that wait; returns what came of the last."""
        last = Accept.DONE
        for _ in range(ACCEPT_BATCH):
            last = self._accept_one()
            if last is not Accept.DONE:
                break
        return last

    def _accept_one(self) -> Accept:
        """Accept a connection, in place of the least active one if the budget is used up."""
        if self.listener is None:
            return Accept.NONE_WAITS
        full = len(self.connections) >= self.budget
        eviction_candidate = self.timeouts.eviction_candidate() if full else None
        if full and eviction_candidate is None:
            self._pause_accepting()  # until a client leaves or is idle
            return Accept.NO_ROOM
        try:
            sock, _ = self.listener.accept()
        except (BlockingIOError, InterruptedError):
            return Accept.NONE_WAITS
        except OSError as error:
            if error.errno in CLIENT_GONE:
                return Accept.DONE
            # Guards against EMFILE ending the accepting for good, or filling the loop with failures.
            if not self.accept_failing:
                log.warning("accept: %s", errno.errorcode.get(error.errno or 0, "error"))
            self.accept_failing = True
            self._pause_accepting()
            self.node.loop.call_later(RETRY_S, self._resume_accepting)
            return Accept.FAILED
        self.accept_failing = False
        if eviction_candidate is not None:
            self._forget(eviction_candidate)
            eviction_candidate.abort()
        sock.setblocking(False)
        with contextlib.suppress(OSError):  # the client may have gone: that shows as it is read
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = ClientConnection(self)
        self.connections.add(connection)
        task = self.node.loop.create_task(self._attach(connection, sock))
        self.tasks.add(task)  # the loop holds tasks only weakly
        task.add_done_callback(self.tasks.discard)
        return Accept.DONE

    async def _attach(self, connection: ClientConnection, sock: socket.socket) -> None:
        """Put an accepted socket under its connection object."""
        try:
            await self.node.loop.connect_accepted_socket(lambda: connection, sock)
        except OSError:
            sock.close()
            self.on_closed(connection)

    # What connections ask and report.

    def has_room(self, request: Request) -> bool:
        """Whether one more request may be open, by their number and the memory of their commands."""
        node = self.node
        return (
            len(node.requests) < self.max_open and node.held_bytes + request.held_bytes <= self.max_held_bytes
        )

    def on_idle(self, connection: ClientConnection) -> None:
        """All of a client's requests are answered; it may give way to a new one."""
        self.timeouts.idle.pop(connection, None)
        self.timeouts.enter(self.timeouts.idle, connection)  # last: the one used most recently
        self._resume_accepting()

    def on_closed(self, connection: ClientConnection) -> None:
        """Forget a client; another may be accepted."""
        self._forget(connection)
        if self.all_closed is not None and not self.connections:
            self.all_closed.set()
        self._resume_accepting()

    def _forget(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)
        self.timeouts.forget(connection)

    # Draining.

    def set_in_service(self, in_service: bool) -> None:
        """Out of service, drain once the front has had time to hear of it; new connections may still come."""
        if self.drain_timer is not None:
            self.drain_timer.cancel()
            self.drain_timer = None
        if in_service:
            self._set_draining(False)
        elif not self.draining:
            self.drain_timer = self.node.loop.call_later(DRAIN_DELAY_S, self.drain)

    def drain(self) -> None:
        """Close the idle connections now, and each of the others with its last answer."""
        self._set_draining(True)
        for connection in list(self.timeouts.idle):
            connection.close_if_idle()

    def _set_draining(self, draining: bool) -> None:
        self.draining = draining
        self.timeouts.set_draining(draining)

    async def stop(self, accept_waiting: bool) -> None:
        """Stop listening, and drain; what waits to be accepted is reset, or else accepted first.

        Guards against connections that this machine has accepted being reset for one call that failed.
        """
        if accept_waiting:
            await self._accept_all()
        self._pause_accepting()
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        self.drain()

    async def _accept_all(self) -> None:
        """Accept all that wait, waiting out a shortage for a short time."""
        end = self.node.loop.time() + ACCEPT_LAST_S
        while (last := self._accept_batch()) in (Accept.DONE, Accept.FAILED):
            if last is Accept.FAILED:
                if self.node.loop.time() >= end:
                    return
                await asyncio.sleep(RETRY_S)

    async def wait_closed(self, limit_s: float) -> None:
        """Wait until all connections have closed, but no longer than the limit."""
        if self.connections:
            self.all_closed = asyncio.Event()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(limit_s):
                    await self.all_closed.wait()

    def refuse_all(self) -> None:
        """From now on answer every request that comes as busy, at once."""
        self.max_open = 0

    async def close(self) -> None:
        """Close each connection once all that has come on it is answered, and wait for that a short time."""
        for connection in list(self.connections):
            connection.close_if_idle()
        await self.wait_closed(CLOSE_S)
