"""State of the decision module: hosts, requests and their attempts, customers, and pending counter calls.

This module makes no decisions. Times are milliseconds on the clock whose time `Gateway.handle` receives.
"""

from __future__ import annotations

import enum
import math
from typing import NamedTuple

from rainturn import counts
from rainturn import interface as it
from rainturn.host_ages import LONG_AGO, HostAges

IDLE_MS = 120_000.0  # a customer whose plan has no rate is forgotten after this long without a request
LATENCY_MEMORY_MS = 3000.0  # time constant with which slowness returns to 1 if there are no answers
HASH_FACTOR = 2654435761  # spreads host numbers over 32 bits, so that the order does not follow zone or age


class WarmupState(enum.Enum):
    """Whether a host may be used, and whether it is cold or warm."""

    NOT_READY = "not ready"
    COLD = "cold"
    WARM = "warm"


class Host:
    """One host, as known from the host list and from this gateway's own attempts."""

    __slots__ = (
        "id",
        "order",
        "zone",
        "cell",
        "size",
        "is_ready",
        "is_gone",
        "started",
        "listed_start",
        "open_attempts",
        "latency_ratio",
        "latency_at",
        "last_answer_at",
        "waiting_since",
        "tried_at",
        "failures",
        "resets",
        "failing_since",
        "is_in_ring",
        "warmup_state",
        "counted_size",
    )

    def __init__(self, entry: it.HostEntry, now: float, ages: HostAges) -> None:
        self.id = entry.host
        self.order = entry.sort_key or entry.host * HASH_FACTOR % (1 << 32)
        self.open_attempts = 0  # those that are load: complete requests whose answer has not begun
        self.latency_ratio = 1.0  # smoothed answer time relative to the usual one, as of `latency_at`
        self.latency_at = now
        self.last_answer_at = now
        self.waiting_since = now  # since when it has had load without answering
        self.tried_at = now  # time of the last attempt
        self.failures = 0  # in a row
        self.resets = 0  # broken connections in a row
        self.failing_since = 0.0  # time of the first of these failures
        self.started = LONG_AGO  # start time on this gateway's clock
        self.listed_start = LONG_AGO  # start time in the host list, which may be by another clock
        self.is_in_ring = False  # this field and the next two are maintained by `HostIndex`
        self.warmup_state = WarmupState.NOT_READY
        self.counted_size = 0.0
        self.update(entry, now, ages)

    def update(self, entry: it.HostEntry, now: float, ages: HostAges) -> None:
        """Apply an entry of the host list; a new start under the same number makes the host cold again."""
        self.zone = entry.zone
        self.cell = entry.cell
        self.size = entry.size
        self.is_ready = entry.state is it.HostState.READY
        self.is_gone = entry.state is it.HostState.GONE
        if self.is_restart(entry.started):
            self.listed_start = entry.started
            self.started = max(self.started, ages.started_at(now, entry))
            self.failures = 0

    def is_restart(self, listed_start: float) -> bool:
        """Return whether the list gives another start time, even an earlier one: clocks may be set back."""
        return listed_start not in (LONG_AGO, self.listed_start)

    def slowness(self, now: float) -> float:
        """Return the answer time relative to the usual one, which returns to 1 if there are no answers."""
        return 1 + (self.latency_ratio - 1) * math.exp(-(now - self.latency_at) / LATENCY_MEMORY_MS)

    def add_load(self, now: float) -> None:
        """Count one more attempt as load; the host's silence is measured from the first one."""
        if not self.open_attempts:
            self.waiting_since = now
        self.open_attempts += 1

    def drop_load(self, is_load: bool = True) -> None:
        """Stop counting an attempt as load, once it has ended or its answer has begun."""
        self.open_attempts = max(0, self.open_attempts - is_load)


