"""A gateway's view of its customers' quotas, and the counter calls that keep all gateways' views together.

The shared count of a window holds the units that all gateways let in. One total is therefore enough to decide
on a request, even at one of hundreds of gateways that sees the customer only once. Refused units are given
back to the count.
"""

import math

from rainturn import interface as it
from rainturn.averages import DecayingAverage
from rainturn.component import Component, SharedState
from rainturn.counts import units_name
from rainturn.records import CounterCall, Customer, PendingRequest

MIN_CORRECTION_SHARE = 0.25  # share of the burst; a smaller error of the count is not worth a call
OTHERS_RATE_TIME_CONSTANT_MS = 3000.0  # averaging time of the rate at which other gateways take units
CALL_VALUE_BASE_SHARE = 0.25  # share of the burst that unexchanged units are weighed against at level 0
FRESH_TOTAL_MS = 1000.0  # up to this age a total can show that a bucket is short, if nobody took units since
TARGET_COUNTER_LOAD = 0.3  # counter's answer time as a share of the time-out; fewer calls are made above it
FAILED_CALL_LOAD = 2.0  # a failed call counts as this many time-outs
LOAD_DECAY_MS = 5000.0  # time constant with which the load decays, so that calls resume after an outage
REPORT_DELAY_MS = 500.0  # units let in without a call are reported to the counter after this time


def new_customer(key: int, plan: it.Plan, spread: float, now: float, started: float) -> Customer:
    """Create a newly seen customer with an even share of the quota: no more is known to be free."""
    customer = Customer(key, plan, spread, now)
    spread = customer.spread
    customer.level = customer.confirmed_level = plan.burst / spread
    customer.others_rate = plan.rate * (1.0 - 1.0 / spread)
    customer.fallback_slots = max(1, int(plan.parallel / spread))
    # A previous process may have spent the whole ceiling and its slack, and another may start at any time.
    # Each process therefore starts with an empty ceiling bucket and refills it from when it serves alone.
    customer.ceiling_rate = plan.ceiling_rate / spread / 1000.0
    customer.ceiling_level = (now - started) * customer.ceiling_rate
    return customer


def may_be_forgotten(customer: Customer, now: float) -> bool:
    """Return whether a customer has nothing open, and its ceiling bucket is as full as a new one's."""
    if customer.has_anything_open() or customer.waiting:
        return False
    refill_buckets(customer, now)
    return customer.ceiling_level >= _ceiling_limit(customer)


def _ceiling_limit(customer: Customer) -> float:
    plan = customer.plan
    return (plan.ceiling_burst + 0.5 * plan.ceiling_slack) / customer.spread if plan.ceiling_rate else 0.0


def refill_buckets(customer: Customer, now: float) -> None:
    """Refill the quota bucket, less the units that others are estimated to take, and the ceiling bucket."""
    plan, elapsed = customer.plan, now - customer.filled_at
    filled = customer.level + plan.rate * elapsed / 1000
    customer.level = min(plan.burst, filled - min(max(0.0, filled), customer.others_rate * elapsed / 1000))
    customer.filled_at = now
    if plan.ceiling_rate:
        filled = customer.ceiling_level + (now - customer.ceiling_filled_at) * customer.ceiling_rate
        customer.ceiling_level = min(_ceiling_limit(customer), filled)
        customer.ceiling_filled_at = now


def apply_total(customer: Customer, now: float, call: CounterCall, total: float) -> None:
    """Set the level by the growth of a total since the last one, or since the window's start (full bucket).

    Other gateways may have reported overflowed units since the last total; the sum of the whole window then
    shows a higher level. A total that fell by more than units given back explain means that counts were lost:
    the level is then kept.
    """
    plan, age = customer.plan, customer.window_age(now, call.window)
    by_window = min(plan.burst, max(0.0, plan.burst + plan.rate * age / 1000 - total + call.requested))
    since, previous, base = now - age, 0.0, plan.burst
    same_window = call.window == customer.total_window
    # In a new window, a recent total still shows the level that its own window left.
    is_recent = now - age - customer.total_at < customer.window_ms / 2
    if same_window:
        since, previous, base = customer.total_at, customer.total, customer.confirmed_level
    elif is_recent:
        idle = max(0.0, (plan.rate - customer.others_rate) * (now - age - customer.total_at) / 1000)
        base = min(plan.burst, customer.confirmed_level + idle)
    growth, elapsed = total - previous, max(1.0, now - since)
    if growth >= call.amount - max(2.0, plan.burst / 2):
        level = _limit_level(
            customer, base + plan.rate * elapsed / 1000 - growth + call.requested, growth, elapsed
        )
        if not same_window and is_recent and customer.debt_window != call.window:
            level = min(level, by_window)  # the last window's debt may not have reached the count yet
        elif not same_window or growth >= call.amount - 0.5:  # otherwise the sum may lack lost units
            level = max(level, by_window)
        customer.confirmed_level = level - call.requested
        customer.level = customer.confirmed_level + call.requested - customer.unreported
        weight = 1 - math.exp(-elapsed / OTHERS_RATE_TIME_CONSTANT_MS) if same_window else 1.0
        customer.others_rate += weight * (
            max(0.0, growth - call.amount) * 1000 / elapsed - customer.others_rate
        )
    customer.total_window, customer.total = call.window, total
    customer.total_at = customer.filled_at = now


