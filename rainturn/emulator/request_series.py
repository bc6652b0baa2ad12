"""A real gateway's request path against hosts: processor time a request, and the time that it adds."""

from __future__ import annotations

import time
from collections.abc import Mapping
from functools import partial

from rainturn.emulator.commands import (
    AwaitReady,
    ChangeHosts,
    ClientReading,
    Listen,
    Read,
    SetList,
    StartLoad,
    StopLoad,
)
from rainturn.emulator.gateway_roles import ClientRole
from rainturn.emulator.lab import Lab
from rainturn.emulator.measurements import Quantity, Slope
from rainturn.emulator.real_gateway import RealGateway
from rainturn.emulator.service_roles import CounterRole, DiscoveryRole, HostRole
from rainturn.emulator.slopes import measure_slopes
from rainturn.emulator.workers import WorkerFailed

ROLE, PER = "gateway request path", "hosts"
LABEL = "real"
HOST_PORTS = 8
MOST_TENANTS = 2000

REQUEST_CPU = Quantity(ROLE, "request_cpu", "us", PER)
ADDED_P50 = Quantity(ROLE, "added_p50", "ms", PER)
ADDED_P99 = Quantity(ROLE, "added_p99", "ms", PER)
CHANGING_P50 = Quantity(ROLE, "added_p50_with_changes", "ms", PER)
CHANGING_P99 = Quantity(ROLE, "added_p99_with_changes", "ms", PER)
CHANGING_MOST = Quantity(ROLE, "added_most_with_changes", "ms", PER)
# The same clients straight to a host: what the stand-ins and the machine add without a gateway.
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
    CHANGING_MOST,
    MEMORY,
)


class Bench:
    """One real gateway at a time, before stand-ins that all sizes share."""

    def __init__(self, lab: Lab, requests_per_second: float) -> None:
        self.lab, self.rate = lab, requests_per_second
        seed = lab.options.seed
        self.discovery, self.counter = lab.start(partial(DiscoveryRole, seed)), lab.start(CounterRole)
        self.host = lab.start(partial(HostRole, HOST_PORTS, seed))
        self.client = lab.start(partial(ClientRole, seed))
        for worker in (self.discovery, self.counter, self.client):
            worker.ready()
        self.dials: tuple[str, ...] = self.host.ready()
        self.at = (self.discovery.ask(Listen(LABEL)), self.counter.ask(Listen(LABEL)))

    def load(self) -> StartLoad:
        """The load of one gateway."""
        options = self.lab.options
        return StartLoad(self.rate, min(options.tenants, MOST_TENANTS), 1, options.seed)

    def read(self) -> ClientReading:
        """What clients saw since the last reading."""
        reading: ClientReading = self.client.ask(Read())
        return reading

    def direct(self, seconds: float) -> ClientReading:
        """The same load on a host without a gateway between."""
        host, _, port = self.dials[0].rpartition(":")
        self.client.ask(AwaitReady({0: (host, int(port))}))
        self.client.ask(self.load())
        time.sleep(self.lab.settle_s)
        self.read()
        time.sleep(seconds)
        reading = self.read()
        self.client.ask(StopLoad())
        return reading

    def end(self) -> None:
        """End the stand-ins."""
        self.lab.end(self.client, self.host, self.counter, self.discovery)


def measure_requests(bench: Bench, hosts: int) -> Mapping[str, float]:
    """One real gateway with so many hosts: quiet, with requests, and with requests and changes."""
    lab, seconds = bench.lab, bench.lab.options.window_s
    lab.check()
    bench.discovery.ask(SetList(hosts, bench.dials))
    direct = bench.direct(seconds)
    gateway = lab.real(RealGateway(0, 1, *bench.at, seed=lab.options.seed))
    try:
        if not bench.client.ask(AwaitReady({0: gateway.address})):
            raise WorkerFailed("a real gateway was not ready: " + gateway.log()[-500:])
        time.sleep(lab.settle_s)
        idle = _cpu_per_s(gateway, seconds / 2)
        bench.client.ask(bench.load())
        time.sleep(lab.settle_s)
        before, began, used = bench.read(), time.monotonic(), gateway.resource_usage().cpu_s
        time.sleep(seconds)
        quiet = bench.read()
        used = gateway.resource_usage().cpu_s - used - idle * (time.monotonic() - began)
        every_s = 1.0 / lab.options.changes_per_second
        bench.discovery.ask(ChangeHosts(max(1, round(seconds / every_s)), interval_s=every_s))
        changing = bench.read()
        bench.client.ask(StopLoad())
        held_mb = gateway.resource_usage().memory_mb
    finally:
        lab.end(gateway)
    return {
        REQUEST_CPU.name: 1e6 * used / max(1, quiet.requests - before.requests),
        DIRECT_P50.name: direct.added_p50_ms,
        DIRECT_P99.name: direct.added_p99_ms,
        ADDED_P50.name: quiet.added_p50_ms,
        ADDED_P99.name: quiet.added_p99_ms,
        CHANGING_P50.name: changing.added_p50_ms,
        CHANGING_P99.name: changing.added_p99_ms,
        CHANGING_MOST.name: changing.added_max_ms,
        MEMORY.name: held_mb,
    }


def _cpu_per_s(gateway: RealGateway, seconds: float) -> float:
    used, began = gateway.resource_usage().cpu_s, time.monotonic()
    time.sleep(seconds)
    return (gateway.resource_usage().cpu_s - used) / (time.monotonic() - began)


def run_request_series(
    lab: Lab, sizes: tuple[int, ...], held_out: int, requests_per_second: float
) -> list[Slope]:
    """The slopes of the request path."""
    bench = Bench(lab, requests_per_second)
    slopes = measure_slopes(QUANTITIES, sizes, held_out, partial(measure_requests, bench), lab.say)
    bench.end()
    return slopes
