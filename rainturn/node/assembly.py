"""Builds a gateway from its configuration, within the limits on memory and descriptors."""

from __future__ import annotations

import asyncio
import logging
import resource
from http import HTTPStatus
from typing import NamedTuple

from rainturn import interface as it
from rainturn.node.client_listener import ClientListener
from rainturn.node.clock import Clock
from rainturn.node.configuration import Config
from rainturn.node.control import MAX_CONNECTIONS, Answer, ControlListener, Route
from rainturn.node.counter_client import CounterClient
from rainturn.node.discovery import Discovery
from rainturn.node.gateway import Node
from rainturn.node.host_pools import HostPools
from rainturn.node.memory_account import MemoryAccount, account_limit, customer_limit, resident_bytes
from rainturn.settings import Names

log = logging.getLogger(__name__)

# Descriptors that connections of clients and hosts may not use: for the event loop, the log, listeners,
# discovery, the counter, and a connection that is being closed.
RESERVED_DESCRIPTORS = 48
HOSTS_SHARE = 0.4  # fraction of the connection budget that connections to hosts may use


class NoCounter:
    """Replaces the counter client if the settings have no counter."""

    def call(self, name: int, amount: float, ttl: float) -> None:
        """Raise RuntimeError: without a counter, no call is permitted."""
        raise RuntimeError("the settings permit no counter calls")

    def change_address(self, address: tuple[str, int]) -> None:
        """Ignore a new address."""


def apply_limits(config: Config) -> int:
    """Limit the process's data segment, and return how many descriptors it may hold.

    If the system's limit on descriptors is lower than the configured number, it is raised to that number, or
    as far as the system permits.
    """
    data = int(config.memory_mb * (1 << 20))
    _, hard = resource.getrlimit(resource.RLIMIT_DATA)
    if hard == resource.RLIM_INFINITY or data < hard:
        # An oversized allocation then fails with MemoryError, and the kernel does not kill the process.
        resource.setrlimit(resource.RLIMIT_DATA, (data, hard))
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < config.sockets:
        soft = config.sockets if hard == resource.RLIM_INFINITY else min(hard, config.sockets)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    return config.sockets if soft == resource.RLIM_INFINITY else min(soft, config.sockets)


class Parts(NamedTuple):
    """The parts of a gateway."""

    node: Node
    pools: HostPools
    clients: ClientListener
    discovery: Discovery
    counter: CounterClient | NoCounter
    control: ControlListener
    connection_budget: int  # maximum number of connections of clients and hosts together

    def split_budget(self, budget: int) -> None:
        """Split a connection budget between hosts and clients."""
        self.pools.max_connections = int(budget * HOSTS_SHARE)
        self.clients.budget = budget - self.pools.max_connections


def routes(node: Node, clients: ClientListener, names: Names) -> dict[bytes, dict[bytes, Route]]:
    """Return the handlers of the operators' HTTP calls, by path and method."""

    def ready() -> Answer:
        if node.is_ready():
            return HTTPStatus.OK, "ready\n"
        return HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n"

    def counters() -> Answer:
        return HTTPStatus.OK, node.metrics.report(
            names.classes,
            {
                "in_progress": node.in_progress(),
                "known_hosts": node.decision_module.listed_count(),
                "skipped_hosts": node.decision_module.skipped_count(),
            },
            node.end_log.counts,
        )

    def set_in_service(in_service: bool) -> Answer:
        log.info("control: %s", "in service" if in_service else "out of service")
        node.dispatch(it.InService(in_service))
        clients.set_in_service(in_service)
        return HTTPStatus.OK, "in service\n" if in_service else "out of service\n"

    return {
        b"/control/ready": {b"GET": ready},
        b"/control/counters": {b"GET": counters},
        b"/control/out-of-service": {b"PUT": lambda: set_in_service(False)},
        b"/control/in-service": {b"PUT": lambda: set_in_service(True)},
    }


def assemble(
    config: Config, descriptors: int, loop: asyncio.AbstractEventLoop, clock: Clock | None = None
) -> Parts:
    """Build a gateway that starts with the hosts last known, if the configuration lists any."""
    memory = MemoryAccount(0, loop)
    node = Node(config.settings, config.seed, clock or Clock(), loop, memory)
    budget = max(8, descriptors - RESERVED_DESCRIPTORS - (MAX_CONNECTIONS if config.control else 0))
    pools = node.hosts = HostPools(node, config.idle_ms, int(budget * HOSTS_SHARE))
    counter = node.counter = CounterClient(node, config.counter) if config.counter else NoCounter()
    clients = ClientListener(node, config.names, budget - pools.max_connections, config.max_open)
    discovery = Discovery(node, pools, config.names.zones, config.discovery, config.seed)
    if config.known is not None:
        try:
            discovery.apply(config.known, cached=True)
        except ValueError as error:
            log.warning("known hosts passed over: %s", error)
    node.decision_module.limit_customers(customer_limit(config.memory_mb))
    program_bytes = resident_bytes()
    memory.set_limits(
        account_limit(config.memory_mb, descriptors, program_bytes),
        account_limit(config.memory_mb / 2, descriptors // 2, program_bytes),
    )
    return Parts(
        node,
        pools,
        clients,
        discovery,
        counter,
        ControlListener(loop, routes(node, clients, config.names)),
        budget,
    )


def share_connection_budget(parts: Parts, other_descriptors: int | None, is_older: bool) -> None:
    """Divide the connection budget of a gateway between its two processes during a handover.

    `other_descriptors` is how many descriptors the other process holds, or None once it has ended; this
    process then has the whole budget again.
    """
    if other_descriptors is None:
        parts.split_budget(parts.connection_budget)
    elif is_older:  # opens connections up to half of the budget, and keeps those that it has
        open_now = (
            len(parts.clients.connections) + parts.pools.open_connections + parts.pools.connecting_count
        )
        parts.split_budget(max(parts.connection_budget // 2, open_now))
    else:
        parts.split_budget(
            max(8, parts.connection_budget - max(parts.connection_budget // 2, other_descriptors))
        )
    parts.node.dispatch(it.ProcessOverlap(other_descriptors is not None, is_older))
