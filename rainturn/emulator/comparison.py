"""A comparison of hollow and real gateways at the same size: messages, bytes and processor time of each."""

from __future__ import annotations

import time
from dataclasses import dataclass
from functools import partial

from rainturn.emulator.commands import (
    ChangeHosts,
    ClientReading,
    GetReading,
    HollowReading,
    Listen,
    ReplaceHostList,
    ServiceReading,
    StartGateways,
    StartLoad,
    StopLoad,
    TargetGateways,
)
from rainturn.emulator.gateway_roles import ClientRole, HollowRole
from rainturn.emulator.hollow import Addresses
from rainturn.emulator.lab import RunContext
from rainturn.emulator.measurements import Comparison
from rainturn.emulator.real_gateway import RealGateway
from rainturn.emulator.service_roles import CounterRole, DiscoveryRole, HostRole
from rainturn.emulator.traffic import Traffic
from rainturn.emulator.workers import Worker, WorkerFailed, ask_all

HOLLOW, REAL = "hollow", "real"
GATEWAYS_PER_KIND = 3
MAX_DEVIATION = 0.15  # of the ratio from 1
HOST_PORTS = 8
MIN_HOSTS = 200
CORRECTION_EXPLANATION = (
    "a hollow gateway has no sockets of clients and hosts and does not look after client connections: what "
    "that costs, measured at {hosts} hosts and {rate:g} requests/s a gateway, is added"
)


@dataclass(frozen=True)
class Reading:
    """Totals of all gateways of one kind so far: processor time in s, requests and traffic."""

    cpu_s: float
    requests: int
    discovery: Traffic
    counter: Traffic


@dataclass(frozen=True)
class Window:
    """Totals of all gateways of one kind over a period of `seconds`."""

    seconds: float
    cpu_s: float
    requests: int
    discovery: Traffic
    counter: Traffic


@dataclass(frozen=True)
class Size:
    """A size at which both kinds are measured.

    Each window takes `seconds`; `requests_per_second` applies to each gateway.
    """

    hosts: int
    requests_per_second: float
    seconds: float
    changes: int


