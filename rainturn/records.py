"""Plain state that the decisions keep: hosts, requests and their attempts, customers, calls that are out.

Nothing here decides. Times are milliseconds, all on the clock that `Gateway.handle` is given.
"""

from __future__ import annotations

import enum
import math
from typing import NamedTuple

from rainturn import counts
from rainturn import interface as it
from rainturn.host_ages import LONG_AGO, HostAges

IDLE_MS = 120_000.0  # a customer without a rate that is unseen for this long is forgotten
LATENCY_MEMORY_MS = 3000.0  # without news a host's slowness fades to the usual over this
HASH_FACTOR = 2654435761  # spreads host numbers over 32 bits: the order has nothing to do with zone or age


class Standing(enum.Enum):
    """Where a host stands among those that may be used."""

    NOT_READY = "not ready"
    COLD = "cold"
    WARM = "warm"


class Host:
    """What this gateway knows of one host from the list and from its own attempts."""

    __slots__ = (
        "id",
        "order",
        "zone",
        "cell",
        "size",
        "ready",
        "gone",
        "started",
        "listed_start",
        "open_attempts",
        "latency",
        "latency_at",
        "heard_at",
        "waiting_since",
        "tried_at",
        "failures",
        "resets",
        "failing_since",
        "in_ring",
        "standing",
        "counted_size",
    )

    def __init__(self, entry: it.HostEntry, now: float, ages: HostAges) -> None:
        self.id = entry.host
        self.order = entry.order or entry.host * HASH_FACTOR % (1 << 32)
        self.open_attempts = 0  # those that are load: their requests are whole and no answer has begun
        self.latency = 1.0  # time of its answers against the usual one
        self.latency_at = now
        self.heard_at = now  # its last answer
        self.waiting_since = now  # since when it has had work and not answered
        self.tried_at = now  # the last attempt
        self.failures = 0  # in a row
        self.resets = 0  # connections broken in a row
        self.failing_since = 0.0
        self.started = LONG_AGO  # on this gateway's clock
        self.listed_start = LONG_AGO  # as the list says, by whatever clock
        self.in_ring = False  # these three are kept by the index of hosts
        self.standing = Standing.NOT_READY
        self.counted_size = 0.0
        self.update(entry, now, ages)

    def update(self, entry: it.HostEntry, now: float, ages: HostAges) -> None:
        """Take over a line of the list; another start under the old number makes the host cold again."""
        self.zone = entry.zone
        self.cell = entry.cell
        self.size = entry.size
        self.ready = entry.state is it.HostState.READY
        self.gone = entry.state is it.HostState.GONE
        if self.is_restart(entry.started):
            self.listed_start = entry.started
            self.started = max(self.started, ages.started_at(now, entry))
            self.failures = 0

    def is_restart(self, listed_start: float) -> bool:
        """Whether the list tells another start; an earlier one is another, too, as clocks may be set back."""
        return listed_start not in (LONG_AGO, self.listed_start)

    def slowness(self, now: float) -> float:
        """Time of its answers against the usual one; without news this fades to 1."""
        return 1 + (self.latency - 1) * math.exp(-(now - self.latency_at) / LATENCY_MEMORY_MS)

    def add_load(self, now: float) -> None:
        """One more attempt is load here; its silence counts from the first of them."""
        if not self.open_attempts:
            self.waiting_since = now
        self.open_attempts += 1

    def drop_load(self, is_load: bool = True) -> None:
        """An attempt has ended or its answer begun: it is load no more."""
        self.open_attempts = max(0, self.open_attempts - is_load)


class Attempt:
    """One attempt of a request at a host."""

    __slots__ = ("host", "sent_at", "out", "may_have_run", "is_load")

    def __init__(self, host: Host, now: float, is_load: bool) -> None:
        self.host = host
        self.sent_at = now  # or when the request's last byte came, if that was later
        self.out = True
        self.may_have_run = True  # until it is proved that it has not
        self.is_load = is_load  # False: the request is still on its way, or the answer has begun

    def end_load(self) -> None:
        """Its answer has begun."""
        self.is_load = False
        self.host.drop_load()


