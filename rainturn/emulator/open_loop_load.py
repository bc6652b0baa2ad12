"""An open-loop load: requests arrive at randomly drawn times, regardless of how long answers take."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from rainturn.emulator.workload import DrawnRequest, Tenants

TICK_S = 0.005  # interval at which due requests are submitted


class OpenLoopLoad:
    """Draws requests for the whole fleet and calls `submit` with each.

    Each process that runs a part of the fleet draws for the whole fleet, and its `submit` ignores the
    requests for other gateways. So the requests of each gateway are a Poisson process. `clock` returns the
    time in s.
    """

    def __init__(
        self,
        tenants: Tenants,
        requests_per_second: float,
        seed: int,
        submit: Callable[[DrawnRequest], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.tenants, self.rate, self.submit = tenants, requests_per_second, submit
        self.clock = clock
        self.rng = random.Random(seed)
        self.drawn_count = 0
        self._timer: asyncio.TimerHandle | None = None
        self._next_arrival_at = 0.0

    def start(self) -> None:
        """Start to draw requests."""
        self._next_arrival_at = self.clock() + self.rng.expovariate(self.rate)
        self._tick()

    def stop(self) -> None:
        """Stop drawing requests."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _tick(self) -> None:
        now = self.clock()
        while self._next_arrival_at <= now:
            self.drawn_count += 1
            self.submit(self.tenants.draw(self.rng))
            self._next_arrival_at += self.rng.expovariate(self.rate)
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)
