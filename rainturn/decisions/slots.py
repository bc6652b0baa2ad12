"""Caps on a customer's open attempts, held over all gateways by a shared count."""

from rainturn import interface as it
from rainturn.component import Component, SharedState
from rainturn.counts import SlotDigits, slots_name
from rainturn.decisions.attempts import MAX_HOLD_SHARE, RECHECK_MS, Attempts
from rainturn.decisions.quota import CounterCalls
from rainturn.records import Customer, PendingRequest, SlotCall

WINDOW_MS = 15_000.0  # window of the counts; the slots of a dead gateway stay blocked for no longer
MAX_DENIALS = 8  # while a cap is used up, claims are delayed by up to this many usual answer times


class Slots(Component):
    """Grants the slots of customers whose plan caps their open attempts."""

    def __init__(self, shared: SharedState, attempts: Attempts, calls: CounterCalls) -> None:
        super().__init__(shared)
        self.attempts, self.calls = attempts, calls
        self.digits = SlotDigits(self.settings)
        self.processes_overlap = False  # another process of this gateway counts at the same digit

    def start(self, now: float, request: PendingRequest) -> None:
        """Send an admitted request for the first time, or hold it briefly for one of the customer's slots."""
        customer = request.customer
        if customer is None or not customer.plan.parallel:
            return self.attempts.send_first(now, request)
        turns = len(customer.slot_queue) / max(1, customer.open_attempts)
        wait_ms = turns * self.answer_times[request.class_index].mean
        if wait_ms > MAX_HOLD_SHARE * request.request_class.aim_ms:
            # It would only be refused later.
            return self.attempts.refuse(now, request, it.RefusalReason.SLOTS, wait_ms)
        customer.slot_queue.append(request)
        self.attempts.hold(now, request)
        self.serve(now, customer)

    def serve(self, now: float, customer: Customer) -> None:
        """Send requests from the slot queue while slots are free, then update the count of open attempts.

        A cap holds over all gateways: an even split would refuse traffic that comes through one of them, and
        would be exceeded by traffic that comes through all.
        """
        if not customer.plan.parallel:
            return
        customer.slot_queue = [r for r in customer.slot_queue if r.id in self.attempts.open]
        if not self.calls.enabled:
            customer.granted_slots = customer.fallback_slots
        while customer.slot_queue and customer.open_attempts < customer.granted_slots:
            self.attempts.send_first(now, customer.slot_queue.pop(0))
        if self.calls.enabled and customer.pending_slot_call is None:
            self._update_count(now, customer)

    def _update_count(self, now: float, customer: Customer) -> None:
        """Claim or release slots so that the count holds this gateway's open attempts and wanted slots."""
        if now < customer.no_slot_calls_until:
            return
        window, may_claim = int(now // WINDOW_MS), now >= customer.no_claims_until
        if window != customer.slots_window:
            customer.slots_window, customer.slots_counted, customer.slots_uncertain = window, 0, False
            customer.granted_slots = customer.open_attempts
        free = customer.plan.parallel - customer.open_attempts
        wanted = max(0, min(len(customer.slot_queue), free)) if may_claim else 0
        amount = customer.open_attempts + wanted - customer.slots_counted
        is_skipped = self.calls.should_skip(now)
        if wanted and is_skipped:
            return self._use_fallback(now, customer)
        useful = amount != 0 or (customer.slots_uncertain and may_claim)
        if wanted or amount < 0 or (useful and not is_skipped):
            customer.pending_slot_call = SlotCall(window, amount, wanted > 0)
            name = slots_name(customer.key, window)
            self.actions.append(it.Count(name, self.digits.encode(amount), 2 * WINDOW_MS))

    def handle_answer(self, now: float, event: it.CountAnswered, customer: Customer) -> None:
        """Take the slots that other gateways leave; slots claimed beyond these are given back at once.

        Each gateway sees its own part of the count: a call whose answer was lost may have been added or not,
        with equal chance. Where all gateways share one digit, each goes by its own sum and counts a lost
        call as added: until the window ends, that leaves one slot too few or too many.
        """
        call, customer.pending_slot_call = customer.pending_slot_call, None
        if call is None:
            return
        counted, in_window = customer.slots_counted + call.amount, call.window == customer.slots_window
        if event.outcome is not it.Outcome.OK:
            if in_window and event.outcome not in (it.Outcome.FULL, it.Outcome.UNREACHABLE):
                customer.slots_counted, customer.slots_uncertain = counted, not self.digits.is_shared
            # Guards against immediate repeats of calls that a refusing counter answers at once.
            customer.no_slot_calls_until = now + RECHECK_MS * (1 + customer.denials)
            return self._use_fallback(now, customer)
        own, others = self.digits.decode(event.total)
        if self.processes_overlap or self.digits.is_shared:  # slots beyond this process's own sum are others'
            own, others = counted, others + max(0, own - counted)
        if in_window:
            customer.slots_counted, customer.slots_uncertain = own, False
        customer.granted_slots = max(0, min(own, customer.plan.parallel - others))
        if call.is_claim:
            self._record_claim(now, customer, denied=customer.granted_slots < own)
        self.serve(now, customer)

    def _use_fallback(self, now: float, customer: Customer) -> None:
        """Without a total, use an even share of the cap."""
        customer.granted_slots = max(
            customer.fallback_slots, min(customer.granted_slots, customer.open_attempts)
        )
        self._record_claim(now, customer, denied=True)
        self.serve(now, customer)

    def _record_claim(self, now: float, customer: Customer, denied: bool) -> None:
        """Delay the next claim after each denial, longer each time: a filled cap is likely to stay filled."""
        customer.denials = min(MAX_DENIALS, customer.denials + 1) if denied else 0
        if denied:
            class_index = customer.slot_queue[0].class_index if customer.slot_queue else 0
            pause_ms = max(RECHECK_MS, self.answer_times[class_index].mean * customer.denials)
            customer.no_claims_until = max(customer.no_slot_calls_until, now + pause_ms)
            self.timers.after(now, customer.no_claims_until - now, self.serve, customer)
