"""The operators' HTTP calls, one a connection, at an address of their own."""

from __future__ import annotations

import asyncio
import http
import logging
import socket
from collections.abc import Callable
from typing import cast

import httptools

log = logging.getLogger(__name__)

CONNECTIONS = 32  # at once; one more ends the one that has waited longest
ACCEPT_AT_ONCE = 8  # taken in one turn of the loop: a call is read before a crowd behind it pushes it out
CALL_S = 2.5  # how long a call may take to come whole
BACKLOG = 128  # callers that the system holds until they are accepted
ACCEPT_PAUSE_S = 0.1  # wait after an accept that failed for want of a descriptor
LINGER_S = 0.5  # how long a caller may take to read its answer
MAX_CALL = 8192  # bytes of a whole call

Answer = tuple[http.HTTPStatus, str]
Route = Callable[[], Answer]


class Call(asyncio.Protocol):
    """One connection: reads one call, answers it and closes. The parser calls `on_...`."""

    def __init__(self, control: Control) -> None:
        self.control = control
        self.transport: asyncio.Transport
        self.parser = httptools.HttpRequestParser(self)
        self.path = b""
        self.size = 0
        self.whole = self.answered = False
        self.timer: asyncio.TimerHandle

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A call has so long to come whole."""
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.control.loop.call_later(CALL_S, self._stalled)

    def data_received(self, data: bytes) -> None:
        """Read the call; what follows it, or a bad one, is not looked at."""
        if self.answered:
            return
        self.size += len(data)
        if self.size > MAX_CALL:
            return self._answer(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "call too long\n")
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.whole:
                return self._answer(http.HTTPStatus.BAD_REQUEST, "not an HTTP call\n")
        if self.whole:
            self._serve()

    def on_url(self, url: bytes) -> None:
        """Take a piece of the path."""
        self.path += url

    def on_message_complete(self) -> None:
        """The call is whole."""
        self.whole = True

    def _serve(self) -> None:
        routes = self.control.routes.get(self.path.partition(b"?")[0])
        if routes is None:
            return self._answer(http.HTTPStatus.NOT_FOUND, "no such call\n")
        route = routes.get(self.parser.get_method())
        if route is None:
            allowed = b", ".join(routes).decode()
            return self._answer(
                http.HTTPStatus.METHOD_NOT_ALLOWED, f"use {allowed}\n", f"Allow: {allowed}\r\n"
            )
        try:
            status, text = route()
        except Exception:
            log.exception("control: %s failed", self.path)
            status, text = http.HTTPStatus.INTERNAL_SERVER_ERROR, "failed\n"
        self._answer(status, text)

    def _answer(self, status: http.HTTPStatus, text: str, extra: str = "") -> None:
        """Answer and end the sending; the caller closes, so that no reset overtakes the answer."""
        self.answered = True
        self.transport.write(
            (
                f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Type: text/plain\r\n{extra}"
                f"Content-Length: {len(text)}\r\nConnection: close\r\n\r\n{text}"
            ).encode()
        )
        self.transport.write_eof()
        self.timer.cancel()
        self.timer = self.control.loop.call_later(LINGER_S, self.transport.abort)

    def _stalled(self) -> None:
        """Guards against half a call, or a silent connection, being held for ever."""
        self._answer(http.HTTPStatus.REQUEST_TIMEOUT, "the call did not come whole in time\n")

    def connection_lost(self, error: Exception | None) -> None:
        """The caller has gone."""
        self.timer.cancel()
        self.control.calls.pop(self, None)


class Control:
    """The listener for operators, with connections that no client can use up."""

    def __init__(self, loop: asyncio.AbstractEventLoop, routes: dict[bytes, dict[bytes, Route]]) -> None:
        self.loop, self.routes = loop, routes
        self.calls: dict[Call, socket.socket] = {}  # the one that came first stands first
        self.tasks: set[asyncio.Task[None]] = set()
        self.listener: socket.socket | None = None

    def accept_from(self, listener: socket.socket) -> tuple[str, int]:
        """Accept from a socket that listens; returns its address."""
        self.listener = listener
        self.listener.setblocking(False)
        self._listen_on()
        host, port = self.listener.getsockname()
        return host, port

    def _accept(self) -> None:
        for _ in range(ACCEPT_AT_ONCE):
            if self.listener is None:
                return
            try:
                sock, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                # Guards against a shortage of descriptors filling the loop with failures.
                log.warning("control: %s", error.strerror)
                self.loop.remove_reader(self.listener)
                self.loop.call_later(ACCEPT_PAUSE_S, self._listen_on)
                return
            if len(self.calls) >= CONNECTIONS:
                self._end(next(iter(self.calls)))
            sock.setblocking(False)
            call = Call(self)
            self.calls[call] = sock
            task = self.loop.create_task(self._adopt(call, sock))
            self.tasks.add(task)  # the loop holds tasks only weakly
            task.add_done_callback(self.tasks.discard)

    def _listen_on(self) -> None:
        if self.listener is not None:
            self.loop.add_reader(self.listener, self._accept)

    async def _adopt(self, call: Call, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: call, sock)
        except OSError:
            sock.close()
            self.calls.pop(call, None)

    def _end(self, call: Call) -> None:
        """Make room: guards against callers that hold connections and say nothing shutting others out."""
        del self.calls[call]
        if hasattr(call, "transport"):
            call.transport.abort()

    def stop(self) -> None:
        """Answer no more calls."""
        if self.listener is not None:
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None
