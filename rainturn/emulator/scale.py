"""The scale run: its parts, each within the run's time, processes and memory."""

from __future__ import annotations

import os
import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace

from rainturn.emulator.comparison import run_comparison
from rainturn.emulator.control_series import run_control_series
from rainturn.emulator.counter_series import run_counter_series, run_customers_series, run_partition
from rainturn.emulator.fleet import Fleet
from rainturn.emulator.fleet_faults import run_fleet_faults
from rainturn.emulator.fleet_series import FleetPlan, run_fleet_series
from rainturn.emulator.lab import Lab, Options, OverBudget
from rainturn.emulator.measurements import ScaleResult
from rainturn.emulator.real_gateway import described_command
from rainturn.emulator.report import revision
from rainturn.emulator.request_series import run_request_series
from rainturn.emulator.virtual_fleet import VirtualPlan
from rainturn.emulator.virtual_series import Partition
from rainturn.emulator.workers import WorkerFailed

QUICK_S = 40.0  # a part that would begin or go on after this is left out and named
FULL_S = 1500.0
LEAST_HOSTS, LEAST_GATEWAYS = 200, 40
QUICK_LEAST_GATEWAYS = 5
FLEET_HOSTS = 200  # of a whole fleet: gateways x hosts are held in this machine's memory at once
PROCESSES = 6  # that share the hollow gateways
GATEWAY_RATE = 277  # requests/s that one gateway of the planned fleet gets: 360,000 over 1,300
REAL_RATE = 100.0  # of a real gateway whose added time is measured: it shares its cores with the stand-ins
QUICK_CUSTOMERS = 16_000


@dataclass(frozen=True)
class Part:
    """A part of the run under its name; `timed` ones measure processor time and go one after another."""

    name: str
    run: Callable[[Lab, ScaleResult], None]
    timed: bool = True
    in_quick: bool = True


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
    slopes, faults = run_control_series(lab, doubled(LEAST_HOSTS, lab.options.hosts), lab.options.hosts)
    result.slopes += slopes
    result.faults += faults


def request_part(lab: Lab, result: ScaleResult) -> None:
    """A real gateway's request path against hosts."""
    hosts = lab.options.hosts
    result.slopes += run_request_series(lab, doubled(LEAST_HOSTS, hosts), hosts, REAL_RATE)


def fleet_part(lab: Lab, result: ScaleResult) -> None:
    """Discovery and the counter against gateways, and the faults of a fleet."""
    options = lab.options
    least = QUICK_LEAST_GATEWAYS if options.quick else LEAST_GATEWAYS
    plan = FleetPlan(min(FLEET_HOSTS, options.hosts), options.window_s, 2 if options.quick else 8)
    fleet = Fleet(lab, options.gateways, 3 if options.quick else PROCESSES)
    sizes = doubled(least, options.gateways)
    result.slopes += run_fleet_series(lab, fleet, plan, sizes[-4:] if options.quick else sizes)
    result.faults += run_fleet_faults(lab, fleet)
    fleet.end()


def comparison_part(lab: Lab, result: ScaleResult) -> None:
    """Hollow gateways against real ones."""
    result.comparisons += run_comparison(lab)


def counter_part(lab: Lab, result: ScaleResult) -> None:
    """The counter's traffic against the requests of a gateway and against tenants."""
    options = lab.options
    rate, seconds = (48, 6.0) if options.quick else (GATEWAY_RATE, 18.0)
    tenants = doubled(6000, options.tenants)
    result.slopes += run_counter_series(lab, doubled(6, rate)[-4:], rate, tenants, options.tenants, seconds)


def customers_part(lab: Lab, result: ScaleResult) -> None:
    """Memory against customers held."""
    most = min(lab.options.tenants, QUICK_CUSTOMERS) if lab.options.quick else lab.options.tenants
    result.slopes += run_customers_series(lab, doubled(6000, most), most)


def partition_part(lab: Lab, result: ScaleResult) -> None:
    """The counter cut off from a region."""
    seed = lab.options.seed
    if lab.options.quick:
        plan, lengths = VirtualPlan(8, 4, 50, 200, 160.0, seed), Partition(4, 8, 3, 4)
    else:
        plan, lengths = VirtualPlan(16, 4, 50, 400, 960.0, seed), Partition(30, 120, 10, 30)
    result.faults += run_partition(lab, plan, lengths)


PARTS = (
    Part("control path against hosts", control_part),
    Part("hollow against real", comparison_part),
    Part("discovery and counter against gateways", fleet_part),
    Part("request path against hosts", request_part, in_quick=False),
    Part("counter traffic on a virtual clock", counter_part, timed=False),
    Part("memory of customers", customers_part, timed=False),
    Part("counter partitioned on a virtual clock", partition_part, timed=False),
)


def run_scale(
    options: Options,
    say: Callable[[str], None],
    keep: Callable[[ScaleResult], None] = lambda result: None,
) -> ScaleResult:
    """Measure all parts, and leave out, by name, what has no time or memory left.

    `keep` gets what was found after each part, with the parts to come among those left out: a long run that
    is ended from outside loses the part under way only.
    """
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
        real_command=described_command(),
    )
    began = time.monotonic()
    with Lab(options, say, QUICK_S if options.quick else FULL_S) as lab:
        to_come = [part.name for part in PARTS if part.in_quick or not options.quick]
        kept = threading.Lock()

        def done(part: Part) -> None:
            with kept:
                to_come.remove(part.name)
                result.processes, result.peak_memory_mb = lab.processes, lab.peak_mb
                result.seconds = time.monotonic() - began
                keep(replace(result, skipped=[*result.skipped, *(f"{name}: not run" for name in to_come)]))

        run_parts(lab, result, done)
    return result


def run_parts(lab: Lab, result: ScaleResult, done: Callable[[Part], None]) -> None:
    """Run the timed parts one after another, and the others, in one row, beside them.

    A quick run has no time for that: all its parts go side by side, and its processor times are rougher.
    """
    quick = lab.options.quick
    parts = [part for part in PARTS if part.in_quick or not quick]
    timed, others = [part for part in parts if part.timed], [part for part in parts if not part.timed]
    rows = [*([part] for part in timed), others] if quick else [timed, others]
    pool = ThreadPoolExecutor(len(rows))
    try:
        for future in [pool.submit(run_row, lab, result, row, done) for row in rows]:
            future.result()
    finally:
        # After an error or Ctrl-C the other rows end with their processes, which the lab ends next.
        pool.shutdown(wait=False, cancel_futures=True)


def run_row(lab: Lab, result: ScaleResult, parts: Sequence[Part], done: Callable[[Part], None]) -> None:
    """Run parts one after another; what the run's time or memory does not allow is left out and named."""
    for part in parts:
        lab.say(part.name)
        try:
            lab.check()
            part.run(lab, result)
        except (OverBudget, WorkerFailed) as error:
            if lab.closed:
                return  # the run is being ended: no failure of this part
            lab.say(f"left out: {part.name}: {error}")
            result.skipped.append(f"{part.name}: {error}")
        done(part)
