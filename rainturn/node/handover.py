"""A new version under load: the inherited listener, and what an old process passes on through a folder.

The serving process keeps `STATE` there. A new one that finds it leaves `NOTE`; from then on the old one
writes all it knows into `STATE` on every beat, until it ends. Files are replaced as a whole; one that can't
be read, is meant for another process or is old counts as none.
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

STATE, NOTE = "gateway-state.json", "gateway-successor.json"
BEAT_S = 0.2  # how often each looks at the other's file, and writes its own while there is another
FIRST_S = 0.8  # how long a new process waits for the old one's state
STALE_S = 2.0  # a file older than this is of a process that ended without a word
LOOK_S = 0.02  # pause between looks for the first state
ENDED_STATES = "ZX"  # of a process that has ended and is not forgotten yet


def inherited(environment: Mapping[str, str]) -> socket.socket | None:
    """The listening socket that the platform holds and hands on, if there is one."""
    text = environment.get("EDGE_LISTEN_FD")
    if not text:
        return None
    try:
        listener = socket.socket(fileno=int(text))
        if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            listener.detach()
            raise ValueError("it does not listen")
    except (ValueError, OSError) as error:
        log.warning("EDGE_LISTEN_FD %s passed over: %s", text, error)
        return None
    return listener


class Handover:
    """One process's side of it.

    `twin` is told how many descriptors another process beside this one holds, or None when it has ended, and
    whether ours is the older; not before `start`. Ages of files are by the monotonic clock, which all
    processes of a machine share.
    """

    def __init__(
        self, folder: Path, state: Callable[[], dict[str, Any]], twin: Callable[[int | None, bool], None]
    ) -> None:
        self.folder, self.state, self.twin = folder, state, twin
        self.name = f"{os.getpid()}-{time.monotonic_ns()}"
        self.predecessor_holds = 0  # descriptors
        self.predecessor: str | None = None  # while it lives
        self.successor: str | None = None
        self.task: asyncio.Task[None] | None = None

    async def begin(self) -> dict[str, Any] | None:
        """Ask a process that serves here for what it knows; None: there is none, or it says nothing."""
        found = self._read(STATE)
        if found is None:
            return None
        end = time.monotonic() + FIRST_S
        self._write(NOTE, {})
        while time.monotonic() < end:
            found = self._read(STATE)
            if found is not None and found.get("for") == self.name and self._fresh(found):
                self.predecessor = str(found["by"])
                self.predecessor_holds = _descriptors_of(found)
                state = found.get("state")
                return state if isinstance(state, dict) else None
            await asyncio.sleep(LOOK_S)
        log.warning("handover: no word from the process before; plain start")
        return None

    def start(self) -> None:
        """Serve: be there for a successor, and watch the predecessor's end."""
        if self.predecessor is None:
            self._write(STATE, {})
        else:
            self.twin(self.predecessor_holds, False)
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(BEAT_S)
            try:
                if self.predecessor is not None:
                    self._watch_predecessor()
                else:
                    self._watch_successor()
            except Exception:
                # Guards against a folder that is full or gone ending the watch for good.
                log.exception("handover")

    def _watch_predecessor(self) -> None:
        found = self._read(STATE)
        if found is not None and found.get("by") == self.predecessor and not self._has_ended(found):
            self._write(NOTE, {})
            return self.twin(_descriptors_of(found), False)
        log.info("handover: %s has ended", self.predecessor)
        self.predecessor = None
        with contextlib.suppress(OSError):
            (self.folder / NOTE).unlink()
        self._write(STATE, {})
        self.twin(None, False)

    def _watch_successor(self) -> None:
        found = self._read(NOTE)
        if found is not None and found.get("by") != self.name and not self._has_ended(found):
            if self.successor is None:
                log.info("handover: to %s", found["by"])
                self.twin(0, True)
            self.successor = str(found["by"])
            self._write(STATE, {"for": self.successor, "state": self.state()})
        elif self.successor is not None:
            log.warning("handover: %s has ended", self.successor)
            self.successor = None
            self.twin(None, True)

    def over(self) -> None:
        """Say that this process is about to end."""
        if self.task is not None:
            self.task.cancel()
        self._write(STATE, {"for": self.successor, "over": True})

    def _has_ended(self, found: dict[str, Any]) -> bool:
        """Whether the writer of a file has ended: it says so, or has written nothing for long and is no more.

        Guards against a folder that can't be written for a while being taken for the end of a process.
        """
        return bool(found.get("over")) or not (self._fresh(found) or _is_alive(str(found["by"])))

    def _fresh(self, found: dict[str, Any]) -> bool:
        at = found.get("at")
        return isinstance(at, int | float) and abs(time.monotonic() - at) < STALE_S

    def _read(self, name: str) -> dict[str, Any] | None:
        try:
            found = json.loads((self.folder / name).read_bytes())
        except (OSError, ValueError, RecursionError):
            return None
        return found if isinstance(found, dict) and isinstance(found.get("by"), str) else None

    def _write(self, name: str, content: dict[str, Any]) -> None:
        """Replace a file as a whole: a reader never sees half of it."""
        draft = self.folder / f"{name}.{self.name}"
        head = {"by": self.name, "at": time.monotonic(), "descriptors": descriptors()}
        try:
            draft.write_text(json.dumps(head | content))
            draft.replace(self.folder / name)
        except OSError as error:
            log.warning("handover: %s", error.strerror)
            with contextlib.suppress(OSError):
                draft.unlink()


def _descriptors_of(found: dict[str, Any]) -> int:
    """How many descriptors the writer of a file held."""
    held = found.get("descriptors")
    return held if isinstance(held, int) else 0


def _is_alive(name: str) -> bool:
    """Whether the process of that name, which begins with its number, is seen to run beside this one."""
    number = name.partition("-")[0]
    if not number.isdigit() or int(number) == os.getpid():
        return False  # of another namespace, if it is not ours
    try:
        status = Path("/proc", number, "stat").read_text()
    except OSError:
        return False
    return status.rpartition(")")[2].split()[0] not in ENDED_STATES


def descriptors() -> int:
    """How many descriptors this process holds."""
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return 0
