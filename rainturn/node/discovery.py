"""The host list: as last known, then whole, then watched for changes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import math
import random
import zlib
from typing import Any

import httptools

from rainturn import interface as it
from rainturn.node.gateway import Node
from rainturn.node.host_pools import HostPools

log = logging.getLogger(__name__)

# A change counts as told 6 s after discovery had it and could be reached, whatever has failed before. So a
# silent watch, the pause after it and the next call together take less, and so do two calls and the longest
# pause: at any size of the fleet.
WAIT_MS = 2000  # how long a watch may wait: bounds how long a silent one goes unnoticed
# Where lists are pushed, the agent beside us answers at once, and from its return on all that it has counts
# as told: we wait for an answer, and between calls, for a small part of the grace that draining hosts have.
NEAR_PART = 0.25
NEAR_LEAST_MS = 100.0
NEAR_MOST_MS = 500.0
# Where they are asked for, one service answers all gateways, each call in its turn, and one that waits too
# long fails: who failed often waits longer, and all come back out of step.
PATIENCE_MS = 1500.0  # how long an answer may take there
RETRY_MS = 300.0  # most after the first call that failed; doubled up to the limit below
RETRY_MOST_MS = 2000.0
START_MS = 300.0  # who knows hosts asks first within this time, as many start at once; but what it knows may
# be old, and a host that drained or went meanwhile may get nothing new after 1 s
OLDER_MS = 6000.0  # discovery's word is late by this at most: older lists for longer are numbered anew
MAX_BODY = 4 << 20
STATES = {
    "in_service": it.HostState.READY,
    "terminating": it.HostState.DRAINING,
    "terminated": it.HostState.GONE,
}


def parse_address(text: str) -> tuple[str, int]:
    """Split `host:port`."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


class Refused(Exception):
    """Discovery answered that it has no list for us now."""


class _Response:
    """Collects one answer for the parser."""

    def __init__(self) -> None:
        self.body = bytearray()
        self.has_headers = self.has_length = False
        self.done = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self.has_length = True

    def on_headers_complete(self) -> None:
        self.has_headers = True

    def on_body(self, body: bytes) -> None:
        self.body += body
        if len(self.body) > MAX_BODY:
            raise ValueError("answer too long")

    def on_message_complete(self) -> None:
        self.done = True

    def connection_ended(self) -> None:
        """An orderly end of the connection completes a body without a length, and no other."""
        if not self.has_headers or self.has_length:
            raise ConnectionError("discovery closed the connection")
        self.done = True


