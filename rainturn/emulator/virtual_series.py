"""What a virtual clock measures: the counter's traffic, customers' memory, and a region without the counter.

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
from rainturn.emulator.virtual_fleet import VirtualFleet, VirtualPlan
from rainturn.emulator.virtual_time import VirtualLoop, run_virtual
from rainturn.emulator.workload import DrawnRequest, Tenant

MB = 1 << 20
WARM_S = 10.0  # longer than a window of the counts
HEADER_BYTES = 52  # of TCP and IP on a segment, with time stamps; arithmetic, not measured
ARRIVE_WITHIN_S = 4.0
SETTLE_S = 2.0


def held_mb() -> float:
    """Memory that is this process's own, in MB."""
    gc.collect()
    return float(psutil.Process().memory_full_info().uss) / MB


def counter_traffic(plan: VirtualPlan, seconds: float) -> Mapping[str, float]:
    """The counter's calls and payload bytes, by request and by gateway, once the load has gone on a while.

    `customers_memory` is what a gateway has come to hold since before the load, in MB.
    """

    async def main(loop: VirtualLoop) -> Mapping[str, float]:
        fleet = VirtualFleet(loop, plan)
        await fleet.start()
        held = held_mb()
        fleet.load.start()
        await asyncio.sleep(WARM_S)
        before, requests = fleet.total_counter_traffic(), fleet.requests
        await asyncio.sleep(seconds)
        counted, requests = fleet.total_counter_traffic().since(before), fleet.requests - requests
        held = held_mb() - held
        await fleet.stop()
        payload = counted.bytes_in + counted.bytes_out
        return {
            "calls_per_request": counted.messages_in / max(1, requests),
            "bytes_per_request": payload / max(1, requests),
            "calls_per_gateway": counted.messages_in / seconds / plan.gateways,
            "bytes_per_gateway": payload / seconds / plan.gateways,
            "customers_memory": held / plan.gateways,
        }

    found: Mapping[str, float] = run_virtual(main)
    return found


def customers_memory(plan: VirtualPlan) -> Mapping[str, float]:
    """Memory of one gateway for `plan.tenants` customers that each come once, in MB and in bytes for one.

    Memory that the new process has freed before, some tenths of a MB, may hide a part of few customers'.
    """

    async def main(loop: VirtualLoop) -> Mapping[str, float]:
        fleet = VirtualFleet(loop, replace(plan, tenants=1))
        await fleet.start()
        gateway, held, began = fleet.gateways[0], held_mb(), loop.time()
        for number in range(plan.tenants):
            due = began + ARRIVE_WITHIN_S * number / plan.tenants
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            gateway.submit(DrawnRequest(Tenant((1 << 30) + number, 3, 1, 0), 0, 0, 1.0))
        await asyncio.sleep(SETTLE_S)
        held = held_mb() - held
        await fleet.stop()
        return {"customers_memory": held, "bytes_per_customer": held * MB / plan.tenants}

    found: Mapping[str, float] = run_virtual(main)
    return found


@dataclass(frozen=True)
class Partition:
    """How long the counter is watched before it is cut off from one region, while it is, and after, in s."""

    before_s: float
    during_s: float
    healing_s: float
    after_s: float


def _faults(name: str, units: Units, note: str) -> list[Fault]:
    figures = (
        ("units_let_in", "units", units.admitted),
        ("units_beyond_quotas", "units", units.over_quota),
        ("part_beyond_quotas", "of units let in", units.over_quota_fraction()),
        ("part_refused_with_room", "of units asked for", units.refused_within_quota_fraction()),
    )
    return [Fault(name, quantity, unit, value, note) for quantity, unit, value in figures]


def partition(plan: VirtualPlan, lengths: Partition) -> list[Fault]:
    """Cut the counter off from region 0 for a while: units let in beyond quotas, by phase and regions."""

    async def main(loop: VirtualLoop) -> dict[tuple[str, str], Units]:
        fleet = VirtualFleet(loop, plan)
        ledger, address = fleet.ledger, fleet.counter_addresses[0]
        ledger.phase = "warm"
        await fleet.start()
        fleet.load.start()
        await asyncio.sleep(WARM_S)
        for phase, seconds in (
            ("before", lengths.before_s),
            ("cut off", lengths.during_s),
            ("just after", lengths.healing_s),
            ("after", lengths.after_s),
        ):
            ledger.phase = phase
            if phase == "cut off":
                loop.network.cut(address)
            elif phase == "just after":
                loop.network.heal(address)
            await asyncio.sleep(seconds)
        await fleet.stop()
        return dict(ledger.tallies)

    began = time.monotonic()
    tallies: dict[tuple[str, str], Units] = run_virtual(main)
    took_s = time.monotonic() - began
    clock_s = WARM_S + lengths.before_s + lengths.during_s + lengths.healing_s + lengths.after_s
    note = (
        f"{plan.gateways} gateways in {plan.regions} regions, {plan.requests_per_second:g} requests/s, "
        f"cut off for {lengths.during_s:g} s; virtual clock, {clock_s:g} s in {took_s:.1f} s: "
        f"compressed {clock_s / took_s:.1f} times"
    )
    found: list[Fault] = []
    for phase in ("before", "cut off", "just after", "after"):
        cut = tallies.get((phase, "region0"), Units())
        others = _sum([units for (at, group), units in tallies.items() if at == phase and group != "region0"])
        found += _faults(f"counter partitioned, {phase}, region cut off", cut, note)
        found += _faults(f"counter partitioned, {phase}, other regions", others, note)
    return found


def _sum(parts: list[Units]) -> Units:
    names: Any = Units.__dataclass_fields__
    return Units(*(sum(getattr(part, name) for part in parts) for name in names))
