"""Lines through measured sizes: the fit, the prediction before the held-out size, and curves that bend."""

from __future__ import annotations

import json
from collections.abc import Mapping
from pathlib import Path

import pytest

from rainturn.emulator.measurements import Comparison, Quantity, ScaleResult
from rainturn.emulator.report import write_json
from rainturn.emulator.scale import doubled
from rainturn.emulator.slopes import fit, measure_slopes

SIZES = (100, 200, 400, 800)
COST = Quantity("a role", "cost", "ms", "hosts")


def test_a_line_is_found_again() -> None:
    line = fit(SIZES, [3 + 0.5 * size for size in SIZES])
    assert line.intercept == pytest.approx(3) and line.slope == pytest.approx(0.5)
    assert line.residual == pytest.approx(0, abs=1e-9) and line.at(1600) == pytest.approx(803)


@pytest.mark.parametrize("sizes", [(1, 2, 4), (1, 2, 3, 8), (1, 2, 4, 8, 15)])
def test_too_few_sizes_or_too_close_ones_make_no_slope(sizes: tuple[int, ...]) -> None:
    with pytest.raises(ValueError):
        fit(sizes, [float(size) for size in sizes])
    with pytest.raises(ValueError):
        fit(SIZES, [1.0, 2.0, 3.0])


def test_the_held_out_size_is_predicted_before_it_is_measured() -> None:
    order: list[str] = []

    def measure(size: int) -> Mapping[str, float]:
        order.append(f"measured {size}")
        return {"cost": 2.0 * size}

    (slope,) = measure_slopes([COST], SIZES, 1600, measure, lambda text: order.append(text.strip()))
    told = next(n for n, text in enumerate(order) if text.startswith("cost at 1600 hosts: predicted 3200"))
    assert told < order.index("measured 1600") and order[-1].startswith("measured at 1600")
    assert slope.predicted == pytest.approx(3200) and slope.measured == 3200 and not slope.bends
    assert (slope.sizes, slope.role, slope.per) == (SIZES, "a role", "hosts")


def test_a_curve_is_said_to_bend_and_not_extrapolated() -> None:
    told: list[str] = []
    (slope,) = measure_slopes([COST], SIZES, 1600, lambda size: {"cost": float(size**3)}, told.append)
    assert slope.bends and slope.predicted is None and "off the line" in slope.reason
    assert any("bends, no line" in text for text in told)


def test_a_line_that_misses_the_held_out_size_bends() -> None:
    cost = {100: 1.0, 200: 2.0, 400: 4.0, 800: 8.0, 1600: 32.0}
    (slope,) = measure_slopes([COST], SIZES, 1600, lambda size: {"cost": cost[size]}, lambda text: None)
    assert slope.bends and slope.predicted == pytest.approx(16) and "50% above the line" in slope.reason


def test_what_does_not_grow_is_a_line() -> None:
    (slope,) = measure_slopes([COST], SIZES, 1600, lambda size: {"cost": 0.0}, lambda text: None)
    assert not slope.bends and slope.predicted == 0


def test_sizes_double_below_the_held_out_one() -> None:
    assert doubled(200, 17_000) == (265, 531, 1062, 2125, 4250, 8500)
    assert doubled(200, 64) == (4, 8, 16, 32)  # four in any case
    with pytest.raises(ValueError):
        doubled(1, 8)


def test_a_result_is_written_as_json(tmp_path: Path) -> None:
    result = ScaleResult(40, 200, 10, 5.0, 1.0, 1, True, "abc")
    result.comparisons.append(Comparison("cost", "ms", 200, 1.0, 1.1, 0.0, 1 / 1.1, True))
    result.slopes += measure_slopes([COST], SIZES, 1600, lambda size: {"cost": size / 3}, lambda text: None)
    write_json(result, tmp_path / "found.json")
    text = (tmp_path / "found.json").read_text()
    source = json.loads(text)
    assert '"sizes": [100, 200, 400, 800]' in text  # a list of numbers stands on one line
    assert source["slopes"][0]["values"] == [33.333, 66.667, 133.33, 266.67]
    assert source["comparisons"][0]["within"] is True and source["peak_memory_mb"] == 0
