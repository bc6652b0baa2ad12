"""An open-loop load: requests come at their drawn times, however long answers take."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from rainturn.emulator.workload import DrawnRequest, Tenants

TICK_S = 0.005  # how often what is due is handed out


class OpenLoop:
    """Hands drawn requests of the whole fleet to those gateways that `take` wants here.

    Each process that plays a part of the fleet draws for the whole and passes over what is not its own: that
    leaves each gateway its own Poisson stream.
    """

    def __init__(
        self,
        tenants: Tenants,
        requests_per_second: float,
        seed: int,
        take: Callable[[DrawnRequest], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.tenants, self.rate, self.take = tenants, requests_per_second, take
        self.clock = clock  # s
        self.rng = random.Random(seed)
        self.drawn = 0
        self._timer: asyncio.TimerHandle | None = None
        self._next_at = 0.0

    def start(self) -> None:
        """Begin."""
        self._next_at = self.clock() + self.rng.expovariate(self.rate)
        self._tick()

    def stop(self) -> None:
        """Draw no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _tick(self) -> None:
        now = self.clock()
        while self._next_at <= now:
            self.drawn += 1
            self.take(self.tenants.draw(self.rng))
            self._next_at += self.rng.expovariate(self.rate)
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)
