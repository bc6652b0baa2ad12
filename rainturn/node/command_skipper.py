"""Skips the rest of a command that has been refused before it was whole."""

from __future__ import annotations

import re

from rainturn.node.input_buffer import InputBuffer
from rainturn.node.resp import MAX_STREAMED_BYTES, ProtocolError

_ARRAY_HEADER = re.compile(rb"\*([0-9]{1,2})\r\n")
_STRING_HEADER = re.compile(rb"\$([0-9]{1,7})\r\n")
_HEADER_PREFIX = re.compile(rb"[*$]?[0-9]{0,7}\r?")


class CommandSkipper:
    """Reads over one command from its beginning, and holds none of it."""

    def __init__(self) -> None:
        self.arguments_left: int | None = None  # None until the header of the array has been read
        self.bytes_left = 0  # of the current argument and the CRLF after it

    def skip(self, buffer: InputBuffer) -> bool:
        """Skip what has been received; return whether the command has ended.

        Raises `ProtocolError` if the bytes cannot be a command.
        """
        while self.arguments_left != 0 or self.bytes_left:
            if self.bytes_left:
                count = min(self.bytes_left, len(buffer.data) - buffer.position)
                buffer.position += count
                self.bytes_left -= count
                if self.bytes_left and not buffer.extend():
                    return False
            elif not self._read_header(buffer):
                return False
        return True

    def _read_header(self, buffer: InputBuffer) -> bool:
        pattern = _ARRAY_HEADER if self.arguments_left is None else _STRING_HEADER
        while (header := pattern.match(buffer.data, buffer.position)) is None:
            if not _HEADER_PREFIX.fullmatch(buffer.data, buffer.position):
                raise ProtocolError("expected an array of bulk strings")
            if not buffer.extend():
                return False
        buffer.position = header.end()
        if self.arguments_left is None:
            self.arguments_left = int(header[1])
        else:
            if int(header[1]) > MAX_STREAMED_BYTES:
                raise ProtocolError("value too long")
            self.arguments_left -= 1
            self.bytes_left = int(header[1]) + len(b"\r\n")
        return True
