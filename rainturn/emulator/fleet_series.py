"""Slopes of discovery and the counter against the number of gateways, in a fleet that grows step by step."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass

from rainturn.emulator.commands import ChangeHosts, ListChange, ReplaceHostList
from rainturn.emulator.control_series import UNUSED_HOST_ADDRESSES
from rainturn.emulator.fleet import Fleet
from rainturn.emulator.lab import RunContext
from rainturn.emulator.measurements import Quantity, Slope
from rainturn.emulator.slopes import measure_slopes

DISCOVERY, COUNTER, CONTROL_PATH = "discovery service", "counter", "gateway control path"
PER = "gateways"
IN_FORCE_TIMEOUT_S = 30.0

WATCH_CALLS = Quantity(DISCOVERY, "watch_calls", "calls/s", PER)
WATCH_BYTES = Quantity(DISCOVERY, "watch_bytes", "bytes/s", PER)
WATCH_CPU = Quantity(DISCOVERY, "watch_cpu", "ms/s", PER)
CHANGE_MESSAGES = Quantity(DISCOVERY, "one_change_messages", "messages", PER)
CHANGE_BYTES = Quantity(DISCOVERY, "one_change_bytes", "bytes", PER)
CHANGE_CPU = Quantity(DISCOVERY, "one_change_cpu", "ms", PER)
START_BYTES = Quantity(DISCOVERY, "start_bytes", "bytes", PER)
GATEWAY_CALLS = Quantity(CONTROL_PATH, "discovery_calls_per_gateway", "calls/s", PER)
GATEWAY_BYTES = Quantity(CONTROL_PATH, "discovery_bytes_per_gateway", "bytes/s", PER)
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
    """How each size of a growing fleet is measured: number of hosts, window length in s, and changes."""

    hosts: int
    seconds: float
    changes: int


def grow_and_measure(
    context: RunContext, fleet: Fleet, plan: FleetPlan, gateways: int
) -> Mapping[str, float]:
    """Grow the fleet to `gateways`, and measure it idle, with changes of the host list, and with requests."""
    context.check_limits()
    before = fleet.read()
    fleet.start_gateways(range(len(fleet.numbers), gateways))
    start_traffic = fleet.since(before).discovery
    started_count = gateways - (len(fleet.numbers) - start_traffic.whole_lists)
    time.sleep(context.settle_s)
    idle = fleet.measure(plan.seconds)
    idle_calls = idle.discovery.messages_in / idle.seconds
    idle_bytes = (idle.discovery.bytes_in + idle.discovery.bytes_out) / idle.seconds
    idle_cpu = idle.discovery_cpu_s / idle.seconds
    before = fleet.read()
    in_force_s: list[float] = []
    for _ in range(plan.changes):
        changed: ListChange = fleet.discovery.ask(ChangeHosts(1, interval_s=0.001))
        times_s = fleet.distribution_times(changed, IN_FORCE_TIMEOUT_S)
        in_force_s.append(times_s[-1] if len(times_s) == gateways else IN_FORCE_TIMEOUT_S)
    changing = fleet.since(before)
    change_traffic = changing.discovery
    requests_per_second = context.options.requests_per_second * gateways / fleet.max_gateways
    fleet.start_load(requests_per_second, context.options.tenants)
    time.sleep(context.settle_s)
    loaded = fleet.measure(plan.seconds)
    fleet.stop_load()
    counter_traffic = loaded.counter
    return {
        WATCH_CALLS.name: idle_calls,
        WATCH_BYTES.name: idle_bytes,
        WATCH_CPU.name: idle_cpu * 1000,
        CHANGE_MESSAGES.name: (change_traffic.messages_in - idle_calls * changing.seconds) / plan.changes,
        CHANGE_BYTES.name: (
            change_traffic.bytes_in + change_traffic.bytes_out - idle_bytes * changing.seconds
        )
        / plan.changes,
        CHANGE_CPU.name: 1000 * (changing.discovery_cpu_s - idle_cpu * changing.seconds) / plan.changes,
        START_BYTES.name: gateways
        * (start_traffic.bytes_in + start_traffic.bytes_out)
        / max(1, started_count),
        GATEWAY_CALLS.name: idle_calls / gateways,
        GATEWAY_BYTES.name: idle_bytes / gateways,
        COUNTER_CALLS.name: counter_traffic.messages_in / loaded.seconds,
        COUNTER_BYTES.name: (counter_traffic.bytes_in + counter_traffic.bytes_out) / loaded.seconds,
        COUNTER_CPU.name: 1e6 * loaded.counter_cpu_s / max(1, counter_traffic.messages_in),
        IN_FORCE.name: 1000 * sum(in_force_s) / len(in_force_s),
    }


def run_fleet_series(
    context: RunContext, fleet: Fleet, plan: FleetPlan, sizes: tuple[int, ...]
) -> list[Slope]:
    """Measure the slopes of discovery and the counter; afterwards the fleet has its largest size."""
    fleet.discovery.ask(ReplaceHostList(plan.hosts, UNUSED_HOST_ADDRESSES))
    return measure_slopes(
        QUANTITIES,
        sizes,
        fleet.max_gateways,
        lambda gateways: grow_and_measure(context, fleet, plan, gateways),
        context.log,
    )
