"""What a scale run finds, as typed records that are written to JSON and read by the capacity page."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from typing import Any


@dataclass(frozen=True)
class Quantity:
    """What a slope describes: `unit` of its values against the `per` of its sizes."""

    role: str
    name: str
    unit: str
    per: str


@dataclass(frozen=True)
class Slope:
    """A quantity measured at several sizes, the line through it, and one larger size as a check.

    `residual` is the root mean square distance of the fitted values from the line, as a part of their mean.
    `predicted` is None where the fitted sizes already bend: such a curve is not extrapolated as a line.
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
    """A hollow gateway's figure against a real one's at the same size, both for one instance.

    `correction` is added to the hollow figure for work that a hollow gateway leaves out; `ratio` is the
    hollow figure, so corrected, over the real one, and `within` says whether it is within 15% of 1.
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
    """One figure of a fault that was played."""

    name: str
    quantity: str
    unit: str
    value: float
    note: str = ""


@dataclass
class ScaleResult:
    """All that one scale run found."""

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
        """The run as plain maps and lists."""
        return asdict(self)
