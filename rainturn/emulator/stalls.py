"""Watches an event loop for stalls: how long one turn of it kept the processor."""

from __future__ import annotations

import asyncio
import time

TICK_S = 0.002


class StallWatch:
    """Ticks on the loop, and keeps the most processor time that the process used between two ticks.

    Processor time, not wall time: what other processes on the same cores take is no stall of this one. The
    ticks cost about 1% of a core, so it runs only while stalls are measured.
    """

    def __init__(self) -> None:
        self._longest_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._before = 0.0

    def start(self) -> None:
        """Begin to watch anew."""
        self.stop()
        self._longest_s = 0.0
        self._before = time.process_time()
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        now = time.process_time()
        self._longest_s = max(self._longest_s, now - self._before)
        self._before = now
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)

    def stop(self) -> float:
        """Watch no more, and return the longest stall in ms of processor time."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        return 1000 * self._longest_s
