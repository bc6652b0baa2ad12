"""Slopes: the fitted line, the prediction for the held-out size, and values that do not lie on a line."""

from __future__ import annotations

import json
from collections.abc import Mapping
from pathlib import Path

import pytest

from rainturn.emulator.measurements import Comparison, Quantity, ScaleResult
from rainturn.emulator.report import write_json
from rainturn.emulator.scale import doubling_sizes
from rainturn.emulator.slopes import fit_line, measure_slopes

SIZES = (100, 200, 400, 800)
COST = Quantity("a role", "cost", "ms", "hosts")


def test_fit_returns_the_line_of_exact_values() -> None:
    line = fit_line(SIZES, [3 + 0.5 * size for size in SIZES])
    assert line.intercept == pytest.approx(3) and line.slope == pytest.approx(0.5)
    assert line.residual == pytest.approx(0, abs=1e-9) and line.value_at(1600) == pytest.approx(803)


@pytest.mark.parametrize("sizes", [(1, 2, 4), (1, 2, 3, 8), (1, 2, 4, 8, 15)])
def test_too_few_or_too_close_sizes_are_rejected(sizes: tuple[int, ...]) -> None:
    with pytest.raises(ValueError):
        fit_line(sizes, [float(size) for size in sizes])
    with pytest.raises(ValueError):
        fit_line(SIZES, [1.0, 2.0, 3.0])


def test_held_out_size_is_predicted_before_it_is_measured() -> None:
    events: list[str] = []

    def measure(size: int) -> Mapping[str, float]:
        events.append(f"measured {size}")
        return {"cost": 2.0 * size}

    (slope,) = measure_slopes([COST], SIZES, 1600, measure, lambda text: events.append(text.strip()))
    prediction_index = next(
        index for index, text in enumerate(events) if text.startswith("cost at 1600 hosts: predicted 3200")
    )
    assert prediction_index < events.index("measured 1600") and events[-1].startswith("measured at 1600")
    assert slope.predicted == pytest.approx(3200) and slope.measured == 3200 and not slope.bends
    assert (slope.sizes, slope.role, slope.per) == (SIZES, "a role", "hosts")


def test_curve_is_reported_as_bending_and_not_extrapolated() -> None:
    log_lines: list[str] = []
    (slope,) = measure_slopes([COST], SIZES, 1600, lambda size: {"cost": float(size**3)}, log_lines.append)
    assert slope.bends and slope.predicted is None and "off the line" in slope.reason
    assert any("bends, no line" in text for text in log_lines)


def test_slope_bends_if_the_held_out_size_is_off_the_line() -> None:
    cost = {100: 1.0, 200: 2.0, 400: 4.0, 800: 8.0, 1600: 32.0}
    (slope,) = measure_slopes([COST], SIZES, 1600, lambda size: {"cost": cost[size]}, lambda text: None)
    assert slope.bends and slope.predicted == pytest.approx(16) and "50% above the line" in slope.reason


def test_constant_zero_is_a_line() -> None:
    (slope,) = measure_slopes([COST], SIZES, 1600, lambda size: {"cost": 0.0}, lambda text: None)
    assert not slope.bends and slope.predicted == 0


def test_sizes_double_below_the_held_out_size() -> None:
    assert doubling_sizes(200, 17_000) == (265, 531, 1062, 2125, 4250, 8500)
    assert doubling_sizes(200, 64) == (4, 8, 16, 32)  # at least four sizes, even below the minimum
    with pytest.raises(ValueError):
        doubling_sizes(1, 8)


def test_result_is_written_as_json(tmp_path: Path) -> None:
    result = ScaleResult(40, 200, 10, 5.0, 1.0, 1, True, "abc")
    result.comparisons.append(Comparison("cost", "ms", 200, 1.0, 1.1, 0.0, 1 / 1.1, True))
    result.slopes += measure_slopes([COST], SIZES, 1600, lambda size: {"cost": size / 3}, lambda text: None)
    write_json(result, tmp_path / "result.json")
    text = (tmp_path / "result.json").read_text()
    written = json.loads(text)
    assert '"sizes": [100, 200, 400, 800]' in text  # each list of numbers is on one line
    assert written["slopes"][0]["values"] == [33.333, 66.667, 133.33, 266.67]
    assert written["comparisons"][0]["within"] is True and written["peak_memory_mb"] == 0
