"""Hollow gateways in several regions on a virtual clock, with discovery, the counter and a quota ledger."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from rainturn.emulator.counter_service import CounterService
from rainturn.emulator.discovery_service import DiscoveryService
from rainturn.emulator.hollow import Addresses, HollowGateway
from rainturn.emulator.open_loop_load import OpenLoopLoad
from rainturn.emulator.quota_ledger import QuotaLedger
from rainturn.emulator.traffic import Traffic
from rainturn.emulator.virtual_time import VirtualClock, VirtualLoop
from rainturn.emulator.workload import DrawnRequest, Tenants, make_host_entries
from rainturn.node.requests import Request

UNUSED_HOST_ADDRESSES = ("127.0.0.1:9",)  # no connection is opened to it


@dataclass(frozen=True)
class VirtualFleetOptions:
    """The sizes of a fleet on a virtual clock, its requests per second over all gateways, and the seed."""

    gateways: int
    regions: int
    hosts: int
    tenants: int
    requests_per_second: float
    seed: int


class VirtualFleet:
    """Gateways, spread evenly over regions, with the stand-ins and the load.

    Each region reaches the one counter at an address of its own, so that it can be cut off alone.
    """

    def __init__(self, loop: VirtualLoop, options: VirtualFleetOptions) -> None:
        self.loop, self.options = loop, options
        self.ledger = QuotaLedger()
        self.discovery = DiscoveryService(make_host_entries(options.hosts, UNUSED_HOST_ADDRESSES))
        self.counter = CounterService()
        self.clock = VirtualClock(loop)
        loop.network.listen(("discovery", 1), partial(self.discovery.accept, "all"))
        self.counter_addresses = [("counter", region) for region in range(options.regions)]
        for region, address in enumerate(self.counter_addresses):
            loop.network.listen(address, partial(self.counter.accept, f"region{region}"))
        self.gateways = [self._make_gateway(number) for number in range(options.gateways)]
        self.tenants = Tenants(options.tenants, options.gateways, options.requests_per_second, options.seed)
        self.load = OpenLoopLoad(
            self.tenants, options.requests_per_second, options.seed, self._submit, loop.time
        )
        self.requests = 0

    def region_of(self, number: int) -> int:
        """Return the region of a gateway."""
        return number % self.options.regions

    def _make_gateway(self, number: int) -> HollowGateway:
        region = self.region_of(number)
        addresses = Addresses(("discovery", 1), self.counter_addresses[region])
        gateway = HollowGateway(
            number, self.options.gateways, addresses, self.options.seed * 1000 + number, self.clock
        )
        gateway.hosts.on_first_attempt = partial(self._record, self.ledger.record_admitted, f"region{region}")
        gateway.client.on_refusal = partial(self._record, self.ledger.record_refused, f"region{region}")
        return gateway

    def _record(
        self, record: Callable[[str, int, int, float, float], None], group: str, request: Request
    ) -> None:
        arrival = request.arrival
        record(group, arrival.customer, arrival.plan, arrival.units, self.loop.time())

    def _submit(self, drawn: DrawnRequest) -> None:
        self.requests += 1
        self.gateways[drawn.gateway].submit(drawn)

    def total_counter_traffic(self) -> Traffic:
        """Return the traffic at the counter, summed over all regions."""
        total = Traffic()
        for traffic in self.counter.traffic.values():
            total = total.plus(traffic)
        return total

    async def start(self) -> None:
        """Start the gateways and wait until all have a host list; the load is started separately."""
        self.counter.start_sweeping()
        for gateway in self.gateways:
            gateway.start()
        while not all(gateway.version for gateway in self.gateways):
            await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Stop the load, the gateways and the stand-ins."""
        self.load.stop()
        for gateway in self.gateways:
            await gateway.stop()
        self.counter.close()
        self.discovery.close()
