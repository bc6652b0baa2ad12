"""A stand-in for the counter: counts with a time to live, changed by one call after another, over RESP2."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import cast

import hiredis

from rainturn.emulator.traffic import LOOPBACK, Traffic

MAX_TTL_MS = 60_000
MAX_AMOUNT = 1e9
MAX_NAME_BYTES = 64
IDLE_TIMEOUT_S = 10.0
MAX_CONNECTIONS = 32  # from one address; further connections are reset
SWEEP_INTERVAL_S = 5.0  # how often expired counts are deleted and idle connections closed
OK, PONG, BUSY = b"+OK\r\n", b"+PONG\r\n", b"-BUSY\r\n"


class CountStore:
    """Counts by name. A count expires a fixed time after its first call; later calls do not extend this."""

    def __init__(self) -> None:
        self._totals: dict[bytes, tuple[float, float]] = {}  # name -> total, and when it expires, in s

    def __len__(self) -> int:
        return len(self._totals)

    def add(self, name: bytes, amount: float, ttl_ms: float, now: float) -> float:
        """Add an amount to a count at the time `now` in s, and return the total."""
        total, expires_at = self._totals.get(name, (0.0, -math.inf))
        if now >= expires_at:
            total, expires_at = 0.0, now + min(MAX_TTL_MS, ttl_ms) / 1000
        self._totals[name] = total + amount, expires_at
        return total + amount

    def sweep(self, now: float) -> None:
        """Delete the expired counts."""
        for name in [name for name, (_, expires_at) in self._totals.items() if now >= expires_at]:
            del self._totals[name]

    def clear(self) -> None:
        """Delete all counts."""
        self._totals.clear()


class CounterConnection(asyncio.Protocol):
    """One caller's connection, which answers calls in their order."""

    def __init__(self, service: CounterService, traffic: Traffic) -> None:
        self.service, self.traffic = service, traffic
        self.transport: asyncio.Transport
        self.reader = hiredis.Reader()
        self.peer = ""
        self.refused = False
        self.received_at = 0.0  # loop time
        self.unsent_answers: deque[bytes] = deque()  # answers that a slow counter has not sent yet

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection, unless its caller has too many; then reset it."""
        self.transport = cast(asyncio.Transport, transport)
        self.traffic.connections += 1
        self.peer = str((transport.get_extra_info("peername") or ("",))[0])
        self.received_at = asyncio.get_running_loop().time()
        self.refused = not self.service.admit(self)
        if self.refused:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Answer the calls that have arrived in full; reset the connection on malformed data."""
        loop = asyncio.get_running_loop()
        self.received_at = loop.time()
        self.traffic.bytes_in += len(data)
        self.reader.feed(data)
        answers: list[bytes] = []
        try:
            while (words := self.reader.gets()) is not False:
                self.traffic.messages_in += 1
                answers.append(self._answer(words, loop.time()))
        except hiredis.ProtocolError:
            return self.transport.abort()
        if answers and self.service.calls_per_second:
            for answer in answers:
                self.unsent_answers.append(answer)
                loop.call_at(self.service.reserve_answer_time(loop.time()), self._write_next)
        elif answers:
            self._write(b"".join(answers), len(answers))

    def _write_next(self) -> None:
        self._write(self.unsent_answers.popleft(), 1)

    def _write(self, data: bytes, messages: int) -> None:
        if not self.transport.is_closing():
            self.traffic.messages_out += messages
            self.traffic.bytes_out += len(data)
            self.transport.write(data)

    def _answer(self, words: object, now: float) -> bytes:
        if not isinstance(words, list) or not words or not all(isinstance(word, bytes) for word in words):
            return b"-ERR not a call\r\n"
        verb = words[0].upper()
        if verb == b"PING":
            return PONG
        if verb in (b"CLIENT", b"SELECT"):
            return OK
        if verb != b"ADDGET" or len(words) != 4 or not 1 <= len(words[1]) <= MAX_NAME_BYTES:
            return b"-ERR no such call\r\n"
        if not self.service.accepts_calls:
            self.traffic.refused += 1
            return BUSY
        try:
            amount, ttl_ms = float(words[2]), int(words[3])
        except ValueError:
            return b"-ERR not a number\r\n"
        if not abs(amount) <= MAX_AMOUNT or ttl_ms < 1:
            return b"-ERR out of range\r\n"
        text = b"%.7g" % self.service.counts.add(words[1], amount, ttl_ms, now)
        return b"$%d\r\n%s\r\n" % (len(text), text)

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection from those of its caller."""
        self.service.remove(self)


class CounterService:
    """Answers gateways at one or more addresses, which share the counts.

    `calls_per_second` is the rate at which calls are answered, one after another; 0 means without a limit.
    `max_per_caller` limits the connections from one address. All gateways of one machine share an address, so
    a scale run lifts this limit.
    """

    def __init__(self, calls_per_second: float = 0.0, max_per_caller: int = MAX_CONNECTIONS) -> None:
        self.calls_per_second, self.max_per_caller = calls_per_second, max_per_caller
        self.accepts_calls = True  # False: all calls are refused, as a counter does before its run begins
        self.counts = CountStore()
        self.connections: dict[str, set[CounterConnection]] = {}
        self.traffic: dict[str, Traffic] = {}
        self.servers: list[asyncio.Server] = []
        self._free_at = 0.0
        self._sweep_timer: asyncio.TimerHandle | None = None

    def accept(self, label: str) -> CounterConnection:
        """Create the protocol of a new connection to the address of `label`."""
        return CounterConnection(self, self.traffic.setdefault(label, Traffic()))

    async def listen(self, label: str) -> tuple[str, int]:
        """Listen on a free loopback port and return its address; its traffic is counted under `label`."""
        self.traffic.setdefault(label, Traffic())
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: self.accept(label), LOOPBACK, 0, backlog=4096)
        self.servers.append(server)
        self.start_sweeping()
        host, port = server.sockets[0].getsockname()
        return host, port

    def start_sweeping(self) -> None:
        """Delete expired counts and close idle connections at regular intervals."""
        if self._sweep_timer is None:
            self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        self.counts.sweep(now)
        for connections in self.connections.values():
            for connection in [
                c for c in connections if now - c.received_at > IDLE_TIMEOUT_S - SWEEP_INTERVAL_S
            ]:
                connection.transport.close()
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def admit(self, connection: CounterConnection) -> bool:
        """Add a connection to those of its caller; return False if the caller has too many."""
        connections = self.connections.setdefault(connection.peer, set())
        if len(connections) >= self.max_per_caller:
            return False
        connections.add(connection)
        return True

    def remove(self, connection: CounterConnection) -> None:
        """Remove a connection that has ended."""
        self.connections.get(connection.peer, set()).discard(connection)

    def reserve_answer_time(self, now: float) -> float:
        """Return the loop time at which to answer a call that arrives now; the counter is busy until then."""
        self._free_at = max(self._free_at, now) + 1.0 / self.calls_per_second
        return self._free_at

    def close(self) -> None:
        """Stop listening and abort all connections."""
        for server in self.servers:
            server.close()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for connections in self.connections.values():
            for connection in list(connections):
                connection.transport.abort()
