"""A stand-in for discovery: a versioned host list, whole or as watched changes, over HTTP/1.1."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Sequence
from typing import cast
from urllib.parse import parse_qs, urlsplit

import httptools

from rainturn.emulator.traffic import LOOPBACK, Traffic
from rainturn.emulator.workload import HostListEntry

MAX_WAIT_MS = 60_000
KEPT_VERSIONS = 20_000  # a watch from a version before these gets the whole list
PATH = "/discovery/hosts"
TERMINATED = "terminated"


class HostDirectory:
    """The fleet's hosts by name, a version that each change raises, and which names each version changed."""

    def __init__(self, lines: Sequence[HostListEntry], version: int = 1) -> None:
        self.version = version
        self.entries = {line.host: line for line in lines}
        self._encoded = {line.host: line.encode() for line in lines}
        self._changes: deque[tuple[int, tuple[str, ...]]] = deque(maxlen=KEPT_VERSIONS)
        self._bodies: dict[int, bytes] = {}  # answers to watches from a version, and -1: the whole list

    def change(self, lines: Sequence[HostListEntry]) -> int:
        """Take lines over as one new version; a host that is gone is told once, then left out."""
        self.version += 1
        for line in lines:
            self._encoded[line.host] = line.encode()
            if line.health == TERMINATED:
                self.entries.pop(line.host, None)
            else:
                self.entries[line.host] = line
        self._changes.append((self.version, tuple(line.host for line in lines)))
        self._bodies.clear()
        return self.version

    def whole_list(self) -> bytes:
        """The answer that holds the whole list."""
        return self._body(-1, True, list(self.entries))

    def changes_since(self, version: int) -> bytes:
        """The answer to a watch from a version on: what changed, or the whole list if that is not known."""
        oldest = self._changes[0][0] - 1 if self._changes else self.version
        if not oldest <= version <= self.version:
            return self.whole_list()
        if version in self._bodies:
            return self._bodies[version]
        names: dict[str, None] = {}
        for changed_at, changed in reversed(self._changes):
            if changed_at <= version:
                break
            names.update(dict.fromkeys(changed))
        return self._body(version, False, list(names))

    def is_whole_list(self, body: bytes) -> bool:
        """Whether an answer is the present whole list."""
        return body is self._bodies.get(-1)

    def _body(self, key: int, whole: bool, names: list[str]) -> bytes:
        if key not in self._bodies:
            head = b'{"seq":%d,"whole":%s,"hosts":[' % (self.version, b"true" if whole else b"false")
            self._bodies[key] = head + b",".join(self._encoded[name] for name in names) + b"]}"
        return self._bodies[key]


