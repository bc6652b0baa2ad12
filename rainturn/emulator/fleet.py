"""A fleet of hollow gateways in several processes, and the stand-ins that they share."""

from __future__ import annotations

import time
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial

from rainturn.emulator.commands import (
    AwaitVersion,
    GatewaysStarted,
    GetReading,
    HollowReading,
    ListChange,
    Listen,
    ServiceReading,
    StartGateways,
    StartLoad,
    StopGateways,
    StopLoad,
)
from rainturn.emulator.gateway_roles import HollowRole
from rainturn.emulator.hollow import Addresses
from rainturn.emulator.lab import RunContext
from rainturn.emulator.service_roles import CounterRole, DiscoveryRole
from rainturn.emulator.traffic import Traffic
from rainturn.emulator.workers import Worker, ask_all

HOLLOW = "hollow"
START_TIMEOUT_S = 120.0


@dataclass(frozen=True)
class FleetReading:
    """Totals of a fleet and its stand-ins at one time: processor time in s, traffic and requests."""

    taken_at: float  # monotonic, s
    discovery_cpu_s: float
    discovery: Traffic
    counter_cpu_s: float
    counter: Traffic
    hollow_cpu_s: float
    requests: int


@dataclass(frozen=True)
class FleetWindow:
    """Totals of a fleet and its stand-ins over a window of `seconds`."""

    seconds: float
    discovery_cpu_s: float
    discovery: Traffic
    counter_cpu_s: float
    counter: Traffic
    hollow_cpu_s: float
    requests: int


class Fleet:
    """Hollow gateways, distributed evenly over processes that the run context starts and stops."""

    def __init__(self, context: RunContext, max_gateways: int, processes: int) -> None:
        self.context, self.max_gateways = context, max_gateways
        self.discovery = context.start_worker(partial(DiscoveryRole, context.options.seed))
        self.counter = context.start_worker(CounterRole)
        for worker in (self.discovery, self.counter):
            worker.ready()
        self.addresses = Addresses(self.discovery.ask(Listen(HOLLOW)), self.counter.ask(Listen(HOLLOW)))
        role = partial(HollowRole, max_gateways, self.addresses, context.options.seed)
        self.hollow = [context.start_worker(role) for _ in range(processes)]
        for worker in self.hollow:
            worker.ready()
        self.numbers: list[int] = []  # of the running gateways

    def _by_worker(self, numbers: Iterable[int]) -> list[tuple[Worker, tuple[int, ...]]]:
        shares: dict[int, list[int]] = {}
        for number in numbers:
            shares.setdefault(number % len(self.hollow), []).append(number)
        return [(self.hollow[index], tuple(share)) for index, share in shares.items()]

    def start_gateways(self, numbers: Iterable[int], timeout_s: float = START_TIMEOUT_S) -> GatewaysStarted:
        """Start gateways at once, and wait until all have a host list or the timeout passes.

        The result holds the longest time and the processor time of all processes, in s, and the number of
        gateways that got no list.
        """
        shares = self._by_worker(numbers)
        for worker, share in shares:
            worker.send(StartGateways(share, timeout_s))
            self.numbers += share
        answers: list[GatewaysStarted] = [worker.receive(timeout_s + 20) for worker, _ in shares]
        return GatewaysStarted(
            max(answer.took_s for answer in answers),
            sum(answer.cpu_s for answer in answers),
            sum(answer.without_list for answer in answers),
        )

    def stop_gateways(self, numbers: Iterable[int]) -> None:
        """Stop gateways."""
        shares = self._by_worker(numbers)
        for worker, share in shares:
            worker.send(StopGateways(share))
        for worker, share in shares:
            worker.receive()
            self.numbers = [number for number in self.numbers if number not in share]

    def distribution_times(self, changed: ListChange, timeout_s: float) -> list[float]:
        """Return the sorted times from a change until each gateway has it, in s.

        Gateways that do not get it within the timeout are left out.
        """
        answers = ask_all(
            self.hollow,
            AwaitVersion(changed.version, changed.started_at, timeout_s),
            timeout_s=timeout_s + 20,
        )
        return sorted(time_s for times_s in answers for time_s in times_s)

    def start_load(self, requests_per_second: float, tenants: int) -> None:
        """Start requests to a fleet of the present number of gateways, at a rate for all of them together."""
        options = self.context.options
        ask_all(self.hollow, StartLoad(requests_per_second, tenants, len(self.numbers), options.seed))

    def stop_load(self) -> None:
        """Stop the requests."""
        ask_all(self.hollow, StopLoad())

    def read(self) -> FleetReading:
        """Return the totals so far."""
        discovery: ServiceReading = self.discovery.ask(GetReading())
        counter: ServiceReading = self.counter.ask(GetReading())
        hollow: list[HollowReading] = ask_all(self.hollow, GetReading())
        return FleetReading(
            time.monotonic(),
            discovery.cpu_s,
            discovery.traffic[HOLLOW],
            counter.cpu_s,
            counter.traffic[HOLLOW],
            sum(reading.cpu_s for reading in hollow),
            sum(reading.requests for reading in hollow),
        )

    def since(self, before: FleetReading) -> FleetWindow:
        """Return the totals since a reading."""
        now = self.read()
        return FleetWindow(
            now.taken_at - before.taken_at,
            now.discovery_cpu_s - before.discovery_cpu_s,
            now.discovery.since(before.discovery),
            now.counter_cpu_s - before.counter_cpu_s,
            now.counter.since(before.counter),
            now.hollow_cpu_s - before.hollow_cpu_s,
            now.requests - before.requests,
        )

    def measure(self, seconds: float) -> FleetWindow:
        """Return the totals over a window of `seconds` that begins now."""
        before = self.read()
        time.sleep(seconds)
        return self.since(before)

    def stop(self) -> None:
        """Stop all processes of the fleet."""
        self.context.stop(*self.hollow, self.discovery, self.counter)