class Attempt:
    """One attempt of a request at a host."""

    __slots__ = (
        "host",
        "sent_at",
        "is_open",
        "may_have_run",
        "is_load",
        "silent_since",
        "is_being_sent",
        "has_begun_answer",
    )

    def __init__(self, host: Host, now: float, is_load: bool) -> None:
        self.host = host
        self.sent_at = now  # or when the request's last byte arrived, if that was later
        self.is_open = True
        self.may_have_run = True  # until it is proven that the host has not run the request
        self.is_load = is_load  # False while the request is incomplete and once the answer has begun
        self.silent_since = now  # since when the host could have answered
        self.is_being_sent = False  # whether the host is still taking the command
        self.has_begun_answer = False

    def makes_progress(self) -> bool:
        """Return whether the host is taking the command, or has begun to answer."""
        return self.is_being_sent or self.has_begun_answer

    def end_load(self) -> None:
        """Stop counting the attempt as load, since its answer has begun."""
        self.is_load = False
        self.host.drop_load()


class PendingRequest:
    """One request, from its arrival until its last attempt has ended."""

    __slots__ = (
        "id",
        "deadline",
        "arrived_at",
        "class_index",
        "request_class",
        "plan",
        "units",
        "customer",
        "attempts",
        "is_bound",
        "is_moving",
        "is_refundable",
        "is_complete",
        "is_streamed",
        "held_until",
        "cold_draw",
    )

    def __init__(
        self, event: it.Arrived, now: float, request_class: it.RequestClass, cold_draw: float
    ) -> None:
        self.id = event.request
        self.deadline = event.deadline
        self.arrived_at = now  # or when its last byte arrived
        self.class_index = event.request_class
        self.request_class = request_class
        self.plan = event.plan
        self.units = event.units
        self.customer: Customer | None = None
        self.attempts: list[Attempt] = []  # by attempt number
        self.is_bound = False  # whether it is bound to its current attempt: no other may follow
        self.is_moving = False  # whether its attempt was given up and another one replaces it
        self.is_refundable = False  # whether its units were taken and no attempt has fully reached a host
        self.is_complete = event.is_complete  # whether its last byte has arrived
        self.is_streamed = not event.is_complete  # forwarded as it arrives: cannot be moved to another host
        self.held_until = math.inf  # when to give it up if it is not sent; inf: not held, or a timer is set
        self.cold_draw = cold_draw  # drawn once, so that a held request gets no further chance of a cold host

    def first_run(self) -> Attempt | None:
        """Return the first attempt that may have run, to which repeats of keyed requests are bound."""
        for attempt in self.attempts:
            if attempt.may_have_run:
                return attempt
        return None

    def attempt(self, number: int) -> Attempt | None:
        """Return the attempt with this number, or None if there was none."""
        return self.attempts[number] if number < len(self.attempts) else None

    def begin_load(self, now: float) -> list[Attempt]:
        """Start to count open attempts as load, as the last byte has arrived, and return them."""
        begun = [attempt for attempt in self.attempts if attempt.is_open and not attempt.is_load]
        for attempt in begun:
            attempt.sent_at = attempt.silent_since = now
            attempt.is_load = True
        return begun

    def open_attempts(self) -> int:
        """Return the number of open attempts."""
        return sum(attempt.is_open for attempt in self.attempts)


class CounterCall(NamedTuple):
    """A pending call to a customer's count, and the parts of its amount, all in units."""

    window: int
    amount: float  # sum of the next three
    requested: float = 0.0  # for the requests that wait for the call
    reported: float = 0.0  # let in earlier without a call
    correction: float = 0.0  # added to make the count match the bucket
    corrected_total: float = 0.0  # minimum total after the correction
    request_count: int = 0  # number of requests that wait for it, from the head of `Customer.waiting`


class SlotCall(NamedTuple):
    """A pending call to the count of a customer's open attempts."""

    window: int
    amount: int  # slots claimed, or given back if negative
    is_claim: bool  # whether requests wait for slots


