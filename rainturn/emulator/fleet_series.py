"""Discovery and the counter against the number of gateways: a fleet that grows step by step."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass

from rainturn.emulator.commands import ChangeHosts, ListChange, SetList
from rainturn.emulator.control_series import UNUSED_DIALS
from rainturn.emulator.fleet import Fleet
from rainturn.emulator.lab import Lab
from rainturn.emulator.measurements import Quantity, Slope
from rainturn.emulator.slopes import measure_slopes

DISCOVERY, COUNTER, CONTROL = "discovery service", "counter", "gateway control path"
PER = "gateways"
IN_FORCE_WITHIN_S = 30.0

WATCH_CALLS = Quantity(DISCOVERY, "watch_calls", "calls/s", PER)
WATCH_BYTES = Quantity(DISCOVERY, "watch_bytes", "bytes/s", PER)
WATCH_CPU = Quantity(DISCOVERY, "watch_cpu", "ms/s", PER)
CHANGE_MESSAGES = Quantity(DISCOVERY, "one_change_messages", "messages", PER)
CHANGE_BYTES = Quantity(DISCOVERY, "one_change_bytes", "bytes", PER)
CHANGE_CPU = Quantity(DISCOVERY, "one_change_cpu", "ms", PER)
START_BYTES = Quantity(DISCOVERY, "start_bytes", "bytes", PER)
GATEWAY_CALLS = Quantity(CONTROL, "discovery_calls_per_gateway", "calls/s", PER)
GATEWAY_BYTES = Quantity(CONTROL, "discovery_bytes_per_gateway", "bytes/s", PER)
COUNTER_CALLS = Quantity(COUNTER, "calls", "calls/s", PER)
COUNTER_BYTES = Quantity(COUNTER, "bytes", "bytes/s", PER)
COUNTER_CPU = Quantity(COUNTER, "cpu_per_call", "us", PER)
IN_FORCE = Quantity("distribution of configuration", "one_change_in_force_everywhere", "ms", PER)
QUANTITIES = (
    WATCH_CALLS,
    WATCH_BYTES,
    WATCH_CPU,
    CHANGE_MESSAGES,
    CHANGE_BYTES,
    CHANGE_CPU,
    START_BYTES,
    GATEWAY_CALLS,
    GATEWAY_BYTES,
    COUNTER_CALLS,
    COUNTER_BYTES,
    COUNTER_CPU,
    IN_FORCE,
)


@dataclass(frozen=True)
class FleetPlan:
    """How a growing fleet is measured: window lengths in s, and changes for each size."""

    hosts: int
    seconds: float
    changes: int


def grow(lab: Lab, fleet: Fleet, plan: FleetPlan, gateways: int) -> Mapping[str, float]:
    """Grow the fleet to so many gateways, and measure it quiet, with changes, and with requests."""
    lab.check()
    before = fleet.read()
    fleet.join(range(len(fleet.numbers), gateways))
    started = fleet.since(before).discovery
    joined = gateways - (len(fleet.numbers) - started.whole_lists)
    time.sleep(lab.settle_s)
    quiet = fleet.window(plan.seconds)
    calls = quiet.discovery.messages_in / quiet.seconds
    quiet_bytes = (quiet.discovery.bytes_in + quiet.discovery.bytes_out) / quiet.seconds
    quiet_cpu = quiet.discovery_cpu_s / quiet.seconds
    before = fleet.read()
    in_force_s: list[float] = []
    for _ in range(plan.changes):
        changed: ListChange = fleet.discovery.ask(ChangeHosts(1, interval_s=0.001))
        reached = fleet.in_force(changed, IN_FORCE_WITHIN_S)
        in_force_s.append(reached[-1] if len(reached) == gateways else IN_FORCE_WITHIN_S)
    changing = fleet.since(before)
    told = changing.discovery
    share = lab.options.requests_per_second * gateways / fleet.most
    fleet.load(share, lab.options.tenants)
    time.sleep(lab.settle_s)
    loaded = fleet.window(plan.seconds)
    fleet.unload()
    counted = loaded.counter
    return {
        WATCH_CALLS.name: calls,
        WATCH_BYTES.name: quiet_bytes,
        WATCH_CPU.name: quiet_cpu * 1000,
        CHANGE_MESSAGES.name: (told.messages_in - calls * changing.seconds) / plan.changes,
        CHANGE_BYTES.name: (told.bytes_in + told.bytes_out - quiet_bytes * changing.seconds) / plan.changes,
        CHANGE_CPU.name: 1000 * (changing.discovery_cpu_s - quiet_cpu * changing.seconds) / plan.changes,
        START_BYTES.name: gateways * (started.bytes_in + started.bytes_out) / max(1, joined),
        GATEWAY_CALLS.name: calls / gateways,
        GATEWAY_BYTES.name: quiet_bytes / gateways,
        COUNTER_CALLS.name: counted.messages_in / loaded.seconds,
        COUNTER_BYTES.name: (counted.bytes_in + counted.bytes_out) / loaded.seconds,
        COUNTER_CPU.name: 1e6 * loaded.counter_cpu_s / max(1, counted.messages_in),
        IN_FORCE.name: 1000 * sum(in_force_s) / len(in_force_s),
    }


def run_fleet_series(lab: Lab, fleet: Fleet, plan: FleetPlan, sizes: tuple[int, ...]) -> list[Slope]:
    """The slopes of discovery and the counter; the fleet is left at its largest size."""
    fleet.discovery.ask(SetList(plan.hosts, UNUSED_DIALS))
    return measure_slopes(
        QUANTITIES, sizes, fleet.most, lambda gateways: grow(lab, fleet, plan, gateways), lab.say
    )
