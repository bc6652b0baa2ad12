"""A hollow gateway: the real decision module with the real discovery and counter clients, but without sockets
to clients and hosts. Many hollow gateways run in one process."""

from __future__ import annotations

import asyncio
import random
from collections import Counter as Tally
from collections.abc import Callable
from dataclasses import dataclass

from rainturn import interface as it
from rainturn.emulator.workload import (
    CLASSES,
    IDLE_LIMIT_MS,
    PLANS,
    DrawnRequest,
    draw_service_time_ms,
    wire_settings,
    zone_names,
)
from rainturn.node.clock import Clock
from rainturn.node.counter_client import CounterClient
from rainturn.node.discovery import Discovery
from rainturn.node.gateway import Node
from rainturn.node.host_pools import HostPools
from rainturn.node.input_buffer import READ_SIZE
from rainturn.node.memory_account import MemoryAccount
from rainturn.node.requests import Attempt, Request
from rainturn.settings import settings_from

DEADLINE_MS = 5000.0  # how long a synthetic client waits for its answer
HOST_VALUE = b"0" * 200


@dataclass(frozen=True)
class Addresses:
    """Addresses of discovery and the counter, each a host and a port."""

    discovery: tuple[str, int]
    counter: tuple[str, int]


class SyntheticClient:
    """Receives the answers of a hollow gateway and counts them by outcome."""

    number = 0  # it has no connection

    def __init__(self) -> None:
        self.outcome_counts: Tally[str] = Tally()
        self.on_refusal: Callable[[Request], None] | None = None  # called with each request that is refused

    def is_present(self) -> bool:
        """Return True: a synthetic client stays connected."""
        return True

    def send_value(self, request: Request, value: bytes) -> None:
        """Count a served request."""
        self.outcome_counts["served"] += 1

    def send_refusal(self, request: Request, backoff_ms: float, until: float) -> None:
        """Count a refused request and report it to `on_refusal`."""
        self.outcome_counts["refused"] += 1
        if self.on_refusal is not None:
            self.on_refusal(request)

    def send_failure(self, request: Request) -> None:
        """Count a failed request."""
        self.outcome_counts["failed"] += 1

    def begin_value(self, request: Request, length: int) -> bool:
        """Return True: simulated hosts send no long values."""
        return True

    def release_value(self, request: Request) -> None:
        """Do nothing: simulated hosts send no long values."""

    def send_piece(self, request: Request, data: bytes) -> None:
        """Do nothing: simulated hosts send no long values."""

    def accepts_piece(self, request: Request) -> bool:
        """Return True: a synthetic client accepts every piece."""
        return True

    def piece_size_limit(self, request: Request) -> int:
        """Return the largest size: simulated hosts send no long values."""
        return READ_SIZE

    def end_value(self, request: Request) -> None:
        """Do nothing: simulated hosts send no long values."""

    def withdraw_value(self, request: Request) -> bool:
        """Return True: simulated hosts send no long values."""
        return True


class SimulatedHosts:
    """Completes each attempt successfully after a random service time, without a socket.

    `on_first_attempt` is called with each request when its first attempt has reached a host in full. The
    request uses up its units at this point.
    """

    def __init__(self, node: Node, rng: random.Random) -> None:
        self.node, self.rng = node, rng
        self.on_first_attempt: Callable[[Request], None] | None = None
        self.end_timers: dict[Attempt, asyncio.TimerHandle] = {}

    def start(self, attempt: Attempt) -> None:
        """Start an attempt and schedule its end."""
        attempt.connection = self
        if self.on_first_attempt is not None and attempt.number == 0:
            self.on_first_attempt(attempt.request)
        self.end_timers[attempt] = self.node.loop.call_later(
            draw_service_time_ms(self.rng) / 1000, self._end_attempt, attempt
        )

    def _end_attempt(self, attempt: Attempt) -> None:
        self.end_timers.pop(attempt, None)
        attempt.connection = None
        self.node.end_attempt(attempt, it.Outcome.OK, HOST_VALUE)

    def drop(self, attempt: Attempt) -> None:
        """Abandon an attempt; its end is not reported to the node."""
        attempt.connection = None
        timer = self.end_timers.pop(attempt, None)
        if timer is not None:
            timer.cancel()


class HollowGateway:
    """A hollow gateway on the running event loop."""

    def __init__(
        self,
        number: int,
        gateways: int,
        addresses: Addresses,
        seed: int,
        clock: Clock | None = None,
    ) -> None:
        loop = asyncio.get_running_loop()
        settings = settings_from(wire_settings(number, gateways))
        self.number = number
        self.rng = random.Random(seed)
        self.node = Node(settings, seed, clock or Clock(), loop, MemoryAccount(MEMORY_BYTES, loop))
        # The host list is held as in a real gateway, but no connection is opened through these pools.
        pools = HostPools(self.node, IDLE_LIMIT_MS, 0)
        self.hosts = self.node.hosts = SimulatedHosts(self.node, self.rng)
        self.counter = self.node.counter = CounterClient(self.node, addresses.counter)
        self.discovery = Discovery(self.node, pools, tuple(zone_names()), addresses.discovery, seed)
        self.client = SyntheticClient()

    def start(self) -> None:
        """Start to fetch and watch the host list."""
        self.discovery.start()

    @property
    def version(self) -> int:
        """The version of the host list in force, or 0 before the first list."""
        return self.discovery.version or 0

    def submit(self, drawn: DrawnRequest) -> None:
        """Let the gateway handle a synthetic request."""
        self.node.add_request(self.make_request(drawn))

    def make_request(self, drawn: DrawnRequest) -> Request:
        """Build a synthetic request with the next number and a deadline."""
        self.node.last_request_number += 1
        deadline = self.node.clock.now() + DEADLINE_MS
        return build_request(self.node.last_request_number, drawn, deadline, self.client)

    async def stop(self) -> None:
        """Stop watching the host list and close the connections to the counter."""
        await self.discovery.stop()
        self.counter.stop()
        for connection in list(self.counter.connections):
            connection.close()


def build_request(number: int, drawn: DrawnRequest, deadline: float, client: SyntheticClient) -> Request:
    """Build a request as the node holds it, with the command that hosts would receive.

    `deadline` is a Unix time in ms.
    """
    tenant = drawn.tenant
    arrival = it.Arrived(
        number, deadline, tenant.customer, tenant.plan, drawn.class_index, drawn.units, float(tenant.spread)
    )
    return Request(arrival, deadline, request_words(number, drawn), b"", b"", client, REQUEST_BYTES)


REQUEST_BYTES = 300  # memory for the words of one request
MEMORY_BYTES = 1 << 30  # of a hollow gateway's account; its requests hold far less


def request_words(number: int, drawn: DrawnRequest) -> list[bytes]:
    """Build the command that a client would send for a drawn request."""
    tenant, request_class = drawn.tenant, CLASSES[drawn.class_index]
    key = b"k=%016x," % number if request_class.effect == "dedup" else b""
    fields = b"c=%s,t=%s,d=%d,%sunits=%d,spread=%d,first=%d" % (
        request_class.name.encode(),
        PLANS[tenant.plan].name.encode(),
        DEADLINE_MS,
        key,
        drawn.units,
        tenant.spread,
        tenant.first,
    )
    verb = b"API.READ" if request_class.effect == "retryable" else b"API.WRITE"
    return [verb, b"%016x" % tenant.customer, b"%016x" % number, fields]