class Customer:
    """One customer: its token buckets, the last total of its shared count, and its slots for attempts."""

    __slots__ = (
        "key",
        "plan",
        "spread",
        "idle_timeout_ms",
        "last_request_at",
        "level",
        "confirmed_level",
        "filled_at",
        "others_rate",
        "overrun",
        "pass_share",
        "pass_credit",
        "ceiling_rate",
        "ceiling_level",
        "ceiling_filled_at",
        "window_ms",
        "window_phase",
        "total_window",
        "total",
        "total_at",
        "unreported",
        "report_scheduled",
        "pending_call",
        "waiting",
        "debt_window",
        "new_window_total",
        "correction",
        "correction_window",
        "corrected_total",
        "open_attempts",
        "slot_queue",
        "fallback_slots",
        "granted_slots",
        "slots_counted",
        "slots_window",
        "slots_uncertain",
        "pending_slot_call",
        "no_slot_calls_until",
        "no_claims_until",
        "denials",
    )

    def __init__(self, key: int, plan: it.Plan, spread: float, now: float) -> None:
        self.key = key
        self.plan = plan
        self.spread = max(1.0, spread)  # how many gateways its requests come through
        self.last_request_at = now

        self.level = 0.0  # units in the quota bucket
        self.confirmed_level = 0.0  # level by the last total; units let in since then are not taken off
        self.filled_at = now  # time of the last refill of the level
        self.others_rate = 0.0  # estimated units/s that the other gateways take
        self.overrun = 0.0  # units that others recently let in beyond what the bucket held
        self.pass_share = 1.0  # share of its recent requests that passed the quota
        self.pass_credit = 0.0  # carried-over fractions of `pass_share`
        self.ceiling_rate = 0.0  # this gateway's share of the ceiling, units/ms
        self.ceiling_level = 0.0  # units in the ceiling bucket
        self.ceiling_filled_at = now

        self.window_ms = counts.window_ms(plan)
        self.window_phase = counts.window_phase(key, self.window_ms)
        # Many customers come only once. After this time the window is over and the bucket full again, so
        # no knowledge is lost.
        self.idle_timeout_ms = self.window_ms + 1000.0 * plan.burst / plan.rate if plan.rate else IDLE_MS
        self.total_window = -1  # window of the last total; -1: no total yet
        self.total = 0.0
        self.total_at = -math.inf
        self.unreported = 0.0  # units still to be reported to the count
        self.report_scheduled = False  # whether a timer will report them
        self.pending_call: CounterCall | None = None
        self.waiting: list[PendingRequest] = []  # requests waiting for a total
        self.debt_window = -1  # window into which this gateway carries the previous window's debt
        self.new_window_total: float | None = None  # set while the previous window's total is being read
        self.correction = 0.0  # units to add to the count so that it matches the bucket
        self.correction_window = -1
        self.corrected_total = 0.0  # minimum total of the count after the correction

        self.open_attempts = 0
        self.slot_queue: list[PendingRequest] = []  # requests waiting for a slot
        self.fallback_slots = 1  # slots that may be used without the count
        self.granted_slots = 0
        self.slots_counted = 0  # this gateway's part of the count in `slots_window`
        self.slots_window = -1
        self.slots_uncertain = False  # whether it is unknown if the last call was added
        self.pending_slot_call: SlotCall | None = None
        self.no_slot_calls_until = now  # because the last call failed
        self.no_claims_until = now  # because the last claims were denied
        self.denials = 0  # consecutive denied claims

    def window_at(self, now: float) -> int:
        """Return the number of the window at a time, which is the same at all gateways."""
        return int((now + self.window_phase) // self.window_ms)

    def window_age(self, now: float, window: int) -> float:
        """Return the time since a window began, in ms."""
        return now + self.window_phase - window * self.window_ms

    def is_idle(self, now: float) -> bool:
        """Return whether the customer has sent nothing for a long time and has nothing open."""
        return now - self.last_request_at > self.idle_timeout_ms and not self.has_anything_open()

    def has_anything_open(self) -> bool:
        """Return whether it has open attempts, requests that wait for slots, or pending calls."""
        has_calls = self.pending_call is not None or self.pending_slot_call is not None
        return has_calls or bool(self.open_attempts or self.slot_queue)
