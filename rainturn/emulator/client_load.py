"""Clients of real gateways over RESP2: open-loop requests on kept connections, and what they saw."""

from __future__ import annotations

import asyncio
import time
from collections import Counter as Tally
from collections import deque
from typing import cast

import hiredis
from hdrh.histogram import HdrHistogram

from rainturn.emulator.hollow import request_words
from rainturn.emulator.workload import CLASSES, DrawnRequest
from rainturn.node.resp import pack

BODY = b"b" * 200  # of a write
LONGEST_US = 60_000_000
MAX_CONNECTIONS = 200  # to one gateway at most: a third of its descriptors, about


class ClientConnection(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(self, front: GatewayClients) -> None:
        self.front = front
        self.transport: asyncio.Transport
        self.reader = hiredis.Reader()
        self.sent_at: float | None = None  # perf_counter, s

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The gateway has taken the connection."""
        self.transport = cast(asyncio.Transport, transport)

    def send(self, command: bytes) -> None:
        """Send a request."""
        self.sent_at = time.perf_counter()
        self.transport.write(command)

    def data_received(self, data: bytes) -> None:
        """Take an answer once it is whole."""
        self.reader.feed(data)
        answer = self.reader.gets()
        if answer is False:
            return
        if self.sent_at is not None:
            self.front.answered(answer, time.perf_counter() - self.sent_at)
        self.sent_at = None
        self.front.rest(self)

    def connection_lost(self, error: Exception | None) -> None:
        """The gateway has ended the connection."""
        if self.sent_at is not None:
            self.front.outcome_counts["lost"] += 1
        self.front.gone(self)


class GatewayClients:
    """The clients of one gateway.

    `added_us` holds, for each served request, the time from its sending to its answer less the time that the
    host's value says it was at the host, in µs.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.added_us = HdrHistogram(1, LONGEST_US, 3)
        self.outcome_counts: Tally[str] = Tally()
        self.sent = 0
        self.idle: list[ClientConnection] = []
        self.open: set[ClientConnection] = set()
        self.connecting = 0
        self.waiting: deque[bytes] = deque()
        self.tasks: set[asyncio.Task[None]] = set()

    def request(self, number: int, draw: DrawnRequest) -> None:
        """Send a request on a connection that rests, or on a new one."""
        words = request_words(number, draw)
        command = pack(words if CLASSES[draw.kind].effect == "retryable" else [*words, BODY])
        self.sent += 1
        while self.idle:
            connection = self.idle.pop()
            if not connection.transport.is_closing():
                return connection.send(command)
        self.waiting.append(command)
        if self.connecting < len(self.waiting) and len(self.open) + self.connecting < MAX_CONNECTIONS:
            self.connecting += 1
            task = asyncio.get_running_loop().create_task(self._connect())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(lambda: ClientConnection(self), *self.address)
        except OSError:
            if self.waiting:
                self.waiting.popleft()
                self.outcome_counts["unreachable"] += 1
            return
        finally:
            self.connecting -= 1
        self.open.add(connection)
        self.rest(connection)

    def rest(self, connection: ClientConnection) -> None:
        """A connection is free for the next request."""
        if self.waiting:
            connection.send(self.waiting.popleft())
        else:
            self.idle.append(connection)

    def gone(self, connection: ClientConnection) -> None:
        """A connection has ended."""
        self.open.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def answered(self, answer: object, took_s: float) -> None:
        """Book an answer: a value, by itself or first of an array, is served."""
        value = answer[0] if isinstance(answer, list) and answer else answer
        if isinstance(value, bytes):
            self.outcome_counts["served"] += 1
            self.added_us.record_value(max(1, int(took_s * 1e6) - int(value)))
        elif isinstance(answer, hiredis.ReplyError) and str(answer).split(" ")[0] == "BUSY":
            self.outcome_counts["refused"] += 1
        else:
            self.outcome_counts["failed"] += 1

    def close(self) -> None:
        """End all connections."""
        for connection in list(self.open):
            connection.transport.abort()


async def answers_ping(address: tuple[str, int]) -> bool:
    """Whether a gateway answers PING with PONG: clients may come."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(pack((b"PING",)))
            return await reader.readline() == b"+PONG\r\n"
    except (OSError, TimeoutError):
        return False
    finally:
        if writer is not None:
            writer.close()
