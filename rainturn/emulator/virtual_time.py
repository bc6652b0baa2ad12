"""An event loop whose clock jumps to the next timer, and a network in memory: minutes pass within seconds.

The gateway's own counter and discovery clients run on it unchanged, because they connect through the loop and
use its clock. Runs with the same seed are the same.
"""

from __future__ import annotations

import asyncio
import selectors
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

from rainturn.node.clock import Clock

LATENCY_S = 0.0005  # one way, within a region and between regions
EPOCH_MS = 1.7e12  # Unix time at which each run begins


class _VirtualTimeSelector(selectors.SelectSelector):
    """Never waits; instead advances the time by as much as the loop would have waited."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the time by `timeout`; raise `RuntimeError` if the loop would wait forever."""
        if timeout is None:
            raise RuntimeError("no timer is left: the loop would wait forever")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop with a virtual clock, whose connections go through a network in memory."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)
        self.network = Network(self)

    def time(self) -> float:
        """Return the virtual time since the start, in s."""
        return self._virtual_selector.now

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        """Connect to a listener of the network in memory."""
        return await self.network.connect(protocol_factory, (host, port))


class VirtualClock(Clock):
    """A gateway's clock on a virtual loop."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self.loop = loop

    def now(self) -> float:
        """Return the virtual Unix time in ms."""
        return EPOCH_MS + self.loop.time() * 1000.0


class Link:
    """The state that both ends of a connection share: whether it is cut, so that no data passes."""

    def __init__(self, cut: bool = False) -> None:
        self.cut = cut
        self.ends: list[MemoryTransport] = []

    def heal(self) -> None:
        """Deliver the data that was held back and let later data pass."""
        self.cut = False
        for end in self.ends:
            end.flush()


class MemoryTransport(asyncio.Transport):
    """One end of a connection in memory. Data reaches the other end in order, after the latency."""

    def __init__(self, loop: VirtualLoop, link: Link, protocol: Any, peer_address: tuple[str, int]) -> None:
        super().__init__({"peername": peer_address})
        self.loop, self.link, self.protocol = loop, link, protocol
        self.peer: MemoryTransport
        self.closed = False
        self._in_flight: deque[bytes | None] = deque()  # None: the end of the connection
        self._held_back_count = 0  # the number of these that a cut holds back
        link.ends.append(self)

    def write(self, data: Any) -> None:
        """Send data, unless this end is closed."""
        if not self.closed:
            self._send(bytes(data))

    def _send(self, data: bytes | None) -> None:
        self._in_flight.append(data)
        self.loop.call_later(LATENCY_S, self._arrive)

    def _arrive(self) -> None:
        if self.link.cut:
            self._held_back_count += 1
        elif self._in_flight:
            self._deliver(self._in_flight.popleft())

    def flush(self) -> None:
        """Deliver the data that a cut has held back."""
        held_back, self._held_back_count = self._held_back_count, 0
        for _ in range(min(held_back, len(self._in_flight))):
            self._deliver(self._in_flight.popleft())

    def _deliver(self, data: bytes | None) -> None:
        if self.peer.closed:
            return
        if data is None:
            self.peer.closed = True
            self.peer.protocol.connection_lost(None)
        else:
            self.peer.protocol.data_received(data)

    def abort(self) -> None:
        """Close the connection; data that a cut holds back is lost."""
        if self.closed:
            return
        self.closed = True
        if self.link.cut:
            self._in_flight.clear()
            self._held_back_count = 0
        self._send(None)
        self.loop.call_soon(self.protocol.connection_lost, None)

    def close(self) -> None:
        """Close the connection, in the same way as `abort`."""
        self.abort()

    def is_closing(self) -> bool:
        """Return whether this end is closed."""
        return self.closed

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Do nothing: writes are never paused."""


class Network:
    """A network in memory: its listeners by address, and the addresses that are cut off."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self._listeners: dict[tuple[str, int], Callable[[], Any]] = {}
        self._links: dict[tuple[str, int], list[Link]] = {}
        self._cut: set[tuple[str, int]] = set()
        self._caller_count = 0

    def listen(self, address: tuple[str, int], accept: Callable[[], Any]) -> tuple[str, int]:
        """Accept connections at an address, with the protocols that `accept` creates; return the address."""
        self._listeners[address] = accept
        return address

    async def connect(
        self, protocol_factory: Callable[[], Any], address: tuple[str, int]
    ) -> tuple[MemoryTransport, Any]:
        """Connect to an address.

        Never returns if the address is cut off. Raises `ConnectionRefusedError` if it has no listener.
        """
        await asyncio.sleep(2 * LATENCY_S)
        if address in self._cut:
            await self.loop.create_future()
        if address not in self._listeners:
            raise ConnectionRefusedError(address)
        self._caller_count += 1
        link = Link()
        self._links.setdefault(address, []).append(link)
        here = MemoryTransport(self.loop, link, protocol_factory(), address)
        there = MemoryTransport(self.loop, link, self._listeners[address](), ("caller", self._caller_count))
        here.peer, there.peer = there, here
        there.protocol.connection_made(there)
        here.protocol.connection_made(here)
        return here, here.protocol

    def cut(self, address: tuple[str, int]) -> None:
        """Cut an address off: open connections carry no data, and new ones are never established."""
        self._cut.add(address)
        for link in self._open_links(address):
            link.cut = True

    def heal(self, address: tuple[str, int]) -> None:
        """Reconnect an address: deliver the data that was held back, and allow new connections."""
        self._cut.discard(address)
        for link in self._open_links(address):
            link.heal()

    def _open_links(self, address: tuple[str, int]) -> list[Link]:
        links = [link for link in self._links.get(address, []) if not all(end.closed for end in link.ends)]
        self._links[address] = links
        return links


def run_virtual(main: Callable[[VirtualLoop], Coroutine[Any, Any, Any]]) -> Any:
    """Run a coroutine function with a new virtual loop as its argument, and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        loop = runner.get_loop()
        if not isinstance(loop, VirtualLoop):
            raise TypeError("the runner's loop is not a VirtualLoop")
        return runner.run(main(loop))
