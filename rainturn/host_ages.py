"""Start times of hosts on this gateway's clock, from a host list that another clock may have written.

Wall clocks may be stepped by an hour. What is certain is that a newly reported start is only seconds old,
however much the clocks differ. The first list of a process gives no such certainty: if even its latest start
is old, its clock may be behind this gateway's, and the newest hosts may still be cold.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from rainturn import interface as it

# The usual age at which a start is reported. An older start may have been reported late, or by a clock that
# is behind, so the host counts as started just now. A clock that is off by less than this makes a host seem
# warmer than it is by no more than the margin in the share that cold hosts get.
USUAL_REPORT_AGE_MS = 3000.0
FIRST_LIST_MS = 1000.0  # a first list may arrive in parts for this long
LONG_AGO = 0.0  # start time of a host that has been up for long
MAX_STARTS = 8192  # remembered starts: a host that returns to the list with an older start counts as new


class HostAges:
    """Converts start times of the host list to this gateway's clock, to a later one where in doubt."""

    def __init__(self, warm_ms: float) -> None:
        self.warm_ms = warm_ms  # the age from which a host is warm
        self.first_list_ends = math.inf  # events before this time belong to the first list from discovery
        self.newest_start = -math.inf  # the latest start in the first list, by the list's clock
        self.starts: dict[tuple[int, float], float] = {}  # by host and listed start, first reported first

    def observe_list(self, now: float, event: it.HostList) -> None:
        """Note a list or a change of it; call this before `started_at` for its entries."""
        if self.first_list_ends == math.inf and event.kind is not it.ListKind.CACHED:
            self.first_list_ends = now + FIRST_LIST_MS
        if now < self.first_list_ends:
            self.newest_start = max(self.newest_start, max(_starts(event.entries), default=-math.inf))

    def started_at(self, now: float, entry: it.HostEntry) -> float:
        """Return when a host started, in Unix ms; a start that is reported again keeps its time."""
        key = (entry.sort_key or entry.host, entry.started)
        if key not in self.starts:
            self.starts[key] = self._estimate(now, entry.started)
            if len(self.starts) > MAX_STARTS:
                del self.starts[next(iter(self.starts))]
        return self.starts[key]

    def _estimate(self, now: float, listed: float) -> float:
        if now >= self.first_list_ends:
            return listed if now - USUAL_REPORT_AGE_MS <= listed <= now else now
        behind = now - self.newest_start
        return min(now, listed + behind if behind > self.warm_ms else listed)


def _starts(entries: Iterable[it.HostEntry]) -> Iterable[float]:
    return (entry.started for entry in entries if entry.started != LONG_AGO)
