"""Lines through measured sizes, and the judgement whether a curve is one."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from statistics import fmean, linear_regression

from rainturn.emulator.measurements import Quantity, Slope

LEAST_SIZES = 4
LEAST_FACTOR = 2.0  # between neighbouring sizes
BENT_RESIDUAL = 0.10  # root mean square distance from the line, as a part of the mean value
BENT_PREDICTION = 0.20  # distance of the held-out size from the line, as a part of what was measured


@dataclass(frozen=True)
class Line:
    """`intercept + slope x size`, and how well it fits."""

    intercept: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        """The line's value at a size."""
        return self.intercept + self.slope * size


def fit(sizes: Sequence[int], values: Sequence[float]) -> Line:
    """The least squares line through values at four sizes or more, a factor of two apart at least."""
    if len(sizes) < LEAST_SIZES or len(values) != len(sizes):
        raise ValueError(f"a slope needs a value at each of {LEAST_SIZES} sizes or more")
    if any(later < LEAST_FACTOR * earlier for earlier, later in zip(sizes, sizes[1:], strict=False)):
        raise ValueError("neighbouring sizes have to be a factor of two apart")
    slope, intercept = linear_regression(sizes, values)
    squares = [(value - intercept - slope * size) ** 2 for size, value in zip(sizes, values, strict=True)]
    mean = fmean(abs(value) for value in values)
    return Line(intercept, slope, math.sqrt(fmean(squares)) / mean if mean else 0.0)


def bend_of(line: Line) -> str:
    """Why the fitted sizes do not lie on a line; empty if they do."""
    if line.residual <= BENT_RESIDUAL:
        return ""
    return f"the fitted sizes lie {line.residual:.0%} of their mean off the line"


def judge(
    quantity: Quantity,
    sizes: Sequence[int],
    values: Sequence[float],
    line: Line,
    held_out_size: int,
    measured: float,
) -> Slope:
    """Put a slope together, its held-out size measured."""
    reason = bend_of(line)
    predicted = None if reason else line.at(held_out_size)
    if predicted is not None and abs(predicted - measured) > BENT_PREDICTION * abs(measured):
        off = (measured - predicted) / abs(measured) if measured else math.inf
        reason = f"the held-out size is {abs(off):.0%} {'above' if off > 0 else 'below'} the line"
    return Slope(
        role=quantity.role,
        quantity=quantity.name,
        unit=quantity.unit,
        per=quantity.per,
        sizes=tuple(sizes),
        values=tuple(values),
        intercept=line.intercept,
        slope=line.slope,
        residual=line.residual,
        held_out_size=held_out_size,
        predicted=predicted,
        measured=measured,
        bends=bool(reason),
        reason=reason,
    )


def measure_slopes(
    quantities: Sequence[Quantity],
    sizes: Sequence[int],
    held_out_size: int,
    measure: Callable[[int], Mapping[str, float]],
    say: Callable[[str], None],
) -> list[Slope]:
    """Measure several quantities, by name, at each size; predict the held-out size, then measure it."""
    values: dict[str, list[float]] = {quantity.name: [] for quantity in quantities}
    for size in sizes:
        found = measure(size)
        for quantity in quantities:
            values[quantity.name].append(found[quantity.name])
        say(f"  {quantities[0].per} {size}: " + _listed(quantities, found))
    lines = {quantity.name: fit(sizes, values[quantity.name]) for quantity in quantities}
    for quantity in quantities:
        line = lines[quantity.name]
        bend = bend_of(line)
        told = (
            f"bends, no line: {bend}" if bend else f"predicted {line.at(held_out_size):.4g} {quantity.unit}"
        )
        say(f"  {quantity.name} at {held_out_size} {quantity.per}: {told}")
    found = measure(held_out_size)
    say(f"  measured at {held_out_size}: " + _listed(quantities, found))
    return [judge(q, sizes, values[q.name], lines[q.name], held_out_size, found[q.name]) for q in quantities]


def _listed(quantities: Sequence[Quantity], found: Mapping[str, float]) -> str:
    return ", ".join(f"{q.name} {found[q.name]:.4g} {q.unit}" for q in quantities)
