"""A customer's quota as this gateway knows it, set by each total of its shared count, and the calls to it.

The count of a window holds what was let in, so that even one of hundreds of gateways, which sees the customer
once, can decide by a total. Refused units are given back.
"""

import math

from rainturn import interface as it
from rainturn.averages import FadingAverage
from rainturn.component import Component, SharedState
from rainturn.counts import units_name
from rainturn.records import CounterCall, Customer, PendingRequest

LEAST_CORRECTION = 0.25  # part of the burst that the count must be off before a call is spent on that
OTHERS_MEMORY_MS = 3000.0  # the rate that others take is averaged over this
NEWS_SHARE = 0.25  # part of the burst that news is weighed against where a customer's store is empty
FRESH_TOTAL_MS = 1000.0  # so long a total may tell that a store is short, if nobody has taken of it since
CALM = 0.3  # part of the time-out that the counter may take to answer; beyond it calls are thinned
FAILED_LOAD = 2.0  # a failed call counts as this many time-outs
LOAD_MEMORY_MS = 5000.0  # load is forgotten over this, so that calls come back after an outage
REPORT_AFTER_MS = 500.0  # the counter hears of what was let in without a call after this


def new_customer(key: int, plan: it.Plan, spread: float, now: float, started: float) -> Customer:
    """A customer that a gateway started then sees first: only an even share is known to be free."""
    customer = Customer(key, plan, spread, now)
    spread = customer.spread
    customer.level = customer.counted_level = plan.burst / spread
    customer.others_rate = plan.rate * (1.0 - 1.0 / spread)
    customer.fallback_slots = max(1, int(plan.parallel / spread))
    # A process before this one may have spent all, the slack too, and another may follow at any time: each
    # starts with nothing and fills from there.
    customer.ceiling_rate = plan.ceiling_rate / spread / 1000.0
    customer.ceiling = (now - started) * customer.ceiling_rate
    return customer


def advance(customer: Customer, now: float) -> None:
    """Fill the store, less what the others are thought to take, and the ceiling's store."""
    plan, elapsed = customer.plan, now - customer.filled_at
    filled = customer.level + plan.rate * elapsed / 1000
    customer.level = min(plan.burst, filled - min(max(0.0, filled), customer.others_rate * elapsed / 1000))
    customer.filled_at = now
    if plan.ceiling_rate:
        most = (plan.ceiling_burst + 0.5 * plan.ceiling_slack) / customer.spread
        customer.ceiling = min(most, customer.ceiling + (now - customer.ceiling_at) * customer.ceiling_rate)
        customer.ceiling_at = now


def learn(customer: Customer, now: float, call: CounterCall, total: float) -> None:
    """Set the level by a total, from the last one on or else from the window's start, when it is full.

    Others may have reported what overflowed since our last total: then the whole window's sum shows more. A
    total that fell by more than give-backs do means lost counts: the level goes on as it was.
    """
    plan, age = customer.plan, customer.window_age(now, call.window)
    by_window = min(plan.burst, max(0.0, plan.burst + plan.rate * age / 1000 - total + call.asked))
    since, before, base = now - age, 0.0, plan.burst
    same = call.window == customer.window
    remembers = now - age - customer.total_at < customer.window_ms / 2  # in a new one, what the last one left
    if same:
        since, before, base = customer.total_at, customer.total, customer.counted_level
    elif remembers:
        idle = max(0.0, (plan.rate - customer.others_rate) * (now - age - customer.total_at) / 1000)
        base = min(plan.burst, customer.counted_level + idle)
    news, elapsed = total - before, max(1.0, now - since)
    if news >= call.amount - max(2.0, plan.burst / 2):
        held = _settle(customer, base + plan.rate * elapsed / 1000 - news + call.asked, news, elapsed)
        if not same and remembers and customer.debt_window != call.window:
            held = min(held, by_window)  # the last one's debt may be on its way to the count yet
        elif not same or news >= call.amount - 0.5:  # else the sum may lack what was lost
            held = max(held, by_window)
        customer.counted_level = held - call.asked
        customer.level = customer.counted_level + call.asked - customer.unreported
        weight = 1 - math.exp(-elapsed / OTHERS_MEMORY_MS) if same else 1.0
        customer.others_rate += weight * (
            max(0.0, news - call.amount) * 1000 / elapsed - customer.others_rate
        )
    customer.window, customer.total = call.window, total
    customer.total_at = customer.filled_at = now