class GatewayPairs:
    """Real and hollow gateways with the same numbers, the same host list and the same drawn requests.

    Both kinds share discovery. Each kind has its own counter, so that neither uses up the other's quotas.
    Each hollow gateway has a process of its own here, as a real one has: several in one process would find
    their code and data in the processor's caches, and cost less.
    """

    def __init__(self, context: RunContext) -> None:
        self.context = context
        seed = context.options.seed
        self.discovery = context.start_worker(partial(DiscoveryRole, seed))
        self.counters = {kind: context.start_worker(CounterRole) for kind in (HOLLOW, REAL)}
        self.host = context.start_worker(partial(HostRole, HOST_PORTS, seed))
        self.client = context.start_worker(partial(ClientRole, seed))
        for worker in (self.discovery, *self.counters.values(), self.client):
            worker.ready()
        self.host_addresses: tuple[str, ...] = self.host.ready()
        addresses = {
            kind: Addresses(self.discovery.ask(Listen(kind)), self.counters[kind].ask(Listen(kind)))
            for kind in (HOLLOW, REAL)
        }
        role = partial(HollowRole, GATEWAYS_PER_KIND, addresses[HOLLOW], seed)
        self.hollow = [context.start_worker(role) for _ in range(GATEWAYS_PER_KIND)]
        for worker in self.hollow:
            worker.ready()
        self.real = [
            context.start_gateway(
                RealGateway(
                    number,
                    GATEWAYS_PER_KIND,
                    addresses[REAL].discovery,
                    addresses[REAL].counter,
                    seed * 100 + number,
                )
            )
            for number in range(GATEWAYS_PER_KIND)
        ]
        for number, worker in enumerate(self.hollow):
            worker.ask(StartGateways((number,)))
        self.replace_host_list(MIN_HOSTS)
        target = TargetGateways({gateway.number: gateway.address for gateway in self.real})
        if not self.client.ask(target):
            raise WorkerFailed("a real gateway was not ready: " + self.real[0].log()[-500:])

    def workers(self) -> tuple[Worker, ...]:
        """Return all processes except the real gateways."""
        return (*self.hollow, self.client, self.host, self.discovery, *self.counters.values())

    def read(self) -> dict[str, Reading]:
        """Return the totals of both kinds so far."""
        discovery: ServiceReading = self.discovery.ask(GetReading())
        counters: dict[str, ServiceReading] = {
            kind: worker.ask(GetReading()) for kind, worker in self.counters.items()
        }
        hollow: list[HollowReading] = ask_all(self.hollow, GetReading())
        client: ClientReading = self.client.ask(GetReading())
        real_cpu_s = sum(gateway.resource_usage().cpu_s for gateway in self.real)
        cpu_s = {HOLLOW: sum(reading.cpu_s for reading in hollow), REAL: real_cpu_s}
        requests = {HOLLOW: sum(reading.requests for reading in hollow), REAL: client.requests}
        return {
            kind: Reading(cpu_s[kind], requests[kind], discovery.traffic[kind], counters[kind].traffic[kind])
            for kind in (HOLLOW, REAL)
        }

    def since(self, before: dict[str, Reading], started_at: float) -> dict[str, Window]:
        """Return what both kinds have done since a reading that was taken at `started_at` (monotonic, s)."""
        now, seconds = self.read(), time.monotonic() - started_at
        return {
            kind: Window(
                seconds,
                now[kind].cpu_s - before[kind].cpu_s,
                now[kind].requests - before[kind].requests,
                now[kind].discovery.since(before[kind].discovery),
                now[kind].counter.since(before[kind].counter),
            )
            for kind in (HOLLOW, REAL)
        }

    def replace_host_list(self, hosts: int) -> None:
        """Replace the host list with one of `hosts` hosts, and wait until all gateways have it."""
        self.discovery.ask(ReplaceHostList(hosts, self.host_addresses))
        self.discovery.ask(ChangeHosts(0, watchers=2 * GATEWAYS_PER_KIND))

    def measure_idle(self, seconds: float) -> dict[str, Window]:
        """Measure a window of `seconds` without causing changes or requests."""
        self.context.check_limits()
        before, started_at = self.read(), time.monotonic()
        time.sleep(seconds)
        return self.since(before, started_at)

    def measure_changes(self, changes: int) -> dict[str, Window]:
        """Measure `changes` changes of a host; each follows when all gateways have the one before it."""
        before, started_at = self.read(), time.monotonic()
        self.discovery.ask(ChangeHosts(changes, watchers=2 * GATEWAYS_PER_KIND))
        return self.since(before, started_at)

    def measure_load(
        self, requests_per_second: float, seconds: float, dry_run: bool = False
    ) -> dict[str, Window]:
        """Measure a window with `requests_per_second` at each gateway.

        With `dry_run`, the requests of the hollow gateways are drawn and built, but no gateway gets them.
        """
        options = self.context.options
        load = StartLoad(
            requests_per_second * GATEWAYS_PER_KIND,
            min(options.tenants, 2000),
            GATEWAYS_PER_KIND,
            options.seed,
            dry_run,
        )
        load_workers = self.hollow if dry_run else [*self.hollow, self.client]
        ask_all(load_workers, load)
        time.sleep(self.context.settle_s)
        window = self.measure_idle(seconds)
        ask_all(load_workers, StopLoad())
        time.sleep(self.context.settle_s / 3)
        return window

    def stop(self) -> None:
        """Stop all processes."""
        self.context.stop(*self.real, *self.workers())


Figures = dict[str, dict[str, float]]  # by quantity and kind, for one gateway
UNITS = {
    "discovery_calls": "calls/s",
    "discovery_bytes": "bytes/s",
    "one_change_bytes": "bytes",
    "counter_calls_per_request": "calls",
    "counter_bytes_per_request": "bytes",
    "idle_cpu": "ms/s",
    "one_change_cpu": "ms",
    "request_cpu": "us",
}
# Without one_change_cpu: a change of the host list costs both kinds the same.
CORRECTED_QUANTITIES = ("idle_cpu", "request_cpu")


def _total_bytes(traffic: Traffic) -> int:
    return traffic.bytes_in + traffic.bytes_out


