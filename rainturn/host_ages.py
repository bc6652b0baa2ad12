"""When hosts started, on this gateway's clock, from a list whose start times another clock may have written.

Wall clocks may be stepped by an hour. What is sure is that a start of which we have just been told is some
seconds old, however far the clocks lie apart. The first list of a process tells no such thing: where it names
no start of the last while, its clock may lie behind ours, and the newest hosts may be cold.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from rainturn import interface as it

# The age at which a start is told on an ordinary day. An older one may have been told late, or by a clock
# that lies behind: the host is taken to have started just now. A clock that is off by less makes a host seem
# warmer than it is by no more than the margin of what cold hosts get.
NEWS_AGE_MS = 3000.0
FIRST_LIST_MS = 1000.0  # a first list may come in parts, for so long
LONG_AGO = 0.0  # as a start time
MOST_STARTS = 8192  # remembered ones: a host that comes back to the list with an older start is taken for new


class HostAges:
    """Turns start times of the list into times on this gateway's clock, in doubt into later ones."""

    def __init__(self, warm_ms: float) -> None:
        self.warm_ms = warm_ms  # a host is warm after this
        self.first_list_ends = math.inf  # until when news belong to the first list of discovery
        self.newest = -math.inf  # the latest start that the list names, by its own clock
        self.starts: dict[tuple[int, float], float] = {}  # by host and listed start, the oldest news first

    def follow(self, now: float, event: it.HostList) -> None:
        """Note a list or a change of it, before its entries are judged."""
        if self.first_list_ends == math.inf and event.kind is not it.ListKind.CACHED:
            self.first_list_ends = now + FIRST_LIST_MS
        if now < self.first_list_ends:
            self.newest = max(self.newest, max(_starts(event.entries), default=-math.inf))

    def started_at(self, now: float, entry: it.HostEntry) -> float:
        """When a host started, by a line of the list, Unix ms; a start that is told again is no news."""
        key = (entry.sort_key or entry.host, entry.started)
        if key not in self.starts:
            self.starts[key] = self._estimate(now, entry.started)
            if len(self.starts) > MOST_STARTS:
                del self.starts[next(iter(self.starts))]
        return self.starts[key]

    def _estimate(self, now: float, listed: float) -> float:
        if now >= self.first_list_ends:
            return listed if now - NEWS_AGE_MS <= listed <= now else now
        behind = now - self.newest
        return min(now, listed + behind if behind > self.warm_ms else listed)


def _starts(entries: Iterable[it.HostEntry]) -> Iterable[float]:
    return (entry.started for entry in entries if entry.started != LONG_AGO)
