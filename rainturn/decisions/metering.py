"""Which requests customers' quotas let in: by totals of the shared counts or, without one, by the store."""

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

LOSS_MS = 500.0  # over so long gateways tell again what the counter has lost, so that it is not flooded
LOSS_UNITS = 6.0  # of those whose count has grown by no more than some three requests since they read it


class QuotaMeter(Component):
    """Decides on the requests of customers whose plan has a rate."""

    def __init__(
        self, shared: SharedState, attempts: Attempts, slots: Slots, calls: quota.CounterCalls
    ) -> None:
        super().__init__(shared)
        self.attempts, self.slots, self.calls = attempts, slots, calls
        self.customers: dict[int, Customer] = {}
        self.pass_shares = [PassShare(0.5 * self.settings.counter, 2.0) for _ in self.settings.plans]
        self.mean_need = 1.0  # how much there is to tell and to learn about a request's customer
        self.total_at = self.lost_at = -math.inf  # the last total, and when counts were found lost
        self.fell_at = -math.inf  # and when one was seen to have fallen, which leaves no doubt
        self.empty_counts = 0  # in a row that were empty though their window is no new one
        self.started = 0.0  # when this gateway's first event came

    def customer(self, now: float, event: it.Arrived) -> Customer:
        """The request's customer. Without a total a new one gets its plan's share, less for overruns."""
        customer, plan = self.customers.get(event.customer), self.settings.plans[event.plan]
        if customer is None or customer.plan is not plan:
            former = customer
            customer = quota.new_customer(event.customer, plan, event.spread, now, self.started or now)
            cost = plan.over_cost / (1 + plan.over_cost)
            customer.pass_share = max(0.0, self.pass_shares[event.plan].share - cost) / (1 - cost)
            customer.pass_credit = self.rng.random()
            self.customers[event.customer] = customer
            if former is not None:
                self._decide_without_total(now, former)
        customer.last_request_at = now
        quota.advance(customer, now)
        return customer

    def _decide_without_total(self, now: float, former: Customer) -> None:
        """Decide what waits for a total of a customer that came with another plan before.

        Guards against one request with a wrong plan making that the customer's own: the one that a request
        names counts. An answer to a call that is out is not taken any more, so what waits goes by the store.
        """
        waiting, former.waiting = former.waiting, []
        for request in waiting:
            self._decide(now, request, former, ok=False, counted=False)
        former.slots = max(former.slots, former.fallback_slots)
        self.slots.serve(now, former)

    def weight(self, customer: Customer, plan: int) -> float:
        """The chance that the customer's quota lets a request of it through."""
        share = customer.pass_share if customer.window >= 0 else self.pass_shares[plan].share
        return max(0.1, share) if customer.plan.rate else 1.0

    def meter(self, now: float, request: PendingRequest, customer: Customer) -> None:
        """Ask the count. Where calls must be thinned they go where they teach most; else the store decides.

        What it lets in is told with the customer's next call, so that the count stays exact however few ask.
        """
        if self.calls.enabled and quota.surely_short(customer, now, request.units):
            self._note_decision(request, customer, False)
            self.attempts.refuse(now, request, quota.refill_ms(customer, request.units))
        elif self.calls.enabled and self._asks(now, request, customer):
            customer.waiting.append(request)
            self.attempts.hold(now, request)
            self.calls.call(now, customer)
        else:
            admitted = quota.take(customer, request.units, draw=customer.window < 0)
            if admitted and self.calls.enabled:
                customer.unreported += request.units
                self.calls.report_later(now, customer)
            customer.pass_share *= (
                0.9  # seen often without a total: the own part of the rate is left, no more
            )
            self._admit(now, request, customer, admitted)

    def _asks(self, now: float, request: PendingRequest, customer: Customer) -> bool:
        """Whether a request waits for a total.

        While calls are thinned one that is out draws no others after it: these would wait, and chain up. What
        the store would let in has to be told by a call anyway: as well ask first.
        """
        need = quota.news_weight(customer, now, request.units)
        self.mean_need += 0.01 * (need - self.mean_need)
        share = self.calls.share(now)
        likely = share if share == 1.0 else share * need / self.mean_need
        if (customer.call and share == 1.0) or self.rng.random() < likely:
            return True
        return quota.would_take(customer, request.units) and self.rng.random() < share

    def _admit(self, now: float, request: PendingRequest, customer: Customer, admitted: bool) -> None:
        request.is_refundable = admitted
        if admitted:
            self.slots.start(now, request)
        else:
            self.attempts.refuse(now, request, quota.refill_ms(customer, request.units))

    def _note_decision(self, request: PendingRequest, customer: Customer, admitted: bool) -> None:
        """Learn from a decision by a total how many of the customer's and its plan's requests pass."""
        customer.pass_share += 0.5 * (admitted - customer.pass_share)
        self.pass_shares[request.plan].add(admitted)

    def answered(self, now: float, event: it.CountAnswered, customer: Customer) -> None:
        """A total sets level and share; without one the store decides alone."""
        call, ok, total = customer.call, event.outcome is Outcome.OK, event.total
        if call is None:
            return
        added = event.outcome not in (Outcome.FULL, Outcome.UNREACHABLE)
        known = call.window in (customer.debt_window, customer.window if customer.total >= 0.5 else -1)
        age, empty = customer.window_age(now, call.window), total - call.amount < 0.5
        if ok and call.amount > 0.0 and customer.new_window_total is None:
            self.empty_counts = self.empty_counts + 1 if empty and age > customer.window_ms / 8 else 0
            if self.empty_counts >= 2:  # counts that have been empty for long are rare
                self._counts_lost(now)
        # Its count has just been lost, and the last window's: the calls are for those that know these.
        loss_known, debt = age > now - self.lost_at and now - self.lost_at < 4 * LOSS_MS, 0.0
        if customer.new_window_total is not None:  # the last window's total has come, or is not to be had
            debt = quota.debt(customer, now, call.window, total) if ok else 0.0
            customer.debt_window = call.window if ok else -1
            total, customer.new_window_total = customer.new_window_total, None
            ok = added = True
        elif ok and empty and call.amount > 0.0 and not (known or loss_known or call.correction):
            # Whoever comes first, one gateway of all, carries what the last window used too much: else all
            # take the store for full. Its own requests wait for that. An empty count that was not is lost.
            customer.debt_window, customer.new_window_total = call.window, total
            return self.actions.append(it.Count(units_name(customer.key, call.window - 1), 0.0, 1.0))
        customer.call = None
        quota.advance(customer, now)
        if ok:
            self._take_total(now, customer, call, total, debt, loss_known)
        if not added:
            customer.unreported += call.reported
        self._decide_waiting(now, customer, call, ok, added)
        if customer.waiting or ((customer.unreported or customer.correction) and ok):
            self.calls.call(now, customer)
        elif customer.unreported:
            self.calls.report_later(now, customer)

    def _take_total(
        self, now: float, customer: Customer, call: CounterCall, total: float, debt: float, loss_known: bool
    ) -> None:
        """Learn from a total, and see what the count lacks or holds too much."""
        fell = customer.window == call.window and total - call.amount < customer.total / 4
        lost = 0.0 if debt else quota.lost_units(customer, now, call, total, loss_known, self.fell_at)
        lacking = debt + lost
        quota.learn(customer, now, call, total + lacking)
        if lacking:
            customer.total, customer.corrected_total = total, total + lacking
            customer.correction, customer.correction_window = lacking, call.window
        if lost and fell:
            self.fell_at = now
            self._counts_lost(now)
        elif not lacking and (call.correction or (not loss_known and not self.calls.left_out(now))):
            quota.reconcile(customer, now, call, total)
        if not self.empty_counts:
            self.total_at = now

    def _decide_waiting(
        self, now: float, customer: Customer, call: CounterCall, ok: bool, added: bool
    ) -> None:
        """Decide on the requests that waited for a call if it asked for them or has failed."""
        due, customer.waiting = customer.waiting[: call.requests], customer.waiting[call.requests :]
        claims: list[PendingRequest] = []
        if ok and not call.asked and due:
            # What now seems to fit has to ask: several gateways may have read the same.
            customer.waiting = [r for r in due if r.id in self.attempts.open] + customer.waiting
            claims = quota.fitting(customer)
            due = [request for request in customer.waiting if request not in claims]
            customer.waiting = claims
        kept = sum(request.units for request in claims)
        customer.level -= kept
        for request in due:
            self._decide(now, request, customer, ok, call.asked > 0 and added)
        customer.level += kept

    def _decide(
        self, now: float, request: PendingRequest, customer: Customer, ok: bool, counted: bool
    ) -> None:
        """Admit or refuse by the total; one that ended while it waited only returns its units (rule 1)."""
        is_open = request.id in self.attempts.open
        admitted = is_open and quota.take(customer, request.units, draw=not ok)
        if admitted != counted:
            customer.unreported += request.units * (1 if admitted else -1)
        if ok and is_open:
            self._note_decision(request, customer, admitted)
        if is_open:
            self._admit(now, request, customer, admitted)

    def _counts_lost(self, now: float) -> None:
        """The counter has lost its counts: ask about those that hold little and were read here lately.

        Most gateways don't know a customer and take an empty count for a full store. Who was among the last
        to read a count knows what it held, by as much as the others have let in since.
        """
        if now - self.lost_at < 2 * LOSS_MS:
            return
        self.lost_at = now
        for customer in self.customers.values():
            grown = max(0.0, self.total_at - customer.total_at) * customer.others_rate / 1000
            lately = customer.window == customer.window_at(now) and grown <= LOSS_UNITS
            if lately and customer.level < 0.75 * customer.plan.burst:
                self.timers.after(now, grown / LOSS_UNITS * LOSS_MS, self._read_again, customer)

    def _read_again(self, now: float, customer: Customer) -> None:
        if self.calls.left_out(now):
            if now - self.lost_at < 4 * LOSS_MS:
                self.timers.after(now, LOSS_MS / 4, self._read_again, customer)
        elif customer.call is None:
            self.calls.call(now, customer)

    def forget_idle(self, now: float) -> None:
        """Forget customers who have been away for long and have nothing open."""
        for customer in [customer for customer in self.customers.values() if customer.is_idle(now)]:
            del self.customers[customer.key]
