"""A queue of timers of which only the earliest is asked for, so that a quiet gateway sleeps."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from rainturn import interface as it
from rainturn.records import PendingRequest

EARLY_MS = 0.01  # a timer that fires this early counts as due: floating point is no reason to wait again
SHORTEST_MS = 0.1
PERIOD_MARGIN_MS = 20.0  # a period may begin so much late


class TimerEntry(NamedTuple):
    """Something to be run at `due`; `serial` keeps entries of the same time in order."""

    due: float
    serial: int
    callback: Callable[..., None]
    arguments: tuple[Any, ...]


class TimerQueue:
    """Runs callbacks with the time and their arguments when they are due."""

    def __init__(self, actions: list[it.Action]) -> None:
        self.actions = actions  # `SetTimer` goes here
        self.entries: list[TimerEntry] = []
        self.serial = 0
        self.armed_for = math.inf  # the time that was asked for last

    def after(self, now: float, delay: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Run `callback(now, *arguments)` in `delay` ms."""
        due = now + delay
        self.serial += 1
        heapq.heappush(self.entries, TimerEntry(due, self.serial, callback, arguments))
        if due < self.armed_for:
            self.armed_for = due
            self.actions.append(it.SetTimer(delay, 0))

    def run_due(self, now: float) -> None:
        """Run what is due, and ask for the next time."""
        if now < self.armed_for - EARLY_MS:
            return  # a timer that an earlier one has replaced
        self.armed_for = now  # no timer is asked for meanwhile
        while self.entries and self.entries[0].due <= now + EARLY_MS:
            entry = heapq.heappop(self.entries)
            entry.callback(now, *entry.arguments)
        self.armed_for = self.entries[0].due if self.entries else math.inf
        if self.entries:
            self.actions.append(it.SetTimer(max(SHORTEST_MS, self.armed_for - now), 0))


class HoldTimers:
    """Watches until when requests may be held.

    Few are held for long: a timer for each would cost about as much as its arrival, so each period sets those
    that end before the next.
    """

    def __init__(self, timers: TimerQueue, expire: Callable[[float, PendingRequest], None]) -> None:
        self.timers = timers
        self.expire = expire  # run with the time and the request
        self.period_ends = 0.0

    def hold(self, now: float, request: PendingRequest, until: float) -> None:
        """Run `expire` at that time."""
        request.held_until = until
        if until < self.period_ends + PERIOD_MARGIN_MS:
            self._set_timer(now, request)

    def begin_period(self, now: float, ends: float, requests: Iterable[PendingRequest]) -> None:
        """Set the timers of those among the requests whose time ends in the new period."""
        self.period_ends = ends
        for request in requests:
            if request.held_until < ends + PERIOD_MARGIN_MS:
                self._set_timer(now, request)

    def _set_timer(self, now: float, request: PendingRequest) -> None:
        self.timers.after(now, max(0.0, request.held_until - now), self.expire, request)
        request.held_until = math.inf
