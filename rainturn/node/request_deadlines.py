"""The deadlines of open requests: one timer for each request, set and cancelled only here."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from rainturn.node.clock import Clock
from rainturn.node.requests import Request

# How long after its deadline a reply may begin: 500 ms by the protocol, less the delay of a busy event loop.
REPLY_GRACE_MS = 400.0


class RequestDeadlines:
    """Calls `on_deadline` with each request whose deadline has come.

    The time of a request begins when its last byte has come: at once, or when its streamed body is complete.
    Where the rest of a body may already wait at the client's machine, it begins when that became possible.
    """

    def __init__(
        self, clock: Clock, loop: asyncio.AbstractEventLoop, on_deadline: Callable[[Request], None]
    ) -> None:
        self.clock, self.loop, self._on_deadline = clock, loop, on_deadline

    def start(self, request: Request) -> None:
        """Set the deadline of a new request, unless its body is still to come."""
        if request.body is None:
            self._set_timer(request)

    def begin_time(self, request: Request, began_at: float) -> None:
        """Let the time of a streamed request begin at `began_at` (Unix time in ms), in place of any other."""
        if not request.is_finished:
            request.deadline = began_at + request.time_limit_ms
            self._set_timer(request)

    def withdraw_time(self, request: Request) -> None:
        """Undo `begin_time`: the client has not written the last byte of the body yet."""
        if not request.is_finished:
            request.deadline = math.inf
            self.cancel(request)

    def extend(self, request: Request) -> None:
        """Call `on_deadline` once more when a reply must begin at the latest."""
        request.has_grace = True
        self._start_timer(request, request.deadline + REPLY_GRACE_MS)

    def cancel(self, request: Request) -> None:
        """Stop the timer of a request."""
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
            request.deadline_timer = None

    def _set_timer(self, request: Request) -> None:
        self._start_timer(request, request.deadline)

    def _start_timer(self, request: Request, due: float) -> None:
        self.cancel(request)
        delay_s = max(0.0, due - self.clock.now()) / 1000
        request.deadline_timer = self.loop.call_later(delay_s, self._expire, request)

    def _expire(self, request: Request) -> None:
        request.deadline_timer = None
        self._on_deadline(request)
