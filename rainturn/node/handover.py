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
    whether ours is the older.
    """

    def __init__(
        self, folder: Path, state: Callable[[], dict[str, Any]], twin: Callable[[int | None, bool], None]
    ) -> None:
        self.folder, self.state, self.twin = folder, state, twin
        self.name = f"{os.getpid()}-{time.time_ns()}"
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
                self._tell(found)
                state = found.get("state")
                return state if isinstance(state, dict) else None
            await asyncio.sleep(LOOK_S)
        log.warning("handover: no word from the process before; plain start")
        return None

    def start(self) -> None:
        """Serve: be there for a successor, and watch the predecessor's end."""
        if self.predecessor is None:
            self._write(STATE, {})
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
        if (
            found is not None
            and found.get("by") == self.predecessor
            and not found.get("over")
            and self._fresh(found)
        ):
            self._write(NOTE, {})
            return self._tell(found)
        log.info("handover: %s has ended", self.predecessor)
        self.predecessor = None
        with contextlib.suppress(OSError):
            (self.folder / NOTE).unlink()
        self._write(STATE, {})
        self.twin(None, False)

    def _watch_successor(self) -> None:
        found = self._read(NOTE)
        if found is not None and found.get("by") != self.name and self._fresh(found):
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

    def _tell(self, found: dict[str, Any]) -> None:
        held = found.get("descriptors")
        self.twin(held if isinstance(held, int) else 0, False)

    def _fresh(self, found: dict[str, Any]) -> bool:
        at = found.get("at")
        return isinstance(at, int | float) and abs(time.time() - at) < STALE_S

    def _read(self, name: str) -> dict[str, Any] | None:
        try:
            found = json.loads((self.folder / name).read_bytes())
        except (OSError, ValueError, RecursionError):
            return None
        return found if isinstance(found, dict) and isinstance(found.get("by"), str) else None

    def _write(self, name: str, content: dict[str, Any]) -> None:
        """Replace a file as a whole: a reader never sees half of it."""
        draft = self.folder / f"{name}.{self.name}"
        body = json.dumps({"by": self.name, "at": time.time(), "descriptors": descriptors()} | content)
        try:
            draft.write_text(body)
            draft.replace(self.folder / name)
        except OSError as error:
            log.warning("handover: %s", error.strerror)


def descriptors() -> int:
    """How many descriptors this process holds."""
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return 0
