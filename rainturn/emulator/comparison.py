"""Hollow gateways against real ones at the same size: messages, bytes and processor time of one instance."""

from __future__ import annotations

import time
from dataclasses import dataclass
from functools import partial

from rainturn.emulator.commands import (
    AwaitReady,
    ChangeHosts,
    ClientReading,
    HollowReading,
    Join,
    Listen,
    Read,
    ServiceReading,
    SetList,
    StartLoad,
    StopLoad,
)
from rainturn.emulator.gateway_roles import ClientRole, HollowRole
from rainturn.emulator.hollow import Addresses
from rainturn.emulator.lab import Lab
from rainturn.emulator.measurements import Comparison
from rainturn.emulator.real_gateway import RealGateway
from rainturn.emulator.service_roles import CounterRole, DiscoveryRole, HostRole
from rainturn.emulator.traffic import Traffic
from rainturn.emulator.workers import Worker, WorkerFailed, ask_all

HOLLOW, REAL = "hollow", "real"
EACH = 3  # gateways of each kind
WITHIN = 0.15
HOST_PORTS = 8
LEAST_HOSTS = 200
FIXED_TEXT = (
    "a hollow gateway has no sockets of clients and hosts and does not look after client connections: what "
    "that costs, measured at {hosts} hosts and {rate:g} requests/s a gateway, is added"
)


@dataclass(frozen=True)
class Reading:
    """What the gateways of one kind have done together: processor time in s, requests and traffic."""

    cpu_s: float
    requests: int
    discovery: Traffic
    counter: Traffic


@dataclass(frozen=True)
class Window:
    """One kind's figures over a window."""

    seconds: float
    cpu_s: float
    requests: int
    discovery: Traffic
    counter: Traffic


@dataclass(frozen=True)
class Size:
    """A size at which both kinds are measured: windows of `seconds`, requests a second at each gateway."""

    hosts: int
    requests_per_second: float
    seconds: float
    changes: int


class Pair:
    """Real gateways, and hollow ones of the same numbers, with the same list and the same draws of requests.

    They share discovery; each kind has a counter of its own, so that neither uses up the other's quotas. Each
    hollow gateway has a process to itself here, as a real one has: several in one process find its code and
    data in the processor's caches, and cost less.
    """

    def __init__(self, lab: Lab) -> None:
        self.lab = lab
        seed = lab.options.seed
        self.discovery = lab.start(partial(DiscoveryRole, seed))
        self.counters = {kind: lab.start(CounterRole) for kind in (HOLLOW, REAL)}
        self.host = lab.start(partial(HostRole, HOST_PORTS, seed))
        self.client = lab.start(partial(ClientRole, seed))
        for worker in (self.discovery, *self.counters.values(), self.client):
            worker.ready()
        self.dials: tuple[str, ...] = self.host.ready()
        at = {
            kind: Addresses(self.discovery.ask(Listen(kind)), self.counters[kind].ask(Listen(kind)))
            for kind in (HOLLOW, REAL)
        }
        role = partial(HollowRole, EACH, at[HOLLOW], seed)
        self.hollow = [lab.start(role) for _ in range(EACH)]
        for worker in self.hollow:
            worker.ready()
        self.real = [
            lab.real(RealGateway(number, EACH, at[REAL].discovery, at[REAL].counter, seed * 100 + number))
            for number in range(EACH)
        ]
        for number, worker in enumerate(self.hollow):
            worker.ask(Join((number,)))
        self.relist(LEAST_HOSTS)
        ready = AwaitReady({gateway.number: gateway.address for gateway in self.real})
        if not self.client.ask(ready):
            raise WorkerFailed("a real gateway was not ready: " + self.real[0].log()[-500:])

    def workers(self) -> tuple[Worker, ...]:
        """All processes but the real gateways."""
        return (*self.hollow, self.client, self.host, self.discovery, *self.counters.values())

    def read(self) -> dict[str, Reading]:
        """What both kinds have done so far."""
        discovery: ServiceReading = self.discovery.ask(Read())
        counted: dict[str, ServiceReading] = {kind: c.ask(Read()) for kind, c in self.counters.items()}
        hollow: list[HollowReading] = ask_all(self.hollow, Read())
        client: ClientReading = self.client.ask(Read())
        real_s = sum(gateway.resource_usage().cpu_s for gateway in self.real)
        cpu_s = {HOLLOW: sum(reading.cpu_s for reading in hollow), REAL: real_s}
        requests = {HOLLOW: sum(h.requests for h in hollow), REAL: client.requests}
        return {
            kind: Reading(cpu_s[kind], requests[kind], discovery.traffic[kind], counted[kind].traffic[kind])
            for kind in (HOLLOW, REAL)
        }

    def since(self, before: dict[str, Reading], began: float) -> dict[str, Window]:
        """What both kinds have done since a reading."""
        now, seconds = self.read(), time.monotonic() - began
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

    def relist(self, hosts: int) -> None:
        """Begin anew with so many hosts; all gateways get the whole list."""
        self.discovery.ask(SetList(hosts, self.dials))
        self.discovery.ask(ChangeHosts(0, watchers=2 * EACH))

    def quiet(self, seconds: float) -> dict[str, Window]:
        """A window with neither changes nor requests."""
        self.lab.check()
        before, began = self.read(), time.monotonic()
        time.sleep(seconds)
        return self.since(before, began)

    def changing(self, changes: int) -> dict[str, Window]:
        """A window with changes, each once all have the one before."""
        before, began = self.read(), time.monotonic()
        self.discovery.ask(ChangeHosts(changes, watchers=2 * EACH))
        return self.since(before, began)

    def loaded(self, per_gateway: float, seconds: float, dry: bool = False) -> dict[str, Window]:
        """A window with so many requests a second at each gateway; dry: at none, but drawn and made."""
        options = self.lab.options
        load = StartLoad(per_gateway * EACH, min(options.tenants, 2000), EACH, options.seed, dry)
        drawing = self.hollow if dry else [*self.hollow, self.client]
        ask_all(drawing, load)
        time.sleep(self.lab.settle_s)
        window = self.quiet(seconds)
        ask_all(drawing, StopLoad())
        time.sleep(self.lab.settle_s / 3)
        return window

    def end(self) -> None:
        """End all of it."""
        self.lab.end(*self.real, *self.workers())


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
CORRECTED = ("idle_cpu", "request_cpu")  # a change costs both kinds the same


