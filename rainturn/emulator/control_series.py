"""Slopes of a gateway's control path against the number of hosts: the whole host list and single changes.

They are measured on one hollow gateway.
"""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial

from rainturn.emulator.commands import (
    ChangeHosts,
    ChangeZone,
    GatewaysStarted,
    GetReading,
    HollowReading,
    ListChange,
    Listen,
    ReplaceHostList,
    ServiceReading,
    StartGateways,
    WatchStalls,
)
from rainturn.emulator.gateway_roles import HollowRole
from rainturn.emulator.hollow import Addresses
from rainturn.emulator.lab import RunContext
from rainturn.emulator.measurements import Fault, Quantity, Slope
from rainturn.emulator.service_roles import CounterRole, DiscoveryRole
from rainturn.emulator.slopes import measure_slopes
from rainturn.emulator.stalls import Stalls
from rainturn.emulator.workers import Worker
from rainturn.emulator.workload import ZONES

ROLE = "gateway control path"
UNUSED_HOST_ADDRESSES = ("127.0.0.1:9",)  # a hollow gateway connects to no host
LABEL = "control"
ZONE_FRACTION = 1.0 / ZONES
MAX_ZONE_RETURN_S = 7.0

IDLE_CPU = Quantity(ROLE, "idle_cpu", "ms/s", "hosts")
LIST_CPU = Quantity(ROLE, "whole_list_cpu", "ms", "hosts")
LIST_BYTES = Quantity(ROLE, "whole_list_bytes", "bytes", "hosts")
CHANGE_CPU = Quantity(ROLE, "one_change_cpu", "ms", "hosts")
CHANGE_BYTES = Quantity(ROLE, "one_change_bytes", "bytes", "hosts")
CHANGE_STALL = Quantity(ROLE, "one_change_longest_stall", "ms", "hosts")
# Wall time, which includes the time that other processes use on the same cores.
CHANGE_GAP = Quantity(ROLE, "one_change_longest_gap", "ms", "hosts")
HELD_MEMORY = Quantity(ROLE, "list_held_memory", "MB", "hosts")
PEAK_MEMORY = Quantity(ROLE, "list_peak_memory", "MB", "hosts")
QUANTITIES = (
    IDLE_CPU,
    LIST_CPU,
    LIST_BYTES,
    CHANGE_CPU,
    CHANGE_BYTES,
    CHANGE_STALL,
    CHANGE_GAP,
    HELD_MEMORY,
    PEAK_MEMORY,
)


@dataclass(frozen=True)
class Services:
    """The stand-ins that all sizes share, and their addresses."""

    discovery: Worker
    addresses: Addresses

    def traffic_bytes(self) -> int:
        """Return the payload bytes that discovery has received and sent so far."""
        reading: ServiceReading = self.discovery.ask(GetReading())
        traffic = reading.traffic[LABEL]
        return traffic.bytes_in + traffic.bytes_out


def process_cpu_s(worker: Worker) -> float:
    """Return the processor time of a process of hollow gateways so far, in s."""
    reading: HollowReading = worker.ask(GetReading())
    return reading.cpu_s


def measure_idle_cpu(worker: Worker, seconds: float) -> float:
    """Measure the processor time per second of hollow gateways without requests or changes."""
    before, started_at = process_cpu_s(worker), time.monotonic()
    time.sleep(seconds)
    return (process_cpu_s(worker) - before) / (time.monotonic() - started_at)


def measure_control(
    context: RunContext, services: Services, changes: int, idle_s: float, hosts: int
) -> Mapping[str, float]:
    """Measure all figures of one gateway's control path with `hosts` hosts."""
    context.check_limits()
    services.discovery.ask(ReplaceHostList(hosts, UNUSED_HOST_ADDRESSES))
    with context.worker(partial(HollowRole, 1, services.addresses, context.options.seed)) as worker:
        memory_before_mb, before, traffic_bytes = (
            worker.memory_mb(),
            worker.ask(GetReading()),
            services.traffic_bytes(),
        )
        started: GatewaysStarted = worker.ask(StartGateways((0,)))
        after, list_bytes = worker.ask(GetReading()), services.traffic_bytes() - traffic_bytes
        list_held_mb = worker.memory_mb() - memory_before_mb
        idle_cpu = measure_idle_cpu(worker, idle_s)
        traffic_bytes, started_at, cpu_s = services.traffic_bytes(), time.monotonic(), process_cpu_s(worker)
        services.discovery.ask(ChangeHosts(changes, watchers=1))
        cpu_s = process_cpu_s(worker) - cpu_s - idle_cpu * (time.monotonic() - started_at)
        change_bytes = services.traffic_bytes() - traffic_bytes
        worker.ask(WatchStalls(True))
        services.discovery.ask(ChangeHosts(changes, watchers=1))
        stalls: Stalls = worker.ask(WatchStalls(False))
    return {
        IDLE_CPU.name: idle_cpu * 1000,
        LIST_CPU.name: started.cpu_s * 1000,
        LIST_BYTES.name: float(list_bytes),
        CHANGE_CPU.name: max(0.0, cpu_s) * 1000 / changes,
        CHANGE_BYTES.name: change_bytes / changes,
        CHANGE_STALL.name: stalls.cpu_ms,
        CHANGE_GAP.name: stalls.wall_ms,
        HELD_MEMORY.name: list_held_mb,
        PEAK_MEMORY.name: after.peak_mb - before.peak_mb,
    }


