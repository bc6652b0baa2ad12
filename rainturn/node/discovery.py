"""The discovery client: fetches the full host list, then watches it for changes and applies both.

A watch is a long poll: a call that names a version, and that discovery answers once it has a later version
or the wait time of the call is over.
"""

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
from rainturn.node.list_updater import ListUpdater

log = logging.getLogger(__name__)

# A gateway is expected to know a change 6 s after discovery has it and can be reached, whatever failed
# before. For any number of hosts and gateways, a watch that gets no answer, the delay after it and the next
# call therefore take less than 6 s together, and so do two calls and the longest delay.
WATCH_WAIT_MS = 2000  # wait time of a watch; limits how long a watch without an answer goes unnoticed
# In push mode an agent on this machine holds the list and answers at once. After an outage of the agent, a
# gateway is expected to know everything that the agent has as soon as the agent is back. The timeout of a
# call and the delay between calls are therefore a small fraction of the drain grace.
AGENT_TIMEOUT_GRACE_FRACTION = 0.25
AGENT_TIMEOUT_MIN_MS = 100.0
AGENT_TIMEOUT_MAX_MS = 500.0
# In ask mode one service answers the calls of all gateways one after another, and a call that waits too long
# fails. A gateway therefore waits longer after each failure, with jitter so that the gateways don't retry
# together.
ANSWER_TIMEOUT_MS = 1500.0
RETRY_FIRST_MS = 300.0  # longest delay after the first failure; doubles up to RETRY_MAX_MS
RETRY_MAX_MS = 2000.0
# A gateway that starts with a cached list makes its first call within this time, at random, because many
# gateways may start together. The time is short because the cached list may be old: a host that drained or
# went away in the meantime must get no new requests after 1 s.
START_JITTER_MS = 300.0
# Discovery lags by at most this time. If its versions stay older than the applied one for longer, its
# numbering has restarted.
RENUMBERED_AFTER_MS = 6000.0
# The number of hosts has no limit; this only stops an answer that would fill the memory. An entry takes about
# 170 bytes, or 250 with long names and IPv6 addresses, so 17,000 hosts take 2.9 to 4.3 MB. The limit is four
# times the larger figure, which is about 67,000 hosts with long entries.
MAX_BODY_BYTES = 16 << 20
# The timeout of a long answer is extended as long as the answer arrives at this rate or faster.
MIN_BYTES_PER_MS = 1000
BYTES_WITHIN_TIMEOUT = 64 << 10  # the first bytes of an answer, which must arrive within the plain timeout


class Refused(Exception):
    """Discovery answered with a status other than 200: it has no list for this gateway now."""


class _Response:
    """Parser callbacks that collect one HTTP response."""

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
        """Complete a body that has no length; raise a ConnectionError for any other response.

        Called when the connection has been closed without a reset.
        """
        if not self.has_headers or self.has_length:
            raise ConnectionError("discovery closed the connection")
        self.is_complete = True


