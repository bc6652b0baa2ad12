"""Faults of a whole fleet: a zone lost and back, a restart storm, and a list service that is slow."""

from __future__ import annotations

import time
from collections.abc import Sequence
from functools import partial

from rainturn.emulator.commands import ChangeHosts, ChangeZone, ListChange, SetAnswerTime
from rainturn.emulator.control_series import ZONE_PART
from rainturn.emulator.fleet import Fleet, FleetReading
from rainturn.emulator.lab import Lab
from rainturn.emulator.measurements import Fault

RESTARTED_PART = 0.7  # of the gateways are killed at once, as on the standing test's worst day
SLOW_MS = 5.0  # for each answer of a slow service, one after another
WITHIN_S = 30.0


def _cost(fleet: Fleet, before: FleetReading, name: str, note: str, took_s: float) -> list[Fault]:
    """What a fault cost all gateways and discovery since a reading."""
    spent = fleet.since(before)
    sent = spent.discovery.bytes_out
    gateways = max(1, len(fleet.numbers))
    return [
        Fault(name, "in_force_everywhere", "s", took_s, note),
        Fault(name, "cpu_per_gateway", "ms", 1000 * spent.hollow_cpu_s / gateways, note),
        Fault(name, "discovery_cpu", "ms", 1000 * spent.discovery_cpu_s, note),
        Fault(name, "discovery_bytes_out", "MB", sent / 1e6, note),
        Fault(name, "discovery_calls", "calls", float(spent.discovery.messages_in), note),
        Fault(name, "whole_lists", "lists", float(spent.discovery.whole_lists), note),
    ]


def _took(reached: Sequence[float], gateways: int) -> float:
    return reached[-1] if len(reached) == gateways and reached else WITHIN_S


def play_zone_lost(lab: Lab, fleet: Fleet) -> list[Fault]:
    """A zone with a twelfth of gateways and hosts is lost, and all of it returns at once."""
    lab.check()
    everyone = sorted(fleet.numbers)
    lost = everyone[: max(1, round(ZONE_PART * len(everyone)))]
    before = fleet.read()
    fleet.leave(lost)
    gone: ListChange = fleet.discovery.ask(ChangeZone(ZONE_PART, lost=True))
    took_s = _took(fleet.in_force(gone, WITHIN_S), len(fleet.numbers))
    note = f"{len(lost)} of {len(everyone)} gateways and a twelfth of the hosts, one version"
    found = _cost(fleet, before, "zone lost", note, took_s)
    before = fleet.read()
    back: ListChange = fleet.discovery.ask(ChangeZone(ZONE_PART, lost=False))
    joined = fleet.join(lost)
    took_s = max(joined.took_s, _took(fleet.in_force(back, WITHIN_S), len(fleet.numbers)))
    return found + _cost(fleet, before, "zone back", note, took_s)


def play_restarts(lab: Lab, fleet: Fleet, name: str) -> list[Fault]:
    """Seven in ten gateways start again at once; all of them fetch the whole list."""
    lab.check()
    everyone = sorted(fleet.numbers)
    restarted = everyone[: round(RESTARTED_PART * len(everyone))]
    before = fleet.read()
    fleet.leave(restarted)
    joined = fleet.join(restarted, WITHIN_S)
    note = f"{len(restarted)} of {len(everyone)} gateways start again at once"
    without = Fault(name, "without_list", "gateways", float(joined.without_list), f"after {WITHIN_S:g} s")
    return [without, *_cost(fleet, before, name, note, joined.took_s)]


def play_slow_service(lab: Lab, fleet: Fleet) -> list[Fault]:
    """Discovery takes long for each answer: a change, and then a restart storm."""
    lab.check()
    fleet.discovery.ask(SetAnswerTime(SLOW_MS))
    try:
        time.sleep(lab.settle_s)
        before = fleet.read()
        changed: ListChange = fleet.discovery.ask(ChangeHosts(1, interval_s=0.001))
        took_s = _took(fleet.in_force(changed, WITHIN_S), len(fleet.numbers))
        note = f"{SLOW_MS:g} ms for each answer, {len(fleet.numbers)} gateways"
        found = _cost(fleet, before, "slow list service, one change", note, took_s)
        found += play_restarts(lab, fleet, "slow list service, restart storm")
    finally:
        fleet.discovery.ask(SetAnswerTime(0.0))
    return found


def run_fleet_faults(lab: Lab, fleet: Fleet) -> list[Fault]:
    """All of them, on a fleet that has been measured."""
    found: list[Fault] = []
    for play in (play_zone_lost, partial(play_restarts, name="restart storm"), play_slow_service):
        for fault in play(lab, fleet):
            lab.say(f"  {fault.name}: {fault.quantity} {fault.value:.4g} {fault.unit} ({fault.note})")
            found.append(fault)
    return found