def measure_size(gateways: GatewayPairs, size: Size, draw_us: float) -> Figures:
    """Measure both kinds at one size.

    `draw_us` is the processor time of drawing and building one request, in µs; it is subtracted for hollow
    gateways, whose processes draw their own requests.
    """
    gateways.replace_host_list(size.hosts)
    idle_windows = gateways.measure_idle(size.seconds)
    changing_windows = gateways.measure_changes(size.changes)
    loaded_windows = gateways.measure_load(size.requests_per_second, size.seconds)
    figures: Figures = {name: {} for name in UNITS}
    for kind in (HOLLOW, REAL):
        idle, changing, loaded = idle_windows[kind], changing_windows[kind], loaded_windows[kind]
        idle_cpu = idle.cpu_s / idle.seconds  # of all gateways of the kind together
        requests = max(1, loaded.requests)
        excluded_us = draw_us if kind == HOLLOW else 0.0
        values = {
            "discovery_calls": idle.discovery.messages_in / idle.seconds / GATEWAYS_PER_KIND,
            "discovery_bytes": _total_bytes(idle.discovery) / idle.seconds / GATEWAYS_PER_KIND,
            "one_change_bytes": _total_bytes(changing.discovery) / size.changes / GATEWAYS_PER_KIND,
            "counter_calls_per_request": loaded.counter.messages_in / requests,
            "counter_bytes_per_request": _total_bytes(loaded.counter) / requests,
            "idle_cpu": 1000 * idle_cpu / GATEWAYS_PER_KIND,
            "one_change_cpu": 1000
            * (changing.cpu_s - idle_cpu * changing.seconds)
            / size.changes
            / GATEWAYS_PER_KIND,
            "request_cpu": 1e6 * (loaded.cpu_s - idle_cpu * loaded.seconds) / requests - excluded_us,
        }
        for name, value in values.items():
            figures[name][kind] = value
    return figures


def compare(name: str, hosts: int, figures: Figures, calibration: Figures, explanation: str) -> Comparison:
    """Compare one figure of hollow and real gateways.

    `calibration` holds the figures at another size, from which the correction for work that a hollow gateway
    does not do is calculated.
    """
    hollow, real = figures[name][HOLLOW], figures[name][REAL]
    is_corrected = name in CORRECTED_QUANTITIES
    correction = calibration[name][REAL] - calibration[name][HOLLOW] if is_corrected else 0.0
    ratio = (hollow + correction) / real if real else float(hollow + correction == 0)
    within = abs(ratio - 1) <= MAX_DEVIATION
    return Comparison(
        name, UNITS[name], hosts, hollow, real, correction, ratio, within, explanation * is_corrected
    )


def run_comparison(context: RunContext) -> list[Comparison]:
    """Compare all figures at one size, with corrections from a smaller size."""
    quick = context.options.quick
    seconds, changes, rate = context.options.window_s, 60 if quick else 200, 60.0 if quick else 100.0
    hosts = min(context.options.hosts, 800 if quick else 4000)
    calibration_size = Size(min(MIN_HOSTS, hosts // 2), rate, seconds, changes)
    gateways = GatewayPairs(context)
    idle = gateways.measure_idle(seconds / 2)[HOLLOW]
    dry_window = gateways.measure_load(rate, seconds, dry_run=True)[HOLLOW]
    draw_us = (
        1e6
        * (dry_window.cpu_s - idle.cpu_s * dry_window.seconds / idle.seconds)
        / max(1, dry_window.requests)
    )
    calibration = measure_size(gateways, calibration_size, draw_us)
    figures = measure_size(gateways, Size(hosts, rate, seconds, changes), draw_us)
    gateways.stop()
    explanation = CORRECTION_EXPLANATION.format(
        hosts=calibration_size.hosts, rate=calibration_size.requests_per_second
    )
    comparisons = [compare(name, hosts, figures, calibration, explanation) for name in UNITS]
    for comparison in comparisons:
        context.log(
            f"  {comparison.quantity}: hollow {comparison.hollow:.4g} + {comparison.correction:.4g}, "
            f"real {comparison.real:.4g} {comparison.unit}, ratio {comparison.ratio:.2f}"
            + ("" if comparison.within else ": not within 15%")
        )
    return comparisons
