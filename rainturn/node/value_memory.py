"""The memory for long values that are buffered whole before their client gets any of them."""

from __future__ import annotations


class ValueMemory:
    """A budget in bytes, shared by all client connections. Room is reserved for a whole value at a time."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes; return False, and reserve nothing, if the budget has no room for them."""
        if self.reserved_bytes + size > self.limit_bytes:
            return False
        self.reserved_bytes += size
        return True

    def release(self, size: int) -> None:
        """Give back `size` bytes that were reserved."""
        self.reserved_bytes -= size
