"""Timers of which only the earliest is requested from the environment, so that an idle gateway sleeps."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from rainturn import interface as it
from rainturn.records import PendingRequest

EARLY_TOLERANCE_MS = 0.01  # a timer this early counts as due: it is floating-point error, no reason to wait
MIN_DELAY_MS = 0.1
PERIOD_MARGIN_MS = 20.0  # how late a period may begin


class TimerEntry(NamedTuple):
    """A callback to run at `due`; `serial` keeps entries with the same time in order."""

    due: float
    serial: int
    callback: Callable[..., None]
    arguments: tuple[Any, ...]


class TimerQueue:
    """Runs callbacks with the time and their arguments when they are due."""

    def __init__(self, actions: list[it.Action]) -> None:
        self.actions = actions  # receives the `SetTimer` actions
        self.entries: list[TimerEntry] = []
        self.serial = 0
        self.armed_for = math.inf  # the time of the last `SetTimer`

    def after(self, now: float, delay: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Run `callback(now, *arguments)` in `delay` ms."""
        due = now + delay
        self.serial += 1
        heapq.heappush(self.entries, TimerEntry(due, self.serial, callback, arguments))
        if due < self.armed_for:
            self.armed_for = due
            self.actions.append(it.SetTimer(delay, 0))

    def run_due(self, now: float) -> None:
        """Run the callbacks that are due, and set a timer for the next one.

        Those that are set meanwhile run later, even if they are due at once. Guards against a callback that
        sets itself again for now and is run without end.
        """
        if now < self.armed_for - EARLY_TOLERANCE_MS:
            return  # this timer was replaced by an earlier one
        self.armed_for = now  # callbacks that schedule others set no timer: one is set at the end
        for entry in self._take_due(now):
            entry.callback(now, *entry.arguments)
        self.armed_for = self.entries[0].due if self.entries else math.inf
        if self.entries:
            self.actions.append(it.SetTimer(max(MIN_DELAY_MS, self.armed_for - now), 0))

    def _take_due(self, now: float) -> list[TimerEntry]:
        due: list[TimerEntry] = []
        while self.entries and self.entries[0].due <= now + EARLY_TOLERANCE_MS:
            due.append(heapq.heappop(self.entries))
        return due


class HoldTimers:
    """Runs a callback when the time for which a request may be held is over.

    Few requests are held for long, and a timer for each would cost about as much as its arrival. Therefore a
    timer is set only in the period in which the request's time ends.
    """

    def __init__(self, timers: TimerQueue, expire: Callable[[float, PendingRequest], None]) -> None:
        self.timers = timers
        self.expire = expire  # called with the time and the request
        self.period_ends = 0.0

    def hold(self, now: float, request: PendingRequest, until: float) -> None:
        """Call `expire` at the time `until`."""
        request.held_until = until
        if until < self.period_ends + PERIOD_MARGIN_MS:
            self._set_timer(now, request)

    def begin_period(self, now: float, ends: float, requests: Iterable[PendingRequest]) -> None:
        """Set the timers of those requests whose time ends in the new period."""
        self.period_ends = ends
        for request in requests:
            if request.held_until < ends + PERIOD_MARGIN_MS:
                self._set_timer(now, request)

    def _set_timer(self, now: float, request: PendingRequest) -> None:
        self.timers.after(now, max(0.0, request.held_until - now), self.expire, request)
        request.held_until = math.inf
