"""Clients of real gateways: open-loop requests over RESP2 on persistent connections, and their outcomes."""

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
from rainturn.node.resp import encode_array

WRITE_BODY = b"b" * 200
MAX_RECORDED_US = 60_000_000
MAX_CONNECTIONS = 200  # to one gateway: about a third of its file descriptors


class ClientConnection(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(self, clients: GatewayClients) -> None:
        self.clients = clients
        self.transport: asyncio.Transport
        self.reader = hiredis.Reader()
        self.sent_at: float | None = None  # by perf_counter, in s; None while no request is open

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def send(self, command: bytes) -> None:
        """Send a request."""
        self.sent_at = time.perf_counter()
        self.transport.write(command)

    def data_received(self, data: bytes) -> None:
        """Record an answer that has arrived in full, and free the connection for the next request."""
        self.reader.feed(data)
        answer = self.reader.gets()
        if answer is False:
            return
        if self.sent_at is not None:
            self.clients.record_answer(answer, time.perf_counter() - self.sent_at)
        self.sent_at = None
        self.clients.release(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Count an open request as lost and remove the connection."""
        if self.sent_at is not None:
            self.clients.outcome_counts["lost"] += 1
        self.clients.remove(self)


class GatewayClients:
    """The clients of one gateway.

    `added_us` is a histogram of the time that the gateway adds to each served request, in µs: the time from
    the request to its answer, less the time at the host, which the value states.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.added_us = HdrHistogram(1, MAX_RECORDED_US, 3)
        self.outcome_counts: Tally[str] = Tally()
        self.sent_count = 0
        self.idle_connections: list[ClientConnection] = []
        self.open_connections: set[ClientConnection] = set()
        self.connecting_count = 0
        self.queued_commands: deque[bytes] = deque()
        self.tasks: set[asyncio.Task[None]] = set()

    def send_request(self, number: int, drawn: DrawnRequest) -> None:
        """Send a request on an idle connection or on a new one, or queue it if there are too many."""
        words = request_words(number, drawn)
        command = encode_array(
            words if CLASSES[drawn.class_index].effect == "retryable" else [*words, WRITE_BODY]
        )
        self.sent_count += 1
        while self.idle_connections:
            connection = self.idle_connections.pop()
            if not connection.transport.is_closing():
                return connection.send(command)
        self.queued_commands.append(command)
        if (
            self.connecting_count < len(self.queued_commands)
            and len(self.open_connections) + self.connecting_count < MAX_CONNECTIONS
        ):
            self.connecting_count += 1
            task = asyncio.get_running_loop().create_task(self._connect())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(lambda: ClientConnection(self), *self.address)
        except OSError:
            if self.queued_commands:
                self.queued_commands.popleft()
                self.outcome_counts["unreachable"] += 1
            return
        finally:
            self.connecting_count -= 1
        self.open_connections.add(connection)
        self.release(connection)

    def release(self, connection: ClientConnection) -> None:
        """Send the next queued request on a free connection, or keep the connection as idle."""
        if self.queued_commands:
            connection.send(self.queued_commands.popleft())
        else:
            self.idle_connections.append(connection)

    def remove(self, connection: ClientConnection) -> None:
        """Forget a closed connection."""
        self.open_connections.discard(connection)
        if connection in self.idle_connections:
            self.idle_connections.remove(connection)

    def record_answer(self, answer: object, took_s: float) -> None:
        """Count an answer by its outcome; `took_s` is the time since the request was sent.

        A request is served if the answer is a value or an array that begins with one.
        """
        value = answer[0] if isinstance(answer, list) and answer else answer
        if isinstance(value, bytes):
            self.outcome_counts["served"] += 1
            self.added_us.record_value(max(1, int(took_s * 1e6) - int(value)))
        elif isinstance(answer, hiredis.ReplyError) and str(answer).split(" ")[0] == "BUSY":
            self.outcome_counts["refused"] += 1
        else:
            self.outcome_counts["failed"] += 1

    def close(self) -> None:
        """Abort all connections."""
        for connection in list(self.open_connections):
            connection.transport.abort()


async def answers_ping(address: tuple[str, int]) -> bool:
    """Return whether a gateway answers PING with PONG, which means that it is ready for clients."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(encode_array((b"PING",)))
            return await reader.readline() == b"+PONG\r\n"
    except (OSError, TimeoutError):
        return False
    finally:
        if writer is not None:
            writer.close()
