"""Slopes of the counter's traffic and of the memory of customers.

Each size is measured on a virtual clock in a process of its own.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from typing import Any

from rainturn.emulator.lab import RunContext
from rainturn.emulator.measurements import Fault, Quantity, Slope
from rainturn.emulator.slopes import measure_slopes
from rainturn.emulator.virtual_fleet import VirtualFleetOptions
from rainturn.emulator.virtual_series import (
    PartitionDurations,
    measure_counter_traffic,
    measure_customers_memory,
    measure_partition,
)

CONTROL_PATH = "gateway control path"
HOSTS = 50  # a short list: the cost of the host list is measured elsewhere
GATEWAYS = 4  # gateways that share their tenants


def traffic_quantities(per: str) -> tuple[Quantity, ...]:
    """Return the quantities of the counter's traffic against `per`: requests/s per gateway, or tenants."""
    return (
        Quantity(CONTROL_PATH, "calls_per_request", "calls", per),
        Quantity(CONTROL_PATH, "bytes_per_request", "bytes", per),
        Quantity(CONTROL_PATH, "calls_per_gateway", "calls/s", per),
        Quantity(CONTROL_PATH, "bytes_per_gateway", "bytes/s", per),
        Quantity(CONTROL_PATH, "customers_memory", "MB", per),
    )


CUSTOMERS_MEMORY = Quantity(CONTROL_PATH, "customers_memory", "MB", "customers")
BYTES_PER_CUSTOMER = Quantity(CONTROL_PATH, "bytes_per_customer", "bytes", "customers")


def measure_concurrently(
    context: RunContext, sizes: Sequence[int], max_running: int, start: Callable[[int], Any]
) -> Callable[[int], Mapping[str, float]]:
    """Return a function that gives the result for a size, with up to `max_running` calls at the same time.

    The calls for `sizes` are started ahead of their use. The held-out size is not among `sizes`: its call
    starts when its result is requested.
    """
    waiting, running = list(sizes), dict[int, Any]()

    def start_waiting() -> None:
        while waiting and len(running) < max_running:
            size = waiting.pop(0)
            running[size] = start(size)

    def measure(size: int) -> Mapping[str, float]:
        start_waiting()
        call = running.pop(size) if size in running else start(size)
        figures: Mapping[str, float] = context.wait_for_result(call)
        start_waiting()
        return figures

    return measure


def run_counter_series(
    context: RunContext,
    rates: Sequence[int],
    held_out_rate: int,
    tenants: Sequence[int],
    held_out_tenants: int,
    seconds: float,
) -> list[Slope]:
    """Measure the counter's calls and bytes against the requests/s of a gateway, and against tenants."""
    fleet_options = VirtualFleetOptions(GATEWAYS, 1, HOSTS, held_out_tenants, 1.0, context.options.seed)
    max_running = 2 if context.options.quick else 4

    def start_at_rate(rate: int) -> Any:
        return context.call_in_process(
            measure_counter_traffic,
            replace(fleet_options, requests_per_second=float(rate * GATEWAYS)),
            seconds,
        )

    def start_with_tenants(count: int) -> Any:
        full_rate = replace(fleet_options, tenants=count, requests_per_second=float(held_out_rate * GATEWAYS))
        return context.call_in_process(measure_counter_traffic, full_rate, seconds)

    slopes = measure_slopes(
        traffic_quantities("requests/s a gateway"),
        rates,
        held_out_rate,
        measure_concurrently(context, rates, max_running, start_at_rate),
        context.log,
    )
    slopes += measure_slopes(
        traffic_quantities("tenants"),
        tenants,
        held_out_tenants,
        measure_concurrently(context, tenants, max_running, start_with_tenants),
        context.log,
    )
    return slopes


def run_customers_series(context: RunContext, sizes: Sequence[int], held_out_size: int) -> list[Slope]:
    """Measure memory against the number of customers that a gateway holds at once."""
    fleet_options = VirtualFleetOptions(1, 1, HOSTS, 1, 1.0, context.options.seed)
    max_running = 2 if context.options.quick else 4
    measure = measure_concurrently(
        context,
        sizes,
        max_running,
        lambda count: context.call_in_process(
            measure_customers_memory, replace(fleet_options, tenants=count)
        ),
    )
    return measure_slopes((CUSTOMERS_MEMORY, BYTES_PER_CUSTOMER), sizes, held_out_size, measure, context.log)


def run_partition(
    context: RunContext, fleet_options: VirtualFleetOptions, durations: PartitionDurations
) -> list[Fault]:
    """Measure the fleet while the counter is cut off from one region."""
    faults: list[Fault] = context.wait_for_result(
        context.call_in_process(measure_partition, fleet_options, durations)
    )
    for fault in faults:
        context.log(f"  {fault.name}: {fault.quantity} {fault.value:.4g} {fault.unit}")
    context.log(f"  ({faults[0].note})")
    return faults
