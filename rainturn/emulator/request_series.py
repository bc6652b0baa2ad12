"""Slopes of a real gateway's request path against hosts: processor time per request, and added time."""

from __future__ import annotations

import time
from collections.abc import Mapping
from functools import partial

from rainturn.emulator.commands import (
    ChangeHosts,
    ClientReading,
    GetReading,
    Listen,
    ReplaceHostList,
    StartLoad,
    StopLoad,
    TargetGateways,
)
from rainturn.emulator.gateway_roles import ClientRole
from rainturn.emulator.lab import RunContext
from rainturn.emulator.measurements import Quantity, Slope
from rainturn.emulator.real_gateway import RealGateway
from rainturn.emulator.service_roles import CounterRole, DiscoveryRole, HostRole
from rainturn.emulator.slopes import measure_slopes
from rainturn.emulator.workers import WorkerFailed

ROLE, PER = "gateway request path", "hosts"
LABEL = "real"
HOST_PORTS = 8
MAX_TENANTS = 2000

REQUEST_CPU = Quantity(ROLE, "request_cpu", "us", PER)
ADDED_P50 = Quantity(ROLE, "added_p50", "ms", PER)
ADDED_P99 = Quantity(ROLE, "added_p99", "ms", PER)
CHANGING_P50 = Quantity(ROLE, "added_p50_with_changes", "ms", PER)
CHANGING_P99 = Quantity(ROLE, "added_p99_with_changes", "ms", PER)
CHANGING_MAX = Quantity(ROLE, "added_most_with_changes", "ms", PER)
# The same clients directly at a host: the time that the stand-ins and the machine add without a gateway.
DIRECT_P50 = Quantity(ROLE, "added_p50_without_gateway", "ms", PER)
DIRECT_P99 = Quantity(ROLE, "added_p99_without_gateway", "ms", PER)
MEMORY = Quantity(ROLE, "process_memory", "MB", PER)
QUANTITIES = (
    REQUEST_CPU,
    DIRECT_P50,
    DIRECT_P99,
    ADDED_P50,
    ADDED_P99,
    CHANGING_P50,
    CHANGING_P99,
    CHANGING_MAX,
    MEMORY,
)


class RequestTestBench:
    """The stand-ins that all sizes share, for one real gateway at a time."""

    def __init__(self, context: RunContext, requests_per_second: float) -> None:
        self.context, self.requests_per_second = context, requests_per_second
        seed = context.options.seed
        self.discovery, self.counter = (
            context.start_worker(partial(DiscoveryRole, seed)),
            context.start_worker(CounterRole),
        )
        self.host = context.start_worker(partial(HostRole, HOST_PORTS, seed))
        self.client = context.start_worker(partial(ClientRole, seed))
        for worker in (self.discovery, self.counter, self.client):
            worker.ready()
        self.host_addresses: tuple[str, ...] = self.host.ready()
        self.addresses = (self.discovery.ask(Listen(LABEL)), self.counter.ask(Listen(LABEL)))

    def load_command(self) -> StartLoad:
        """Return the command that starts the load of one gateway."""
        options = self.context.options
        return StartLoad(self.requests_per_second, min(options.tenants, MAX_TENANTS), 1, options.seed)

    def read(self) -> ClientReading:
        """Return the figures of the clients since the last reading."""
        reading: ClientReading = self.client.ask(GetReading())
        return reading

    def measure_direct(self, seconds: float) -> ClientReading:
        """Measure the same load directly at a host, without a gateway."""
        host, _, port = self.host_addresses[0].rpartition(":")
        self.client.ask(TargetGateways({0: (host, int(port))}))
        self.client.ask(self.load_command())
        time.sleep(self.context.settle_s)
        self.read()
        time.sleep(seconds)
        reading = self.read()
        self.client.ask(StopLoad())
        return reading

    def stop(self) -> None:
        """Stop the stand-ins."""
        self.context.stop(self.client, self.host, self.counter, self.discovery)


def measure_requests(bench: RequestTestBench, hosts: int) -> Mapping[str, float]:
    """Measure one real gateway with `hosts` hosts: idle, with requests, and with requests and changes."""
    context, seconds = bench.context, bench.context.options.window_s
    context.check_limits()
    bench.discovery.ask(ReplaceHostList(hosts, bench.host_addresses))
    direct = bench.measure_direct(seconds)
    gateway = context.start_gateway(RealGateway(0, 1, *bench.addresses, seed=context.options.seed))
    try:
        if not bench.client.ask(TargetGateways({0: gateway.address})):
            raise WorkerFailed("a real gateway was not ready: " + gateway.log()[-500:])
        time.sleep(context.settle_s)
        idle_cpu = _measure_idle_cpu(gateway, seconds / 2)
        bench.client.ask(bench.load_command())
        time.sleep(context.settle_s)
        before, started_at, cpu_s = bench.read(), time.monotonic(), gateway.resource_usage().cpu_s
        time.sleep(seconds)
        steady = bench.read()
        cpu_s = gateway.resource_usage().cpu_s - cpu_s - idle_cpu * (time.monotonic() - started_at)
        interval_s = 1.0 / context.options.changes_per_second
        bench.discovery.ask(ChangeHosts(max(1, round(seconds / interval_s)), interval_s=interval_s))
        changing = bench.read()
        bench.client.ask(StopLoad())
        memory_mb = gateway.resource_usage().memory_mb
    finally:
        context.stop(gateway)
    return {
        REQUEST_CPU.name: 1e6 * cpu_s / max(1, steady.requests - before.requests),
        DIRECT_P50.name: direct.added_p50_ms,
        DIRECT_P99.name: direct.added_p99_ms,
        ADDED_P50.name: steady.added_p50_ms,
        ADDED_P99.name: steady.added_p99_ms,
        CHANGING_P50.name: changing.added_p50_ms,
        CHANGING_P99.name: changing.added_p99_ms,
        CHANGING_MAX.name: changing.added_max_ms,
        MEMORY.name: memory_mb,
    }


def _measure_idle_cpu(gateway: RealGateway, seconds: float) -> float:
    cpu_s, started_at = gateway.resource_usage().cpu_s, time.monotonic()
    time.sleep(seconds)
    return (gateway.resource_usage().cpu_s - cpu_s) / (time.monotonic() - started_at)


def run_request_series(
    context: RunContext, sizes: tuple[int, ...], held_out_size: int, requests_per_second: float
) -> list[Slope]:
    """Measure the slopes of the request path, each with a held-out size."""
    bench = RequestTestBench(context, requests_per_second)
    slopes = measure_slopes(QUANTITIES, sizes, held_out_size, partial(measure_requests, bench), context.log)
    bench.stop()
    return slopes
