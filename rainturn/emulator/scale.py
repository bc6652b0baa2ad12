"""The scale run: its parts one after another, each within the run's time, processes and memory."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from rainturn.emulator.comparison import run_comparison
from rainturn.emulator.control_series import run_control_series
from rainturn.emulator.fleet import Fleet
from rainturn.emulator.fleet_series import FleetPlan, run_fleet_series
from rainturn.emulator.lab import Lab, Options, OverBudget
from rainturn.emulator.measurements import ScaleResult
from rainturn.emulator.real_gateway import run_command
from rainturn.emulator.report import revision

QUICK_S = 40.0  # a part that would begin or go on after this is left out and named
FULL_S = 1500.0
LEAST_HOSTS, LEAST_GATEWAYS = 200, 40
QUICK_LEAST_HOSTS, QUICK_LEAST_GATEWAYS = 200, 5
FLEET_HOSTS = 200  # of a whole fleet: gateways x hosts are held in this machine's memory at once
PROCESSES = 6  # that share the hollow gateways


@dataclass(frozen=True)
class Part:
    """A part of the run under its name."""

    name: str
    run: Callable[[Lab, ScaleResult], None]


def doubled(least: int, held_out: int) -> tuple[int, ...]:
    """Four to six sizes that double, the largest no more than half of the held-out size."""
    sizes: list[int] = []
    size = held_out // 2
    while size >= 1 and len(sizes) < 6 and (size >= least or len(sizes) < 4):
        sizes.append(size)
        size //= 2
    if len(sizes) < 4 or len(set(sizes)) < len(sizes):
        raise ValueError(f"{held_out} is too small for four sizes that double below it")
    return tuple(reversed(sizes))


def control_part(lab: Lab, result: ScaleResult) -> None:
    """A gateway's control path against hosts."""
    least = QUICK_LEAST_HOSTS if lab.options.quick else LEAST_HOSTS
    slopes, faults = run_control_series(lab, doubled(least, lab.options.hosts), lab.options.hosts)
    result.slopes += slopes
    result.faults += faults


def fleet_part(lab: Lab, result: ScaleResult) -> None:
    """Discovery and the counter against gateways."""
    options = lab.options
    least = QUICK_LEAST_GATEWAYS if options.quick else LEAST_GATEWAYS
    plan = FleetPlan(min(FLEET_HOSTS, options.hosts), options.window_s, 2 if options.quick else 8)
    fleet = Fleet(lab, options.gateways, 3 if options.quick else PROCESSES)
    result.slopes += run_fleet_series(lab, fleet, plan, doubled(least, options.gateways))
    fleet.end()


def comparison_part(lab: Lab, result: ScaleResult) -> None:
    """Hollow gateways against real ones."""
    result.comparisons += run_comparison(lab)


PARTS = (
    Part("control path against hosts", control_part),
    Part("hollow against real", comparison_part),
    Part("discovery and counter against gateways", fleet_part),
)


def run_scale(options: Options, say: Callable[[str], None]) -> ScaleResult:
    """Measure all parts, and leave out, by name, what has no time or memory left."""
    result = ScaleResult(
        options.gateways,
        options.hosts,
        options.tenants,
        options.requests_per_second,
        options.changes_per_second,
        options.seed,
        options.quick,
        revision(),
        load_average=os.getloadavg()[0],
        real_command=run_command(),
    )
    began = time.monotonic()
    with Lab(options, say, QUICK_S if options.quick else FULL_S) as lab:
        if options.quick:
            run_side_by_side(lab, result)
        else:
            for part in PARTS:
                run_part(lab, result, part)
        result.processes, result.peak_memory_mb = lab.processes, lab.peak_mb
    result.seconds = time.monotonic() - began
    return result


def run_part(lab: Lab, result: ScaleResult, part: Part) -> None:
    """Run a part; what the run's time or memory does not allow is left out and named."""
    lab.say(part.name)
    try:
        lab.check()
        part.run(lab, result)
    except OverBudget as error:
        lab.say(f"left out: {part.name}: {error}")
        result.skipped.append(f"{part.name}: {error}")


def run_side_by_side(lab: Lab, result: ScaleResult) -> None:
    """Run all parts at once: processor time is counted by process, so they disturb each other but little."""
    pool = ThreadPoolExecutor(len(PARTS))
    try:
        for future in [pool.submit(run_part, lab, result, part) for part in PARTS]:
            future.result()
    finally:
        # After an error or Ctrl-C the other parts end with their processes, which the lab ends next.
        pool.shutdown(wait=False, cancel_futures=True)
