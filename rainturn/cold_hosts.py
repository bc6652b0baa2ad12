"""Cold hosts laid end to end, each as wide as the share of requests it may get, to be drawn from.

Nothing here decides: the widths, in even shares of a host, come from outside. They grow while a host warms
up. What is laid down stays as wide as it was until all are laid down anew, so that a draw never gives a host
more than it may get: one that leaves, or whose width may have become smaller, leaves a gap and comes anew at
the end.
"""

from __future__ import annotations

from bisect import bisect_right
from itertools import accumulate

from rainturn.records import Host


class ColdHosts:
    """Adds and removes at a fixed cost, and draws at a few comparisons for each doubling of their number."""

    def __init__(self) -> None:
        self.places: list[Host | None] = []  # None: a gap
        self.ends: list[float] = []  # where each place ends
        self.place_of: dict[int, int] = {}  # by host number
        self.least_mean_size = 0.0  # of those that widths were worked out with; 0: none

    def __len__(self) -> int:
        return len(self.place_of)

    def hosts(self) -> list[Host]:
        """All of them, in the order of their places."""
        return [host for host in self.places if host is not None]

    def add(self, host: Host, width: float, mean_size: float) -> None:
        """Lay a host down at the end; its width was worked out with the mean size of a host, 0 if unknown."""
        self.place_of[host.id] = len(self.places)
        self.places.append(host)
        self.ends.append((self.ends[-1] if self.ends else 0.0) + width)
        if not self.least_mean_size or mean_size < self.least_mean_size:
            self.least_mean_size = mean_size

    def remove(self, host: Host) -> None:
        """Leave a gap in place of a host."""
        self.places[self.place_of.pop(host.id)] = None

    def replace(self, hosts: list[Host], widths: list[float], mean_size: float) -> None:
        """Lay just these hosts down, without gaps."""
        self.places = list[Host | None](hosts)
        self.ends = list(accumulate(widths))
        self.place_of = {host.id: place for place, host in enumerate(hosts)}
        self.least_mean_size = mean_size

    def at(self, position: float, mean_size: float) -> Host | None:
        """The host at a position.

        Where hosts are larger by now than when widths were worked out each of these may be too wide by as
        much; then all are drawn as if they were narrower.
        """
        if self.least_mean_size and mean_size > self.least_mean_size:
            position *= mean_size / self.least_mean_size
        place = bisect_right(self.ends, position)
        return self.places[place] if place < len(self.places) else None
