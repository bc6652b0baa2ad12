"""Faults of a whole fleet: a zone is lost and returns, many gateways restart, and discovery is slow."""

from __future__ import annotations

import time
from collections.abc import Sequence
from functools import partial

from rainturn.emulator.commands import ChangeHosts, ChangeZone, ListChange, SetAnswerTime
from rainturn.emulator.control_series import ZONE_FRACTION
from rainturn.emulator.fleet import Fleet, FleetReading
from rainturn.emulator.lab import RunContext
from rainturn.emulator.measurements import Fault

RESTARTED_FRACTION = 0.7  # of the gateways restart at once, as in the worst scenario of the acceptance test
SLOW_ANSWER_MS = 5.0  # for each answer of a slow discovery service; it answers one call after another
TIMEOUT_S = 30.0


def _fault_figures(
    fleet: Fleet, before: FleetReading, name: str, note: str, in_force_s: float
) -> list[Fault]:
    """Return what a fault has cost all gateways and discovery since a reading."""
    totals = fleet.since(before)
    bytes_out = totals.discovery.bytes_out
    gateways = max(1, len(fleet.numbers))
    return [
        Fault(name, "in_force_everywhere", "s", in_force_s, note),
        Fault(name, "cpu_per_gateway", "ms", 1000 * totals.hollow_cpu_s / gateways, note),
        Fault(name, "discovery_cpu", "ms", 1000 * totals.discovery_cpu_s, note),
        Fault(name, "discovery_bytes_out", "MB", bytes_out / 1e6, note),
        Fault(name, "discovery_calls", "calls", float(totals.discovery.messages_in), note),
        Fault(name, "whole_lists", "lists", float(totals.discovery.whole_lists), note),
    ]


def _in_force_everywhere_s(times_s: Sequence[float], gateways: int) -> float:
    return times_s[-1] if len(times_s) == gateways and times_s else TIMEOUT_S


def measure_zone_lost(context: RunContext, fleet: Fleet) -> list[Fault]:
    """Measure the loss of a zone with a twelfth of all gateways and hosts, and its return at once."""
    context.check_limits()
    gateways = sorted(fleet.numbers)
    lost = gateways[: max(1, round(ZONE_FRACTION * len(gateways)))]
    before = fleet.read()
    fleet.stop_gateways(lost)
    zone_loss: ListChange = fleet.discovery.ask(ChangeZone(ZONE_FRACTION, lost=True))
    in_force_s = _in_force_everywhere_s(fleet.distribution_times(zone_loss, TIMEOUT_S), len(fleet.numbers))
    note = f"{len(lost)} of {len(gateways)} gateways and a twelfth of the hosts, one version"
    faults = _fault_figures(fleet, before, "zone lost", note, in_force_s)
    before = fleet.read()
    zone_return: ListChange = fleet.discovery.ask(ChangeZone(ZONE_FRACTION, lost=False))
    started = fleet.start_gateways(lost)
    in_force_s = max(
        started.took_s,
        _in_force_everywhere_s(fleet.distribution_times(zone_return, TIMEOUT_S), len(fleet.numbers)),
    )
    return faults + _fault_figures(fleet, before, "zone back", note, in_force_s)


def measure_restarts(context: RunContext, fleet: Fleet, name: str) -> list[Fault]:
    """Measure the restart of seven in ten gateways at once; each of them fetches the whole list."""
    context.check_limits()
    gateways = sorted(fleet.numbers)
    restarted = gateways[: round(RESTARTED_FRACTION * len(gateways))]
    before = fleet.read()
    fleet.stop_gateways(restarted)
    started = fleet.start_gateways(restarted, TIMEOUT_S)
    note = f"{len(restarted)} of {len(gateways)} gateways start again at once"
    without_list = Fault(
        name, "without_list", "gateways", float(started.without_list), f"after {TIMEOUT_S:g} s"
    )
    return [without_list, *_fault_figures(fleet, before, name, note, started.took_s)]


def measure_slow_discovery(context: RunContext, fleet: Fleet) -> list[Fault]:
    """Measure a change of the host list, and then many restarts, while discovery is slow to answer."""
    context.check_limits()
    fleet.discovery.ask(SetAnswerTime(SLOW_ANSWER_MS))
    try:
        time.sleep(context.settle_s)
        before = fleet.read()
        changed: ListChange = fleet.discovery.ask(ChangeHosts(1, interval_s=0.001))
        in_force_s = _in_force_everywhere_s(fleet.distribution_times(changed, TIMEOUT_S), len(fleet.numbers))
        note = f"{SLOW_ANSWER_MS:g} ms for each answer, {len(fleet.numbers)} gateways"
        faults = _fault_figures(fleet, before, "slow list service, one change", note, in_force_s)
        faults += measure_restarts(context, fleet, "slow list service, restart storm")
    finally:
        fleet.discovery.ask(SetAnswerTime(0.0))
    return faults


def run_fleet_faults(context: RunContext, fleet: Fleet) -> list[Fault]:
    """Measure all faults, one after another, on a fleet of full size."""
    faults: list[Fault] = []
    for measure_fault in (
        measure_zone_lost,
        partial(measure_restarts, name="restart storm"),
        measure_slow_discovery,
    ):
        for fault in measure_fault(context, fleet):
            context.log(f"  {fault.name}: {fault.quantity} {fault.value:.4g} {fault.unit} ({fault.note})")
            faults.append(fault)
    return faults
