"""Typed records of the results of a scale run, written to JSON and read by the capacity page."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from typing import Any


@dataclass(frozen=True)
class Quantity:
    """The quantity of a slope: its values are in `unit`, and its sizes are numbers of `per`."""

    role: str
    name: str
    unit: str
    per: str


@dataclass(frozen=True)
class Slope:
    """A quantity measured at several sizes, the line fitted to it, and a larger held-out size as a check.

    `residual` is the root mean square distance of the values from the line, as a fraction of their mean.
    `predicted` is None if the values at the fitted sizes do not lie on a line: then nothing is extrapolated.
    `bends` is true if those values, or the one at the held-out size, do not lie on the line; `reason` says
    which.
    """

    role: str
    quantity: str
    unit: str
    per: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    intercept: float
    slope: float
    residual: float
    held_out_size: int
    predicted: float | None
    measured: float
    bends: bool
    reason: str = ""


@dataclass(frozen=True)
class Comparison:
    """A figure of a hollow gateway beside that of a real one at the same size, both for one instance.

    `correction` is added to the hollow figure for work that a hollow gateway does not do. `ratio` is the
    corrected hollow figure divided by the real one, and `within` says whether it is within 15% of 1.
    """

    quantity: str
    unit: str
    hosts: int
    hollow: float
    real: float
    correction: float
    ratio: float
    within: bool
    explanation: str = ""


@dataclass(frozen=True)
class Fault:
    """One figure that was measured during an injected fault."""

    name: str
    quantity: str
    unit: str
    value: float
    note: str = ""


@dataclass
class ScaleResult:
    """All results of one scale run."""

    gateways: int
    hosts: int
    tenants: int
    requests_per_second: float
    changes_per_second: float
    seed: int
    quick: bool
    revision: str
    processes: int = 0
    peak_memory_mb: float = 0.0
    seconds: float = 0.0
    load_average: float = 0.0
    real_command: str = ""
    slopes: list[Slope] = field(default_factory=list)
    comparisons: list[Comparison] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    skipped: list[str] = field(default_factory=list)

    def as_json(self) -> dict[str, Any]:
        """Return the result as plain dictionaries and lists."""
        return asdict(self)
