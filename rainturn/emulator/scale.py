"""The scale run: its parts, and the order in which they run within the limits of time and memory."""

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
from rainturn.emulator.lab import Options, OverBudget, RunContext
from rainturn.emulator.measurements import ScaleResult
from rainturn.emulator.real_gateway import described_command
from rainturn.emulator.report import revision
from rainturn.emulator.request_series import run_request_series
from rainturn.emulator.virtual_fleet import VirtualFleetOptions
from rainturn.emulator.virtual_series import PartitionDurations
from rainturn.emulator.workers import WorkerFailed

# A part that would start or continue after the time limit is skipped, and the result names it.
QUICK_TIME_LIMIT_S = 40.0
FULL_TIME_LIMIT_S = 1500.0
MIN_HOSTS, MIN_GATEWAYS = 200, 40
QUICK_MIN_GATEWAYS = 5
FLEET_HOSTS = 200  # small: this machine holds the host lists of all gateways of a fleet in memory at once
HOLLOW_PROCESSES = 6  # processes that share the hollow gateways
GATEWAY_REQUESTS_PER_S = 277  # for one gateway of the planned fleet: 360,000 requests/s over 1,300 gateways
# For a real gateway whose added time is measured; it shares its cores with the stand-ins.
REAL_GATEWAY_REQUESTS_PER_S = 100.0
QUICK_MAX_CUSTOMERS = 16_000


@dataclass(frozen=True)
class Part:
    """A named part of the scale run.

    Timed parts measure processor time; in a full run they run one after another.
    """

    name: str
    run: Callable[[RunContext, ScaleResult], None]
    timed: bool = True
    in_quick: bool = True


def doubling_sizes(minimum: int, held_out_size: int) -> tuple[int, ...]:
    """Return four to six sizes that double, the largest at most half of the held-out size.

    Sizes below `minimum` are included only to reach four sizes. Raises ValueError if the held-out size is
    too small for four different sizes.
    """
    sizes: list[int] = []
    size = held_out_size // 2
    while size >= 1 and len(sizes) < 6 and (size >= minimum or len(sizes) < 4):
        sizes.append(size)
        size //= 2
    if len(sizes) < 4 or len(set(sizes)) < len(sizes):
        raise ValueError(f"{held_out_size} is too small for four sizes that double below it")
    return tuple(reversed(sizes))


def control_part(context: RunContext, result: ScaleResult) -> None:
    """Measure a gateway's control path against the number of hosts."""
    slopes, faults = run_control_series(
        context, doubling_sizes(MIN_HOSTS, context.options.hosts), context.options.hosts
    )
    result.slopes += slopes
    result.faults += faults


def request_part(context: RunContext, result: ScaleResult) -> None:
    """Measure a real gateway's request path against the number of hosts."""
    hosts = context.options.hosts
    result.slopes += run_request_series(
        context, doubling_sizes(MIN_HOSTS, hosts), hosts, REAL_GATEWAY_REQUESTS_PER_S
    )


def fleet_part(context: RunContext, result: ScaleResult) -> None:
    """Measure discovery and the counter against the number of gateways, and the faults of a fleet."""
    options = context.options
    minimum = QUICK_MIN_GATEWAYS if options.quick else MIN_GATEWAYS
    plan = FleetPlan(min(FLEET_HOSTS, options.hosts), options.window_s, 2 if options.quick else 8)
    fleet = Fleet(context, options.gateways, 3 if options.quick else HOLLOW_PROCESSES)
    sizes = doubling_sizes(minimum, options.gateways)
    result.slopes += run_fleet_series(context, fleet, plan, sizes[-4:] if options.quick else sizes)
    result.faults += run_fleet_faults(context, fleet)
    fleet.stop()


def comparison_part(context: RunContext, result: ScaleResult) -> None:
    """Compare hollow gateways with real ones."""
    result.comparisons += run_comparison(context)