def _settle(customer: Customer, held: float, news: float, elapsed: float) -> float:
    """What the store holds after news: never under nothing, as a request beyond the quota takes none of it.

    Guards against one gateway's overrun being refused again at the others. What was cut off here is
    remembered as long as it would take to refill: give-backs of it are no gain.
    """
    given_back = min(customer.overrun, max(0.0, -news))
    held -= given_back
    left = max(0.0, customer.overrun - given_back - customer.plan.rate * elapsed / 1000)
    customer.overrun = left + max(0.0, -held)
    return max(0.0, min(customer.plan.burst, held))


def lost_units(
    customer: Customer, now: float, call: CounterCall, total: float, loss_known: bool, fell_at: float
) -> float:
    """What a counter that has lost its counts is to be told again.

    Who has read the count: what it showed, but with what was let in since no more than an empty store makes
    of it. Others may have told a part: then the rest, if it is known that counts were lost just now; refused
    requests give back some units all the time. Who has not, and finds no use of it in a window that began
    before: half a store, as it may have been full or empty.
    """
    plan, rest, age = customer.plan, total - call.amount, customer.window_age(now, call.window)
    if call.window == customer.window:
        empty = plan.burst + plan.rate * age / 1000
        # Guards against corrections that several gateways made at once, and that are taken back, being taken
        # for lost counts: no more can have been lost than the count of an empty store.
        held = min(customer.total, empty)
        fallen = held - rest
        if fallen < max(2.0, plan.burst / 2, 0.0 if loss_known else held / 2):
            return 0.0
        return max(fallen, min(held, empty - rest) if rest < held / 4 else 0.0)
    full = plan.rate * (age - (now - fell_at)) / 1000  # what a full store's count had come to
    known = full > 0.0 and rest < full - LEAST_CORRECTION * plan.burst
    return full + plan.burst / 2 - rest if known else 0.0


def reconcile(customer: Customer, now: float, call: CounterCall, total: float) -> None:
    """See by how much the count is off: it knows neither of a full store nor of an empty one.

    What refills a full store overflows: reported, it shows all gateways alike what the store holds, else one
    that sees a customer first in mid-window takes what others just used for long refilled. What was let in
    beyond an empty store took nothing of it. Two that saw the same find out by the answer, and the later one
    takes its part back.
    """
    burst, full = customer.plan.burst, customer.plan.rate * customer.window_age(now, call.window) / 1000
    overflow, customer.correction_window = full - (total - call.amount), call.window
    if call.correction > 0.0:
        told_twice = call.corrected_total - (total - call.correction) < call.correction / 2
        customer.correction = -call.correction if told_twice else 0.0
        return
    customer.correction = overflow if overflow >= LEAST_CORRECTION * burst else 0.0
    customer.corrected_total = full
    beyond_empty = min(call.reported, total - call.amount + call.reported - full - burst)
    if beyond_empty >= 0.5:
        customer.correction = -beyond_empty


def debt(customer: Customer, now: float, window: int, last_total: float) -> float:
    """What a new window's count must begin with, by the last one's total: what the store lacked then.

    Nothing if that is refilled by now: then the store is full, and more has overflowed.
    """
    rate = customer.plan.rate
    lacked = min(customer.plan.burst, last_total - rate * customer.window_ms / 1000)
    return lacked if lacked > rate * customer.window_age(now, window) / 1000 else 0.0


def fitting(customer: Customer) -> list[PendingRequest]:
    """The requests that wait and for which the level has room, one after another."""
    left, fit = customer.level, []
    for request in customer.waiting:
        if left >= request.units:
            left -= request.units
            fit.append(request)
    return fit


def news_weight(customer: Customer, now: float, units: float) -> float:
    """How much a call would tell and teach, 0 to 1: news on both sides, against what the store holds."""
    news = customer.unreported + units
    if customer.window >= 0:
        news += customer.others_rate * (now - customer.total_at) / 1000
    news = max(0.0, news)  # where more is to be given back than is asked for the call tells nothing urgent
    held = max(0.0, customer.level) + NEWS_SHARE * customer.plan.burst
    return news / (news + held) if news else 0.0


