"""The connections to each host, the attempts that wait for one, and the limit on all connections."""

from __future__ import annotations

import asyncio
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import cast

from rainturn import interface as it
from rainturn.node.gateway import Node
from rainturn.node.host_connection import HostConnection
from rainturn.node.requests import Attempt
from rainturn.node.system_errors import OwnShortage, connect

SETTLE_MS = 10.0  # idle time before a connection is used again: a host's second answer comes some ms late
IDLE_LIMIT_PART = 0.7  # of the hosts' own idle limit: a request must not cross their close
NO_ADDRESS = ("", 0)


class HostPool:
    """The connections to one host and the attempts that wait for one.

    One gateway sends to a few of many hosts: until the first attempt for a host its pool is as small as it
    can be, and its containers are one shared, immutable, empty value.
    """

    __slots__ = (
        "pools",
        "number",
        "name",
        "address",
        "started",
        "leaving",
        "gone",
        "idle",
        "connections",
        "connecting",
        "waiting",
        "idle_timer",
        "settle_timer",
    )

    def __init__(self, pools: HostPools, number: int, name: str) -> None:
        self.pools, self.number, self.name = pools, number, name
        self.address, self.started = NO_ADDRESS, 0.0
        self.leaving = False  # whether the list says that the host drains or is gone
        self.gone = False
        self.idle = cast("deque[HostConnection]", ())  # most recently used last
        self.connections = cast("set[HostConnection]", ())
        self.connecting = 0
        self.waiting = cast("deque[Attempt]", ())
        self.idle_timer: asyncio.TimerHandle | None = None  # for the close of the oldest idle connection
        self.settle_timer: asyncio.TimerHandle | None = None  # set while attempts wait for SETTLE_MS to pass

    def _allocate(self) -> None:
        """Give the pool containers of its own."""
        if not isinstance(self.connections, set):
            self.idle, self.connections, self.waiting = deque(), set(), deque()

    @property
    def node(self) -> Node:
        """The gateway's event loop and clock."""
        return self.pools.node

    @property
    def idle_limit_ms(self) -> float:
        """How long a connection may stay idle before it is closed."""
        return self.pools.idle_limit_ms

    def start(self, attempt: Attempt) -> None:
        """Use an idle connection, or open one."""
        self._allocate()
        self.waiting.append(attempt)
        if self.leaving:
            self.pools.to_return.add(self)
        self._serve_waiting()

    def _serve_waiting(self) -> None:
        """Use idle connections for what waits, and open one if too few are being opened."""
        self._use_idle()
        if self.connecting < len(self.waiting):
            self._open()

    def _use_idle(self) -> None:
        """Use the most recently used first, but none that may yet get a second answer to its last command."""
        now = self.node.clock.now()
        while self.waiting:
            found = next((c for c in reversed(self.idle) if now - c.idle_since >= SETTLE_MS), None)
            if found is None:
                return
            self._remove_idle(found)
            if not found.usable(now):
                found.close()
            elif not self._begin(found, self.waiting.popleft()):
                self.release(found)

    def _on_settle_timer(self) -> None:
        self.settle_timer = None
        self._serve_waiting()

    def _begin(self, connection: HostConnection, attempt: Attempt) -> bool:
        """Write an attempt, unless it has become pointless while it waited for a connection."""
        node, now = self.node, self.node.clock.now()
        request = attempt.request
        if request.done or self.leaving or now > attempt.begin_by or not request.client.is_connected():
            # Guards against a connect that comes up late: the request may have ended meanwhile (rule 1), its
            # key may be forgotten (rule 2) or the host may leave by now (rule 3). Nothing was written or ran.
            # And against a client whose end is not read yet, as it is not read from or the loop was late.
            node.attempt_ended(attempt, it.Outcome.NOT_SENT)
            return False
        connection.begin(attempt, now)
        return True

    def _open(self) -> None:
        if not self.pools.make_room():
            # Not sent for a shortage of our own: to call the host unreachable would make a well one suspect.
            self.node.attempt_ended(self.waiting.pop(), it.Outcome.NOT_SENT)
            return
        self.connecting += 1
        self.pools.connecting += 1
        task = self.node.loop.create_task(self._connect())
        self.pools.tasks.add(task)  # the loop holds tasks only weakly
        task.add_done_callback(self.pools.tasks.discard)

    async def _connect(self) -> None:
        node = self.node
        connection: HostConnection | None = None
        failure = it.Outcome.UNREACHABLE
        address = self.address  # as it is now: the list may move the host before the connect comes up
        limit_s = node.settings.limits.connect_timeout_ms / 1000
        try:
            connection = await connect(node.loop, lambda: HostConnection(self, address), address, limit_s)
        except OwnShortage:
            failure = it.Outcome.NOT_SENT  # to call the host unreachable would make a well one suspect
        except (OSError, ValueError):
            pass
        finally:
            self.connecting -= 1
            self.pools.connecting -= 1
        if connection is not None and not connection.closed:
            return self.add_connection(connection)
        self._use_idle()
        if self.connecting < len(self.waiting):
            if not self.idle:
                node.attempt_ended(self.waiting.popleft(), failure)
            elif self.settle_timer is None:  # the host may accept no more, and an idle one is usable soon
                self.settle_timer = node.loop.call_later(SETTLE_MS / 1000, self._on_settle_timer)
        self.forget_if_over()

    def add_connection(self, connection: HostConnection) -> None:
        """Give a new connection to the attempt that has waited longest, or keep it as an idle one."""
        self._allocate()
        self.connections.add(connection)
        self.pools.open += 1
        if connection.address != self.address:
            # Guards against a connect that was under way when the list moved the host.
            connection.close()
            return self._serve_waiting()
        while self.waiting and not connection.closed:
            if self._begin(connection, self.waiting.popleft()):
                return
        self.release(connection)

    def release(self, connection: HostConnection) -> None:
        """Keep a connection that carries nothing as an idle one, if it may be used again; else close it."""
        moved = connection.address != self.address
        if self.leaving or moved or connection.closed or self.pools.closing:
            return connection.close()
        self.idle.append(connection)
        self.pools.idle[connection] = None
        if self.idle_timer is None:
            self.idle_timer = self.node.loop.call_later(self.idle_limit_ms / 1000, self._close_expired)

    def _close_expired(self) -> None:
        """Close the connections that reached the idle limit, and set the timer for the next one."""
        now = self.node.clock.now()
        self.idle_timer = None
        while self.idle and now - self.idle[0].idle_since >= self.idle_limit_ms - 1:
            self.idle[0].close()
        if self.idle:
            delay = self.idle[0].idle_since + self.idle_limit_ms - now
            self.idle_timer = self.node.loop.call_later(delay / 1000, self._close_expired)

    def close_idle(self) -> None:
        """Close the idle connections."""
        while self.idle:
            self.idle[0].close()

    def close_idle_before(self, time: float) -> None:
        """Close the idle connections that received their last bytes before `time` (Unix time in ms).

        Called with the time at which an attempt was sent that got no answer. Guards against a machine that
        vanished: its connections stay open and swallow one attempt each, which then may have run; a new
        connect that fails proves that nothing did.
        """
        while self.idle and self.idle[0].idle_since < time:
            self.idle[0].close()

    def remove(self, connection: HostConnection) -> None:
        """Forget a connection that has closed."""
        if connection in self.connections:
            self.connections.discard(connection)
            self.pools.open -= 1
        if connection in self.pools.idle:
            self._remove_idle(connection)
        self.forget_if_over()

    def _remove_idle(self, connection: HostConnection) -> None:
        self.idle.remove(connection)
        del self.pools.idle[connection]

    def forget_if_over(self) -> None:
        """Forget a host that is gone once nothing is left with it: hosts are replaced by new ones all day."""
        if self.gone and not (self.connections or self.connecting or self.waiting):
            self.pools.forget(self)


