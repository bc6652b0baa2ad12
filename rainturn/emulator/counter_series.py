"""The counter's traffic and customers' memory as slopes; each size has a virtual clock and a process."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from typing import Any

from rainturn.emulator.lab import Lab
from rainturn.emulator.measurements import Fault, Quantity, Slope
from rainturn.emulator.slopes import measure_slopes
from rainturn.emulator.virtual_fleet import VirtualPlan
from rainturn.emulator.virtual_series import Partition, counter_traffic, customers_memory, partition

CONTROL = "gateway control path"
HOSTS = 50  # few: the list is measured elsewhere
GATEWAYS = 4  # that share their tenants
TENANTS_MOST = 100_000


def traffic_quantities(per: str) -> tuple[Quantity, ...]:
    """The counter's traffic against requests a second a gateway, or against tenants."""
    return (
        Quantity(CONTROL, "calls_per_request", "calls", per),
        Quantity(CONTROL, "bytes_per_request", "bytes", per),
        Quantity(CONTROL, "calls_per_gateway", "calls/s", per),
        Quantity(CONTROL, "bytes_per_gateway", "bytes/s", per),
        Quantity(CONTROL, "customers_memory", "MB", per),
    )


MEMORY = Quantity(CONTROL, "customers_memory", "MB", "customers")
EACH = Quantity(CONTROL, "bytes_per_customer", "bytes", "customers")


def side_by_side(
    lab: Lab, sizes: Sequence[int], at_once: int, start: Callable[[int], Any]
) -> Callable[[int], Mapping[str, float]]:
    """Start calls for several sizes at once, and give each size's result when it is asked for.

    The held-out size is not among `sizes`: it is started only when it is asked for.
    """
    waiting, running = list(sizes), dict[int, Any]()

    def fill() -> None:
        while waiting and len(running) < at_once:
            size = waiting.pop(0)
            running[size] = start(size)

    def measure(size: int) -> Mapping[str, float]:
        fill()
        call = running.pop(size) if size in running else start(size)
        found: Mapping[str, float] = lab.result(call)
        fill()
        return found

    return measure


def run_counter_series(
    lab: Lab, rates: Sequence[int], held_rate: int, tenants: Sequence[int], held_tenants: int, seconds: float
) -> list[Slope]:
    """Calls and bytes against the requests a second that a gateway gets, and against tenants."""
    plan = VirtualPlan(GATEWAYS, 1, HOSTS, held_tenants, 1.0, lab.options.seed)
    at_once = 2 if lab.options.quick else 4

    def by_rate(rate: int) -> Any:
        return lab.fresh(counter_traffic, replace(plan, requests_per_second=float(rate * GATEWAYS)), seconds)

    def by_tenants(count: int) -> Any:
        full = replace(plan, tenants=count, requests_per_second=float(held_rate * GATEWAYS))
        return lab.fresh(counter_traffic, full, seconds)

    slopes = measure_slopes(
        traffic_quantities("requests/s a gateway"),
        rates,
        held_rate,
        side_by_side(lab, rates, at_once, by_rate),
        lab.say,
    )
    slopes += measure_slopes(
        traffic_quantities("tenants"),
        tenants,
        held_tenants,
        side_by_side(lab, tenants, at_once, by_tenants),
        lab.say,
    )
    return slopes


def run_customers_series(lab: Lab, sizes: Sequence[int], held_out: int) -> list[Slope]:
    """Memory against customers held at once."""
    plan = VirtualPlan(1, 1, HOSTS, 1, 1.0, lab.options.seed)
    at_once = 2 if lab.options.quick else 4
    measure = side_by_side(
        lab, sizes, at_once, lambda count: lab.fresh(customers_memory, replace(plan, tenants=count))
    )
    return measure_slopes((MEMORY, EACH), sizes, held_out, measure, lab.say)


def run_partition(lab: Lab, plan: VirtualPlan, lengths: Partition) -> list[Fault]:
    """The counter cut off from one region."""
    found: list[Fault] = lab.result(lab.fresh(partition, plan, lengths))
    for fault in found:
        lab.say(f"  {fault.name}: {fault.quantity} {fault.value:.4g} {fault.unit}")
    lab.say(f"  ({found[0].note})")
    return found
