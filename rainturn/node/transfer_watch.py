"""Judges from what a host's machine acknowledges whether the host is still taking a command."""

from __future__ import annotations

PAUSE_LIMIT_MS = 1000.0  # a host whose machine takes nothing of a command for so long has stopped reading


class TransferWatch:
    """The transfer of one command of `size` bytes. Times are Unix time in ms.

    A host's machine takes at once what its buffers hold, and the rest as fast as the host reads. When it has
    all, the host still has to read what the buffers hold: at the same rate, as far as can be told.
    """

    __slots__ = ("size", "began_at", "taken_bytes", "taken_at_once_bytes", "advanced_at", "read_at")

    def __init__(self, size: int, began_at: float) -> None:
        self.size, self.began_at = size, began_at
        self.taken_bytes = 0
        self.taken_at_once_bytes: int | None = None  # None: not known yet
        self.advanced_at = began_at
        self.read_at: float | None = None  # when the host will have read all, once its machine has it

    def note(self, unsent_bytes: int, now: float) -> None:
        """Record how many bytes of the command the host's machine has not acknowledged yet."""
        taken_bytes = self.size - unsent_bytes
        if self.taken_at_once_bytes is None:
            self.taken_at_once_bytes = taken_bytes
        if taken_bytes > self.taken_bytes:
            self.taken_bytes, self.advanced_at = taken_bytes, now
        if unsent_bytes <= 0 and self.read_at is None:
            self.read_at = now + self._time_to_read_buffers(now)

    def _time_to_read_buffers(self, now: float) -> float:
        assert self.taken_at_once_bytes is not None
        read_bytes = self.size - self.taken_at_once_bytes
        return self.taken_at_once_bytes * (now - self.began_at) / read_bytes if read_bytes > 0 else 0.0

    def is_under_way(self, now: float) -> bool:
        """Return whether the host is still reading, so that its silence shows nothing."""
        if self.read_at is not None:
            return now < self.read_at
        return now - self.advanced_at <= PAUSE_LIMIT_MS

    def is_over(self, now: float) -> bool:
        """Return whether nothing more is to be seen."""
        return self.read_at is not None and now >= self.read_at