def _limit_level(customer: Customer, level: float, growth: float, elapsed: float) -> float:
    """Limit a level to the range 0 to burst: requests beyond the quota take nothing from the bucket.

    Guards against one gateway's overrun causing refusals at the others as well. The excess is remembered
    for as long as it would take to refill: units given back from it are no gain.
    """
    given_back = min(customer.overrun, max(0.0, -growth))
    level -= given_back
    left = max(0.0, customer.overrun - given_back - customer.plan.rate * elapsed / 1000)
    customer.overrun = left + max(0.0, -level)
    return max(0.0, min(customer.plan.burst, level))


def lost_units(
    customer: Customer, now: float, call: CounterCall, total: float, loss_known: bool, fall_seen_at: float
) -> float:
    """Return the units to add again to a count that the counter has lost; 0 if no loss is found.

    A gateway that has read the count restores what it showed, but together with the units let in since at
    most the count of an empty bucket. Others may have restored a part; the rest is then added only if a
    recent loss is known, because refused requests give back some units all the time. A gateway that has not
    read the count, and finds it unused in a window that began before the loss, restores half a bucket, as
    the bucket may have been full or empty.
    """
    plan, before_call, age = customer.plan, total - call.amount, customer.window_age(now, call.window)
    if call.window == customer.total_window:
        empty = plan.burst + plan.rate * age / 1000
        # Guards against taking the withdrawal of corrections, which several gateways may make at once, for a
        # loss: no more than the count of an empty bucket can have been lost.
        known_count = min(customer.total, empty)
        fallen = known_count - before_call
        if fallen < max(2.0, plan.burst / 2, 0.0 if loss_known else known_count / 2):
            return 0.0
        return max(fallen, min(known_count, empty - before_call) if before_call < known_count / 4 else 0.0)
    full = plan.rate * (age - (now - fall_seen_at)) / 1000  # a full bucket's count at the time of the loss
    known = full > 0.0 and before_call < full - MIN_CORRECTION_SHARE * plan.burst
    return full + plan.burst / 2 - before_call if known else 0.0


def reconcile(customer: Customer, now: float, call: CounterCall, total: float) -> None:
    """Set the correction of a count, which alone shows neither a full nor an empty bucket.

    Units that refill a full bucket overflow. Once these are reported, the count shows all gateways the same
    level; otherwise a gateway that first sees a customer in mid-window assumes that units that others have
    just used were refilled long ago. Units let in beyond an empty bucket took nothing from it and are taken
    off the count. When two gateways report the same, the answers show it, and the later one takes its part
    back.
    """
    burst, full = customer.plan.burst, customer.plan.rate * customer.window_age(now, call.window) / 1000
    overflow, customer.correction_window = full - (total - call.amount), call.window
    if call.correction > 0.0:
        is_duplicate = call.corrected_total - (total - call.correction) < call.correction / 2
        customer.correction = -call.correction if is_duplicate else 0.0
        return
    customer.correction = overflow if overflow >= MIN_CORRECTION_SHARE * burst else 0.0
    customer.corrected_total = full
    beyond_empty = min(call.reported, total - call.amount + call.reported - full - burst)
    if beyond_empty >= 0.5:
        customer.correction = -beyond_empty


def carried_debt(customer: Customer, now: float, window: int, last_total: float) -> float:
    """Return the units a new window's count begins with: what the bucket lacked at the last window's end.

    The result is 0 if that is refilled by now: the bucket is then full, and more units have overflowed.
    """
    rate = customer.plan.rate
    debt = min(customer.plan.burst, last_total - rate * customer.window_ms / 1000)
    return debt if debt > rate * customer.window_age(now, window) / 1000 else 0.0


def fitting_requests(customer: Customer) -> list[PendingRequest]:
    """Return the waiting requests that the level has room for, taken one after another."""
    left, fit = customer.level, []
    for request in customer.waiting:
        if left >= request.units:
            left -= request.units
            fit.append(request)
    return fit


def call_value(customer: Customer, now: float, units: float) -> float:
    """Return the value of a call, 0 to 1: the units to report and to learn of, weighed against the level."""
    unexchanged = customer.unreported + units
    if customer.total_window >= 0:
        unexchanged += customer.others_rate * (now - customer.total_at) / 1000
    # A call is not urgent if more units are to be given back than are requested.
    unexchanged = max(0.0, unexchanged)
    level = max(0.0, customer.level) + CALL_VALUE_BASE_SHARE * customer.plan.burst
    return unexchanged / (unexchanged + level) if unexchanged else 0.0


