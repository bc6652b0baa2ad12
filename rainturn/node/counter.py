"""Calls to the shared counter over a few connections, each of which answers in the order of its calls."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import deque

from rainturn import interface as it
from rainturn.node.gateway import Node
from rainturn.node.resp import Outgoing, Spoilt, pack, total
from rainturn.node.system_errors import connect

log = logging.getLogger(__name__)

IDLE_LIMIT_MS = 5000.0  # a connection idle for longer is replaced: the counter may close it any moment
SILENT_TIMEOUTS = 4.0  # one that owes answers and got no byte for so many time-outs is replaced
MAX_CONNECTIONS = 4  # more than one: a malformed answer or a break ends all calls on the same connection
MAX_TTL_MS = 60_000  # longest life of a count that the protocol knows
MAX_AMOUNT = 1e9  # largest amount of a call that the protocol knows
AMOUNT_DIGITS = 6  # decimals: seven digits of a total are exact
RECONNECT_MS = 100.0  # pause after a connect that failed
RETIRE_S = (
    2.0  # how long a counter that has moved may take for its last answers; its old address closes sooner
)


class CounterCall:
    """One call: the count's name, the command as sent, its start (Unix time in ms), whether it has ended."""

    __slots__ = ("name", "command", "started_at", "ended")

    def __init__(self, name: int, command: bytes, started_at: float) -> None:
        self.name, self.command, self.started_at = name, command, started_at
        self.ended = False


def encode_amount(amount: float) -> bytes:
    """A decimal number without an exponent, within the protocol's limit."""
    text = f"{max(-MAX_AMOUNT, min(MAX_AMOUNT, amount)):.{AMOUNT_DIGITS}f}".rstrip("0").rstrip(".")
    return b"0" if text == "-0" else text.encode()


class CounterConnection(Outgoing):
    """A connection, with the calls sent on it that have no answer yet, also those that have timed out."""

    def __init__(self, counter: Counter) -> None:
        super().__init__()
        self.counter = counter
        self.calls: deque[CounterCall] = deque()  # in the order of their answers
        self.received_at = self.sent_at = counter.node.clock.now()  # the last time of each
        self.retiring = False  # whether the counter has moved: then its last answer closes it

    def write(self, call: CounterCall, now: float) -> None:
        """Send a call."""
        if not self.calls:
            self.received_at = now
        self.sent_at = now
        self.calls.append(call)
        self.transport.write(call.command)

    def must_be_replaced(self, now: float) -> bool:
        """Whether it may be dead: silent though it owes answers, or idle for longer than the limit."""
        if self.calls:
            return now - self.received_at > SILENT_TIMEOUTS * self.counter.timeout_ms
        return now - self.sent_at > IDLE_LIMIT_MS

    def data_received(self, data: bytes) -> None:
        """Match each answer to its call, also to one that has timed out meanwhile."""
        if self.closed:
            return
        self.received_at = self.counter.node.clock.now()
        data, at = self.buffer + data if self.buffer else data, 0
        try:
            while at < len(data) and (answer := total(data, at)) is not None:
                if not self.calls:
                    raise Spoilt("an answer without a call")
                at = answer.end
                if answer.total is None:
                    self.counter.ended(self.calls.popleft(), it.Outcome.FULL, 0.0)
                else:
                    self.counter.ended(self.calls.popleft(), it.Outcome.OK, answer.total)
                if self.closed:
                    return
            self.buffer = data[at:]
        except Spoilt:
            # Guards against taking an answer for that of another call: what was called may have been added.
            return self.close()
        if self.retiring and not self.calls:
            self.close()

    def close(self) -> None:
        """End the connection; what was called may have been added, unless it was never sent whole.

        Its calls end as reset, not as timed out: that says nothing about the load of the counter.
        """
        if self.closed:
            return
        self.closed = True
        self.transport.abort()
        self.counter.remove(self)
        not_sent = self.calls[-1] if self.calls and self.unsent else None
        for call in self.calls:
            outcome = it.Outcome.UNREACHABLE if call is not_sent else it.Outcome.RESET
            self.counter.ended(call, outcome, 0.0)

    def eof_received(self) -> None:
        """The counter has closed its side: no answer will come."""
        self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """The connection broke."""
        self.close()


