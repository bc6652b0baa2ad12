"""Client of the shared counter. It uses a few connections, each of which answers calls in order."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import deque

from rainturn import interface as it
from rainturn.node.gateway import Node
from rainturn.node.resp import OutgoingConnection, ProtocolError, encode_array, parse_counter_answer
from rainturn.node.system_errors import connect

log = logging.getLogger(__name__)

IDLE_LIMIT_MS = 5000.0  # a connection idle for longer is replaced: the counter may close it at any moment
SILENT_TIMEOUTS = 4.0  # call time-outs without a byte after which a connection with open calls is replaced
MAX_CONNECTIONS = 4  # several, because a malformed answer or a reset ends all calls on its connection
MAX_TTL_MS = 60_000  # longest lifetime of a count in the protocol
MAX_AMOUNT = 1e9  # largest amount of a call in the protocol
AMOUNT_DECIMALS = 6  # the totals of the counter are exact to seven digits
RECONNECT_DELAY_MS = 100.0  # after a failed connect
DRAIN_TIMEOUT_S = 2.0  # time for the last answers from a former address, which may close sooner


class CounterCall:
    """One call to the counter. `command` is the encoded command, `started_at` the Unix time in ms."""

    __slots__ = ("name", "command", "started_at", "ended")

    def __init__(self, name: int, command: bytes, started_at: float) -> None:
        self.name, self.command, self.started_at = name, command, started_at
        self.ended = False


def encode_amount(amount: float) -> bytes:
    """Encode an amount as a decimal number without an exponent, clamped to the protocol's limit."""
    text = f"{max(-MAX_AMOUNT, min(MAX_AMOUNT, amount)):.{AMOUNT_DECIMALS}f}".rstrip("0").rstrip(".")
    return b"0" if text == "-0" else text.encode()


class CounterConnection(OutgoingConnection, asyncio.Protocol):
    """One connection and the calls sent on it that have no answer yet, including those that timed out."""

    def __init__(self, counter: CounterClient) -> None:
        super().__init__()
        self.counter = counter
        self.calls: deque[CounterCall] = deque()  # in the order of their answers
        self.received_at = self.sent_at = counter.node.clock.now()  # times of the last bytes, Unix time in ms
        self.is_draining = False  # whether the address has changed; the last answer closes the connection

    def write(self, call: CounterCall, now: float) -> None:
        """Send a call."""
        if not self.calls:
            self.received_at = now
        self.sent_at = now
        self.calls.append(call)
        self.transport.write(call.command)

    def must_be_replaced(self, now: float) -> bool:
        """Return whether the connection may be dead: silent with calls open, or idle beyond the limit."""
        if self.calls:
            return now - self.received_at > SILENT_TIMEOUTS * self.counter.timeout_ms
        return now - self.sent_at > IDLE_LIMIT_MS

    def data_received(self, data: bytes) -> None:
        """Match each answer to its call, even if the call has timed out."""
        if self.closed:
            return
        self.received_at = self.counter.node.clock.now()
        data, offset = self.buffer + data if self.buffer else data, 0
        try:
            while offset < len(data) and (answer := parse_counter_answer(data, offset)) is not None:
                if not self.calls:
                    raise ProtocolError("an answer without a call")
                offset = answer.end
                if answer.total is None:
                    self.counter.end_call(self.calls.popleft(), it.Outcome.FULL, 0.0)
                else:
                    self.counter.end_call(self.calls.popleft(), it.Outcome.OK, answer.total)
                if self.closed:
                    return
            self.buffer = data[offset:]
        except ProtocolError:
            # Guards against matching an answer to the wrong call. Open calls may have added their amounts.
            return self.close()
        if self.is_draining and not self.calls:
            self.close()

    def close(self) -> None:
        """Close the connection and end its calls.

        A call that was not sent completely ends as unreachable. The others end as reset: their amounts may
        have been added. They do not end as timed out, because their end says nothing about the load of the
        counter.
        """
        if self.closed:
            return
        self.closed = True
        self.transport.abort()
        self.counter.remove(self)
        not_sent = self.calls[-1] if self.calls and self.has_unsent_bytes else None
        for call in self.calls:
            outcome = it.Outcome.UNREACHABLE if call is not_sent else it.Outcome.RESET
            self.counter.end_call(call, outcome, 0.0)

    def eof_received(self) -> None:
        """Close the connection: the counter has closed its side and will not answer."""
        self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """End the calls of a connection that has broken."""
        self.close()


