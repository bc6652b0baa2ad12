"""The reload on SIGHUP: follows discovery and the counter to where the configuration says they are."""

from __future__ import annotations

import asyncio
import logging

from rainturn.node.assembly import Parts
from rainturn.node.configuration import read_config

log = logging.getLogger(__name__)

RETRY_S = 0.1  # pause before a configuration that could not be read is read again
RETRY_FOR_S = 3.0  # how long it is: what discovery has to tell counts as told 4 s after the signal


class Reload:
    """Reads the configuration again, and once more after a while if it can't be read.

    Only the file counts here: the environment is as old as the process and would hide a new address. Guards
    against a file that is half written, or can't be opened for a moment, by keeping what is in force until
    then.
    """

    def __init__(self, path: str, parts: Parts, loop: asyncio.AbstractEventLoop) -> None:
        self.path, self.parts, self.loop = path, parts, loop
        self.retry: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """The signal has come; an earlier one that is still tried is over with this."""
        self._read(self.loop.time() + RETRY_FOR_S, first=True)

    def _read(self, until: float, first: bool = False) -> None:
        if self.retry is not None:
            self.retry.cancel()
            self.retry = None
        try:
            config = read_config({"EDGE_CONFIG": self.path})
        except ValueError as error:
            last = self.loop.time() >= until
            if first or last:
                log.error("configuration kept as it was%s: %s", ", for good" if last else "", error)
            if not last:
                self.retry = self.loop.call_later(RETRY_S, self._read, until)
            return
        log.info(
            "configuration read: discovery at %s:%d, counter at %s:%d",
            *config.discovery,
            *(config.counter or ("none", 0)),
        )
        self.parts.discovery.move(config.discovery)
        if config.counter is not None:
            self.parts.counter.move(config.counter)
