"""The listener for clients: accepts connections within a budget, and drains them."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import errno
import logging
import socket

from rainturn.node.client_closing import ClosingConnection
from rainturn.node.client_commands import CommandParser
from rainturn.node.client_connection import ClientConnection
from rainturn.node.client_timeouts import ConnectionTimeouts
from rainturn.node.end_log import ConnectionEnd
from rainturn.node.gateway import Node
from rainturn.node.requests import Request
from rainturn.node.resp import MAX_BUFFERED_BYTES
from rainturn.node.system_errors import CLIENT_GONE, RETRY_S
from rainturn.node.turns import TurnQueue
from rainturn.settings import Names

log = logging.getLogger(__name__)

BACKLOG = 1024  # connections that the kernel queues until they are accepted
ACCEPT_BATCH = 32  # connections accepted per event loop iteration, so that other work is not delayed
FINAL_ACCEPT_TIMEOUT_S = 0.25  # how long failed accepts are retried before the listener closes
REPLY_ROOM_BYTES = MAX_BUFFERED_BYTES  # room that a new request has to find beside its own, for its reply
DRAIN_DELAY_S = 0.6  # from going out of service to draining; the last new connections have arrived by then
CLOSE_TIMEOUT_S = 0.2  # how long the last replies may take to be sent when the gateway stops


class AcceptResult(enum.Enum):
    """The result of accepting one connection."""

    DONE = enum.auto()  # accepted, or the client had already gone; another may be waiting
    NONE_WAITING = enum.auto()
    NO_ROOM = enum.auto()  # the budget is used up and no connection can be evicted
    FAILED = enum.auto()  # this machine lacks a resource, such as descriptors; others may be waiting


class ClientListener:
    """Accepts client connections within a budget and keeps track of them."""

    def __init__(self, node: Node, names: Names, budget: int, max_open: int) -> None:
        self.node, self.budget, self.max_open = node, budget, max_open
        self.parser = CommandParser(node, names)
        self.turns = TurnQueue(node.loop)
        self.timeouts: ConnectionTimeouts[ClosingConnection] = ConnectionTimeouts(node.loop)
        self.connections: set[ClosingConnection] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.listener: socket.socket | None = None
        self.accepting = False
        self.accept_failing = False  # whether accept has failed since the last accepted connection
        self.draining = False  # whether connections close once their requests are answered
        self.drain_timer: asyncio.TimerHandle | None = None
        self.all_closed: asyncio.Event | None = None

    # Accepting.

    def accept_from(self, listener: socket.socket) -> tuple[str, int]:
        """Start accepting connections from a listening socket; return its host and port."""
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

    def _accept_batch(self) -> AcceptResult:
        """Accept up to `ACCEPT_BATCH` waiting connections; return the result of the last accept."""
        result = AcceptResult.DONE
        for _ in range(ACCEPT_BATCH):
            result = self._accept_one()
            if result is not AcceptResult.DONE:
                break
        return result

    def _accept_one(self) -> AcceptResult:
        """Accept a connection; if the budget is used up, evict another one for it."""
        if self.listener is None:
            return AcceptResult.NONE_WAITING
        full = len(self.connections) >= self.budget
        eviction_candidate = self.timeouts.eviction_candidate() if full else None
        if full and eviction_candidate is None:
            self._pause_accepting()  # until a client disconnects or becomes idle
            return AcceptResult.NO_ROOM
        try:
            sock, _ = self.listener.accept()
        except (BlockingIOError, InterruptedError):
            return AcceptResult.NONE_WAITING
        except OSError as error:
            if error.errno in CLIENT_GONE:
                return AcceptResult.DONE
            # Guards against EMFILE stopping accepts for good, or causing a busy loop of failing accepts.
            if not self.accept_failing:
                log.warning("accept: %s", errno.errorcode.get(error.errno or 0, "error"))
            self.accept_failing = True
            self._pause_accepting()
            self.node.loop.call_later(RETRY_S, self._resume_accepting)
            return AcceptResult.FAILED
        self.accept_failing = False
        if eviction_candidate is not None:
            self._forget(eviction_candidate)
            eviction_candidate.abort(ConnectionEnd.EVICTED)
        sock.setblocking(False)
        with contextlib.suppress(OSError):  # the client may have gone, which the first read reports
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = ClientConnection(self)
        self.connections.add(connection)
        task = self.node.loop.create_task(self._attach(connection, sock))
        self.tasks.add(task)  # the event loop keeps only weak references to tasks
        task.add_done_callback(self.tasks.discard)
        return AcceptResult.DONE

    async def _attach(self, connection: ClosingConnection, sock: socket.socket) -> None:
        """Attach an accepted socket to its connection object."""
        try:
            await self.node.loop.connect_accepted_socket(lambda: connection, sock)
        except OSError:
            sock.close()
            connection.record_end()
            self.on_closed(connection)

    # Called by connections.

    def has_room(self, request: Request) -> bool:
        """Return whether one more request fits the limits on open requests and on their memory."""
        node = self.node
        needed_bytes = request.held_bytes + REPLY_ROOM_BYTES
        return len(node.requests) < self.max_open and needed_bytes <= node.memory.free_bytes

    def on_idle(self, connection: ClosingConnection) -> None:
        """Record that all requests of a client are answered, so that it may be evicted for a new one."""
        self.timeouts.idle.pop(connection, None)
        self.timeouts.enter(self.timeouts.idle, connection)  # at the end, as the most recently active
        self._resume_accepting()

    def on_closed(self, connection: ClosingConnection) -> None:
        """Remove a closed connection, and accept new ones again."""
        self._forget(connection)
        if self.all_closed is not None and not self.connections:
            self.all_closed.set()
        self._resume_accepting()

    def _forget(self, connection: ClosingConnection) -> None:
        self.connections.discard(connection)
        self.timeouts.forget(connection)

    # Draining.

    def set_in_service(self, in_service: bool) -> None:
        """Schedule the drain when going out of service, or cancel it when going back into service.

        The delay gives the load balancer in front time to react; new connections may still arrive meanwhile.
        """
        if self.drain_timer is not None:
            self.drain_timer.cancel()
            self.drain_timer = None
        if in_service:
            self._set_draining(False)
        elif not self.draining:
            self.drain_timer = self.node.loop.call_later(DRAIN_DELAY_S, self.drain)

    def drain(self) -> None:
        """Close idle connections now, and each other connection after its last reply."""
        self._set_draining(True)
        for connection in list(self.timeouts.idle):
            connection.close_if_idle()

    def _set_draining(self, draining: bool) -> None:
        self.draining = draining
        self.timeouts.set_draining(draining)

    async def stop(self, accept_waiting: bool) -> None:
        """Stop listening, and drain. Waiting connections are reset unless `accept_waiting` is set.

        Guards against one failed accept resetting connections that the kernel has already established.
        """
        if accept_waiting:
            await self._accept_all()
        self._pause_accepting()
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        self.drain()

    async def _accept_all(self) -> None:
        """Accept all waiting connections, and retry for a short time while this machine lacks a resource."""
        end = self.node.loop.time() + FINAL_ACCEPT_TIMEOUT_S
        while (result := self._accept_batch()) in (AcceptResult.DONE, AcceptResult.FAILED):
            if result is AcceptResult.FAILED:
                if self.node.loop.time() >= end:
                    return
                await asyncio.sleep(RETRY_S)

    async def wait_closed(self, limit_s: float) -> None:
        """Wait until all connections have closed, at most `limit_s` seconds."""
        if self.connections:
            self.all_closed = asyncio.Event()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(limit_s):
                    await self.all_closed.wait()

    def refuse_all(self) -> None:
        """Refuse every further request immediately."""
        self.max_open = 0

    async def close(self) -> None:
        """Close each connection once its commands are answered, and wait for that for a short time."""
        for connection in list(self.connections):
            connection.close_if_idle()
        await self.wait_closed(CLOSE_TIMEOUT_S)