class CounterClient:
    """Makes calls to the counter over a few connections, with a queue for the first one and time-outs."""

    def __init__(self, node: Node, address: tuple[str, int]) -> None:
        self.node, self.address = node, address
        self.timeout_ms = node.settings.counter_timeout_ms
        self.connections: list[CounterConnection] = []
        self.connect_task: asyncio.Task[None] | None = None
        self.queued: deque[CounterCall] = deque()  # calls that wait for a connection
        self.calls_by_age: deque[CounterCall] = deque()  # all calls until their time-out, also ended ones
        self.timeout_timer: asyncio.TimerHandle | None = None  # for the oldest call
        self.retry_at = 0.0  # earliest time of the next connect, Unix time in ms
        self.stopped = False

    def change_address(self, address: tuple[str, int]) -> None:
        """Send further calls to another address; calls already sent may still be answered."""
        if address == self.address:
            return
        self.address, self.retry_at = address, 0.0
        connections, self.connections = self.connections, []
        for connection in connections:
            connection.is_draining = True
            if connection.calls:
                # Guards against an unreachable counter keeping the connection open for good: no further call
                # would detect it.
                self.node.loop.call_later(DRAIN_TIMEOUT_S, connection.close)
            else:
                connection.close()

    def call(self, name: int, amount: float, ttl: float) -> None:
        """Begin a call: add `amount` to the count `name`, which expires after `ttl` ms if it is new."""
        now = self.node.clock.now()
        ttl_ms = max(1, min(MAX_TTL_MS, round(ttl)))
        call = CounterCall(
            name, encode_array((b"ADDGET", b"%d" % name, encode_amount(amount), b"%d" % ttl_ms)), now
        )
        self.calls_by_age.append(call)
        if self.timeout_timer is None:
            self.timeout_timer = self.node.loop.call_later(self.timeout_ms / 1000, self._time_out)
        for connection in list(self.connections):
            # Guards against losing the call on a connection that went silent, or that the counter closes
            # because it was idle.
            if connection.must_be_replaced(now):
                connection.close()
        best = min(self.connections, key=lambda connection: len(connection.calls), default=None)
        if best is None:
            self.queued.append(call)
        if self.connect_task is None and (best is None or self._needs_connection(best)):
            self.connect_task = self.node.loop.create_task(self._connect())
        if best is not None:
            best.write(call, now)

    def _needs_connection(self, best: CounterConnection) -> bool:
        """Return whether to open another connection: even the one with the fewest open calls has one."""
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
                if address != self.address:  # the address changed during the connect
                    if connection is not None:
                        connection.close()
                    continue
                if connection is None or connection.closed:
                    self.retry_at = clock.now() + RECONNECT_DELAY_MS
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
        while self.calls_by_age:
            call, now = self.calls_by_age[0], self.node.clock.now()
            time_left_ms = call.started_at + self.timeout_ms - now
            if not call.ended and time_left_ms > 0:
                self.timeout_timer = self.node.loop.call_later(time_left_ms / 1000, self._time_out)
                return
            self.calls_by_age.popleft()
            if call in self.queued:
                self.queued.remove(call)
                self.end_call(call, it.Outcome.UNREACHABLE, 0.0)
            else:
                self.end_call(call, it.Outcome.TIMEOUT, 0.0)

    def end_call(self, call: CounterCall, outcome: it.Outcome, total: float) -> None:
        """Report the outcome of a call to the decision module, once. `total` counts only for `Outcome.OK`."""
        if not call.ended:
            call.ended = True
            self.node.dispatch(
                it.CountAnswered(call.name, outcome, total, self.node.clock.now() - call.started_at)
            )

    def remove(self, connection: CounterConnection) -> None:
        """Remove a closed connection; the next call opens another."""
        if connection in self.connections:
            self.connections.remove(connection)

    def stop(self) -> None:
        """Open no further connections."""
        self.stopped = True
