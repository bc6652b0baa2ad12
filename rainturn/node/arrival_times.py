"""Arrival times of the bytes of a connection, including bytes that are read or parsed later."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

RESOLUTION_MS = 5.0  # bytes within this time share a mark, so that single bytes do not fill the memory
# Unread bytes from which on the receive window may be used up. It is smaller than what the system announces,
# as many small segments take more of its memory than their bytes.
WINDOW_BYTES = 8192


class ArrivalMark(NamedTuple):
    """All bytes before the stream offset `end` had arrived by `time`, in Unix ms."""

    end: int
    time: float


class ArrivalTimes:
    """Arrival marks of one stream in byte order. Offsets count from the first byte of the stream.

    While the receive window is used up, the client's machine holds what the client has written, and its end
    of stream. So all that comes then, until the stream has run dry, counts as arrived when that time began.
    """

    __slots__ = ("marks", "received_bytes", "blocked_since")

    def __init__(self) -> None:
        self.marks: deque[ArrivalMark] = deque()
        self.received_bytes = 0  # bytes that have been read
        self.blocked_since: float | None = None  # when the window may have been used up, in Unix ms

    def note_received(self, count: int, now: float) -> None:
        """Record that `count` more bytes have been read."""
        self.received_bytes += count
        self._mark(self.received_bytes, now if self.blocked_since is None else self.blocked_since)

    def note_unread(self, count: int, now: float) -> None:
        """Record that `count` bytes are in the socket buffer, after those that have been read."""
        self._mark(self.received_bytes + count, now)

    def note_blocked(self, count: int, now: float) -> None:
        """Record that `count` bytes have to stay in the socket buffer for now."""
        self.note_unread(count, now)
        if self.blocked_since is None and count >= WINDOW_BYTES:
            self.blocked_since = now

    def note_dry(self) -> None:
        """Record that all has been read that the client had written."""
        self.blocked_since = None

    def _mark(self, end: int, now: float) -> None:
        last = self.marks[-1] if self.marks else None
        if last is None or (end > last.end and now - last.time >= RESOLUTION_MS):
            self.marks.append(ArrivalMark(end, now))
        elif end > last.end:
            self.marks[-1] = ArrivalMark(end, last.time)

    def consume(self, end: int) -> float:
        """Return the arrival time of the last byte before `end`, in Unix ms, and discard earlier marks."""
        while self.marks[0].end < end:
            self.marks.popleft()
        return self.marks[0].time
