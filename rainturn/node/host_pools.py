"""Connection pools for the hosts, attempts that wait for a connection, and the limit on all connections."""

from __future__ import annotations

import asyncio
from collections import OrderedDict, deque
from collections.abc import Callable
from itertools import chain
from typing import cast

from rainturn import interface as it
from rainturn.node.end_log import AttemptEnd, ConnectionEnd
from rainturn.node.gateway import Node
from rainturn.node.host_connection import HostConnection
from rainturn.node.host_sending import SendingConnection
from rainturn.node.requests import Attempt
from rainturn.node.system_errors import LocalShortageError, connect

# Idle time before a connection is reused: an unwanted second answer of a host arrives a few ms late.
REUSE_DELAY_MS = 10.0
LONGEST_REUSE_DELAY_MS = 100.0  # where second answers come later than that time
SECOND_ANSWER_FACTOR = 2.0  # the idle time is longer than the latest second answer by this factor
# The gateway's idle limit as a fraction of the hosts': a host must not close an idle connection while a
# request is on its way.
IDLE_LIMIT_FRACTION = 0.7
NO_ADDRESS = ("", 0)


class HostPool:
    """The connections to one host and the attempts that wait for a connection.

    A gateway sends to only a few of many hosts. To save memory, the containers of a pool are the shared
    empty tuple until the first attempt at its host.
    """

    __slots__ = (
        "pools",
        "number",
        "name",
        "address",
        "started",
        "is_leaving",
        "is_gone",
        "idle_connections",
        "connections",
        "connecting_count",
        "waiting_attempts",
        "idle_timer",
        "reuse_timer",
    )

    def __init__(self, pools: HostPools, number: int, name: str) -> None:
        self.pools, self.number, self.name = pools, number, name
        self.address, self.started = NO_ADDRESS, 0.0
        self.is_leaving = False  # whether the host list says that the host is draining or gone
        self.is_gone = False
        self.idle_connections = cast("deque[SendingConnection]", ())  # the most recently used is last
        self.connections = cast("set[SendingConnection]", ())
        self.connecting_count = 0  # number of connects under way
        self.waiting_attempts = cast("deque[Attempt]", ())
        self.idle_timer: asyncio.TimerHandle | None = None  # closes the oldest idle connection
        # Set while attempts wait until an idle connection may be reused.
        self.reuse_timer: asyncio.TimerHandle | None = None

    def _allocate(self) -> None:
        """Replace the shared empty containers by new ones."""
        if not isinstance(self.connections, set):
            self.idle_connections, self.connections, self.waiting_attempts = deque(), set(), deque()

    @property
    def node(self) -> Node:
        """The gateway's event loop and clock."""
        return self.pools.node

    @property
    def idle_limit_ms(self) -> float:
        """How long a connection may stay idle before it is closed."""
        return self.pools.idle_limit_ms

    def start(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection, or open a connection for it."""
        self._allocate()
        self.waiting_attempts.append(attempt)
        if self.is_leaving:
            self.pools.leaving_pools.add(self)
        self._serve_waiting()

    def _serve_waiting(self) -> None:
        """Send waiting attempts on idle connections, and open a connection if too few are being opened."""
        self._send_on_idle()
        if self.connecting_count < len(self.waiting_attempts):
            self._open_connection()

    def _send_on_idle(self) -> None:
        """Send waiting attempts on idle connections, the most recently used first.

        Connections that may still receive a second answer to their last command are skipped.
        """
        now = self.node.clock.now()
        while self.waiting_attempts:
            found = next(
                (
                    c
                    for c in reversed(self.idle_connections)
                    if now - c.idle_since >= self.pools.reuse_delay_ms
                ),
                None,
            )
            if found is None:
                return
            self._remove_idle(found)
            if not found.is_usable(now):
                found.close(ConnectionEnd.IDLE)
            elif not self._try_send(found, self.waiting_attempts.popleft()):
                self.release(found)

    def _on_reuse_timer(self) -> None:
        self.reuse_timer = None
        self._serve_waiting()

    def _try_send(self, connection: SendingConnection, attempt: Attempt) -> bool:
        """Send an attempt unless it became pointless while it waited; returns whether it was sent."""
        node, now = self.node, self.node.clock.now()
        request = attempt.request
        if (
            not request.is_unanswered()
            or self.is_leaving
            or now > attempt.begin_by
            or not request.client.is_present()
        ):
            # Guards against a connection that is established late: the request may have ended (rule 1), the
            # hosts may have forgotten its key (rule 2), or the host may have begun to leave (rule 3). Also
            # guards against a client that has closed its connection while the gateway has not read that yet,
            # because reading is paused or the event loop was late. Nothing was sent, so nothing ran.
            reason = AttemptEnd.HOST_LEAVING if self.is_leaving else AttemptEnd.NOT_SENT
            node.end_attempt(attempt, it.Outcome.NOT_SENT, reason=reason)
            return False
        connection.send_command(attempt, now)
        return True

    def _open_connection(self) -> None:
        if not self.pools.make_room():
            # The gateway's own limit prevents the connect. UNREACHABLE would make a healthy host suspect.
            attempt = self.waiting_attempts.pop()
            self.node.end_attempt(attempt, it.Outcome.NOT_SENT, reason=AttemptEnd.NO_CONNECTION)
            return
        self.connecting_count += 1
        self.pools.connecting_count += 1
        task = self.node.loop.create_task(self._connect())
        self.pools.tasks.add(task)  # the event loop holds only weak references to tasks
        task.add_done_callback(self.pools.tasks.discard)

    async def _connect(self) -> None:
        node = self.node
        connection: HostConnection | None = None
        failure = it.Outcome.UNREACHABLE
        address = self.address  # a copy: the host list may change the address before the connect completes
        limit_s = node.settings.limits.connect_timeout_ms / 1000
        try:
            connection = await connect(node.loop, lambda: HostConnection(self, address), address, limit_s)
        except LocalShortageError:
            failure = it.Outcome.NOT_SENT  # UNREACHABLE would make a healthy host suspect
        except (OSError, ValueError):
            pass
        finally:
            self.connecting_count -= 1
            self.pools.connecting_count -= 1
        if connection is not None and not connection.closed:
            return self.add_connection(connection)
        self._send_on_idle()
        if self.connecting_count < len(self.waiting_attempts):
            if not self.idle_connections:
                is_local = failure is it.Outcome.NOT_SENT
                reason = AttemptEnd.NO_CONNECTION if is_local else AttemptEnd.CONNECT_FAILED
                node.end_attempt(self.waiting_attempts.popleft(), failure, reason=reason)
            elif self.reuse_timer is None:
                # The host may accept no more connections, but an idle one can be reused soon.
                delay_s = self.pools.reuse_delay_ms / 1000
                self.reuse_timer = node.loop.call_later(delay_s, self._on_reuse_timer)
        self.forget_if_unused()

    def add_connection(self, connection: SendingConnection) -> None:
        """Add a new connection: use it for the attempt that has waited longest, or keep it as idle."""
        self._allocate()
        self.connections.add(connection)
        self.pools.open_connections += 1
        if connection.address != self.address:
            # Guards against a connect that was under way when the host list changed the host's address.
            connection.close(ConnectionEnd.HOST_CHANGED)
            return self._serve_waiting()
        while self.waiting_attempts and not connection.closed:
            if self._try_send(connection, self.waiting_attempts.popleft()):
                return
        self.release(connection)

    def release(self, connection: SendingConnection) -> None:
        """Keep a connection without an attempt as idle if it may be reused; otherwise close it."""
        moved = connection.address != self.address
        if self.is_leaving or moved or connection.closed or self.pools.closing:
            return connection.close(ConnectionEnd.HOST_CHANGED)
        self.pools.awaiting_fields.pop(connection, None)
        self.idle_connections.append(connection)
        self.pools.idle_connections[connection] = None
        if self.idle_timer is None:
            self.idle_timer = self.node.loop.call_later(self.idle_limit_ms / 1000, self._close_expired)

    def keep_for_fields(self, connection: SendingConnection) -> None:
        """Keep a connection whose last answer lacks its fields, until they come or its place is needed."""
        if self.pools.closing:
            return connection.close(ConnectionEnd.DRAINED)
        self.pools.awaiting_fields[connection] = None

    def note_second_answer(self, lateness_ms: float) -> None:
        """Let connections of all hosts stay idle longer before they are reused: an answer came twice.

        Guards against a later second answer that is taken for the answer to the next request. Hosts of one
        fleet run the same software, so what one does is expected of all.
        """
        pools = self.pools
        delay_ms = min(LONGEST_REUSE_DELAY_MS, SECOND_ANSWER_FACTOR * lateness_ms)
        pools.reuse_delay_ms = max(pools.reuse_delay_ms, delay_ms)

    def _close_expired(self) -> None:
        """Close the connections that have reached the idle limit, and set the timer for the next one."""
        now = self.node.clock.now()
        self.idle_timer = None
        while self.idle_connections and now - self.idle_connections[0].idle_since >= self.idle_limit_ms - 1:
            self.idle_connections[0].close(ConnectionEnd.IDLE)
        if self.idle_connections:
            delay = self.idle_connections[0].idle_since + self.idle_limit_ms - now
            self.idle_timer = self.node.loop.call_later(delay / 1000, self._close_expired)

    def close_idle(self) -> None:
        """Close the idle connections, because the host has changed or is leaving."""
        while self.idle_connections:
            self.idle_connections[0].close(ConnectionEnd.HOST_CHANGED)

    def close_idle_before(self, time: float) -> None:
        """Close the idle connections that received their last bytes before `time` (Unix time in ms).

        The caller passes the time at which an attempt that got no answer was sent. This guards against a
        machine that vanished: each of its connections stays open and could take one more attempt, which then
        may have run. A new connect that fails proves that the attempt did not run.
        """
        while self.idle_connections and self.idle_connections[0].idle_since < time:
            self.idle_connections[0].close(ConnectionEnd.SUSPECT)

    def remove(self, connection: SendingConnection) -> None:
        """Remove a closed connection from the pool."""
        if connection in self.connections:
            self.connections.discard(connection)
            self.pools.awaiting_fields.pop(connection, None)
            self.pools.open_connections -= 1
        if connection in self.pools.idle_connections:
            self._remove_idle(connection)
        self.forget_if_unused()

    def _remove_idle(self, connection: SendingConnection) -> None:
        self.idle_connections.remove(connection)
        del self.pools.idle_connections[connection]

    def forget_if_unused(self) -> None:
        """Remove the pool of a host that is gone once it has no connections and no attempts.

        Hosts are replaced all day, so kept pools would accumulate.
        """
        if self.is_gone and not (self.connections or self.connecting_count or self.waiting_attempts):
            self.pools.forget(self)


class HostPools:
    """The pools of all hosts, by the decision module's host numbers, and the limit on their connections."""

    def __init__(self, node: Node, idle_limit_ms: float, max_connections: int) -> None:
        self.node, self.max_connections = node, max_connections
        self.idle_limit_ms = idle_limit_ms * IDLE_LIMIT_FRACTION
        self.pools: dict[int, HostPool] = {}
        # The idle connections of all pools; the one that has been idle longest is first.
        self.idle_connections: OrderedDict[SendingConnection, None] = OrderedDict()
        # Those whose last answer lacks its fields, in the order of the answers. They give way to new ones.
        self.awaiting_fields: OrderedDict[SendingConnection, None] = OrderedDict()
        self.leaving_pools: set[HostPool] = set()  # pools in which attempts wait for a leaving host
        self.open_connections = self.connecting_count = 0  # in all pools
        self.reuse_delay_ms = REUSE_DELAY_MS  # how long a connection stays idle before it is reused
        self.closing = False  # whether connections are closed when their attempt ends
        self.tasks: set[asyncio.Task[None]] = set()
        self.on_forgotten: Callable[[str], None] = lambda name: None  # called with the name of a removed host

    def forget(self, pool: HostPool) -> None:
        """Remove a pool, and call `on_forgotten` with the name of its host."""
        if self.pools.get(pool.number) is pool:
            for timer in (pool.idle_timer, pool.reuse_timer):
                if timer is not None:
                    timer.cancel()
            del self.pools[pool.number]
            self.on_forgotten(pool.name)

    def add(self, host: int, name: str) -> None:
        """Create the pool of a host if it has none."""
        if host not in self.pools:
            self.pools[host] = HostPool(self, host, name)

    def update_host(self, host: int, address: tuple[str, int], state: it.HostState, started: float) -> None:
        """Apply an entry of the host list; `started` is the start time of the host (Unix time in ms).

        Idle connections are closed if the host's address has changed, or if it restarted or is leaving.
        """
        pool, ready = self.pools[host], state is it.HostState.READY
        if pool.address != address or started != pool.started or not ready:
            pool.address, pool.started = address, started
            pool.close_idle()
        pool.is_leaving = not ready
        pool.is_gone = state is it.HostState.GONE
        if pool.is_leaving and pool.waiting_attempts:
            self.leaving_pools.add(pool)
        pool.forget_if_unused()

    def end_waiting_at_leaving_hosts(self) -> None:
        """End the attempts that wait for leaving hosts as NOT_SENT; the decision module then decides again.

        Call it after the decision module has received the list. No new attempt is sent to a leaving host,
        because the pools can't tell when its drain grace ends: the discovery agent may have had the entry for
        a while before the gateway received it.
        """
        pools = sorted(self.leaving_pools, key=lambda pool: pool.number)
        self.leaving_pools.clear()
        for pool in pools:
            while pool.is_leaving and pool.waiting_attempts:
                attempt = pool.waiting_attempts.popleft()
                self.node.end_attempt(attempt, it.Outcome.NOT_SENT, reason=AttemptEnd.HOST_LEAVING)
            pool.forget_if_unused()

    def close_idle(self) -> None:
        """Close all idle connections, and from now on each connection when its attempt ends."""
        self.closing = True
        while self.idle_connections:
            next(iter(self.idle_connections)).close(ConnectionEnd.DRAINED)

    def start(self, attempt: Attempt) -> None:
        """Send an attempt to its host, as soon as a connection is available."""
        if (pool := self.pools.get(attempt.host)) is None:
            return self.node.end_attempt(attempt, it.Outcome.UNREACHABLE)
        pool.start(attempt)

    def drop(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt.

        Its connection is closed, because a late answer would be taken for the answer to another attempt.
        """
        connection, pool = attempt.connection, self.pools.get(attempt.host)
        if isinstance(connection, SendingConnection):
            connection.close(ConnectionEnd.ATTEMPT_ENDED)
            connection.pool.close_idle_before(attempt.started_at)
        elif pool is not None and attempt in pool.waiting_attempts:
            pool.waiting_attempts.remove(attempt)
            pool.forget_if_unused()

    def make_room(self) -> bool:
        """Whether the limit allows one more connection; closes one that has no attempt if necessary."""
        if self.open_connections + self.connecting_count < self.max_connections:
            return True
        unused = next(chain(self.awaiting_fields, self.idle_connections), None)
        if unused is None:
            return False
        unused.close(ConnectionEnd.EVICTED)
        return True
