"""Writes the log without ever waiting for whoever reads it."""

from __future__ import annotations

import contextlib
import logging
import os
import select

MAX_LINE_BYTES = select.PIPE_BUF  # a pipe that can be written takes so much without waiting


class NonBlockingHandler(logging.Handler):
    """Writes each line to a descriptor, or drops it while the reader of a pipe does not keep up.

    Guards against a full pipe that stops the event loop. How many lines were dropped is logged once there is
    room again.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.dropped_lines = 0
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, in pieces if it is long."""
        try:
            text = self.format(record)
        except Exception:
            return self.handleError(record)
        if self.dropped_lines and self._write(f"{self.dropped_lines} log lines dropped\n".encode()):
            self.dropped_lines = 0
        if not self._write(text.encode("utf-8", "backslashreplace") + b"\n"):
            self.dropped_lines += 1

    def _write(self, data: bytes) -> bool:
        """Write data; return False if none or only a part of it could be written."""
        with contextlib.suppress(OSError):
            while data and self._is_writable():
                data = data[os.write(self.descriptor, data[:MAX_LINE_BYTES]) :]
        return not data

    def _is_writable(self) -> bool:
        return any(event & select.POLLOUT for _, event in self.poll.poll(0))
