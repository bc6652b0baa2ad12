"""The parts of RESP2 that the node writes and parses, and the common base of outgoing connections.

Each parser looks at the bytes received so far. It returns a complete message, or None while the bytes may
still become one, or raises `ProtocolError` as soon as they cannot. An absurd length is therefore rejected at
once: nothing waits for its bytes or allocates memory for them. The CRLF after a value is checked too, because
a wrong length shows only there.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import re
import socket
import sys
import termios
from collections.abc import Sequence
from typing import NamedTuple, cast

MAX_BUFFERED_BYTES = 64 * 1024  # largest value that is buffered; a longer one is streamed
MAX_STREAMED_BYTES = 4 << 20  # largest value that is streamed
MAX_COMMAND_BYTES = 2 * MAX_BUFFERED_BYTES  # of all arguments of a command except a streamed body
BODY_INDEX = 4  # position of a command's body among its arguments
MAX_ARGUMENTS = 16  # of a command
MAX_ERROR_BYTES = 256  # of an error line

# Each `..._PREFIX` pattern matches the beginnings of the text that the pattern before it matches.
_COMMAND_HEADER = re.compile(rb"\*([0-9]{1,2})\r\n")
_COMMAND_HEADER_PREFIX = re.compile(rb"\*(?:[0-9]{1,2}\r?)?")
_STRING_HEADER = re.compile(rb"\$([0-9]{1,7})\r\n")
_STRING_HEADER_PREFIX = re.compile(rb"(?:\$(?:[0-9]{1,7}\r?)?)?")
_ANSWER_HEADER = re.compile(rb"\*([1-9])\r\n")
_ANSWER_HEADER_PREFIX = re.compile(rb"\*(?:[1-9]\r?)?")
_ERROR_LINE = re.compile(rb"-([ -~]{1,%d})\r\n" % MAX_ERROR_BYTES)
_ERROR_LINE_PREFIX = re.compile(rb"-[ -~]{0,%d}\r?" % MAX_ERROR_BYTES)
_FIELD = re.compile(rb"[$*]-1\r\n|:-?[0-9]{1,18}\r\n")
_FIELD_PREFIX = re.compile(rb"(?:[$*](?:-(?:1\r?)?)?|:-?[0-9]{0,18}\r?)?")
_NUMBER = re.compile(rb"[+-]?(?:[0-9]{1,40}(?:\.[0-9]{0,40})?|\.[0-9]{1,40})(?:[eE][+-]?[0-9]{1,2})?")
TWO_NULLS = b"$-1\r\n$-1\r\n"


class ProtocolError(Exception):
    """The received bytes cannot become a message of the expected kind, whatever follows them."""


class Command(NamedTuple):
    """A command's arguments and the offset of its end.

    A command with a body ends where the body begins; `body_length` is the length of the body in bytes.
    """

    arguments: list[bytes]
    end: int
    body_length: int | None


class Answer(NamedTuple):
    """A host's answer: a value, or None and the text of an error. `field_count` fields follow at `end`."""

    value: bytes | None
    error: bytes
    end: int
    field_count: int


class LongValue(NamedTuple):
    """The header of an answer whose value is streamed: the offset of the value and its length in bytes."""

    start: int
    length: int
    field_count: int


class CounterAnswer(NamedTuple):
    """The counter's answer and the offset of its end. A total of None: the call added nothing."""

    total: float | None
    end: int


def encode_array(arguments: Sequence[bytes]) -> bytes:
    """Encode a command as an array of bulk strings."""
    return b"*%d\r\n%s" % (len(arguments), b"".join([b"$%d\r\n%s\r\n" % (len(a), a) for a in arguments]))


def _check_prefix(pattern: re.Pattern[bytes], data: bytes, offset: int, error: str) -> None:
    """Raise a `ProtocolError` unless all bytes from `offset` match a prefix pattern."""
    if not pattern.fullmatch(data, offset):
        raise ProtocolError(error)


def _parse_string(data: bytes, offset: int) -> tuple[int, int] | None:
    """Return the offsets at which the content of the bulk string at `offset` begins and ends."""
    header = _STRING_HEADER.match(data, offset)
    if header is None:
        _check_prefix(_STRING_HEADER_PREFIX, data, offset, "expected a string of at most 64 KiB")
        return None
    start = header.end()
    end = start + int(header[1])
    if end - start > MAX_BUFFERED_BYTES:
        raise ProtocolError("value too long")
    tail = data[end : end + 2]
    if tail != b"\r\n"[: len(tail)]:
        raise ProtocolError("a length does not fit")
    return (start, end) if len(tail) == 2 else None


def _parse_string_header(data: bytes, offset: int) -> tuple[int, int] | None:
    """Return the offset at which the value of the bulk string at `offset` begins, and its length."""
    header = _STRING_HEADER.match(data, offset)
    if header is None:
        _check_prefix(_STRING_HEADER_PREFIX, data, offset, "expected a string of at most 4 MiB")
        return None
    if int(header[1]) > MAX_STREAMED_BYTES:
        raise ProtocolError("value too long")
    return header.end(), int(header[1])


