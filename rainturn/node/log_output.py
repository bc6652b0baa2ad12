"""Writes the log without ever waiting for whoever reads it."""

from __future__ import annotations

import contextlib
import logging
import os
import select
import time
from collections.abc import Callable

COLLECT_S = 0.02  # how long frequent lines wait for others
MAX_WRITE_BYTES = select.PIPE_BUF  # a pipe that can be written takes so much without waiting


class LogOutput(logging.Handler):
    """Writes each line to a descriptor, or drops it while the reader of a pipe does not keep up.

    Guards against a full pipe that stops the event loop. How many lines were dropped is logged once there is
    room again. Frequent lines take a shorter way than the `logging` module's, and are written together.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.dropped_lines = 0
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)
        # Calls a function after some seconds; without an event loop lines are written at once.
        self.call_later: Callable[[float, Callable[[], None]], object] | None = None
        self._waiting: list[str] = []  # frequent lines
        self._second, self._second_text = 0, ""

    def add_line(self, text: str) -> None:
        """Write a frequent line of level INFO, together with those that follow soon."""
        self._waiting.append(f"{self._time_text()} INFO {text}\n")
        if self.call_later is None:
            self.flush()
        elif len(self._waiting) == 1:
            self.call_later(COLLECT_S, self.flush)

    def _time_text(self) -> str:
        """Return the time like `logging.Formatter`; the text of a second is made once."""
        now = time.time()
        second = int(now)
        if second != self._second:
            self._second = second
            self._second_text = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(second))
        return f"{self._second_text},{int((now - second) * 1000):03d}"

    def flush(self) -> None:
        """Write the frequent lines that wait."""
        lines, self._waiting = self._waiting, []
        if lines:
            self._write_lines(lines)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, after the lines that came before it."""
        try:
            text = self.format(record)
        except Exception:
            return self.handleError(record)
        self.flush()
        self._write_lines([text + "\n"])

    def _write_lines(self, lines: list[str]) -> None:
        if self.dropped_lines and self._write(f"{self.dropped_lines} log lines dropped\n".encode()):
            self.dropped_lines = 0
        if not self._write("".join(lines).encode("utf-8", "backslashreplace")):
            self.dropped_lines += len(lines)

    def _write(self, data: bytes) -> bool:
        """Write data; return False if none or only a part of it could be written."""
        with contextlib.suppress(OSError):
            while data and self._is_writable():
                data = data[os.write(self.descriptor, data[:MAX_WRITE_BYTES]) :]
        return not data

    def _is_writable(self) -> bool:
        return any(event & select.POLLOUT for _, event in self.poll.poll(0))