class HostPools:
    """The pools of all hosts by the module's numbers, and the limit on their connections."""

    def __init__(self, node: Node, idle_limit_ms: float, budget: int) -> None:
        self.node, self.budget = node, budget
        self.idle_limit_ms = idle_limit_ms * IDLE_LIMIT_PART
        self.pools: dict[int, HostPool] = {}
        self.idle: OrderedDict[HostConnection, None] = OrderedDict()  # of all pools, the oldest first
        self.to_return: set[HostPool] = set()  # those in which attempts wait for a host that leaves
        self.open = self.connecting = 0
        self.closing = False  # whether connections close when their attempt ends
        self.tasks: set[asyncio.Task[None]] = set()
        self.on_forgotten: Callable[[str], None] = lambda name: None  # called with a forgotten host's name

    def forget(self, pool: HostPool) -> None:
        """Drop all that is kept of a host."""
        if self.pools.get(pool.number) is pool:
            if pool.idle_timer is not None:
                pool.idle_timer.cancel()
            del self.pools[pool.number]
            self.on_forgotten(pool.name)

    def add(self, host: int, name: str) -> None:
        """Make the pool of a host that has none."""
        if host not in self.pools:
            self.pools[host] = HostPool(self, host, name)

    def update_host(self, host: int, address: tuple[str, int], state: it.HostState, started: float) -> None:
        """Follow the host list: close the idle connections of a host that moved, restarted or leaves."""
        pool, ready = self.pools[host], state is it.HostState.READY
        if pool.address != address or started != pool.started or not ready:
            pool.address, pool.started = address, started
            pool.close_idle()
        pool.leaving = not ready
        pool.gone = state is it.HostState.GONE
        if pool.leaving and pool.waiting:
            self.to_return.add(pool)
        pool.forget_if_over()

    def return_waiting(self) -> None:
        """Return what still waits for hosts that leave to the module, which has had the list by now.

        Nobody here may know when their drain was announced, and so how long the grace lasts: the agent may
        have had the news for a while. Nothing new goes to them at all.
        """
        pools = sorted(self.to_return, key=lambda pool: pool.number)
        self.to_return.clear()
        for pool in pools:
            while pool.leaving and pool.waiting:
                self.node.attempt_ended(pool.waiting.popleft(), it.Outcome.NOT_SENT)
            pool.forget_if_over()

    def close_idle(self) -> None:
        """Close all idle connections, and from now on each one when its attempt ends."""
        self.closing = True
        while self.idle:
            next(iter(self.idle)).close()

    def start(self, attempt: Attempt) -> None:
        """Begin an attempt."""
        if (pool := self.pools.get(attempt.host)) is None:
            return self.node.attempt_ended(attempt, it.Outcome.UNREACHABLE)
        pool.start(attempt)

    def drop(self, attempt: Attempt) -> None:
        """Give an attempt up. Its connection closes: a later answer would be taken for another attempt's."""
        connection, pool = attempt.connection, self.pools.get(attempt.host)
        if isinstance(connection, HostConnection):
            connection.close()
            connection.pool.close_idle_before(attempt.started_at)
        elif pool is not None and attempt in pool.waiting:
            pool.waiting.remove(attempt)
            pool.forget_if_over()

    def make_room(self) -> bool:
        """Whether the limit allows one more connection, after closing the oldest idle one if it must."""
        if self.open + self.connecting < self.budget:
            return True
        if not self.idle:
            return False
        next(iter(self.idle)).close()
        return True
