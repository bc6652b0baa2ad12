"""A gateway's control path against the number of hosts: one hollow gateway, a list, and single changes."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial

from rainturn.emulator.commands import (
    ChangeHosts,
    ChangeZone,
    HollowReading,
    Join,
    Joined,
    ListChange,
    Listen,
    Read,
    ServiceReading,
    SetList,
    WatchStalls,
)
from rainturn.emulator.gateway_roles import HollowRole
from rainturn.emulator.hollow import Addresses
from rainturn.emulator.lab import Lab
from rainturn.emulator.measurements import Fault, Quantity, Slope
from rainturn.emulator.service_roles import CounterRole, DiscoveryRole
from rainturn.emulator.slopes import measure_slopes
from rainturn.emulator.stalls import Stalls
from rainturn.emulator.workers import Worker
from rainturn.emulator.workload import ZONES

ROLE = "gateway control path"
UNUSED_DIALS = ("127.0.0.1:9",)  # a hollow gateway connects to no host
LABEL = "control"
ZONE_PART = 1.0 / ZONES
ZONE_WITHIN_S = 7.0

IDLE_CPU = Quantity(ROLE, "idle_cpu", "ms/s", "hosts")
LIST_CPU = Quantity(ROLE, "whole_list_cpu", "ms", "hosts")
LIST_BYTES = Quantity(ROLE, "whole_list_bytes", "bytes", "hosts")
CHANGE_CPU = Quantity(ROLE, "one_change_cpu", "ms", "hosts")
CHANGE_BYTES = Quantity(ROLE, "one_change_bytes", "bytes", "hosts")
CHANGE_STALL = Quantity(ROLE, "one_change_longest_stall", "ms", "hosts")
CHANGE_GAP = Quantity(ROLE, "one_change_longest_gap", "ms", "hosts")  # wall time, other processes too
HELD = Quantity(ROLE, "list_held_memory", "MB", "hosts")
PEAK = Quantity(ROLE, "list_peak_memory", "MB", "hosts")
QUANTITIES = (IDLE_CPU, LIST_CPU, LIST_BYTES, CHANGE_CPU, CHANGE_BYTES, CHANGE_STALL, CHANGE_GAP, HELD, PEAK)


@dataclass(frozen=True)
class Services:
    """The stand-ins that the series share, and their addresses."""

    discovery: Worker
    addresses: Addresses

    def traffic_bytes(self) -> int:
        """Payload bytes that have passed at discovery, both ways."""
        reading: ServiceReading = self.discovery.ask(Read())
        traffic = reading.traffic[LABEL]
        return traffic.bytes_in + traffic.bytes_out


def cpu_s(worker: Worker) -> float:
    """Processor time of a hollow process so far, in s."""
    reading: HollowReading = worker.ask(Read())
    return reading.cpu_s


def idle_cpu(worker: Worker, seconds: float) -> float:
    """Processor time per second of a hollow process that gets neither requests nor changes."""
    before, began = cpu_s(worker), time.monotonic()
    time.sleep(seconds)
    return (cpu_s(worker) - before) / (time.monotonic() - began)


def measure_control(
    lab: Lab, services: Services, changes: int, idle_s: float, hosts: int
) -> Mapping[str, float]:
    """All control figures of one gateway with so many hosts."""
    lab.check()
    services.discovery.ask(SetList(hosts, UNUSED_DIALS))
    with lab.worker(partial(HollowRole, 1, services.addresses, lab.options.seed)) as worker:
        held, before, sent = worker.memory_mb(), worker.ask(Read()), services.traffic_bytes()
        joined: Joined = worker.ask(Join((0,)))
        after, list_bytes = worker.ask(Read()), services.traffic_bytes() - sent
        list_held = worker.memory_mb() - held
        idle = idle_cpu(worker, idle_s)
        sent, began, used = services.traffic_bytes(), time.monotonic(), cpu_s(worker)
        services.discovery.ask(ChangeHosts(changes, watchers=1))
        used = cpu_s(worker) - used - idle * (time.monotonic() - began)
        change_bytes = services.traffic_bytes() - sent
        worker.ask(WatchStalls(True))
        services.discovery.ask(ChangeHosts(changes, watchers=1))
        stalls: Stalls = worker.ask(WatchStalls(False))
    return {
        IDLE_CPU.name: idle * 1000,
        LIST_CPU.name: joined.cpu_s * 1000,
        LIST_BYTES.name: float(list_bytes),
        CHANGE_CPU.name: max(0.0, used) * 1000 / changes,
        CHANGE_BYTES.name: change_bytes / changes,
        CHANGE_STALL.name: stalls.cpu_ms,
        CHANGE_GAP.name: stalls.wall_ms,
        HELD.name: list_held,
        PEAK.name: after.peak_mb - before.peak_mb,
    }


def play_zone(lab: Lab, services: Services, hosts: int, how: str) -> list[Fault]:
    """A zone's hosts are lost and return: one gateway's processor time and longest stall."""
    services.discovery.ask(SetList(hosts, UNUSED_DIALS))
    over_s = min(ZONE_WITHIN_S, 3.5 * lab.options.window_s)
    back = {
        "one_list": ChangeZone(ZONE_PART, lost=False),
        "single_changes": ChangeZone(ZONE_PART, lost=False, as_one_version=False, watchers=1),
        "stream_of_changes": ChangeZone(ZONE_PART, lost=False, as_one_version=False, duration_s=over_s),
    }[how]
    with lab.worker(partial(HollowRole, 1, services.addresses, lab.options.seed)) as worker:
        worker.ask(Join((0,)))
        idle = idle_cpu(worker, lab.settle_s)
        services.discovery.ask(ChangeZone(ZONE_PART, lost=True))
        time.sleep(lab.settle_s)
        worker.ask(WatchStalls(True))
        used, began = cpu_s(worker), time.monotonic()
        changed: ListChange = services.discovery.ask(back, timeout_s=max(60.0, lab.left_s()))
        time.sleep(lab.settle_s)
        used = cpu_s(worker) - used - idle * (time.monotonic() - began)
        stalls: Stalls = worker.ask(WatchStalls(False))
    note = f"{round(hosts * ZONE_PART)} of {hosts} hosts return cold in {changed.versions} versions"
    if back.duration_s:
        note += f" over {over_s:g} s"
    name = f"zone back, {how.replace('_', ' ')}"
    return [
        Fault(name, "gateway_cpu", "ms", max(0.0, used) * 1000, note),
        Fault(name, "longest_stall", "ms", stalls.cpu_ms, note),
        Fault(name, "longest_gap", "ms", stalls.wall_ms, note),
    ]


def run_control_series(lab: Lab, sizes: tuple[int, ...], held_out: int) -> tuple[list[Slope], list[Fault]]:
    """The slopes of the control path, and a zone's return at the largest size."""
    changes, idle_s = 20 if lab.options.quick else 60, lab.options.window_s / 2
    with (
        lab.worker(partial(DiscoveryRole, lab.options.seed)) as discovery,
        lab.worker(CounterRole) as counter,
    ):
        addresses = Addresses(discovery.ask(Listen(LABEL)), counter.ask(Listen(LABEL)))
        services = Services(discovery, addresses)
        measure = partial(measure_control, lab, services, changes, idle_s)
        slopes = measure_slopes(QUANTITIES, sizes, held_out, measure, lab.say)
        faults: list[Fault] = []
        ways = ["one_list", "stream_of_changes"]
        if not lab.options.quick:  # these take minutes where a change costs much
            ways.append("single_changes")
        for how in ways:
            found = play_zone(lab, services, held_out, how)
            for fault in found:
                lab.say(f"  {fault.name}: {fault.quantity} {fault.value:.4g} {fault.unit} ({fault.note})")
            faults += found
    return slopes, faults
