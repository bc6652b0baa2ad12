"""Measurements on a virtual clock: counter traffic, memory per customer, and a partition of the counter.

Each function runs in a process of its own and returns plain records.
"""

from __future__ import annotations

import asyncio
import gc
import time
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

import psutil

from rainturn.emulator.measurements import Fault
from rainturn.emulator.quota_ledger import Units
from rainturn.emulator.virtual_fleet import VirtualFleet, VirtualFleetOptions
from rainturn.emulator.virtual_time import VirtualLoop, run_virtual
from rainturn.emulator.workload import DrawnRequest, Tenant

MB = 1 << 20
WARMUP_S = 10.0  # longer than one window of the counts
ARRIVAL_PERIOD_S = 4.0
SETTLE_S = 2.0


def own_memory_mb() -> float:
    """Return the memory that belongs to this process alone (USS), in MB."""
    gc.collect()
    return float(psutil.Process().memory_full_info().uss) / MB


def measure_counter_traffic(options: VirtualFleetOptions, seconds: float) -> Mapping[str, float]:
    """Measure the counter's calls and payload bytes per request and per gateway, after a warm-up.

    `customers_memory` is the memory that each gateway has gained since before the load began, in MB.
    """

    async def measure(loop: VirtualLoop) -> Mapping[str, float]:
        fleet = VirtualFleet(loop, options)
        await fleet.start()
        memory_mb = own_memory_mb()
        fleet.load.start()
        await asyncio.sleep(WARMUP_S)
        before, requests = fleet.total_counter_traffic(), fleet.requests
        await asyncio.sleep(seconds)
        traffic, requests = fleet.total_counter_traffic().since(before), fleet.requests - requests
        memory_mb = own_memory_mb() - memory_mb
        await fleet.stop()
        payload_bytes = traffic.bytes_in + traffic.bytes_out
        return {
            "calls_per_request": traffic.messages_in / max(1, requests),
            "bytes_per_request": payload_bytes / max(1, requests),
            "calls_per_gateway": traffic.messages_in / seconds / options.gateways,
            "bytes_per_gateway": payload_bytes / seconds / options.gateways,
            "customers_memory": memory_mb / options.gateways,
        }

    figures: Mapping[str, float] = run_virtual(measure)
    return figures


def measure_customers_memory(options: VirtualFleetOptions) -> Mapping[str, float]:
    """Measure one gateway's memory for `options.tenants` customers with one request each.

    The figures are in MB for all customers and in bytes per customer. The new process may reuse some tenths
    of a MB that it freed earlier, which hides part of the memory of a small number of customers.
    """

    async def measure(loop: VirtualLoop) -> Mapping[str, float]:
        fleet = VirtualFleet(loop, replace(options, tenants=1))
        await fleet.start()
        gateway, memory_mb, started_at = fleet.gateways[0], own_memory_mb(), loop.time()
        for number in range(options.tenants):
            arrives_at = started_at + ARRIVAL_PERIOD_S * number / options.tenants
            if arrives_at > loop.time():
                await asyncio.sleep(arrives_at - loop.time())
            gateway.submit(DrawnRequest(Tenant((1 << 30) + number, 3, 1, 0), 0, 0, 1.0))
        await asyncio.sleep(SETTLE_S)
        memory_mb = own_memory_mb() - memory_mb
        await fleet.stop()
        return {"customers_memory": memory_mb, "bytes_per_customer": memory_mb * MB / options.tenants}

    figures: Mapping[str, float] = run_virtual(measure)
    return figures


@dataclass(frozen=True)
class PartitionDurations:
    """Durations in s of the phases around a partition that cuts the counter off from one region."""

    before_s: float
    cut_off_s: float
    just_after_s: float
    after_s: float


def _phase_figures(name: str, units: Units, note: str) -> list[Fault]:
    figures = (
        ("units_let_in", "units", units.admitted),
        ("units_beyond_quotas", "units", units.over_quota),
        ("part_beyond_quotas", "of units let in", units.over_quota_fraction()),
        ("part_refused_with_room", "of units asked for", units.refused_within_quota_fraction()),
    )
    return [Fault(name, quantity, unit, value, note) for quantity, unit, value in figures]


def measure_partition(options: VirtualFleetOptions, durations: PartitionDurations) -> list[Fault]:
    """Cut the counter off from region 0 for a while, and measure the units admitted beyond quotas.

    Each phase has figures for the region that is cut off, and for the other regions together.
    """

    async def measure(loop: VirtualLoop) -> dict[tuple[str, str], Units]:
        fleet = VirtualFleet(loop, options)
        ledger, address = fleet.ledger, fleet.counter_addresses[0]
        ledger.phase = "warm"
        await fleet.start()
        fleet.load.start()
        await asyncio.sleep(WARMUP_S)
        for phase, seconds in (
            ("before", durations.before_s),
            ("cut off", durations.cut_off_s),
            ("just after", durations.just_after_s),
            ("after", durations.after_s),
        ):
            ledger.phase = phase
            if phase == "cut off":
                loop.network.cut(address)
            elif phase == "just after":
                loop.network.heal(address)
            await asyncio.sleep(seconds)
        await fleet.stop()
        return dict(ledger.tallies)

    started_at = time.monotonic()
    tallies: dict[tuple[str, str], Units] = run_virtual(measure)
    elapsed_s = time.monotonic() - started_at
    virtual_s = (
        WARMUP_S + durations.before_s + durations.cut_off_s + durations.just_after_s + durations.after_s
    )
    note = (
        f"{options.gateways} gateways in {options.regions} regions, "
        f"{options.requests_per_second:g} requests/s, "
        f"cut off for {durations.cut_off_s:g} s; virtual clock, {virtual_s:g} s in {elapsed_s:.1f} s: "
        f"compressed {virtual_s / elapsed_s:.1f} times"
    )
    faults: list[Fault] = []
    for phase in ("before", "cut off", "just after", "after"):
        cut_off = tallies.get((phase, "region0"), Units())
        others = _sum([units for (at, group), units in tallies.items() if at == phase and group != "region0"])
        faults += _phase_figures(f"counter partitioned, {phase}, region cut off", cut_off, note)
        faults += _phase_figures(f"counter partitioned, {phase}, other regions", others, note)
    return faults


def _sum(tallies: list[Units]) -> Units:
    names: Any = Units.__dataclass_fields__
    return Units(*(sum(getattr(tally, name) for tally in tallies) for name in names))
