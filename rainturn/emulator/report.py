"""The output of a scale run: JSON, and plots of its slopes."""

from __future__ import annotations

import json
import re
import subprocess
from pathlib import Path

from rainturn.emulator.measurements import ScaleResult, Slope
from rainturn.emulator.real_gateway import ROOT


def revision() -> str:
    """Return the measured commit, marked as dirty if files differ from it; empty outside a Git work tree."""
    try:
        completed = subprocess.run(
            ["git", "describe", "--always", "--dirty", "--abbrev=12"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=10,
            check=False,
        )
    except (OSError, subprocess.TimeoutExpired):
        return ""
    return completed.stdout.strip()


def write_json(result: ScaleResult, path: Path) -> None:
    """Write a result as JSON, floating-point numbers rounded to five significant digits."""
    text = json.dumps(_rounded(result.as_json()), indent=1)
    # Each list of numbers is put on one line, which keeps the file short and its diffs readable.
    text = re.sub(r"\[\s+([-\d.,\s]+?)\s+\]", lambda m: "[" + re.sub(r"\s+", " ", m[1]) + "]", text)
    path.write_text(text + "\n")


def _rounded(value: object) -> object:
    if isinstance(value, float):
        return float(f"{value:.5g}")
    if isinstance(value, dict):
        return {key: _rounded(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [_rounded(item) for item in value]
    return value


def plot_slopes(slopes: list[Slope], folder: Path) -> None:
    """Plot each slope with its line and its held-out size, one PNG file for each role, quantity and `per`."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    for slope in slopes:
        figure, axes = pyplot.subplots(figsize=(6, 4))
        axes.plot(slope.sizes, slope.values, "o", label="measured")
        axes.plot([slope.held_out_size], [slope.measured], "s", label="held out, measured")
        ends = [slope.sizes[0], slope.held_out_size]
        style = ":" if slope.bends else "-"
        axes.plot(ends, [slope.intercept + slope.slope * end for end in ends], style, label="line")
        axes.set(
            title=f"{slope.role}: {slope.quantity}" + (" (bends)" if slope.bends else ""),
            xlabel=slope.per,
            ylabel=slope.unit,
        )
        axes.legend()
        name = re.sub(r"\W+", "-", f"{slope.role}-{slope.quantity}-{slope.per}")
        figure.savefig(folder / f"{name}.png", dpi=100)
        pyplot.close(figure)
