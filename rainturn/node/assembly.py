"""A gateway put together from its configuration, within its limits on memory and descriptors."""

from __future__ import annotations

import asyncio
import logging
import resource
from http import HTTPStatus
from typing import NamedTuple

from rainturn import interface as it
from rainturn.node.clients import ClientListener
from rainturn.node.configuration import Config
from rainturn.node.control import CONNECTIONS, Answer, Control, Route
from rainturn.node.counter import CounterClient
from rainturn.node.discovery import Discovery
from rainturn.node.gateway import Clock, Node
from rainturn.node.host_pools import HostPools
from rainturn.settings import Names

log = logging.getLogger(__name__)

RESERVE = 48  # descriptors kept back: loop, log, listeners, discovery, counter, a connection on its way out
HOSTS_PART = 0.4  # part of the others that connections to hosts may take


class NoCounter:
    """Stands where the settings know of no counter."""

    def call(self, name: int, amount: float, ttl: float) -> None:
        """Nobody may call."""
        raise RuntimeError("the settings permit no counter calls")

    def move(self, address: tuple[str, int]) -> None:
        """Nothing to move."""


def apply_limits(config: Config) -> int:
    """Bound the process's data, and return how many descriptors it may hold."""
    data = int(config.memory_mb * (1 << 20))
    _, hard = resource.getrlimit(resource.RLIMIT_DATA)
    if hard == resource.RLIM_INFINITY or data < hard:
        # A single absurd allocation then fails where it is made, in place of the process being killed.
        resource.setrlimit(resource.RLIMIT_DATA, (data, hard))
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < config.sockets:
        soft = config.sockets if hard == resource.RLIM_INFINITY else min(hard, config.sockets)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    return config.sockets if soft == resource.RLIM_INFINITY else min(soft, config.sockets)


class Parts(NamedTuple):
    """A gateway, put together."""

    node: Node
    pools: HostPools
    clients: ClientListener
    discovery: Discovery
    counter: CounterClient | NoCounter
    control: Control
    room: int  # for connections of clients and hosts together

    def give_room(self, room: int) -> None:
        """Split the room for connections between hosts and clients."""
        self.pools.max_connections = int(room * HOSTS_PART)
        self.clients.budget = room - self.pools.max_connections


def routes(node: Node, clients: ClientListener, names: Names) -> dict[bytes, dict[bytes, Route]]:
    """What operators may call."""

    def ready() -> Answer:
        if node.is_ready():
            return HTTPStatus.OK, "ready\n"
        return HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n"

    def figures() -> Answer:
        return HTTPStatus.OK, node.metrics.report(
            names.classes,
            {
                "in_progress": node.in_progress(),
                "known_hosts": node.decision_module.listed_count(),
                "skipped_hosts": node.decision_module.skipped_count(),
            },
        )

    def in_service(on: bool) -> Answer:
        log.info("control: %s", "in service" if on else "out of service")
        node.feed(it.InService(on))
        clients.set_in_service(on)
        return HTTPStatus.OK, "in service\n" if on else "out of service\n"

    return {
        b"/control/ready": {b"GET": ready},
        b"/control/counters": {b"GET": figures},
        b"/control/out-of-service": {b"PUT": lambda: in_service(False)},
        b"/control/in-service": {b"PUT": lambda: in_service(True)},
    }


def assemble(
    config: Config, descriptors: int, loop: asyncio.AbstractEventLoop, clock: Clock | None = None
) -> Parts:
    """Put a gateway together, with the hosts that it last knew."""
    node = Node(config.settings, config.seed, clock or Clock(), loop)
    budget = max(8, descriptors - RESERVE - (CONNECTIONS if config.control else 0))
    pools = node.hosts = HostPools(node, config.idle_ms, int(budget * HOSTS_PART))
    counter = node.counter = CounterClient(node, config.counter) if config.counter else NoCounter()
    clients = ClientListener(
        node, config.names, budget - pools.max_connections, config.max_open, config.memory_mb
    )
    discovery = Discovery(node, pools, config.names.zones, config.discovery, config.seed)
    if config.known is not None:
        try:
            discovery.apply(config.known, cached=True)
        except ValueError as error:
            log.warning("known hosts passed over: %s", error)
    return Parts(
        node, pools, clients, discovery, counter, Control(loop, routes(node, clients, config.names)), budget
    )


def share_room(parts: Parts, held: int | None, older: bool) -> None:
    """While two processes are one gateway their connections together stay within its limit."""
    if held is None:
        parts.give_room(parts.room)
    elif older:  # it grows no more than to a half
        open_now = len(parts.clients.connections) + parts.pools.open_connections + parts.pools.connecting
        parts.give_room(max(parts.room // 2, open_now))
    else:
        parts.give_room(max(8, parts.room - max(parts.room // 2, held)))
    parts.node.feed(it.ProcessOverlap(held is not None))
