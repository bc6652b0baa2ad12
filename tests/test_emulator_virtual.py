"""Tests the virtual clock and network, the quota ledger, and the measurements that use them."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from typing import Any

import pytest

from rainturn.emulator.quota_ledger import QuotaLedger, Units
from rainturn.emulator.real_gateway import ROOT
from rainturn.emulator.virtual_fleet import VirtualFleetOptions
from rainturn.emulator.virtual_series import PartitionDurations, measure_counter_traffic, measure_partition
from rainturn.emulator.virtual_time import LATENCY_S, VirtualClock, VirtualLoop, run_virtual
from rainturn.emulator.workload import PLANS

FLEET_OPTIONS = VirtualFleetOptions(2, 2, 10, 20, 40.0, 1)


class Echo(asyncio.Protocol):
    """Sends back the data that it receives."""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.lost = False

    def data_received(self, data: bytes) -> None:
        self.transport.write(data)

    def connection_lost(self, error: Exception | None) -> None:
        self.lost = True


class Listener(asyncio.Protocol):
    """Records the data that it receives, with the time of arrival."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.received: list[tuple[float, bytes]] = []

    def data_received(self, data: bytes) -> None:
        self.received.append((self.loop.time(), data))


def test_an_hour_of_virtual_time_passes_within_seconds_and_timers_fire_in_order() -> None:
    async def main(loop: VirtualLoop) -> list[float]:
        clock, fired_at = VirtualClock(loop), list[float]()
        began = clock.now()
        for delay in (3600.0, 60.0, 0.25):
            loop.call_later(delay, lambda: fired_at.append(clock.now() - began))
        await asyncio.sleep(3601.0)
        return fired_at

    began = time.monotonic()
    assert run_virtual(main) == pytest.approx([250.0, 60_000.0, 3_600_000.0])
    assert time.monotonic() - began < 30


def test_a_connection_delivers_data_in_order_and_a_cut_holds_it_back() -> None:
    async def main(loop: VirtualLoop) -> None:
        echo, address = Echo(), ("far", 1)
        loop.network.listen(address, lambda: echo)
        transport, listener = await loop.create_connection(lambda: Listener(loop), *address)
        began = loop.time()
        transport.write(b"a")
        transport.write(b"b")
        await asyncio.sleep(1.0)
        assert listener.received == [(pytest.approx(began + 2 * LATENCY_S), data) for data in (b"a", b"b")]
        loop.network.cut(address)
        transport.write(b"c")
        await asyncio.sleep(1.0)
        assert len(listener.received) == 2
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.25):
                await loop.create_connection(lambda: Listener(loop), *address)
        loop.network.heal(address)
        await asyncio.sleep(1.0)
        assert [data for _, data in listener.received] == [b"a", b"b", b"c"]
        loop.network.cut(address)
        transport.write(b"lost")
        await asyncio.sleep(0.1)
        transport.abort()
        loop.network.heal(address)
        await asyncio.sleep(0.1)
        assert echo.lost and len(listener.received) == 3
        with pytest.raises(ConnectionRefusedError):
            await loop.create_connection(lambda: Listener(loop), "nobody", 1)

    run_virtual(main)


def test_a_ledger_refills_at_the_plans_rate_and_excess_units_take_no_tokens() -> None:
    ledger, plan = QuotaLedger(), PLANS[0]
    ledger.phase = "now"
    ledger.record_admitted("a", 1, 0, plan.peak_units, 0.0)
    ledger.record_admitted("a", 1, 0, 1.0, 0.0)
    ledger.record_refused("a", 1, 0, 1.0, 0.0)
    ledger.record_refused("a", 1, 0, 1.0, 1.0)  # two units have been refilled since
    ledger.record_admitted("a", 1, 0, 2.0, 1.0)
    units = ledger.tallies["now", "a"]
    assert units == Units(plan.peak_units + 3.0, 1.0, 2.0, 1.0)
    assert units.over_quota_fraction() == pytest.approx(1.0 / (plan.peak_units + 3.0))
    assert units.refused_within_quota_fraction() == pytest.approx(1.0 / (plan.peak_units + 5.0))
    assert Units().over_quota_fraction() == Units().refused_within_quota_fraction() == 0


def test_the_same_seed_gives_the_same_counter_traffic() -> None:
    first, second = (measure_counter_traffic(FLEET_OPTIONS, 4.0) for _ in range(2))
    counts = ("calls_per_request", "bytes_per_request", "calls_per_gateway")
    assert [first[name] for name in counts] == [second[name] for name in counts]
    assert 0.5 < first["calls_per_request"] < 5 and first["bytes_per_request"] > 30


def test_the_memory_of_customers_is_measured() -> None:
    """The measurement runs in a new process, as in a scale run: memory freed here may hide the customers'."""
    program = (
        "from rainturn.emulator.virtual_series import VirtualFleetOptions, measure_customers_memory; "
        "print(measure_customers_memory(VirtualFleetOptions(1, 1, 10, 4000, 1.0, 1))['bytes_per_customer'])"
    )
    found = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert 200 < float(found.stdout) < 20_000


def test_a_partition_is_reported_by_phase_and_region() -> None:
    faults = measure_partition(FLEET_OPTIONS, PartitionDurations(2.0, 4.0, 1.0, 2.0))
    names = {fault.name for fault in faults}
    assert len(names) == 8 and "counter partitioned, cut off, region cut off" in names
    admitted = {fault.name: fault.value for fault in faults if fault.quantity == "units_let_in"}
    assert all(value > 0 for value in admitted.values())
    assert all("compressed" in fault.note and "cut off for 4 s" in fault.note for fault in faults)