def _bytes(traffic: Traffic) -> int:
    return traffic.bytes_in + traffic.bytes_out


def measure_pair(pair: Pair, size: Size, draw_us: float) -> Figures:
    """Both kinds' figures at one size; `draw_us` is what drawing and making a hollow request costs itself."""
    pair.relist(size.hosts)
    quiet = pair.quiet(size.seconds)
    changing = pair.changing(size.changes)
    loaded = pair.loaded(size.requests_per_second, size.seconds)
    figures: Figures = {name: {} for name in UNITS}
    for kind in (HOLLOW, REAL):
        still, moving, busy = quiet[kind], changing[kind], loaded[kind]
        idle = still.cpu_s / still.seconds  # of all of the kind
        requests = max(1, busy.requests)
        own_us = draw_us if kind == HOLLOW else 0.0
        found = {
            "discovery_calls": still.discovery.messages_in / still.seconds / EACH,
            "discovery_bytes": _bytes(still.discovery) / still.seconds / EACH,
            "one_change_bytes": _bytes(moving.discovery) / size.changes / EACH,
            "counter_calls_per_request": busy.counter.messages_in / requests,
            "counter_bytes_per_request": _bytes(busy.counter) / requests,
            "idle_cpu": 1000 * idle / EACH,
            "one_change_cpu": 1000 * (moving.cpu_s - idle * moving.seconds) / size.changes / EACH,
            "request_cpu": 1e6 * (busy.cpu_s - idle * busy.seconds) / requests - own_us,
        }
        for name, value in found.items():
            figures[name][kind] = value
    return figures


def compare(name: str, hosts: int, at: Figures, calibrated: Figures, why: str) -> Comparison:
    """One figure, hollow against real; what a hollow gateway leaves out is taken from another size."""
    hollow, real = at[name][HOLLOW], at[name][REAL]
    corrected = name in CORRECTED
    correction = calibrated[name][REAL] - calibrated[name][HOLLOW] if corrected else 0.0
    ratio = (hollow + correction) / real if real else float(hollow + correction == 0)
    within = abs(ratio - 1) <= WITHIN
    return Comparison(name, UNITS[name], hosts, hollow, real, correction, ratio, within, why * corrected)


def run_comparison(lab: Lab) -> list[Comparison]:
    """All comparisons at one size, with corrections from a smaller one."""
    quick = lab.options.quick
    seconds, changes, rate = lab.options.window_s, 60 if quick else 200, 60.0 if quick else 100.0
    hosts = min(lab.options.hosts, 800 if quick else 4000)
    small = Size(min(LEAST_HOSTS, hosts // 2), rate, seconds, changes)
    pair = Pair(lab)
    still = pair.quiet(seconds / 2)[HOLLOW]
    dry = pair.loaded(rate, seconds, dry=True)[HOLLOW]
    draw_us = 1e6 * (dry.cpu_s - still.cpu_s * dry.seconds / still.seconds) / max(1, dry.requests)
    calibrated = measure_pair(pair, small, draw_us)
    found = measure_pair(pair, Size(hosts, rate, seconds, changes), draw_us)
    pair.end()
    why = FIXED_TEXT.format(hosts=small.hosts, rate=small.requests_per_second)
    comparisons = [compare(name, hosts, found, calibrated, why) for name in UNITS]
    for one in comparisons:
        lab.say(
            f"  {one.quantity}: hollow {one.hollow:.4g} + {one.correction:.4g}, real {one.real:.4g} "
            f"{one.unit}, ratio {one.ratio:.2f}" + ("" if one.within else ": not within 15%")
        )
    return comparisons