def surely_short(customer: Customer, now: float, units: float) -> bool:
    """Whether a fresh total leaves too little even if nobody has taken anything since."""
    elapsed = now - customer.total_at
    most = (
        customer.counted_level + customer.overrun + customer.plan.rate * elapsed / 1000 - customer.unreported
    )
    return customer.window >= 0 and elapsed < FRESH_TOTAL_MS and most < units


def refill_ms(customer: Customer, units: float) -> float:
    """Time until the store holds the units unless somebody takes some first; 0: not known."""
    known = customer.window >= 0 and customer.plan.rate > 0
    return max(0.0, units - customer.level) * 1000 / customer.plan.rate if known else 0.0


def would_take(customer: Customer, units: float) -> bool:
    """Whether a request would be let in without a total."""
    by_share = customer.window < 0 and customer.pass_credit + customer.pass_share >= 1.0
    return customer.level >= units or by_share


def take(customer: Customer, units: float, draw: bool = True) -> bool:
    """Spend the level; when it is used up, draw by the share of late, fractions carried over."""
    if customer.level >= units:
        customer.level -= units
        return True
    customer.pass_credit += customer.pass_share if draw else 0.0
    if not draw or customer.pass_credit < 1.0:
        return False
    customer.pass_credit -= 1.0
    return True


class CounterCalls(Component):
    """Makes the calls, at most one a customer at a time, and fewer while the counter is slow or fails."""

    def __init__(self, shared: SharedState) -> None:
        super().__init__(shared)
        self.enabled = self.settings.counter
        self.load = FadingAverage(0.2, LOAD_MEMORY_MS)  # answer times, in time-outs

    def note_answer(self, event: it.CountAnswered) -> None:
        """Learn the load. A failed call weighs as much as an answered one: a crowded counter fails most."""
        if event.outcome is not it.Outcome.RESET:
            answered = event.outcome is it.Outcome.OK
            self.load.add(
                event.elapsed / max(1.0, self.settings.counter_timeout_ms) if answered else FAILED_LOAD
            )

    def share(self, now: float) -> float:
        """The share of calls to make, by answer times and failures.

        Squared, as a counter that can answer one call in five would else settle where answers take longer
        than they are waited for: what it does for those is lost.
        """
        return min(1.0, CALM / max(self.load.fade(now), 0.01)) ** 2

    def left_out(self, now: float) -> bool:
        """Whether a call is one of those that are not made."""
        return self.share(now) < self.rng.random()

    def charge(self, now: float, customer: Customer, units: float) -> None:
        """Take units from the store outside a call, or give them back where negative, and report that."""
        customer.level -= units
        if self.enabled:
            customer.unreported += units
            self.report_later(now, customer)

    def report_later(self, now: float, customer: Customer) -> None:
        """See that the count hears soon of what was let in without it, and of what is given back.

        Guards against units that wait for the customer's next request here: at one of hundreds of gateways
        that comes too late, and meanwhile all others take these units for free.
        """
        if not customer.report_scheduled:
            customer.report_scheduled = True
            self.timers.after(now, REPORT_AFTER_MS, self._report, customer)

    def _report(self, now: float, customer: Customer) -> None:
        customer.report_scheduled = False
        if abs(customer.unreported) < 0.5 or customer.call is not None:
            return  # reported already, or with the call that is out
        if self.left_out(now):
            self.report_later(now, customer)
        else:
            self.call(now, customer)

    def call(self, now: float, customer: Customer) -> None:
        """One call a customer at a time. Where a refusal is likely only what seems to fit goes ahead with it.

        Else it only reads: units that are given back block the others meanwhile.
        """
        if customer.call is not None:
            return
        window, asking = customer.window_at(now), customer.waiting
        if customer.window >= 0 and customer.pass_share < 0.5:
            asking = fitting(customer)
            customer.waiting = asking + [request for request in customer.waiting if request not in asking]
        asked = sum(request.units for request in asking)
        reported = min(customer.unreported, customer.plan.burst)  # an outage leaves a full store at most
        correction = customer.correction if customer.correction_window == window else 0.0
        amount, requests = asked + reported + correction, len(asking or customer.waiting)
        parts = (asked, reported, correction, customer.corrected_total, requests)
        customer.call = CounterCall(window, amount, *parts)
        customer.unreported = customer.correction = 0.0
        ttl_ms = min(60_000.0, 2 * customer.window_ms)
        self.actions.append(it.Count(units_name(customer.key, window), amount, ttl_ms))
