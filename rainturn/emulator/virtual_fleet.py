"""Hollow gateways in regions on a virtual clock, with discovery, the counter and a ledger of quotas."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from rainturn.emulator.counter_service import CounterService
from rainturn.emulator.discovery_service import DiscoveryService
from rainturn.emulator.hollow import Addresses, HollowGateway
from rainturn.emulator.load import OpenLoop
from rainturn.emulator.quota_ledger import QuotaLedger
from rainturn.emulator.traffic import Traffic
from rainturn.emulator.virtual_time import VirtualClock, VirtualLoop
from rainturn.emulator.workload import DrawnRequest, Tenants, make_host_entries
from rainturn.node.gateway import Request

UNUSED_ADDRESSES = ("127.0.0.1:9",)  # nothing connects to it


@dataclass(frozen=True)
class VirtualPlan:
    """A fleet on a virtual clock: how many, and requests a second over all gateways."""

    gateways: int
    regions: int
    hosts: int
    tenants: int
    requests_per_second: float
    seed: int


class VirtualFleet:
    """The gateways, their stand-ins, and the load; regions take gateways in turn."""

    def __init__(self, loop: VirtualLoop, plan: VirtualPlan) -> None:
        self.loop, self.plan = loop, plan
        self.ledger = QuotaLedger()
        self.discovery = DiscoveryService(make_host_entries(plan.hosts, UNUSED_ADDRESSES))
        self.counter = CounterService()
        self.clock = VirtualClock(loop)
        loop.network.listen(("discovery", 1), partial(self.discovery.accept, "all"))
        self.counter_addresses = [("counter", region) for region in range(plan.regions)]
        for region, address in enumerate(self.counter_addresses):
            loop.network.listen(address, partial(self.counter.accept, f"region{region}"))
        self.gateways = [self._gateway(number) for number in range(plan.gateways)]
        self.tenants = Tenants(plan.tenants, plan.gateways, plan.requests_per_second, plan.seed)
        self.load = OpenLoop(self.tenants, plan.requests_per_second, plan.seed, self._take, loop.time)
        self.requests = 0

    def region_of(self, number: int) -> int:
        """Which region a gateway stands in."""
        return number % self.plan.regions

    def _gateway(self, number: int) -> HollowGateway:
        region = self.region_of(number)
        addresses = Addresses(("discovery", 1), self.counter_addresses[region])
        gateway = HollowGateway(
            number, self.plan.gateways, addresses, self.plan.seed * 1000 + number, self.clock
        )
        gateway.hosts.on_first_attempt = partial(self._booked, self.ledger.record_admitted, f"region{region}")
        gateway.client.on_refusal = partial(self._booked, self.ledger.record_refused, f"region{region}")
        return gateway

    def _booked(
        self, book: Callable[[str, int, int, float, float], None], group: str, request: Request
    ) -> None:
        arrival = request.arrival
        book(group, arrival.customer, arrival.plan, arrival.units, self.loop.time())

    def _take(self, draw: DrawnRequest) -> None:
        self.requests += 1
        self.gateways[draw.gateway].submit(draw)

    def total_counter_traffic(self) -> Traffic:
        """What has passed at the counter, over all regions."""
        total = Traffic()
        for traffic in self.counter.traffic.values():
            total = total.plus(traffic)
        return total

    async def start(self) -> None:
        """Start the gateways, and wait until all have a host list."""
        self.counter.start_sweeping()
        for gateway in self.gateways:
            gateway.start()
        while not all(gateway.version for gateway in self.gateways):
            await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """End all."""
        self.load.stop()
        for gateway in self.gateways:
            await gateway.stop()
        self.counter.close()
        self.discovery.close()
