"""Measures the stalls of an event loop: how long one iteration takes."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

TICK_S = 0.002


@dataclass(frozen=True)
class Stalls:
    """The longest stall in ms, as processor time of the loop's thread and as wall time.

    The wall time includes the time that other processes use on the same cores, and the time that the loop
    waits for the global interpreter lock while another thread of its process holds it. The processor time
    includes neither.
    """

    cpu_ms: float = 0.0
    wall_ms: float = 0.0


class StallWatch:
    """Restarts a short timer on the loop and records the longest time between two of its ticks.

    The ticks use about 1% of a core, so the watch runs only while stalls are measured.
    """

    def __init__(self) -> None:
        self._cpu_s = self._wall_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._last_tick = (0.0, 0.0)

    def start(self) -> None:
        """Start to watch, and forget earlier stalls."""
        self.stop()
        self._cpu_s = self._wall_s = 0.0
        self._last_tick = time.thread_time(), time.monotonic()
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        cpu, now = time.thread_time(), time.monotonic()
        self._cpu_s = max(self._cpu_s, cpu - self._last_tick[0])
        self._wall_s = max(self._wall_s, now - self._last_tick[1] - TICK_S)
        self._last_tick = cpu, now
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)

    def stop(self) -> Stalls:
        """Stop watching and return the longest stall."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        return Stalls(1000 * self._cpu_s, 1000 * self._wall_s)
