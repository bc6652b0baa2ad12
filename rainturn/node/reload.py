"""The reload on SIGHUP: moves to the addresses of discovery and the counter in the changed configuration."""

from __future__ import annotations

import asyncio
import logging

from rainturn.node.assembly import Parts
from rainturn.node.configuration import read_config

log = logging.getLogger(__name__)

RETRY_S = 0.1  # pause before a configuration that could not be read is read again
RETRY_FOR_S = 3.0  # shorter than 4 s: by then after the signal, the new discovery's hosts must be in use


class Reload:
    """Reads the configuration file again, and retries for a while if it can't be read.

    Environment variables are ignored: they date from the start of the process and would hide a new address.
    The configuration in force stays until the file can be read. This guards against a file that is only half
    written or that can't be opened for a moment.
    """

    def __init__(self, path: str, parts: Parts, loop: asyncio.AbstractEventLoop) -> None:
        self.path, self.parts, self.loop = path, parts, loop
        self.retry_timer: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """Begin a reload, and end the retries of an earlier one."""
        self._read(self.loop.time() + RETRY_FOR_S, is_first=True)

    def _read(self, retry_until: float, is_first: bool = False) -> None:
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None
        try:
            config = read_config({"EDGE_CONFIG": self.path})
        except ValueError as error:
            is_last = self.loop.time() >= retry_until
            if is_first or is_last:
                log.error("configuration kept as it was%s: %s", ", for good" if is_last else "", error)
            if not is_last:
                self.retry_timer = self.loop.call_later(RETRY_S, self._read, retry_until)
            return
        log.info(
            "configuration read: discovery at %s:%d, counter at %s:%d",
            *config.discovery,
            *(config.counter or ("none", 0)),
        )
        self.parts.discovery.change_address(config.discovery)
        if config.counter is not None:
            self.parts.counter.change_address(config.counter)
