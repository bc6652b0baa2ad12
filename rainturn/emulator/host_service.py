"""A stand-in for hosts: answers each command after a random service time, with that time in the value."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from typing import cast

import hiredis

from rainturn.emulator.traffic import LOOPBACK, Traffic, format_address
from rainturn.emulator.workload import draw_service_time_ms

VERBS = (b"API.READ", b"API.WRITE")
VALUE_BYTES = 200  # the value is the time at the host in µs, padded with zeros


class HostConnection(asyncio.Protocol):
    """One gateway's connection. Commands start at once and are answered in their order."""

    def __init__(self, service: HostService) -> None:
        self.service = service
        self.transport: asyncio.Transport
        self.reader = hiredis.Reader()
        # In the order of the commands; a list is empty until its answer is ready.
        self.pending_answers: deque[list[bytes]] = deque()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.service.traffic.connections += 1
        self.service.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Start the commands that have arrived in full; reset the connection on malformed data."""
        self.service.traffic.bytes_in += len(data)
        self.reader.feed(data)
        try:
            while (words := self.reader.gets()) is not False:
                self.service.traffic.messages_in += 1
                self._start_command(words)
        except hiredis.ProtocolError:
            self.transport.abort()

    def _start_command(self, words: object) -> None:
        pending_answer: list[bytes] = []
        self.pending_answers.append(pending_answer)
        verb = words[0].upper() if isinstance(words, list) and words and isinstance(words[0], bytes) else b""
        if verb in VERBS:
            began = time.perf_counter()
            delay_ms = draw_service_time_ms(self.service.rng)
            asyncio.get_running_loop().call_later(
                delay_ms / 1000, self._finish_command, pending_answer, began
            )
        elif verb == b"PING":
            self._complete(pending_answer, b"+PONG\r\n")
        elif verb in (b"CLIENT", b"SELECT"):
            self._complete(pending_answer, b"+OK\r\n")
        else:
            self._complete(pending_answer, b"-NOPERM\r\n" if verb == b"INFO" else b"-ERR no such command\r\n")

    def _finish_command(self, pending_answer: list[bytes], began: float) -> None:
        took_us = int((time.perf_counter() - began) * 1e6)
        self._complete(
            pending_answer, b"*3\r\n$%d\r\n%0*d\r\n$-1\r\n$-1\r\n" % (VALUE_BYTES, VALUE_BYTES, took_us)
        )

    def _complete(self, pending_answer: list[bytes], answer: bytes) -> None:
        pending_answer.append(answer)
        while self.pending_answers and self.pending_answers[0]:
            data = self.pending_answers.popleft()[0]
            if not self.transport.is_closing():
                self.service.traffic.messages_out += 1
                self.service.traffic.bytes_out += len(data)
                self.transport.write(data)

    def connection_lost(self, error: Exception | None) -> None:
        """Forget the connection."""
        self.service.connections.discard(self)


class HostService:
    """Listens on a few loopback addresses, each of which stands for many hosts."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.traffic = Traffic()
        self.connections: set[HostConnection] = set()
        self.servers: list[asyncio.Server] = []

    async def listen(self, port_count: int) -> tuple[str, ...]:
        """Listen on free loopback ports and return their addresses as host:port."""
        loop = asyncio.get_running_loop()
        for _ in range(port_count):
            server = await loop.create_server(lambda: HostConnection(self), LOOPBACK, 0, backlog=4096)
            self.servers.append(server)
        return tuple(format_address(server.sockets[0].getsockname()) for server in self.servers)

    def close(self) -> None:
        """Stop listening and abort all connections."""
        for server in self.servers:
            server.close()
        for connection in list(self.connections):
            connection.transport.abort()
