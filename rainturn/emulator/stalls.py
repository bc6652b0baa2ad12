"""Watches an event loop for stalls: how long one turn of it takes."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

TICK_S = 0.002


@dataclass(frozen=True)
class Stalls:
    """The longest stall in ms, as processor time of the loop's thread and as wall time.

    The first leaves out what other processes on the same cores take, but also what the loop waits for the
    interpreter's lock while a thread of its own process holds it; the second has both in it.
    """

    cpu_ms: float = 0.0
    wall_ms: float = 0.0


class StallWatch:
    """Ticks on the loop, and keeps the most time between two ticks.

    The ticks cost about 1% of a core, so it runs only while stalls are measured.
    """

    def __init__(self) -> None:
        self._used_s = self._passed_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._before = (0.0, 0.0)

    def start(self) -> None:
        """Begin to watch anew."""
        self.stop()
        self._used_s = self._passed_s = 0.0
        self._before = time.thread_time(), time.monotonic()
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        used, now = time.thread_time(), time.monotonic()
        self._used_s = max(self._used_s, used - self._before[0])
        self._passed_s = max(self._passed_s, now - self._before[1] - TICK_S)
        self._before = used, now
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)

    def stop(self) -> Stalls:
        """Watch no more, and return the longest stall."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        return Stalls(1000 * self._used_s, 1000 * self._passed_s)