def measure_zone_return(context: RunContext, services: Services, hosts: int, change_mode: str) -> list[Fault]:
    """Measure one gateway's processor time and longest stall while a lost zone's hosts return.

    `change_mode` says how the hosts return: "one_list", "single_changes" or "stream_of_changes".
    """
    services.discovery.ask(ReplaceHostList(hosts, UNUSED_HOST_ADDRESSES))
    duration_s = min(MAX_ZONE_RETURN_S, 3.5 * context.options.window_s)
    zone_return = {
        "one_list": ChangeZone(ZONE_FRACTION, lost=False),
        "single_changes": ChangeZone(ZONE_FRACTION, lost=False, as_one_version=False, watchers=1),
        "stream_of_changes": ChangeZone(
            ZONE_FRACTION, lost=False, as_one_version=False, duration_s=duration_s
        ),
    }[change_mode]
    with context.worker(partial(HollowRole, 1, services.addresses, context.options.seed)) as worker:
        worker.ask(StartGateways((0,)))
        idle_cpu = measure_idle_cpu(worker, context.settle_s)
        services.discovery.ask(ChangeZone(ZONE_FRACTION, lost=True))
        time.sleep(context.settle_s)
        worker.ask(WatchStalls(True))
        cpu_s, started_at = process_cpu_s(worker), time.monotonic()
        changed: ListChange = services.discovery.ask(zone_return, timeout_s=max(60.0, context.remaining_s()))
        time.sleep(context.settle_s)
        cpu_s = process_cpu_s(worker) - cpu_s - idle_cpu * (time.monotonic() - started_at)
        stalls: Stalls = worker.ask(WatchStalls(False))
    note = f"{round(hosts * ZONE_FRACTION)} of {hosts} hosts return cold in {changed.versions} versions"
    if zone_return.duration_s:
        note += f" over {duration_s:g} s"
    name = f"zone back, {change_mode.replace('_', ' ')}"
    return [
        Fault(name, "gateway_cpu", "ms", max(0.0, cpu_s) * 1000, note),
        Fault(name, "longest_stall", "ms", stalls.cpu_ms, note),
        Fault(name, "longest_gap", "ms", stalls.wall_ms, note),
    ]


def run_control_series(
    context: RunContext, sizes: tuple[int, ...], held_out_size: int
) -> tuple[list[Slope], list[Fault]]:
    """Measure the slopes of the control path, and a zone's return at the held-out size."""
    changes, idle_s = 20 if context.options.quick else 60, context.options.window_s / 2
    with (
        context.worker(partial(DiscoveryRole, context.options.seed)) as discovery,
        context.worker(CounterRole) as counter,
    ):
        addresses = Addresses(discovery.ask(Listen(LABEL)), counter.ask(Listen(LABEL)))
        services = Services(discovery, addresses)
        measure = partial(measure_control, context, services, changes, idle_s)
        slopes = measure_slopes(QUANTITIES, sizes, held_out_size, measure, context.log)
        faults: list[Fault] = []
        change_modes = ["one_list", "stream_of_changes"]
        if not context.options.quick:  # single changes take minutes when each costs much processor time
            change_modes.append("single_changes")
        for change_mode in change_modes:
            zone_faults = measure_zone_return(context, services, held_out_size, change_mode)
            for fault in zone_faults:
                context.log(f"  {fault.name}: {fault.quantity} {fault.value:.4g} {fault.unit} ({fault.note})")
            faults += zone_faults
    return slopes, faults
