"""An event loop whose clock jumps to the next timer, and a network in memory: minutes pass in seconds.

The gateway's own counter and discovery clients run on it unchanged: they connect through the loop, and their
clock is the loop's. The same seed gives the same run.
"""

from __future__ import annotations

import asyncio
import selectors
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

from rainturn.node.gateway import Clock

LATENCY_S = 0.0005  # one way, in one region or between regions
EPOCH_MS = 1.7e12  # Unix time at which each run begins


class _JumpingSelector(selectors.SelectSelector):
    """Waits for nothing: time passes by as much as the loop would have waited."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Let the time pass."""
        if timeout is None:
            raise RuntimeError("nothing is left that could happen")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop with a clock of its own; connections go through its network."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)
        self.network = Network(self)

    def time(self) -> float:
        """Virtual seconds since the start."""
        return self._jumping.now

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        """Connect to a listener of the network."""
        return await self.network.connect(protocol_factory, (host, port))


class VirtualClock(Clock):
    """A gateway's clock on a virtual loop."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self.loop = loop

    def now(self) -> float:
        """Milliseconds of Unix time."""
        return EPOCH_MS + self.loop.time() * 1000.0


class Link:
    """What both ends of a connection share: whether anything passes, and what waits for that."""

    def __init__(self, cut: bool = False) -> None:
        self.cut = cut
        self.ends: list[MemoryTransport] = []

    def heal(self) -> None:
        """Let through what has waited."""
        self.cut = False
        for end in self.ends:
            end.flush()


class MemoryTransport(asyncio.Transport):
    """One end of a connection in memory. What is written reaches the other end a latency later, in order."""

    def __init__(self, loop: VirtualLoop, link: Link, protocol: Any, peer: tuple[str, int]) -> None:
        super().__init__({"peername": peer})
        self.loop, self.link, self.protocol = loop, link, protocol
        self.other: MemoryTransport
        self.closed = False
        self._under_way: deque[bytes | None] = deque()  # None: the end
        self._held = 0  # of these, how many have arrived at the cut
        link.ends.append(self)

    def write(self, data: Any) -> None:
        """Send."""
        if not self.closed:
            self._send(bytes(data))

    def _send(self, data: bytes | None) -> None:
        self._under_way.append(data)
        self.loop.call_later(LATENCY_S, self._arrive)

    def _arrive(self) -> None:
        if self.link.cut:
            self._held += 1
        elif self._under_way:
            self._deliver(self._under_way.popleft())

    def flush(self) -> None:
        """Deliver what a cut has held."""
        held, self._held = self._held, 0
        for _ in range(min(held, len(self._under_way))):
            self._deliver(self._under_way.popleft())

    def _deliver(self, data: bytes | None) -> None:
        if self.other.closed:
            return
        if data is None:
            self.other.closed = True
            self.other.protocol.connection_lost(None)
        else:
            self.other.protocol.data_received(data)

    def abort(self) -> None:
        """End the connection; what a cut holds is lost."""
        if self.closed:
            return
        self.closed = True
        if self.link.cut:
            self._under_way.clear()
            self._held = 0
        self._send(None)
        self.loop.call_soon(self.protocol.connection_lost, None)

    def close(self) -> None:
        """End the connection."""
        self.abort()

    def is_closing(self) -> bool:
        """Whether it has ended."""
        return self.closed

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Nothing is ever held back on this side."""


class Network:
    """Listeners by address, and which of them are cut off."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self._listeners: dict[tuple[str, int], Callable[[], Any]] = {}
        self._links: dict[tuple[str, int], list[Link]] = {}
        self._cut: set[tuple[str, int]] = set()
        self._callers = 0

    def listen(self, address: tuple[str, int], accept: Callable[[], Any]) -> tuple[str, int]:
        """Accept connections at an address with the protocols that `accept` makes."""
        self._listeners[address] = accept
        return address

    async def connect(self, make: Callable[[], Any], address: tuple[str, int]) -> tuple[MemoryTransport, Any]:
        """Connect to an address; to one that is cut off it never comes up."""
        await asyncio.sleep(2 * LATENCY_S)
        if address in self._cut:
            await self.loop.create_future()
        if address not in self._listeners:
            raise ConnectionRefusedError(address)
        self._callers += 1
        link = Link()
        self._links.setdefault(address, []).append(link)
        here = MemoryTransport(self.loop, link, make(), address)
        there = MemoryTransport(self.loop, link, self._listeners[address](), ("caller", self._callers))
        here.other, there.other = there, here
        there.protocol.connection_made(there)
        here.protocol.connection_made(here)
        return here, here.protocol

    def cut(self, address: tuple[str, int]) -> None:
        """Cut an address off: open connections fall silent, and new ones never come up."""
        self._cut.add(address)
        for link in self._open_links(address):
            link.cut = True

    def heal(self, address: tuple[str, int]) -> None:
        """Let what is under way to and from an address through, and new connections come up."""
        self._cut.discard(address)
        for link in self._open_links(address):
            link.heal()

    def _open_links(self, address: tuple[str, int]) -> list[Link]:
        links = [link for link in self._links.get(address, []) if not all(end.closed for end in link.ends)]
        self._links[address] = links
        return links


def run_virtual(main: Callable[[VirtualLoop], Coroutine[Any, Any, Any]]) -> Any:
    """Run a coroutine on a virtual loop, and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        loop = runner.get_loop()
        if not isinstance(loop, VirtualLoop):
            raise TypeError("not a virtual loop")
        return runner.run(main(loop))
