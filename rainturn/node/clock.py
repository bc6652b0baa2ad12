"""The node's clock: Unix time that never jumps."""

from __future__ import annotations

import time


class Clock:
    """Unix time in ms at the start plus the monotonic time since then, so that it never jumps.

    `base_ms` is the Unix time in ms at which the monotonic clock is 0. A successor takes it over from another
    process of this machine, because the wall clock may have been set in between.
    """

    def __init__(self, base_ms: float | None = None) -> None:
        self.base_ms = time.time() * 1000.0 - time.monotonic() * 1000.0 if base_ms is None else base_ms

    def now(self) -> float:
        """Return the Unix time in ms."""
        return self.base_ms + time.monotonic() * 1000.0
