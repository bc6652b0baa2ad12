"""Lines fitted to measured sizes, and the check whether the measurements lie on such a line."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from statistics import fmean, linear_regression

from rainturn.emulator.measurements import Quantity, Slope

MIN_SIZES = 4
MIN_SIZE_RATIO = 2.0  # between neighbouring sizes
MAX_RESIDUAL = 0.10  # root mean square distance from the line, as a fraction of the mean value
MAX_PREDICTION_ERROR = 0.20  # at the held-out size, as a fraction of the measured value


@dataclass(frozen=True)
class Line:
    """The line `intercept + slope * size`.

    `residual` is the root mean square distance of the values from it, as a fraction of their mean.
    """

    intercept: float
    slope: float
    residual: float

    def value_at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit_line(sizes: Sequence[int], values: Sequence[float]) -> Line:
    """Return the least squares line through values at sizes.

    Raises ValueError for fewer than four sizes, or for neighbouring sizes less than a factor of two apart.
    """
    if len(sizes) < MIN_SIZES or len(values) != len(sizes):
        raise ValueError(f"a slope needs a value at each of {MIN_SIZES} sizes or more")
    if any(larger < MIN_SIZE_RATIO * smaller for smaller, larger in zip(sizes, sizes[1:], strict=False)):
        raise ValueError("neighbouring sizes have to be a factor of two apart")
    slope, intercept = linear_regression(sizes, values)
    squared_distances = [
        (value - intercept - slope * size) ** 2 for size, value in zip(sizes, values, strict=True)
    ]
    mean = fmean(abs(value) for value in values)
    return Line(intercept, slope, math.sqrt(fmean(squared_distances)) / mean if mean else 0.0)


def bend_reason(line: Line) -> str:
    """Return why the fitted sizes do not lie on a line, or an empty text if they do."""
    if line.residual <= MAX_RESIDUAL:
        return ""
    return f"the fitted sizes lie {line.residual:.0%} of their mean off the line"


def make_slope(
    quantity: Quantity,
    sizes: Sequence[int],
    values: Sequence[float],
    line: Line,
    held_out_size: int,
    measured: float,
) -> Slope:
    """Return the slope for a line, checked against the value `measured` at the held-out size."""
    reason = bend_reason(line)
    predicted = None if reason else line.value_at(held_out_size)
    if predicted is not None and abs(predicted - measured) > MAX_PREDICTION_ERROR * abs(measured):
        deviation = (measured - predicted) / abs(measured) if measured else math.inf
        reason = f"the held-out size is {abs(deviation):.0%} {'above' if deviation > 0 else 'below'} the line"
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
    log: Callable[[str], None],
) -> list[Slope]:
    """Measure quantities at each size, then predict and measure them at the held-out size.

    `measure` returns the values of all quantities at a size, by name. The predictions are logged before the
    held-out size is measured.
    """
    values: dict[str, list[float]] = {quantity.name: [] for quantity in quantities}
    for size in sizes:
        measured = measure(size)
        for quantity in quantities:
            values[quantity.name].append(measured[quantity.name])
        log(f"  {quantities[0].per} {size}: " + _format_values(quantities, measured))
    lines = {quantity.name: fit_line(sizes, values[quantity.name]) for quantity in quantities}
    for quantity in quantities:
        line = lines[quantity.name]
        bend = bend_reason(line)
        prediction = (
            f"bends, no line: {bend}"
            if bend
            else f"predicted {line.value_at(held_out_size):.4g} {quantity.unit}"
        )
        log(f"  {quantity.name} at {held_out_size} {quantity.per}: {prediction}")
    measured = measure(held_out_size)
    log(f"  measured at {held_out_size}: " + _format_values(quantities, measured))
    return [
        make_slope(
            quantity,
            sizes,
            values[quantity.name],
            lines[quantity.name],
            held_out_size,
            measured[quantity.name],
        )
        for quantity in quantities
    ]


def _format_values(quantities: Sequence[Quantity], values: Mapping[str, float]) -> str:
    return ", ".join(
        f"{quantity.name} {values[quantity.name]:.4g} {quantity.unit}" for quantity in quantities
    )
