"""The pauses between the pieces of an answer, which tell whether its host is still writing it."""

from __future__ import annotations

SHORT_PAUSE_MS = 100.0  # a pause that shows nothing, however fast the pieces before it came
PAUSE_FACTOR = 2.0  # a host whose pause is longer than its longest one by this factor has stopped


class AnswerProgress:
    """When the pieces of an answer came. Times are Unix time in ms."""

    __slots__ = ("last_piece_at", "longest_pause_ms")

    def __init__(self, began_at: float) -> None:
        self.last_piece_at = began_at
        self.longest_pause_ms = 0.0

    def note_piece(self, now: float) -> None:
        """Record that a further piece has come."""
        self.longest_pause_ms = max(self.longest_pause_ms, now - self.last_piece_at)
        self.last_piece_at = now

    def is_steady(self, now: float) -> bool:
        """Return whether the host is still writing, judged by its pauses so far."""
        return now - self.last_piece_at <= max(SHORT_PAUSE_MS, PAUSE_FACTOR * self.longest_pause_ms)
