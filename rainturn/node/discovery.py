"""The discovery client: asks for the whole host list, then watches for changes, and has both applied."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from collections.abc import Iterator
from typing import Any

import httptools

from rainturn import interface as it
from rainturn.node.gateway import Node
from rainturn.node.host_list import HostListUpdate, parse_update
from rainturn.node.host_pools import HostPools
from rainturn.node.host_table import HostTable
from rainturn.node.list_decoder import decode_async
from rainturn.node.list_intake import ListUpdater

log = logging.getLogger(__name__)

# A change counts as told 6 s after discovery had it and could be reached, whatever has failed before. So a
# silent watch, the pause after it and the next call together take less, and so do two calls and the longest
# pause: at any size of the fleet.
WATCH_WAIT_MS = 2000  # how long a watch may wait: bounds how long a silent one goes unnoticed
# Where lists are pushed, the agent on this machine answers at once, and from its return on all that it has
# counts as told: its time-out, and the pause between calls, are a small part of the drain grace.
AGENT_TIMEOUT_GRACE_FRACTION = 0.25
AGENT_TIMEOUT_MIN_MS = 100.0
AGENT_TIMEOUT_MAX_MS = 500.0
# Where they are asked for, one service answers all gateways, each call in its turn, and one that waits too
# long fails: a gateway whose calls fail waits longer each time, and all of them come back out of step.
ANSWER_TIMEOUT_MS = 1500.0
RETRY_FIRST_MS = 300.0  # longest pause after the first call that failed; doubled up to the limit below
RETRY_MAX_MS = 2000.0
START_JITTER_MS = (
    300.0  # a start that knows hosts first asks within this time, as many start at once; but its
)
# list may be old, and a host that drained or went meanwhile may get nothing new after 1 s
RENUMBERED_AFTER_MS = 6000.0  # discovery lags by this at most: older lists for longer are numbered anew
# Nothing limits the number of hosts; this only ends an answer that would fill the memory. An entry takes some
# 170 bytes, with long names and IPv6 addresses 250: 17,000 hosts take 2.9 to 4.3 MB, and this is four times
# the latter, some 67,000 such hosts.
MAX_BODY_BYTES = 16 << 20
# A long list is given more time than a time-out, as long as it goes on coming at this rate at least.
MIN_BYTES_PER_MS = 1000
BYTES_WITHIN_TIMEOUT = 64 << 10  # the part of an answer that has to come within the time-out alone


class Refused(Exception):
    """Discovery answered that it has no list for us now."""


class _Response:
    """Collects one answer for the parser."""

    def __init__(self) -> None:
        self.body = bytearray()
        self.has_headers = self.has_length = False
        self.is_complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self.has_length = True

    def on_headers_complete(self) -> None:
        self.has_headers = True

    def on_body(self, body: bytes) -> None:
        self.body += body
        if len(self.body) > MAX_BODY_BYTES:
            raise ValueError("answer too long")

    def on_message_complete(self) -> None:
        self.is_complete = True

    def connection_ended(self) -> None:
        """An orderly end of the connection completes a body without a length, and no other."""
        if not self.has_headers or self.has_length:
            raise ConnectionError("discovery closed the connection")
        self.is_complete = True


class Discovery:
    """One task that asks and watches, and one at a time that applies a large list in steps."""

    def __init__(
        self, node: Node, pools: HostPools, zones: tuple[str, ...], address: tuple[str, int], seed: int
    ) -> None:
        self.node, self.address = node, address
        self.table = HostTable(zones)
        self.updater = ListUpdater(node, pools, self.table)
        pools.on_forgotten = self.table.forget
        self.seq: int | None = None  # the version of the list that is in force; None: a whole list is needed
        self.older_since: float | None = None  # when lists older than ours began to come
        self.is_pushed = not node.settings.asks_for_list
        grace_fraction_ms = AGENT_TIMEOUT_GRACE_FRACTION * node.settings.rules.drain_grace_ms
        self.agent_timeout_ms = min(AGENT_TIMEOUT_MAX_MS, max(AGENT_TIMEOUT_MIN_MS, grace_fraction_ms))
        self.timeout_ms = self.agent_timeout_ms if self.is_pushed else ANSWER_TIMEOUT_MS
        self.rng = random.Random(seed)
        self.writer: asyncio.StreamWriter | None = None
        self.watch_task: asyncio.Task[None] | None = None
        self.move_count = 0  # how often the address was changed: a list of an older one sets no version
        self._steps: Iterator[None] = iter(())  # what is left of the list that is being applied
        self._apply_task: asyncio.Task[None] | None = None

    def start(self, at_once: bool = True) -> None:
        """Begin to watch; unless at once, or with an agent, out of step with others, if hosts are known."""
        wait_ms = 0.0
        if not (at_once or self.is_pushed or self.seq is None):
            wait_ms = self.rng.random() * START_JITTER_MS
        self.watch_task = self.node.loop.create_task(self.run(wait_ms))

    async def stop(self) -> None:
        """End the watch, and leave a list that is being applied as it is."""
        for task in (self.watch_task, self._apply_task):
            if task is not None:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
        self._close_connection()

    def move(self, address: tuple[str, int]) -> None:
        """Go on at another address, at once with the whole list: its versions may be numbered anew.

        What the old address has not answered yet is given up with its connection; the hosts stay as told. A
        list of the old address that has come whole is applied to its end before one of the new address.
        """
        if self.watch_task is not None:
            self.watch_task.cancel()
        self._close_connection()
        self.address, self.seq, self.older_since = address, None, None
        self.move_count += 1
        self.start()

    # Applying lists.

    def apply(self, answer: Any, cached: bool = False) -> None:
        """Apply an answer at once, of whatever size; one older than the list in force changes nothing.

        `cached`: it is the list that the gateway last knew, and may be old.
        """
        for _ in self._steps:  # what is left of the one before
            pass
        self._apply_at_once(parse_update(answer), cached)

    async def apply_without_blocking(self, answer: Any) -> None:
        """Apply an answer, a large one in steps between which the event loop serves requests."""
        if self._apply_task is not None:
            await asyncio.wait([self._apply_task])
        update = parse_update(answer)
        del answer  # the update's entries are dropped one by one: all of them in one go would take some ms
        if self.updater.is_small(update):
            return self._apply_at_once(update)
        self._check_version(update)
        self._steps = self._apply_in_steps(update)
        self._apply_task = self.node.loop.create_task(self._run_steps())
        await asyncio.shield(self._apply_task)  # a move ends the watch, and not what it has been told

    def _check_version(self, update: HostListUpdate) -> None:
        """Raise a ValueError if an update is older than the list in force."""
        if self.seq is not None and update.version < self.seq:
            # Guards against a late or lagging answer bringing hosts back that have gone since.
            now = self.node.clock.now()
            self.older_since = self.older_since or now
            if not update.is_full or now - self.older_since < RENUMBERED_AFTER_MS:
                raise ValueError(f"version {update.version} is older than {self.seq}")
        self.older_since = None

    def _apply_at_once(self, update: HostListUpdate, cached: bool = False) -> None:
        self._check_version(update)
        kind = it.ListKind.FULL if update.is_full else it.ListKind.DELTA
        is_full_list = update.is_full and bool(update.hosts)
        is_well_formed = self.updater.apply(update, it.ListKind.CACHED if cached else kind)
        self.seq = update.version if (is_full_list and is_well_formed) or not cached else None

    def _apply_in_steps(self, update: HostListUpdate) -> Iterator[None]:
        move_count = self.move_count
        yield from self.updater.apply_in_steps(update)
        if move_count == self.move_count:
            self.seq = update.version

    async def _run_steps(self) -> None:
        # Guards against counting as ready while a part of the hosts is known.
        self.node.list_incomplete = not self.node.ready()
        try:
            for _ in self._steps:
                await asyncio.sleep(0)
        finally:
            self.node.list_incomplete = False
            self._apply_task = None

    # Asking for lists.

    async def run(self, wait_ms: float = 0.0) -> None:
        """Ask for what is new, then watch; a call that fails is followed by another before long.

        With a list in force, it asks from its version on: changes cost discovery less than whole lists do.
        After a call that failed, and at an agent's first, a watch follows an answer only: a silent one waits
        out its time, and what comes meanwhile would be heard too late.
        """
        failures, answered = 0, False
        await asyncio.sleep(wait_ms / 1000)
        while True:
            try:
                path, wait_ms = "/discovery/hosts", 0
                if self.seq is not None and self.older_since is None:
                    wait_ms = WATCH_WAIT_MS if answered or not (failures or self.is_pushed) else 1
                    path += f"?index={self.seq}&wait={wait_ms}"
                await self.apply_without_blocking(await self._get(path, wait_ms + self.timeout_ms))
                if failures:
                    log.info("discovery: back at version %s", self.seq)
                failures, answered = 0, True
            except Exception as error:
                # Guards against anything that discovery may send, or its silence, ending the watch for good.
                if not failures:
                    log.warning("discovery: %r", error)
                self._close_connection()
                failures, answered = failures + 1, False
                await asyncio.sleep(self._retry_delay_ms(failures) / 1000)

    def _retry_delay_ms(self, failures: int) -> float:
        """How long to wait after a call that failed, in ms, at random: in step all gateways fail in step."""
        if self.is_pushed:
            return self.agent_timeout_ms / 2 * (0.5 + self.rng.random())
        longest_ms = min(RETRY_MAX_MS, RETRY_FIRST_MS * 2.0 ** min(failures - 1, 20))
        return longest_ms * (self.rng.random() if failures == 1 else 0.5 + 0.5 * self.rng.random())

    async def _get(self, path: str, timeout_ms: float) -> Any:
        """The decoded JSON of one answer, or an exception."""
        response = _Response()
        parser = httptools.HttpResponseParser(response)
        started = self.node.loop.time()
        async with asyncio.timeout(timeout_ms / 1000) as timeout:
            reader, self.writer = await asyncio.open_connection(*self.address)
            self.writer.write(
                b"GET %s HTTP/1.1\r\nHost: %s:%d\r\nAccept: application/json\r\n\r\n"
                % (path.encode(), self.address[0].encode(), self.address[1])
            )
            while not response.is_complete:
                data = await reader.read(1 << 16)
                if data:
                    parser.feed_data(data)
                else:
                    response.connection_ended()
                if len(response.body) > BYTES_WITHIN_TIMEOUT:
                    extra_ms = (len(response.body) - BYTES_WITHIN_TIMEOUT) / MIN_BYTES_PER_MS
                    timeout.reschedule(started + (timeout_ms + extra_ms) / 1000)
        # A connection for each call: what comes late or twice is never taken for the next call's answer.
        self._close_connection()
        if parser.get_status_code() != 200:
            raise Refused(f"status {parser.get_status_code()}")
        return await decode_async(response.body)

    def _close_connection(self) -> None:
        if self.writer is not None:
            self.writer.transport.abort()
        self.writer = None
