"""A stand-in for the counter: named numbers with a life, added to one call after another, over RESP2."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import cast

import hiredis

from rainturn.emulator.traffic import LOOPBACK, Traffic

MAX_TTL_MS = 60_000
MAX_AMOUNT = 1e9
MAX_NAME_BYTES = 64  # bytes
IDLE_S = 10.0
MAX_CONNECTIONS = 32  # of one caller's address; further ones are reset
SWEEP_S = 5.0  # how often names whose life is over are dropped
OK, PONG, BUSY = b"+OK\r\n", b"+PONG\r\n", b"-BUSY\r\n"


class CountStore:
    """The counter's numbers: each is forgotten when its life is over, which later calls do not extend."""

    def __init__(self) -> None:
        self._held: dict[bytes, tuple[float, float]] = {}  # name -> total, and the time it is forgotten, in s

    def __len__(self) -> int:
        return len(self._held)

    def add(self, name: bytes, amount: float, life_ms: float, now: float) -> float:
        """Add to a name at a time in s, and return the total."""
        total, until = self._held.get(name, (0.0, -math.inf))
        if now >= until:
            total, until = 0.0, now + min(MAX_TTL_MS, life_ms) / 1000
        self._held[name] = total + amount, until
        return total + amount

    def sweep(self, now: float) -> None:
        """Drop the names whose life is over."""
        for name in [name for name, (_, until) in self._held.items() if now >= until]:
            del self._held[name]

    def clear(self) -> None:
        """Lose all that is held."""
        self._held.clear()


class CounterConnection(asyncio.Protocol):
    """One caller's connection: answers in the order of the calls."""

    def __init__(self, service: CounterService, traffic: Traffic) -> None:
        self.service, self.traffic = service, traffic
        self.transport: asyncio.Transport
        self.reader = hiredis.Reader()
        self.peer = ""
        self.refused = False
        self.heard_at = 0.0  # loop time
        self.waiting: deque[bytes] = deque()  # answers that a slow counter has yet to give

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a connection, unless the caller holds too many."""
        self.transport = cast(asyncio.Transport, transport)
        self.traffic.connections += 1
        self.peer = str((transport.get_extra_info("peername") or ("",))[0])
        self.heard_at = asyncio.get_running_loop().time()
        self.refused = not self.service.take(self)
        if self.refused:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Answer the calls that have come whole."""
        loop = asyncio.get_running_loop()
        self.heard_at = loop.time()
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
                self.waiting.append(answer)
                loop.call_at(self.service.turn(loop.time()), self._write_next)
        elif answers:
            self._write(b"".join(answers), len(answers))

    def _write_next(self) -> None:
        self._write(self.waiting.popleft(), 1)

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
            amount, life_ms = float(words[2]), int(words[3])
        except ValueError:
            return b"-ERR not a number\r\n"
        if not abs(amount) <= MAX_AMOUNT or life_ms < 1:
            return b"-ERR out of range\r\n"
        text = b"%.7g" % self.service.counts.add(words[1], amount, life_ms, now)
        return b"$%d\r\n%s\r\n" % (len(text), text)

    def connection_lost(self, error: Exception | None) -> None:
        """The caller has gone."""
        self.service.leave(self)


class CounterService:
    """Answers gateways at one or more addresses, which share the numbers.

    `calls_per_second` is the rate at which calls are answered, one after another; 0 means without a limit.
    `max_per_caller` limits the connections from one address. All gateways of one machine share an address, so
    a scale run lifts this limit.
    """

    def __init__(self, calls_per_second: float = 0.0, max_per_caller: int = MAX_CONNECTIONS) -> None:
        self.calls_per_second, self.max_per_caller = calls_per_second, max_per_caller
        self.accepts_calls = True  # until the run begins a counter turns all calls away
        self.counts = CountStore()
        self.connections: dict[str, set[CounterConnection]] = {}
        self.traffic: dict[str, Traffic] = {}
        self.servers: list[asyncio.Server] = []
        self._free_at = 0.0
        self._sweeper: asyncio.TimerHandle | None = None

    def accept(self, label: str) -> CounterConnection:
        """The protocol of a new connection at the address of `label`."""
        return CounterConnection(self, self.traffic.setdefault(label, Traffic()))

    async def listen(self, label: str) -> tuple[str, int]:
        """Listen on a free loopback port; what passes there counts under `label`."""
        self.traffic.setdefault(label, Traffic())
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: self.accept(label), LOOPBACK, 0, backlog=4096)
        self.servers.append(server)
        self.start_sweeping()
        host, port = server.sockets[0].getsockname()
        return host, port

    def start_sweeping(self) -> None:
        """Drop what is over, and close what rests, from time to time."""
        if self._sweeper is None:
            self._sweeper = asyncio.get_running_loop().call_later(SWEEP_S, self._sweep)

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        self.counts.sweep(now)
        for held in self.connections.values():
            for connection in [c for c in held if now - c.heard_at > IDLE_S - SWEEP_S]:
                connection.transport.close()
        self._sweeper = loop.call_later(SWEEP_S, self._sweep)

    def take(self, connection: CounterConnection) -> bool:
        """Whether a caller may hold one more connection; it is counted then."""
        held = self.connections.setdefault(connection.peer, set())
        if len(held) >= self.max_per_caller:
            return False
        held.add(connection)
        return True

    def leave(self, connection: CounterConnection) -> None:
        """A connection has ended."""
        self.connections.get(connection.peer, set()).discard(connection)

    def turn(self, now: float) -> float:
        """The loop time at which a call that has come now is answered."""
        self._free_at = max(self._free_at, now) + 1.0 / self.calls_per_second
        return self._free_at

    def close(self) -> None:
        """Listen no more, and end all connections."""
        for server in self.servers:
            server.close()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for held in self.connections.values():
            for connection in list(held):
                connection.transport.abort()
