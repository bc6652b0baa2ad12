"""Handover of the inherited listener from an old process to a new one, through files in a shared folder.

The process that serves keeps `STATE_FILE` in the folder. A new process that finds it writes `SUCCESSOR_FILE`;
from then on the old process writes its whole state into `STATE_FILE` every `POLL_S` until it ends. Files are
always replaced as a whole. A file that can't be read, is meant for another process or is stale is ignored.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import socket
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

log = logging.getLogger(__name__)

STATE_FILE, SUCCESSOR_FILE = "gateway-state.json", "gateway-successor.json"
POLL_S = 0.2  # interval at which each process reads the other's file and, during an overlap, writes its own
FIRST_STATE_TIMEOUT_S = 0.8  # how long a new process waits for the state of the old one
STALE_S = 2.0  # the writer of an older file may have ended without announcing it
FIRST_STATE_POLL_S = 0.02  # interval at which a new process checks for the state of the old one
ENDED_PROCESS_STATES = "ZX"  # in /proc/PID/stat: zombie, dead


def inherited_listener(environment: Mapping[str, str]) -> socket.socket | None:
    """Return the listening socket that the platform passes on in `EDGE_LISTEN_FD`, if there is one."""
    text = environment.get("EDGE_LISTEN_FD")
    if not text:
        return None
    try:
        listener = socket.socket(fileno=int(text))
        if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            listener.detach()
            raise ValueError("the socket does not listen")
    except (ValueError, OSError) as error:
        log.warning("EDGE_LISTEN_FD %s ignored: %s", text, error)
        return None
    return listener


class Handover:
    """One process's side of a handover, as the predecessor, as the successor, or as both in turn.

    `current_state` returns the state that a successor gets. `on_overlap` is called with the number of
    descriptors that the other process holds, or None once it has ended, and with whether this process is the
    older one; it is not called before `start`. Ages of files are measured on the monotonic clock, which all
    processes of a machine share.
    """

    def __init__(
        self,
        folder: Path,
        current_state: Callable[[], dict[str, Any]],
        on_overlap: Callable[[int | None, bool], None],
    ) -> None:
        self.folder, self.current_state, self.on_overlap = folder, current_state, on_overlap
        self.name = f"{os.getpid()}-{time.monotonic_ns()}"
        self.predecessor_descriptors = 0
        self.predecessor: str | None = None  # its name, until it ends
        self.successor: str | None = None
        self.task: asyncio.Task[None] | None = None

    async def request_state(self) -> dict[str, Any] | None:
        """Return the state of the process that serves, or None if no process serves or answers in time."""
        record = self._read(STATE_FILE)
        if record is None:
            return None
        end = time.monotonic() + FIRST_STATE_TIMEOUT_S
        self._write(SUCCESSOR_FILE, {})
        while time.monotonic() < end:
            record = self._read(STATE_FILE)
            if record is not None and record.get("for") == self.name and self._is_fresh(record):
                self.predecessor = str(record["by"])
                self.predecessor_descriptors = _descriptors_in(record)
                state = record.get("state")
                return state if isinstance(state, dict) else None
            await asyncio.sleep(FIRST_STATE_POLL_S)
        log.warning("handover: no word from the process before; plain start")
        return None

    def start(self) -> None:
        """Start to watch for a successor, and for the end of the predecessor if there is one."""
        if self.predecessor is None:
            self._write(STATE_FILE, {})
        else:
            self.on_overlap(self.predecessor_descriptors, False)
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(POLL_S)
            try:
                if self.predecessor is not None:
                    self._check_predecessor()
                else:
                    self._check_successor()
            except Exception:
                # Guards against a full or missing folder that would end this task for good.
                log.exception("handover: the check for the other process failed")

    def _check_predecessor(self) -> None:
        record = self._read(STATE_FILE)
        if record is not None and record.get("by") == self.predecessor and not self._has_ended(record):
            self._write(SUCCESSOR_FILE, {})
            return self.on_overlap(_descriptors_in(record), False)
        log.info("handover: %s has ended", self.predecessor)
        self.predecessor = None
        with contextlib.suppress(OSError):
            (self.folder / SUCCESSOR_FILE).unlink()
        self._write(STATE_FILE, {})
        self.on_overlap(None, False)

    def _check_successor(self) -> None:
        record = self._read(SUCCESSOR_FILE)
        if record is not None and record.get("by") != self.name and not self._has_ended(record):
            is_new, self.successor = self.successor is None, str(record["by"])
            if is_new:
                log.info("handover: to %s", self.successor)
                self.on_overlap(0, True)
            self._write(STATE_FILE, {"for": self.successor, "state": self.current_state()})
        elif self.successor is not None:
            log.warning("handover: %s has ended", self.successor)
            self.successor = None
            self.on_overlap(None, True)

    def other_process(self) -> str | None:
        """Return the name of the other process that serves, or None if this one serves alone."""
        return self.predecessor or self.successor

    def announce_end(self) -> None:
        """Record in the state file that this process is about to end, and stop checking the files."""
        if self.task is not None:
            self.task.cancel()
        self._write(STATE_FILE, {"for": self.successor, "over": True})

    def _has_ended(self, record: dict[str, Any]) -> bool:
        """Return whether the writer of a file has ended.

        It has if the file says so, or if the file is stale and no process of that name runs. The check for
        the process guards against taking a folder that can't be written for a while for its end.
        """
        return bool(record.get("over")) or not (self._is_fresh(record) or _is_alive(str(record["by"])))

    def _is_fresh(self, record: dict[str, Any]) -> bool:
        at = record.get("at")
        return isinstance(at, int | float) and abs(time.monotonic() - at) < STALE_S

    def _read(self, name: str) -> dict[str, Any] | None:
        try:
            record = json.loads((self.folder / name).read_bytes())
        except (OSError, ValueError, RecursionError):
            return None
        return record if isinstance(record, dict) and isinstance(record.get("by"), str) else None

    def _write(self, name: str, content: dict[str, Any]) -> None:
        """Replace a file atomically, so that a reader never sees a part of it."""
        temporary = self.folder / f"{name}.{self.name}"
        header = {"by": self.name, "at": time.monotonic(), "descriptors": descriptor_count()}
        try:
            temporary.write_text(json.dumps(header | content))
            temporary.replace(self.folder / name)
        except OSError as error:
            log.warning("handover: %s", error.strerror)
            with contextlib.suppress(OSError):
                temporary.unlink()


def _descriptors_in(record: dict[str, Any]) -> int:
    """Return how many descriptors the writer of a file held, as the file states it; 0 if it doesn't."""
    count = record.get("descriptors")
    return count if isinstance(count, int) else 0


def _is_alive(name: str) -> bool:
    """Return whether `/proc` shows that the process with this name, which begins with its pid, runs."""
    pid = name.partition("-")[0]
    if not pid.isdigit() or int(pid) == os.getpid():
        return False  # the pid is this process's; the other one has it in another pid namespace, or has ended
    try:
        status = Path("/proc", pid, "stat").read_text()
    except OSError:
        return False
    return status.rpartition(")")[2].split()[0] not in ENDED_PROCESS_STATES


def descriptor_count() -> int:
    """Return how many descriptors this process holds; 0 if that can't be read."""
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return 0