def counter_part(context: RunContext, result: ScaleResult) -> None:
    """Measure the counter's traffic against the request rate of a gateway, and against tenants."""
    options = context.options
    rate, seconds = (48, 6.0) if options.quick else (GATEWAY_REQUESTS_PER_S, 18.0)
    tenants = doubling_sizes(6000, options.tenants)
    result.slopes += run_counter_series(
        context, doubling_sizes(6, rate)[-4:], rate, tenants, options.tenants, seconds
    )


def customers_part(context: RunContext, result: ScaleResult) -> None:
    """Measure memory against the number of customers that a gateway holds."""
    max_customers = (
        min(context.options.tenants, QUICK_MAX_CUSTOMERS)
        if context.options.quick
        else context.options.tenants
    )
    result.slopes += run_customers_series(context, doubling_sizes(6000, max_customers), max_customers)


def partition_part(context: RunContext, result: ScaleResult) -> None:
    """Measure a fleet while the counter is cut off from one region."""
    seed = context.options.seed
    if context.options.quick:
        fleet_options, durations = (
            VirtualFleetOptions(8, 4, 50, 200, 160.0, seed),
            PartitionDurations(4, 8, 3, 4),
        )
    else:
        fleet_options, durations = (
            VirtualFleetOptions(16, 4, 50, 400, 960.0, seed),
            PartitionDurations(30, 120, 10, 30),
        )
    result.faults += run_partition(context, fleet_options, durations)


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
    log: Callable[[str], None],
    save: Callable[[ScaleResult], None] = lambda result: None,
) -> ScaleResult:
    """Run all parts; a part for which no time or memory is left is skipped, and the result names it.

    `save` is called after each part with the results so far, in which the remaining parts stand among the
    skipped ones. A long run that is ended from outside therefore loses only the parts that are running.
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
    started_at = time.monotonic()
    with RunContext(options, log, QUICK_TIME_LIMIT_S if options.quick else FULL_TIME_LIMIT_S) as context:
        remaining = [part.name for part in PARTS if part.in_quick or not options.quick]
        save_lock = threading.Lock()

        def on_part_end(part: Part) -> None:
            with save_lock:
                remaining.remove(part.name)
                result.processes, result.peak_memory_mb = context.processes_started, context.peak_memory_mb
                result.seconds = time.monotonic() - started_at
                save(replace(result, skipped=[*result.skipped, *(f"{name}: not run" for name in remaining)]))

        run_parts(context, result, on_part_end)
    return result


def run_parts(context: RunContext, result: ScaleResult, on_part_end: Callable[[Part], None]) -> None:
    """Run the timed parts one after another, and beside them the other parts, also one after another.

    A quick run has no time for this order: it runs each timed part beside the others, and its processor
    times are less precise.
    """
    quick = context.options.quick
    parts = [part for part in PARTS if part.in_quick or not quick]
    timed, others = [part for part in parts if part.timed], [part for part in parts if not part.timed]
    sequences = [*([part] for part in timed), others] if quick else [timed, others]
    pool = ThreadPoolExecutor(len(sequences))
    try:
        for future in [
            pool.submit(run_sequence, context, result, sequence, on_part_end) for sequence in sequences
        ]:
            future.result()
    finally:
        # After an error or Ctrl-C, the context stops all processes next, which ends the other sequences.
        pool.shutdown(wait=False, cancel_futures=True)


def run_sequence(
    context: RunContext, result: ScaleResult, parts: Sequence[Part], on_part_end: Callable[[Part], None]
) -> None:
    """Run parts one after another; skip, and name in the result, parts that fail or exceed a limit."""
    for part in parts:
        context.log(part.name)
        try:
            context.check_limits()
            part.run(context, result)
        except (OverBudget, WorkerFailed) as error:
            if context.is_ending:
                return  # the part fails because the run is being ended
            context.log(f"skipped: {part.name}: {error}")
            result.skipped.append(f"{part.name}: {error}")
        on_part_end(part)
