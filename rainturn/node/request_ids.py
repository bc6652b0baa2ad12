"""The ids of requests that are open, or that may still run although their clients have left."""

from __future__ import annotations

import contextlib
import logging
import os
from collections import OrderedDict
from pathlib import Path

log = logging.getLogger(__name__)

MAX_REMEMBERED = 4096  # ids of requests whose clients have left; the oldest go first
MAX_SHARED_BYTES = 1 << 20  # of the file with the ids that a process has sent to hosts
READ_BYTES = 1 << 16
FILE_PREFIX = "gateway-ids."


class SharedIds:
    """Tells another process of the same gateway which requests have been sent, through a file for each.

    A file holds an id on each line, in the order in which they were sent. It is read whenever an id is asked
    for, so that none is missed however soon it comes to the other process.
    """

    def __init__(self, folder: Path, own_name: str, other_name: str) -> None:
        self.own_path = folder / f"{FILE_PREFIX}{own_name}"
        self.other_path = folder / f"{FILE_PREFIX}{other_name}"
        self.written_bytes = 0
        self.own_file: int | None = None
        self.other_file: int | None = None
        self.rest = b""  # of a line that is not whole yet
        try:
            self.own_file = os.open(self.own_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        except OSError as error:
            log.warning("ids are not shared: %s", error.strerror)

    def write(self, *request_ids: bytes) -> None:
        """Record ids that are known here."""
        data = b"".join(request_id + b"\n" for request_id in request_ids)
        if self.own_file is None or self.written_bytes + len(data) > MAX_SHARED_BYTES:
            return
        with contextlib.suppress(OSError):  # a folder that cannot be written: the other process is not told
            self.written_bytes += os.write(self.own_file, data)

    def read(self) -> list[bytes]:
        """Return the ids that the other process has recorded since the last call."""
        data = b""
        with contextlib.suppress(OSError):
            if self.other_file is None:
                self.other_file = os.open(self.other_path, os.O_RDONLY)
            while piece := os.read(self.other_file, READ_BYTES):
                data += piece
        *lines, self.rest = (self.rest + data).split(b"\n")
        return lines

    def close(self) -> None:
        """Close and remove both files: one process serves alone from now on."""
        for file in (self.own_file, self.other_file):
            if file is not None:
                os.close(file)
        self.own_file = self.other_file = None
        for path in (self.own_path, self.other_path):
            with contextlib.suppress(OSError):
                path.unlink()


class RequestIds:
    """Knows the ids that no further request may carry. Times are Unix time in ms."""

    def __init__(self, remember_ms: float) -> None:
        self.remember_ms = remember_ms  # how long an id is known after its client has left
        self.open: set[bytes] = set()
        self.remembered: OrderedDict[bytes, float] = OrderedDict()  # with the time until which it is known
        self.shared: SharedIds | None = None  # while another process of this gateway serves too

    def is_known(self, request_id: bytes, now: float) -> bool:
        """Return whether a request with this id is open, or may have run for a client that has left."""
        self._read_shared(now)
        return request_id in self.open or self.remembered.get(request_id, now) > now

    def add(self, request_id: bytes) -> None:
        """Add the id of a request that is open from now on."""
        self.open.add(request_id)

    def note_sent(self, request_id: bytes) -> None:
        """Record that the request is being sent to a host."""
        if self.shared is not None:
            self.shared.write(request_id)

    def discard(self, request_id: bytes) -> None:
        """Forget the id of a request that has ended."""
        self.open.discard(request_id)

    def remember(self, request_id: bytes, now: float) -> None:
        """Keep the id of a request that has ended without its client, and may have run."""
        self.open.discard(request_id)
        self.remembered.pop(request_id, None)
        self.remembered[request_id] = now + self.remember_ms
        while self.remembered and (
            len(self.remembered) > MAX_REMEMBERED or next(iter(self.remembered.values())) <= now
        ):
            self.remembered.popitem(last=False)

    def share(self, folder: Path, own_name: str, other_name: str | None, now: float) -> None:
        """Share ids with the process `other_name` of this gateway, or no longer with any if it is None."""
        if other_name is None:
            self._stop_sharing(now)
        elif self.shared is None:
            self.shared = SharedIds(folder, own_name, other_name)
            self.shared.write(*self.open, *self.remembered)

    def _stop_sharing(self, now: float) -> None:
        if self.shared is not None:
            self._read_shared(now)
            self.shared.close()
            self.shared = None

    def _read_shared(self, now: float) -> None:
        if self.shared is not None:
            for request_id in self.shared.read():
                if request_id not in self.open:
                    self.remember(request_id, now)
