"""When the bytes of a connection came, also those that were read or parsed only later."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

GRAIN_MS = 5.0  # bytes that come within this time share a mark, so that single bytes do not fill the memory


class ArrivalMark(NamedTuple):
    """All bytes before the offset `end` of the stream had come by `time`, Unix time in ms."""

    end: int
    time: float


class ArrivalTimes:
    """Marks of one stream, in the order of its bytes. Offsets count from the stream's first byte."""

    __slots__ = ("marks", "received")

    def __init__(self) -> None:
        self.marks: deque[ArrivalMark] = deque()
        self.received = 0  # bytes that have been read

    def note_received(self, count: int, now: float) -> None:
        """So many more bytes have been read."""
        self.received += count
        self._mark(self.received, now)

    def note_unread(self, count: int, now: float) -> None:
        """So many bytes lie in the system behind those that have been read."""
        self._mark(self.received + count, now)

    def _mark(self, end: int, now: float) -> None:
        last = self.marks[-1] if self.marks else None
        if last is None or (end > last.end and now - last.time >= GRAIN_MS):
            self.marks.append(ArrivalMark(end, now))
        elif end > last.end:
            self.marks[-1] = ArrivalMark(end, last.time)

    def take(self, end: int) -> float:
        """When the last byte before `end` came; what came before it is asked about no more."""
        while self.marks[0].end < end:
            self.marks.popleft()
        return self.marks[0].time