class DiscoveryConnection(asyncio.Protocol):
    """One caller: each call in its turn, a watch for as long as it asks for. The parser calls `on_...`."""

    def __init__(self, service: DiscoveryService, traffic: Traffic) -> None:
        self.service, self.traffic = service, traffic
        self.transport: asyncio.Transport
        self.parser = httptools.HttpRequestParser(self)
        self.path = b""
        self.watched: int | None = None  # the version from which a call that waits wants news
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A caller has connected."""
        self.transport = cast(asyncio.Transport, transport)
        self.traffic.connections += 1

    def data_received(self, data: bytes) -> None:
        """Read a call."""
        self.traffic.bytes_in += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.close()

    def on_url(self, url: bytes) -> None:
        """Take a piece of the path."""
        self.path += url

    def on_message_complete(self) -> None:
        """A call is whole."""
        self.traffic.messages_in += 1
        path, self.path = self.path.decode("latin-1"), b""
        self.service.called(self, path)

    def answer(self, body: bytes, status: bytes = b"200 OK") -> None:
        """Write an answer."""
        self.stop_waiting()
        if self.transport.is_closing():
            return
        data = b"HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (
            status,
            len(body),
            body,
        )
        self.traffic.messages_out += 1
        self.traffic.bytes_out += len(data)
        self.traffic.whole_lists += self.service.directory.is_whole_list(body)
        self.transport.write(data)

    def stop_waiting(self) -> None:
        """Wait for nothing any more."""
        self.service.watchers.discard(self)
        self.watched = None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def connection_lost(self, error: Exception | None) -> None:
        """The caller has gone."""
        self.stop_waiting()


class DiscoveryService:
    """Answers gateways at one or more addresses.

    `answer_ms` is the service time of a call that is answered, one after another over all callers: a slow
    service. `silent` means that nothing is answered at all.
    """

    def __init__(self, lines: Sequence[HostListEntry], answer_ms: float = 0.0) -> None:
        self.directory = HostDirectory(lines)
        self.answer_ms = answer_ms
        self.silent = False
        self.watchers: set[DiscoveryConnection] = set()
        self.traffic: dict[str, Traffic] = {}
        self.servers: list[asyncio.Server] = []
        self._queue: deque[tuple[DiscoveryConnection, int | None]] = deque()  # calls at a slow service
        self._reached = asyncio.Event()

    def accept(self, label: str) -> DiscoveryConnection:
        """The protocol of a new connection at the address of `label`."""
        return DiscoveryConnection(self, self.traffic.setdefault(label, Traffic()))

    async def listen(self, label: str) -> tuple[str, int]:
        """Listen on a free loopback port; what passes there counts under `label`."""
        self.traffic.setdefault(label, Traffic())
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: self.accept(label), LOOPBACK, 0, backlog=4096)
        self.servers.append(server)
        host, port = server.sockets[0].getsockname()
        return host, port

    def called(self, connection: DiscoveryConnection, path: str) -> None:
        """Answer a call now, or when there is news, or when its wait is over."""
        if self.silent:
            return
        parts = urlsplit(path)
        query = parse_qs(parts.query)
        if parts.path != PATH:
            return connection.answer(b"", b"404 Not Found")
        try:
            index = int(query["index"][0]) if "index" in query else None
            wait_ms = min(MAX_WAIT_MS, int(query.get("wait", ["0"])[0]))
        except ValueError:
            return connection.answer(b"", b"400 Bad Request")
        if index != self.directory.version or wait_ms <= 0:
            return self._answer(connection, index)
        connection.watched = index
        self.watchers.add(connection)
        self._reached.set()
        loop = asyncio.get_running_loop()
        connection.timer = loop.call_later(wait_ms / 1000, self._answer, connection, index)

    def change(self, lines: Sequence[HostListEntry]) -> None:
        """Change the list and tell all watchers."""
        self.directory.change(lines)
        self._tell()

    def replace(self, lines: Sequence[HostListEntry]) -> None:
        """Begin another list, of which no earlier version is known, and tell all watchers."""
        self.directory = HostDirectory(lines, self.directory.version + 1)
        self._tell()

    def _tell(self) -> None:
        if not self.silent:
            for connection in list(self.watchers):
                self._answer(connection, connection.watched)

    async def wait_for_watchers(self, count: int) -> None:
        """Wait until so many callers have the present version and wait for news."""
        while len(self.watchers) < count:
            self._reached.clear()
            await self._reached.wait()

    def _answer(self, connection: DiscoveryConnection, index: int | None) -> None:
        if not self.answer_ms:
            return connection.answer(self._news(index))
        connection.stop_waiting()
        self._queue.append((connection, index))
        if len(self._queue) == 1:
            self._serve_next()

    def _serve_next(self) -> None:
        """Take the next call of a caller that is still there."""
        while self._queue and self._queue[0][0].transport.is_closing():
            self._queue.popleft()
        if self._queue:
            asyncio.get_running_loop().call_later(self.answer_ms / 1000, self._served)

    def _served(self) -> None:
        connection, index = self._queue.popleft()
        connection.answer(self._news(index))
        self._serve_next()

    def _news(self, index: int | None) -> bytes:
        return self.directory.whole_list() if index is None else self.directory.changes_since(index)

    def close(self) -> None:
        """Listen no more, and end the connections that wait."""
        for server in self.servers:
            server.close()
        for connection in list(self.watchers):
            connection.transport.abort()
