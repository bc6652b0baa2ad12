"""The metrics that operators fetch: counters of requests by class and ending, and current gauges."""

from __future__ import annotations

import enum
from collections import Counter

METRIC_PREFIX = "gateway"


class Ending(enum.IntEnum):
    """How a request ended for its client."""

    PASSED = 0
    DROPPED = 1
    BAD_GATEWAY = 2


class Metrics:
    """Counters since the start of the process. Each request and each attempt is counted once, at its end."""

    def __init__(self, classes: int) -> None:
        self.handled = [[0] * len(Ending) for _ in range(classes)]
        self.upstream_tries = 0  # attempts whose last byte has been sent

    def count_ending(self, request_class: int, ending: Ending) -> None:
        """Count the end of a request."""
        self.handled[request_class][ending] += 1

    def report(self, classes: tuple[str, ...], gauges: dict[str, int], ends: Counter[str]) -> str:
        """Return all metrics as statsd lines, including those that are zero, except for `ends`.

        `ends` counts the ends of requests, attempts and connections by `kind.reason`.
        """
        lines = [
            f"{METRIC_PREFIX}.handled.{name}.{ending.name.lower()}:{counts[ending]}|c"
            for name, counts in zip(classes, self.handled, strict=True)
            for ending in Ending
        ]
        lines += [f"{METRIC_PREFIX}.ended.{name}:{count}|c" for name, count in sorted(ends.items())]
        lines.append(f"{METRIC_PREFIX}.upstream_tries:{self.upstream_tries}|c")
        lines += [f"{METRIC_PREFIX}.{name}:{value}|g" for name, value in gauges.items()]
        return "\n".join(lines) + "\n"