class Discovery:
    """Keeps the host list up to date.

    One task calls discovery; at most one further task at a time applies a large list in steps.
    """

    def __init__(
        self, node: Node, pools: HostPools, zones: tuple[str, ...], address: tuple[str, int], seed: int
    ) -> None:
        self.node, self.address = node, address
        self.table = HostTable(zones)
        self.updater = ListUpdater(node, pools, self.table)
        pools.on_forgotten = self.table.forget
        self.version: int | None = None  # version of the applied list; None if a full list is needed
        self.older_since: float | None = None  # when lists older than the applied one began to arrive
        self.is_pushed = not node.settings.asks_for_list
        grace_fraction_ms = AGENT_TIMEOUT_GRACE_FRACTION * node.settings.rules.drain_grace_ms
        self.agent_timeout_ms = min(AGENT_TIMEOUT_MAX_MS, max(AGENT_TIMEOUT_MIN_MS, grace_fraction_ms))
        self.timeout_ms = self.agent_timeout_ms if self.is_pushed else ANSWER_TIMEOUT_MS
        self.rng = random.Random(seed)
        self.writer: asyncio.StreamWriter | None = None
        self.watch_task: asyncio.Task[None] | None = None
        self.address_change_count = 0  # a list from an earlier address doesn't set `version`
        self._steps: Iterator[None] = iter(())  # the remaining steps of the list that is being applied
        self._apply_task: asyncio.Task[None] | None = None

    def start(self, at_once: bool = True) -> None:
        """Start the task that calls discovery.

        In ask mode and with a cached list, the first call comes after a random delay unless `at_once` is set.
        """
        wait_ms = 0.0
        if not (at_once or self.is_pushed or self.version is None):
            wait_ms = self.rng.random() * START_JITTER_MS
        self.watch_task = self.node.loop.create_task(self.run(wait_ms))

    async def stop(self) -> None:
        """Stop both tasks; a list that is being applied stays partly applied."""
        for task in (self.watch_task, self._apply_task):
            if task is not None:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
        self._close_connection()

    def change_address(self, address: tuple[str, int]) -> None:
        """Switch to another discovery address and fetch the full list there at once.

        The new address may number its versions differently. A call that the old address has not answered is
        dropped together with its connection, and the known hosts stay. A list that has arrived from the old
        address completely is applied to its end before a list of the new address.
        """
        if self.watch_task is not None:
            self.watch_task.cancel()
        self._close_connection()
        self.address, self.version, self.older_since = address, None, None
        self.address_change_count += 1
        self.start()

    # Application of lists.

    def apply(self, answer: Any, cached: bool = False) -> None:
        """Apply an answer of any size without interruption.

        `cached` marks the list from the configuration, which may be old. An answer that is malformed or
        older than the applied list raises a ValueError and isn't applied.
        """
        for _ in self._steps:  # the remaining steps of the previous list
            pass
        self._apply_at_once(parse_update(answer), cached)

    async def apply_without_blocking(self, answer: Any) -> None:
        """Apply an answer; the event loop serves requests between the steps of a large one."""
        if self._apply_task is not None:
            await asyncio.wait([self._apply_task])
        update = parse_update(answer)
        del answer  # so that entries are freed one by one; freeing all of them together takes some ms
        if self.updater.is_small(update):
            return self._apply_at_once(update)
        self._check_version(update)
        self._steps = self._apply_in_steps(update)
        self._apply_task = self.node.loop.create_task(self._run_steps())
        await asyncio.shield(self._apply_task)  # `change_address` cancels the calls, but not a received list

    def _check_version(self, update: HostListUpdate) -> None:
        """Raise a ValueError if an update is older than the applied list."""
        if self.version is not None and update.version < self.version:
            # Guards against a late or lagging answer that would bring back hosts which are gone by now.
            now = self.node.clock.now()
            self.older_since = self.older_since or now
            if not update.is_full or now - self.older_since < RENUMBERED_AFTER_MS:
                raise ValueError(f"version {update.version} is older than {self.version}")
        self.older_since = None

    def _apply_at_once(self, update: HostListUpdate, cached: bool = False) -> None:
        self._check_version(update)
        kind = it.ListKind.FULL if update.is_full else it.ListKind.DELTA
        is_nonempty_full_list = update.is_full and bool(update.entries)
        is_well_formed = self.updater.apply(update, it.ListKind.CACHED if cached else kind)
        # After a cached list that may lack hosts, the next call fetches the full list.
        self.version = update.version if (is_nonempty_full_list and is_well_formed) or not cached else None

    def _apply_in_steps(self, update: HostListUpdate) -> Iterator[None]:
        address_change_count = self.address_change_count
        yield from self.updater.apply_in_steps(update)
        if address_change_count == self.address_change_count:
            self.version = update.version

    async def _run_steps(self) -> None:
        # Guards against a gateway that reports itself ready while it knows only some of the hosts.
        self.node.list_incomplete = not self.node.is_ready()
        try:
            for _ in self._steps:
                await asyncio.sleep(0)
        finally:
            self.node.list_incomplete = False
            self._apply_task = None

    # Requests for lists.

    async def run(self, wait_ms: float = 0.0) -> None:
        """Call discovery forever, first after `wait_ms`; retry a failed call after a short delay.

        Once a list is applied, calls name its version, because changes cost discovery less than full lists.
        After a failed call, and at the start with an agent, a watch is opened only once a call with a wait of
        1 ms has been answered: a watch that gets no answer lasts its full time, and changes that discovery
        gets meanwhile would be applied too late.
        """
        failures, answered = 0, False
        await asyncio.sleep(wait_ms / 1000)
        while True:
            try:
                path, wait_ms = "/discovery/hosts", 0
                if self.version is not None and self.older_since is None:
                    wait_ms = WATCH_WAIT_MS if answered or not (failures or self.is_pushed) else 1
                    path += f"?index={self.version}&wait={wait_ms}"
                await self.apply_without_blocking(await self._get(path, wait_ms + self.timeout_ms))
                if failures:
                    log.info("discovery: back at version %s", self.version)
                failures, answered = 0, True
            except Exception as error:
                # Guards against an unexpected or missing answer that would end this task for good.
                if not failures:
                    log.warning("discovery: %r", error)
                self._close_connection()
                failures, answered = failures + 1, False
                await asyncio.sleep(self._retry_delay_ms(failures) / 1000)

    def _retry_delay_ms(self, failures: int) -> float:
        """Return a random delay after a failed call, in ms.

        Without the jitter all gateways would retry together, and their calls would fail together again.
        """
        if self.is_pushed:
            return self.agent_timeout_ms / 2 * (0.5 + self.rng.random())
        longest_ms = min(RETRY_MAX_MS, RETRY_FIRST_MS * 2.0 ** min(failures - 1, 20))
        return longest_ms * (self.rng.random() if failures == 1 else 0.5 + 0.5 * self.rng.random())

    async def _get(self, path: str, timeout_ms: float) -> Any:
        """Make one call and return the decoded JSON of its answer, or raise an exception."""
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
        # Each call has its own connection, so that a late or repeated answer isn't taken for the next call's.
        self._close_connection()
        if parser.get_status_code() != 200:
            raise Refused(f"status {parser.get_status_code()}")
        return await decode_async(response.body)

    def _close_connection(self) -> None:
        if self.writer is not None:
            self.writer.transport.abort()
        self.writer = None