class Counter:
    """The calls to the counter: a few connections, calls that wait for the first one, and time-outs."""

    def __init__(self, node: Node, address: tuple[str, int]) -> None:
        self.node, self.address = node, address
        self.timeout_ms = node.settings.counter_timeout_ms
        self.connections: list[CounterConnection] = []
        self.connect_task: asyncio.Task[None] | None = None
        self.queued: deque[CounterCall] = deque()  # for want of a connection
        self.by_age: deque[CounterCall] = deque()  # all calls, also ended ones until their time-out
        self.timeout_timer: asyncio.TimerHandle | None = None  # for the oldest call
        self.retry_at = 0.0
        self.stopped = False

    def move(self, address: tuple[str, int]) -> None:
        """Make further calls to another address; those already sent may still be answered."""
        if address == self.address:
            return
        self.address, self.retry_at = address, 0.0
        connections, self.connections = self.connections, []
        for connection in connections:
            connection.retiring = True
            if connection.calls:
                # Guards against a counter that is cut off holding it for good: nobody calls over it any more.
                self.node.loop.call_later(RETIRE_S, connection.close)
            else:
                connection.close()

    def call(self, name: int, amount: float, ttl: float) -> None:
        """Begin a call: add `amount` to the count `name`, which lives for `ttl` ms if it is new."""
        now = self.node.clock.now()
        ttl_ms = max(1, min(MAX_TTL_MS, round(ttl)))
        call = CounterCall(name, pack((b"ADDGET", b"%d" % name, encode_amount(amount), b"%d" % ttl_ms)), now)
        self.by_age.append(call)
        if self.timeout_timer is None:
            self.timeout_timer = self.node.loop.call_later(self.timeout_ms / 1000, self._time_out)
        for connection in list(self.connections):
            # Guards against calls lost to a connection that went silent, or that the counter closes because
            # it was idle: both are replaced first.
            if connection.must_be_replaced(now):
                connection.close()
        best = min(self.connections, key=lambda connection: len(connection.calls), default=None)
        if best is None:
            self.queued.append(call)
        if self.connect_task is None and (best is None or self._wants_more(best)):
            self.connect_task = self.node.loop.create_task(self._connect())
        if best is not None:
            best.write(call, now)

    def _wants_more(self, best: CounterConnection) -> bool:
        """Whether another connection should be opened, as even the least used one owes an answer."""
        return bool(best.calls) and len(self.connections) < MAX_CONNECTIONS

    async def _connect(self) -> None:
        loop, clock = self.node.loop, self.node.clock
        limit_s = self.node.settings.limits.connect_timeout_ms / 1000
        try:
            while not self.stopped:
                await asyncio.sleep(max(0.0, self.retry_at - clock.now()) / 1000)
                address = self.address
                connection: CounterConnection | None = None
                with contextlib.suppress(OSError):
                    connection = await connect(loop, lambda: CounterConnection(self), address, limit_s)
                if address != self.address:  # the counter moved while the connect was under way
                    if connection is not None:
                        connection.close()
                    continue
                if connection is None or connection.closed:
                    self.retry_at = clock.now() + RECONNECT_MS
                    if not self.queued:
                        return
                    continue
                self.connections.append(connection)
                while self.queued and not connection.closed:
                    connection.write(self.queued.popleft(), clock.now())
                return
        finally:
            self.connect_task = None

    def _time_out(self) -> None:
        """End the calls that are overdue, and set the timer for the next one."""
        self.timeout_timer = None
        while self.by_age:
            call, now = self.by_age[0], self.node.clock.now()
            time_left_ms = call.started_at + self.timeout_ms - now
            if not call.ended and time_left_ms > 0:
                self.timeout_timer = self.node.loop.call_later(time_left_ms / 1000, self._time_out)
                return
            self.by_age.popleft()
            if call in self.queued:
                self.queued.remove(call)
                self.ended(call, it.Outcome.UNREACHABLE, 0.0)
            else:
                self.ended(call, it.Outcome.TIMEOUT, 0.0)

    def ended(self, call: CounterCall, outcome: it.Outcome, total: float) -> None:
        """Report the outcome of a call to the module, once; `total` counts for `Outcome.OK` only."""
        if not call.ended:
            call.ended = True
            self.node.feed(
                it.CountAnswered(call.name, outcome, total, self.node.clock.now() - call.started_at)
            )

    def remove(self, connection: CounterConnection) -> None:
        """Forget a connection; the next call opens another."""
        if connection in self.connections:
            self.connections.remove(connection)

    def stop(self) -> None:
        """Make no further connection."""
        self.stopped = True