def parse_command(data: bytes, offset: int) -> Command | None:
    """Parse the command at `offset`, up to its body if it has one."""
    header = _COMMAND_HEADER.match(data, offset)
    if header is None:
        _check_prefix(_COMMAND_HEADER_PREFIX, data, offset, "expected an array of bulk strings")
        return None
    count, first = int(header[1]), header.end()
    if not 1 <= count <= MAX_ARGUMENTS:
        raise ProtocolError("wrong number of arguments")
    arguments: list[bytes] = []
    offset = first
    for n in range(count):
        if offset - first > MAX_COMMAND_BYTES:
            raise ProtocolError("command too long")
        if n == BODY_INDEX and n == count - 1:
            body = _parse_string_header(data, offset)
            return Command(arguments, *body) if body is not None else None
        bounds = _parse_string(data, offset)
        if bounds is None:
            return None
        arguments.append(data[bounds[0] : bounds[1]])
        offset = bounds[1] + 2
    return Command(arguments, offset, None)


def parse_answer(data: bytes) -> Answer | LongValue | None:
    """Parse a host's answer: an array that begins with the value, or an error line.

    The value is valid once it is complete, whatever follows it. See `check_fields` for the fields after it.
    """
    header = _ANSWER_HEADER.match(data)
    if header is None:
        if error := _ERROR_LINE.match(data):
            return Answer(None, error[1], error.end(), 0)
        _check_prefix(
            _ERROR_LINE_PREFIX if data.startswith(b"-") else _ANSWER_HEADER_PREFIX,
            data,
            0,
            "neither value nor error",
        )
        return None
    value = _parse_string_header(data, header.end())
    if value is None:
        return None
    if value[1] > MAX_BUFFERED_BYTES:
        # A header alone does not bind the request to this attempt: if nothing follows it, another attempt may
        # still give the answer.
        if len(data) == value[0]:
            return None
        return LongValue(*value, int(header[1]) - 1)
    bounds = _parse_string(data, header.end())
    if bounds is None:
        return None
    start, end = bounds
    return Answer(data[start:end], b"", end + 2, int(header[1]) - 1)


def count_missing_bytes(data: bytes) -> int | None:
    """Return how many bytes of an incomplete answer's value are still to come; None before its length has."""
    header = _ANSWER_HEADER.match(data)
    value = _parse_string_header(data, header.end()) if header is not None else None
    return None if value is None else value[0] + value[1] + len(b"\r\n") - len(data)


def check_fields(data: bytes, offset: int, count: int) -> bool | None:
    """Return whether exactly `count` well-formed fields follow, or None if more bytes are needed to tell."""
    if count == 2 and data[offset:] == TWO_NULLS:
        return True
    for _ in range(count):
        if field := _FIELD.match(data, offset):
            offset = field.end()
            continue
        if _FIELD_PREFIX.fullmatch(data, offset):
            return None
        try:
            bounds = _parse_string(data, offset)
        except ProtocolError:
            return False
        if bounds is None:
            return None
        offset = bounds[1] + 2
    return offset == len(data)


def parse_counter_answer(data: bytes, offset: int) -> CounterAnswer | None:
    """Parse the counter's answer: a number in a bulk string, or an error that says that nothing was added.

    Only `-BUSY` and `-ERR` say that. After any other line the amount may have been added.
    """
    if data.startswith(b"-", offset):
        error = _ERROR_LINE.match(data, offset)
        if error is None:
            _check_prefix(_ERROR_LINE_PREFIX, data, offset, "error line too long")
            return None
        if error[1].split(b" ", 1)[0] not in (b"BUSY", b"ERR"):
            raise ProtocolError("unknown error")
        return CounterAnswer(None, error.end())
    bounds = _parse_string(data, offset)
    if bounds is None:
        if len(data) - offset > MAX_ERROR_BYTES:
            raise ProtocolError("too long for a number")
        return None
    if not _NUMBER.fullmatch(data, *bounds):
        raise ProtocolError("not a number")
    return CounterAnswer(float(data[bounds[0] : bounds[1]]), bounds[1] + 2)


def count_unsent_bytes(transport: asyncio.Transport) -> int:
    """Return how many bytes the peer has not acknowledged: in our buffer and in the socket's send queue.

    The difference between two calls shows whether the peer still receives bytes.
    """
    queue_size = bytearray(4)
    if transport.is_closing():
        return transport.get_write_buffer_size()
    with contextlib.suppress(OSError):  # the peer has broken the connection
        fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.TIOCOUTQ, queue_size)
    return transport.get_write_buffer_size() + int.from_bytes(queue_size, sys.byteorder)


def count_unread_bytes(transport: asyncio.Transport) -> int:
    """Return how many received bytes are in the socket's receive queue, or 0 if the system does not tell."""
    queue_size = bytearray(4)
    with contextlib.suppress(OSError):  # the peer has broken the connection
        fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.FIONREAD, queue_size)
    return int.from_bytes(queue_size, sys.byteorder)


def end_sending(transport: asyncio.Transport) -> None:
    """Shut down our sending side at once; the loop closes an aborted transport only in its next iteration."""
    if transport.is_closing():
        return
    with contextlib.suppress(OSError):  # the peer has broken the connection
        wrapper = socket.socket(fileno=transport.get_extra_info("socket").fileno())
        try:
            wrapper.shutdown(socket.SHUT_WR)
        finally:
            wrapper.detach()  # keeps the descriptor open for the transport


class OutgoingConnection(asyncio.BaseProtocol):
    """A connection opened by the gateway. `has_unsent_bytes` is set while our write buffer is not empty."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport
        self.buffer = b""  # received bytes of a message that is still incomplete
        self.has_unsent_bytes = self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the buffer limits so that `pause_writing` is called as soon as bytes stay in our buffer."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(0)

    def pause_writing(self) -> None:
        """Record that some bytes have not been sent."""
        self.has_unsent_bytes = True

    def resume_writing(self) -> None:
        """Record that all bytes have been sent."""
        self.has_unsent_bytes = False
