"""Tells whether a peer takes what is sent to it, from the bytes that its machine has acknowledged."""

from __future__ import annotations

import asyncio

from rainturn.node.resp import count_unsent_bytes


class SendProgress:
    """Counts the bytes written to a connection, and how many of them the peer had acknowledged.

    The unsent bytes alone do not show progress: those that are written between two checks hide those that
    the peer has taken.
    """

    __slots__ = ("written_bytes", "acknowledged_bytes")

    def __init__(self) -> None:
        self.written_bytes = 0  # since the connection was made
        self.acknowledged_bytes = 0  # at the last check

    def note_written(self, count: int) -> None:
        """Record that `count` more bytes have been handed to the transport."""
        self.written_bytes += count

    def has_advanced(self, transport: asyncio.Transport) -> bool:
        """Return whether the peer has acknowledged bytes since the last call."""
        acknowledged_bytes = self.written_bytes - count_unsent_bytes(transport)
        has_advanced = acknowledged_bytes > self.acknowledged_bytes
        self.acknowledged_bytes = acknowledged_bytes
        return has_advanced
