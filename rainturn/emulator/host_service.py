"""A stand-in for hosts: serves every command after a drawn time and says in the value how long it took."""

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
VALUE_BYTES = 200  # the value: the time at the host in µs, filled up with zeros


class HostConnection(asyncio.Protocol):
    """One gateway's connection; commands are begun at once and answered in their order."""

    def __init__(self, service: HostService) -> None:
        self.service = service
        self.transport: asyncio.Transport
        self.reader = hiredis.Reader()
        self.answers: deque[list[bytes]] = deque()  # in the order of the commands; empty until given

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A gateway has connected."""
        self.transport = cast(asyncio.Transport, transport)
        self.service.traffic.connections += 1
        self.service.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Begin the commands that have come whole."""
        self.service.traffic.bytes_in += len(data)
        self.reader.feed(data)
        try:
            while (words := self.reader.gets()) is not False:
                self.service.traffic.messages_in += 1
                self._begin(words)
        except hiredis.ProtocolError:
            self.transport.abort()

    def _begin(self, words: object) -> None:
        slot: list[bytes] = []
        self.answers.append(slot)
        verb = words[0].upper() if isinstance(words, list) and words and isinstance(words[0], bytes) else b""
        if verb in VERBS:
            began = time.perf_counter()
            delay_ms = draw_service_time_ms(self.service.rng)
            asyncio.get_running_loop().call_later(delay_ms / 1000, self._served, slot, began)
        elif verb == b"PING":
            self._give(slot, b"+PONG\r\n")
        elif verb in (b"CLIENT", b"SELECT"):
            self._give(slot, b"+OK\r\n")
        else:
            self._give(slot, b"-NOPERM\r\n" if verb == b"INFO" else b"-ERR no such command\r\n")

    def _served(self, slot: list[bytes], began: float) -> None:
        took_us = int((time.perf_counter() - began) * 1e6)
        self._give(slot, b"*3\r\n$%d\r\n%0*d\r\n$-1\r\n$-1\r\n" % (VALUE_BYTES, VALUE_BYTES, took_us))

    def _give(self, slot: list[bytes], answer: bytes) -> None:
        slot.append(answer)
        while self.answers and self.answers[0]:
            data = self.answers.popleft()[0]
            if not self.transport.is_closing():
                self.service.traffic.messages_out += 1
                self.service.traffic.bytes_out += len(data)
                self.transport.write(data)

    def connection_lost(self, error: Exception | None) -> None:
        """The gateway has gone."""
        self.service.connections.discard(self)


class HostService:
    """Some loopback addresses, each standing for many hosts."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.traffic = Traffic()
        self.connections: set[HostConnection] = set()
        self.servers: list[asyncio.Server] = []

    async def listen(self, ports: int) -> tuple[str, ...]:
        """Listen on so many free ports, and return their addresses as a host list names them."""
        loop = asyncio.get_running_loop()
        for _ in range(ports):
            server = await loop.create_server(lambda: HostConnection(self), LOOPBACK, 0, backlog=4096)
            self.servers.append(server)
        return tuple(format_address(server.sockets[0].getsockname()) for server in self.servers)

    def close(self) -> None:
        """Listen no more, and end all connections."""
        for server in self.servers:
            server.close()
        for connection in list(self.connections):
            connection.transport.abort()