class Discovery:
    """One task that keeps a watch open and hands on what it tells."""

    def __init__(
        self, node: Node, pools: HostPools, zones: tuple[str, ...], address: tuple[str, int], seed: int
    ) -> None:
        self.node, self.pools, self.address = node, pools, address
        self.zones = {name: n for n, name in enumerate(zones)}
        self.numbers: dict[str, int] = {}  # host name -> the module's number, never given twice
        self.blocks: dict[str, str] = {}  # host name -> block
        self.cells: dict[str, int] = {}  # block -> the module's number
        self.last_number = self.last_cell = 0
        pools.on_forgotten = self._forget
        self.seq: int | None = None
        rules = node.settings.rules
        self.pushed = not node.settings.asks_for_list
        self.near_ms = min(NEAR_MOST_MS, max(NEAR_LEAST_MS, NEAR_PART * rules.drain_grace_ms))
        self.patience_ms = self.near_ms if self.pushed else PATIENCE_MS
        self.rng = random.Random(seed)
        self.older_since: float | None = None  # when lists older than ours began to come
        self.writer: asyncio.StreamWriter | None = None
        self.watch: asyncio.Task[None] | None = None

    def start(self, at_once: bool = True) -> None:
        """Begin to watch; unless at once, or with an agent, out of step with others, if hosts are known."""
        wait_ms = 0.0 if at_once or self.pushed or self.seq is None else self.rng.random() * START_MS
        self.watch = self.node.loop.create_task(self.run(wait_ms))

    async def stop(self) -> None:
        """Watch no more."""
        if self.watch is not None:
            self.watch.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.watch
        self._hang_up()

    def move(self, address: tuple[str, int]) -> None:
        """Go on at another address, at once with the whole list: its versions may be numbered anew.

        What the old address has not answered yet is given up with its connection; the hosts stay as told.
        """
        if self.watch is not None:
            self.watch.cancel()
        self._hang_up()
        self.address, self.seq, self.older_since = address, None, None
        self.start()

    def apply(self, news: Any, cached: bool = False) -> None:
        """Hand a list or changes to the pools and the module; what is older than ours changes nothing."""
        if (
            not isinstance(news, dict)
            or not isinstance(news.get("hosts"), list)
            or not isinstance(news.get("seq"), int)
        ):
            raise ValueError("not a host list")
        seq, whole = news["seq"], news.get("whole") is True
        if self.seq is not None and seq < self.seq:
            # Guards against a late or lagging answer bringing hosts back that have gone since.
            now = self.node.clock.now()
            self.older_since = self.older_since or now
            if not whole or now - self.older_since < OLDER_MS:
                raise ValueError(f"version {seq} is older than {self.seq}")
        self.older_since = None
        entries = []
        for source in news["hosts"]:
            try:
                entries.append(self._entry(source))
            except (ArithmeticError, AttributeError, KeyError, TypeError, ValueError) as error:
                log.warning("discovery: entry passed over: %r", error)
        if whole:
            named = {entry.host for entry, _ in entries}
            for host, pool in list(self.pools.pools.items()):
                if host not in named:
                    self.pools.update_host(host, pool.address, it.HostState.GONE, pool.started)
        for entry, address in entries:
            self.pools.update_host(entry.host, address, entry.state, entry.started)
        kind = it.ListKind.CACHED if cached else it.ListKind.FULL if whole else it.ListKind.DELTA
        if whole or entries:
            self.node.feed(it.HostList(kind, tuple(entry for entry, _ in entries)))
            self.pools.return_waiting()
        sound = whole and len(entries) == len(news["hosts"]) > 0
        self.seq = seq if sound or not cached else None

    def _entry(self, source: Any) -> tuple[it.HostEntry, tuple[str, int]]:
        name, block = str(source["host"]), str(source.get("block", 0))
        state, address = STATES[source["health"]], parse_address(source["dial"])
        zone = self.zones.setdefault(source["site"], len(self.zones))
        size, born = float(source.get("share", 1.0)), float(source.get("born_ms", 0.0))
        if not (math.isfinite(size) and math.isfinite(born)):
            raise ValueError("not a number")
        if name not in self.numbers:
            self.last_number += 1
            self.numbers[name] = self.last_number
        if block not in self.cells:
            self.last_cell += 1
            self.cells[block] = self.last_cell
        self.blocks[name] = block
        number = self.numbers[name]
        self.pools.add(number, name)
        order = zlib.crc32(name.encode())
        return it.HostEntry(number, zone, self.cells[block], state, size, born, order), address

    def _forget(self, name: str) -> None:
        """A host is gone for good, and so is its block when it was the last one there."""
        self.numbers.pop(name, None)
        block = self.blocks.pop(name, None)
        if block is not None and block not in self.blocks.values():
            self.cells.pop(block, None)

    async def run(self, wait_ms: float = 0.0) -> None:
        """Ask for what is new, then watch; a call that fails is followed by another before long.

        Who knows a list asks from its version on: changes cost discovery less than whole lists do. After a
        call that failed, and at an agent's first, a watch follows an answer only: a silent one waits out its
        time, and what comes meanwhile would be heard too late.
        """
        failures, answered = 0, False
        await asyncio.sleep(wait_ms / 1000)
        while True:
            try:
                if self.seq is None or self.older_since is not None:
                    news = await self._get("/discovery/hosts", self.patience_ms)
                else:
                    wait = WAIT_MS if answered or not (failures or self.pushed) else 1
                    news = await self._get(
                        f"/discovery/hosts?index={self.seq}&wait={wait}", wait + self.patience_ms
                    )
                self.apply(news)
                if failures:
                    log.info("discovery: back at version %s", self.seq)
                failures, answered = 0, True
            except Exception as error:
                # Guards against anything that discovery may send, or its silence, ending the watch for good.
                if not failures:
                    log.warning("discovery: %r", error)
                self._hang_up()
                failures, answered = failures + 1, False
                await asyncio.sleep(self._pause(failures) / 1000)

    def _pause(self, failures: int) -> float:
        """How long to wait after a call that failed: one's own time, as many in step would fail in step."""
        if self.pushed:
            return self.near_ms / 2 * (0.5 + self.rng.random())
        most = min(RETRY_MOST_MS, RETRY_MS * 2.0 ** min(failures - 1, 20))
        return most * (self.rng.random() if failures == 1 else 0.5 + 0.5 * self.rng.random())

    async def _get(self, path: str, patience_ms: float) -> Any:
        async with asyncio.timeout(patience_ms / 1000):
            reader, self.writer = await asyncio.open_connection(*self.address)
            self.writer.write(
                b"GET %s HTTP/1.1\r\nHost: %s:%d\r\nAccept: application/json\r\n\r\n"
                % (path.encode(), self.address[0].encode(), self.address[1])
            )
            response = _Response()
            parser = httptools.HttpResponseParser(response)
            while not response.done:
                data = await reader.read(1 << 16)
                if data:
                    parser.feed_data(data)
                else:
                    response.connection_ended()
        # A connection for each call: what comes late or twice is never taken for the next call's answer.
        self._hang_up()
        if parser.get_status_code() != 200:
            raise Refused(f"status {parser.get_status_code()}")
        return json.loads(response.body)

    def _hang_up(self) -> None:
        if self.writer is not None:
            self.writer.transport.abort()
        self.writer = None