class PendingRequest:
    """One request, until its last attempt has ended."""

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
        "bound",
        "moving",
        "charged",
        "whole",
        "passed_on",
        "held_until",
        "draw",
    )

    def __init__(self, event: it.Arrived, now: float, request_class: it.RequestClass, draw: float) -> None:
        self.id = event.request
        self.deadline = event.deadline
        self.arrived_at = now  # or when its last byte came
        self.class_index = event.request_class
        self.request_class = request_class
        self.plan = event.plan
        self.units = event.units
        self.customer: Customer | None = None
        self.attempts: list[Attempt] = []  # by number
        self.bound = False  # to its attempt: no other may follow
        self.moving = False  # its attempt was given up, and another one replaces it
        self.charged = False  # whether its units are taken and no attempt has come whole to a host
        self.whole = event.whole
        self.passed_on = not event.whole  # as it comes: it can't be moved to another host
        self.held_until = math.inf  # where no timer watches that yet
        self.draw = draw  # one draw for cold hosts, however often a held request looks for a host

    def anchor(self) -> Attempt | None:
        """The first attempt that may have run: repeats of keyed requests are bound to it."""
        for attempt in self.attempts:
            if attempt.may_have_run:
                return attempt
        return None

    def attempt(self, number: int) -> Attempt | None:
        """The attempt of that number, if there was one."""
        return self.attempts[number] if number < len(self.attempts) else None

    def begin_load(self, now: float) -> list[Attempt]:
        """Its last byte has come: attempts that are out, which are returned, are load from now."""
        begun = [attempt for attempt in self.attempts if attempt.out and not attempt.is_load]
        for attempt in begun:
            attempt.sent_at = now
            attempt.is_load = True
        return begun

    def open_attempts(self) -> int:
        """How many attempts are out."""
        return sum(attempt.out for attempt in self.attempts)


class CounterCall(NamedTuple):
    """A call to a customer's count that is out, and what its amount is made of, all in units."""

    window: int
    amount: float  # sum of the next three
    requested: float = 0.0  # for the requests that wait for the call
    reported: float = 0.0  # let in earlier without a call
    correction: float = 0.0  # added to make the count match the bucket
    corrected_total: float = 0.0  # minimum total after the correction
    request_count: int = 0  # number of requests that wait for it, from the head of `Customer.waiting`


class SlotCall(NamedTuple):
    """A call to the count of a customer's open attempts that is out."""

    window: int
    amount: int  # slots claimed, or given back if negative
    is_claim: bool  # whether requests wait for slots


class Customer:
    """One customer: its store of units, the last total of its shared count, its slots for open attempts."""

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
        self.confirmed_level = 0.0  # level by the last total, without units let in since
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
        # Many come only once: by then the window is over, the store full again and nothing left to know.
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
        self.fallback_slots = 1  # safe to use without the count
        self.granted_slots = 0
        self.slots_counted = 0  # this gateway's part of the count in `slots_window`
        self.slots_window = -1
        self.slots_uncertain = False  # whether it is unknown if the last call was added
        self.pending_slot_call: SlotCall | None = None
        self.no_slot_calls_until = now  # because the last call failed
        self.no_claims_until = now  # because the last claims were denied
        self.denials = 0  # consecutive denied claims

    def window_at(self, now: float) -> int:
        """The window of this time, the same at all gateways."""
        return int((now + self.window_phase) // self.window_ms)

    def window_age(self, now: float, window: int) -> float:
        """How long ago a window began, ms."""
        return now + self.window_phase - window * self.window_ms

    def is_idle(self, now: float) -> bool:
        """Whether it has been away for long and has nothing open."""
        if (
            now - self.last_request_at <= self.idle_timeout_ms
            or self.pending_call is not None
            or self.pending_slot_call is not None
        ):
            return False
        return not self.open_attempts and not self.slot_queue
