"""Shares the event loop between connections that have more input than they may handle at once."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable

TURNS_S = 0.004  # how long turns may take in one iteration of the event loop, however many connections wait


class TurnQueue:
    """Runs callbacks in the order in which they were added, some in each iteration of the event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.waiting: deque[Callable[[], None]] = deque()
        self.is_scheduled = False

    def add(self, callback: Callable[[], None]) -> None:
        """Run a callback in one of the next iterations of the event loop."""
        self.waiting.append(callback)
        self._schedule()

    def _schedule(self) -> None:
        if self.waiting and not self.is_scheduled:
            self.is_scheduled = True
            self.loop.call_soon(self._run)

    def _run(self) -> None:
        """Run the callbacks that wait now until the time is over; those that they add run later."""
        self.is_scheduled = False
        ends_at = time.monotonic() + TURNS_S
        try:
            for _ in range(len(self.waiting)):
                self.waiting.popleft()()
                if time.monotonic() >= ends_at:
                    break
        finally:
            self._schedule()
