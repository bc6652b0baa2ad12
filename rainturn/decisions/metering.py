"""Decides which requests the quotas admit: by totals of shared counts or, without a total, by the bucket."""

import itertools
import math

from rainturn import interface as it
from rainturn.averages import PassShare
from rainturn.component import Component, SharedState
from rainturn.counts import units_name
from rainturn.decisions import quota
from rainturn.decisions.attempts import Attempts
from rainturn.decisions.slots import Slots
from rainturn.interface import Outcome
from rainturn.records import CounterCall, Customer, PendingRequest

RECOVERY_MS = 500.0  # gateways restore lost counts over this time, so that the counter is not flooded
RECOVERY_UNITS = 6.0  # only counts that grew by at most this (about 3 requests) since read are restored
MAX_CUSTOMERS = 100_000  # where no smaller number is set
EVICTION_CANDIDATES = 8  # customers that are looked at for one to forget


class QuotaMeter(Component):
    """Decides on the requests of customers whose plan has a rate."""

    def __init__(
        self, shared: SharedState, attempts: Attempts, slots: Slots, calls: quota.CounterCalls
    ) -> None:
        super().__init__(shared)
        self.attempts, self.slots, self.calls = attempts, slots, calls
        self.customers: dict[int, Customer] = {}  # the most recently seen is last
        self.max_customers = MAX_CUSTOMERS
        self.pass_shares = [PassShare(0.5 * self.settings.counter, 2.0) for _ in self.settings.plans]
        self.mean_call_value = 1.0  # of `quota.call_value`, over requests
        self.last_total_at = self.loss_found_at = -math.inf  # last total; last time that a loss was found
        self.fall_seen_at = -math.inf  # last time that a count was seen to fall, which proves a loss
        self.empty_counts = 0  # consecutive empty counts well after the start of their window
        self.ceiling_since = 0.0  # since when this process refills the gateway's share of the ceilings

    def get_customer(self, now: float, event: it.Arrived) -> Customer | None:
        """Return the request's customer, or None if there is no room for a new one.

        A new one gets its plan's pass share, reduced for overruns. The most recently seen one is last.
        """
        customer, plan = self.customers.pop(event.customer, None), self.settings.plans[event.plan]
        if customer is None and not self._make_room(now):
            return None
        if customer is None or customer.plan is not plan:
            former = customer
            customer = quota.new_customer(event.customer, plan, event.spread, now, self.ceiling_since or now)
            cost = plan.over_cost / (1 + plan.over_cost)
            customer.pass_share = max(0.0, self.pass_shares[event.plan].share - cost) / (1 - cost)
            customer.pass_credit = self.rng.random()
            if former is not None:
                self._decide_without_total(now, former)
        self.customers[event.customer] = customer
        customer.last_request_at = now
        quota.refill_buckets(customer, now)
        return customer

    def _make_room(self, now: float) -> bool:
        """Forget a customer for a new one if there are too many; return whether there is room.

        Guards against requests under ever new names that fill the memory before their customers are idle.
        """
        if len(self.customers) < self.max_customers:
            return True
        for customer in list(itertools.islice(self.customers.values(), EVICTION_CANDIDATES)):
            del self.customers[customer.key]
            if quota.may_be_forgotten(customer, now):
                return True
            self.customers[customer.key] = customer  # now the last one, so that others are looked at next
        return False

    def take_over_ceilings(self, now: float) -> None:
        """Refill the share of each ceiling from now on, from nothing: a predecessor used it before."""
        self.ceiling_since = now
        for customer in self.customers.values():
            customer.ceiling_level, customer.ceiling_filled_at = 0.0, now

    def _decide_without_total(self, now: float, former: Customer) -> None:
        """Decide the waiting requests of a customer for whom a new request names another plan.

        Guards against one request with a wrong plan setting the customer's plan: the plan that each request
        names counts. The answer to a pending call is ignored from here on, so the bucket decides.
        """
        waiting, former.waiting = former.waiting, []
        for request in waiting:
            self._decide(now, request, former, ok=False, counted=False)
        former.granted_slots = max(former.granted_slots, former.fallback_slots)
        self.slots.serve(now, former)

    def pass_chance(self, customer: Customer, plan: int) -> float:
        """Return the chance, at least 0.1, that the customer's quota admits a request."""
        share = customer.pass_share if customer.total_window >= 0 else self.pass_shares[plan].share
        return max(0.1, share) if customer.plan.rate else 1.0

    def check_quota(self, now: float, request: PendingRequest, customer: Customer) -> None:
        """Decide on a request by a total of the count or, while calls are reduced, often by the bucket.

        The remaining calls are made where they are worth most. Units that the bucket lets in are
        reported with the customer's next call, so that the count stays exact however few calls are made.
        """
        if self.calls.enabled and quota.must_refuse(customer, now, request.units):
            self._record_decision(request, customer, False)
            self._refuse(now, request, customer)
        elif self.calls.enabled and self._should_wait(now, request, customer):
            customer.waiting.append(request)
            self.attempts.hold(now, request)
            self.calls.call(now, customer)
        else:
            admitted = quota.try_take(customer, request.units, use_pass_share=customer.total_window < 0)
            if admitted and self.calls.enabled:
                customer.unreported += request.units
                self.calls.schedule_report(now, customer)
            # A customer often decided on without a total may use this gateway's part of the rate, no more.
            customer.pass_share *= 0.9
            self._carry_out(now, request, customer, admitted)

    def _should_wait(self, now: float, request: PendingRequest, customer: Customer) -> bool:
        """Return whether a request waits for a total.

        While calls are reduced, requests do not wait because a call is pending: each call would cause the
        next. Units that the bucket lets in must be reported by a call anyway, so calling first costs no more.
        """
        value = quota.call_value(customer, now, request.units)
        self.mean_call_value += 0.01 * (value - self.mean_call_value)
        share = self.calls.share_to_make(now)
        likely = share if share == 1.0 else share * value / self.mean_call_value
        if (customer.pending_call and share == 1.0) or self.rng.random() < likely:
            return True
        return quota.can_take(customer, request.units) and self.rng.random() < share

    def _carry_out(self, now: float, request: PendingRequest, customer: Customer, admitted: bool) -> None:
        request.is_refundable = admitted
        if admitted:
            self.slots.start(now, request)
        else:
            self._refuse(now, request, customer)

    def _refuse(self, now: float, request: PendingRequest, customer: Customer) -> None:
        backoff_ms = quota.refill_ms(customer, request.units)
        self.attempts.refuse(now, request, it.RefusalReason.QUOTA, backoff_ms)

    def _record_decision(self, request: PendingRequest, customer: Customer, admitted: bool) -> None:
        """Update the pass shares of the customer and its plan with a decision by a total."""
        customer.pass_share += 0.5 * (admitted - customer.pass_share)
        self.pass_shares[request.plan].add(admitted)

    def handle_answer(self, now: float, event: it.CountAnswered, customer: Customer) -> None:
        """Update level and pass share by a call's total; without a total, the bucket decides alone."""
        call, ok, total = customer.pending_call, event.outcome is Outcome.OK, event.total
        if call is None:
            return
        added = event.outcome not in (Outcome.FULL, Outcome.UNREACHABLE)
        known = call.window in (customer.debt_window, customer.total_window if customer.total >= 0.5 else -1)
        age, empty = customer.window_age(now, call.window), total - call.amount < 0.5
        if ok and call.amount > 0.0 and customer.new_window_total is None:
            self.empty_counts = self.empty_counts + 1 if empty and age > customer.window_ms / 8 else 0
            if self.empty_counts >= 2:  # counts that stay empty for long are rare
                self._recover_counts(now)
        # If this count and the last window's have just been lost, gateways that know them make the calls.
        loss_known, debt = age > now - self.loss_found_at and now - self.loss_found_at < 4 * RECOVERY_MS, 0.0
        if customer.new_window_total is not None:  # the last window's total has come or is unavailable
            debt = quota.carried_debt(customer, now, call.window, total) if ok else 0.0
            customer.debt_window = call.window if ok else -1
            total, customer.new_window_total = customer.new_window_total, None
            ok = added = True
        elif ok and empty and call.amount > 0.0 and not (known or loss_known or call.correction):
            # The first of all gateways in a window carries over the last window's debt; otherwise all take
            # the bucket for full. Its own requests wait for that. A count that was not empty before is lost.
            customer.debt_window, customer.new_window_total = call.window, total
            return self.actions.append(it.Count(units_name(customer.key, call.window - 1), 0.0, 1.0))
        customer.pending_call = None
        quota.refill_buckets(customer, now)
        if ok:
            self._apply_total(now, customer, call, total, debt, loss_known)
        if not added:
            customer.unreported += call.reported
        self._decide_waiting(now, customer, call, ok, added)
        if customer.waiting or ((customer.unreported or customer.correction) and ok):
            self.calls.call(now, customer)
        elif customer.unreported:
            self.calls.schedule_report(now, customer)

    def _apply_total(
        self, now: float, customer: Customer, call: CounterCall, total: float, debt: float, loss_known: bool
    ) -> None:
        """Apply a total, and plan the correction of a count that holds too little or too much."""
        fell = customer.total_window == call.window and total - call.amount < customer.total / 4
        lost = 0.0 if debt else quota.lost_units(customer, now, call, total, loss_known, self.fall_seen_at)
        lacking = debt + lost
        quota.apply_total(customer, now, call, total + lacking)
        if lacking:
            customer.total, customer.corrected_total = total, total + lacking
            customer.correction, customer.correction_window = lacking, call.window
        if lost and fell:
            self.fall_seen_at = now
            self._recover_counts(now)
        elif not lacking and (call.correction or (not loss_known and not self.calls.should_skip(now))):
            quota.reconcile(customer, now, call, total)
        if not self.empty_counts:
            self.last_total_at = now

    def _decide_waiting(
        self, now: float, customer: Customer, call: CounterCall, ok: bool, added: bool
    ) -> None:
        """Decide on the requests that waited for a call if it included their units or failed."""
        due, customer.waiting = customer.waiting[: call.request_count], customer.waiting[call.request_count :]
        claims: list[PendingRequest] = []
        if ok and not call.requested and due:
            # Requests that now seem to fit must first claim their units: others may have read the same total.
            customer.waiting = [r for r in due if r.id in self.attempts.open] + customer.waiting
            claims = quota.fitting_requests(customer)
            due = [request for request in customer.waiting if request not in claims]
            customer.waiting = claims
        kept = sum(request.units for request in claims)
        customer.level -= kept
        for request in due:
            self._decide(now, request, customer, ok, call.requested > 0 and added)
        customer.level += kept

    def _decide(
        self, now: float, request: PendingRequest, customer: Customer, ok: bool, counted: bool
    ) -> None:
        """Admit or refuse by the total; a request that ended while it waited only returns units (rule 1)."""
        is_open = request.id in self.attempts.open
        admitted = is_open and quota.try_take(customer, request.units, use_pass_share=not ok)
        if admitted != counted:
            customer.unreported += request.units * (1 if admitted else -1)
        if ok and is_open:
            self._record_decision(request, customer, admitted)
        if is_open:
            self._carry_out(now, request, customer, admitted)

    def _recover_counts(self, now: float) -> None:
        """After the counter lost its counts, read those of low customers again that were read here recently.

        Most gateways do not know a customer and take an empty count for a full bucket. A gateway that was
        among the last to read a count knows its value, up to the units that others have let in since.
        """
        if now - self.loss_found_at < 2 * RECOVERY_MS:
            return
        self.loss_found_at = now
        for customer in self.customers.values():
            grown = max(0.0, self.last_total_at - customer.total_at) * customer.others_rate / 1000
            is_recent = customer.total_window == customer.window_at(now) and grown <= RECOVERY_UNITS
            if is_recent and customer.level < 0.75 * customer.plan.burst:
                self.timers.after(now, grown / RECOVERY_UNITS * RECOVERY_MS, self._read_again, customer)

    def _read_again(self, now: float, customer: Customer) -> None:
        if self.calls.should_skip(now):
            if now - self.loss_found_at < 4 * RECOVERY_MS:
                self.timers.after(now, RECOVERY_MS / 4, self._read_again, customer)
        elif customer.pending_call is None:
            self.calls.call(now, customer)

    def forget_idle(self, now: float) -> None:
        """Forget customers that have been idle for long and have nothing open."""
        for customer in [customer for customer in self.customers.values() if customer.is_idle(now)]:
            del self.customers[customer.key]
