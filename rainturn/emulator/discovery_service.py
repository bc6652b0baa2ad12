"""A stand-in for discovery: serves a versioned host list, as a whole or as changes, over HTTP/1.1."""

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
KEPT_VERSIONS = 20_000  # a watch from an older version gets the whole list
PATH = "/discovery/hosts"
TERMINATED = "terminated"


class HostDirectory:
    """The entries of the host list by name, its version, and the names that each version changed."""

    def __init__(self, entries: Sequence[HostListEntry], version: int = 1) -> None:
        self.version = version
        self.entries = {entry.host: entry for entry in entries}
        self._encoded = {entry.host: entry.encode() for entry in entries}
        self._changes: deque[tuple[int, tuple[str, ...]]] = deque(maxlen=KEPT_VERSIONS)
        self._cached_bodies: dict[int, bytes] = {}  # by the version that they start from; -1: the whole list

    def change(self, entries: Sequence[HostListEntry]) -> int:
        """Apply entries as one new version and return it.

        The changes since earlier versions contain a terminated host; the whole list does not.
        """
        self.version += 1
        for entry in entries:
            self._encoded[entry.host] = entry.encode()
            if entry.health == TERMINATED:
                self.entries.pop(entry.host, None)
            else:
                self.entries[entry.host] = entry
        self._changes.append((self.version, tuple(entry.host for entry in entries)))
        self._cached_bodies.clear()
        return self.version

    def whole_list(self) -> bytes:
        """Return an answer with the whole list."""
        return self._body(-1, True, list(self.entries))

    def changes_since(self, version: int) -> bytes:
        """Return an answer with the changes since a version, or with the whole list if they are not known."""
        oldest = self._changes[0][0] - 1 if self._changes else self.version
        if not oldest <= version <= self.version:
            return self.whole_list()
        if version in self._cached_bodies:
            return self._cached_bodies[version]
        names: dict[str, None] = {}
        for changed_at, changed in reversed(self._changes):
            if changed_at <= version:
                break
            names.update(dict.fromkeys(changed))
        return self._body(version, False, list(names))

    def is_whole_list(self, body: bytes) -> bool:
        """Return whether an answer is the current whole list."""
        return body is self._cached_bodies.get(-1)

    def _body(self, key: int, whole: bool, names: list[str]) -> bytes:
        if key not in self._cached_bodies:
            head = b'{"seq":%d,"whole":%s,"hosts":[' % (self.version, b"true" if whole else b"false")
            self._cached_bodies[key] = head + b",".join(self._encoded[name] for name in names) + b"]}"
        return self._cached_bodies[key]


class DiscoveryConnection(asyncio.Protocol):
    """One caller's connection. The HTTP parser calls its methods `on_...`."""

    def __init__(self, service: DiscoveryService, traffic: Traffic) -> None:
        self.service, self.traffic = service, traffic
        self.transport: asyncio.Transport
        self.parser = httptools.HttpRequestParser(self)
        self.path = b""
        self.watched_version: int | None = None  # a waiting call is answered once the version differs from it
        self.wait_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.traffic.connections += 1

    def data_received(self, data: bytes) -> None:
        """Parse calls; close the connection on malformed data."""
        self.traffic.bytes_in += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.close()

    def on_url(self, url: bytes) -> None:
        """Collect a piece of the path and query."""
        self.path += url

    def on_message_complete(self) -> None:
        """Pass a complete call to the service."""
        self.traffic.messages_in += 1
        path, self.path = self.path.decode("latin-1"), b""
        self.service.handle_call(self, path)

    def answer(self, body: bytes, status: bytes = b"200 OK") -> None:
        """Send an answer, and end the wait of its call."""
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
        """Drop the waiting call, if there is one, without an answer."""
        self.service.watchers.discard(self)
        self.watched_version = None
        if self.wait_timer is not None:
            self.wait_timer.cancel()
            self.wait_timer = None

    def connection_lost(self, error: Exception | None) -> None:
        """Drop the waiting call of a caller that has disconnected."""
        self.stop_waiting()


class DiscoveryService:
    """Answers gateways at one or more addresses.

    `answer_ms` is the time for each answer. A slow service, for which it is over 0, answers the calls of all
    callers one after another. While `silent` is set, no call is answered.
    """

    def __init__(self, entries: Sequence[HostListEntry], answer_ms: float = 0.0) -> None:
        self.directory = HostDirectory(entries)
        self.answer_ms = answer_ms
        self.silent = False
        self.watchers: set[DiscoveryConnection] = set()
        self.traffic: dict[str, Traffic] = {}
        self.servers: list[asyncio.Server] = []
        self._queue: deque[tuple[DiscoveryConnection, int | None]] = deque()  # of a slow service
        self._watcher_added = asyncio.Event()

    def accept(self, label: str) -> DiscoveryConnection:
        """Create the protocol of a new connection to the address of `label`."""
        return DiscoveryConnection(self, self.traffic.setdefault(label, Traffic()))

    async def listen(self, label: str) -> tuple[str, int]:
        """Listen on a free loopback port and return its address; its traffic is counted under `label`."""
        self.traffic.setdefault(label, Traffic())
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: self.accept(label), LOOPBACK, 0, backlog=4096)
        self.servers.append(server)
        host, port = server.sockets[0].getsockname()
        return host, port

    def handle_call(self, connection: DiscoveryConnection, path: str) -> None:
        """Answer a call at once, or when the list changes, or when its waiting time has passed."""
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
        connection.watched_version = index
        self.watchers.add(connection)
        self._watcher_added.set()
        loop = asyncio.get_running_loop()
        connection.wait_timer = loop.call_later(wait_ms / 1000, self._answer, connection, index)

    def change(self, entries: Sequence[HostListEntry]) -> None:
        """Apply entries as one new version and answer all watchers."""
        self.directory.change(entries)
        self._answer_watchers()

    def replace(self, entries: Sequence[HostListEntry]) -> None:
        """Replace the list, forget its earlier versions, and answer all watchers."""
        self.directory = HostDirectory(entries, self.directory.version + 1)
        self._answer_watchers()

    def _answer_watchers(self) -> None:
        if not self.silent:
            for connection in list(self.watchers):
                self._answer(connection, connection.watched_version)

    async def wait_for_watchers(self, count: int) -> None:
        """Wait until `count` callers watch the current version."""
        while len(self.watchers) < count:
            self._watcher_added.clear()
            await self._watcher_added.wait()

    def _answer(self, connection: DiscoveryConnection, index: int | None) -> None:
        if not self.answer_ms:
            return connection.answer(self._body_since(index))
        connection.stop_waiting()
        self._queue.append((connection, index))
        if len(self._queue) == 1:
            self._schedule_next()

    def _schedule_next(self) -> None:
        """Schedule the answer to the next call, and skip callers that have disconnected."""
        while self._queue and self._queue[0][0].transport.is_closing():
            self._queue.popleft()
        if self._queue:
            asyncio.get_running_loop().call_later(self.answer_ms / 1000, self._answer_next)

    def _answer_next(self) -> None:
        connection, index = self._queue.popleft()
        connection.answer(self._body_since(index))
        self._schedule_next()

    def _body_since(self, index: int | None) -> bytes:
        return self.directory.whole_list() if index is None else self.directory.changes_since(index)

    def close(self) -> None:
        """Stop listening and abort the connections with a waiting call."""
        for server in self.servers:
            server.close()
        for connection in list(self.watchers):
            connection.transport.abort()