def must_refuse(customer: Customer, now: float, units: float) -> bool:
    """Return whether a fresh total leaves too few units even if nobody has taken any since."""
    elapsed = now - customer.total_at
    most = (
        customer.confirmed_level
        + customer.overrun
        + customer.plan.rate * elapsed / 1000
        - customer.unreported
    )
    return customer.total_window >= 0 and elapsed < FRESH_TOTAL_MS and most < units


def refill_ms(customer: Customer, units: float) -> float:
    """Return the time in ms until the bucket holds the units if nobody takes any first; 0 if unknown."""
    known = customer.total_window >= 0 and customer.plan.rate > 0
    return max(0.0, units - customer.level) * 1000 / customer.plan.rate if known else 0.0


def can_take(customer: Customer, units: float) -> bool:
    """Return whether a request would be admitted without a total."""
    by_share = customer.total_window < 0 and customer.pass_credit + customer.pass_share >= 1.0
    return customer.level >= units or by_share


def try_take(customer: Customer, units: float, use_pass_share: bool = True) -> bool:
    """Take units from the level, or admit the recent pass share of requests, with fractions carried over."""
    if customer.level >= units:
        customer.level -= units
        return True
    customer.pass_credit += customer.pass_share if use_pass_share else 0.0
    if not use_pass_share or customer.pass_credit < 1.0:
        return False
    customer.pass_credit -= 1.0
    return True


class CounterCalls(Component):
    """Makes counter calls: at most one per customer at a time, fewer while the counter is slow or fails."""

    def __init__(self, shared: SharedState) -> None:
        super().__init__(shared)
        self.enabled = self.settings.counter
        self.load = DecayingAverage(0.2, LOAD_DECAY_MS)  # answer time as a share of the time-out

    def record_answer(self, event: it.CountAnswered) -> None:
        """Update the load. Failed calls weigh as much as answers: an overloaded counter fails most calls."""
        if event.outcome is not it.Outcome.RESET:
            answered = event.outcome is it.Outcome.OK
            self.load.add(
                event.elapsed / max(1.0, self.settings.counter_timeout_ms) if answered else FAILED_CALL_LOAD
            )

    def share_to_make(self, now: float) -> float:
        """Return the share of calls to make, by answer times and failures.

        It is squared. Otherwise a counter that can answer one call in five would settle at answer times
        beyond the time-out, and its work on those calls would be lost.
        """
        return min(1.0, TARGET_COUNTER_LOAD / max(self.load.decay(now), 0.01)) ** 2

    def should_skip(self, now: float) -> bool:
        """Decide at random, by the share of calls to make, whether to leave out a call."""
        return self.share_to_make(now) < self.rng.random()

    def charge(self, now: float, customer: Customer, units: float) -> None:
        """Take units from the bucket without a call, or give them back if negative, and schedule a report."""
        customer.level -= units
        if self.enabled:
            customer.unreported += units
            self.schedule_report(now, customer)

    def schedule_report(self, now: float, customer: Customer) -> None:
        """Schedule a report to the counter of units let in or given back without a call.

        Guards against units that stay unreported until the customer's next request at this gateway. With
        hundreds of gateways that is too late, and all others meanwhile take these units for free.
        """
        if not customer.report_scheduled:
            customer.report_scheduled = True
            self.timers.after(now, REPORT_DELAY_MS, self._send_report, customer)

    def _send_report(self, now: float, customer: Customer) -> None:
        customer.report_scheduled = False
        if abs(customer.unreported) < 0.5 or customer.pending_call is not None:
            return  # already reported, or handled when the pending call ends
        if self.should_skip(now):
            self.schedule_report(now, customer)
        else:
            self.call(now, customer)

    def call(self, now: float, customer: Customer) -> None:
        """Call the counter unless a call is pending.

        If a refusal is likely, the call takes units only for requests that seem to fit. If none does, it only
        reads the count, because units that are given back later block the other gateways meanwhile.
        """
        if customer.pending_call is not None:
            return
        window, included = customer.window_at(now), customer.waiting
        if customer.total_window >= 0 and customer.pass_share < 0.5:
            included = fitting_requests(customer)
            customer.waiting = included + [r for r in customer.waiting if r not in included]
        requested = sum(request.units for request in included)
        reported = min(customer.unreported, customer.plan.burst)  # at most a full bucket, after an outage
        correction = customer.correction if customer.correction_window == window else 0.0
        amount, requests = requested + reported + correction, len(included or customer.waiting)
        parts = (requested, reported, correction, customer.corrected_total, requests)
        customer.pending_call = CounterCall(window, amount, *parts)
        customer.unreported = customer.correction = 0.0
        ttl_ms = min(60_000.0, 2 * customer.window_ms)
        self.actions.append(it.Count(units_name(customer.key, window), amount, ttl_ms))
