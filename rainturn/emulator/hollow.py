"""A hollow gateway: the real decision module and the real discovery and counter clients, without sockets of
clients and hosts. Many of them run in one process."""

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
from rainturn.node.counter import Counter
from rainturn.node.discovery import Discovery
from rainturn.node.gateway import Clock, Node
from rainturn.node.host_pools import HostPools
from rainturn.node.requests import Attempt, Request
from rainturn.settings import settings_from

DEADLINE_MS = 5000.0  # how long a synthetic client waits
VALUE = b"0" * 200


@dataclass(frozen=True)
class Addresses:
    """Where a hollow gateway finds discovery and the counter."""

    discovery: tuple[str, int]
    counter: tuple[str, int]


class SyntheticClient:
    """Takes the answers of a hollow gateway's requests and counts how they ended."""

    def __init__(self) -> None:
        self.outcome_counts: Tally[str] = Tally()
        self.on_refusal: Callable[[Request], None] | None = None  # called with each request that is refused

    def is_connected(self) -> bool:
        """A synthetic client never leaves early."""
        return True

    def send_value(self, request: Request, value: bytes) -> None:
        """Count a request that was served."""
        self.outcome_counts["served"] += 1

    def send_refusal(self, request: Request, backoff_ms: float, until: float) -> None:
        """Count a refusal."""
        self.outcome_counts["refused"] += 1
        if self.on_refusal is not None:
            self.on_refusal(request)

    def send_failure(self, request: Request) -> None:
        """Count a failure."""
        self.outcome_counts["failed"] += 1

    def begin_value(self, request: Request, length: int) -> None:
        """No value of a drawn host is long."""

    def send_piece(self, request: Request, data: bytes) -> None:
        """No value of a drawn host is long."""

    def accepts_piece(self, request: Request) -> bool:
        """A synthetic client takes all."""
        return True

    def end_value(self, request: Request) -> None:
        """No value of a drawn host is long."""

    def cut_value(self, request: Request) -> None:
        """No value of a drawn host is long."""


class SimulatedHosts:
    """Ends each attempt as served after a drawn time, without a socket.

    `arrived` is called with each request whose first attempt has come whole to a host: there it takes its
    units.
    """

    def __init__(self, node: Node, rng: random.Random) -> None:
        self.node, self.rng = node, rng
        self.on_first_attempt: Callable[[Request], None] | None = None
        self.out: dict[Attempt, asyncio.TimerHandle] = {}

    def start(self, attempt: Attempt) -> None:
        """Begin an attempt."""
        attempt.connection = self
        if self.on_first_attempt is not None and attempt.number == 0:
            self.on_first_attempt(attempt.request)
        self.out[attempt] = self.node.loop.call_later(
            draw_service_time_ms(self.rng) / 1000, self._end, attempt
        )

    def _end(self, attempt: Attempt) -> None:
        self.out.pop(attempt, None)
        attempt.connection = None
        self.node.attempt_ended(attempt, it.Outcome.OK, VALUE)

    def drop(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt."""
        attempt.connection = None
        timer = self.out.pop(attempt, None)
        if timer is not None:
            timer.cancel()


class HollowGateway:
    """One hollow gateway on the running loop."""

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
        self.node = Node(settings, seed, clock or Clock(), loop)
        # The list is held as in a real gateway; nothing connects through these pools.
        pools = HostPools(self.node, IDLE_LIMIT_MS, 0)
        self.hosts = self.node.hosts = SimulatedHosts(self.node, self.rng)
        self.counter = self.node.counter = Counter(self.node, addresses.counter)
        self.discovery = Discovery(self.node, pools, tuple(zone_names()), addresses.discovery, seed)
        self.client = SyntheticClient()

    def start(self) -> None:
        """Begin to fetch and watch the host list."""
        self.discovery.start()

    @property
    def version(self) -> int:
        """The version of the host list in force; 0 before the first."""
        return self.discovery.seq or 0

    def submit(self, draw: DrawnRequest) -> None:
        """Take one synthetic request."""
        self.node.arrived(self.make_request(draw))

    def make_request(self, draw: DrawnRequest) -> Request:
        """A synthetic request as the node holds it, with the words that hosts would get."""
        self.node.serial += 1
        until = self.node.clock.now() + DEADLINE_MS
        return build_request(self.node.serial, draw, until, self.client)

    async def stop(self) -> None:
        """Watch no more and leave the counter."""
        await self.discovery.stop()
        self.counter.stop()
        for connection in list(self.counter.connections):
            connection.close()


def build_request(number: int, draw: DrawnRequest, until: float, client: SyntheticClient) -> Request:
    """A request as the node holds it, with the words that hosts would get."""
    tenant = draw.tenant
    arrival = it.Arrived(
        number, until, tenant.customer, tenant.plan, draw.kind, draw.units, float(tenant.spread)
    )
    return Request(arrival, until, request_words(number, draw), b"", b"", client, REQUEST_BYTES)


REQUEST_BYTES = 300  # bytes that a request's words hold


def request_words(number: int, draw: DrawnRequest) -> list[bytes]:
    """The command that a client would send for a drawn request."""
    tenant, kind = draw.tenant, CLASSES[draw.kind]
    key = b"k=%016x," % number if kind.effect == "dedup" else b""
    fields = b"c=%s,t=%s,d=%d,%sunits=%d,spread=%d,first=%d" % (
        kind.name.encode(),
        PLANS[tenant.plan].name.encode(),
        DEADLINE_MS,
        key,
        draw.units,
        tenant.spread,
        tenant.first,
    )
    verb = b"API.READ" if kind.effect == "retryable" else b"API.WRITE"
    return [verb, b"%016x" % tenant.customer, b"%016x" % number, fields]
