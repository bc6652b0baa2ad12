"""Random selection of cold hosts: each has an interval as wide as the share of requests that it may get.

The intervals lie end to end, and a draw selects the host whose interval holds it. This module makes no
decisions: widths, in multiples of an even share per host, are given by the caller. The share of a host grows
while it warms up, but its interval keeps its width until all intervals are laid out again, so that a draw
never gives a host more than it may get. A host that is removed leaves a gap; one whose share may have become
smaller leaves a gap as well and is added again at the end.
"""

from __future__ import annotations

from bisect import bisect_right
from itertools import accumulate

from rainturn.records import Host


class ColdHosts:
    """Intervals of cold hosts; adding and removing take constant time, a draw O(log n) comparisons."""

    def __init__(self) -> None:
        self.intervals: list[Host | None] = []  # the host of each; None: a gap
        self.ends: list[float] = []  # the upper bound of each interval
        self.interval_of: dict[int, int] = {}  # index of the interval, by host number
        self.least_mean_size = 0.0  # of the mean sizes behind the widths; 0: none

    def __len__(self) -> int:
        return len(self.interval_of)

    def hosts(self) -> list[Host]:
        """Return all hosts in the order of their intervals."""
        return [host for host in self.intervals if host is not None]

    def add(self, host: Host, width: float, mean_size: float) -> None:
        """Add a host at the end; `mean_size` is the mean host size behind its width, 0 if unknown."""
        self.interval_of[host.id] = len(self.intervals)
        self.intervals.append(host)
        self.ends.append((self.ends[-1] if self.ends else 0.0) + width)
        if not self.least_mean_size or mean_size < self.least_mean_size:
            self.least_mean_size = mean_size

    def remove(self, host: Host) -> None:
        """Replace a host's interval by a gap."""
        self.intervals[self.interval_of.pop(host.id)] = None

    def replace(self, hosts: list[Host], widths: list[float], mean_size: float) -> None:
        """Replace all intervals by those of these hosts, without gaps."""
        self.intervals = list[Host | None](hosts)
        self.ends = list(accumulate(widths))
        self.interval_of = {host.id: interval for interval, host in enumerate(hosts)}
        self.least_mean_size = mean_size

    def host_at(self, position: float, mean_size: float) -> Host | None:
        """Return the host whose interval holds a position, or None in a gap or beyond the end.

        If the mean size has grown since the widths were computed, intervals may be too wide by that factor;
        all of them then count as narrower by it.
        """
        if self.least_mean_size and mean_size > self.least_mean_size:
            position *= mean_size / self.least_mean_size
        interval = bisect_right(self.ends, position)
        return self.intervals[interval] if interval < len(self.intervals) else None
