"""The account of the bytes that the process holds for its clients and hosts, and its limit."""

from __future__ import annotations

import asyncio
import resource
from collections.abc import Callable
from pathlib import Path

MIN_HOLDING_BYTES = 4096  # what each holding may have even if the account is full, so that all make progress
MIN_LIMIT_BYTES = 1 << 20
FREE_MEMORY_SHARE = 0.5  # of the memory beyond the program's own; the rest is for what the allocator wastes
LARGEST_SHARE = 0.375  # of the memory limit, so that a process with much memory stays near half of it
CONNECTION_BYTES = 3 << 10  # the objects of a connection
CUSTOMER_BYTES = 1200  # what the decision module remembers of a customer
CUSTOMERS_SHARE = 0.05  # of the memory limit, for all customers
ASSUMED_PROGRAM_BYTES = 28 << 20  # where the system does not tell


class MemoryAccount:
    """Counts the bytes of all holdings. Whoever wants more asks its holding for room first.

    No holding may become larger than what is left free, so that a few large ones leave room for others.
    """

    def __init__(self, limit_bytes: int, loop: asyncio.AbstractEventLoop) -> None:
        self.limit_bytes, self.loop = limit_bytes, loop
        self.sole_limit_bytes = self.shared_limit_bytes = limit_bytes
        self.held_bytes = 0
        self._waiting: list[Callable[[], None]] = []
        self._is_waking = False

    def set_limits(self, sole_limit_bytes: int, shared_limit_bytes: int) -> None:
        """Set the limits in bytes for a process that serves alone, and for one that serves beside another."""
        self.sole_limit_bytes, self.shared_limit_bytes = sole_limit_bytes, shared_limit_bytes
        self.share(False)

    def share(self, is_shared: bool) -> None:
        """Apply the limit for a process that serves beside another one, or alone."""
        self.limit_bytes = self.shared_limit_bytes if is_shared else self.sole_limit_bytes

    @property
    def free_bytes(self) -> int:
        """How many more bytes may be held."""
        return max(0, self.limit_bytes - self.held_bytes)

    def change(self, difference: int) -> None:
        """Add to the held bytes, or subtract from them."""
        self.held_bytes += difference
        if difference < 0 and self._waiting and not self._is_waking:
            self._is_waking = True
            self.loop.call_soon(self._wake)

    def call_when_released(self, callback: Callable[[], None]) -> None:
        """Call `callback` once, after bytes have been released; there may be no room for all who wait."""
        self._waiting.append(callback)

    def _wake(self) -> None:
        self._is_waking = False
        waiting, self._waiting = self._waiting, []
        for callback in waiting:
            callback()


class Holding:
    """The bytes that one part of the program holds."""

    __slots__ = ("account", "size")

    def __init__(self, account: MemoryAccount) -> None:
        self.account, self.size = account, 0

    def room(self) -> int:
        """Return how many more bytes this part may hold now."""
        return max(0, max(MIN_HOLDING_BYTES, self.account.free_bytes) - self.size)

    def resize(self, size: int) -> None:
        """Record that this part now holds `size` bytes."""
        if size != self.size:
            self.account.change(size - self.size)
            self.size = size

    def reserve(self, count: int) -> bool:
        """Add `count` bytes if there is room for all of them; return whether there was."""
        if count > self.room():
            return False
        self.resize(self.size + count)
        return True


def resident_bytes() -> int:
    """Return how much memory this process holds in RAM."""
    try:
        resident_pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return ASSUMED_PROGRAM_BYTES
    return resident_pages * resource.getpagesize()


def customer_limit(memory_mb: float) -> int:
    """Return how many customers a process with this limit on its memory may remember."""
    return int(memory_mb * (1 << 20) * CUSTOMERS_SHARE / CUSTOMER_BYTES)


def account_limit(memory_mb: float, descriptors: int, program_bytes: int) -> int:
    """Return the limit in bytes of the account of a process with this limit on its memory.

    `program_bytes` is what the process holds before it serves anyone.
    """
    memory_bytes = memory_mb * (1 << 20)
    free_bytes = memory_bytes - program_bytes - descriptors * CONNECTION_BYTES
    return max(MIN_LIMIT_BYTES, int(min(free_bytes * FREE_MEMORY_SHARE, memory_bytes * LARGEST_SHARE)))
