"""A fleet of hollow gateways over several processes, with the stand-ins that they share."""

from __future__ import annotations

import time
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial

from rainturn.emulator.commands import (
    AwaitVersion,
    HollowReading,
    Join,
    Joined,
    Leave,
    ListChange,
    Listen,
    Read,
    ServiceReading,
    StartLoad,
    StopLoad,
)
from rainturn.emulator.gateway_roles import HollowRole
from rainturn.emulator.hollow import Addresses
from rainturn.emulator.lab import Lab
from rainturn.emulator.service_roles import CounterRole, DiscoveryRole
from rainturn.emulator.traffic import Traffic
from rainturn.emulator.workers import Worker, ask_all

HOLLOW = "hollow"
JOIN_S = 120.0


@dataclass(frozen=True)
class FleetReading:
    """What a fleet and its stand-ins have done so far: processor time in s, traffic, requests, and when."""

    at: float  # monotonic, s
    discovery_cpu_s: float
    discovery: Traffic
    counter_cpu_s: float
    counter: Traffic
    hollow_cpu_s: float
    requests: int


@dataclass(frozen=True)
class FleetWindow:
    """The same over a window of `seconds`."""

    seconds: float
    discovery_cpu_s: float
    discovery: Traffic
    counter_cpu_s: float
    counter: Traffic
    hollow_cpu_s: float
    requests: int


class Fleet:
    """Hollow gateways, spread evenly over some processes. End it by the lab."""

    def __init__(self, lab: Lab, gateways: int, processes: int) -> None:
        self.lab, self.most = lab, gateways
        self.discovery = lab.start(partial(DiscoveryRole, lab.options.seed))
        self.counter = lab.start(CounterRole)
        for worker in (self.discovery, self.counter):
            worker.ready()
        self.addresses = Addresses(self.discovery.ask(Listen(HOLLOW)), self.counter.ask(Listen(HOLLOW)))
        role = partial(HollowRole, gateways, self.addresses, lab.options.seed)
        self.hollow = [lab.start(role) for _ in range(processes)]
        for worker in self.hollow:
            worker.ready()
        self.numbers: list[int] = []

    def _home(self, number: int) -> Worker:
        return self.hollow[number % len(self.hollow)]

    def _by_home(self, numbers: Iterable[int]) -> list[tuple[Worker, tuple[int, ...]]]:
        shares: dict[int, list[int]] = {}
        for number in numbers:
            shares.setdefault(number % len(self.hollow), []).append(number)
        return [(self.hollow[home], tuple(share)) for home, share in shares.items()]

    def join(self, numbers: Iterable[int], within_s: float = JOIN_S) -> Joined:
        """Start gateways at once: how long until all have a list, and the processor time of all, in s."""
        shares = self._by_home(numbers)
        for worker, share in shares:
            worker.send(Join(share, within_s))
            self.numbers += share
        answers: list[Joined] = [worker.receive(within_s + 20) for worker, _ in shares]
        return Joined(
            max(answer.took_s for answer in answers),
            sum(answer.cpu_s for answer in answers),
            sum(answer.without_list for answer in answers),
        )

    def leave(self, numbers: Iterable[int]) -> None:
        """End gateways."""
        shares = self._by_home(numbers)
        for worker, share in shares:
            worker.send(Leave(share))
        for worker, share in shares:
            worker.receive()
            self.numbers = [number for number in self.numbers if number not in share]

    def in_force(self, changed: ListChange, within_s: float) -> list[float]:
        """How long after a change each gateway has it, in s; gateways that do not get it are left out."""
        answers = ask_all(
            self.hollow, AwaitVersion(changed.version, changed.started_at, within_s), timeout_s=within_s + 20
        )
        return sorted(took for times in answers for took in times)

    def load(self, requests_per_second: float, tenants: int) -> None:
        """Begin to draw requests for a whole fleet of the present number of gateways."""
        options = self.lab.options
        ask_all(self.hollow, StartLoad(requests_per_second, tenants, len(self.numbers), options.seed))

    def unload(self) -> None:
        """Draw no more."""
        ask_all(self.hollow, StopLoad())

    def read(self) -> FleetReading:
        """What has been done so far."""
        discovery: ServiceReading = self.discovery.ask(Read())
        counter: ServiceReading = self.counter.ask(Read())
        hollow: list[HollowReading] = ask_all(self.hollow, Read())
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
        """What has been done since a reading."""
        now = self.read()
        return FleetWindow(
            now.at - before.at,
            now.discovery_cpu_s - before.discovery_cpu_s,
            now.discovery.since(before.discovery),
            now.counter_cpu_s - before.counter_cpu_s,
            now.counter.since(before.counter),
            now.hollow_cpu_s - before.hollow_cpu_s,
            now.requests - before.requests,
        )

    def window(self, seconds: float) -> FleetWindow:
        """Let time pass, and return what was done meanwhile."""
        before = self.read()
        time.sleep(seconds)
        return self.since(before)

    def end(self) -> None:
        """End all processes of the fleet."""
        self.lab.end(*self.hollow, self.discovery, self.counter)
