"""The figures that operators fetch: what ended how, by class, and what is so at this moment."""

from __future__ import annotations

import enum

PREFIX = "gateway"


class Ending(enum.IntEnum):
    """How a request ended for its client."""

    PASSED = 0
    DROPPED = 1
    BAD_GATEWAY = 2


class Counters:
    """Counts from the start of the process; each request and each attempt is booked once, where it ends."""

    def __init__(self, classes: int) -> None:
        self.handled = [[0] * len(Ending) for _ in range(classes)]
        self.upstream_tries = 0  # attempts whose last byte has left

    def ended(self, request_class: int, ending: Ending) -> None:
        """Book a request's end."""
        self.handled[request_class][ending] += 1

    def report(self, classes: tuple[str, ...], gauges: dict[str, int]) -> str:
        """All figures as statsd lines, zeros too."""
        lines = [
            f"{PREFIX}.handled.{name}.{ending.name.lower()}:{counts[ending]}|c"
            for name, counts in zip(classes, self.handled, strict=True)
            for ending in Ending
        ]
        lines.append(f"{PREFIX}.upstream_tries:{self.upstream_tries}|c")
        lines += [f"{PREFIX}.{name}:{value}|g" for name, value in gauges.items()]
        return "\n".join(lines) + "\n"
